package raftlog

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	bolt "go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/decisions/voters"
)

// store keeps a voter's part of the log in a file of bbolt's: what raft must find again after a crash. Reading goes to
// memory, which has all that is in the file behind the last snapshot.
type store struct {
	*raft.MemoryStorage
	db *bolt.DB
}

var (
	metaBucket    = []byte("meta")
	entriesBucket = []byte("entries")
	hardKey       = []byte("hard")
	snapshotKey   = []byte("snapshot")
	votersKey     = []byte("voters")
	fileKey       = []byte("file")
	rollKey       = []byte("roll")
)

// lockWithin is how long another process may hold the file: its successor waits for it.
const lockWithin = 2 * time.Second

// openFile opens or makes a seat's file.
func openFile(path string) (*bolt.DB, error) {
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: lockWithin})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return db, nil
}

// openStore opens or makes the file. One of another council is refused: two must not share a past by mistake.
func openStore(path string, founders []voters.Voter) (*store, error) {
	db, err := openFile(path)
	if err != nil {
		return nil, err
	}
	s := &store{raft.NewMemoryStorage(), db}
	if err := s.load(founders); err != nil {
		db.Close()
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// OpenFounder reads what a seat's file says of the first council, and makes the file where there is none. Once the council is
// founded its roll is on file.
func OpenFounder(dir string, seat uint64, roll map[uint64]string) (f voters.Founder, err error) {
	db, err := openFile(Path(dir, seat))
	if err != nil {
		return f, err
	}
	defer db.Close()
	return f, db.Update(func(tx *bolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(metaBucket)
		if err != nil {
			return err
		}
		if text := meta.Get(fileKey); text != nil {
			f.Incarnation = string(text)
		} else {
			f.Incarnation = rand.Text()
			if err := meta.Put(fileKey, []byte(f.Incarnation)); err != nil {
				return err
			}
		}
		if roll != nil {
			text, err := json.Marshal(roll)
			if err == nil {
				err = meta.Put(rollKey, text)
			}
			if err != nil {
				return err
			}
		}
		if text := meta.Get(rollKey); text != nil {
			return json.Unmarshal(text, &f.FoundingVoters)
		}
		if meta.Get(hardKey) != nil { // it has voted, before rolls were kept
			f.FoundingVoters = map[uint64]string{seat: f.Incarnation}
		}
		return nil
	})
}

// first is where every council's log begins: its voters, by number.
func first(founders []voters.Voter) (*raftpb.Snapshot, error) {
	cs := &raftpb.ConfState{}
	for _, s := range founders {
		cs.Voters = append(cs.Voters, s.ID)
	}
	state, err := json.Marshal(configversions.Record{Revision: 1, Voters: founders, NextVoterID: uint64(len(founders)) + 1})
	return &raftpb.Snapshot{Data: state, Metadata: &raftpb.SnapshotMetadata{ConfState: cs, Index: proto.Uint64(1), Term: proto.Uint64(1)}}, err
}

func (s *store) load(founders []voters.Voter) error {
	return s.db.Update(func(tx *bolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(metaBucket)
		if err != nil {
			return err
		}
		entries, err := tx.CreateBucketIfNotExists(entriesBucket)
		if err != nil {
			return err
		}
		snapshot, hard := &raftpb.Snapshot{}, &raftpb.HardState{}
		if founders != nil {
			if snapshot, err = first(founders); err != nil {
				return err
			}
			hard = &raftpb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)}
			if meta.Get(snapshotKey) == nil { // who recovers the file has nothing else
				if err := put(meta, snapshotKey, snapshot); err != nil {
					return err
				}
			}
			if text := meta.Get(votersKey); text == nil {
				if err := meta.Put(votersKey, binary.BigEndian.AppendUint64(nil, uint64(len(founders)))); err != nil {
					return err
				}
			} else if len(text) != 8 || binary.BigEndian.Uint64(text) != uint64(len(founders)) {
				return errors.New("it is of a council of another size")
			}
		}
		if text := meta.Get(snapshotKey); text != nil {
			snapshot = &raftpb.Snapshot{}
			if err := proto.Unmarshal(text, snapshot); err != nil {
				return err
			}
		}
		if text := meta.Get(hardKey); text != nil {
			hard = &raftpb.HardState{}
			if err := proto.Unmarshal(text, hard); err != nil {
				return err
			}
		}
		if !raft.IsEmptySnap(snapshot) {
			if err := s.ApplySnapshot(snapshot); err != nil {
				return err
			}
		}
		var kept []*raftpb.Entry
		if err := entries.ForEach(func(_, text []byte) error {
			e := &raftpb.Entry{}
			if err := proto.Unmarshal(text, e); err != nil {
				return err
			}
			if e.GetIndex() > snapshot.GetMetadata().GetIndex() {
				kept = append(kept, e)
			}
			return nil
		}); err != nil {
			return err
		}
		if err := s.Append(kept); err != nil {
			return err
		}
		return s.SetHardState(hard)
	})
}

// keep writes what raft asks for, in one piece and to the disk, and then has it in memory.
func (s *store) keep(hard *raftpb.HardState, entries []*raftpb.Entry, snapshot *raftpb.Snapshot) error {
	some := !raft.IsEmptySnap(snapshot)
	if raft.IsEmptyHardState(hard) && len(entries) == 0 && !some {
		return nil
	}
	err := s.db.Update(func(tx *bolt.Tx) error {
		meta, kept := tx.Bucket(metaBucket), tx.Bucket(entriesBucket)
		if some {
			if err := put(meta, snapshotKey, snapshot); err != nil {
				return err
			}
			if err := drop(kept, 0, snapshot.GetMetadata().GetIndex()); err != nil {
				return err
			}
		}
		if len(entries) > 0 { // what stands from the first of them on is overwritten
			if err := drop(kept, entries[0].GetIndex(), 1<<63); err != nil {
				return err
			}
		}
		for _, e := range entries {
			if err := put(kept, key(e.GetIndex()), e); err != nil {
				return err
			}
		}
		if !raft.IsEmptyHardState(hard) {
			return put(meta, hardKey, hard)
		}
		return nil
	})
	if err != nil {
		return err
	}
	if some {
		if err := s.ApplySnapshot(snapshot); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
			return err
		}
	}
	if !raft.IsEmptyHardState(hard) {
		if err := s.SetHardState(hard); err != nil {
			return err
		}
	}
	return s.Append(entries)
}

// compact takes a snapshot of what was applied, and forgets the entries before it but for a few that a slow voter may need.
func (s *store) compact(applied uint64, cs *raftpb.ConfState, state []byte) error {
	snapshot, err := s.CreateSnapshot(applied, cs, state)
	if err != nil {
		return err
	}
	if err := s.db.Update(func(tx *bolt.Tx) error {
		if err := put(tx.Bucket(metaBucket), snapshotKey, snapshot); err != nil {
			return err
		}
		return drop(tx.Bucket(entriesBucket), 0, applied)
	}); err != nil {
		return err
	}
	if applied > keepBehind {
		if err := s.Compact(applied - keepBehind); err != nil && !errors.Is(err, raft.ErrCompacted) {
			return err
		}
	}
	return nil
}

func key(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

func put(b *bolt.Bucket, key []byte, m proto.Message) error {
	text, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return b.Put(key, text)
}

// drop deletes the entries from one index to another.
func drop(b *bolt.Bucket, from, to uint64) error {
	var gone [][]byte
	c := b.Cursor()
	for k, _ := c.Seek(key(from)); k != nil && binary.BigEndian.Uint64(k) <= to; k, _ = c.Next() {
		gone = append(gone, append([]byte(nil), k...))
	}
	for _, k := range gone {
		if err := b.Delete(k); err != nil {
			return err
		}
	}
	return nil
}

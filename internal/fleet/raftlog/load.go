package raftlog

import (
	"encoding/binary"
	"encoding/json"

	bolt "go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/decisions/voters"
)

// The log of a raft group begins with a snapshot at this term and index. All founders write the same snapshot, without an
// election.
const (
	foundingTerm  = 1
	foundingIndex = 1
)

// load reads the file into memory. If founders is not nil, it first calls initFounder.
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
		hardState := &raftpb.HardState{}
		if founders != nil {
			if err := initFounder(meta, founders); err != nil {
				return err
			}
			hardState.Term = proto.Uint64(foundingTerm)
			hardState.Commit = proto.Uint64(foundingIndex)
		}
		snapshot := &raftpb.Snapshot{}
		if err := readMessage(meta, snapshotKey, snapshot); err != nil {
			return err
		}
		if err := readMessage(meta, hardStateKey, hardState); err != nil {
			return err
		}
		entriesAfterSnapshot, err := readEntries(entries, snapshot.GetMetadata().GetIndex())
		if err != nil {
			return err
		}
		return s.initMemoryStorage(snapshot, entriesAfterSnapshot, hardState)
	})
}

// initMemoryStorage copies the stored state into the memory storage.
func (s *store) initMemoryStorage(snapshot *raftpb.Snapshot, entries []*raftpb.Entry, hardState *raftpb.HardState) error {
	if !raft.IsEmptySnap(snapshot) {
		if err := s.ApplySnapshot(snapshot); err != nil {
			return err
		}
	}
	if err := s.Append(entries); err != nil {
		return err
	}
	return s.SetHardState(hardState)
}

// initFounder writes the founding snapshot and the number of founders to a new file, and checks the number in an existing one.
func initFounder(meta *bolt.Bucket, founders []voters.Voter) error {
	if meta.Get(snapshotKey) == nil {
		snapshot, err := foundingSnapshot(founders)
		if err != nil {
			return err
		}
		if err := putMessage(meta, snapshotKey, snapshot); err != nil {
			return err
		}
	}
	count := uint64(len(founders))
	stored := meta.Get(voterCountKey)
	if stored == nil {
		return meta.Put(voterCountKey, binary.BigEndian.AppendUint64(nil, count))
	}
	if len(stored) != 8 || binary.BigEndian.Uint64(stored) != count {
		return errVoterCount
	}
	return nil
}

// foundingSnapshot returns the snapshot that the log of a raft group begins with: a record that contains only its founders.
func foundingSnapshot(founders []voters.Voter) (*raftpb.Snapshot, error) {
	confState := &raftpb.ConfState{}
	for _, founder := range founders {
		confState.Voters = append(confState.Voters, founder.ID)
	}
	state, err := json.Marshal(configversions.Record{
		Revision:    1,
		Voters:      founders,
		NextVoterID: uint64(len(founders)) + 1,
	})
	return newSnapshot(state, confState, foundingIndex, foundingTerm), err
}

func newSnapshot(state []byte, confState *raftpb.ConfState, index, term uint64) *raftpb.Snapshot {
	return &raftpb.Snapshot{
		Data: state,
		Metadata: &raftpb.SnapshotMetadata{
			ConfState: confState,
			Index:     proto.Uint64(index),
			Term:      proto.Uint64(term),
		},
	}
}

// readMessage reads the message stored under a key. If there is none, it leaves message unchanged.
func readMessage(bucket *bolt.Bucket, key []byte, message proto.Message) error {
	encoded := bucket.Get(key)
	if encoded == nil {
		return nil
	}
	return proto.Unmarshal(encoded, message)
}

// readEntries returns the stored entries after the snapshot's index, in order.
func readEntries(bucket *bolt.Bucket, snapshotIndex uint64) (entries []*raftpb.Entry, err error) {
	err = bucket.ForEach(func(_, encoded []byte) error {
		entry := &raftpb.Entry{}
		if err := proto.Unmarshal(encoded, entry); err != nil {
			return err
		}
		if entry.GetIndex() > snapshotIndex {
			entries = append(entries, entry)
		}
		return nil
	})
	return entries, err
}

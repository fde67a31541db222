package raftlog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"

	bolt "go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"brassdale/internal/decisions/voters"
)

// store is the state that a voter needs after a crash. It is kept in a bbolt file. Reads use the embedded memory storage, which
// contains everything in the file; writes go to the file first. Only the goroutine of Log.Run uses it.
type store struct {
	*raft.MemoryStorage
	db *bolt.DB
}

var _ raft.Storage = (*store)(nil)

// The buckets of a voter's file, and the keys of the meta bucket. The keys of the entries bucket are the entries' indexes.
var (
	metaBucket    = []byte("meta")
	entriesBucket = []byte("entries")

	hardStateKey      = []byte("hard")
	snapshotKey       = []byte("snapshot")
	voterCountKey     = []byte("voters") // number of founders
	incarnationKey    = []byte("file")
	foundingVotersKey = []byte("roll")
)

const (
	// fileLockTimeout is how long a voter waits for its predecessor process to release the file.
	fileLockTimeout = 2 * time.Second
	// retainedEntries is the number of entries before a snapshot that stay in memory, for voters that lag a little.
	retainedEntries = 64
	// maxIndex is greater than the index of any entry.
	maxIndex = math.MaxInt64 + 1
)

// errVoterCount is returned for a file of a raft group that was founded with a different number of voters. It prevents two groups
// from continuing the same log by mistake.
var errVoterCount = errors.New("the file belongs to a raft group that was founded with a different number of voters")

// openFile opens or creates a voter's file.
func openFile(path string) (*bolt.DB, error) {
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: fileLockTimeout})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return db, nil
}

// openStore opens or creates a voter's file and reads it. founders is nil for a voter that is not a founder.
func openStore(path string, founders []voters.Voter) (*store, error) {
	db, err := openFile(path)
	if err != nil {
		return nil, err
	}
	opened := &store{raft.NewMemoryStorage(), db}
	if err := opened.load(founders); err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", path, err), opened.close())
	}
	return opened, nil
}

// close closes the file.
func (s *store) close() error { return s.db.Close() }

// save writes raft's durable state to the file in one transaction, synced to the disk, and then to the memory storage. An empty
// argument means that this part of the state has not changed.
func (s *store) save(hardState *raftpb.HardState, entries []*raftpb.Entry, snapshot *raftpb.Snapshot) error {
	if raft.IsEmptyHardState(hardState) && len(entries) == 0 && raft.IsEmptySnap(snapshot) {
		return nil
	}
	err := s.db.Update(func(tx *bolt.Tx) error {
		return writeState(tx, hardState, entries, snapshot)
	})
	if err != nil {
		return err
	}
	if !raft.IsEmptySnap(snapshot) {
		if err := s.ApplySnapshot(snapshot); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
			return err
		}
	}
	if !raft.IsEmptyHardState(hardState) {
		if err := s.SetHardState(hardState); err != nil {
			return err
		}
	}
	return s.Append(entries)
}

// writeState writes raft's durable state. A snapshot replaces the entries up to its index. New entries replace all entries
// from the index of the first new one on.
func writeState(tx *bolt.Tx, hardState *raftpb.HardState, entries []*raftpb.Entry, snapshot *raftpb.Snapshot) error {
	meta := tx.Bucket(metaBucket)
	stored := tx.Bucket(entriesBucket)
	if !raft.IsEmptySnap(snapshot) {
		if err := putMessage(meta, snapshotKey, snapshot); err != nil {
			return err
		}
		if err := deleteEntries(stored, 0, snapshot.GetMetadata().GetIndex()); err != nil {
			return err
		}
	}
	if len(entries) > 0 {
		if err := deleteEntries(stored, entries[0].GetIndex(), maxIndex); err != nil {
			return err
		}
	}
	for _, entry := range entries {
		if err := putMessage(stored, entryKey(entry.GetIndex()), entry); err != nil {
			return err
		}
	}
	if raft.IsEmptyHardState(hardState) {
		return nil
	}
	return putMessage(meta, hardStateKey, hardState)
}

// compact writes a snapshot of the state at an applied index, and deletes the entries up to this index from the file. The last
// retainedEntries of them stay in memory.
func (s *store) compact(appliedIndex uint64, confState *raftpb.ConfState, state []byte) error {
	snapshot, err := s.CreateSnapshot(appliedIndex, confState, state)
	if err != nil {
		return err
	}
	err = s.db.Update(func(tx *bolt.Tx) error {
		if err := putMessage(tx.Bucket(metaBucket), snapshotKey, snapshot); err != nil {
			return err
		}
		return deleteEntries(tx.Bucket(entriesBucket), 0, appliedIndex)
	})
	if err != nil || appliedIndex <= retainedEntries {
		return err
	}
	if err := s.Compact(appliedIndex - retainedEntries); !errors.Is(err, raft.ErrCompacted) {
		return err
	}
	return nil
}

// entryKey returns the key of an entry: its index, big endian, so that the keys sort like the indexes.
func entryKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

func putMessage(bucket *bolt.Bucket, key []byte, message proto.Message) error {
	encoded, err := proto.Marshal(message)
	if err != nil {
		return err
	}
	return bucket.Put(key, encoded)
}

// deleteEntries deletes the entries from index first to last, both included.
func deleteEntries(bucket *bolt.Bucket, first, last uint64) error {
	var keys [][]byte // deleting while the cursor moves would skip entries
	cursor := bucket.Cursor()
	for key, _ := cursor.Seek(entryKey(first)); key != nil && binary.BigEndian.Uint64(key) <= last; key, _ = cursor.Next() {
		keys = append(keys, append([]byte(nil), key...))
	}
	for _, key := range keys {
		if err := bucket.Delete(key); err != nil {
			return err
		}
	}
	return nil
}

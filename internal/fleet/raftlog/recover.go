package raftlog

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	bolt "go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/decisions/voters"
)

// Recover makes a raft group of one voter from that voter's file, for a group that has lost its majority permanently. It
// returns the record that the new group begins with. An announced version is withdrawn, because it is not known which
// dispatchers act on it. The epoch of the record is incremented: every dispatcher that learns of the new epoch rejects the old
// group from then on. No process may have the file open.
func Recover(directory string, voterID uint64, name, address string) (record configversions.Record, err error) {
	path := Path(directory, voterID)
	if _, err := os.Stat(path); err != nil {
		return record, err
	}
	opened, err := openStore(path, nil)
	if err != nil {
		return record, err
	}
	defer func() { err = errors.Join(err, opened.close()) }()
	hardState, _, err := opened.InitialState()
	if err != nil {
		return record, err
	}
	if hardState.GetTerm() == 0 {
		return record, fmt.Errorf("%s: the voter has never been a member of a raft group", path)
	}
	record, lastIndex, err := opened.replay()
	if err != nil {
		return record, err
	}
	voter := voters.Voter{ID: voterID, Name: name, Address: address}
	if record, err = recoveredRecord(record, voter); err != nil {
		return record, err
	}
	state, err := json.Marshal(record)
	if err != nil {
		return record, err
	}
	confState := &raftpb.ConfState{Voters: []uint64{voterID}}
	return record, opened.replace(newSnapshot(state, confState, lastIndex+1, hardState.GetTerm()+1))
}

// replay applies the whole stored log and returns the resulting record and the index of the last entry. It applies entries
// whether or not they were committed: either this voter has every entry that a majority had, or another surviving voter has a
// longer log, from which the operator should recover. Entries that the record rejects change nothing, as in applyEntry.
func (s *store) replay() (record configversions.Record, lastIndex uint64, err error) {
	snapshot, err := s.Snapshot()
	if err != nil {
		return record, 0, err
	}
	if len(snapshot.GetData()) > 0 {
		if err := json.Unmarshal(snapshot.GetData(), &record); err != nil {
			return record, 0, err
		}
	}
	lastIndex, err = s.LastIndex()
	if err != nil {
		return record, 0, err
	}
	firstIndex := snapshot.GetMetadata().GetIndex() + 1
	if firstIndex > lastIndex {
		return record, lastIndex, nil
	}
	entries, err := s.Entries(firstIndex, lastIndex+1, unlimitedBytes)
	if err != nil {
		return record, 0, err
	}
	for _, raftEntry := range entries {
		var entry configversions.Entry
		if raftEntry.GetType() != raftpb.EntryNormal || len(raftEntry.GetData()) == 0 || json.Unmarshal(raftEntry.GetData(), &entry) != nil {
			continue
		}
		if next, err := record.Apply(entry); err == nil {
			record = next
		}
	}
	return record, lastIndex, nil
}

// unlimitedBytes is larger than any log.
const unlimitedBytes = 1 << 62

// recoveredRecord returns the record that a group of one voter begins with.
func recoveredRecord(record configversions.Record, voter voters.Voter) (configversions.Record, error) {
	if announced := record.Announced; announced != nil {
		withdrawal := configversions.Entry{Withdraw: announced.Number, Reason: "the council was recovered"}
		withdrawn, err := record.Apply(withdrawal)
		if err != nil {
			return withdrawn, err
		}
		record = withdrawn
	}
	record.Epoch++
	record.Revision++
	record.Voters = []voters.Voter{voter}
	record.NextVoterID = max(record.NextVoterID, voter.ID+1)
	return record, nil
}

// replace replaces the stored entries, snapshot and hard state by a snapshot, in one transaction. It deletes the number of
// founders, which need not match the settings any longer.
func (s *store) replace(snapshot *raftpb.Snapshot) error {
	metadata := snapshot.GetMetadata()
	hardState := &raftpb.HardState{Term: proto.Uint64(metadata.GetTerm()), Commit: proto.Uint64(metadata.GetIndex())}
	return s.db.Update(func(tx *bolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		if err := deleteEntries(tx.Bucket(entriesBucket), 0, maxIndex); err != nil {
			return err
		}
		if err := putMessage(meta, snapshotKey, snapshot); err != nil {
			return err
		}
		if err := meta.Delete(voterCountKey); err != nil {
			return err
		}
		return putMessage(meta, hardStateKey, hardState)
	})
}

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

// Recover makes a raft group of one voter out of what its file has, for a group that has lost its majority for good, and
// returns the record that the new group begins with. A version that was announced is withdrawn, as nobody knows who acts on
// it. The epoch of the record goes up: every dispatcher that hears of it rejects the old group from then on. No process may
// have the file open.
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
	hard, _, err := opened.InitialState()
	if err != nil {
		return record, err
	}
	if hard.GetTerm() == 0 {
		return record, fmt.Errorf("%s: it has never been of a council", path)
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
	return record, opened.replace(newSnapshot(state, confState, lastIndex+1, hard.GetTerm()+1))
}

// replay returns the record that the whole log on file leads to, and the index of the last entry. Entries count whether or
// not they were committed: this voter has all that a majority had, or another survivor has a longer log and should be the
// one to recover from. Entries that the record rejects change nothing, as at a voter.
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
	for _, logged := range entries {
		var entry configversions.Entry
		if logged.GetType() != raftpb.EntryNormal || len(logged.GetData()) == 0 || json.Unmarshal(logged.GetData(), &entry) != nil {
			continue
		}
		if next, err := record.Apply(entry); err == nil {
			record = next
		}
	}
	return record, lastIndex, nil
}

// unlimitedBytes is more than any log has.
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

// replace replaces all that the file has by a snapshot, in one transaction. The number of founders is deleted, as it need no
// longer be that of the settings.
func (s *store) replace(snapshot *raftpb.Snapshot) error {
	metadata := snapshot.GetMetadata()
	hard := &raftpb.HardState{Term: proto.Uint64(metadata.GetTerm()), Commit: proto.Uint64(metadata.GetIndex())}
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
		return putMessage(meta, hardStateKey, hard)
	})
}

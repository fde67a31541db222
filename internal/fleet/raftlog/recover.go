package raftlog

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	bolt "go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/decisions/voters"
)

// Recover makes a council of one seat out of what the seat has on file, for a council that has lost its majority for good.
// What it knows as announced is withdrawn: nobody knows who keeps to it. The record's era goes up, by which every dispatcher
// that hears of it is fenced against the old council. No process may have the file open.
func Recover(dir string, seat uint64, name, address string) (r configversions.Record, err error) {
	path := Path(dir, seat)
	if _, err := os.Stat(path); err != nil {
		return r, err
	}
	s, err := openStore(path, nil)
	if err != nil {
		return r, err
	}
	defer func() { err = errors.Join(err, s.db.Close()) }()
	snapshot, err := s.Snapshot()
	if err == nil && len(snapshot.GetData()) > 0 {
		err = json.Unmarshal(snapshot.GetData(), &r)
	}
	if err != nil {
		return r, err
	}
	hard, _, err := s.InitialState()
	if err != nil {
		return r, err
	}
	if hard.GetTerm() == 0 {
		return r, fmt.Errorf("%s: it has never been of a council", path)
	}
	last, err := s.LastIndex()
	if err != nil {
		return r, err
	}
	// All of its log counts, committed or not: what a majority had it has, or another survivor has more and is the better one.
	if from := snapshot.GetMetadata().GetIndex() + 1; from <= last {
		entries, err := s.Entries(from, last+1, 1<<62)
		if err != nil {
			return r, err
		}
		for _, e := range entries {
			var entry configversions.Entry
			if e.GetType() == raftpb.EntryNormal && len(e.GetData()) > 0 && json.Unmarshal(e.GetData(), &entry) == nil {
				if next, err := r.Apply(entry); err == nil {
					r = next
				}
			}
		}
	}
	if a := r.Announced; a != nil {
		if r, err = r.Apply(configversions.Entry{Withdraw: a.Number, Reason: "the council was recovered"}); err != nil {
			return r, err
		}
	}
	r.Epoch++
	r.Revision++
	r.Voters = []voters.Voter{{ID: seat, Name: name, Address: address}}
	r.NextVoterID = max(r.NextVoterID, seat+1)
	state, err := json.Marshal(r)
	if err != nil {
		return r, err
	}
	term, index := hard.GetTerm()+1, last+1
	made := &raftpb.Snapshot{Data: state, Metadata: &raftpb.SnapshotMetadata{ConfState: &raftpb.ConfState{Voters: []uint64{seat}}, Index: proto.Uint64(index), Term: proto.Uint64(term)}}
	return r, s.db.Update(func(tx *bolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		if err := drop(tx.Bucket(entriesBucket), 0, 1<<63); err != nil {
			return err
		}
		if err := put(meta, snapshotKey, made); err != nil {
			return err
		}
		if err := meta.Delete(votersKey); err != nil {
			return err
		}
		return put(meta, hardKey, &raftpb.HardState{Term: proto.Uint64(term), Commit: proto.Uint64(index)})
	})
}

var _ raft.Storage = (*store)(nil)

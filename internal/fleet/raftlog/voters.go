package raftlog

import (
	"encoding/json"
	"math"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"

	"brassdale/internal/decisions/voters"
)

// look goes through what the leader knows of the seats. A snapshot of which nothing was heard for as long as an election
// takes is sent again: raft sends one once and then nothing more to that seat until it is told how that ended, and what is
// lost on the way tells nobody.
func (l *Log) look() {
	if !l.leads {
		return
	}
	var places []voters.Status
	last, _ := l.store.LastIndex()
	l.node.WithProgress(func(id uint64, typ raft.ProgressType, pr tracker.Progress) {
		if l.silent[id]++; pr.RecentActive || id == l.o.VoterID { // which raft forgets once an election's time
			l.silent[id] = 0
		}
		if pr.State == tracker.StateSnapshot {
			l.loading[id]++
		} else {
			delete(l.loading, id)
		}
		behind := last - min(pr.Match, last)
		if pr.Match == 0 { // it has not answered yet, however short the log is
			behind = math.MaxUint64
		}
		places = append(places, voters.Status{Voter: voters.Voter{ID: id, Learner: typ == raft.ProgressTypeLearner},
			SilentFor: time.Duration(l.silent[id]) * tickEvery, EntriesBehind: behind, IsLeader: id == l.o.VoterID})
	})
	for id, ticks := range l.loading {
		if ticks >= electionTicks {
			delete(l.loading, id)
			l.node.ReportSnapshot(id, raft.SnapshotFailure)
		}
	}
	l.mu.Lock()
	for i := range places {
		for _, s := range l.record.Voters {
			if s.ID == places[i].ID {
				s.Learner = places[i].Learner
				places[i].Voter = s
			}
		}
	}
	l.places = places
	l.mu.Unlock()
}

// move proposes a change of the council.
func (l *Log) move(m *voters.Change) error {
	if m.TransferLeadership > 0 {
		l.node.TransferLeader(m.TransferLeadership)
		return nil
	}
	if l.conf.GetAutoLeave() || len(l.conf.GetVotersOutgoing()) > 0 {
		return ErrChangeInProgress
	}
	cc := &raftpb.ConfChangeV2{}
	change := func(what raftpb.ConfChangeType, id uint64) {
		cc.Changes = append(cc.Changes, &raftpb.ConfChangeSingle{Type: what.Enum(), NodeId: proto.Uint64(id)})
	}
	if m.AddLearner != nil {
		change(raftpb.ConfChangeAddLearnerNode, m.AddLearner.ID)
		var err error
		if cc.Context, err = json.Marshal(m.AddLearner); err != nil {
			return err
		}
	}
	if m.Promote > 0 {
		change(raftpb.ConfChangeAddNode, m.Promote)
	}
	if m.Remove > 0 {
		change(raftpb.ConfChangeRemoveNode, m.Remove)
	}
	return l.node.ProposeConfChange(cc)
}

// council gives the seats that the log's engine has now, with what is known of each.
func (l *Log) council(fresh []byte) []voters.Voter {
	l.mu.Lock()
	known := slices.Clone(l.record.Voters)
	l.mu.Unlock()
	var seat voters.Voter
	if len(fresh) > 0 && json.Unmarshal(fresh, &seat) == nil {
		known = append(known, seat)
	}
	all := []voters.Voter{}
	add := func(ids []uint64, learner bool) {
		for _, id := range ids {
			for _, s := range known {
				if s.ID == id && !slices.ContainsFunc(all, func(had voters.Voter) bool { return had.ID == id }) {
					s.Learner = learner
					all = append(all, s)
				}
			}
		}
	}
	add(l.conf.GetVoters(), false)
	add(l.conf.GetVotersOutgoing(), false)
	add(l.conf.GetLearners(), true)
	add(l.conf.GetLearnersNext(), true)
	return all
}

package log

import (
	"encoding/json"
	"math"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"

	"brassdale/internal/decisions/agreement"
)

// look goes through what the leader knows of the seats. A snapshot of which nothing was heard for as long as an election
// takes is sent again: raft sends one once and then nothing more to that seat until it is told how that ended, and what is
// lost on the way tells nobody.
func (l *Log) look() {
	if !l.leads {
		return
	}
	var places []agreement.Place
	last, _ := l.store.LastIndex()
	l.node.WithProgress(func(id uint64, typ raft.ProgressType, pr tracker.Progress) {
		if l.silent[id]++; pr.RecentActive || id == l.o.Seat { // which raft forgets once an election's time
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
		places = append(places, agreement.Place{Seat: agreement.Seat{ID: id, Learner: typ == raft.ProgressTypeLearner},
			Silent: time.Duration(l.silent[id]) * tickEvery, Behind: behind, Leads: id == l.o.Seat})
	})
	for id, ticks := range l.loading {
		if ticks >= electionTicks {
			delete(l.loading, id)
			l.node.ReportSnapshot(id, raft.SnapshotFailure)
		}
	}
	l.mu.Lock()
	for i := range places {
		for _, s := range l.record.Council {
			if s.ID == places[i].ID {
				s.Learner = places[i].Learner
				places[i].Seat = s
			}
		}
	}
	l.places = places
	l.mu.Unlock()
}

// move proposes a change of the council.
func (l *Log) move(m *agreement.Move) error {
	if m.Yield > 0 {
		l.node.TransferLeader(m.Yield)
		return nil
	}
	if l.conf.GetAutoLeave() || len(l.conf.GetVotersOutgoing()) > 0 {
		return ErrMoved
	}
	cc := &raftpb.ConfChangeV2{}
	change := func(what raftpb.ConfChangeType, id uint64) {
		cc.Changes = append(cc.Changes, &raftpb.ConfChangeSingle{Type: what.Enum(), NodeId: proto.Uint64(id)})
	}
	if m.Learn != nil {
		change(raftpb.ConfChangeAddLearnerNode, m.Learn.ID)
		var err error
		if cc.Context, err = json.Marshal(m.Learn); err != nil {
			return err
		}
	}
	if m.Seat > 0 {
		change(raftpb.ConfChangeAddNode, m.Seat)
	}
	if m.Unseat > 0 {
		change(raftpb.ConfChangeRemoveNode, m.Unseat)
	}
	return l.node.ProposeConfChange(cc)
}

// council gives the seats that the log's engine has now, with what is known of each.
func (l *Log) council(fresh []byte) []agreement.Seat {
	l.mu.Lock()
	known := slices.Clone(l.record.Council)
	l.mu.Unlock()
	var seat agreement.Seat
	if len(fresh) > 0 && json.Unmarshal(fresh, &seat) == nil {
		known = append(known, seat)
	}
	all := []agreement.Seat{}
	add := func(ids []uint64, learner bool) {
		for _, id := range ids {
			for _, s := range known {
				if s.ID == id && !slices.ContainsFunc(all, func(had agreement.Seat) bool { return had.ID == id }) {
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

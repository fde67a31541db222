package scale

import (
	"context"
	"log/slog"
	"strings"
	"time"
)

// raftState says whether a dispatcher is a voter of the raft group, and since when it leads the group.
type raftState struct {
	Voter       bool      `json:"seated,omitempty"`
	LeaderSince time.Time `json:"leads,omitzero"` // zero if it does not lead
}

// The log messages of the fleet agent that show a raftState, and the key of an attribute.
const (
	becameVoterMessage       = "became voter"
	noLongerVoterMessage     = "no longer a voter"
	leadershipChangedMessage = "leadership changed"
	leadsKey                 = "leads" // whether the dispatcher leads now
)

// raftStateFromLog returns the state of a real dispatcher from the log of its process.
func raftStateFromLog(log string) raftState {
	state := raftState{Voter: strings.LastIndex(log, `msg="`+becameVoterMessage+`" `) > strings.LastIndex(log, `msg="`+noLongerVoterMessage+`" `)}
	leadershipChanged := `msg="` + leadershipChangedMessage + `" ` + leadsKey + "="
	last := strings.LastIndex(log, leadershipChanged)
	if last < 0 || !strings.HasPrefix(log[last:], leadershipChanged+"true") || !state.Voter {
		return state
	}
	line := log[strings.LastIndexByte(log[:last], '\n')+1:]
	timestamp, _, _ := strings.Cut(line, " ")
	state.LeaderSince, _ = time.Parse(time.RFC3339Nano, strings.TrimPrefix(timestamp, "time=")) // zero (not the leader) for any other text
	return state
}

// raftStateHandler is the log handler of a hollow dispatcher's agent. It records the state that the log messages show.
type raftStateHandler struct {
	slog.Handler
	dispatcher *hollowDispatcher
}

// Handle implements slog.Handler.
func (h raftStateHandler) Handle(ctx context.Context, record slog.Record) error {
	h.dispatcher.recordRaftState(record)
	return h.Handler.Handle(ctx, record)
}

// recordRaftState updates the recorded state from a log message.
func (d *hollowDispatcher) recordRaftState(record slog.Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch record.Message {
	case becameVoterMessage:
		d.raftState.Voter = true
	case noLongerVoterMessage:
		d.raftState = raftState{}
	case leadershipChangedMessage:
		d.raftState.LeaderSince = time.Time{}
		record.Attrs(func(attr slog.Attr) bool {
			if attr.Key == leadsKey && attr.Value.Bool() {
				d.raftState.LeaderSince = record.Time
			}
			return true
		})
	}
}

// currentLeader returns the name of the raft leader, or an empty text if there is none. A running hollow dispatcher that led in the last
// snapshot takes precedence. Otherwise it is the real dispatcher that was elected last according to the logs.
func (r *run) currentLeader() string {
	leader, since := "", time.Time{}
	for _, each := range r.running() {
		if each.process == nil || each.role == roleBaseline {
			continue
		}
		if state := raftStateFromLog(each.process.Log()); state.LeaderSince.After(since) {
			leader, since = each.name, state.LeaderSince
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.snapshots) == 0 {
		return leader
	}
	last := r.snapshots[len(r.snapshots)-1]
	for _, each := range r.dispatchers {
		if each.name == last.leader && each.hollow && each.hollowProcess != nil {
			return last.leader
		}
	}
	return leader
}

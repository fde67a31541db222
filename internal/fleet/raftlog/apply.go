package raftlog

import (
	"encoding/json"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"brassdale/internal/decisions/configversions"
)

// applyCommitted applies a committed raft entry: a change of the voters or an entry of configversions. It sends the result
// to the caller of Propose that waits for the entry, if there is one.
func (l *Log) applyCommitted(committed *raftpb.Entry) {
	l.appliedIndex = committed.GetIndex()
	var entry configversions.Entry
	var err error
	switch committed.GetType() {
	case raftpb.EntryConfChangeV2:
		change := &raftpb.ConfChangeV2{}
		if proto.Unmarshal(committed.GetData(), change) != nil {
			return
		}
		l.confState = l.node.ApplyConfChange(change)
		l.votersChanged = true
		entry.Voters = l.votersOf(change.GetContext())
	case raftpb.EntryNormal:
		if len(committed.GetData()) == 0 { // the first entry of a new leader's term
			return
		}
		err = json.Unmarshal(committed.GetData(), &entry)
	default:
		return
	}
	if err == nil {
		err = l.applyEntry(entry)
	}
	if result := l.proposals[entry.ID]; result != nil {
		delete(l.proposals, entry.ID)
		result <- err
	}
}

// applyEntry applies an entry to the record. All voters reject the same entries, and a rejected entry changes nothing.
func (l *Log) applyEntry(entry configversions.Entry) error {
	l.mu.Lock()
	next, err := l.record.Apply(entry)
	if err == nil {
		l.record = next
		l.recentEntries = append(l.recentEntries, entry)
		if len(l.recentEntries) > maxRecentEntries {
			l.recentEntries = slices.Delete(l.recentEntries, 0, 1)
		}
	}
	l.mu.Unlock()
	if err == nil {
		l.options.RecordChanged(next)
	}
	return err
}

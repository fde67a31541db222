package raftlog

import (
	"cmp"
	"encoding/json"
	"fmt"

	"go.etcd.io/raft/v3/raftpb"

	"brassdale/internal/decisions/configversions"
)

// restore replaces the record by the record in a snapshot, which is read from the file or received from the leader.
func (l *Log) restore(snapshot *raftpb.Snapshot) error {
	metadata := snapshot.GetMetadata()
	l.appliedIndex = metadata.GetIndex()
	l.snapshotIndex = metadata.GetIndex()
	l.confState = metadata.GetConfState()
	if len(snapshot.GetData()) == 0 {
		return nil
	}
	var record configversions.Record
	if err := json.Unmarshal(snapshot.GetData(), &record); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	l.mu.Lock()
	l.record = record
	l.recentEntries = nil
	l.mu.Unlock()
	return nil
}

// snapshotDue reports whether to take a snapshot now: after a number of entries, and after each change of the voters, because
// the snapshot that a joining voter receives must contain that voter.
func (l *Log) snapshotDue() bool {
	every := cmp.Or(l.options.SnapshotEvery, defaultSnapshotEvery)
	return l.votersChanged || l.appliedIndex >= l.snapshotIndex+every
}

// takeSnapshot writes a snapshot of the record and deletes the entries that the snapshot replaces.
func (l *Log) takeSnapshot() error {
	state, err := json.Marshal(l.Record())
	if err == nil {
		err = l.store.compact(l.appliedIndex, l.confState, state)
	}
	if err != nil {
		return fmt.Errorf("raft snapshot: %w", err)
	}
	l.snapshotIndex = l.appliedIndex
	l.votersChanged = false
	return nil
}

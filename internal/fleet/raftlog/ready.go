package raftlog

import (
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// handleReady carries out what raft asks for, in the order that raft requires: first it writes the durable state to the disk,
// then it sends the messages that rely on that state, then it applies the committed entries. After an error the voter must
// stop.
func (l *Log) handleReady(ready raft.Ready) error {
	if err := l.store.save(ready.HardState, ready.Entries, ready.Snapshot); err != nil {
		return fmt.Errorf("raft log: %w", err)
	}
	l.sendMessages(ready.Messages)
	if !raft.IsEmptySnap(ready.Snapshot) {
		if err := l.restore(ready.Snapshot); err != nil {
			return err
		}
		l.options.RecordChanged(l.Record())
	}
	for _, entry := range ready.CommittedEntries {
		l.applyCommitted(entry)
	}
	if ready.SoftState != nil {
		l.handleSoftState(ready.SoftState)
	}
	l.reads.handleReadStates(ready.ReadStates)
	l.reads.completeUpTo(l.appliedIndex)
	l.node.Advance(ready)
	l.requestReadIndex()
	if l.snapshotDue() {
		return l.takeSnapshot()
	}
	return nil
}

// sendMessages sends raft's messages to the other voters. It drops a message that cannot be encoded, as a network might.
func (l *Log) sendMessages(messages []*raftpb.Message) {
	for _, message := range messages {
		encoded, err := proto.Marshal(message)
		if err != nil {
			continue
		}
		l.options.Send(message.GetTo(), encoded)
	}
}

// handleSoftState stores who leads. If this voter has lost the leadership, all waiting calls fail with ErrNotLeader.
func (l *Log) handleSoftState(state *raft.SoftState) {
	l.mu.Lock()
	l.leader = state.Lead
	l.mu.Unlock()
	isLeader := state.RaftState == raft.StateLeader
	if isLeader == l.isLeader {
		return
	}
	l.isLeader = isLeader
	clear(l.silentTicks)
	clear(l.snapshotTicks)
	if !isLeader {
		l.stopLeading()
	}
	l.options.LeadershipChanged(isLeader)
}

// stopLeading clears the voter statuses, and fails all waiting calls with ErrNotLeader.
func (l *Log) stopLeading() {
	l.mu.Lock()
	l.voterStatuses = nil
	l.mu.Unlock()
	l.reads.failAll(ErrNotLeader)
	for id, result := range l.proposals {
		result <- ErrNotLeader
		delete(l.proposals, id)
	}
}

package raftlog

import (
	"context"
	"encoding/json"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/decisions/voters"
)

// request is a caller's request to the goroutine of Run: a proposal, a change of the voters or, if both are nil, a confirmation
// of the leadership. result has capacity for the one result, so that Run never blocks on it.
type request struct {
	entry  *configversions.Entry
	change *voters.Change
	result chan<- error
}

// Propose appends an entry to the log and waits until this voter has applied it. It returns ErrNotLeader, or the error with
// which the record rejected the entry. If the context ends first, or the leadership is lost, the entry may still be applied
// later.
func (l *Log) Propose(ctx context.Context, entry configversions.Entry) error {
	return l.do(ctx, request{entry: &entry})
}

// Confirm waits until a majority of the voters has confirmed that this one leads, and until this one has applied all entries
// that were committed before the call. It returns ErrNotLeader if this voter does not lead.
func (l *Log) Confirm(ctx context.Context) error {
	return l.do(ctx, request{})
}

// ChangeVoters proposes a change of the raft group. Only one change may be in progress: during another change it returns
// ErrVoterChangeInProgress. It returns once the change is in the log of this voter; the record shows when it is applied.
func (l *Log) ChangeVoters(ctx context.Context, change voters.Change) error {
	return l.do(ctx, request{change: &change})
}

// do passes a request to Run and waits for its result.
func (l *Log) do(ctx context.Context, req request) error {
	result := make(chan error, 1)
	req.result = result
	select {
	case l.requests <- req:
	case <-l.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-result:
		return err
	case <-l.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// handleRequest starts a caller's request. Only the leader serves requests.
func (l *Log) handleRequest(req request) {
	switch {
	case !l.isLeader:
		req.result <- ErrNotLeader
	case req.change != nil:
		req.result <- l.proposeChange(req.change)
	case req.entry != nil:
		l.proposeEntry(req)
	default:
		l.reads.queued = append(l.reads.queued, req.result)
		l.requestReadIndex()
	}
}

// proposeEntry proposes the entry of a request. The result is sent when the entry is applied.
func (l *Log) proposeEntry(req request) {
	encoded, err := json.Marshal(req.entry)
	if err == nil {
		err = l.node.Propose(encoded)
	}
	if err != nil {
		req.result <- err
		return
	}
	l.proposals[req.entry.ID] = req.result
}

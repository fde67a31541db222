package raftlog

import (
	"encoding/binary"
	"time"

	"go.etcd.io/raft/v3"
)

// minReadInterval is the shortest time between two ReadIndex requests. It is a little less than a tick, so that a request
// that waits for the next tick is not delayed by another tick.
const minReadInterval = tickInterval - tickInterval/10

// readIndexes are the callers of Confirm, by the stage of the confirmation: queued, in flight, then confirmed by a majority
// and waiting for entries to be applied. Only the goroutine of Run uses it.
type readIndexes struct {
	queued    []chan<- error // callers that wait for the next ReadIndex request
	inFlight  []chan<- error // callers that wait for the response to the last ReadIndex request
	confirmed []confirmedRead
	requestID uint64 // of the last ReadIndex request
	sentAt    time.Time
}

// confirmedRead is a caller for which a majority has confirmed the leadership. It waits until the entry at index is applied.
type confirmedRead struct {
	index  uint64
	result chan<- error
}

// requestReadIndex asks the other voters whether this one still leads, once for all queued callers. Only one request is in flight
// at a time; raft repeats it with its heartbeats until a majority has answered. Later callers wait for the next request, at least
// minReadInterval after this one, because each request costs a message to and from every voter.
func (l *Log) requestReadIndex() {
	reads := &l.reads
	if len(reads.inFlight) > 0 || len(reads.queued) == 0 || time.Since(reads.sentAt) < minReadInterval {
		return
	}
	reads.inFlight = reads.queued
	reads.queued = nil
	reads.sentAt = time.Now()
	reads.requestID++
	l.node.ReadIndex(binary.BigEndian.AppendUint64(nil, reads.requestID))
}

// handleReadStates marks the callers in flight as confirmed if states contain the response to the last request. Responses to
// earlier requests belong to an earlier leadership.
func (r *readIndexes) handleReadStates(states []raft.ReadState) {
	for _, state := range states {
		if binary.BigEndian.Uint64(state.RequestCtx) != r.requestID {
			continue
		}
		for _, result := range r.inFlight {
			r.confirmed = append(r.confirmed, confirmedRead{state.Index, result})
		}
		r.inFlight = nil
	}
}

// completeUpTo completes the confirmed calls that waited for entries up to appliedIndex.
func (r *readIndexes) completeUpTo(appliedIndex uint64) {
	remaining := r.confirmed[:0]
	for _, read := range r.confirmed {
		if read.index <= appliedIndex {
			read.result <- nil
		} else {
			remaining = append(remaining, read)
		}
	}
	r.confirmed = remaining
}

// failAll fails all calls with an error.
func (r *readIndexes) failAll(err error) {
	for _, result := range append(r.inFlight, r.queued...) {
		result <- err
	}
	for _, read := range r.confirmed {
		read.result <- err
	}
	r.inFlight = nil
	r.queued = nil
	r.confirmed = nil
}

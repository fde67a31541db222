package transport

import (
	"crypto/sha256"
	"encoding/json"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"brassdale/internal/protocol"
	"brassdale/internal/routing"
	"brassdale/scheduler"
)

const (
	// Events of one job, of which progress may take so many: an endpoint that floods is cut short.
	maxProgressEvents  = 256
	eventOverheadBytes = 64 // of an event beside its data, in memory
)

// jobStream is a job with its events so far. Each reader goes through them at its own pace, so a slow one
// holds up neither the core, which only appends, nor another reader.
type jobStream struct {
	table               *IdempotencyTable // where it is remembered
	key                 string
	id                  string // Req-Id of the request that started it
	digest              [sha256.Size]byte
	deduplicationWindow time.Duration

	release func() // frees the id, once

	// Guarded by keys.mu.
	requestID          scheduler.RequestID
	readers            int  // that wait for the answer and no more
	runsWithoutReaders bool // it goes on without any

	mu            sync.Mutex
	forgetAt      time.Time // when it is, once it has ended
	events        []protocol.Event
	started       bool
	finalAnswer   *routing.Answer
	changed       chan struct{} // closed and made anew with each event
	retainedBytes atomic.Int64
}

func (j *jobStream) rejected() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.finalAnswer != nil && j.finalAnswer.Verdict == routing.Rejected
}

func (j *jobStream) hasEnded() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.finalAnswer != nil
}

// eventsAfter gives the events behind the first so many; not ok if there are not so many.
func (j *jobStream) eventsAfter(seen int) (events []protocol.Event, final *routing.Answer, changed <-chan struct{}, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if seen > len(j.events) {
		return nil, nil, nil, false
	}
	return j.events[seen:len(j.events):len(j.events)], j.finalAnswer, j.changed, true
}

// appendEvent appends an event; j.mu is held.
func (j *jobStream) appendEvent(name string, retry time.Duration, data any) {
	if !j.table.recordEvents {
		if j.finalAnswer != nil {
			close(j.changed)
		}
		return
	}
	text, err := json.Marshal(data)
	if err != nil { // of plain values: cannot be
		text = []byte("{}")
	}
	j.events = append(j.events, protocol.Event{ID: strconv.Itoa(len(j.events) + 1), Name: name, Data: string(text), Retry: retry})
	j.retainedBytes.Add(int64(len(text)) + eventOverheadBytes)
	j.table.retainedBytes.Add(int64(len(text)) + eventOverheadBytes)
	close(j.changed)
	j.changed = make(chan struct{})
}

// eventData is what an event's data holds; each event uses some.
type eventData struct {
	ID           string   `json:"id"`
	Attempt      *int     `json:"attempt,omitempty"`
	Share        *float64 `json:"share,omitempty"`
	Result       *string  `json:"result,omitempty"`
	Reason       string   `json:"reason,omitempty"`
	RetryAfterMS int64    `json:"retry_after_ms,omitempty"`
}

// Began tells of the first start only: that a job was sent again is the dispatcher's matter.
func (j *jobStream) AttemptStarted(attempt int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.started && j.finalAnswer == nil {
		j.started = true
		j.appendEvent("started", 0, eventData{ID: j.id, Attempt: &attempt})
	}
}

// Progressed tells how far an attempt is. A further attempt starts over.
func (j *jobStream) AttemptProgressed(attempt int, share float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.finalAnswer == nil && len(j.events) < maxProgressEvents {
		j.appendEvent("progress", 0, eventData{ID: j.id, Attempt: &attempt, Share: &share})
	}
}

// Answered ends the job. It is remembered for its window from now on, which ends later than the one in
// which endpoints drop a repeat.
func (j *jobStream) Answered(a routing.Answer) {
	j.release()
	j.finish(a)
	j.table.sendToSuccessor(j)
}

// finish gives the job its answer.
func (j *jobStream) finish(a routing.Answer) {
	j.recordFinalAnswer(a)
	j.table.forgetAfter(j, j.deduplicationWindow)
}

func (j *jobStream) recordFinalAnswer(a routing.Answer) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.finalAnswer = &a
	j.forgetAt = time.Now().Add(j.deduplicationWindow)
	switch a.Verdict {
	case routing.Served:
		result := string(a.Result)
		j.retainedBytes.Add(int64(len(a.Result)))
		j.table.retainedBytes.Add(int64(len(a.Result)))
		j.appendEvent("done", 0, eventData{ID: j.id, Result: &result})
	case routing.Rejected:
		j.appendEvent("refused", a.RetryAfter, eventData{ID: j.id, RetryAfterMS: a.RetryAfter.Milliseconds()})
	default:
		reason := "failed"
		if a.DeadlinePassed {
			reason = "deadline"
		}
		j.appendEvent("failed", 0, eventData{ID: j.id, Reason: reason})
	}
}

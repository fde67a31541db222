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
	mostEvents = 256
	eventCost  = 64 // of an event beside its data, in memory
)

// watched is a job with its events so far. Each reader goes through them at its own pace, so a slow one
// holds up neither the core, which only appends, nor another reader.
type watched struct {
	keys   *IdempotencyTable // where it is remembered
	key    string
	id     string // Req-Id of the request that started it
	digest [sha256.Size]byte
	window time.Duration

	release func() // frees the id, once

	// Guarded by keys.mu.
	request scheduler.RequestID
	readers int  // that wait for the answer and no more
	kept    bool // it goes on without any

	mu      sync.Mutex
	forget  time.Time // when it is, once it has ended
	events  []protocol.Event
	started bool
	final   *routing.Answer
	changed chan struct{} // closed and made anew with each event
	bytes   atomic.Int64
}

func (j *watched) refused() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.final != nil && j.final.Verdict == routing.Rejected
}

func (j *watched) ended() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.final != nil
}

// after gives the events behind the first so many; not ok if there are not so many.
func (j *watched) after(seen int) (events []protocol.Event, final *routing.Answer, changed <-chan struct{}, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if seen > len(j.events) {
		return nil, nil, nil, false
	}
	return j.events[seen:len(j.events):len(j.events)], j.final, j.changed, true
}

// add appends an event; j.mu is held.
func (j *watched) add(name string, retry time.Duration, data any) {
	if !j.keys.streams {
		if j.final != nil {
			close(j.changed)
		}
		return
	}
	text, err := json.Marshal(data)
	if err != nil { // of plain values: cannot be
		text = []byte("{}")
	}
	j.events = append(j.events, protocol.Event{ID: strconv.Itoa(len(j.events) + 1), Name: name, Data: string(text), Retry: retry})
	j.bytes.Add(int64(len(text)) + eventCost)
	j.keys.bytes.Add(int64(len(text)) + eventCost)
	close(j.changed)
	j.changed = make(chan struct{})
}

// news is what an event's data holds; each event uses some.
type news struct {
	ID           string   `json:"id"`
	Attempt      *int     `json:"attempt,omitempty"`
	Share        *float64 `json:"share,omitempty"`
	Result       *string  `json:"result,omitempty"`
	Reason       string   `json:"reason,omitempty"`
	RetryAfterMS int64    `json:"retry_after_ms,omitempty"`
}

// Began tells of the first start only: that a job was sent again is the dispatcher's matter.
func (j *watched) AttemptStarted(attempt int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.started && j.final == nil {
		j.started = true
		j.add("started", 0, news{ID: j.id, Attempt: &attempt})
	}
}

// Progressed tells how far an attempt is. A further attempt starts over.
func (j *watched) AttemptProgressed(attempt int, share float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.final == nil && len(j.events) < mostEvents {
		j.add("progress", 0, news{ID: j.id, Attempt: &attempt, Share: &share})
	}
}

// Answered ends the job. It is remembered for its window from now on, which ends later than the one in
// which endpoints drop a repeat.
func (j *watched) Answered(a routing.Answer) {
	j.release()
	j.end(a)
	j.keys.hand(j)
}

// end gives the job its answer.
func (j *watched) end(a routing.Answer) {
	j.conclude(a)
	j.keys.retire(j, j.window)
}

func (j *watched) conclude(a routing.Answer) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.final = &a
	j.forget = time.Now().Add(j.window)
	switch a.Verdict {
	case routing.Served:
		result := string(a.Result)
		j.bytes.Add(int64(len(a.Result)))
		j.keys.bytes.Add(int64(len(a.Result)))
		j.add("done", 0, news{ID: j.id, Result: &result})
	case routing.Rejected:
		j.add("refused", a.RetryAfter, news{ID: j.id, RetryAfterMS: a.RetryAfter.Milliseconds()})
	default:
		reason := "failed"
		if a.DeadlinePassed {
			reason = "deadline"
		}
		j.add("failed", 0, news{ID: j.id, Reason: reason})
	}
}

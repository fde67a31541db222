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
	maxProgressEvents  = 256 // events of a job after which further progress is dropped, because a worker may report progress without end
	eventOverheadBytes = 64  // memory of an event besides its data
)

// jobStream is a job of the IdempotencyTable with its events so far. It is the routing.Client of the job: the core appends
// events, and each reader follows them at its own pace with eventsAfter, so a slow reader delays neither the core nor
// another reader.
//
// Events are only appended, and no event follows the final answer. Methods may be called from any goroutine and do
// not block.
type jobStream struct {
	table               *IdempotencyTable
	key                 string            // Idempotency-Key; empty for a job that no other request can join
	id                  string            // Req-Id of the request that started it
	digest              [sha256.Size]byte // of target, account and body
	deduplicationWindow time.Duration     // how long the job is remembered after its end
	releaseID           func()            // releases id in InFlightIDs; further calls do nothing
	recordEnd           func()            // removes the job from IdempotencyTable.RunningJobs; further calls do nothing

	// Guarded by table.mu.
	requestID          scheduler.RequestID // the core's id of the job; 0 until the job was submitted
	readers            int                 // requests that wait for the job
	runsWithoutReaders bool                // it is not abandoned when its last reader leaves

	mu          sync.Mutex
	forgetAt    time.Time // when it is forgotten; set with finalAnswer
	events      []protocol.Event
	started     bool // the event "started" was recorded
	finalAnswer *routing.Answer
	changed     chan struct{} // closed when something is recorded; replaced if more may follow

	retainedBytes atomic.Int64 // events and answer, as counted in table.retainedBytes
}

// newJobStream returns the stream of a job that is about to start.
func (t *IdempotencyTable) newJobStream(job *protocol.Job, digest [sha256.Size]byte) *jobStream {
	return &jobStream{
		table:               t,
		key:                 job.IdempotencyKey,
		id:                  job.ID,
		digest:              digest,
		deduplicationWindow: job.DeduplicationWindow,
		releaseID:           sync.OnceFunc(func() { t.inFlightIDs.releaseEverywhere(job.ID) }),
		recordEnd:           func() {},
		changed:             make(chan struct{}),
	}
}

// rejected reports whether the job ended without having run.
func (s *jobStream) rejected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.finalAnswer != nil && s.finalAnswer.Verdict == routing.Rejected
}

// hasEnded reports whether the job has its final answer.
func (s *jobStream) hasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.finalAnswer != nil
}

// eventsAfter returns the events that the reader has not seen, the final answer (nil while there is none), and a channel that is
// closed at the next event. The parameter seen is how many events the reader has seen; ok is false if the job has fewer.
func (s *jobStream) eventsAfter(seen int) (events []protocol.Event, answer *routing.Answer, changed <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if seen > len(s.events) {
		return nil, nil, nil, false
	}
	return s.events[seen:len(s.events):len(s.events)], s.finalAnswer, s.changed, true
}

// AttemptStarted records the start of the first attempt. Retries and hedges are not shown to clients.
func (s *jobStream) AttemptStarted(attempt int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.started && s.finalAnswer == nil {
		s.started = true
		s.appendEventLocked("started", 0, eventData{ID: s.id, Attempt: &attempt})
	}
}

// AttemptProgressed records the share of the job that an attempt has done. Each further attempt starts again from 0.
func (s *jobStream) AttemptProgressed(attempt int, share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finalAnswer == nil && len(s.events) < maxProgressEvents {
		s.appendEventLocked("progress", 0, eventData{ID: s.id, Attempt: &attempt, Share: &share})
	}
}

// Answered ends the job with the core's final answer, and sends it to a successor process.
func (s *jobStream) Answered(answer routing.Answer) {
	s.releaseID()
	s.finish(answer)
	s.table.sendToSuccessor(s)
	s.recordEnd()
}

// finish records the final answer. The deduplication window begins now.
func (s *jobStream) finish(answer routing.Answer) {
	s.recordFinalAnswer(answer)
	s.table.forgetAfter(s, s.deduplicationWindow)
}

func (s *jobStream) recordFinalAnswer(answer routing.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finalAnswer = &answer
	s.forgetAt = time.Now().Add(s.deduplicationWindow)
	switch answer.Verdict {
	case routing.Served:
		result := string(answer.Result)
		s.retain(int64(len(answer.Result)))
		s.appendEventLocked("done", 0, eventData{ID: s.id, Result: &result})
	case routing.Rejected:
		s.appendEventLocked("refused", answer.RetryAfter, eventData{ID: s.id, RetryAfterMS: answer.RetryAfter.Milliseconds()})
	default:
		reason := "failed"
		if answer.DeadlinePassed {
			reason = "deadline"
		}
		s.appendEventLocked("failed", 0, eventData{ID: s.id, Reason: reason})
	}
}

// eventData is the data of an event, as JSON; each kind of event sets some of the fields.
type eventData struct {
	ID           string   `json:"id"`
	Attempt      *int     `json:"attempt,omitempty"`
	Share        *float64 `json:"share,omitempty"`
	Result       *string  `json:"result,omitempty"`
	Reason       string   `json:"reason,omitempty"`
	RetryAfterMS int64    `json:"retry_after_ms,omitempty"`
}

// appendEventLocked records an event and wakes the readers. If events are not recorded, only the final answer wakes them.
// s.mu is held.
func (s *jobStream) appendEventLocked(name string, retry time.Duration, data eventData) {
	if !s.table.recordEvents {
		if s.finalAnswer != nil {
			close(s.changed)
		}
		return
	}
	text, err := json.Marshal(data)
	if err != nil { // the share is not a finite number
		text = []byte("{}")
	}
	s.events = append(s.events, protocol.Event{ID: strconv.Itoa(len(s.events) + 1), Name: name, Data: string(text), Retry: retry})
	s.retain(int64(len(text)) + eventOverheadBytes)
	close(s.changed)
	s.changed = make(chan struct{})
}

// retain adds to the count of bytes that are kept until the job is forgotten.
func (s *jobStream) retain(size int64) {
	s.retainedBytes.Add(size)
	s.table.retainedBytes.Add(size)
}

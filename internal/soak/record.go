package soak

import (
	"sync"
	"time"
)

// Request is what a client saw of a request.
type Request struct {
	ID         string
	Dispatcher int
	Life       int       // of the dispatcher's process
	Written    time.Time // its last byte; zero while it is not whole
	Deadline   time.Duration
	Reused     bool      // its connection had carried another before
	Left       time.Time // when its client closed or gave up; zero if it stayed
	Status     int       // of the whole answer; 0 for none
	Result     string
	Answered   time.Time // when the answer was whole, or the connection ended
	Why        string    // how the connection ended without an answer
	Resent     bool      // it was sent again on a new connection, under another id
}

// Attempt is what a worker saw of an attempt.
type Attempt struct {
	ID         string
	Dispatcher int
	Worker     int
	Cell       int
	First      time.Time // its first byte
	Last       time.Time // its last byte
	Told       time.Duration
	Ran        bool // it may have run
	Result     string
	Ended      time.Time // when the worker was done with it, or saw it given up
}

// Life is one process of a dispatcher.
type Life struct {
	Dispatcher int
	Number     int
	Started    time.Time
	Ready      time.Time
	Term       time.Time // SIGTERM
	Ended      time.Time
	Killed     bool // by SIGKILL
	Crashed    string
}

// Answer is what discovery wrote to a dispatcher, whole.
type Answer struct {
	Dispatcher int
	At         time.Time
	Revision   int
}

// Change is a worker's change in discovery's list.
type Change struct {
	Revision int
	At       time.Time
	Worker   int
	Phase    string
	Cold     bool // it has started just then
}

// Outage is a time in which discovery answered nobody.
type Outage struct{ From, To time.Time }

// Record is all that the peers saw in a run.
type Record struct {
	mu       sync.Mutex
	Begun    time.Time
	Requests []*Request
	Attempts []*Attempt
	Lives    []*Life
	Answers  []Answer
	Changes  []Change
	Outages  []Outage
	Events   []string // with their times, for timelines
}

func (r *Record) add(do func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	do()
}

func (r *Record) request(q *Request) { r.add(func() { r.Requests = append(r.Requests, q) }) }
func (r *Record) attempt(a *Attempt) { r.add(func() { r.Attempts = append(r.Attempts, a) }) }
func (r *Record) answer(a Answer)    { r.add(func() { r.Answers = append(r.Answers, a) }) }

// lastAnswer gives when discovery last told a dispatcher its list.
func (r *Record) lastAnswer(dispatcher int) (at time.Time) {
	r.add(func() {
		for i := len(r.Answers) - 1; i >= 0 && at.IsZero(); i-- {
			if r.Answers[i].Dispatcher == dispatcher {
				at = r.Answers[i].At
			}
		}
	})
	return at
}

func (r *Record) change(c Change) { r.add(func() { r.Changes = append(r.Changes, c) }) }
func (r *Record) life(l *Life)    { r.add(func() { r.Lives = append(r.Lives, l) }) }

package soak

import (
	"sync"
	"time"
)

// Request is what a client saw of a request.
type Request struct {
	ID               string
	Dispatcher       int
	ProcessRun       int       // of the dispatcher's process
	WrittenAt        time.Time // its last byte; zero while it is not whole
	Deadline         time.Duration
	ConnectionReused bool      // its connection had carried another before
	LeftAt           time.Time // when its client closed or gave up; zero if it stayed
	Status           int       // of the whole answer; 0 for none
	Result           string
	AnsweredAt       time.Time // when the answer was whole, or the connection ended
	Error            string    // how the connection ended without an answer
	Resent           bool      // it was sent again on a new connection, under another id
}

// Attempt is what a worker saw of an attempt.
type Attempt struct {
	ID              string
	Dispatcher      int
	Worker          int
	Cell            int
	FirstByteAt     time.Time // its first byte
	LastByteAt      time.Time // its last byte
	Timeout         time.Duration
	MayHaveExecuted bool // it may have run
	Result          string
	EndedAt         time.Time // when the worker was done with it, or saw it given up
}

// ProcessRun is one process of a dispatcher.
type ProcessRun struct {
	Dispatcher int
	Number     int
	StartedAt  time.Time
	ReadyAt    time.Time
	SIGTERMAt  time.Time // SIGTERM
	EndedAt    time.Time
	Killed     bool // by SIGKILL
	Crashed    string
}

// DiscoveryAnswer is what discovery wrote to a dispatcher, whole.
type DiscoveryAnswer struct {
	Dispatcher int
	At         time.Time
	Revision   int
}

// EndpointChange is a worker's change in discovery's list.
type EndpointChange struct {
	Revision  int
	At        time.Time
	Worker    int
	Phase     string
	Restarted bool // it has started just then
}

// DiscoveryOutage is a time in which discovery answered nobody.
type DiscoveryOutage struct{ From, To time.Time }

// Record is all that the peers saw in a run.
type Record struct {
	mu               sync.Mutex
	StartedAt        time.Time
	Requests         []*Request
	Attempts         []*Attempt
	ProcessRuns      []*ProcessRun
	DiscoveryAnswers []DiscoveryAnswer
	EndpointChanges  []EndpointChange
	Outages          []DiscoveryOutage
	Events           []string // with their times, for timelines
}

func (r *Record) locked(do func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	do()
}

func (r *Record) addRequest(q *Request) { r.locked(func() { r.Requests = append(r.Requests, q) }) }
func (r *Record) addAttempt(a *Attempt) { r.locked(func() { r.Attempts = append(r.Attempts, a) }) }
func (r *Record) addAnswer(a DiscoveryAnswer) {
	r.locked(func() { r.DiscoveryAnswers = append(r.DiscoveryAnswers, a) })
}

// lastAnswerAt gives when discovery last told a dispatcher its list.
func (r *Record) lastAnswerAt(dispatcher int) (at time.Time) {
	r.locked(func() {
		for i := len(r.DiscoveryAnswers) - 1; i >= 0 && at.IsZero(); i-- {
			if r.DiscoveryAnswers[i].Dispatcher == dispatcher {
				at = r.DiscoveryAnswers[i].At
			}
		}
	})
	return at
}

func (r *Record) addChange(c EndpointChange) {
	r.locked(func() { r.EndpointChanges = append(r.EndpointChanges, c) })
}
func (r *Record) addProcessRun(l *ProcessRun) {
	r.locked(func() { r.ProcessRuns = append(r.ProcessRuns, l) })
}

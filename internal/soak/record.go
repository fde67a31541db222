package soak

import (
	"sync"
	"time"
)

// Request is a client's record of a request.
type Request struct {
	ID               string
	Dispatcher       int
	ProcessRun       int       // number of the dispatcher's process
	WrittenAt        time.Time // when its last byte was written; zero if it was never complete
	Deadline         time.Duration
	ConnectionReused bool      // its connection had carried another request before
	LeftAt           time.Time // when its client closed the connection or gave up; zero if it stayed
	Status           int       // of a complete answer; 0 if there is none
	Result           string
	AnsweredAt       time.Time // when the answer was complete, or the connection ended
	Error            string    // how the connection ended if there was no answer
	Resent           bool      // it was sent again on a new connection, with another ID
	HTTP2            bool      // it was sent to the HTTP/2 frontend
	ReturnedKey      string    // the key of an earlier request, whose client has left; empty if its key is its own
	ConnectionEnded  bool      // for HTTP2: its connection or stream ended without an answer; false if its client gave up
}

// Attempt is a worker's record of an attempt.
type Attempt struct {
	ID              string
	Key             string // its idempotency key; empty for none
	Dispatcher      int
	Worker          int
	Cell            int
	FirstByteAt     time.Time     // when its first byte arrived
	LastByteAt      time.Time     // when its last byte arrived
	Timeout         time.Duration // the remaining time that the dispatcher sent to the worker
	MayHaveExecuted bool          // false only if the worker certainly did not run it
	Result          string
	Broken          bool      // the worker broke the connection or hung
	EndedAt         time.Time // when the worker finished the job, or saw it cancelled
}

// ProcessRun is one process of a dispatcher, from its start to its end.
type ProcessRun struct {
	Dispatcher int
	Number     int
	StartedAt  time.Time
	ReadyAt    time.Time
	SIGTERMAt  time.Time // zero if it got no SIGTERM
	EndedAt    time.Time
	Killed     bool   // the run sent SIGKILL
	PeakMemory int64  // of its resident memory, in bytes; 0 if it was never read
	Crashed    string // how it exited if that was unexpected; empty otherwise
}

// DiscoveryAnswer is a list that discovery wrote completely to a dispatcher.
type DiscoveryAnswer struct {
	Dispatcher int
	At         time.Time
	Revision   int
}

// EndpointChange is a change of a worker in discovery's list.
type EndpointChange struct {
	Revision    int
	At          time.Time
	Worker      int
	Phase       string
	JustStarted bool // the worker has just started, and warms up
}

// DiscoveryOutage is a period in which discovery rejected all calls.
type DiscoveryOutage struct{ From, To time.Time }

// Record is everything that the peers recorded in a run. Its methods are safe for concurrent use. The fields are read only after the
// run, or within locked.
type Record struct {
	mu               sync.Mutex
	StartedAt        time.Time
	Requests         []*Request
	Attempts         []*Attempt
	ProcessRuns      []*ProcessRun
	DiscoveryAnswers []DiscoveryAnswer
	EndpointChanges  []EndpointChange
	Outages          []DiscoveryOutage
	Events           []string // with their times
}

// locked calls the function do. Meanwhile no other goroutine changes the record.
func (r *Record) locked(do func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	do()
}

func (r *Record) addRequest(request *Request) {
	r.locked(func() { r.Requests = append(r.Requests, request) })
}
func (r *Record) addAttempt(attempt *Attempt) {
	r.locked(func() { r.Attempts = append(r.Attempts, attempt) })
}
func (r *Record) addAnswer(answer DiscoveryAnswer) {
	r.locked(func() { r.DiscoveryAnswers = append(r.DiscoveryAnswers, answer) })
}

// lastAnswerAt returns when discovery last wrote a list to a dispatcher, or a zero time if it never did.
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

func (r *Record) addChange(change EndpointChange) {
	r.locked(func() { r.EndpointChanges = append(r.EndpointChanges, change) })
}
func (r *Record) addProcessRun(run *ProcessRun) {
	r.locked(func() { r.ProcessRuns = append(r.ProcessRuns, run) })
}

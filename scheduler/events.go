package scheduler

import "time"

// Instant is a point in time, as the time since an epoch that the caller chooses (package routing: the Unix epoch). The caller's time
// never goes back.
type Instant = time.Duration

// RequestID identifies one arrival of a request: a client's retry gets another one. It is never reused within a scheduler's life.
type RequestID uint64

// WorkerID is the stable name of a worker. It carries no other information.
type WorkerID string

// Event is something that happened to a dispatcher. The events are the structs below.
type Event interface{ event() }

// ListKind says how an EndpointsUpdated event relates to the previous endpoint list.
type ListKind uint8

// The kinds of endpoint updates.
const (
	ListDelta  ListKind = iota // only the workers that changed
	ListFull                   // all workers; absent ones are gone
	ListCached                 // all workers from a cached list, which may be old
	ListFailed                 // the call failed or the watch broke; the previous list still applies
)

// WorkerState is a worker's state in the endpoint list.
type WorkerState uint8

// The states of a worker: it takes requests; it only finishes the requests it has; it is no longer listed.
const (
	Ready WorkerState = iota
	Draining
	Gone
)

// String returns a state's name in log lines.
func (s WorkerState) String() string {
	return [...]string{Ready: "active", Draining: "draining", Gone: "gone"}[s]
}

// WorkerInfo is one entry of the endpoint list.
type WorkerInfo struct {
	ID             WorkerID
	State          WorkerState
	Zone           int
	Cell           int
	MachineKind    int
	Weight         float64 // relative size
	StartedAt      Instant // when it last started; 0 for long ago
	StartConfirmed bool    // StartedAt replaces the known start even if it is earlier

	// ReturnUnconfirmed is set for a worker that is known as Draining and is ready in a list that may be older than this knowledge.
	// It gets a request only if no other worker may run it.
	ReturnUnconfirmed bool
}

// EndpointsUpdated brings an update of the endpoint list.
type EndpointsUpdated struct {
	ListKind ListKind
	Workers  []WorkerInfo
	AsOf     Instant // the list now includes all changes up to this time; 0 if this time is the same as before
}

// RequestArrived is a client's request. It gets one final answer (Reject, Fail or a served attempt) by Deadline.
type RequestArrived struct {
	ID            RequestID
	Class         int           // number in Settings.Classes; an unknown one counts as 0
	Slots         float64       // number of a worker's slots that its job takes; 0 or less, or not a number, counts as 1
	Deadline      Instant       // when the client stops waiting
	EstimatedWork time.Duration // rough estimate of its runtime; 0 if unknown
	AffinityKey   uint64        // requests with the same key should share workers; 0 for no key
	AllowedZones  uint64        // zones that it may be sent to, a bit for each zone number; 0 for all

	// IdempotencyKey is the key by which workers recognize a repeat of the job; empty for no key.
	IdempotencyKey string
}

// Outcome is how an attempt or a probe ended.
type Outcome uint8

// The outcomes.
const (
	Served         Outcome = iota
	Errored                // ended with an error; may have executed
	Full                   // rejected by the worker for lack of capacity; never executed
	TimedOut               // may have executed, or may still execute
	NoConnect              // no connection, or the request was not written completely; never executed
	Reset                  // the connection broke; may have executed
	Cancelled              // cancelled by the dispatcher; may have executed
	NeverSent              // its write did not begin; never executed
	InvalidRequest         // the request itself is invalid; never executed, and no other worker would execute it
)

var outcomeNames = [...]string{Served: "served", Errored: "errored", Full: "full", TimedOut: "timed out", NoConnect: "no connection",
	Reset: "reset", Cancelled: "cancelled", NeverSent: "never sent", InvalidRequest: "rejected"}

// String returns an outcome's name in log lines.
func (o Outcome) String() string { return outcomeNames[o] }

// Report is the load that a worker reports of itself. A field that is negative or not a finite number counts as not reported.
type Report struct {
	Busy      float64 // share of its cores that is busy
	Requests  float64 // number of requests that run or are queued at the worker
	FreeSlots float64
	Queue     float64 // number of requests that are queued at the worker
}

// AttemptFinished brings the outcome of an attempt; each Send gets exactly one.
type AttemptFinished struct {
	ID             RequestID
	Attempt        int // number of the attempt, as in Send
	Worker         WorkerID
	Outcome        Outcome
	Final          bool          // the client has its answer, or the request had ended before
	Report         *Report       // nil if there is none
	ConnectionIdle time.Duration // how long the connection had been idle before the attempt; below 0 if unknown
}

// ProbeCompleted brings the outcome of a Probe.
type ProbeCompleted struct {
	Worker  WorkerID
	Outcome Outcome // Served if the worker has answered that it takes requests
	Report  *Report // nil if there is none
}

// AttemptWaits says that an attempt waits for a connection, because this process has reached its connection limit, or that the wait
// has ended. While the attempt waits, nothing is sent to the worker. An attempt without such an event does not wait.
type AttemptWaits struct {
	ID      RequestID
	Attempt int
	Worker  WorkerID
	Waits   bool
}

// AttemptStarted says that an attempt's job runs. Streamed is set when the answer has begun to reach the client: the client
// depends on this attempt from then on.
type AttemptStarted struct {
	ID       RequestID
	Attempt  int
	Worker   WorkerID
	Streamed bool
}

// AttemptProgressed brings the share, from 0 to 1, of an attempt's job that is done.
type AttemptProgressed struct {
	ID      RequestID
	Attempt int
	Worker  WorkerID
	Share   float64
}

// ClientLeft says that the client has left: the request needs no answer any more.
type ClientLeft struct{ ID RequestID }

// ShutdownStarted says that this process ends at Deadline: open requests, and those that still arrive, are answered by then.
type ShutdownStarted struct{ Deadline Instant }

// WorkerDetached says that the operator has detached a worker: it gets no requests, regardless of the endpoint list.
type WorkerDetached struct{ Worker WorkerID }

// WorkerReattached ends a detachment. The worker was most likely restarted, so its statistics are reset.
type WorkerReattached struct{ Worker WorkerID }

// ProcessCountChanged brings the number of processes that act as this dispatcher: two during a handover.
type ProcessCountChanged struct{ Processes int }

// SettingsChanged brings new settings. A class keeps its number for the scheduler's life: new classes are appended, and a class
// whose rules change becomes a new one. Open requests keep the settings that they arrived under.
type SettingsChanged struct{ Settings Settings }

// LearnedStateReceived brings what an earlier process has learned. It comes from one of two sources:
//
//   - The predecessor from which this process takes over: after the first endpoint list and before any request.
//   - The endpoint cache (FromCache): the classes at the start; later the workers, without classes, once discovery has confirmed them.
//
// An event with classes that is not FromCache makes this process a successor (Scheduler.tookOver).
type LearnedStateReceived struct {
	LearnedState LearnedState
	FromCache    bool // from the endpoint cache: the process that learned it may have been killed a moment ago
}

// KeyedRunsReceived brings idempotency keys that may have run in another process that acts as this dispatcher.
type KeyedRunsReceived struct{ Runs []KeyedRun }

// TimerFired answers a SetTimer.
type TimerFired struct{ Token uint64 }

func (EndpointsUpdated) event()     {}
func (RequestArrived) event()       {}
func (AttemptFinished) event()      {}
func (ProbeCompleted) event()       {}
func (AttemptWaits) event()         {}
func (AttemptStarted) event()       {}
func (AttemptProgressed) event()    {}
func (ClientLeft) event()           {}
func (ShutdownStarted) event()      {}
func (WorkerDetached) event()       {}
func (WorkerReattached) event()     {}
func (ProcessCountChanged) event()  {}
func (SettingsChanged) event()      {}
func (LearnedStateReceived) event() {}
func (KeyedRunsReceived) event()    {}
func (TimerFired) event()           {}

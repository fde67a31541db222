package scheduler

import "time"

// Clock is a point in time: the time since an epoch that the caller picks and never moves back.
type Clock = time.Duration

// RequestID names one try of a client; never reused within a dispatcher's life.
type RequestID uint64

// WorkerID is the stable name of a worker. It tells nothing but which worker it is.
type WorkerID string

// Idempotency says what repeating a request may do.
type Idempotency uint8

const (
	Idempotent        Idempotency = iota // may be repeated and refused at will
	IdempotentWithKey                    // repeats are dropped within a group of workers, for Class.Window
	NonIdempotent                        // must never run twice
)

// DeduplicationScope is the group of workers that drops the repeats of a keyed request.
type DeduplicationScope uint8

// The scopes: all workers, those of one zone, those of one cell.
const (
	ScopeAll DeduplicationScope = iota
	ScopeZone
	ScopeCell
)

// Class describes one kind of request.
type Class struct {
	LatencyObjective    time.Duration // an answer inside Aim + Stretch x own work earns the full worth
	ObjectiveStretch    float64
	Deadline            time.Duration // how long a client waits over all its tries
	PriorityWeight      float64
	LateWeight          float64 // share of the worth for an answer after the aim
	Idempotency         Idempotency
	DeduplicationScope  DeduplicationScope
	DeduplicationWindow time.Duration // how long a keyed repeat is remembered
	Streamed            bool
	MachineKind         int // the only machine kind that runs it, or -1 for any
}

// Settings are what a dispatcher is told at its start. The zero value is usable: absent limits
// fall to the cautious side (nothing may be copied, probed or cancelled).
type Settings struct {
	DispatcherIndex int // own number among the dispatchers
	Dispatchers     int // how many share the fleet; at least 1 is assumed
	Zone            int
	Classes         []Class

	ListPolled       bool          // the list comes only when asked for
	ReportsPulled    bool          // reports come with probes only
	ReportsStart     bool          // workers tell when a job starts
	ProgressInterval time.Duration // period of progress news; 0 for none

	MayProbe, MayCancel, MayHedge bool
	MayAdviseRetry                bool // clients may be told how long to stay away
	MaxAttempts                   int
	MaxRetryAfter                 time.Duration

	MaxPollInterval   time.Duration // where Ask: without a call for so long it counts as told of all since
	ListValidity      time.Duration // how long a worker may be sent requests behind the last word that it takes them, where probes may be made; 0 for ever
	AnswerSlack       time.Duration // how late after its deadline a final answer still counts
	SlowStartDuration time.Duration // a started worker is warm after this long at most
	SlowStartCapacity float64       // and starts at this share of its capacity
	OverloadMultiple  float64       // sent more than this multiple of what it can do
	OverloadWindow    time.Duration // for this long, it falls over

	CrossZoneCost float64 // cost of sending across zones, as a share of a request's worth
	WeightByWork  bool    // a request is worth its class's Worth for each unit of its work
}

// Event is something that happened to a dispatcher. The events are the structs below.
type Event interface{ event() }

// ListKind tells how a Listed event relates to the list before it.
type ListKind uint8

const (
	ListDelta  ListKind = iota // only the workers that changed
	ListFull                   // all workers; who is absent is gone
	ListCached                 // all workers as once known, perhaps long ago
	ListFailed                 // asking failed or the subscription broke; the old list holds
)

// WorkerState is what the list says of a worker.
type WorkerState uint8

// The states: it takes requests, it finishes what it has, it is listed no more.
const (
	Ready WorkerState = iota
	Draining
	Gone
)

// String names a state as the log does.
func (s WorkerState) String() string {
	return [...]string{Ready: "active", Draining: "draining", Gone: "gone"}[s]
}

// WorkerInfo is a line of the list.
type WorkerInfo struct {
	ID             WorkerID
	State          WorkerState
	Zone           int
	Cell           int
	MachineKind    int
	Weight         float64
	StartedAt      Clock // when it last started; 0 for long ago
	StartConfirmed bool  // Since holds also where it is earlier than what was told before
}

// EndpointsUpdated brings news of the workers.
type EndpointsUpdated struct {
	ListKind ListKind
	Workers  []WorkerInfo
	AsOf     Clock // all that discovery had then is told by now; 0 where that is as it was
}

// RequestArrived is a client's request. The dispatcher owes it one final answer before Expires.
type RequestArrived struct {
	ID            RequestID
	Class         int
	Slots         float64 // 0 or less, or not a number, counts as 1
	Deadline      Clock
	EstimatedWork time.Duration // rough hint of its work; 0 when not told
	AffinityKey   uint64        // what it needs at a worker: jobs of one key belong together; 0 when not told
	AllowedZones  uint64        // zones that it may be sent to, a bit for each number; 0 for all
}

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes.
const (
	Served         Outcome = iota
	Errored                // answered with an error; may have run
	Full                   // turned away unseen; never ran
	TimedOut               // may have run, may still run
	NoConnect              // never reached the worker
	Reset                  // connection broke; may have run
	Cancelled              // called off; may have run
	NeverSent              // not sent at all
	InvalidRequest         // turned away for what the request is; never ran, and would nowhere
)

var outcomeNames = [...]string{Served: "served", Errored: "errored", Full: "full", TimedOut: "timed out", NoConnect: "no connection",
	Reset: "reset", Cancelled: "cancelled", NeverSent: "never sent", InvalidRequest: "rejected"}

// String names an outcome as logs do.
func (o Outcome) String() string { return outcomeNames[o] }

// Report is the load that a worker tells of itself. A field that is negative or not a finite
// number counts as not told.
type Report struct {
	Busy      float64 // share of its cores that is busy
	Requests  float64 // requests it holds
	FreeSlots float64
	Queue     float64 // requests that wait there
}

// AttemptFinished tells how one attempt ended; each Send gets exactly one.
type AttemptFinished struct {
	ID             RequestID
	Attempt        int
	Worker         WorkerID
	Outcome        Outcome
	Final          bool // the client has its answer, or the request was over before
	Report         *Report
	ConnectionIdle time.Duration // how long the connection that carried it had stood idle; below 0 where nobody knows
}

// ProbeCompleted answers one Probe.
type ProbeCompleted struct {
	Worker  WorkerID
	Outcome Outcome
	Report  *Report
}

// AttemptStarted tells that an attempt's job has started to run. Streamed is set when the answer itself has
// begun to reach the client: the attempt then belongs to the client.
type AttemptStarted struct {
	ID       RequestID
	Attempt  int
	Worker   WorkerID
	Streamed bool
}

// AttemptProgressed tells the share of an attempt's job that is done.
type AttemptProgressed struct {
	ID      RequestID
	Attempt int
	Worker  WorkerID
	Share   float64
}

// ClientLeft tells that the client has gone: nothing is owed for the request any more.
type ClientLeft struct{ ID RequestID }

// ShutdownStarted tells that this process is about to end: whatever is open, or still comes, owes its answer by At.
type ShutdownStarted struct{ Deadline Clock }

// WorkerDetached tells that operators have put a worker out by hand: it gets nothing, whatever the list says of it.
type WorkerDetached struct{ Worker WorkerID }

// WorkerReattached ends that. The worker was most likely started anew: what was believed of it is void.
type WorkerReattached struct{ Worker WorkerID }

// ProcessCountChanged tells how many processes act as this one dispatcher: two while one replaces the other.
type ProcessCountChanged struct{ Processes int }

// SettingsChanged brings new settings. Its classes go on from those before: a class keeps its number for the dispatcher's
// life, and one whose rules change is another class. Requests that are open keep the settings that they began with.
type SettingsChanged struct{ Settings Settings }

// HandoverCompleted is the first event of a dispatcher that goes on in the place of another, behind the list.
type HandoverCompleted struct{ LearnedState LearnedState }

// TimerFired answers a Wake.
type TimerFired struct{ Token uint64 }

func (EndpointsUpdated) event()    {}
func (RequestArrived) event()      {}
func (AttemptFinished) event()     {}
func (ProbeCompleted) event()      {}
func (AttemptStarted) event()      {}
func (AttemptProgressed) event()   {}
func (ClientLeft) event()          {}
func (ShutdownStarted) event()     {}
func (WorkerDetached) event()      {}
func (WorkerReattached) event()    {}
func (ProcessCountChanged) event() {}
func (SettingsChanged) event()     {}
func (HandoverCompleted) event()   {}
func (TimerFired) event()          {}

// Action is something the dispatcher wants done. The actions are the structs below, to be carried
// out in order.
type Action interface{ action() }

// Send starts an attempt. A request's attempts are numbered 0, 1, 2 ... as they are sent. An
// attempt lasts until the client gives up. One that has not left whole by By does not leave.
type Send struct {
	ID     RequestID
	Worker WorkerID
	SendBy Clock // 0 for no such bound
}

// Cancel calls an attempt off; its outcome follows as usual.
type Cancel struct {
	ID      RequestID
	Attempt int
}

// Reject is a final answer: a further try does no harm.
type Reject struct {
	ID         RequestID
	RetryAfter time.Duration // advice; 0 for none
}

// Fail is a final answer that promises nothing.
type Fail struct{ ID RequestID }

// CloseIdleConnections closes the connections to a worker that have stood idle for so long. Where nobody knows for how long they
// have, it closes all idle ones.
type CloseIdleConnections struct {
	Worker  WorkerID
	MinIdle time.Duration
}

// Probe asks a worker for a sign of life and its report.
type Probe struct{ Worker WorkerID }

// MaxListRetryDelay is how long after a call that failed the module asks for the list again at the latest.
const MaxListRetryDelay = 900 * time.Millisecond

// Subscribe asks for the list's changes from now on, starting with what was missed.
type Subscribe struct{}

// SetTimer asks for a Woke event after a while.
type SetTimer struct {
	Token uint64
	After time.Duration
}

// Log is a line for the operator: rare, on a change of state.
type Log struct{ Text string }

func (Send) action()                 {}
func (Cancel) action()               {}
func (Reject) action()               {}
func (Fail) action()                 {}
func (CloseIdleConnections) action() {}
func (Probe) action()                {}
func (Subscribe) action()            {}
func (SetTimer) action()             {}
func (Log) action()                  {}

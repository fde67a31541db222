package brain

import "time"

// Clock is a point in time: the time since an epoch that the caller picks and never moves back.
type Clock = time.Duration

// RequestID names one try of a client; never reused within a dispatcher's life.
type RequestID uint64

// WorkerID is the stable name of a worker. It tells nothing but which worker it is.
type WorkerID string

// Effect says what repeating a request may do.
type Effect uint8

const (
	Safe   Effect = iota // may be repeated and refused at will
	Keyed                // repeats are dropped within a group of workers, for Class.Window
	Unsafe               // must never run twice
)

// Scope is the group of workers that drops the repeats of a keyed request.
type Scope uint8

// The scopes: all workers, those of one zone, those of one cell.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class describes one kind of request.
type Class struct {
	Aim       time.Duration // an answer inside Aim + Stretch x own work earns the full worth
	Stretch   float64
	Deadline  time.Duration // how long a client waits over all its tries
	Worth     float64
	LateWorth float64 // share of the worth for an answer after the aim
	Effect    Effect
	Scope     Scope
	Window    time.Duration // how long a keyed repeat is remembered
	Streamed  bool
	Kind      int // the only machine kind that runs it, or -1 for any
}

// Settings are what a dispatcher is told at its start. The zero value is usable: absent limits
// fall to the cautious side (nothing may be copied, probed or cancelled).
type Settings struct {
	Me          int // own number among the dispatchers
	Dispatchers int // how many share the fleet; at least 1 is assumed
	Zone        int
	Classes     []Class

	Ask           bool          // the list comes only when asked for
	ReportsPulled bool          // reports come with probes only
	TellsStart    bool          // workers tell when a job starts
	Progress      time.Duration // period of progress news; 0 for none

	MayProbe, MayCancel, MayCopy bool
	AdviseRetry                  bool // clients may be told how long to stay away
	MaxAttempts                  int
	MaxRetryAfter                time.Duration

	AskWithin     time.Duration // where Ask: without a call for so long it counts as told of all since
	ListValid     time.Duration // how long a worker may be sent requests behind the last word that it takes them, where probes may be made; 0 for ever
	AnswerSlack   time.Duration // how late after its deadline a final answer still counts
	Cold          time.Duration // a started worker is warm after this long at most
	StartCapacity float64       // and starts at this share of its capacity
	TipMultiple   float64       // sent more than this multiple of what it can do
	Fall          time.Duration // for this long, it falls over

	CrossZonePrice float64 // cost of sending across zones, as a share of a request's worth
	WorthByWork    bool    // a request is worth its class's Worth for each unit of its work
}

// Event is something that happened to a dispatcher. The events are the structs below.
type Event interface{ event() }

// ListKind tells how a Listed event relates to the list before it.
type ListKind uint8

const (
	ListChange ListKind = iota // only the workers that changed
	ListFull                   // all workers; who is absent is gone
	ListSaved                  // all workers as once known, perhaps long ago
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
	ID     WorkerID
	State  WorkerState
	Zone   int
	Cell   int
	Kind   int
	Weight float64
	Since  Clock // when it last started; 0 for long ago
	Sure   bool  // Since holds also where it is earlier than what was told before
}

// Listed brings news of the workers.
type Listed struct {
	Kind    ListKind
	Workers []WorkerInfo
	AsOf    Clock // all that discovery had then is told by now; 0 where that is as it was
}

// Arrived is a client's request. The dispatcher owes it one final answer before Expires.
type Arrived struct {
	ID      RequestID
	Class   int
	Slots   float64 // 0 or less, or not a number, counts as 1
	Expires Clock
	Work    time.Duration // rough hint of its work; 0 when not told
	Key     uint64        // what it needs at a worker: jobs of one key belong together; 0 when not told
	Within  uint64        // zones that it may be sent to, a bit for each number; 0 for all
}

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes.
const (
	Served    Outcome = iota
	Errored           // answered with an error; may have run
	Full              // turned away unseen; never ran
	TimedOut          // may have run, may still run
	NoConnect         // never reached the worker
	Reset             // connection broke; may have run
	Cancelled         // called off; may have run
	NeverSent         // not sent at all
	Rejected          // turned away for what the request is; never ran, and would nowhere
)

var outcomeNames = [...]string{Served: "served", Errored: "errored", Full: "full", TimedOut: "timed out", NoConnect: "no connection",
	Reset: "reset", Cancelled: "cancelled", NeverSent: "never sent", Rejected: "rejected"}

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

// Finished tells how one attempt ended; each Send gets exactly one.
type Finished struct {
	ID      RequestID
	Attempt int
	Worker  WorkerID
	Outcome Outcome
	Final   bool // the client has its answer, or the request was over before
	Report  *Report
	Idle    time.Duration // how long the connection that carried it had stood idle; below 0 where nobody knows
}

// Probed answers one Probe.
type Probed struct {
	Worker  WorkerID
	Outcome Outcome
	Report  *Report
}

// Began tells that an attempt's job has started to run. Streamed is set when the answer itself has
// begun to reach the client: the attempt then belongs to the client.
type Began struct {
	ID       RequestID
	Attempt  int
	Worker   WorkerID
	Streamed bool
}

// Progressed tells the share of an attempt's job that is done.
type Progressed struct {
	ID      RequestID
	Attempt int
	Worker  WorkerID
	Done    float64
}

// Left tells that the client has gone: nothing is owed for the request any more.
type Left struct{ ID RequestID }

// Ending tells that this process is about to end: whatever is open, or still comes, owes its answer by At.
type Ending struct{ At Clock }

// Detached tells that operators have put a worker out by hand: it gets nothing, whatever the list says of it.
type Detached struct{ Worker WorkerID }

// Attached ends that. The worker was most likely started anew: what was believed of it is void.
type Attached struct{ Worker WorkerID }

// Shared tells how many processes act as this one dispatcher: two while one replaces the other.
type Shared struct{ Processes int }

// Retuned brings new settings. Its classes go on from those before: a class keeps its number for the dispatcher's
// life, and one whose rules change is another class. Requests that are open keep the settings that they began with.
type Retuned struct{ Settings Settings }

// Succeeded is the first event of a dispatcher that goes on in the place of another, behind the list.
type Succeeded struct{ Experience Experience }

// Woke answers a Wake.
type Woke struct{ Token uint64 }

func (Listed) event()     {}
func (Arrived) event()    {}
func (Finished) event()   {}
func (Probed) event()     {}
func (Began) event()      {}
func (Progressed) event() {}
func (Left) event()       {}
func (Ending) event()     {}
func (Detached) event()   {}
func (Attached) event()   {}
func (Shared) event()     {}
func (Retuned) event()    {}
func (Succeeded) event()  {}
func (Woke) event()       {}

// Action is something the dispatcher wants done. The actions are the structs below, to be carried
// out in order.
type Action interface{ action() }

// Send starts an attempt. A request's attempts are numbered 0, 1, 2 ... as they are sent. An
// attempt lasts until the client gives up. One that has not left whole by By does not leave.
type Send struct {
	ID     RequestID
	Worker WorkerID
	By     Clock // 0 for no such bound
}

// Cancel calls an attempt off; its outcome follows as usual.
type Cancel struct {
	ID      RequestID
	Attempt int
}

// Refuse is a final answer: a further try does no harm.
type Refuse struct {
	ID         RequestID
	RetryAfter time.Duration // advice; 0 for none
}

// Fail is a final answer that promises nothing.
type Fail struct{ ID RequestID }

// Drop closes the connections to a worker that have stood idle for so long. Where nobody knows for how long they
// have, it closes all idle ones.
type Drop struct {
	Worker WorkerID
	Idle   time.Duration
}

// Probe asks a worker for a sign of life and its report.
type Probe struct{ Worker WorkerID }

// AskMost is how long after a call that failed the module asks for the list again at the latest.
const AskMost = 900 * time.Millisecond

// Subscribe asks for the list's changes from now on, starting with what was missed.
type Subscribe struct{}

// Wake asks for a Woke event after a while.
type Wake struct {
	Token uint64
	After time.Duration
}

// Log is a line for the operator: rare, on a change of state.
type Log struct{ Text string }

func (Send) action()      {}
func (Cancel) action()    {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (Drop) action()      {}
func (Probe) action()     {}
func (Subscribe) action() {}
func (Wake) action()      {}
func (Log) action()       {}

package routing

import (
	"time"

	"brassdale/scheduler"
)

// Answer is the one final answer to an inbound request.
type Answer struct {
	Verdict        Verdict       `json:"Verdict"`
	Result         []byte        `json:"Result"`     // Served: what the endpoint gave
	RetryAfter     time.Duration `json:"RetryAfter"` // Refused: when to come back; 0 for no advice
	DeadlinePassed bool          `json:"Expired"`    // the deadline had come
}

// Client is whoever waits for an inbound request. The module's actor calls it: it must not block.
type Client interface {
	AttemptStarted(attempt int)
	AttemptProgressed(attempt int, share float64)
	Answered(Answer)
}

// Request is a request as a front hands it in.
type Request struct {
	Class          int
	ClassName      string // for the figures
	Account        string // whose it is, for the budget of further calls
	LogName        string // for the log: how its client calls it
	Slots          float64
	Limits         RequestLimits
	EstimatedWork  time.Duration // a guess at its work; 0 when not told
	AffinityKey    uint64        // what the job needs at an endpoint: jobs of one key belong together; 0 when not told
	IdempotencyKey string        // the key by which endpoints know a repeat; empty for none
	Deadline       time.Time
	Job            any // what endpoints need to know; not read here
	Client         Client
	ClientGone     func() bool // whether its client has left, known before Leave is heard; nil where only Leave tells
}

// AttemptID names an outbound call.
type AttemptID struct {
	Request scheduler.RequestID
	Number  int
}

// Attempt is an outbound call: one attempt at one endpoint, until its deadline.
type Attempt struct {
	ID         AttemptID
	Endpoint   scheduler.WorkerID
	Deadline   time.Time
	SendBy     time.Time // it must have left whole by then; zero for no bound but the deadline
	ClientGone func() bool
	Job        any
}

// MustNotSend tells whether a call that has not left yet must not leave any more, whatever its endpoint and its deadline say.
func (c *Attempt) MustNotSend(now time.Time) bool {
	return !c.SendBy.IsZero() && !now.Before(c.SendBy) || c.ClientGone != nil && c.ClientGone()
}

// AttemptResult is how a call ended.
type AttemptResult struct {
	Outcome        scheduler.Outcome
	Result         []byte // where Served
	Report         *scheduler.Report
	ConnectionIdle time.Duration // how long its connection had stood idle before
}

// Endpoint is an endpoint as the destination set lists it.
type Endpoint struct {
	scheduler.WorkerInfo
	Address    string
	NotifiedAt time.Time // when it was told to be draining or gone; zero while it is neither

	// Age is how long ago it started, where a predecessor that knew hands it over; 0 elsewhere.
	Age time.Duration
}

// EndpointPool carries out what goes to endpoints. No method blocks. Each Send is answered by one
// Core.Finished, each Probe by one Core.Probed.
type EndpointPool interface {
	Update(Endpoint)
	Send(Attempt)
	Cancel(scheduler.WorkerID, AttemptID)
	CloseIdle(id scheduler.WorkerID, idle time.Duration)
	Probe(scheduler.WorkerID)
	SetDetached(id scheduler.WorkerID, since time.Time) // put out by hand; zero: put back
}

// RequestLimits are the limits that the core itself must know of a request, as they were when it began.
type RequestLimits struct {
	MaxAttempts int           // calls past it are not sent; 0 for no limit
	AnswerSlack time.Duration // how long after its deadline an answer still counts
}

// Observer hears what comes from endpoints, beside the module. No method blocks.
type Observer interface {
	ProbeCompleted(id scheduler.WorkerID, o scheduler.Outcome, report bool)
	JobServed(id scheduler.WorkerID, class int, took time.Duration) // a job of the class was served
}

package routing

import (
	"time"

	"brassdale/brain"
)

// Answer is the one final answer to an inbound request.
type Answer struct {
	Verdict    Verdict       `json:"Verdict"`
	Result     []byte        `json:"Result"`     // Served: what the endpoint gave
	RetryAfter time.Duration `json:"RetryAfter"` // Refused: when to come back; 0 for no advice
	Expired    bool          `json:"Expired"`    // the deadline had come
}

// Client is whoever waits for an inbound request. The module's actor calls it: it must not block.
type Client interface {
	AttemptStarted(attempt int)
	AttemptProgressed(attempt int, share float64)
	Answered(Answer)
}

// Inbound is a request as a front hands it in.
type Inbound struct {
	Class     int
	ClassName string // for the figures
	Account   string // whose it is, for the budget of further calls
	Name      string // for the log: how its client calls it
	Slots     float64
	Rules     Rules
	Work      time.Duration // a guess at its work; 0 when not told
	Key       uint64        // what the job needs at an endpoint: jobs of one key belong together; 0 when not told
	Repeat    string        // the key by which endpoints know a repeat; empty for none
	Deadline  time.Time
	Job       any // what endpoints need to know; not read here
	Client    Client
	Gone      func() bool // whether its client has left, known before Leave is heard; nil where only Leave tells
}

// CallID names an outbound call.
type CallID struct {
	Request brain.RequestID
	Attempt int
}

// Call is an outbound call: one attempt at one endpoint, until its deadline.
type Call struct {
	ID       CallID
	Endpoint brain.WorkerID
	Deadline time.Time
	By       time.Time // it must have left whole by then; zero for no bound but the deadline
	Gone     func() bool
	Job      any
}

// Void tells whether a call that has not left yet must not leave any more, whatever its endpoint and its deadline say.
func (c *Call) Void(now time.Time) bool {
	return !c.By.IsZero() && !now.Before(c.By) || c.Gone != nil && c.Gone()
}

// End is how a call ended.
type End struct {
	Outcome brain.Outcome
	Result  []byte // where Served
	Report  *brain.Report
	Idle    time.Duration // how long its connection had stood idle before
}

// Destination is an endpoint as the destination set lists it.
type Destination struct {
	brain.WorkerInfo
	Address string
	Told    time.Time // when it was told to be draining or gone; zero while it is neither

	// Age is how long ago it started, where a predecessor that knew hands it over; 0 elsewhere.
	Age time.Duration
}

// Endpoints carries out what goes to endpoints. No method blocks. Each Send is answered by one
// Core.Finished, each Probe by one Core.Probed.
type Endpoints interface {
	Update(Destination)
	Send(Call)
	Cancel(brain.WorkerID, CallID)
	CloseIdle(id brain.WorkerID, idle time.Duration)
	Probe(brain.WorkerID)
	SetDetached(id brain.WorkerID, since time.Time) // put out by hand; zero: put back
}

// Rules are the limits that the core itself must know of a request, as they were when it began.
type Rules struct {
	MaxAttempts int           // calls past it are not sent; 0 for no limit
	AnswerSlack time.Duration // how long after its deadline an answer still counts
}

// Witness hears what comes from endpoints, beside the module. No method blocks.
type Witness interface {
	ProbeCompleted(id brain.WorkerID, o brain.Outcome, report bool)
	JobServed(id brain.WorkerID, class int, took time.Duration) // a job of the class was served
}

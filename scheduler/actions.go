package scheduler

import "time"

// Action is what a scheduler tells its caller to do. The actions are the structs below; the caller executes them in order.
type Action interface{ action() }

// Send starts an attempt. A request's attempts are numbered 0, 1, 2 and so on as they are sent. An attempt lasts until its
// outcome, or until the client stops waiting. If its last byte has not been sent by SendBy, it must not be sent any more: its
// outcome is NeverSent, or NoConnect if its write had begun.
type Send struct {
	ID     RequestID
	Worker WorkerID
	SendBy Instant // 0 for no bound
}

// Cancel cancels an attempt; its outcome follows as usual.
type Cancel struct {
	ID      RequestID
	Attempt int
}

// Reject is a final answer: the client may send the request again without harm.
type Reject struct {
	ID         RequestID
	RetryAfter time.Duration // advice to the client; 0 for no advice
	Reason     Reason
}

// Fail is a final answer that does not promise that sending the request again is harmless: it may have executed.
type Fail struct {
	ID     RequestID
	Reason Reason
}

// Reason is why a request is rejected or failed.
type Reason uint8

// The reasons.
const (
	ReasonUnknown  Reason = iota
	DeadlineNear          // the deadline is too near for an attempt, or for waiting any longer
	DeadlinePassed        // the deadline has passed, with an attempt in flight
	TooLate               // a late answer has no value, and the request could not start in time
	NoRetryLeft           // an attempt has ended, and no further one is permitted
	RequestInvalid        // a worker found the request itself invalid
)

var reasonNames = [...]string{ReasonUnknown: "unknown", DeadlineNear: "deadline near", DeadlinePassed: "deadline passed",
	TooLate: "too late to start", NoRetryLeft: "no retry permitted", RequestInvalid: "invalid request"}

// String returns a reason's name in log lines.
func (r Reason) String() string { return reasonNames[r] }

// CloseIdleConnections closes the connections to a worker that have been idle for at least MinIdle. Where idle times are
// unknown, it closes all idle connections.
type CloseIdleConnections struct {
	Worker  WorkerID
	MinIdle time.Duration
}

// Probe asks a worker whether it takes requests, and for its load report; a ProbeCompleted follows.
type Probe struct{ Worker WorkerID }

// Subscribe asks for the changes of the endpoint list: first those that were missed, then further ones as they occur.
type Subscribe struct{}

// SetTimer asks for a TimerFired event with the token once After has passed.
type SetTimer struct {
	Token uint64
	After time.Duration
}

// AnnounceKeyedRun tells the other process that acts as this dispatcher that an idempotency key may have run here.
type AnnounceKeyedRun struct{ Run KeyedRun }

// Log is a line for the operator. Lines are rare: each reports a change of state.
type Log struct{ Text string }

func (Send) action()                 {}
func (Cancel) action()               {}
func (Reject) action()               {}
func (Fail) action()                 {}
func (CloseIdleConnections) action() {}
func (Probe) action()                {}
func (Subscribe) action()            {}
func (SetTimer) action()             {}
func (AnnounceKeyedRun) action()     {}
func (Log) action()                  {}

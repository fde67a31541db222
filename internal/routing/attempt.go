package routing

import (
	"time"

	"brassdale/scheduler"
)

// AttemptID identifies an attempt. Attempts of a request are numbered from 0.
type AttemptID struct {
	Request scheduler.RequestID
	Number  int
}

// Attempt is one attempt to have a request served by one endpoint.
type Attempt struct {
	ID         AttemptID
	Endpoint   scheduler.WorkerID
	Deadline   time.Time   // it is given up then
	SendBy     time.Time   // its last byte must be sent by then; zero for no bound but the deadline
	ClientGone func() bool // see Request.ClientGone
	Job        any         // see Request.Job
}

// MustNotSend reports whether an attempt that has not been sent must not be sent any more: the time to send it is over or its
// client has left. The caller compares with the deadline and with the state of the endpoint.
func (a *Attempt) MustNotSend(now time.Time) bool {
	return !a.SendBy.IsZero() && !now.Before(a.SendBy) || a.ClientGone != nil && a.ClientGone()
}

// AttemptResult is how an attempt ended.
type AttemptResult struct {
	Outcome        scheduler.Outcome
	Result         []byte            // where Served
	Report         *scheduler.Report // nil for none
	ConnectionIdle time.Duration     // how long its connection had been idle before
}

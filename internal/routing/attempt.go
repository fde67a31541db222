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

// Attempt is an attempt to serve a request at one endpoint.
type Attempt struct {
	ID         AttemptID
	Endpoint   scheduler.WorkerID
	Deadline   time.Time   // when the attempt is abandoned
	SendBy     time.Time   // when its last byte must have been sent; zero for no limit but Deadline
	ClientGone func() bool // see Request.ClientGone
	Job        any         // see Request.Job
}

// MustNotSend reports whether an attempt that has not been sent must no longer be sent, because SendBy has passed or its client has
// left. The caller checks the deadline and the state of the endpoint.
func (a *Attempt) MustNotSend(now time.Time) bool {
	return !a.SendBy.IsZero() && !now.Before(a.SendBy) || a.ClientGone != nil && a.ClientGone()
}

// AttemptResult is how an attempt ended.
type AttemptResult struct {
	Outcome        scheduler.Outcome
	Result         []byte            // if Served
	Report         *scheduler.Report // nil if there is none
	ConnectionIdle time.Duration     // how long its connection had been idle before the attempt
}

// Package load is an open-loop load generator: it sends each job at the time its plan says, whatever became of earlier jobs, and
// counts latency from that time, so that a target that stalls cannot hide it by holding back its clients. A generator that falls
// behind its own plan marks its result unusable.
package load

import (
	"time"
)

// Job is one job of a plan.
type Job struct {
	At      time.Duration // when it is due, since the start
	Account string
	Subject string // what it is about; empty for none
	Key     string // idempotency key; empty for a new one
	Extra   string // value of the Req-Extra header, as in a trace; empty for none
}

// Source returns a plan's jobs in the order of their times, and false after the last.
type Source interface {
	Next() (Job, bool)
}

// Outcome is how a job, over all its attempts, or one of them ended for its client.
type Outcome uint8

// The outcomes.
const (
	Served     Outcome = iota
	Late               // served, but after the latency objective
	Refused            // status 429 or 503
	Failed             // any other status
	Unanswered         // no answer by the deadline, or a broken connection

	outcomes // their number
)

var outcomeNames = [outcomes]string{"served", "late", "refused", "failed", "unanswered"}

// String returns the outcome's name.
func (o Outcome) String() string { return outcomeNames[o] }

// Terms are what clients want and how they retry.
type Terms struct {
	Class            string
	Deadline         time.Duration // deadline of a job, from when it is due
	LatencyObjective time.Duration // latency objective; 0 for none
	Retry            Retry
}

// Retry is how clients retry. They do so only after a rejection, which says that a retry is harmless.
type Retry struct {
	Max              int           // retries of a job
	Share            float64       // of the clients that retry
	Wait             time.Duration // before a retry, unless HonourRetryAfter applies
	HonourRetryAfter bool          // wait as the Retry-After of the rejection says, if it has one
}

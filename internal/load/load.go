// Package load is an open-loop load generator: it sends each job at its planned time, regardless of the outcome of earlier jobs, and
// counts latency from that time. A target that stalls therefore cannot hide the stall by delaying its clients. A generator that sends
// jobs later than planned marks its result unusable.
package load

import (
	"time"
)

// Job is one job of a plan.
type Job struct {
	At      time.Duration // when it is due, since the start
	Account string
	Subject string // what the job is about; empty if it has no subject
	Key     string // idempotency key; empty for a new one
	Extra   string // value of the Req-Extra header, as in a trace; empty if the job has none
}

// Source returns a plan's jobs in the order of their times, and false after the last.
type Source interface {
	Next() (Job, bool)
}

// Outcome is the outcome for the client of a job, over all its attempts, or of one attempt.
type Outcome uint8

// The outcomes.
const (
	Served     Outcome = iota
	Late               // served, but after the latency objective
	Refused            // status 429 or 503
	Failed             // any other status
	Unanswered         // no answer by the deadline, or a broken connection

	outcomeCount
)

var outcomeNames = [outcomeCount]string{"served", "late", "refused", "failed", "unanswered"}

// String returns the outcome's name.
func (o Outcome) String() string { return outcomeNames[o] }

// Terms are the class, the time limits and the retries of clients' jobs.
type Terms struct {
	Class            string
	Deadline         time.Duration // from when a job is due
	LatencyObjective time.Duration // 0 if there is no objective
	Retry            Retry
}

// Retry is how clients retry. They retry only after a rejection, which means that a retry is harmless.
type Retry struct {
	Max              int           // retries of a job
	Share            float64       // share of the clients that retry
	Wait             time.Duration // before a retry, unless HonourRetryAfter applies
	HonourRetryAfter bool          // wait as the Retry-After of the rejection says, if it has one
}

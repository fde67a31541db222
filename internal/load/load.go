// Package load is an open-loop load generator: jobs are sent when their plan says so, whatever became of those before, and
// each latency counts from that intended time. So a target that stalls cannot hide its stall by holding its clients up. A
// generator that falls behind its own plan says so, and its result is marked unusable.
package load

import "time"

// Job is one job of a plan, as its client means it.
type Job struct {
	At      time.Duration // since the start, when it is to be sent
	Account string
	Subject string // what it is about; empty for nothing
	Key     string // idempotency key; empty for one of its own
	Work    string // passed on as Req-Extra, as a trace has it; empty for none
}

// Source gives a plan's jobs in the order of their times.
type Source interface {
	Next() (Job, bool)
}

// Outcome is how a job ended for its client, over its tries.
type Outcome uint8

// The outcomes.
const (
	Served     Outcome = iota
	Late               // served, but later than wanted
	Refused            // 429 or 503
	Failed             // any other answer
	Unanswered         // none by the give-up, or its connection broke
	outcomes
)

var outcomeNames = [outcomes]string{"served", "late", "refused", "failed", "unanswered"}

func (o Outcome) String() string { return outcomeNames[o] }

// Terms are what clients do and want.
type Terms struct {
	Class  string
	GiveUp time.Duration
	Aim    time.Duration // an answer after it is late; 0 for no such aim
	Retry  Retry
}

// Retry is how clients come back. A client does so after a refusal, which says that it is harmless, and after nothing else.
type Retry struct {
	Max    int           // times for a job; 0 for never
	Share  float64       // of the refused jobs whose client does
	Wait   time.Duration // where the refusal says nothing
	Honour bool          // wait as the refusal says, else Wait always
}

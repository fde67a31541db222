package routing

import "time"

// Verdict is the kind of a final answer.
type Verdict uint8

const (
	// Served is the result of an endpoint.
	Served Verdict = iota
	// Rejected promises that the request never ran, or that repeating it is harmless.
	Rejected
	// Failed promises nothing: the request may have run.
	Failed
)

// String returns the name of the verdict for the log.
func (v Verdict) String() string {
	return [...]string{Served: "served", Rejected: "rejected", Failed: "failed"}[v]
}

// The reasons of answers that the scheduler does not give, as logged.
const (
	reasonOverdue  = "overdue"
	reasonZonePlan = "zone plan"
)

// Answer is the one final answer to a request. The names in its tags cross to another process of this dispatcher.
type Answer struct {
	Verdict    Verdict       `json:"Verdict"`
	Result     []byte        `json:"Result"`     // of the endpoint, where Served
	RetryAfter time.Duration `json:"RetryAfter"` // when the client should retry, where Rejected; 0 for no advice

	// DeadlinePassed is set where the deadline had passed or was nearer than the answer slack, or an attempt had timed out. Served
	// answers never have it.
	DeadlinePassed bool `json:"Expired"`

	reason string // for the log: why it is rejected or failed; empty where it is served
}

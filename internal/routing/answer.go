package routing

import "time"

// Verdict is the kind of a final answer.
type Verdict uint8

const (
	// Served means that an endpoint returned a result.
	Served Verdict = iota
	// Rejected guarantees that the request never ran, or that repeating it is harmless.
	Rejected
	// Failed guarantees nothing: the request may have run.
	Failed
)

// String returns the name of the verdict for the log.
func (v Verdict) String() string {
	return [...]string{Served: "served", Rejected: "rejected", Failed: "failed"}[v]
}

// The logged reasons of answers that the Core gives without the scheduler.
const (
	reasonOverdue  = "overdue"
	reasonZonePlan = "zone plan"
)

// Answer is the final answer to a request. The names in its tags are part of the handover protocol between processes of a dispatcher.
type Answer struct {
	Verdict    Verdict       `json:"Verdict"`
	Result     []byte        `json:"Result"`     // of the endpoint, if Served
	RetryAfter time.Duration `json:"RetryAfter"` // how long the client should wait before a retry, if Rejected; 0 for no advice

	// DeadlinePassed is set if an attempt had timed out, or if the deadline had passed or was at most the answer slack away. It is
	// never set if Served.
	DeadlinePassed bool `json:"Expired"`

	reason string // why the request was rejected or failed, for the log; empty if Served
}

// Package idempotency decides what becomes of a request whose Idempotency-Key may have come before, at whichever front.
// Values in, verdicts out: no I/O, no clock, no goroutine.
//
// It promises:
//
//  1. A key that is remembered begins no further job, unless the one before was refused: that one never ran, so a new
//     try is harmless.
//  2. A request that says it had a part of the answer already begins nothing: where its key is not remembered, its job
//     may have run elsewhere or before.
//  3. Only the same job is joined: the same target, account and body.
//  4. Nothing begins that there is no room to remember.
//  5. A job is given up for want of readers only if none is left and nobody asked for it to go on.
package idempotency

// Decision says what becomes of a request.
type Decision uint8

const (
	Start       Decision = iota // a job of its own, which is remembered from now on
	Join                        // the answer of the job that is remembered, whenever that comes
	KeyMismatch                 // the key is of another job
	UnknownKey                  // there was a job, and it is not known here
	TableFull                   // there is no room to remember one more
)

// RememberedJob is what is remembered of a key's job.
type RememberedJob struct {
	Rejected bool // it has ended so
	SameJob  bool // the request's is the same job
}

// Decide judges a request by what is remembered of its key, nil for nothing. again tells that the client had a part of
// the answer before; room that one more job can be remembered.
func Decide(remembered *RememberedJob, resumed, hasCapacity bool) Decision {
	switch {
	case remembered != nil && (resumed || !remembered.Rejected):
		if !remembered.SameJob {
			return KeyMismatch
		}
		return Join
	case resumed:
		return UnknownKey
	case !hasCapacity:
		return TableFull
	}
	return Start
}

// AbandonWithoutReaders tells whether a job that has not ended is given up when a reader leaves it: so many others wait for it, and
// kept tells that it is to go on without any.
func AbandonWithoutReaders(otherReaders int, runsWithoutReaders bool) bool {
	return otherReaders == 0 && !runsWithoutReaders
}

// Package idempotency decides how to handle a request whose Idempotency-Key may have been received before, at any frontend. It does no
// I/O, reads no clock and starts no goroutine.
//
// Guarantees:
//
//  1. A request with a remembered key starts no further job, unless the remembered job was rejected: a rejected job never ran, so a new
//     one is harmless.
//  2. A request that resumes an answer of which the client has a part starts no job: if its key is not remembered, its job may have run
//     earlier, or at another dispatcher.
//  3. A request joins a remembered job only if it asks for the same one: the same target, account and body.
//  4. A job starts only if there is capacity to remember it.
//  5. A job is abandoned for lack of readers only if no reader is left and nobody asked for the job to run without readers.
package idempotency

// Decision is how a request is handled.
type Decision uint8

// The decisions.
const (
	Start       Decision = iota // start a job, and remember it
	Join                        // answer with the result of the remembered job once it ends
	KeyMismatch                 // reject: the key belongs to another job
	UnknownKey                  // reject: the request resumes a job that is not remembered here
	TableFull                   // reject: no further job can be remembered
)

// RememberedJob is the remembered job with the key of a request.
type RememberedJob struct {
	Rejected bool // the job has ended by being rejected
	SameJob  bool // the request asks for the same job
}

// Decide returns how a request is handled. remembered is the job with its key, or nil; resumed says that the client has a part of the
// answer; hasCapacity says that one more job can be remembered.
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

// AbandonWithoutReaders reports whether a running job is abandoned when one of its readers leaves, by the number of its other readers
// and whether it is to run without readers.
func AbandonWithoutReaders(otherReaders int, runsWithoutReaders bool) bool {
	return otherReaders == 0 && !runsWithoutReaders
}

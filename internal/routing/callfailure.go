package routing

import (
	"errors"
	"time"

	"brassdale/internal/decisions/pacing"
)

// callFailure is how a call for the list failed, as far as that tells of discovery's load.
type callFailure uint8

const (
	callBroken     callFailure = iota // no connection, it broke off, or what came is no list
	refusedAtOnce                     // discovery had no room for it
	expiredInQueue                    // discovery let it in and gave it up before its turn
	neverAnswered                     // it was given up here
)

// String names a failure as the log does.
func (f callFailure) String() string {
	return [...]string{callBroken: "broken", refusedAtOnce: "refused", expiredInQueue: "expired", neverAnswered: "unanswered"}[f]
}

// callFailures is a row of failed calls.
type callFailures struct {
	calls, refused, expired int
	last                    string // what the last one failed with
	overdue                 bool   // it has been logged that the list is overdue
}

// note adds a failed call.
func (f *callFailures) note(err error, how callFailure) {
	f.calls++
	f.last = err.Error()
	switch how {
	case refusedAtOnce:
		f.refused++
	case expiredInQueue:
		f.expired++
	}
}

// failureOf tells how a call failed that took so long.
func failureOf(err error, took time.Duration) callFailure {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, ErrRefused) && took >= pacing.Queued:
		return expiredInQueue
	case errors.Is(err, ErrRefused):
		return refusedAtOnce
	case errors.As(err, &timeout) && timeout.Timeout():
		return neverAnswered
	}
	return callBroken
}

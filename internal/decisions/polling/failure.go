package polling

import "time"

// QueuedThreshold is the duration from which a call that does not wait counts as queued by the service.
const QueuedThreshold = 500 * time.Millisecond

// Failure is how a call ended without a list.
type Failure uint8

// The failures of a call.
const (
	Broken   Failure = iota // there was no connection, or it broke, or no response was received
	Rejected                // the service rejected the call at once, because it had too many
	Expired                 // the service queued the call, and rejected it later
)

// String returns the name of a failure in log lines.
func (f Failure) String() string {
	return [...]string{Broken: "broken", Rejected: "rejected", Expired: "expired"}[f]
}

// ClassifyFailure returns how a call failed, by its duration and whether the service responded that it is overloaded.
func ClassifyFailure(rejected bool, took time.Duration) Failure {
	switch {
	case !rejected:
		return Broken
	case took >= QueuedThreshold:
		return Expired
	}
	return Rejected
}

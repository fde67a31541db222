package polling

import "time"

// QueuedThreshold is the least duration of a call without a wait that counts as queued by the service.
const QueuedThreshold = 500 * time.Millisecond

// Failure is how a call ended that returned no list.
type Failure uint8

// The ways in which a call fails.
const (
	Broken   Failure = iota // there was no connection, or it broke, or no response was received
	Rejected                // the service rejected the call at once, having too many
	Expired                 // the service queued the call, and rejected it after a time
)

// String returns the name of a failure in log lines.
func (f Failure) String() string {
	return [...]string{Broken: "broken", Rejected: "rejected", Expired: "expired"}[f]
}

// ClassifyFailure returns how a call failed that took a time, where rejected says whether the service responded that it is
// overloaded.
func ClassifyFailure(rejected bool, took time.Duration) Failure {
	switch {
	case !rejected:
		return Broken
	case took >= QueuedThreshold:
		return Expired
	}
	return Rejected
}

package endpointstate

import (
	"time"

	"brassdale/scheduler"
)

// ListResponse is a response of a discovery service: the full list of workers, or the entries that changed.
type ListResponse struct {
	Service    string // responses with the same name share one sequence of revisions
	Revision   int64
	Complete   bool      // the full list: workers that it does not list are gone
	CalledAt   time.Time // when the call was sent
	ReceivedAt time.Time // when the response was received; not before CalledAt
	Endpoints  []Endpoint
}

// Endpoint is one worker in a response.
type Endpoint struct {
	ID         scheduler.WorkerID
	State      scheduler.WorkerState
	Start      scheduler.Instant // of the worker, by discovery's clock; 0 for long ago
	NotifiedAt time.Time         // for a worker that is not ready: the time from which this counts as known; zero for when the response was received

	// OtherServiceAt is for Restore: when the state was last received from a service whose revisions cannot be compared with the revision
	// of the restored list; zero for never.
	OtherServiceAt time.Time
}

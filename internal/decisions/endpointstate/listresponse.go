package endpointstate

import (
	"time"

	"brassdale/scheduler"
)

// ListResponse is a response of a discovery service: the full list of workers, or the entries that changed.
type ListResponse struct {
	Service    string // responses with the same name share one sequence of revisions
	Revision   int64
	Complete   bool      // the full list: workers that it does not name are gone
	CalledAt   time.Time // when the call was sent
	ReceivedAt time.Time // when the response was received; not before CalledAt
	Endpoints  []Endpoint
}

// Endpoint is what a response says of one worker.
type Endpoint struct {
	ID         scheduler.WorkerID
	State      scheduler.WorkerState
	Start      scheduler.Instant // of the worker, by discovery's clock; 0 for long ago
	NotifiedAt time.Time         // from when on the worker, if it is not ready, counts as known not to be; zero for when the response was received

	// OtherServiceAt is for Restore: when the state was last received from a service whose revisions cannot be compared with those of the
	// restored list; zero for never.
	OtherServiceAt time.Time
}

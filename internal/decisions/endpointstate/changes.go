package endpointstate

import (
	"time"

	"brassdale/scheduler"
)

// NotListed is the index of a worker that a complete response does not name.
const NotListed = -1

// Accepted is the state of one worker that is in force after a response.
type Accepted struct {
	Index      int // into ListResponse.Endpoints, or NotListed
	ID         scheduler.WorkerID
	State      scheduler.WorkerState
	Start      scheduler.Instant // by discovery's clock; 0 for long ago
	NotifiedAt time.Time         // when the worker was first known to be draining or gone; zero while it is ready
}

// Changes is what a response changes.
type Changes struct {
	Accepted    []Accepted
	PollAgainAt time.Time // when to poll for the full list, as a part of the response was not accepted; zero for no poll
}

// pollAgainBy sets PollAgainAt to at, unless it is earlier already.
func (c *Changes) pollAgainBy(at time.Time) {
	if c.PollAgainAt.IsZero() || at.Before(c.PollAgainAt) {
		c.PollAgainAt = at
	}
}

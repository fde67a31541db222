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
	Accepted []Accepted

	// UnconfirmedReturns are workers that stay draining, though the service of the response lists them as ready and did list them as draining
	// before: their drain is known from another service too, whose list may be later. Whoever has no other worker may use them. They
	// are named with each response that shows this; one that is Accepted is unconfirmed no more.
	UnconfirmedReturns []Accepted

	PollAgainAt time.Time // when to poll for the full list, as a part of the response was not accepted; zero for no poll
}

// rejectReturn records that a worker is listed as ready and stays as known, as the response is not certainly later.
func (c *Changes) rejectReturn(response ListResponse, index int, id scheduler.WorkerID, known *record, seen observation) {
	c.pollAgainBy(known.staleUntil(seen, response.CalledAt))
	if known.state == scheduler.Draining && known.shownBefore(seen) {
		c.UnconfirmedReturns = append(c.UnconfirmedReturns,
			Accepted{Index: index, ID: id, State: known.state, Start: known.start, NotifiedAt: known.notifiedAt})
	}
}

// pollAgainBy sets PollAgainAt to at, unless it is earlier already.
func (c *Changes) pollAgainBy(at time.Time) {
	if c.PollAgainAt.IsZero() || at.Before(c.PollAgainAt) {
		c.PollAgainAt = at
	}
}

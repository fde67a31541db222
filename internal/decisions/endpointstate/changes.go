package endpointstate

import (
	"time"

	"brassdale/scheduler"
)

// NotListed is the index of a worker that a complete response does not list.
const NotListed = -1

// Accepted is the state of one worker that a response has set.
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

	// UnconfirmedReturns are workers that stay draining, although the service of the response listed them as draining and now lists them
	// as ready: another service has shown the drain too, and its list may be newer. A caller without any other worker may use them.
	// They are listed again for each response that shows this; once a worker is in Accepted, its return is confirmed.
	UnconfirmedReturns []Accepted

	PollAgainAt time.Time // when to poll for the full list because a part of the response was not accepted; zero for no poll
}

// rejectReturn records that a worker which is listed as ready keeps its known state, because the response is not certainly newer.
func (c *Changes) rejectReturn(response ListResponse, index int, id scheduler.WorkerID, known *record, seen observation) {
	c.pollAgainBy(known.staleUntil(seen, response.CalledAt))
	if known.state == scheduler.Draining && known.shownBySameService(seen) {
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

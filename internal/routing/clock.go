package routing

import (
	"time"

	"brassdale/scheduler"
)

// Clock is the module's clock: it counts from Unix time's epoch, so that a worker's start can be set
// against it, and runs on the monotonic clock, so that a correction of the system's time moves nothing.
type Clock struct{ start time.Time }

// NewClock anchors a clock to the present.
func NewClock() Clock { return Clock{time.Now()} }

// Now is the present on this clock.
func (c Clock) Now() scheduler.Clock { return c.At(time.Now()) }

// At gives a point in time on this clock.
func (c Clock) At(t time.Time) scheduler.Clock {
	return time.Duration(c.start.UnixNano()) + t.Sub(c.start)
}

// Time gives a point on this clock as a time.
func (c Clock) Time(at scheduler.Clock) time.Time {
	return c.start.Add(at - time.Duration(c.start.UnixNano()))
}

package routing

import (
	"time"

	"brassdale/scheduler"
)

// Clock converts between time.Time and the scheduler's clock. The scheduler's clock counts from the Unix epoch, so that the start
// time of a worker can be compared with it, and advances with the monotonic clock, so that an adjustment of the wall clock
// does not change it.
type Clock struct{ start time.Time }

// NewClock returns a clock that is set to the current wall clock time.
func NewClock() Clock { return Clock{time.Now()} }

// Now returns the current time on the scheduler's clock.
func (c Clock) Now() scheduler.Instant { return c.At(time.Now()) }

// At converts a time to the scheduler's clock.
func (c Clock) At(t time.Time) scheduler.Instant {
	return time.Duration(c.start.UnixNano()) + t.Sub(c.start)
}

// Time converts an instant of the scheduler's clock to a time.
func (c Clock) Time(at scheduler.Instant) time.Time {
	return c.start.Add(at - time.Duration(c.start.UnixNano()))
}

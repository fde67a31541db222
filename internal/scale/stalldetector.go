package scale

import (
	"context"
	"slices"
	"sync"
	"time"

	"brassdale/internal/labsupport"
)

const (
	tickInterval  = 100 * time.Millisecond
	tickTolerance = 250 * time.Millisecond // a tick that is later than this was delayed by the machine
	maxLateTicks  = 3                      // in the measured span; a run with more does not count
)

// lateTick is a tick that came too late. Its field names are keys in JSON between processes.
type lateTick struct{ Due, At time.Time }

// stallDetector detects by a ticker when this process was not scheduled in time.
type stallDetector struct {
	mu   sync.Mutex
	late []lateTick
}

// lateTicks returns the late ticks until now.
func (s *stallDetector) lateTicks() []lateTick {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.late)
}

// run ticks until the context ends.
func (s *stallDetector) run(ctx context.Context) {
	for {
		due := time.Now().Add(tickInterval)
		if !labsupport.WaitUntil(ctx, due) {
			return
		}
		s.recordTick(due, time.Now())
	}
}

// recordTick records a tick if it is late.
func (s *stallDetector) recordTick(due, at time.Time) {
	if at.Sub(due) > tickTolerance {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.late = append(s.late, lateTick{due, at})
	}
}

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
	tickTolerance = 250 * time.Millisecond // a tick that is late by more was delayed by the machine
	maxLateTicks  = 3                      // in the measured span of a run that counts
)

// lateTick is a tick that came too late. It is sent as JSON by the names of its fields.
type lateTick struct{ Due, At time.Time }

// stallDetector records when this process was not scheduled in time, by a ticker.
type stallDetector struct {
	mu   sync.Mutex
	late []lateTick
}

// all returns the late ticks until now.
func (s *stallDetector) all() []lateTick {
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
		s.ticked(due, time.Now())
	}
}

// ticked records a tick if it is late.
func (s *stallDetector) ticked(due, at time.Time) {
	if at.Sub(due) > tickTolerance {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.late = append(s.late, lateTick{due, at})
	}
}

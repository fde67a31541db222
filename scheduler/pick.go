// Which worker takes a request.

package scheduler

import (
	"slices"
)

// permitted tells whether the rules let the request go to the worker at all.
func (s *Scheduler) permitted(r *request, w *worker) bool {
	c := &r.settings.Classes[r.class]
	if !w.listed || w.detached || r.excludesZone(w.Zone) || c.MachineKind >= 0 && c.MachineKind != w.MachineKind {
		return false
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.mayHaveExecuted {
			continue
		}
		switch {
		case a.inFlight && !r.settings.MayHedge, c.Idempotency == NonIdempotent:
			return false
		case c.Idempotency == Idempotent:
		case s.now >= s.retrySendDeadline(r), c.DeduplicationScope == ScopeZone && a.worker.Zone != w.Zone,
			c.DeduplicationScope == ScopeCell && a.worker.Cell != w.Cell:
			return false
		}
	}
	return len(r.attempts) < r.settings.MaxAttempts
}

// retrySendDeadline is when the last byte of a further attempt must have left, or 0: repeats are dropped for the
// window of their class from the first attempt that may have run, which left no sooner than it was pushed.
func (s *Scheduler) retrySendDeadline(r *request) Clock {
	c := &r.settings.Classes[r.class]
	if i := slices.IndexFunc(r.attempts, mayHaveExecuted); i >= 0 && c.Idempotency == IdempotentWithKey {
		return r.attempts[i].sentAt + c.DeduplicationWindow - s.queueReviewInterval()
	}
	return 0
}

// priorityDensity is what a request is worth for each unit of its work.
func (s *Scheduler) priorityDensity(r *request) float64 {
	worth := r.settings.Classes[r.class].PriorityWeight
	if s.settings.WeightByWork {
		return worth
	}
	return worth / max(s.classes[r.class].workScale, 1e-3)
}

package pacing

import "time"

// Schedule tells when the next call is made, and of what kind. The times that its methods get never run backwards. It knows
// the calls to the service in force only.
type Schedule struct {
	due        time.Time // from then on a change may count as told that is not here
	next       time.Time // of the next call; zero while none is to be made
	kind       Kind
	newest     Kind // of the newest call
	open       bool // the newest call has not ended
	unanswered int  // calls that were begun since the last answer
}

// NewSchedule begins at the start of a process. No call is made before Begin.
func NewSchedule(now time.Time) *Schedule { return &Schedule{due: now.Add(Told)} }

// Begin has the first call made now. Later it does nothing.
func (s *Schedule) Begin(now time.Time) {
	if s.next.IsZero() {
		s.AskAt(now)
	}
}

// AskAt has the next call made at a time, without waiting for news.
func (s *Schedule) AskAt(at time.Time) { s.next, s.kind = at, Ask }

// Next gives the next call that is to be made, if nothing comes before. It is not ok before Begin.
func (s *Schedule) Next() (at time.Time, k Kind, ok bool) { return s.next, s.kind, !s.next.IsZero() }

// Called notes that the call which Next gave is made now.
func (s *Schedule) Called(now time.Time, r Rules, chance float64) {
	s.newest, s.open = s.kind, true
	s.unanswered++
	s.next, s.kind = now.Add(s.overlap(now, r, chance)), Ask
}

// overlap is how long after the newest call a further one is made beside it.
func (s *Schedule) overlap(now time.Time, r Rules, chance float64) time.Duration {
	switch {
	case r.Pushed && s.newest == Watch:
		return r.agentSpan() + r.agentSpan()/4
	case r.Pushed && s.unanswered > agentTries:
		return max(prompt, r.agentSpan()/2)
	case r.Pushed:
		return r.agentSpan() / 2
	case s.newest == Watch:
		spread := min(time.Duration(max(r.Dispatchers-1, 0))*each, watchSpread)
		return Wait + watchOverlap + scale(spread, clamp(chance))
	}
	if left := s.due.Sub(now); left > 0 && left < lateFrom {
		return lateGap
	}
	return gap
}

// Answered notes that a call brought the list, and whether it was the newest. A watch follows, unless a newer one is open.
func (s *Schedule) Answered(now time.Time, newest, fresh, early bool, r Rules, chance float64) {
	s.due, s.unanswered = now.Add(Told), 0
	if !newest && s.open && s.newest == Watch {
		return
	}
	s.open = false
	s.next, s.kind = now.Add(r.rewatch(fresh, early, chance)), Watch
}

// rewatch is how long after an answer a watch's next call is made. An agent serves this dispatcher alone.
func (r Rules) rewatch(fresh, early bool, chance float64) time.Duration {
	if r.Pushed {
		return min(Rewatch(fresh, early, 1, chance), r.agentSpan()/2)
	}
	return Rewatch(fresh, early, r.Dispatchers, chance)
}

// Failed notes that a call ended without the list. Only behind the newest one a further call is made sooner.
func (s *Schedule) Failed(now time.Time, newest bool, r Rules, chance float64) {
	if !newest {
		return
	}
	s.open = false
	if at := now.Add(s.backoff(now, r, chance)); at.Before(s.next) {
		s.next, s.kind = at, Ask
	}
}

// backoff is how long behind a failed call the next is made.
func (s *Schedule) backoff(now time.Time, r Rules, chance float64) time.Duration {
	if r.Pushed {
		if s.unanswered > agentTries {
			return prompt
		}
		return r.agentSpan() / 4
	}
	most := min(backoffLeast+backoffEach*time.Duration(max(r.Dispatchers, 1)), backoffMost)
	share := downShare
	if left := s.due.Sub(now); left > 0 {
		share = urgentShare + (heardShare-urgentShare)*min(float64(left)/float64(Told), 1)
	}
	return scale(most, share*(leastOfShare+(1-leastOfShare)*clamp(chance)))
}

// Moved notes that another service is asked from now on.
func (s *Schedule) Moved(now time.Time) {
	if due := now.Add(Moved); s.due.After(due) || !s.due.After(now) {
		s.due = due
	}
	s.open, s.unanswered = false, 0
	if !s.next.IsZero() {
		s.AskAt(now)
	}
}

package polling

import "time"

// Schedule tells when the next call is made, and of what kind. The times that its methods get never run backwards. It knows
// the calls to the service in force only, by their numbers.
type Schedule struct {
	due   time.Time // from then on a change may count as told that is not here
	heard time.Time // when a list came last, from this service or one before a move
	moved time.Time // when the last move was; zero for none

	next time.Time // of the next call; zero while none is to be made
	kind Kind      // of the next call

	newest     int // number of the newest call; 0 once it has ended
	watching   bool
	unanswered int       // calls that were begun since the last answer
	begun      time.Time // when the newest one was

	indexed      int       // number of the newest call with an index; 0 once it has ended
	indexedUntil time.Time // until when it may still be served
	strained     time.Time // when an answer was of no use last
	useless      int       // how many were, at short intervals

	recent [burst]time.Time // when the last calls were made
	calls  int              // how many were
	pushed bool             // the service is an agent, which serves this dispatcher alone

	busyUntil time.Time // until then the service counts as busy: it refused a call, or took long to answer one
}

// NewSchedule begins at the start of a process. No call is made before Begin.
func NewSchedule(now time.Time) *Schedule {
	return &Schedule{due: now.Add(NotificationDeadline), heard: now}
}

// Start has the first call made now. Later it does nothing.
func (s *Schedule) Start(now time.Time) {
	if s.next.IsZero() {
		s.PollAt(now)
	}
}

// PollAt has the next call made at a time, without waiting for news.
func (s *Schedule) PollAt(at time.Time) { s.next, s.kind = at, Poll }

// Next gives when the next call is to be made, if nothing comes before. It is not ok before Begin. Whatever a service answers, no
// more than burst calls are made to it within burstSpan.
func (s *Schedule) Next() (at time.Time, ok bool) {
	at = s.next
	if earliest := s.recent[s.calls%burst].Add(burstSpan); !s.pushed && s.calls >= burst && at.Before(earliest) {
		at = earliest
	}
	return at, !s.next.IsZero()
}

// BetweenWatches tells whether the next call goes on with a watch whose last one has answered.
func (s *Schedule) BetweenWatches() bool { return !s.next.IsZero() && s.kind == Watch }

// CallStarted notes that the next call is made now, under this number, and gives its kind: the whole list, where no revision is known
// to ask behind.
func (s *Schedule) CallStarted(now time.Time, number int, revisionKnown bool, r Rules, chance float64) Kind {
	kind := s.kind
	if !revisionKnown || kind == Poll && s.indexedOpen(now) && !r.ListsPushed {
		kind = FullList
	}
	s.newest, s.watching = number, kind == Watch
	s.unanswered++
	s.begun, s.pushed = now, r.ListsPushed
	s.recent[s.calls%burst] = now
	s.calls++
	if kind != FullList {
		s.indexed, s.indexedUntil = number, now.Add(r.served(kind))
	}
	s.PollAt(now.Add(s.overlap(now, kind, r, chance)))
	return kind
}

// served is how long behind its beginning a call may still be served.
func (r Rules) served(k Kind) time.Duration {
	if k == Watch {
		return LongPollWait + watchOverlap
	}
	return inTurn
}

// indexedOpen tells whether a call with an index is open that may still be served.
func (s *Schedule) indexedOpen(now time.Time) bool {
	return s.indexed != 0 && now.Before(s.indexedUntil)
}

// overlap is how long after the newest call a further one is made beside it.
func (s *Schedule) overlap(now time.Time, kind Kind, r Rules, chance float64) time.Duration {
	switch {
	case r.ListsPushed && kind == Watch:
		return r.agentSpan() + r.agentSpan()/4
	case r.ListsPushed && s.unanswered > agentTries:
		return max(prompt, r.agentSpan()/2)
	case r.ListsPushed:
		return r.agentSpan() / 2
	case kind == Watch:
		spread := min(time.Duration(max(r.Dispatchers-1, 0))*overlapEach, watchSpread)
		return LongPollWait + watchOverlap + scale(spread, clamp(chance))
	}
	left := s.due.Sub(now)
	if left <= lastAnswer || s.ServiceBusy(now) && left > busyFrom {
		return inTurn
	}
	return min(s.evenly(left), gap)
}

// evenly divides the time that is left until a change may count as told among the calls that are still to be made in it. To make
// them as early as possible would fill the service's queue with calls that wait for the same answer.
func (s *Schedule) evenly(left time.Duration) time.Duration {
	return max((left-lastAnswer)/time.Duration(max(tries-s.unanswered, 1)), leastGap)
}

// CallAnswered notes that a call brought the list, how long it took, and whether it told anything or came before its wait was
// over. A watch follows, unless a call is open that may become one.
func (s *Schedule) CallAnswered(now time.Time, number int, took time.Duration, fresh, early bool, r Rules, chance float64) {
	watchOpen := s.watching && s.newest != 0 && s.newest != number
	wasWatch := s.watching && s.newest == number
	whole := s.indexed != number
	asked := now // a watch tells what has happened by its end
	if !wasWatch {
		asked = now.Add(-took)
	}
	s.due, s.heard, s.unanswered = asked.Add(NotificationDeadline), now, 0
	if !wasWatch && took > busyAnswer {
		s.busyUntil = now.Add(busyFor)
	}
	s.ended(number)
	switch {
	case watchOpen:
	case s.indexedOpen(now) && !r.ListsPushed:
		s.PollAt(s.indexedUntil)
	case early && !fresh && !r.ListsPushed: // it does not wait for news
		s.next, s.kind = now.Add(scale(s.strain(now), (1+clamp(chance))/2)), Watch
	case whole && s.ServiceBusy(now) && !r.ListsPushed:
		s.next, s.kind = now.Add(restOf(chance)), Watch
	default:
		s.next, s.kind = now.Add(r.rewatch(fresh, early, chance)), Watch
	}
}

// CallStale notes that a call was answered with what was known before, or less: as if it had not been answered, for what may be new. A
// service that goes on so is asked less and less often.
func (s *Schedule) CallStale(now time.Time, number int, r Rules, chance float64) {
	last := number == s.newest || s.newest == 0 && number == s.indexed
	s.ended(number)
	wait := s.strain(now)
	if r.ListsPushed {
		wait = min(wait, r.agentSpan())
	}
	if last {
		s.PollAt(now.Add(scale(wait, (1+clamp(chance))/2)))
	}
}

// strain notes an answer that was of no use, and gives how long to wait behind it.
func (s *Schedule) strain(now time.Time) time.Duration {
	if now.Sub(s.strained) > strainOver {
		s.useless = 0
	}
	s.strained = now
	wait := min(strainLeast<<s.useless, strainMost)
	s.useless = min(s.useless+1, strainSteps)
	return wait
}

// PollNow has a call made now, unless one is due that does not wait for news.
func (s *Schedule) PollNow(now time.Time) {
	if !s.next.IsZero() && (s.kind == Watch || now.Before(s.next)) {
		s.PollAt(now)
	}
}

// PreviousServiceAnswered notes that a service before a move told its list.
func (s *Schedule) PreviousServiceAnswered(now time.Time) { s.heard = now }

// ServiceBusy tells whether the service has many callers.
func (s *Schedule) ServiceBusy(now time.Time) bool { return now.Before(s.busyUntil) }

// restOf is how long a call waits that a busy service had better not be asked for now.
func restOf(chance float64) time.Duration { return scale(busyRest, (1+clamp(chance))/2) }

// rewatch is how long after an answer a watch's next call is made. An agent serves this dispatcher alone.
func (r Rules) rewatch(fresh, early bool, chance float64) time.Duration {
	if r.ListsPushed {
		return min(RewatchDelay(fresh, early, 1, chance), r.agentSpan()/2)
	}
	return RewatchDelay(fresh, early, r.Dispatchers, chance)
}

// ended notes that a call is open no more.
func (s *Schedule) ended(number int) {
	if s.newest == number {
		s.newest = 0
	}
	if s.indexed == number {
		s.indexed = 0
	}
}

// CallFailed notes that a call ended without the list, and how. The next call is made sooner where no newer one is open, and later
// where the service has too many callers: what it lets in then it serves too late.
func (s *Schedule) CallFailed(now time.Time, number int, how Failure, r Rules, chance float64) {
	if how != Broken {
		s.busyUntil = now.Add(busyFor)
	}
	last := number == s.newest || s.newest == 0 && number == s.indexed
	s.ended(number)
	if !last && how != Expired {
		return
	}
	if at := now.Add(s.backoff(now, how, r, chance)); at.Before(s.next) || how != Broken {
		s.PollAt(at)
	}
}

// backoff is how long behind a failed call the next is made.
func (s *Schedule) backoff(now time.Time, how Failure, r Rules, chance float64) time.Duration {
	if r.ListsPushed {
		if s.unanswered > agentTries {
			return prompt
		}
		return r.agentSpan() / 4
	}
	left := s.due.Sub(now)
	if left <= lastAnswer || how == Expired {
		next := s.begun.Add(overdueSpan(how, r.Dispatchers, chance))
		return max(next.Sub(now), backoffLeast)
	}
	most := min(backoffLeast+backoffEach*time.Duration(max(r.Dispatchers-1, 0)), backoffMost)
	return scale(min(s.evenly(left), most), leastOfShare+(1-leastOfShare)*clamp(chance))
}

// overdueSpan is how long behind the beginning of a failed call the next is begun where a change counts as told already, or the
// service is known to serve too late. All dispatchers together then call no faster than it serves them that needs some seconds for
// all. A call that was refused at once has cost it nothing.
func overdueSpan(how Failure, dispatchers int, chance float64) time.Duration {
	span := min(overdueEach*time.Duration(dispatchers), overdueMost)
	if how == Rejected {
		span /= 2
	}
	return scale(span, (1+clamp(chance))/2)
}

// ServiceMoved notes that another service is asked from now on. Moves in quick succession bring one call: what is asked of a service that
// is left in a moment is lost on it.
func (s *Schedule) ServiceMoved(now time.Time, chance float64) {
	if due := now.Add(MoveNotificationDeadline); s.due.After(due) || !s.due.After(now) {
		s.due = due
	}
	s.newest, s.indexed, s.unanswered = 0, 0, 0
	if s.next.IsZero() {
		return
	}
	at, again := now, !s.moved.IsZero() && now.Sub(s.moved) < quickMoves
	s.moved = now
	if again || s.ServiceBusy(now) && now.Sub(s.heard) < freshFor {
		at = now.Add(restOf(chance) / 2)
		if s.kind != Watch && s.next.Before(at) {
			at = s.next
		}
	}
	s.PollAt(at)
}

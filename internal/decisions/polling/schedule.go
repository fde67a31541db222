package polling

import "time"

// Schedule tells when the next call is made, and of what kind. The times that its methods get never run backwards. It knows
// the calls to the service in force only, by their numbers.
type Schedule struct {
	notificationDue time.Time // from then on a change may count as told that is not here
	lastListAt      time.Time // when a list came last, from this service or one before a move
	lastMoveAt      time.Time // when the last move was; zero for none

	nextCallAt time.Time // of the next call; zero while none is to be made
	nextKind   Kind      // of the next call

	newestCall     int // number of the newest call; 0 once it has ended
	newestIsWatch  bool
	unanswered     int       // calls that were begun since the last answer
	newestCalledAt time.Time // when the newest one was

	indexedCall   int       // number of the newest call with an index; 0 once it has ended
	indexedUntil  time.Time // until when it may still be served
	lastUselessAt time.Time // when an answer was of no use last
	uselessCount  int       // how many were, at short intervals

	recentCallTimes [maxBurstCalls]time.Time // when the last calls were made
	callCount       int                      // how many were
	listsPushed     bool                     // the service is an agent, which serves this dispatcher alone

	busyUntil time.Time // until then the service counts as busy: it refused a call, or took long to answer one
}

// NewSchedule begins at the start of a process. No call is made before Begin.
func NewSchedule(now time.Time) *Schedule {
	return &Schedule{notificationDue: now.Add(NotificationDeadline), lastListAt: now}
}

// Start has the first call made now. Later it does nothing.
func (s *Schedule) Start(now time.Time) {
	if s.nextCallAt.IsZero() {
		s.PollAt(now)
	}
}

// PollAt has the next call made at a time, without waiting for news.
func (s *Schedule) PollAt(at time.Time) { s.nextCallAt, s.nextKind = at, Poll }

// Next gives when the next call is to be made, if nothing comes before. It is not ok before Begin. Whatever a service answers, no
// more than burst calls are made to it within burstSpan.
func (s *Schedule) Next() (at time.Time, ok bool) {
	at = s.nextCallAt
	if earliest := s.recentCallTimes[s.callCount%maxBurstCalls].Add(burstWindow); !s.listsPushed && s.callCount >= maxBurstCalls && at.Before(earliest) {
		at = earliest
	}
	return at, !s.nextCallAt.IsZero()
}

// BetweenWatches tells whether the next call goes on with a watch whose last one has answered.
func (s *Schedule) BetweenWatches() bool { return !s.nextCallAt.IsZero() && s.nextKind == Watch }

// CallStarted notes that the next call is made now, under this number, and gives its kind: the whole list, where no revision is known
// to ask behind.
func (s *Schedule) CallStarted(now time.Time, number int, revisionKnown bool, rules Rules, chance float64) Kind {
	kind := s.nextKind
	if !revisionKnown || kind == Poll && s.indexedCallOpen(now) && !rules.ListsPushed {
		kind = FullList
	}
	s.newestCall, s.newestIsWatch = number, kind == Watch
	s.unanswered++
	s.newestCalledAt, s.listsPushed = now, rules.ListsPushed
	s.recentCallTimes[s.callCount%maxBurstCalls] = now
	s.callCount++
	if kind != FullList {
		s.indexedCall, s.indexedUntil = number, now.Add(rules.servedWithin(kind))
	}
	s.PollAt(now.Add(s.overlapDelay(now, kind, rules, chance)))
	return kind
}

// servedWithin is how long behind its beginning a call may still be servedWithin.
func (r Rules) servedWithin(kind Kind) time.Duration {
	if kind == Watch {
		return LongPollWait + watchResponseGrace
	}
	return queuedCallTimeout
}

// indexedCallOpen tells whether a call with an index is open that may still be served.
func (s *Schedule) indexedCallOpen(now time.Time) bool {
	return s.indexedCall != 0 && now.Before(s.indexedUntil)
}

// overlapDelay is how long after the newest call a further one is made beside it.
func (s *Schedule) overlapDelay(now time.Time, kind Kind, rules Rules, chance float64) time.Duration {
	switch {
	case rules.ListsPushed && kind == Watch:
		return rules.agentTimeout() + rules.agentTimeout()/4
	case rules.ListsPushed && s.unanswered > maxPromptAgentCalls:
		return max(earlyRewatchDelay, rules.agentTimeout()/2)
	case rules.ListsPushed:
		return rules.agentTimeout() / 2
	case kind == Watch:
		spread := min(time.Duration(max(rules.Dispatchers-1, 0))*overlapSpreadPerDispatcher, maxOverlapSpread)
		return LongPollWait + watchResponseGrace + scale(spread, clamp(chance))
	}
	left := s.notificationDue.Sub(now)
	if left <= lastResponseTime || s.ServiceBusy(now) && left > busyRepollThreshold {
		return queuedCallTimeout
	}
	return min(s.evenInterval(left), maxPollGap)
}

// evenInterval divides the time that is left until a change may count as told among the calls that are still to be made in it. To make
// them as early as possible would fill the service's queue with calls that wait for the same answer.
func (s *Schedule) evenInterval(left time.Duration) time.Duration {
	return max((left-lastResponseTime)/time.Duration(max(callsPerDeadline-s.unanswered, 1)), minPollGap)
}

// CallAnswered notes that a call brought the list, how long it took, and whether it told anything or came before its wait was
// over. A watch follows, unless a call is open that may become one.
func (s *Schedule) CallAnswered(now time.Time, number int, took time.Duration, changed, early bool, rules Rules, chance float64) {
	watchOpen := s.newestIsWatch && s.newestCall != 0 && s.newestCall != number
	wasWatch := s.newestIsWatch && s.newestCall == number
	fullList := s.indexedCall != number
	coveredUntil := now // a watch tells what has happened by its end
	if !wasWatch {
		coveredUntil = now.Add(-took)
	}
	s.notificationDue, s.lastListAt, s.unanswered = coveredUntil.Add(NotificationDeadline), now, 0
	if !wasWatch && took > busyResponseTime {
		s.busyUntil = now.Add(busyDuration)
	}
	s.callEnded(number)
	switch {
	case watchOpen:
	case s.indexedCallOpen(now) && !rules.ListsPushed:
		s.PollAt(s.indexedUntil)
	case early && !changed && !rules.ListsPushed: // it does not wait for news
		s.nextCallAt, s.nextKind = now.Add(scale(s.recordUseless(now), (1+clamp(chance))/2)), Watch
	case fullList && s.ServiceBusy(now) && !rules.ListsPushed:
		s.nextCallAt, s.nextKind = now.Add(busyDelay(chance)), Watch
	default:
		s.nextCallAt, s.nextKind = now.Add(rules.rewatchDelay(changed, early, chance)), Watch
	}
}

// CallStale notes that a call was answered with what was known before, or less: as if it had not been answered, for what may be new. A
// service that goes on so is asked less and less often.
func (s *Schedule) CallStale(now time.Time, number int, rules Rules, chance float64) {
	newest := number == s.newestCall || s.newestCall == 0 && number == s.indexedCall
	s.callEnded(number)
	wait := s.recordUseless(now)
	if rules.ListsPushed {
		wait = min(wait, rules.agentTimeout())
	}
	if newest {
		s.PollAt(now.Add(scale(wait, (1+clamp(chance))/2)))
	}
}

// recordUseless notes an answer that was of no use, and gives how long to wait behind it.
func (s *Schedule) recordUseless(now time.Time) time.Duration {
	if now.Sub(s.lastUselessAt) > uselessResetAfter {
		s.uselessCount = 0
	}
	s.lastUselessAt = now
	wait := min(minUselessDelay<<s.uselessCount, maxUselessDelay)
	s.uselessCount = min(s.uselessCount+1, maxUselessDoublings)
	return wait
}

// PollNow has a call made now, unless one is due that does not wait for news.
func (s *Schedule) PollNow(now time.Time) {
	if !s.nextCallAt.IsZero() && (s.nextKind == Watch || now.Before(s.nextCallAt)) {
		s.PollAt(now)
	}
}

// PreviousServiceAnswered notes that a service before a move told its list.
func (s *Schedule) PreviousServiceAnswered(now time.Time) { s.lastListAt = now }

// ServiceBusy tells whether the service has many callers.
func (s *Schedule) ServiceBusy(now time.Time) bool { return now.Before(s.busyUntil) }

// busyDelay is how long a call waits that a busy service had better not be asked for now.
func busyDelay(chance float64) time.Duration { return scale(maxBusyDelay, (1+clamp(chance))/2) }

// rewatchDelay is how long after an answer a watch's next call is made. An agent serves this dispatcher alone.
func (r Rules) rewatchDelay(changed, early bool, chance float64) time.Duration {
	if r.ListsPushed {
		return min(RewatchDelay(changed, early, 1, chance), r.agentTimeout()/2)
	}
	return RewatchDelay(changed, early, r.Dispatchers, chance)
}

// callEnded notes that a call is open no more.
func (s *Schedule) callEnded(number int) {
	if s.newestCall == number {
		s.newestCall = 0
	}
	if s.indexedCall == number {
		s.indexedCall = 0
	}
}

// CallFailed notes that a call ended without the list, and how. The next call is made sooner where no newer one is open, and later
// where the service has too many callers: what it lets in then it serves too late.
func (s *Schedule) CallFailed(now time.Time, number int, failure Failure, rules Rules, chance float64) {
	if failure != Broken {
		s.busyUntil = now.Add(busyDuration)
	}
	newest := number == s.newestCall || s.newestCall == 0 && number == s.indexedCall
	s.callEnded(number)
	if !newest && failure != Expired {
		return
	}
	if at := now.Add(s.backoffDelay(now, failure, rules, chance)); at.Before(s.nextCallAt) || failure != Broken {
		s.PollAt(at)
	}
}

// backoffDelay is how long behind a failed call the next is made.
func (s *Schedule) backoffDelay(now time.Time, failure Failure, rules Rules, chance float64) time.Duration {
	if rules.ListsPushed {
		if s.unanswered > maxPromptAgentCalls {
			return earlyRewatchDelay
		}
		return rules.agentTimeout() / 4
	}
	left := s.notificationDue.Sub(now)
	if left <= lastResponseTime || failure == Expired {
		next := s.newestCalledAt.Add(overdueInterval(failure, rules.Dispatchers, chance))
		return max(next.Sub(now), minBackoff)
	}
	limit := min(minBackoff+backoffPerDispatcher*time.Duration(max(rules.Dispatchers-1, 0)), maxBackoff)
	return scale(min(s.evenInterval(left), limit), minBackoffFraction+(1-minBackoffFraction)*clamp(chance))
}

// overdueInterval is how long behind the beginning of a failed call the next is begun where a change counts as told already, or the
// service is known to serve too late. All dispatchers together then call no faster than it serves them that needs some seconds for
// all. A call that was refused at once has cost it nothing.
func overdueInterval(failure Failure, dispatchers int, chance float64) time.Duration {
	interval := min(overdueIntervalPerDispatcher*time.Duration(dispatchers), maxOverdueInterval)
	if failure == Rejected {
		interval /= 2
	}
	return scale(interval, (1+clamp(chance))/2)
}

// ServiceMoved notes that another service is asked from now on. Moves in quick succession bring one call: what is asked of a service that
// is left in a moment is lost on it.
func (s *Schedule) ServiceMoved(now time.Time, chance float64) {
	if due := now.Add(MoveNotificationDeadline); s.notificationDue.After(due) || !s.notificationDue.After(now) {
		s.notificationDue = due
	}
	s.newestCall, s.indexedCall, s.unanswered = 0, 0, 0
	if s.nextCallAt.IsZero() {
		return
	}
	at, rapid := now, !s.lastMoveAt.IsZero() && now.Sub(s.lastMoveAt) < rapidMoveInterval
	s.lastMoveAt = now
	if rapid || s.ServiceBusy(now) && now.Sub(s.lastListAt) < freshListAge {
		at = now.Add(busyDelay(chance) / 2)
		if s.nextKind != Watch && s.nextCallAt.Before(at) {
			at = s.nextCallAt
		}
	}
	s.PollAt(at)
}

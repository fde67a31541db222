package polling

import "time"

const (
	// minUselessDelay is the delay after a useless response, which is stale, or early and without a change. It doubles with each further
	// one, up to maxUselessDelay, until uselessResetAfter has passed without a useless response.
	minUselessDelay     = 200 * time.Millisecond
	maxUselessDelay     = 3200 * time.Millisecond
	maxUselessDoublings = 6
	uselessResetAfter   = 10 * time.Second

	// At a busy service, a dispatcher with a recent list delays a new watch by at most maxBusyDelay. A call after a move is delayed by at
	// most half of it.
	maxBusyDelay = time.Second

	// freshListAge is the age up to which a list counts as recent after a move.
	freshListAge = 2 * time.Second

	// rapidMoveInterval is the time between two moves below which they count as in quick succession.
	rapidMoveInterval = time.Second

	// minBackoff is the limit on the delay after a failed call if there is one dispatcher. The limit grows by backoffPerDispatcher for
	// each further dispatcher, up to maxBackoff; minBackoffFraction of the delay is not random.
	minBackoff           = 100 * time.Millisecond
	backoffPerDispatcher = 300 * time.Millisecond
	maxBackoff           = 2 * time.Second
	minBackoffFraction   = 0.4

	// Once a change may count as notified, calls begin overdueIntervalPerDispatcher times the number of dispatchers apart, but at most
	// maxOverdueInterval.
	overdueIntervalPerDispatcher = 800 * time.Millisecond
	maxOverdueInterval           = 5 * time.Second
)

// CallAnswered records that a call returned a list, and schedules a watch, unless a watch or another call with a revision is in flight.
// took is how long the call took. changed says whether the list has changed, early whether the response was received before the wait
// was over.
func (s *Schedule) CallAnswered(now time.Time, number int, took time.Duration, changed, early bool, rules Rules, chance float64) {
	watchOpen := s.newestIsWatch && s.newestCall != 0 && s.newestCall != number
	wasWatch := s.newestIsWatch && s.newestCall == number
	fullList := s.revisionCall != number
	coveredUntil := now // a watch returns all changes up to its end
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
	case s.revisionCallOpen(now) && !rules.ListsPushed:
		s.PollAt(s.revisionCallUntil)
	case early && !changed && !rules.ListsPushed: // the service answers watches without waiting
		s.watchAt(now.Add(scaleJittered(s.recordUseless(now), chance)))
	case fullList && s.ServiceBusy(now) && !rules.ListsPushed:
		s.watchAt(now.Add(scaleJittered(maxBusyDelay, chance)))
	default:
		s.watchAt(now.Add(rules.rewatchDelay(changed, early, chance)))
	}
}

// watchAt makes the next call due at a time, as a call that continues a watch.
func (s *Schedule) watchAt(at time.Time) { s.nextCallAt, s.nextKind = at, Watch }

// CallStale records that a call returned a list that is not newer than the known one. NotificationDeadline runs on as if the call
// had not been answered, and the delay grows with each such response.
func (s *Schedule) CallStale(now time.Time, number int, rules Rules, chance float64) {
	isNewest := s.isNewest(number)
	s.callEnded(number)
	delay := s.recordUseless(now)
	if rules.ListsPushed {
		delay = min(delay, rules.agentTimeout())
	}
	if isNewest {
		s.PollAt(now.Add(scaleJittered(delay, chance)))
	}
}

// isNewest reports whether a call is the newest call or, if the newest call has ended, the newest call with a revision.
func (s *Schedule) isNewest(number int) bool {
	return number == s.newestCall || s.newestCall == 0 && number == s.revisionCall
}

// recordUseless records a useless response, and returns how long to wait after it.
func (s *Schedule) recordUseless(now time.Time) time.Duration {
	if now.Sub(s.lastUselessAt) > uselessResetAfter {
		s.uselessCount = 0
	}
	s.lastUselessAt = now
	delay := min(minUselessDelay<<s.uselessCount, maxUselessDelay)
	s.uselessCount = min(s.uselessCount+1, maxUselessDoublings)
	return delay
}

// CallFailed records that a call ended without a list. The next call is made sooner if no newer one is in flight, and later if the
// service is overloaded.
func (s *Schedule) CallFailed(now time.Time, number int, failure Failure, rules Rules, chance float64) {
	if failure != Broken {
		s.busyUntil = now.Add(busyDuration)
	}
	isNewest := s.isNewest(number)
	s.callEnded(number)
	if !isNewest && failure != Expired {
		return
	}
	if at := now.Add(s.backoffDelay(now, failure, rules, chance)); at.Before(s.nextCallAt) || failure != Broken {
		s.PollAt(at)
	}
}

// backoffDelay returns how long after a failed call the next one is made.
func (s *Schedule) backoffDelay(now time.Time, failure Failure, rules Rules, chance float64) time.Duration {
	if rules.ListsPushed {
		if s.unanswered > maxPromptAgentCalls {
			return agentRetryDelay
		}
		return rules.agentTimeout() / 4
	}
	left := s.notificationDue.Sub(now)
	if left <= finalCallLead || failure == Expired {
		next := s.newestCalledAt.Add(overdueInterval(failure, rules.Dispatchers, chance))
		return max(next.Sub(now), minBackoff)
	}
	limit := min(minBackoff+backoffPerDispatcher*time.Duration(max(rules.Dispatchers-1, 0)), maxBackoff)
	return scale(min(s.evenInterval(left), limit), minBackoffFraction+(1-minBackoffFraction)*clamp(chance))
}

// overdueInterval returns how long after the beginning of a failed call the next one begins, once a change may count as notified or a
// call has expired in the service's queue. All dispatchers together then call no faster than the service can serve, even if it needs
// some seconds for one call of each. A call that was rejected at once has cost the service nothing, and halves the interval.
func overdueInterval(failure Failure, dispatchers int, chance float64) time.Duration {
	interval := min(overdueIntervalPerDispatcher*time.Duration(dispatchers), maxOverdueInterval)
	if failure == Rejected {
		interval /= 2
	}
	return scaleJittered(interval, chance)
}

// PreviousServiceAnswered records that a service that was used before a move returned its list.
func (s *Schedule) PreviousServiceAnswered(now time.Time) { s.lastListAt = now }

// ServiceMoved records that calls go to another service from now on, and makes a poll due. Moves in quick succession lead to one
// call, because a call to a service that is replaced at once is wasted.
func (s *Schedule) ServiceMoved(now time.Time, chance float64) {
	if due := now.Add(MoveNotificationDeadline); s.notificationDue.After(due) || !s.notificationDue.After(now) {
		s.notificationDue = due
	}
	s.newestCall, s.revisionCall, s.unanswered = 0, 0, 0
	if s.nextCallAt.IsZero() {
		return
	}
	at, rapid := now, !s.lastMoveAt.IsZero() && now.Sub(s.lastMoveAt) < rapidMoveInterval
	s.lastMoveAt = now
	if rapid || s.ServiceBusy(now) && now.Sub(s.lastListAt) < freshListAge {
		at = now.Add(scaleJittered(maxBusyDelay, chance) / 2)
		if s.nextKind != Watch && s.nextCallAt.Before(at) {
			at = s.nextCallAt
		}
	}
	s.PollAt(at)
}

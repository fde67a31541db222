package polling

import "time"

const (
	// maxBurstCalls is the maximum number of calls within burstWindow, regardless of what the service returns.
	maxBurstCalls = 10
	burstWindow   = 2 * time.Second

	// callsPerDeadline is how many calls are made until the platform counts a change as notified.
	callsPerDeadline = 4

	// finalCallLead is how long before notificationDue the last of callsPerDeadline calls is made.
	finalCallLead = 200 * time.Millisecond

	// minPollGap and maxPollGap bound the time after which a further call is made while a call that does not wait is in flight.
	minPollGap = 300 * time.Millisecond
	maxPollGap = 2100 * time.Millisecond

	// overlapSpreadPerDispatcher is by how much each further dispatcher widens the random spread of the calls that overlap a watch:
	// if discovery goes silent, it goes silent for all dispatchers at once.
	overlapSpreadPerDispatcher = 200 * time.Millisecond
	maxOverlapSpread           = 1200 * time.Millisecond

	// After maxPromptAgentCalls calls to an agent without a response, further calls are made agentRetryDelay apart.
	maxPromptAgentCalls = 4
	agentRetryDelay     = 100 * time.Millisecond

	// busyResponseTime is the response time above which a service counts as busy, for busyDuration.
	busyResponseTime = QueuedThreshold
	busyDuration     = 10 * time.Second

	// busyRepollThreshold is the time left until notificationDue above which a busy service, which may have queued the last call, gets
	// no parallel one.
	busyRepollThreshold = 3800 * time.Millisecond
)

// Schedule decides when the next call is made, and of which kind. It tracks only calls to the current service, by the numbers that
// the caller gives them (from 1). Times that are passed to its methods must not go back; each chance is a random draw from 0 to 1.
// It is not safe for concurrent use. Its owner calls Start once, CallStarted at the time that Next returns, and one of CallAnswered,
// CallStale and CallFailed when a call to the current service ends.
type Schedule struct {
	notificationDue time.Time // when a change that has not been received may count as notified
	lastListAt      time.Time // when a list was last received, from the current service or a service used before a move
	lastMoveAt      time.Time // when discovery last moved; zero for never

	nextCallAt time.Time // zero until Start
	nextKind   Kind

	newestCall     int       // number of the newest call; 0 once it has ended
	newestIsWatch  bool      // the newest call is, or was, a watch
	newestCalledAt time.Time // when the newest call was made
	unanswered     int       // calls that were made since the last response

	revisionCall      int       // number of the newest call with a revision; 0 once it has ended
	revisionCallUntil time.Time // until when it may still be served

	lastUselessAt time.Time // when a response was last useless: stale, or early without a change
	uselessCount  int       // useless responses that were at most uselessResetAfter apart; at most maxUselessDoublings

	recentCallTimes [maxBurstCalls]time.Time // ring of the times of the last calls
	callCount       int                      // calls made
	listsPushed     bool                     // the last call was made to an agent, which serves only this dispatcher

	busyUntil time.Time // until when the service counts as busy
}

// NewSchedule returns the schedule of a process that starts now. No call is due before Start.
func NewSchedule(now time.Time) *Schedule {
	return &Schedule{notificationDue: now.Add(NotificationDeadline), lastListAt: now}
}

// Start makes the first call due now. Further calls of Start do nothing.
func (s *Schedule) Start(now time.Time) {
	if s.nextCallAt.IsZero() {
		s.PollAt(now)
	}
}

// PollAt schedules the next call for a time, as a Poll: discovery answers it without waiting for a change.
func (s *Schedule) PollAt(at time.Time) { s.nextCallAt, s.nextKind = at, Poll }

// PollNow schedules a Poll for now, unless a Poll is due already. Before Start it does nothing.
func (s *Schedule) PollNow(now time.Time) {
	if !s.nextCallAt.IsZero() && (s.nextKind == Watch || now.Before(s.nextCallAt)) {
		s.PollAt(now)
	}
}

// Next returns when the next call is to be made if nothing happens before; ok is false before Start.
func (s *Schedule) Next() (at time.Time, ok bool) {
	at = s.nextCallAt
	if earliest := s.recentCallTimes[s.callCount%maxBurstCalls].Add(burstWindow); !s.listsPushed && s.callCount >= maxBurstCalls && at.Before(earliest) {
		at = earliest
	}
	return at, !s.nextCallAt.IsZero()
}

// BetweenWatches reports whether the next call continues a watch whose last call was answered.
func (s *Schedule) BetweenWatches() bool { return !s.nextCallAt.IsZero() && s.nextKind == Watch }

// ServiceBusy reports whether the service counts as busy: it has recently rejected a call, or taken long to answer one.
func (s *Schedule) ServiceBusy(now time.Time) bool { return now.Before(s.busyUntil) }

// CallStarted records that the next call is made now under a number, and returns its kind, which is FullList if no revision is known.
func (s *Schedule) CallStarted(now time.Time, number int, revisionKnown bool, rules Rules, chance float64) Kind {
	kind := s.nextKind
	if !revisionKnown || kind == Poll && s.revisionCallOpen(now) && !rules.ListsPushed {
		kind = FullList
	}
	s.newestCall, s.newestIsWatch = number, kind == Watch
	s.unanswered++
	s.newestCalledAt, s.listsPushed = now, rules.ListsPushed
	s.recentCallTimes[s.callCount%maxBurstCalls] = now
	s.callCount++
	if kind != FullList {
		s.revisionCall, s.revisionCallUntil = number, now.Add(rules.servedWithin(kind))
	}
	s.PollAt(now.Add(s.overlapDelay(now, kind, rules, chance)))
	return kind
}

// revisionCallOpen reports whether a call with a revision is in flight that may still be served.
func (s *Schedule) revisionCallOpen(now time.Time) bool {
	return s.revisionCall != 0 && now.Before(s.revisionCallUntil)
}

// overlapDelay returns how long after a call the next one is made if the call is still in flight.
func (s *Schedule) overlapDelay(now time.Time, kind Kind, rules Rules, chance float64) time.Duration {
	switch {
	case rules.ListsPushed && kind == Watch:
		return rules.agentTimeout() + rules.agentTimeout()/4
	case rules.ListsPushed && s.unanswered > maxPromptAgentCalls:
		return max(agentRetryDelay, rules.agentTimeout()/2)
	case rules.ListsPushed:
		return rules.agentTimeout() / 2
	case kind == Watch:
		spread := min(time.Duration(max(rules.Dispatchers-1, 0))*overlapSpreadPerDispatcher, maxOverlapSpread)
		return LongPollWait + watchResponseGrace + scale(spread, clamp(chance))
	}
	left := s.notificationDue.Sub(now)
	if left <= finalCallLead || s.ServiceBusy(now) && left > busyRepollThreshold {
		return queuedCallTimeout
	}
	return min(s.evenInterval(left), maxPollGap)
}

// evenInterval divides the time that is left until a change may count as notified by the number of calls that are still to be made in
// it. Making the calls earlier would fill the service's queue with calls for the same response.
func (s *Schedule) evenInterval(left time.Duration) time.Duration {
	return max((left-finalCallLead)/time.Duration(max(callsPerDeadline-s.unanswered, 1)), minPollGap)
}

// callEnded records that a call is no longer in flight.
func (s *Schedule) callEnded(number int) {
	if s.newestCall == number {
		s.newestCall = 0
	}
	if s.revisionCall == number {
		s.revisionCall = 0
	}
}

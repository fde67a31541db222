package polling

import "time"

const (
	// LongPollWait is how long a watch waits for a change.
	LongPollWait = 1500 * time.Millisecond

	// ResponseTimeout is how long a response may take, in addition to the wait. No call delays the next one, so a long timeout costs no
	// more than a connection.
	ResponseTimeout = 4 * time.Second

	// queuedCallTimeout is how long a service that queues calls may take to answer one: it rejects a call that was queued for 2 s.
	queuedCallTimeout = 2700 * time.Millisecond

	// watchResponseGrace is how long after the end of its wait a watch may be answered before a further call is made in parallel.
	watchResponseGrace = 100 * time.Millisecond

	// minAgentTimeout is the minimum time that a call to an agent may take, for any grace period.
	minAgentTimeout = 50 * time.Millisecond

	// unchangedRewatchDelay is the minimum delay after a response without a change.
	unchangedRewatchDelay = 20 * time.Millisecond

	// earlyRewatchDelay is the minimum delay after a response without a change that was received before the wait was over.
	earlyRewatchDelay = 100 * time.Millisecond

	// rewatchSpreadPerDispatcher is by how much each further dispatcher widens the random spread of delays.
	rewatchSpreadPerDispatcher = 4 * time.Millisecond
)

// Rules are the settings for calls to discovery.
type Rules struct {
	ListsPushed bool          // lists are pushed to a local agent, which is called in place of the service
	DrainGrace  time.Duration // how long after a drain was notified requests may still be sent to the worker
	Dispatchers int           // number of dispatchers that call the same service, including this one
}

// Timeouts returns how long a call waits for a change, and how long its response may take in addition.
func (r Rules) Timeouts(kind Kind) (wait, responseTimeout time.Duration) {
	switch {
	case r.ListsPushed && kind == Watch:
		return r.agentTimeout(), r.agentTimeout()
	case r.ListsPushed:
		return 0, r.agentTimeout()
	case kind == Watch:
		return LongPollWait, ResponseTimeout
	}
	return 0, ResponseTimeout
}

// agentTimeout returns how long a watch at an agent waits, and how long an agent may take to respond.
func (r Rules) agentTimeout() time.Duration { return max(r.DrainGrace/5, minAgentTimeout) }

// servedWithin returns how long after its beginning a call may still be served.
func (r Rules) servedWithin(kind Kind) time.Duration {
	if kind == Watch {
		return LongPollWait + watchResponseGrace
	}
	return queuedCallTimeout
}

// RewatchDelay returns how long after a response the next call of a watch is made. changed says whether the response brought a change,
// early whether it was received before the wait was over; chance is a random draw from 0 to 1.
func RewatchDelay(changed, early bool, dispatchers int, chance float64) time.Duration {
	minDelay := time.Duration(0)
	switch {
	case changed:
	case early:
		minDelay = earlyRewatchDelay
	default:
		minDelay = unchangedRewatchDelay
	}
	spread := min(time.Duration(max(dispatchers-1, 0))*rewatchSpreadPerDispatcher, WatchGap-WatchGapMargin-minDelay)
	return minDelay + scale(spread, clamp(chance))
}

// rewatchDelay returns RewatchDelay by the rules. An agent serves only this dispatcher.
func (r Rules) rewatchDelay(changed, early bool, chance float64) time.Duration {
	if r.ListsPushed {
		return min(RewatchDelay(changed, early, 1, chance), r.agentTimeout()/2)
	}
	return RewatchDelay(changed, early, r.Dispatchers, chance)
}

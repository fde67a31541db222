package scheduler

import (
	"cmp"
	"time"
)

// Hedging: if an attempt has not started in time, the request is also sent to another worker. The first attempt to start cancels
// the others (onAttemptStarted), so a hedge is a search for a free slot.

const (
	// An attempt that has not started is hedged when hedgeDelay, plus the round trips of a new connection, has passed since its
	// send. With less, fetching the data of affinity keys at more workers would cost more than the waiting that hedges save.
	hedgeDelay = 50 * time.Millisecond

	// congestionHedgeDelay, times the congestion, is added to hedgeDelay: if all queues are long, a hedge only makes them longer.
	congestionHedgeDelay = 200 * time.Millisecond

	// An attempt at a free slot starts within startGracePeriod, plus the round trips of a new connection, after its send. If it
	// has not started by then, its worker counts as full.
	startGracePeriod = 150 * time.Millisecond

	// connectionRoundTrips is the number of round trips before a start, including those of a new connection.
	connectionRoundTrips = 3
)

// startOverdue reports whether an attempt in flight has not started although more than the grace period and the round trips of a
// new connection have passed since effectiveSentAt. It is false while the attempt waits for a connection, and always if workers
// do not report starts.
func (s *Scheduler) startOverdue(attempt *attempt, grace time.Duration) bool {
	return attempt.inFlight && !attempt.waits && attempt.startedAt == 0 && s.settings.ReportsStart &&
		s.now-attempt.effectiveSentAt() > grace+connectionRoundTrips*s.roundTripTimes[attempt.worker.Zone]
}

// hedge sends a further attempt of request if the latest one in flight has waited too long for its start (needsHedge) or its
// worker is ejected, and if another worker can take it. A request that is late (tooLate) is not hedged.
func (s *Scheduler) hedge(request *request, latest *attempt, late bool) {
	needed := s.needsHedge(latest)
	if late || !needed && s.healthy(latest.worker, request.class) {
		return
	}
	if worker := s.pickWorker(request); worker != nil && !request.hasTried(worker) {
		s.recentHedges.add(s.now, 1)
		s.send(request, worker)
	}
}

// needsHedge reports whether an attempt has waited too long for its start. The limit depends on how well loads are known:
//
//   - If all loads are known: meanAttemptDuration, and only without a signal of the worker since the send. A free slot elsewhere
//     would be known, so a hedge would only lengthen the queues.
//   - Otherwise: hedgeDelay + congestion x congestionHedgeDelay.
//   - If requests go to a subset, in addition: recent hedges < (maxCongestion - congestion) x recent sends. The load that other
//     dispatchers put on those workers is unknown, and cancelled jobs may still run.
func (s *Scheduler) needsHedge(latest *attempt) bool {
	overdue := s.startOverdue(latest, hedgeDelay+durationOf(s.congestion*congestionHedgeDelay.Seconds()))
	if s.loadsKnown {
		return s.startOverdue(latest, durationOf(cmp.Or(s.meanAttemptDuration, 1))) && latest.worker.lastSignal <= latest.sentAt
	}
	if s.usesSubset() {
		return overdue && s.recentHedges.value(s.now) < (maxCongestion-s.congestion)*s.recentSends.value(s.now)
	}
	return overdue
}

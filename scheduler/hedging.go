package scheduler

import (
	"cmp"
	"time"
)

// Hedging: a further attempt while one has not started in time, at the next worker in order. The first to start cancels
// the others (onAttemptStarted), so hedging is a search for a free slot.

const (
	// hedgeDelay is how long after its send, beyond the round trips of a new connection, an attempt without a start is hedged.
	// Sooner, hedges would fetch more data for affinity keys than they save waiting.
	hedgeDelay = 50 * time.Millisecond

	// congestionHedgeDelay is added in proportion to congestion: where all queues are long a hedge only makes them longer.
	congestionHedgeDelay = 200 * time.Millisecond

	// startGracePeriod is how long after its send, beyond the round trips of a new connection, an attempt that is sent to a free
	// slot has started. A worker with one that has not counts as full.
	startGracePeriod = 150 * time.Millisecond

	// connectionRoundTrips is the number of round trips before a start, with those that a new connection takes.
	connectionRoundTrips = 3
)

// startOverdue reports whether an attempt in flight should have started by now: whether, at a worker that reports starts, more
// than the grace period and the round trips of a new connection have passed since the worker was asked.
func (s *Scheduler) startOverdue(attempt *attempt, grace time.Duration) bool {
	return attempt.inFlight && !attempt.waits && attempt.startedAt == 0 && s.settings.ReportsStart &&
		s.now-attempt.askedAt() > grace+connectionRoundTrips*s.roundTripTimes[attempt.worker.Zone]
}

// hedge sends a further attempt of request if the latest one in flight has no start for too long (needsHedge) or its worker is
// ejected, and another worker can take it. A request that is tooLate is not hedged.
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

// needsHedge reports whether an attempt has gone without a start for too long. How long that is depends on what is known:
//
//   - Loads known roughly (all workers are candidates): hedgeDelay, and more with congestion.
//   - A subset of the workers: the same, but the share of hedges among recent sends stays below maxCongestion less the
//     congestion. What other dispatchers send there is unknown, and cancelled jobs may still run.
//   - All loads known: a mean stay, and only without a signal of the worker since the send. There is no free slot to be
//     found elsewhere, so a hedge would only add to the queues.
func (s *Scheduler) needsHedge(latest *attempt) bool {
	overdue := s.startOverdue(latest, hedgeDelay+durationOf(s.congestion*congestionHedgeDelay.Seconds()))
	if s.loadsKnown {
		return s.startOverdue(latest, durationOf(cmp.Or(s.meanStay, 1))) && latest.worker.lastSignal <= latest.sentAt
	}
	if s.usesSubset() {
		return overdue && s.recentHedges.value(s.now) < (maxCongestion-s.congestion)*s.recentSends.value(s.now)
	}
	return overdue
}

package scheduler

import (
	"fmt"
	"slices"
	"time"
)

// Outlier ejection: a worker that cannot be reached, does not respond or keeps failing a class of requests is ejected, for all
// requests or for that class. An ejected worker gets one trial attempt after its ejection time, and again after twice that time
// and so on; a signal of the worker (for one class, served jobs) lets it back in.

const (
	// lossesToEject is the number of connections lost in a row, without a signal between, from which a worker is unreachable.
	lossesToEject = 2

	// failuresToEject is the number of failures of a class from which it is ejected; a success halves their count.
	failuresToEject = 3

	// firstEjection is the first ejection time; each further ejection in a row doubles it.
	firstEjection = 500 * time.Millisecond

	// maxCountedEjections is the number of ejections in a row from which on the ejection time no longer grows: 4 s.
	maxCountedEjections = 4

	// unansweredEjections is the number of ejections in a row that a class counts at once if its jobs are left unanswered: 8 s,
	// since a trial may cost such a job.
	unansweredEjections = 5

	// missedProgressPeriods is the number of progress intervals without a signal after which a worker counts as not responding.
	missedProgressPeriods = 1.5

	// progressSlack is added to these for the network.
	progressSlack = 300 * time.Millisecond

	// minSilence is the shortest time without a signal after which a worker may count as not responding, and the age from which a
	// report is overdue.
	minSilence = time.Second

	// minLossIdle is how long a connection must have been idle to have been dropped unseen.
	minLossIdle = 200 * time.Millisecond

	// idleLossRetention is how long the loss of an idle connection is remembered.
	idleLossRetention = 15 * time.Second

	// freeShareOfLostAttempt is the share of a slot that must be free, by a later report, for an attempt to count as lost.
	freeShareOfLostAttempt = 0.5
)

// ejectionState is the outlier state of a worker, or of one class of requests at it.
type ejectionState struct {
	failureCount         float64 // failures, or connections lost, since the last signal
	consecutiveEjections int     // 0 if not ejected
	ejectedUntil         Instant // time of the next trial while ejected
}

// recordSuccess notes a served job. It halves the failures and ejections instead of clearing them, or a worker that
// fails every second job would never be ejected.
func (e *ejectionState) recordSuccess() {
	e.failureCount, e.consecutiveEjections = e.failureCount/2, e.consecutiveEjections/2
}

// permitsAttempt reports whether the state is not ejected, or due for a trial.
func (e *ejectionState) permitsAttempt(now Instant) bool {
	return e.consecutiveEjections == 0 || now >= e.ejectedUntil
}

// healthy reports whether a request of the class may be sent to the worker: neither the worker nor the class at it is ejected,
// or a trial is due.
func (s *Scheduler) healthy(worker *worker, class int) bool {
	return worker.permitsAttempt(s.now) && worker.classEjections[class].permitsAttempt(s.now)
}

// ejectionDuration returns the ejection time of an ejected state: firstEjection, doubled by each further ejection in a row, and up
// to a quarter more by chance, so that dispatchers do not all try a worker at the same time.
func (s *Scheduler) ejectionDuration(state *ejectionState) time.Duration {
	return time.Duration((1 + s.random.Float64()/4) * float64(firstEjection<<(state.consecutiveEjections-1)))
}

// eject ejects the worker, or the class that the state belongs to, or prolongs its ejection. It counts at least minEjections in
// a row.
func (s *Scheduler) eject(worker *worker, state *ejectionState, minEjections int, reason string) {
	if state.consecutiveEjections == 0 {
		s.emit(Log{Text: fmt.Sprintf("worker ejected worker=%s reason=%s", worker.ID, reason)})
	}
	next := min(state.consecutiveEjections+1, maxCountedEjections)
	state.consecutiveEjections = max(state.consecutiveEjections, next, minEjections)
	state.ejectedUntil = s.now + s.ejectionDuration(state)
}

// postponeNextTrial sets, where the worker or the class at it is ejected, when the next trial may follow the attempt that is
// being sent.
func (s *Scheduler) postponeNextTrial(worker *worker, class int) {
	for _, state := range []*ejectionState{&worker.ejectionState, &worker.classEjections[class]} {
		if state.consecutiveEjections > 0 {
			state.ejectedUntil = s.now + s.ejectionDuration(state)
		}
	}
}

// recordSignal notes a sign of life of the worker, which ends its ejection (not those of its classes). The end is not logged.
func (s *Scheduler) recordSignal(worker *worker) {
	worker.lastSignal, worker.lastUsed = s.now, s.now
	worker.consecutiveEjections, worker.failureCount = 0, 0
}

// recordConnectionLoss counts a connection that broke or never came up. One alone, with signals before and after, is chance.
func (s *Scheduler) recordConnectionLoss(worker *worker) {
	if worker.failureCount++; worker.failureCount >= lossesToEject {
		s.eject(worker, &worker.ejectionState, 0, "unreachable")
	}
}

// recordFailure counts a failure of a class, which successes of other classes do not clear. Where another class is ejected one
// failure is enough: a worker that fails at once looks idle and draws requests.
func (s *Scheduler) recordFailure(worker *worker, class int) {
	state := &worker.classEjections[class]
	worker.recentFailures.add(s.now, 1)
	ejected := slices.ContainsFunc(worker.classEjections, func(e ejectionState) bool { return e.consecutiveEjections > 0 })
	if state.failureCount++; state.failureCount >= failuresToEject || ejected {
		s.eject(worker, state, 0, fmt.Sprintf("failures class=%d", class))
	}
}

// detectSilence looks, where workers report starts, for two kinds of silence about an attempt in flight:
//
//   - The worker does not respond: no signal for longer than its progress reports may take. It is ejected. A worker that reports
//     no progress may run a long job, so there this holds only while no own job runs.
//   - The attempt has not started although a later report of the worker shows a free slot. It is lost: with an idle connection
//     that was dropped unseen, or because the worker leaves its class unanswered, which is then ejected.
//
// Where reports show too little load the second rule may count a waiting attempt as lost.
func (s *Scheduler) detectSilence(request *request, attempt *attempt) {
	if !attempt.inFlight || attempt.waits || !s.settings.ReportsStart || attempt.lost {
		return
	}
	worker := attempt.worker
	if s.notResponding(attempt) {
		if s.healthy(worker, request.class) && worker.ready {
			s.eject(worker, &worker.ejectionState, 0, "no_response")
		}
		return
	}
	if !s.reportShowsLost(attempt) {
		return
	}
	attempt.lost = true
	s.addOwnSlots(worker, -request.slots)
	if !s.recordIfIdleLoss(attempt) {
		state := &worker.classEjections[request.class]
		s.eject(worker, state, unansweredEjections, fmt.Sprintf("unanswered class=%d", request.class))
	}
}

// notResponding reports whether the worker of an attempt has given no signal since that stopped waiting here, for longer than its progress
// reports may take.
func (s *Scheduler) notResponding(attempt *attempt) bool {
	worker, silentSince := attempt.worker, max(attempt.worker.lastSignal, attempt.waitedUntil)
	missed := time.Duration(missedProgressPeriods*float64(s.settings.ProgressInterval)) + progressSlack
	return s.now-silentSince > max(missed, minSilence) && (s.settings.ProgressInterval > 0 || worker.runningSlots == 0)
}

// reportShowsLost reports whether an attempt has not started in time, although a later report of its worker shows a free slot.
func (s *Scheduler) reportShowsLost(attempt *attempt) bool {
	reportedSince := attempt.worker.reportedAt > attempt.effectiveSentAt()+minSilence
	return reportedSince && s.startOverdue(attempt, minSilence+reportLookback) &&
		attempt.worker.reportedLoad < 1-s.slotShare(attempt.worker, freeShareOfLostAttempt)
}

// recordIfIdleLoss reports whether a lost attempt was lost with a connection that had been idle, and notes for how long: for
// idleLossRetention, connections that have been idle for nearly as long are closed before use (closeSuspectConnections). An
// attempt that had started was not lost that way.
func (s *Scheduler) recordIfIdleLoss(attempt *attempt) bool {
	if attempt.connectionIdle < minLossIdle || attempt.startedAt > 0 {
		return false
	}
	if s.shortestIdleLoss == 0 || s.now > s.idleLossAt+idleLossRetention {
		s.shortestIdleLoss = attempt.connectionIdle
	} else {
		s.shortestIdleLoss = min(s.shortestIdleLoss, attempt.connectionIdle)
	}
	s.idleLossAt = s.now
	return true
}

// CountAvoided returns the number of listed workers that are detached by the operator, or ejected as a whole. A worker of which only a class
// is ejected does not count.
func (s *Scheduler) CountAvoided() (count int) {
	for _, worker := range s.workers {
		count += oneIf(worker.listed && (worker.detached || worker.consecutiveEjections > 0))
	}
	return count
}

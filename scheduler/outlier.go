package scheduler

import (
	"fmt"
	"slices"
	"time"
)

// Outlier ejection: a worker that cannot be reached, does not respond or keeps failing a class of requests is ejected, for all
// requests or for that class. An ejected worker gets one trial attempt after its ejection time, the next one after twice that
// time, and so on. A signal of the worker ends its ejection; served jobs of a class end the ejection for that class.

const (
	// lossesToEject is the number of connections lost in a row, without a signal in between, at which a worker counts as
	// unreachable.
	lossesToEject = 2

	// failuresToEject is the failure count at which a class is ejected; a success halves the count.
	failuresToEject = 3

	// firstEjection is the first ejection time; each further ejection in a row doubles it.
	firstEjection = 500 * time.Millisecond

	// maxCountedEjections is the number of ejections in a row at which the ejection time stops growing, at 4 s.
	maxCountedEjections = 4

	// If a worker leaves the jobs of a class unanswered, the first ejection of the class counts as unansweredEjections in a row.
	// The ejection time is then 8 s, because each trial may cost a job.
	unansweredEjections = 5

	// missedProgressPeriods is the number of progress intervals without a signal after which a worker counts as not responding.
	missedProgressPeriods = 1.5

	// progressSlack is added to missedProgressPeriods progress intervals, as a margin for the network.
	progressSlack = 300 * time.Millisecond

	// minSilence is the shortest time without a signal after which a worker may count as not responding, and the age at which a
	// report is overdue.
	minSilence = time.Second

	// minLossIdle is the shortest idle time after which a connection may have been dropped without notice.
	minLossIdle = 200 * time.Millisecond

	// idleLossRetention is how long the loss of an idle connection is remembered.
	idleLossRetention = 15 * time.Second

	// lostAttemptFreeSlots is the share of a slot that a later report must show as free for an attempt to count as lost.
	lostAttemptFreeSlots = 0.5
)

// ejectionState is the outlier state of a worker, or of one class of requests at it.
type ejectionState struct {
	failureCount         float64 // failures, or connections lost, since the last signal
	consecutiveEjections int     // 0 if not ejected
	ejectedUntil         Instant // time of the next trial while ejected
}

// recordSuccess records a served job. It halves the counts of failures and ejections instead of clearing them: otherwise a worker
// that fails every second job would never be ejected.
func (e *ejectionState) recordSuccess() {
	e.failureCount, e.consecutiveEjections = e.failureCount/2, e.consecutiveEjections/2
}

// permitsAttempt reports whether the state is not ejected, or a trial is due.
func (e *ejectionState) permitsAttempt(now Instant) bool {
	return e.consecutiveEjections == 0 || now >= e.ejectedUntil
}

// healthy reports whether a request of the class may be sent to the worker: neither the worker nor the class at it is ejected,
// or a trial is due.
func (s *Scheduler) healthy(worker *worker, class int) bool {
	return worker.permitsAttempt(s.now) && worker.classEjections[class].permitsAttempt(s.now)
}

// ejectionDuration returns the ejection time of an ejected state: firstEjection, doubled by each further ejection in a row, plus
// a random part of up to a quarter, so that dispatchers do not all try a worker at the same time.
func (s *Scheduler) ejectionDuration(state *ejectionState) time.Duration {
	return time.Duration((1 + s.random.Float64()/4) * float64(firstEjection<<(state.consecutiveEjections-1)))
}

// eject ejects the worker, or the class that the state belongs to, or extends its ejection. The ejection counts as at least
// minEjections in a row.
func (s *Scheduler) eject(worker *worker, state *ejectionState, minEjections int, reason string) {
	if state.consecutiveEjections == 0 {
		s.emit(Log{Text: fmt.Sprintf("worker ejected worker=%s reason=%s", worker.ID, reason)})
	}
	next := min(state.consecutiveEjections+1, maxCountedEjections)
	state.consecutiveEjections = max(state.consecutiveEjections, next, minEjections)
	state.ejectedUntil = s.now + s.ejectionDuration(state)
}

// postponeNextTrial handles the send of an attempt: if the worker or the class at it is ejected, the next trial is due an
// ejection time later.
func (s *Scheduler) postponeNextTrial(worker *worker, class int) {
	for _, state := range []*ejectionState{&worker.ejectionState, &worker.classEjections[class]} {
		if state.consecutiveEjections > 0 {
			state.ejectedUntil = s.now + s.ejectionDuration(state)
		}
	}
}

// recordSignal records a signal of the worker. It ends the ejection of the worker, but not of its classes. The end is not logged.
func (s *Scheduler) recordSignal(worker *worker) {
	worker.lastSignal, worker.lastUsed = s.now, s.now
	worker.consecutiveEjections, worker.failureCount = 0, 0
}

// recordConnectionLoss counts a connection that broke or could not be established. A single loss, with signals before and after
// it, counts as chance.
func (s *Scheduler) recordConnectionLoss(worker *worker) {
	if worker.failureCount++; worker.failureCount >= lossesToEject {
		s.eject(worker, &worker.ejectionState, 0, "unreachable")
	}
}

// recordFailure counts a failure of a class. Successes of other classes do not reduce the count. If any class is already ejected
// at the worker, one failure is enough: a worker that fails jobs immediately looks idle and attracts requests.
func (s *Scheduler) recordFailure(worker *worker, class int) {
	state := &worker.classEjections[class]
	worker.recentFailures.add(s.now, 1)
	ejected := slices.ContainsFunc(worker.classEjections, func(e ejectionState) bool { return e.consecutiveEjections > 0 })
	if state.failureCount++; state.failureCount >= failuresToEject || ejected {
		s.eject(worker, state, 0, fmt.Sprintf("failures class=%d", class))
	}
}

// detectSilence detects two kinds of silence about an attempt in flight, if workers report starts:
//
//   - The worker does not respond: it gave no signal for longer than the interval of its progress reports permits. It is ejected.
//     A worker without progress reports may be running a long job, so it is ejected only while no own job runs there.
//   - The attempt has not started although a later report of the worker shows a free slot. It counts as lost. Either its idle
//     connection was dropped without notice, or the worker leaves its class unanswered; in the second case the class is ejected.
//
// If reports show too little load, the second rule may count a waiting attempt as lost.
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

// notResponding reports whether the worker of an attempt has given no signal for longer than the interval of its progress reports
// permits. The time in which the attempt waited here for a connection does not count.
func (s *Scheduler) notResponding(attempt *attempt) bool {
	worker, silentSince := attempt.worker, max(attempt.worker.lastSignal, attempt.waitedUntil)
	maxProgressGap := time.Duration(missedProgressPeriods*float64(s.settings.ProgressInterval)) + progressSlack
	return s.now-silentSince > max(maxProgressGap, minSilence) && (s.settings.ProgressInterval > 0 || worker.runningSlots == 0)
}

// reportShowsLost reports whether an attempt has not started in time, although a later report of its worker shows a free slot.
func (s *Scheduler) reportShowsLost(attempt *attempt) bool {
	reportedSince := attempt.worker.reportedAt > attempt.effectiveSentAt()+minSilence
	return reportedSince && s.startOverdue(attempt, minSilence+reportLookback) &&
		attempt.worker.reportedLoad < 1-s.slotShare(attempt.worker, lostAttemptFreeSlots)
}

// recordIfIdleLoss reports whether a lost attempt was lost with an idle connection, and records the idle time. For
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

// CountAvoided returns the number of listed workers that are detached by the operator or ejected for all requests. A worker that
// is ejected for one class does not count.
func (s *Scheduler) CountAvoided() (count int) {
	for _, worker := range s.workers {
		count += oneIf(worker.listed && (worker.detached || worker.consecutiveEjections > 0))
	}
	return count
}

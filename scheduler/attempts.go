package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// Attempts: how the state changes when an attempt is sent, starts, ends or is cancelled.

// A connection is suspect if it has been idle for four fifths of Scheduler.shortestIdleLoss, or longer.
const (
	suspectIdleNumerator   = 4
	suspectIdleDenominator = 5
)

// attempt is one send of a request to a worker.
type attempt struct {
	worker           *worker
	sentAt           Instant
	waits            bool          // for a connection, because this process has reached its connection limit
	waitedUntil      Instant       // end of the last wait for a connection; 0 if there was none
	startedAt        Instant       // 0 until the worker reports the start
	inFlight         bool          // sent, no outcome yet
	mayHaveExecuted  bool          // false once its outcome rules this out
	cancelled        bool          // a Cancel was emitted
	forOverdueReport bool          // sent while its worker's load report was overdue, to obtain one
	keyedRun         *KeyedRun     // what is remembered of it beyond the request; nil if an earlier attempt of the key is remembered
	lost             bool          // considered lost: it no longer counts as using slots (see detectSilence)
	connectionIdle   time.Duration // how long its connection was idle before the send; while unknown, how long the worker was unused
}

func isInFlight(a attempt) bool      { return a.inFlight }
func mayHaveExecuted(a attempt) bool { return a.mayHaveExecuted }
func awaitsStart(a attempt) bool     { return a.inFlight && a.startedAt == 0 && !a.lost }

// anyAttempt reports whether the condition holds for any of the request's attempts.
func (r *request) anyAttempt(condition func(attempt) bool) bool {
	return slices.ContainsFunc(r.attempts, condition)
}

// hasTried reports whether an attempt of the request has been sent to the worker.
func (r *request) hasTried(candidate *worker) bool {
	return r.anyAttempt(func(a attempt) bool { return a.worker == candidate })
}

// attemptInFlight returns a request and its attempt with the given number, or nil for both if there is no such attempt or its
// outcome is known.
func (s *Scheduler) attemptInFlight(id RequestID, number int) (*request, *attempt) {
	request := s.requests[id]
	if request == nil || number < 0 || number >= len(request.attempts) || !request.attempts[number].inFlight {
		return nil, nil
	}
	return request, &request.attempts[number]
}

// send sends the next attempt of request to worker and updates the state that depends on sends: the worker's own slots,
// slow-start charges and weighted sends, and, if it is ejected, the time of its next trial.
func (s *Scheduler) send(request *request, worker *worker) {
	if worker.ownSlots == 0 {
		worker.lastSignal = s.now // nothing was in flight: silence is measured from here
	}
	s.postponeNextTrial(worker, request.class)
	idle := s.closeSuspectConnections(worker)
	if s.warmupFactor(worker) < 1 {
		worker.slowStartCharges = append(worker.slowStartCharges, slowStartCharge{s.now, s.chargedWork(request)})
	}
	s.addOwnSlots(worker, request.slots)
	worker.weightedSends += 1 / worker.weight()
	worker.recentWeightedSends.add(s.now, 1/worker.weight())
	s.recentSends.add(s.now, 1)
	worker.recordSend()
	sent := attempt{
		worker: worker, sentAt: s.now, inFlight: true, mayHaveExecuted: true, connectionIdle: idle,
		forOverdueReport: worker.ownSlots == request.slots && s.reportOverdue(worker),
	}
	if sent.forOverdueReport {
		s.reportAttemptsInFlight++
	}
	sendBy := earlierBound(s.retrySendDeadline(request), s.freshUntil(worker)) // before the append: it depends on the earlier attempts only
	s.recordKeyedRun(request, &sent)
	request.attempts = append(request.attempts, sent)
	s.emit(Send{ID: request.id, Worker: worker.ID, SendBy: sendBy})
}

// onAttemptWaits records that an attempt waits for a connection in this process, or that the wait has ended. The wait counts
// neither as silence of the worker (notResponding) nor as an overdue start (startOverdue).
func (s *Scheduler) onAttemptWaits(event AttemptWaits) {
	if _, attempt := s.attemptInFlight(event.ID, event.Attempt); attempt != nil {
		attempt.waits, attempt.waitedUntil = event.Waits, s.now
	}
}

// effectiveSentAt returns when the attempt was sent or, if it had to wait for a connection, when the wait ended. While the attempt
// waits, the result has no meaning.
func (a *attempt) effectiveSentAt() Instant { return max(a.sentAt, a.waitedUntil) }

// onAttemptStarted records the start of an attempt and cancels the request's other attempts that have not started.
func (s *Scheduler) onAttemptStarted(event AttemptStarted) {
	request, started := s.attemptInFlight(event.ID, event.Attempt)
	if started == nil {
		return
	}
	s.recordSignal(started.worker)
	if started.startedAt == 0 {
		s.recordAttemptStart(request, started)
	}
	request.streamed = request.streamed || event.Streamed
	s.cancelAttempts(request, func(other *attempt) bool { return other != started && other.startedAt == 0 })
}

// recordAttemptStart updates the state for an attempt that has started. If more slots run at the worker than it was known to
// have, its number of slots is raised. While the number is unknown, 1/increment slots are assumed, so a single job raises nothing.
func (s *Scheduler) recordAttemptStart(request *request, started *attempt) {
	worker := started.worker
	started.startedAt, worker.reattached = s.now, false
	s.recordRoundTrip(worker.Zone, s.now-started.sentAt)
	s.adjustOvercommit(request, started)
	if started.lost {
		started.lost = false
		s.addOwnSlots(worker, request.slots)
	}
	worker.runningSlots += request.slots
	if worker.runningSlots > max(worker.observedSlots, 1/worker.increment) {
		s.recordSlots(worker, worker.runningSlots)
	}
}

// onAttemptProgressed counts progress of a running attempt as a signal of its worker.
func (s *Scheduler) onAttemptProgressed(event AttemptProgressed) {
	if _, running := s.attemptInFlight(event.ID, event.Attempt); running != nil {
		s.recordSignal(running.worker)
	}
}

// onAttemptFinished handles the outcome of an attempt: it first updates the worker's state, then decides how the request continues.
func (s *Scheduler) onAttemptFinished(event AttemptFinished) {
	request, ended := s.attemptInFlight(event.ID, event.Attempt)
	if ended == nil {
		return
	}
	if event.ConnectionIdle >= 0 {
		ended.connectionIdle = event.ConnectionIdle
	}
	ended.mayHaveExecuted = mayExecute(event.Outcome)
	s.correctKeyedRun(request, ended)
	s.releaseAttempt(request, ended)
	s.learnFromOutcome(request, ended, event.Outcome)
	s.applyReport(ended.worker, event.Report)
	s.continueRequest(request, event)
}

// mayExecute reports whether the job of an attempt with this outcome may have run or may still run.
func mayExecute(outcome Outcome) bool {
	return outcome != Full && outcome != NoConnect && outcome != NeverSent && outcome != InvalidRequest
}

// releaseAttempt releases the slots that an ended attempt occupied at its worker.
func (s *Scheduler) releaseAttempt(request *request, ended *attempt) {
	ended.inFlight = false
	if ended.forOverdueReport {
		s.reportAttemptsInFlight--
	}
	if !ended.lost {
		s.addOwnSlots(ended.worker, -request.slots)
	}
	if ended.startedAt > 0 {
		ended.worker.runningSlots = max(ended.worker.runningSlots-request.slots, 0)
	}
}

// learnFromOutcome updates the worker's state by the outcome of an attempt. An invalid request is the client's fault and counts
// only as a signal. A timeout is the worker's fault only if the job never started. An attempt that was cancelled or never sent
// changes nothing.
func (s *Scheduler) learnFromOutcome(request *request, ended *attempt, outcome Outcome) {
	worker := ended.worker
	switch outcome {
	case Served:
		worker.reattached = false
		worker.classEjections[request.class].recordSuccess()
		s.recordSignal(worker)
		s.recordRuntime(request, ended)
	case Full:
		s.recordSignal(worker)
		s.recordFull(worker)
	case InvalidRequest:
		s.recordSignal(worker)
	case NoConnect, Reset:
		if outcome == NoConnect || !s.recordIfIdleLoss(ended) {
			s.recordConnectionLoss(worker)
		}
	case Errored, TimedOut:
		if outcome == Errored || ended.startedAt == 0 && !ended.lost {
			s.recordFailure(worker, request.class)
		}
	}
}

// cancelAttempts cancels the request's attempts in flight that meet the condition, where the settings permit it.
func (s *Scheduler) cancelAttempts(request *request, condition func(*attempt) bool) {
	if !request.settings.MayCancel {
		return
	}
	for number := range request.attempts {
		candidate := &request.attempts[number]
		if !candidate.inFlight || candidate.cancelled || !condition(candidate) {
			continue
		}
		candidate.cancelled = true
		s.recordCancellation(candidate, request.slots)
		s.emit(Cancel{ID: request.id, Attempt: number})
	}
}

// everyAttempt is a condition for cancelAttempts that every attempt meets.
func everyAttempt(*attempt) bool { return true }

// recordCancellation counts at the worker the slots of an attempt that is cancelled before its start, and the attempt itself if
// it has waited long enough to be hedged.
func (s *Scheduler) recordCancellation(cancelled *attempt, slots float64) {
	worker := cancelled.worker
	if cancelled.startedAt == 0 {
		worker.cancelledSlots.window = max(durationOf(s.meanAttemptDuration), reportLookback)
		worker.cancelledSlots.add(s.now, slots)
	}
	if s.startOverdue(cancelled, hedgeDelay) {
		worker.cancelledWaits.add(s.now, 1)
	}
}

// earlierBound returns the earlier of two bounds; 0 means no bound.
func earlierBound(a, b Instant) Instant {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// closeSuspectConnections emits CloseIdleConnections if connections to the worker may have been idle for so long that an attempt
// on one of them may be lost (see recordIfIdleLoss); a new connection costs little. It returns how long the worker was unused, or
// 0 if it closes connections.
func (s *Scheduler) closeSuspectConnections(worker *worker) time.Duration {
	idle := s.now - cmp.Or(worker.lastUsed, s.now)
	worker.lastUsed = s.now
	if s.shortestIdleLoss > 0 && s.now < s.idleLossAt+idleLossRetention && (worker.ownSlots > 0 || idle*suspectIdleDenominator > s.shortestIdleLoss*suspectIdleNumerator) {
		s.emit(CloseIdleConnections{Worker: worker.ID, MinIdle: s.shortestIdleLoss * suspectIdleNumerator / suspectIdleDenominator})
		return 0
	}
	return idle
}

package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// Attempts: what follows when one is sent, starts, ends or is cancelled.

// Connections that have been idle for four fifths of the shortest idle time after which one was lost are suspect.
const (
	suspectIdleNumerator   = 4
	suspectIdleDenominator = 5
)

// attempt is one send of a request to a worker.
type attempt struct {
	worker          *worker
	sentAt          Instant
	waits           bool          // for a connection, as this process has as many open as it may
	waitedUntil     Instant       // when it last ceased to wait; 0 for never
	startedAt       Instant       // 0 until the worker reports the start
	inFlight        bool          // sent, no outcome yet
	mayHaveExecuted bool          // false once an outcome excludes it
	cancelled       bool          // a Cancel was emitted
	forReport       bool          // the attempt that brings the overdue load report of its worker
	lost            bool          // taken for lost: it no longer counts as using slots (see detectSilence)
	connectionIdle  time.Duration // how long its connection, or while that is unknown the worker, had been unused before
}

func isInFlight(a attempt) bool      { return a.inFlight }
func mayHaveExecuted(a attempt) bool { return a.mayHaveExecuted }
func awaitsStart(a attempt) bool     { return a.inFlight && a.startedAt == 0 && !a.lost }

// anyAttempt reports whether the condition holds for one of the request's attempts.
func (r *request) anyAttempt(condition func(attempt) bool) bool {
	return slices.ContainsFunc(r.attempts, condition)
}

// hasTried reports whether the worker has had an attempt of the request.
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

// send sends a further attempt of request to worker and accounts for it: slots and slow-start charge at the worker, the
// rotation among ties, the next trial of an ejected worker.
func (s *Scheduler) send(request *request, worker *worker) {
	if worker.ownSlots == 0 {
		worker.lastSignal = s.now // silence counts from here
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
		forReport: worker.ownSlots == request.slots && s.reportOverdue(worker),
	}
	if sent.forReport {
		s.reportAttemptsInFlight++
	}
	sendBy := earlierBound(s.retrySendDeadline(request), s.freshUntil(worker)) // before this attempt is one of the request's
	request.attempts = append(request.attempts, sent)
	s.emit(Send{ID: request.id, Worker: worker.ID, SendBy: sendBy})
}

// onAttemptWaits notes that an attempt waits for a connection here, or waits no more: the worker owes nothing for that time.
func (s *Scheduler) onAttemptWaits(event AttemptWaits) {
	if _, attempt := s.attemptInFlight(event.ID, event.Attempt); attempt != nil {
		attempt.waits, attempt.waitedUntil = event.Waits, s.now
	}
}

// askedAt returns when the attempt was given to its worker, for one that does not wait.
func (a *attempt) askedAt() Instant { return max(a.sentAt, a.waitedUntil) }

// onAttemptStarted learns from the start of an attempt and cancels the request's other attempts that have not started.
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

// recordAttemptStart takes in that an attempt runs. More running slots than a worker was thought to have are evidence of more
// slots; a single running job on a worker of unknown size is none.
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

// onAttemptFinished handles the outcome of an attempt: first what it shows of the worker, then what follows for the request.
func (s *Scheduler) onAttemptFinished(event AttemptFinished) {
	request, ended := s.attemptInFlight(event.ID, event.Attempt)
	if ended == nil {
		return
	}
	if event.ConnectionIdle >= 0 {
		ended.connectionIdle = event.ConnectionIdle
	}
	ended.mayHaveExecuted = mayExecute(event.Outcome)
	s.releaseAttempt(request, ended)
	s.learnFromOutcome(request, ended, event.Outcome)
	s.applyReport(ended.worker, event.Report)
	s.continueRequest(request, event)
}

// mayExecute reports whether the job of an attempt with this outcome may have run, or may run yet.
func mayExecute(outcome Outcome) bool {
	return outcome != Full && outcome != NoConnect && outcome != NeverSent && outcome != InvalidRequest
}

// releaseAttempt ends what an attempt occupies at its worker.
func (s *Scheduler) releaseAttempt(request *request, ended *attempt) {
	ended.inFlight = false
	if ended.forReport {
		s.reportAttemptsInFlight--
	}
	if !ended.lost {
		s.addOwnSlots(ended.worker, -request.slots)
	}
	if ended.startedAt > 0 {
		ended.worker.runningSlots = max(ended.worker.runningSlots-request.slots, 0)
	}
}

// learnFromOutcome updates what is known of the worker. An invalid request is the client's fault and only a signal; a timeout
// is the worker's fault if the job never started; a cancelled attempt, or one that was never sent, shows nothing.
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

// everyAttempt is the condition of cancelAttempts that all attempts meet.
func everyAttempt(*attempt) bool { return true }

// recordCancellation notes at the worker what is cancelled before its start: the slots, and the wait if it was long enough for a
// hedge.
func (s *Scheduler) recordCancellation(cancelled *attempt, slots float64) {
	worker := cancelled.worker
	if cancelled.startedAt == 0 {
		worker.cancelledSlots.window = max(durationOf(s.meanStay), reportLookback)
		worker.cancelledSlots.add(s.now, slots)
	}
	if s.startOverdue(cancelled, hedgeDelay) {
		worker.cancelledWaits.add(s.now, 1)
	}
}

// earlierBound returns the earlier of two bounds, of which 0 means none.
func earlierBound(a, b Instant) Instant {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// closeSuspectConnections emits CloseIdleConnections if connections of the worker have been idle for long enough that an attempt
// on one of them may be lost (see recordIfIdleLoss); a new connection costs little. It returns how long the worker was unused.
func (s *Scheduler) closeSuspectConnections(worker *worker) time.Duration {
	idle := s.now - cmp.Or(worker.lastUsed, s.now)
	worker.lastUsed = s.now
	if s.shortestIdleLoss > 0 && s.now < s.idleLossAt+idleLossRetention && (worker.ownSlots > 0 || idle*suspectIdleDenominator > s.shortestIdleLoss*suspectIdleNumerator) {
		s.emit(CloseIdleConnections{Worker: worker.ID, MinIdle: s.shortestIdleLoss * suspectIdleNumerator / suspectIdleDenominator})
		return 0
	}
	return idle
}

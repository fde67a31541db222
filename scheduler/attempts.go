// The life of attempts, and the final answers that follow from how they end.

package scheduler

import (
	"cmp"
	"slices"
)

func (s *Scheduler) send(r *request, w *worker) {
	if w.ownSlots == 0 {
		w.lastSignal = s.now
	}
	for _, h := range []*ejectionState{&w.ejectionState, &w.classEjections[r.class]} {
		if h.consecutiveEjections > 0 { // a trial: the next one waits
			h.ejectedUntil = s.now + s.ejectionDuration(h)
		}
	}
	idle := s.now - cmp.Or(w.lastUsed, s.now)
	if w.lastUsed = s.now; s.safeIdle > 0 && s.now < s.idleLossAt+idleLossRetention && (w.ownSlots > 0 || idle*5 > s.safeIdle*4) {
		// What idle connections carry may be lost; a new one costs a little.
		s.emit(CloseIdleConnections{Worker: w.ID, MinIdle: s.safeIdle * 4 / 5})
		idle = 0
	}
	if s.warmupFactor(w) < 1 {
		w.slowStartCharges = append(w.slowStartCharges, slowStartCharge{s.now, s.chargedWork(r)})
	}
	s.addOwnSlots(w, r.slots)
	w.weightedSends += 1 / w.weight()
	w.recentSends.add(s.now, 1/w.weight())
	s.recentSends.add(s.now, 1)
	w.recordSend()
	by := earlierBound(s.retrySendDeadline(r), s.freshUntil(w))
	a := attempt{worker: w, sentAt: s.now, inFlight: true, mayHaveExecuted: true, connectionIdle: idle, trial: w.ownSlots == r.slots && s.reportOverdue(w)}
	if a.trial {
		s.trialsInFlight++
	}
	r.attempts = append(r.attempts, a)
	s.emit(Send{ID: r.id, Worker: w.ID, SendBy: by})
}

func (s *Scheduler) onAttemptStarted(e AttemptStarted) {
	r, a := s.attemptInFlight(e.ID, e.Attempt)
	if a == nil {
		return
	}
	s.recordSignal(a.worker)
	if a.startedAt == 0 {
		a.startedAt, a.worker.reattached = s.now, false
		s.recordRoundTrip(a.worker.Zone, s.now-a.sentAt)
		s.adjustOvercommit(r, a)
		if a.lost {
			a.lost = false
			s.addOwnSlots(a.worker, r.slots)
		}
		a.worker.runningSlots += r.slots
		if a.worker.runningSlots > max(a.worker.observedSlots, 1/a.worker.increment) {
			s.recordSlots(a.worker, a.worker.runningSlots)
		}
	}
	r.streamed = r.streamed || e.Streamed
	s.cancelAttempts(r, func(b *attempt) bool { return b != a && b.startedAt == 0 })
}

func (s *Scheduler) onAttemptFinished(e AttemptFinished) {
	r, a := s.attemptInFlight(e.ID, e.Attempt)
	if a == nil {
		return
	}
	w := a.worker
	a.inFlight = false
	if e.ConnectionIdle >= 0 {
		a.connectionIdle = e.ConnectionIdle
	}
	if a.trial {
		s.trialsInFlight--
	}
	a.mayHaveExecuted = e.Outcome != Full && e.Outcome != NoConnect && e.Outcome != NeverSent && e.Outcome != InvalidRequest
	if !a.lost {
		s.addOwnSlots(w, -r.slots)
	}
	if a.startedAt > 0 {
		w.runningSlots = max(w.runningSlots-r.slots, 0)
	}
	switch e.Outcome {
	case Served:
		w.reattached = false
		w.classEjections[r.class].recordSuccess()
		s.recordSignal(w)
		s.recordRuntime(r, a)
	case Full:
		s.recordSignal(w)
		s.recordFull(w)
	case InvalidRequest: // the client's fault: a bad client must not get workers shunned
		s.recordSignal(w)
	case NoConnect, Reset:
		if e.Outcome == NoConnect || !s.recordIdleLoss(a) {
			s.recordConnectionLoss(w)
		}
	case Errored, TimedOut:
		if e.Outcome == Errored || a.startedAt == 0 && !a.lost {
			s.recordFailure(w, r.class)
		}
	}
	s.applyReport(w, e.Report)
	switch {
	case e.Final || e.Outcome == Served:
		s.finishRequest(r)
	case r.finished:
		s.deleteUnlessInFlight(r)
	case e.Outcome == InvalidRequest:
		s.emit(Fail{ID: r.id})
		s.finishRequest(r)
	case r.anyAttempt(isInFlight):
	case r.deadline-s.now <= s.queueReviewInterval() || !s.retryPossible(r):
		s.rejectOrFail(r)
	default:
		s.queued = append(s.queued, r)
	}
}

// retryPossible tells whether some listed worker may take the request, now or later.
func (s *Scheduler) retryPossible(r *request) bool {
	if !r.anyAttempt(mayHaveExecuted) {
		return len(r.attempts) < r.settings.MaxAttempts
	}
	return slices.ContainsFunc(s.workers, func(w *worker) bool { return s.permitted(r, w) })
}

// rejectOrFail gives the final rejectOrFail: a refusal where a further try is harmless, else a failure.
func (s *Scheduler) rejectOrFail(r *request) {
	c := &r.settings.Classes[r.class]
	if c.Idempotency == Idempotent || c.Idempotency == IdempotentWithKey && c.DeduplicationScope == ScopeAll || !r.anyAttempt(mayHaveExecuted) {
		s.emit(Reject{ID: r.id, RetryAfter: r.settings.MaxRetryAfter})
	} else {
		s.emit(Fail{ID: r.id})
	}
	s.finishRequest(r)
}

// finishRequest ends what is owed and calls off what is still out.
func (s *Scheduler) finishRequest(r *request) {
	r.finished = true
	s.cancelAttempts(r, func(*attempt) bool { return true })
	s.deleteUnlessInFlight(r)
}

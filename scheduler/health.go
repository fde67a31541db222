// Outlier ejection: workers that cannot be reached, say nothing or fail requests get none but trials.

package scheduler

import (
	"fmt"
	"slices"
	"time"
)

// healthy tells whether the class may be sent to the worker: not shunned, or due for a trial.
func (s *Scheduler) healthy(w *worker, class int) bool {
	free := func(h *ejectionState) bool { return h.consecutiveEjections == 0 || s.now >= h.ejectedUntil }
	return free(&w.ejectionState) && free(&w.classEjections[class])
}

func (s *Scheduler) ejectionDuration(h *ejectionState) time.Duration {
	return time.Duration((1 + s.random.Float64()/4) * float64(ejectionBase<<h.consecutiveEjections))
}

func (s *Scheduler) eject(w *worker, h *ejectionState, least int, why string) {
	if h.consecutiveEjections == 0 {
		s.emit(Log{Text: fmt.Sprintf("worker %s shunned: %s", w.ID, why)})
	}
	h.consecutiveEjections = max(h.consecutiveEjections, min(h.consecutiveEjections+1, maxEjectionDoublings), least)
	h.ejectedUntil = s.now + s.ejectionDuration(h)
}

// recordConnectionLoss counts a connection that broke or never came up; one alone, with signs of life about it, is chance.
func (s *Scheduler) recordConnectionLoss(w *worker) {
	if w.failureCount++; w.failureCount >= lossesToEject {
		s.eject(w, &w.ejectionState, 0, "unreachable")
	}
}

// recordFailure counts a failure of a class; successes of other classes do not clear it. Where one class is shunned
// a failure of another is no chance: what fails at once draws jobs, a dozen of four classes each time.
func (s *Scheduler) recordFailure(w *worker, class int) {
	h := &w.classEjections[class]
	w.recentFailures.add(s.now, 1)
	ill := slices.ContainsFunc(w.classEjections, func(h ejectionState) bool { return h.consecutiveEjections > 0 })
	if h.failureCount++; h.failureCount >= failuresToEject || ill {
		s.eject(w, h, 0, fmt.Sprintf("keeps failing class %d", class))
	}
}

// detectSilence looks for silence: of a worker from which nothing at all is heard, and of a single job at a
// worker that lives, and by a later report has a free slot. That job is lost: an idle connection was dropped
// unseen, or the worker leaves its class unanswered. May hurt where reports tell too little load.
func (s *Scheduler) detectSilence(r *request, a *attempt) {
	w := a.worker
	limit := max(time.Duration(missedProgressPeriods*float64(s.settings.ProgressInterval))+progressSlack, minSilence)
	switch {
	case !a.inFlight || !s.settings.ReportsStart || a.lost:
	case s.now-w.lastSignal > limit && (s.settings.ProgressInterval > 0 || w.runningSlots == 0):
		if s.healthy(w, r.class) && w.listed {
			s.eject(w, &w.ejectionState, 0, "silent")
		}
	case s.startOverdue(a, minSilence+reportLookback) && w.reportedAt > a.sentAt+minSilence && w.reportedLoad < 1-s.slotShare(w, 0.5):
		a.lost = true
		s.addOwnSlots(w, -r.slots)
		if !s.recordIdleLoss(a) {
			s.eject(w, &w.classEjections[r.class], unansweredEjections, fmt.Sprintf("class %d unanswered", r.class))
		}
	}
}

// recordIdleLoss tells whether an attempt was lost with an idle connection: older ones are then dropped before use.
func (s *Scheduler) recordIdleLoss(a *attempt) bool {
	if a.connectionIdle < minLossIdle || a.startedAt > 0 {
		return false
	}
	if s.safeIdle = min(s.safeIdle, a.connectionIdle); s.safeIdle == 0 || s.now > s.idleLossAt+idleLossRetention {
		s.safeIdle = a.connectionIdle
	}
	s.idleLossAt = s.now
	return true
}

func (s *Scheduler) onProbeCompleted(e ProbeCompleted) {
	w := s.workersByID[e.Worker]
	if w == nil {
		return
	}
	s.recordProbeOutcome(w, e.Outcome)
	if e.Outcome == Served {
		s.recordSignal(w)
		if e.Report != nil && *e.Report != w.lastProbeReport { // else not refreshed since: it is as old as it was
			w.lastProbeReport = *e.Report
			s.applyReport(w, e.Report)
		}
		return
	}
	if e.Outcome == NoConnect || e.Outcome == TimedOut {
		s.recordConnectionLoss(w)
	}
}

// postponeNextTrial sets when the next trial of an ejected worker, or of one of its classes, may follow this attempt.
func (s *Scheduler) postponeNextTrial(worker *worker, class int) {
	for _, state := range []*ejectionState{&worker.ejectionState, &worker.classEjections[class]} {
		if state.consecutiveEjections > 0 {
			state.ejectedUntil = s.now + s.ejectionDuration(state)
		}
	}
}

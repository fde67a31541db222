// Until when a worker may be sent requests without a further word of it, and the health checks that give one.

package scheduler

import "time"

const (
	// failedProbeBackoff is how long behind a health check that it failed a worker is checked again.
	failedProbeBackoff = 500 * time.Millisecond

	// healthCheckWait is how long a request waits for the outcome of a health check before it goes to another worker.
	healthCheckWait = 50 * time.Millisecond
)

// freshUntil is until when a request to the worker may leave: what has drained since its state was last known counts as told from
// then on. That is as of the list, or as of the last health check that it passed. 0 where the settings bound nothing.
func (s *Scheduler) freshUntil(w *worker) Clock {
	if s.settings.ListValidity <= 0 || !s.settings.MayProbe {
		return 0
	}
	return max(s.listAsOf, w.probePassedAt) + s.settings.ListValidity
}

// confirmedFresh tells whether a request may be sent to the worker now.
func (s *Scheduler) confirmedFresh(w *worker) bool {
	by := s.freshUntil(w)
	return by == 0 || s.now+maxSendDelay < by
}

// freshOrProbeable tells whether the worker may be sent a request, or may be asked whether it may.
func (s *Scheduler) freshOrProbeable(w *worker) bool {
	return s.confirmedFresh(w) || s.now >= w.nextHealthCheckAt
}

// probeBeforeUse asks a worker for a sign that it takes requests.
func (s *Scheduler) probeBeforeUse(w *worker) {
	if !w.probeInFlight && s.now >= w.nextHealthCheckAt {
		s.sendProbe(w)
	}
}

func (s *Scheduler) sendProbe(w *worker) {
	w.probeInFlight, w.probeSentAt = true, s.now
	s.emit(Probe{Worker: w.ID})
}

// recordProbeOutcome takes the outcome of a probe in: a worker that drains does not answer that it is well.
func (s *Scheduler) recordProbeOutcome(w *worker, o Outcome) {
	w.probeInFlight = false
	if o == Served {
		w.probePassedAt = max(w.probePassedAt, w.probeSentAt)
		return
	}
	w.nextHealthCheckAt = s.now + failedProbeBackoff
}

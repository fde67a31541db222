package scheduler

import "time"

// Freshness: how old the endpoint list may be. A worker may have begun to drain right after the list was read, so it must get no
// requests later than ListValidity after the read. Once the list is older, a worker is probed before use: a draining worker
// answers a probe with an error.

const (
	// failedProbeBackoff is the time after a failed probe in which the worker is not probed again before use.
	failedProbeBackoff = 500 * time.Millisecond

	// probeBeforeUseWait is how long a request waits for the outcome of a probe before it goes to another worker.
	probeBeforeUseWait = 50 * time.Millisecond
)

// freshUntil returns the time by which a request for the worker must leave: ListValidity after the worker's state was last
// confirmed, by the list (EndpointsUpdated.AsOf) or by a passed probe, whichever is later. 0 means no bound: the settings give no
// validity, or do not permit probes.
func (s *Scheduler) freshUntil(worker *worker) Instant {
	if s.settings.ListValidity <= 0 || !s.settings.MayProbe {
		return 0
	}
	return max(s.listAsOf, worker.probePassedAt) + s.settings.ListValidity
}

// confirmedFresh reports whether a request that is sent to the worker now leaves before freshUntil, the delay of a new connection
// included.
func (s *Scheduler) confirmedFresh(worker *worker) bool {
	until := s.freshUntil(worker)
	return until == 0 || s.now+maxSendDelay < until
}

// freshOrProbeable reports whether the worker is confirmed fresh, or may be probed to confirm it.
func (s *Scheduler) freshOrProbeable(worker *worker) bool {
	return s.confirmedFresh(worker) || s.now >= worker.nextProbeBeforeUseAt
}

// probeBeforeUse probes the worker unless a probe is in flight or one has just failed.
func (s *Scheduler) probeBeforeUse(worker *worker) {
	if !worker.probeInFlight && s.now >= worker.nextProbeBeforeUseAt {
		s.sendProbe(worker)
	}
}

// recordProbeOutcome records that the worker was ready when the probe was sent, or that the probe failed.
func (s *Scheduler) recordProbeOutcome(worker *worker, outcome Outcome) {
	worker.probeInFlight = false
	if outcome != Served {
		worker.nextProbeBeforeUseAt = s.now + failedProbeBackoff
		return
	}
	worker.probePassedAt = max(worker.probePassedAt, worker.probeSentAt)
}

package scheduler

import "time"

// Probing: regular probes fetch the load reports if workers send none with their outcomes (ReportsPulled).

const (
	// probeInterval is the mean time between the probes of a worker by one dispatcher if at most maxProbers probe it.
	probeInterval = time.Second

	// maxProbers is the number of dispatchers above which each probes less often, so that the probes at a worker do not grow with
	// the number of dispatchers.
	maxProbers = 2

	// minProbeIntervalFactor and probeIntervalSpread give the random factor of an interval, 0.75 to 1.25. Without it, the reports
	// of all workers would be equally old, and all dispatchers would probe at the same time.
	minProbeIntervalFactor = 0.75
	probeIntervalSpread    = 0.5
)

// probeSubset probes the workers of the subset that are due. The first probe of a worker comes after a random delay: otherwise
// many dispatchers that start, or learn of the worker, at the same time would overload it.
func (s *Scheduler) probeSubset() {
	interval := s.meanProbeInterval()
	for _, worker := range s.subset {
		if worker.nextProbeAt == 0 {
			worker.nextProbeAt = s.now + time.Duration(s.random.Float64()*(interval-float64(probeInterval)))
		}
		if !s.settings.ReportsPulled || !s.settings.MayProbe {
			continue
		}
		if worker.ready && !worker.detached && !worker.probeInFlight && s.now >= worker.nextProbeAt {
			factor := minProbeIntervalFactor + s.random.Float64()*probeIntervalSpread
			worker.nextProbeAt = s.now + time.Duration(factor*interval)
			s.sendProbe(worker)
		}
	}
}

// meanProbeInterval returns the mean time between two probes of a worker, in nanoseconds. If each dispatcher has a subset of the
// workers, few dispatchers probe the same worker, so the interval does not grow with their number.
func (s *Scheduler) meanProbeInterval() float64 {
	if s.usesSubset() {
		return float64(probeInterval)
	}
	return float64(probeInterval) * max(float64(s.settings.Dispatchers)/maxProbers, 1)
}

// sendProbe emits a probe of the worker.
func (s *Scheduler) sendProbe(worker *worker) {
	worker.probeInFlight, worker.probeSentAt = true, s.now
	s.emit(Probe{Worker: worker.ID})
}

// onProbeCompleted handles the outcome of a probe. A report with the same values as the previous one was not refreshed by the
// worker: it is as old as the previous one and is ignored.
func (s *Scheduler) onProbeCompleted(event ProbeCompleted) {
	worker := s.workersByID[event.Worker]
	if worker == nil {
		return
	}
	s.recordProbeOutcome(worker, event.Outcome)
	switch event.Outcome {
	case Served:
		s.recordSignal(worker)
		if event.Report != nil && *event.Report != worker.lastProbeReport {
			worker.lastProbeReport = *event.Report
			s.applyReport(worker, event.Report)
		}
	case NoConnect, TimedOut:
		s.recordConnectionLoss(worker)
	}
}

package scheduler

import "time"

// Probing: regular probes bring the load reports where workers send none with their outcomes (ReportsPulled).

const (
	// probeInterval is the mean time between the probes of a worker by one dispatcher, where up to maxProbers probe it.
	probeInterval = time.Second

	// maxProbers is the number of dispatchers from which on each probes less often, so that a worker's probes do not grow with
	// the number of dispatchers.
	maxProbers = 2

	// minProbeIntervalFactor and probeIntervalSpread say by which factors an interval varies by chance: 0.75 to 1.25, so that
	// neither all workers are known equally late nor all dispatchers probe at the same time.
	minProbeIntervalFactor = 0.75
	probeIntervalSpread    = 0.5
)

// probeSubset probes the workers of the subset that are due. The first probe of a worker comes after a time by chance: many
// dispatchers that start, or learn of the worker, at the same time would overrun it.
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

// meanProbeInterval returns the mean time between two probes of a worker, in nanoseconds. Where each dispatcher has a subset of
// the workers, few probe the same one.
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

// onProbeCompleted handles the outcome of a probe. A report with the same figures as the one before counts as not refreshed: it
// is as old as that one.
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

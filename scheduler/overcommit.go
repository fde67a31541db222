package scheduler

import (
	"cmp"
	"time"
)

// Overcommit: how far a worker may be filled beyond its slots before requests queue in the dispatcher instead. Requests queued
// here can still be reordered and sent to the first worker with a free slot; requests queued at a worker cannot. The overcommit
// follows from how long jobs wait for their start.

const (
	// initialOvercommit is the overcommit at the start, as a share of a worker's slots. While no requests are queued, a lower
	// overcommit rises back to it.
	initialOvercommit = 0.5

	// minOvercommit is below 0: if jobs wait although slots seem free, the reports are wrong, and the overcommit follows the
	// waits.
	minOvercommit = -0.3

	// maxOvercommit is the upper bound: beyond it, it is better for a request to wait here until a slot becomes free.
	maxOvercommit = 1.0

	// overcommitPerJob is the change of the overcommit by one started job.
	overcommitPerJob = 0.01

	// maxOvercommitStep bounds the change by one job where overcommitPerJob is multiplied by the number of dispatchers.
	maxOvercommitStep = 0.1

	// tolerableWaitShare is the tolerable wait of a job at a worker, as a share of the maxUsefulWait of its request.
	tolerableWaitShare = 0.05

	// toleratedSlots is the part of a slot that a request may lack and still fit: the load of others is a noisy estimate, and a
	// whole slot must not stay idle because a part of it seems to be in use.
	toleratedSlots = 0.4

	// idleLoadValue is the load value below which a worker without own attempts takes a request of any number of slots.
	idleLoadValue = 0.5

	// maxRoundTripTime bounds the round-trip time to a zone: if the first job there takes longer to start, it has waited at the
	// worker.
	maxRoundTripTime = 50 * time.Millisecond

	// delayedStartThreshold is the wait, beyond the round-trip time, from which a start counts as delayed.
	delayedStartThreshold = 100 * time.Millisecond

	// congestionJobs is about the number of jobs over which the share of delayed starts is averaged.
	congestionJobs = 10

	// maxCongestion is the share of delayed starts above which warming workers are filled first and, if requests go to a subset,
	// hedging stops.
	maxCongestion = 0.3
)

// hasCapacity reports whether the worker can take the given number of further slots: whether its load with them, times its
// slowdown, is at most 1 + overcommit. If this dispatcher has no attempt at the worker, three rules permit a request beyond that:
//
//   - A warming worker that is not full is limited only by withinSlowStartBudget. If its slowdown limited it as well, it would
//     get no jobs, and many workers warm up only by running jobs.
//   - A worker without slowdown is tried if its report is overdue (about one such attempt for each worker at a time, over all
//     dispatchers) or if its load value is below idleLoadValue. A request of many slots must run somewhere, and without an
//     attempt there may be no further report.
//   - An overcommit below 0 counts as 0. To let the request wait would relieve no worker, and without a start nothing would raise
//     the overcommit again.
func (s *Scheduler) hasCapacity(worker *worker, slots float64) bool {
	if worker.ownSlots == 0 && s.warmupFactor(worker) < 1 && s.loadValue(worker) < 1 {
		return true
	}
	reportNeeded := s.reportOverdue(worker) && (s.reportAttemptsInFlight == 0 || s.reportAttemptsInFlight*s.settings.Dispatchers < len(s.workers))
	idle := worker.ownSlots == 0 && s.slowdown(worker) == 1
	if idle && (reportNeeded || s.overcommit >= 0 && s.loadValue(worker) < idleLoadValue) {
		return true
	}
	leastOvercommit := -float64(min(worker.ownSlots, 1)) // 0 without own attempts, falling to -1 once they fill one slot
	load := s.loadValue(worker) + s.slotShare(worker, slots-toleratedSlots)
	return load*s.slowdown(worker) <= 1+max(s.overcommit, leastOvercommit)+tieTolerance
}

// reportOverdue reports whether the last report of a worker is too old to show its load. Where reports are pulled it is false:
// probes bring them. Otherwise only another attempt brings a report.
func (s *Scheduler) reportOverdue(worker *worker) bool {
	return !s.settings.ReportsPulled && s.now-worker.reportedAt > minSilence
}

// adjustOvercommit adjusts the overcommit when an attempt starts. The overcommit falls if the attempt waited for more than
// tolerableWaitShare of the request's maxUsefulWait. Otherwise it rises if requests are queued here or if it is below
// initialOvercommit. An early start at a slow worker does not raise it: such a worker is filled less, so the start shows nothing
// about the others. After a stall of this process the times are wrong, and nothing changes.
func (s *Scheduler) adjustOvercommit(request *request, attempt *attempt) {
	if s.now == s.resumedAt {
		return
	}
	wait := s.now - attempt.sentAt - s.roundTripTimes[attempt.worker.Zone]
	s.updateCongestion(attempt.worker, wait > delayedStartThreshold)
	spare := s.maxUsefulWait(request)
	step := s.overcommitStep()
	switch {
	case float64(wait) > tolerableWaitShare*float64(spare):
		s.overcommit = max(s.overcommit-step, minOvercommit)
	case s.slowdown(attempt.worker) > 1:
	case len(s.queued) > 0:
		s.overcommit = min(s.overcommit+step, maxOvercommit)
	case s.overcommit < initialOvercommit:
		s.overcommit += step
	}
}

// overcommitStep returns the change of the overcommit by one job. If all loads are known, each dispatcher has few jobs, and one
// of its jobs counts for one job of every dispatcher.
func (s *Scheduler) overcommitStep() float64 {
	if s.loadsKnown {
		return min(overcommitPerJob*float64(s.settings.Dispatchers), maxOvercommitStep)
	}
	return overcommitPerJob
}

// updateCongestion updates the congestion when a job starts at the worker, with or without delay. A start without delay halves
// the worker's count of cancelled waits.
func (s *Scheduler) updateCongestion(worker *worker, delayed bool) {
	if s.congestion += (float64(oneIf(delayed)) - s.congestion) / congestionJobs; !delayed {
		worker.cancelledWaits.sum /= 2
	}
}

// recordRoundTrip records the time from the send to the start of an attempt. The shortest such time in a zone is its round-trip
// time.
func (s *Scheduler) recordRoundTrip(zone int, elapsed time.Duration) {
	s.roundTripTimes[zone] = min(cmp.Or(s.roundTripTimes[zone], maxRoundTripTime), elapsed)
}

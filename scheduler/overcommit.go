package scheduler

import (
	"cmp"
	"time"
)

// Overcommit: how far a worker may be filled beyond its slots before requests queue in the dispatcher instead. A queue here
// can still be reordered and sent to whichever worker comes free; a queue at a worker cannot. The figure follows from how
// long jobs wait for their start.

const (
	// initialOvercommit is the overcommit at the start, as a share of a worker's slots, and where it returns to without load.
	initialOvercommit = 0.5

	// minOvercommit is below 0: where jobs wait although slots seem free, the reports are wrong and the waits are right.
	minOvercommit = -0.3

	// maxOvercommit is the bound above: beyond it a request is better off waiting for a slot that comes free.
	maxOvercommit = 1.0

	// overcommitPerJob is how far one started job moves the overcommit.
	overcommitPerJob = 0.01

	// maxOvercommitStep bounds the step where it is multiplied by the number of dispatchers.
	maxOvercommitStep = 0.1

	// tolerableWaitShare is how long a job may wait at a worker, as a share of the time that its request can spare.
	tolerableWaitShare = 0.05

	// toleratedSlots is the part of a slot that may be missing for a request to fit: the load of others is a noisy estimate,
	// and a whole slot must not stay idle for a part of one.
	toleratedSlots = 0.4

	// idleLoadValue is the load value below which a worker without own attempts takes a request of any width.
	idleLoadValue = 0.5

	// maxRoundTripTime bounds the round-trip time to a zone: a first start that takes longer has waited at the worker.
	maxRoundTripTime = 50 * time.Millisecond

	// delayedStartThreshold is the wait, beyond the round-trip time, from which a start counts as delayed.
	delayedStartThreshold = 100 * time.Millisecond

	// congestionJobs is the number of jobs over which the share of delayed starts is taken, about.
	congestionJobs = 10

	// maxCongestion is the share of delayed starts beyond which workers that warm up are filled first, and hedging ends where
	// requests go to a subset.
	maxCongestion = 0.3
)

// hasCapacity reports whether the worker can take so many slots more: whether its load with them, stretched by its slowdown,
// stays within 1 + overcommit. Without own attempts there, three rules let one in beyond that:
//
//   - A worker that warms up and is not full is limited by withinSlowStartBudget alone. Limited by its slowdown as well it
//     would get no jobs, by which many warm up.
//   - A worker of ordinary pace is tried if its report is overdue, by about one attempt of all dispatchers at a time, or if it
//     looks half idle: a wide request must go somewhere, and without an attempt there may be no further report.
//   - An overcommit below 0 counts as 0 where this dispatcher has no attempt: to make the request wait would relieve nobody, and without a start nothing would raise
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
	leastOvercommit := -float64(min(worker.ownSlots, 1)) // 0 without own attempts, lower as their first slot fills
	load := s.loadValue(worker) + s.slotShare(worker, slots-toleratedSlots)
	return load*s.slowdown(worker) <= 1+max(s.overcommit, leastOvercommit)+tieTolerance
}

// reportOverdue reports whether nothing is known of a worker's load any more although reports come with outcomes: only another
// attempt brings a report.
func (s *Scheduler) reportOverdue(worker *worker) bool {
	return !s.settings.ReportsPulled && s.now-worker.reportedAt > minSilence
}

// adjustOvercommit learns from the start of an attempt: down if it waited for more than tolerableWaitShare of what its request
// can spare; up if it did not while other requests are queued here; otherwise back to initialOvercommit. What starts soon at a
// slow worker, which is filled less, says nothing of the others. After a stall of this process the times are wrong.
func (s *Scheduler) adjustOvercommit(request *request, attempt *attempt) {
	if s.now == s.resumedAt {
		return
	}
	wait := s.now - attempt.sentAt - s.roundTripTimes[attempt.worker.Zone]
	s.recordStart(attempt.worker, wait > delayedStartThreshold)
	spare := s.latestUsefulStart(request)
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

// overcommitStep returns how far one job moves the overcommit. Where all loads are known there are few jobs for each
// dispatcher, and each stands for those of all.
func (s *Scheduler) overcommitStep() float64 {
	if s.loadsKnown {
		return min(overcommitPerJob*float64(s.settings.Dispatchers), maxOvercommitStep)
	}
	return overcommitPerJob
}

// recordStart notes whether the start of a job at the worker was delayed, which moves the congestion. A start without delay
// halves the worker's count of cancelled waits.
func (s *Scheduler) recordStart(worker *worker, delayed bool) {
	if s.congestion += (float64(oneIf(delayed)) - s.congestion) / congestionJobs; !delayed {
		worker.cancelledWaits.sum /= 2
	}
}

// recordRoundTrip notes how long the start of an attempt took, of which the least in a zone is its round-trip time.
func (s *Scheduler) recordRoundTrip(zone int, elapsed time.Duration) {
	s.roundTripTimes[zone] = min(cmp.Or(s.roundTripTimes[zone], maxRoundTripTime), elapsed)
}

package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Slow start: protects a worker that has just started from overload. The settings give its capacity at the start
// (SlowStartCapacity) and the age at which it has its full capacity (SlowStartDuration). A warming worker fails if all
// dispatchers together send it more than OverloadMultiple times its capacity for one OverloadWindow. Its budget is the work, in
// slot-seconds, that it may be sent in one window: usedBudgetShare of the work at which it fails. Each dispatcher sends no more
// than its share of the budget.

const (
	// usedBudgetShare is the budget as a share of the work at which a warming worker fails: only the mean work of a request is
	// known.
	usedBudgetShare = 0.6

	// priorWorkPerObjective is the assumed work of a job before any was served, as a multiple of its latency objective.
	priorWorkPerObjective = 4

	// priorWorkJobs is the weight of this assumption, in jobs.
	priorWorkJobs = 4

	// maxSendDelay is about the longest time from a Send until the request leaves: a connection may have to be established.
	maxSendDelay = 200 * time.Millisecond

	// minWarmupFactor is the lower bound of the share of its full capacity that a worker starts with.
	minWarmupFactor = 0.01
)

// slowStartCharge is the work of one attempt that was sent to a worker while it warmed up.
type slowStartCharge struct {
	at   Instant
	work float64 // slot-seconds
}

// warmupFactor returns the worker's current share of its full capacity, from minWarmupFactor to 1. It grows linearly with the
// age, from SlowStartCapacity to 1 over SlowStartDuration.
func (s *Scheduler) warmupFactor(worker *worker) float64 {
	age := s.now - worker.StartedAt
	if worker.StartedAt <= 0 || s.settings.SlowStartDuration <= 0 || age >= s.settings.SlowStartDuration {
		return 1
	}
	start := min(max(s.settings.SlowStartCapacity, minWarmupFactor), 1)
	return start + (1-start)*max(float64(age)/float64(s.settings.SlowStartDuration), 0)
}

// withinSlowStartBudget reports whether sending request to a warming worker stays inside this dispatcher's share of the worker's
// slow-start budget, in slot-seconds over the overload window. If the share is not 0, the first request in a window is permitted
// regardless of its work. A process without the state of its predecessor assumes that the predecessor has used up the share at
// each worker that started before this process, and sends those workers nothing for one window.
func (s *Scheduler) withinSlowStartBudget(worker *worker, request *request) bool {
	if s.warmupFactor(worker) == 1 || s.settings.OverloadMultiple <= 0 || s.settings.OverloadWindow <= 0 {
		return true
	}
	window := s.settings.OverloadWindow + maxSendDelay
	if worker.StartedAt <= s.firstEventAt && !s.tookOver && s.now < s.firstEventAt+window {
		return false
	}
	worker.slowStartCharges = slices.DeleteFunc(worker.slowStartCharges, func(charge slowStartCharge) bool {
		return charge.at < s.now-window
	})
	work := s.chargedWork(request)
	for _, charge := range worker.slowStartCharges {
		work += charge.work
	}
	share := s.slowStartShare(worker)
	return work <= share || len(worker.slowStartCharges) == 0 && share > 0
}

// slowStartBudget returns the work, in slot-seconds, that all dispatchers together may send to a warming worker within any
// overload window: usedBudgetShare x OverloadMultiple x its capacity in slots x OverloadWindow. While two processes act as one
// dispatcher, each uses half.
func (s *Scheduler) slowStartBudget(worker *worker) float64 {
	work := s.warmupFactor(worker) * max(s.estimatedSlots(worker), 1) * s.settings.OverloadWindow.Seconds()
	return usedBudgetShare / float64(s.processes) * s.settings.OverloadMultiple * work
}

// slowStartShare returns this dispatcher's share of the budget, in slot-seconds. The budget is distributed in whole jobs, one to
// each dispatcher in turn, starting at a dispatcher that follows from the worker's id. Split evenly among hundreds of
// dispatchers, it would be less than a job for each. The turns do not depend on the estimates. So if dispatchers estimate the
// budget or the jobs differently, they still send no more in total than the largest of their budgets. The fraction of a job is
// divided among the whole jobs: of a budget of 7.5 jobs, each of the 7 whole jobs counts as 7.5 / 7 jobs of work.
func (s *Scheduler) slowStartShare(worker *worker) float64 {
	dispatchers, jobWork := uint64(s.settings.Dispatchers), s.cautiousMeanWork()
	turn := float64((uint64(s.settings.DispatcherIndex) + worker.idHash%dispatchers) % dispatchers)
	jobs := max(s.slowStartBudget(worker)/jobWork, 1)
	ownJobs := max(math.Ceil((math.Floor(jobs)-turn)/float64(dispatchers)), 0)
	return jobWork * ownJobs * jobs / math.Floor(jobs)
}

// cautiousMeanWork returns an upper estimate of the mean work of a job, in slot-seconds: the mean with a prior, times
// meanErrorFactor. The prior is needed because short jobs end first, so that the first means are too low. For all classes it
// follows from the latency objective of the first one: all classes share the workers, and the mean is not measured by class.
func (s *Scheduler) cautiousMeanWork() float64 {
	served := float64(s.servedJobs)
	prior := priorWorkJobs * priorWorkPerObjective * cmp.Or(s.settings.Classes[0].LatencyObjective.Seconds(), 1)
	return (s.meanWork*served + prior) / (served + priorWorkJobs) * meanErrorFactor(s.servedJobs)
}

// meanErrorFactor returns about the largest factor by which the true mean may exceed the mean of the given number of jobs.
func meanErrorFactor(jobs int) float64 {
	return 1 + 1/math.Sqrt(1+min(float64(jobs), 1/(1-meanRetention)))
}

// chargedWork returns the work, in slot-seconds, that request is charged for at a warming worker.
func (s *Scheduler) chargedWork(request *request) float64 {
	class := &request.settings.Classes[request.class]
	runtime := cmp.Or(s.estimatedRuntime(request), priorWorkPerObjective*class.LatencyObjective.Seconds())
	return runtime * request.slots * meanErrorFactor(s.classes[request.class].jobs)
}

package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Slow start: how a worker that has just started is protected from overload. The settings say what it can do at first
// (SlowStartCapacity), when it is warm (SlowStartDuration), and that it fails if all dispatchers together send it more than
// OverloadMultiple times its capacity for one OverloadWindow. The work of one window, in slot-seconds, is its budget; each
// dispatcher sends no more than its share of it.

const (
	// usedBudgetShare is the part of the budget that is used: the work of a request is known by a mean only.
	usedBudgetShare = 0.6

	// priorWorkObjectives is the work that is assumed for a job before any was served, as a multiple of its latency objective.
	priorWorkObjectives = 4

	// priorWorkJobs is the number of jobs that this assumption counts for.
	priorWorkJobs = 4

	// maxSendDelay is about how long after its Send an attempt may leave: a connection must come up.
	maxSendDelay = 200 * time.Millisecond

	// minWarmupFactor bounds the share of its capacity that a worker starts with.
	minWarmupFactor = 0.01
)

// slowStartCharge is the work of one attempt that was sent to a worker while it warmed up.
type slowStartCharge struct {
	at   Instant
	work float64 // slot-seconds
}

// warmupFactor returns the share of its full capacity, from minWarmupFactor to 1, that a worker has at its age: it grows linearly
// from SlowStartCapacity to 1 over SlowStartDuration.
func (s *Scheduler) warmupFactor(worker *worker) float64 {
	age := s.now - worker.StartedAt
	if worker.StartedAt <= 0 || s.settings.SlowStartDuration <= 0 || age >= s.settings.SlowStartDuration {
		return 1
	}
	start := min(max(s.settings.SlowStartCapacity, minWarmupFactor), 1)
	return start + (1-start)*max(float64(age)/float64(s.settings.SlowStartDuration), 0)
}

// withinSlowStartBudget reports whether sending request to a warming worker stays inside this dispatcher's share of the worker's
// slow-start budget, in slot-seconds over the overload window. The first request of a share is let in whatever its work. A
// process that did not take over its predecessor's state assumes that the predecessor has spent the share at the workers that
// were there before it, and waits for one window.
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

// slowStartBudget returns the work, in slot-seconds, that all dispatchers together send to a warming worker within any overload
// window. While two processes act as one dispatcher each takes half.
func (s *Scheduler) slowStartBudget(worker *worker) float64 {
	work := s.warmupFactor(worker) * max(s.estimatedSlots(worker), 1) * s.settings.OverloadWindow.Seconds()
	return usedBudgetShare / float64(s.processes) * s.settings.OverloadMultiple * work
}

// slowStartShare returns this dispatcher's share of the budget, in slot-seconds. The budget is distributed by whole jobs, one to a
// dispatcher in turn, beginning at a place that follows from the worker's id: split evenly among hundreds it would be less than
// a job for each. Dispatchers that estimate the budget or the jobs differently still have different turns, so that all together
// send no more than the largest of their budgets. Of a budget of 7.5 jobs each of its 7 whole jobs stands for 7.5 / 7 jobs of work.
func (s *Scheduler) slowStartShare(worker *worker) float64 {
	dispatchers, job := uint64(s.settings.Dispatchers), s.cautiousMeanWork()
	turn := float64((uint64(s.settings.DispatcherIndex) + worker.idHash%dispatchers) % dispatchers)
	jobs := max(s.slowStartBudget(worker)/job, 1)
	own := max(math.Ceil((math.Floor(jobs)-turn)/float64(dispatchers)), 0)
	return job * own * jobs / math.Floor(jobs)
}

// cautiousMeanWork returns the mean work of a job in slot-seconds, raised by what a mean of so few jobs may be too low, and at
// first by an assumption, as short jobs end first. The assumption is the first class's for all classes: workers are shared by all,
// and the mean is not measured by class.
func (s *Scheduler) cautiousMeanWork() float64 {
	known := float64(s.servedJobs)
	prior := priorWorkJobs * priorWorkObjectives * cmp.Or(s.settings.Classes[0].LatencyObjective.Seconds(), 1)
	return (s.meanWork*known + prior) / (known + priorWorkJobs) * meanErrorFactor(s.servedJobs)
}

// meanErrorFactor returns by about what factor the true mean may exceed the mean of the given number of jobs.
func meanErrorFactor(jobs int) float64 {
	return 1 + 1/math.Sqrt(1+min(float64(jobs), 1/(1-meanRetention)))
}

// chargedWork returns the work, in slot-seconds, that request is charged for at a warming worker.
func (s *Scheduler) chargedWork(request *request) float64 {
	class := &request.settings.Classes[request.class]
	runtime := cmp.Or(s.estimatedRuntime(request), priorWorkObjectives*class.LatencyObjective.Seconds())
	return runtime * request.slots * meanErrorFactor(s.classes[request.class].jobs)
}

// Slow start: how much a worker that has just started may be sent.

package scheduler

import (
	"cmp"
	"math"
	"slices"
)

// withinSlowStartBudget tells whether a cold worker may be sent the request within this dispatcher's part of what it can
// stand. Who was here before, and was killed, may have sent its part to one that was there by then.
func (s *Scheduler) withinSlowStartBudget(w *worker, r *request) bool {
	if s.warmupFactor(w) == 1 || s.settings.OverloadMultiple <= 0 || s.settings.OverloadWindow <= 0 {
		return true
	}
	span := s.settings.OverloadWindow + maxSendDelay
	if w.StartedAt <= s.firstEventAt && !s.tookOver && s.now < s.firstEventAt+span {
		return false
	}
	w.slowStartCharges = slices.DeleteFunc(w.slowStartCharges, func(charge slowStartCharge) bool { return charge.at < s.now-span })
	spent := s.chargedWork(r)
	for _, s := range w.slowStartCharges {
		spent += s.work
	}
	part := s.slowStartShare(w)
	return spent <= part || len(w.slowStartCharges) == 0 && part > 0 // a job of its turn, be it short or long
}

// slowStartBudget is the work that a cold worker may be sent within any Fall by all dispatchers together.
func (s *Scheduler) slowStartBudget(w *worker) float64 {
	work := s.warmupFactor(w) * max(s.estimatedSlots(w), 1) * s.settings.OverloadWindow.Seconds()
	return usedBudgetShare / float64(s.processes) * s.settings.OverloadMultiple * work
}

// slowStartShare is this dispatcher's slowStartShare of that. Of the jobs that fill the budget each has one in turn, beginning
// at a place that follows from the worker's id: who reckons with another budget, or with other jobs, has its
// own turns all the same, and all together send no more than the largest of these budgets.
func (s *Scheduler) slowStartShare(w *worker) float64 {
	n, job := uint64(s.settings.Dispatchers), s.cautiousMeanWork()
	turn, jobs := float64((uint64(s.settings.DispatcherIndex)+w.idHash%n)%n), max(s.slowStartBudget(w)/job, 1)
	return job * max(math.Ceil((math.Floor(jobs)-turn)/float64(n)), 0) * jobs / math.Floor(jobs)
}

// cautiousMeanWork is the mean work of a cautiousMeanWork, as cautious as so few that were served make it: short ones end first.
func (s *Scheduler) cautiousMeanWork() float64 {
	known := float64(s.servedJobs)
	guess := priorWorkJobs * priorWorkObjectives * cmp.Or(s.settings.Classes[0].LatencyObjective.Seconds(), 1)
	return (s.meanWork*known + guess) / (known + priorWorkJobs) * meanErrorFactor(s.servedJobs)
}

// meanErrorFactor is how far a mean of so many jobs may be too low, about.
func meanErrorFactor(jobs int) float64 {
	return 1 + 1/math.Sqrt(1+min(float64(jobs), 1/(1-meanRetention)))
}

// chargedWork is the work that a request may bring, in slot-seconds.
func (s *Scheduler) chargedWork(r *request) float64 {
	work := cmp.Or(s.estimatedRuntime(r), priorWorkObjectives*r.settings.Classes[r.class].LatencyObjective.Seconds())
	return work * r.slots * meanErrorFactor(s.classes[r.class].jobs)
}

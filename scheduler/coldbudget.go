// Slow start: how much a worker that has just started may be sent.

package scheduler

import (
	"cmp"
	"math"
	"slices"
)

// affords tells whether a cold worker may be sent the request within this dispatcher's part of what it can
// stand. Who was here before, and was killed, may have sent its part to one that was there by then.
func (d *Scheduler) affords(w *worker, r *request) bool {
	if d.warmth(w) == 1 || d.set.OverloadMultiple <= 0 || d.set.OverloadWindow <= 0 {
		return true
	}
	span := d.set.OverloadWindow + sendLate
	if w.StartedAt <= d.first && !d.succeeds && d.now < d.first+span {
		return false
	}
	w.sent = slices.DeleteFunc(w.sent, func(s spend) bool { return s.at < d.now-span })
	spent := d.cost(r)
	for _, s := range w.sent {
		spent += s.work
	}
	part := d.part(w)
	return spent <= part || len(w.sent) == 0 && part > 0 // a job of its turn, be it short or long
}

// budget is the work that a cold worker may be sent within any Fall by all dispatchers together.
func (d *Scheduler) budget(w *worker) float64 {
	work := d.warmth(w) * max(d.slots(w), 1) * d.set.OverloadWindow.Seconds()
	return coldShare / float64(d.processes) * d.set.OverloadMultiple * work
}

// part is this dispatcher's part of that. Of the jobs that fill the budget each has one in turn, beginning
// at a place that follows from the worker's id: who reckons with another budget, or with other jobs, has its
// own turns all the same, and all together send no more than the largest of these budgets.
func (d *Scheduler) part(w *worker) float64 {
	n, job := uint64(d.set.Dispatchers), d.job()
	turn, jobs := float64((uint64(d.set.DispatcherIndex)+w.hash%n)%n), max(d.budget(w)/job, 1)
	return job * max(math.Ceil((math.Floor(jobs)-turn)/float64(n)), 0) * jobs / math.Floor(jobs)
}

// job is the mean work of a job, as cautious as so few that were served make it: short ones end first.
func (d *Scheduler) job() float64 {
	known := float64(d.jobs)
	guess := coldDoubt * coldJob * cmp.Or(d.set.Classes[0].LatencyObjective.Seconds(), 1)
	return (d.mean*known + guess) / (known + coldDoubt) * meanError(d.jobs)
}

// meanError is how far a mean of so many jobs may be too low, about.
func meanError(jobs int) float64 { return 1 + 1/math.Sqrt(1+min(float64(jobs), 1/(1-classMemory))) }

// cost is the work that a request may bring, in slot-seconds.
func (d *Scheduler) cost(r *request) float64 {
	work := cmp.Or(d.work(r), coldJob*r.set.Classes[r.class].LatencyObjective.Seconds())
	return work * r.slots * meanError(d.classes[r.class].jobs)
}

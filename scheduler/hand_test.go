package scheduler

import (
	"testing"
	"time"
)

// sends gives the workers that submitJobs go to, one after the other.
func (v *driver) submitJobs(from RequestID, n int) (to []WorkerID) {
	for id := from; id < from+RequestID(n); id++ {
		for _, a := range v.handle(RequestArrived{ID: id, Slots: 1, Deadline: v.now + v.scheduler.settings.Classes[0].Deadline}) {
			if s, ok := a.(Send); ok {
				to = append(to, s.Worker)
			}
		}
		v.finishServed(id, nil)
		v.now += ms
	}
	return to
}

// A worker that is out by hand gets nothing, whatever lists say, and its shunning is another matter; put back it is
// cold, sound and the first to get a job.
func TestOutByHand(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.scheduler.settings.SlowStartDuration, v.scheduler.settings.SlowStartCapacity, v.scheduler.settings.OverloadMultiple, v.scheduler.settings.OverloadWindow = 20*time.Second, 0.2, 3, 1500*ms
	v.listWorkers(workers(3)...)
	w := v.scheduler.workers[1]
	w.observedSlots = 4
	w.consecutiveEjections, w.ejectedUntil = 3, v.now+time.Hour
	v.handle(WorkerDetached{Worker: w.ID})
	v.listWorkers(workers(3)...)
	w.consecutiveEjections = 0
	for _, to := range v.submitJobs(1, 12) {
		if to == w.ID {
			t.Fatal("a job went to the worker that is out")
		}
	}
	if v.scheduler.CountAvoided() != 1 || !v.scheduler.KnowsWorker(w.ID) || v.scheduler.KnowsWorker("never") {
		t.Errorf("%d avoided", v.scheduler.CountAvoided())
	}
	w.consecutiveEjections, w.ejectedUntil = 3, v.now+time.Hour
	v.handle(WorkerReattached{Worker: w.ID})
	if v.scheduler.warmupFactor(w) > 0.21 || v.scheduler.CountAvoided() != 0 {
		t.Errorf("put back: warmth %v, %d avoided", v.scheduler.warmupFactor(w), v.scheduler.CountAvoided())
	}
	if to := v.submitJobs(100, 1); len(to) != 1 || to[0] != w.ID {
		t.Errorf("the first job went to %v", to)
	}
	// Out before it was ever listed, as a process that replaces another is told.
	v.handle(WorkerDetached{Worker: "later"})
	v.listWorkers(append(workers(3), WorkerInfo{ID: "later", Weight: 1})...)
	for _, to := range v.submitJobs(200, 12) {
		if to == "later" {
			t.Fatal("a job went to the worker that was out before it was listed")
		}
	}
}

// Two processes that act as one dispatcher halve what each sends to a cold worker.
func TestSharedColdBudget(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.scheduler.settings.SlowStartDuration, v.scheduler.settings.SlowStartCapacity, v.scheduler.settings.OverloadMultiple, v.scheduler.settings.OverloadWindow = 20*time.Second, 0.2, 3, 1500*ms
	v.listWorkers(workers(1)...)
	w := v.scheduler.workers[0]
	w.StartedAt, w.observedSlots = v.now, 4
	alone := v.scheduler.slowStartBudget(w)
	v.handle(ProcessCountChanged{Processes: 2})
	if both := v.scheduler.slowStartBudget(w); both != alone/2 {
		t.Errorf("budget %v, alone %v", both, alone)
	}
	if v.handle(ProcessCountChanged{Processes: 1}); v.scheduler.slowStartBudget(w) != alone {
		t.Error("it does not end")
	}
}

package scheduler

import (
	"testing"
	"time"
)

// sends gives the workers that jobs go to, one after the other.
func (v *driver) jobs(from RequestID, n int) (to []WorkerID) {
	for id := from; id < from+RequestID(n); id++ {
		for _, a := range v.give(RequestArrived{ID: id, Slots: 1, Deadline: v.now + v.d.set.Classes[0].Deadline}) {
			if s, ok := a.(Send); ok {
				to = append(to, s.Worker)
			}
		}
		v.served(id, nil)
		v.now += ms
	}
	return to
}

// A worker that is out by hand gets nothing, whatever lists say, and its shunning is another matter; put back it is
// cold, sound and the first to get a job.
func TestOutByHand(t *testing.T) {
	v := newDriver(t, plain())
	v.d.set.SlowStartDuration, v.d.set.SlowStartCapacity, v.d.set.OverloadMultiple, v.d.set.OverloadWindow = 20*time.Second, 0.2, 3, 1500*ms
	v.list(workers(3)...)
	w := v.d.workers[1]
	w.total = 4
	w.strikes, w.until = 3, v.now+time.Hour
	v.give(WorkerDetached{Worker: w.ID})
	v.list(workers(3)...)
	w.strikes = 0
	for _, to := range v.jobs(1, 12) {
		if to == w.ID {
			t.Fatal("a job went to the worker that is out")
		}
	}
	if v.d.CountAvoided() != 1 || !v.d.KnowsWorker(w.ID) || v.d.KnowsWorker("never") {
		t.Errorf("%d avoided", v.d.CountAvoided())
	}
	w.strikes, w.until = 3, v.now+time.Hour
	v.give(WorkerReattached{Worker: w.ID})
	if v.d.warmth(w) > 0.21 || v.d.CountAvoided() != 0 {
		t.Errorf("put back: warmth %v, %d avoided", v.d.warmth(w), v.d.CountAvoided())
	}
	if to := v.jobs(100, 1); len(to) != 1 || to[0] != w.ID {
		t.Errorf("the first job went to %v", to)
	}
	// Out before it was ever listed, as a process that replaces another is told.
	v.give(WorkerDetached{Worker: "later"})
	v.list(append(workers(3), WorkerInfo{ID: "later", Weight: 1})...)
	for _, to := range v.jobs(200, 12) {
		if to == "later" {
			t.Fatal("a job went to the worker that was out before it was listed")
		}
	}
}

// Two processes that act as one dispatcher halve what each sends to a cold worker.
func TestSharedColdBudget(t *testing.T) {
	v := newDriver(t, plain())
	v.d.set.SlowStartDuration, v.d.set.SlowStartCapacity, v.d.set.OverloadMultiple, v.d.set.OverloadWindow = 20*time.Second, 0.2, 3, 1500*ms
	v.list(workers(1)...)
	w := v.d.workers[0]
	w.StartedAt, w.total = v.now, 4
	alone := v.d.budget(w)
	v.give(ProcessCountChanged{Processes: 2})
	if both := v.d.budget(w); both != alone/2 {
		t.Errorf("budget %v, alone %v", both, alone)
	}
	if v.give(ProcessCountChanged{Processes: 1}); v.d.budget(w) != alone {
		t.Error("it does not end")
	}
}

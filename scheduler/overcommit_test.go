package scheduler

import (
	"testing"
	"time"
)

// A worker with a free slot and without own attempts takes one whatever the overcommit: a queued request would relieve nobody,
// and nothing would raise the overcommit again.
func TestCapacity_idleWorkerWithNegativeOvercommit(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(workers(3)...)
	for _, w := range v.scheduler.workers {
		v.scheduler.recordSlots(w, 4)
		w.othersLoad, w.meanOthersLoad, w.reportedAt = 0.7, 0.7, v.now
	}
	v.scheduler.overcommit, v.scheduler.meanOthersLoad = minOvercommit, 0.7
	for id := RequestID(1); id <= 3; id++ {
		if v.submit(id, 0) == "" {
			t.Errorf("job %d is held while a worker with a free slot has none", id)
		}
	}
	if w := v.submit(4, 0); w != "" {
		t.Errorf("a second one went to %s", w)
	}
}

// A warming worker is filled less, so jobs start soon there: this does not raise the overcommit. A wait there lowers it.
func TestOvercommit_notRaisedByWarmingWorkers(t *testing.T) {
	v := newDriver(t, baseSettings())
	ws := workers(2)
	ws[0].StartedAt = v.now
	v.listWorkers(ws...)
	cold, warm := v.scheduler.workersByID[ws[0].ID], v.scheduler.workersByID[ws[1].ID]
	r := &request{settings: v.scheduler.settings, firstAskedAt: v.now, deadline: v.now + time.Second}
	v.scheduler.queued = []*request{r}
	before := v.scheduler.overcommit
	if v.scheduler.adjustOvercommit(r, &attempt{worker: cold, sentAt: v.scheduler.now}); v.scheduler.overcommit != before {
		t.Errorf("a job that started soon at a cold worker: %v, was %v", v.scheduler.overcommit, before)
	}
	if v.scheduler.adjustOvercommit(r, &attempt{worker: warm, sentAt: v.scheduler.now}); v.scheduler.overcommit <= before {
		t.Errorf("at a warm one: %v, was %v", v.scheduler.overcommit, before)
	}
	v.scheduler.overcommit = before
	if v.scheduler.adjustOvercommit(r, &attempt{worker: cold, sentAt: v.scheduler.now - time.Second}); v.scheduler.overcommit >= before {
		t.Errorf("a job that waited at a cold one: %v, was %v", v.scheduler.overcommit, before)
	}
}

// The overcommit falls below 0 where jobs wait for their start at the workers, and returns once they start soon.
func TestOvercommit_followsWaits(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(workers(2)...)
	job := func(id RequestID, wait time.Duration) {
		v.submit(id, 0)
		v.advance(wait)
		v.handle(AttemptStarted{ID: id})
		v.advance(10 * ms)
		v.finishServed(id, loadReport(0, 4))
	}
	for id := RequestID(1); id <= 30; id++ {
		job(id, 150*ms)
	}
	if v.scheduler.overcommit > 0 {
		t.Errorf("after long waits the allowance is still %v", v.scheduler.overcommit)
	}
	for id := RequestID(100); id < 150; id++ {
		job(id, ms)
	}
	if v.scheduler.overcommit < initialOvercommit {
		t.Errorf("after short waits the allowance is only %v", v.scheduler.overcommit)
	}
}

// A worker that was full in an old report gets a trial attempt: without an attempt no outcome would bring a newer report.
func TestCapacity_trialWhenReportOverdue(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(workers(2)...)
	v.submit(1, 0)
	v.submit(2, 0)
	v.finishServed(1, &Report{Busy: 1, Requests: 12, FreeSlots: 0})
	v.finishServed(2, &Report{Busy: 1, Requests: 12, FreeSlots: 0})
	for _, w := range v.scheduler.workers {
		w.observedSlots, w.othersLoad = 4, 3
	}
	v.scheduler.meanOthersLoad = 3
	v.now += 3 * time.Second
	if w := v.submit(3, 0); w == "" {
		t.Error("held a request though nothing was heard of any worker for 3 s")
	}
}

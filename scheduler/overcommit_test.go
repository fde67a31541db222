package scheduler

import (
	"testing"
	"time"
)

// TestCapacity_idleWorkerWithNegativeOvercommit checks that a worker with a free slot and without own attempts takes a request
// regardless of the overcommit: a queued request would relieve no worker, and nothing would raise the overcommit again.
func TestCapacity_idleWorkerWithNegativeOvercommit(t *testing.T) {
	driver := newDriver(t, baseSettings())
	driver.listWorkers(workers(3)...)
	for _, w := range driver.scheduler.workers {
		driver.scheduler.recordSlots(w, 4)
		w.othersLoad, w.meanOthersLoad, w.reportedAt = 0.7, 0.7, driver.now
	}
	driver.scheduler.overcommit, driver.scheduler.meanOthersLoad = minOvercommit, 0.7
	for id := RequestID(1); id <= 3; id++ {
		if driver.submit(id, 0) == "" {
			t.Errorf("request %d is queued while a worker with a free slot has no attempt", id)
		}
	}
	if w := driver.submit(4, 0); w != "" {
		t.Errorf("expected request 4 to be queued, got a send to %s, which has an attempt", w)
	}
}

// TestOvercommit_notRaisedByWarmingWorkers checks that the overcommit is not raised by the early starts at a warming worker, which is
// filled less, and that it is lowered by a wait there.
func TestOvercommit_notRaisedByWarmingWorkers(t *testing.T) {
	driver := newDriver(t, baseSettings())
	infos := workers(2)
	infos[0].StartedAt = driver.now
	driver.listWorkers(infos...)
	warming, warm := driver.scheduler.workersByID[infos[0].ID], driver.scheduler.workersByID[infos[1].ID]
	r := &request{settings: driver.scheduler.settings, clientStartedAt: driver.now, deadline: driver.now + time.Second}
	driver.scheduler.queued = []*request{r}
	before := driver.scheduler.overcommit
	if driver.scheduler.adjustOvercommit(r, &attempt{worker: warming, sentAt: driver.scheduler.now}); driver.scheduler.overcommit != before {
		t.Errorf("overcommit %v after an early start at a warming worker, want %v as before", driver.scheduler.overcommit, before)
	}
	if driver.scheduler.adjustOvercommit(r, &attempt{worker: warm, sentAt: driver.scheduler.now}); driver.scheduler.overcommit <= before {
		t.Errorf("overcommit %v after an early start at a warm worker, want more than %v", driver.scheduler.overcommit, before)
	}
	driver.scheduler.overcommit = before
	if driver.scheduler.adjustOvercommit(r, &attempt{worker: warming, sentAt: driver.scheduler.now - time.Second}); driver.scheduler.overcommit >= before {
		t.Errorf("overcommit %v after a wait at a warming worker, want less than %v", driver.scheduler.overcommit, before)
	}
}

// TestOvercommit_followsWaits checks that the overcommit falls to 0 or below while jobs wait for their start at the workers, and returns
// to its initial value once they start soon.
func TestOvercommit_followsWaits(t *testing.T) {
	driver := newDriver(t, baseSettings())
	driver.listWorkers(workers(2)...)
	job := func(id RequestID, wait time.Duration) {
		driver.submit(id, 0)
		driver.advance(wait)
		driver.handle(AttemptStarted{ID: id})
		driver.advance(10 * ms)
		driver.finishServed(id, loadReport(0, 4))
	}
	for id := RequestID(1); id <= 30; id++ {
		job(id, 150*ms)
	}
	if driver.scheduler.overcommit > 0 {
		t.Errorf("overcommit %v after long waits, want at most 0", driver.scheduler.overcommit)
	}
	for id := RequestID(100); id < 150; id++ {
		job(id, ms)
	}
	if driver.scheduler.overcommit < initialOvercommit {
		t.Errorf("overcommit %v after short waits, want at least initialOvercommit", driver.scheduler.overcommit)
	}
}

// TestCapacity_trialWhenReportOverdue checks that a worker that was full according to an old report gets a trial attempt: without an
// attempt no outcome would bring a newer report.
func TestCapacity_trialWhenReportOverdue(t *testing.T) {
	driver := newDriver(t, baseSettings())
	driver.listWorkers(workers(2)...)
	driver.submit(1, 0)
	driver.submit(2, 0)
	driver.finishServed(1, &Report{Busy: 1, Requests: 12, FreeSlots: 0})
	driver.finishServed(2, &Report{Busy: 1, Requests: 12, FreeSlots: 0})
	for _, w := range driver.scheduler.workers {
		w.observedSlots, w.othersLoad = 4, 3
	}
	driver.scheduler.meanOthersLoad = 3
	driver.now += 3 * time.Second
	if w := driver.submit(3, 0); w == "" {
		t.Error("expected a send, as no worker has reported for 3 s, got none")
	}
}

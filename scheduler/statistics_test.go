package scheduler

import (
	"testing"
	"time"
)

// TestEstimatedRuntime_followsShift checks that after 60 jobs of 0.3 s, which follow 60 shorter ones, the estimate is between 0.2
// s and 0.35 s.
func TestEstimatedRuntime_followsShift(t *testing.T) {
	driver := newDriver(t, baseSettings())
	driver.listWorkers(zonedWorkers(4, 1)...)
	id := RequestID(0)
	run := func(jobs int, runtime time.Duration) {
		for range jobs {
			id++
			driver.submit(id, 0)
			driver.handle(AttemptStarted{ID: id})
			driver.advance(runtime)
			driver.finishServed(id, loadReport(0.2, 3))
		}
	}
	run(60, 50*ms)
	run(60, 300*ms)
	if got := driver.scheduler.estimatedRuntime(&request{}); got < 0.2 || got > 0.35 {
		t.Errorf("after 60 jobs of 0.3 s the estimated runtime is %.3f s, want 0.2 s to 0.35 s", got)
	}
}

// TestSlowdown_byRunningJobs checks that a worker that has become slow is detected by jobs that run for longer than usual, before
// any of them ends.
func TestSlowdown_byRunningJobs(t *testing.T) {
	driver := newDriver(t, baseSettings())
	driver.listWorkers(workers(2)...)
	slow := driver.scheduler.workers[0]
	driver.scheduler.classes[0] = classState{workScale: 0.1, meanLogRuntime: -2.3, jobs: 100}
	deadline := driver.scheduler.settings.Classes[0].Deadline
	for id := RequestID(1); id <= 12; id++ {
		running := &request{id: id, settings: driver.scheduler.settings, slots: 1, clientStartedAt: driver.now, deadline: driver.now + deadline,
			attempts: []attempt{{worker: slow, sentAt: driver.now, startedAt: driver.now, inFlight: true, mayHaveExecuted: true}}}
		driver.scheduler.requests[id] = running
		driver.scheduler.requestsByArrival = append(driver.scheduler.requestsByArrival, running)
	}
	driver.scheduler.review()
	if slowdown := driver.scheduler.slowdown(slow); slowdown != 1 {
		t.Errorf("slowdown %v when the jobs have just started", slowdown)
	}
	driver.now += time.Second
	driver.scheduler.now = driver.now
	driver.scheduler.review()
	if slowdown := driver.scheduler.slowdown(slow); slowdown < slowdownThreshold {
		t.Errorf("slowdown %v after jobs that usually take 0.1 s have run for 1 s", slowdown)
	}
	if slowdown := driver.scheduler.slowdown(driver.scheduler.workers[1]); slowdown != 1 {
		t.Errorf("slowdown %v of the other worker", slowdown)
	}
}

// TestSlowdown_inSlowStartFollowsJobs checks that the slowdown in slow start is the settings' worst case at first, and then follows from
// the worker's own jobs.
func TestSlowdown_inSlowStartFollowsJobs(t *testing.T) {
	driver := newDriver(t, baseSettings())
	driver.listWorkers(workers(1)...)
	worker := driver.scheduler.workers[0]
	worker.StartedAt = driver.now - time.Second
	worstCase := 1 / driver.scheduler.warmupFactor(worker)
	if slowdown := driver.scheduler.slowdown(worker); slowdown < worstCase*0.999 || slowdown > worstCase*1.001 {
		t.Errorf("slowdown at first %v, want %v", slowdown, worstCase)
	}
	worker.slownessJobs, worker.logSlownessSum = 20, 0 // jobs took as long as elsewhere
	if slowdown := driver.scheduler.slowdown(worker); slowdown > worstCase/2 || slowdown < 1 {
		t.Errorf("slowdown after 20 ordinary jobs: %v", slowdown)
	}
	worker.logSlownessSum = 20 * 2 // jobs took about seven times as long
	if slowdown := driver.scheduler.slowdown(worker); slowdown < worstCase {
		t.Errorf("slowdown after 20 slow jobs: %v", slowdown)
	}
}

// TestSlowdown_notFromFewLongJobs checks that a worker does not count as slow because of a few long jobs among its first ones.
func TestSlowdown_notFromFewLongJobs(t *testing.T) {
	driver := newDriver(t, baseSettings())
	driver.listWorkers(workers(2)...)
	run := func(id RequestID, runtime time.Duration) {
		driver.submit(id, 0)
		driver.handle(AttemptStarted{ID: id})
		driver.now += runtime
		driver.finishServed(id, nil)
	}
	run(1, 5*ms)
	run(2, 100*ms)
	run(3, 5*ms)
	run(4, 100*ms)
	for _, w := range driver.scheduler.workers {
		if slowdown := driver.scheduler.slowdown(w); slowdown != 1 {
			t.Errorf("%s has a slowdown of %v after two jobs", w.ID, slowdown)
		}
	}
}

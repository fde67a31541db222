package scheduler

import (
	"testing"
	"time"
)

// When requests take longer than before, the estimate follows within some dozen jobs.
func TestEstimatedRuntime_followsShift(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(zonedWorkers(4, 1)...)
	id := RequestID(0)
	run := func(jobs int, took time.Duration) {
		for range jobs {
			id++
			v.submit(id, 0)
			v.handle(AttemptStarted{ID: id})
			v.advance(took)
			v.finishServed(id, loadReport(0.2, 3))
		}
	}
	run(60, 50*ms)
	run(60, 300*ms)
	if got := v.scheduler.estimatedRuntime(&request{}); got < 0.2 || got > 0.35 {
		t.Errorf("after 60 jobs of 0.3 s the mean work is %.3f s", got)
	}
}

// A worker that has become slow shows it by jobs that run for longer than usual, before any of them ends.
func TestSlowdown_byRunningJobs(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(workers(2)...)
	w := v.scheduler.workers[0]
	v.scheduler.classes[0] = classState{workScale: 0.1, meanLogRuntime: -2.3, jobs: 100}
	deadline := v.scheduler.settings.Classes[0].Deadline
	for id := RequestID(1); id <= 12; id++ {
		r := &request{id: id, settings: v.scheduler.settings, slots: 1, firstAskedAt: v.now, deadline: v.now + deadline,
			attempts: []attempt{{worker: w, sentAt: v.now, startedAt: v.now, inFlight: true, mayHaveExecuted: true}}}
		v.scheduler.requests[id] = r
		v.scheduler.requestsByArrival = append(v.scheduler.requestsByArrival, r)
	}
	v.scheduler.review()
	if drag := v.scheduler.slowdown(w); drag != 1 {
		t.Errorf("drag %v while they have only begun", drag)
	}
	v.now += time.Second
	v.scheduler.now = v.now
	v.scheduler.review()
	if drag := v.scheduler.slowdown(w); drag < slowdownThreshold {
		t.Errorf("drag %v after a second of jobs that take a tenth", drag)
	}
	if drag := v.scheduler.slowdown(v.scheduler.workers[1]); drag != 1 {
		t.Errorf("drag %v of the other worker", drag)
	}
}

// In slow start the settings' worst case is the first slowdown; the worker's own jobs replace it.
func TestSlowdown_inSlowStartFollowsJobs(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(workers(1)...)
	w := v.scheduler.workers[0]
	w.StartedAt = v.now - time.Second
	feared := 1 / v.scheduler.warmupFactor(w)
	if drag := v.scheduler.slowdown(w); drag < feared*0.999 || drag > feared*1.001 {
		t.Errorf("at first %v, want %v", drag, feared)
	}
	w.slownessJobs, w.slownessSum = 20, 0 // jobs took as long as elsewhere
	if drag := v.scheduler.slowdown(w); drag > feared/2 || drag < 1 {
		t.Errorf("after 20 ordinary jobs %v", drag)
	}
	w.slownessSum = 20 * 2 // and seven times as long
	if drag := v.scheduler.slowdown(w); drag < feared {
		t.Errorf("after 20 slow jobs %v", drag)
	}
}

// A few long jobs among the first do not make their worker slow.
func TestSlowdown_notFromFewLongJobs(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(workers(2)...)
	run := func(id RequestID, took time.Duration) {
		v.submit(id, 0)
		v.handle(AttemptStarted{ID: id})
		v.now += took
		v.finishServed(id, nil)
	}
	run(1, 5*ms)
	run(2, 100*ms)
	run(3, 5*ms)
	run(4, 100*ms)
	for _, w := range v.scheduler.workers {
		if f := v.scheduler.slowdown(w); f != 1 {
			t.Errorf("%s drags %v after two jobs", w.ID, f)
		}
	}
}

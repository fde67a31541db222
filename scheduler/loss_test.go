package scheduler

import (
	"testing"
	"time"
)

// One connection that breaks is chance where the network is bad; each once shut its worker out for half a second
// and longer. Two with no sign of life between mean that the worker cannot be reached.
func TestOneLossIsChance(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(workers(1)...)
	w := v.scheduler.workers[0]
	for i, c := range []struct {
		outcome Outcome
		strikes int
	}{{Reset, 0}, {Served, 0}, {NoConnect, 0}, {Reset, 1}, {Served, 0}, {Reset, 0}} {
		id := RequestID(i + 1)
		v.handle(RequestArrived{ID: id, Slots: 1, Deadline: v.now + v.scheduler.settings.Classes[0].Deadline})
		if v.handle(AttemptFinished{ID: id, Outcome: c.outcome, Final: true}); w.consecutiveEjections != c.strikes {
			t.Errorf("after outcome %d of job %d: %d strikes, want %d", c.outcome, i, w.consecutiveEjections, c.strikes)
		}
		v.now += ms
	}
}

// What was lost with a connection that had stood idle has the older ones closed, not all: only how long the
// connection itself stood idle tells, and a job that had begun was not lost with it.
func TestIdleLossByConnection(t *testing.T) {
	for _, c := range []struct {
		idle  time.Duration
		began bool
		drops int
	}{{time.Second, false, 1}, {0, false, 0}, {time.Second, true, 0}} {
		v := newDriver(t, baseSettings())
		v.listWorkers(workers(1)...)
		job := func(id RequestID) []Action {
			return v.handle(RequestArrived{ID: id, Slots: 1, Deadline: v.now + v.scheduler.settings.Classes[0].Deadline})
		}
		job(1)
		v.finishServed(1, nil)
		v.now += 5 * time.Second // longer than any of its connections: probes and other jobs came between
		job(2)
		if c.began {
			v.handle(AttemptStarted{ID: 2})
		}
		v.handle(AttemptFinished{ID: 2, Outcome: Reset, Final: true, ConnectionIdle: c.idle})
		v.now += time.Second
		acts := job(3)
		for _, a := range acts {
			if d, ok := a.(CloseIdleConnections); ok && d.MinIdle != c.idle*4/5 {
				t.Errorf("%+v: drops what was idle for %v", c, d.MinIdle)
			}
		}
		if n := countActions[CloseIdleConnections](acts); n != c.drops {
			t.Errorf("%+v: %d drops", c, n)
		}
	}
}

// A probe that brings the figures of the one before says nothing new: the worker has not refreshed them. Such a
// report was once taken for a fresh one, so an old load seemed certain for as long as it was repeated.
func TestRepeatedReportIsOld(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(workers(1)...)
	w, first := v.scheduler.workers[0], v.now
	for _, c := range []struct {
		free float64
		want Clock
	}{{3.5, first}, {3.5, first}, {3.4, first + 2*time.Second}} {
		if v.handle(ProbeCompleted{Worker: w.ID, Report: loadReport(0.5, c.free)}); w.reportedAt != c.want || w.lastSignal != v.now {
			t.Errorf("reported at %v, heard at %v, want %v and now", w.reportedAt, w.lastSignal, c.want)
		}
		v.now += time.Second
	}
}

// Requests that no worker can use are their clients' fault: they fail at once, are not tried elsewhere, and the
// worker keeps its good name. Three of them once had it shunned.
func TestRejectedIsNotTheWorkersFault(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(workers(2)...)
	for id := RequestID(1); id <= 4; id++ {
		w := v.submit(id, 0)
		if acts := v.handle(AttemptFinished{ID: id, Worker: w, Outcome: InvalidRequest}); countActions[Fail](acts) != 1 || countActions[Send](acts) != 0 {
			t.Errorf("did %v", acts)
		}
	}
	for _, w := range v.scheduler.workers {
		if !v.scheduler.healthy(w, 0) || w.ownSlots != 0 || w.classEjections[0].failureCount != 0 {
			t.Errorf("%s: sound %v, %v slots held, %v failures", w.ID, v.scheduler.healthy(w, 0), w.ownSlots, w.classEjections[0].failureCount)
		}
	}
}

// Cold workers are kept short by their pace, so jobs always start soon there. That once raised the allowance of all,
// and jobs queued at the few warm ones.
func TestAllowanceByWarmWorkers(t *testing.T) {
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

// A worker that has become slow shows it by jobs that run on, before any of them ends: what counted only ends went on
// sending to a worker that another program had taken most of.
func TestSlowBeforeJobsEnd(t *testing.T) {
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

// The rules' worst case is where a cold worker's pace begins; its jobs tell the true one. By age alone most cold
// workers stood half idle while jobs queued at the warm ones.
func TestColdPaceFollowsJobs(t *testing.T) {
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

// Where all wait, a job that may not begin soon is given up sooner. All once waited for as long as a like job could be in
// time: on a full fleet those that began had all waited for just so long, and a third of all answers came late.
func TestPatienceShrinksWhereAllWait(t *testing.T) {
	for jam, want := range map[float64]time.Duration{0: 350 * ms, 0.5: 225 * ms, 1: 100 * ms} {
		v := newDriver(t, baseSettings())
		v.listWorkers(workers(1)...)
		v.scheduler.classes[1].workScale, v.scheduler.congestion = 0.3, jam // aim 200 ms, and the half of 300 ms that a like job's own run adds
		v.submit(1, 1)
		if acts := v.advance(want - 20*ms); countActions[Fail](acts) != 0 {
			t.Errorf("jam %v: given up before %v", jam, want)
		}
		if acts := v.advance(60 * ms); countActions[Fail](acts) != 1 || countActions[Cancel](acts) != 1 {
			t.Errorf("jam %v: not given up after %v: %v", jam, want, acts)
		}
		if v.scheduler.overcommit >= initialOvercommit { // it waited there as well, for longer than any that began
			t.Errorf("jam %v: the allowance is still %v", jam, v.scheduler.overcommit)
		}
	}
}

// A keyed job that nobody has begun when its answer can be worth nothing is given up: called off, so that it is no
// longer in the way of others in the worker's queue, and answered. It once stayed there to its deadline: on a fleet
// short of room for seconds all queues filled with such jobs, and what was begun was late already.
func TestLateQueuedIsGivenUp(t *testing.T) {
	for _, c := range []struct {
		class int
		worth float64
		began bool
		want  bool
	}{{1, 0, false, true}, {2, 0, false, true}, {1, 0.5, false, false}, {1, 0, true, false}} {
		s := baseSettings()
		s.Classes[c.class].LateWeight = c.worth
		v := newDriver(t, s)
		v.listWorkers(workers(1)...)
		v.submit(1, c.class)
		if c.began {
			v.handle(AttemptStarted{ID: 1})
		}
		acts := v.advance(time.Second) // of two; its aim is 0.2 s
		if got := countActions[Cancel](acts) == 1 && countActions[Fail](acts) == 1; got != c.want {
			t.Errorf("%+v: called off %d, failed %d", c, countActions[Cancel](acts), countActions[Fail](acts))
		}
	}
}

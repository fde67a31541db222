package scheduler

import (
	"testing"
	"time"
)

// A worker that reports no progress runs a job of 10 s: its silence says nothing. With progress reports it is ejected.
func TestSilence_withoutProgressReports(t *testing.T) {
	for _, progress := range []time.Duration{0, time.Second} {
		s := baseSettings()
		s.ProgressInterval = progress
		s.Classes[2].Deadline = 20 * time.Second
		v := newDriver(t, s)
		v.listWorkers(workers(2)...)
		w := v.scheduler.workersByID[firstSendWorker(v.handle(RequestArrived{ID: 1, Class: 2, Slots: 1, Deadline: v.now + 15*time.Second}))]
		v.handle(AttemptStarted{ID: 1})
		v.advance(10 * time.Second)
		if sound := v.scheduler.healthy(w, 2); sound != (progress == 0) {
			t.Errorf("progress every %v: the worker counts as sound: %v", progress, sound)
		}
	}
}

// A worker that fails three jobs in five at once, so that it looks idle, gets few jobs. After its recovery it gets its share
// again.
func TestPlacement_workerThatOftenFails(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(workers(3)...)
	bad, jobs := 0, 300
	for i := range jobs {
		id := RequestID(i + 1)
		if v.submit(id, i%3) == "w00" {
			if bad++; bad%5 < 3 {
				v.handle(AttemptFinished{ID: id, Worker: "w00", Outcome: Errored, Final: true})
				v.now += 100 * ms
				continue
			}
		}
		v.advance(100 * ms)
		v.finishServed(id, nil)
	}
	if bad > jobs/10 {
		t.Errorf("%d of %d jobs went to the worker that fails", bad, jobs)
	}
	before := bad
	for i := range jobs { // it has recovered: a trial is followed by its share
		id := RequestID(jobs + i + 1)
		at := v.submit(id, i%3)
		bad += oneIf(at == "w00" && i >= 2*jobs/3) // what it did is forgotten after some 20 s
		v.advance(100 * ms)
		v.finishServed(id, nil)
	}
	if got := bad - before; got < jobs/3/5 {
		t.Errorf("after its recovery %d of %d", got, jobs/3)
	}
}

// A worker that leaves one class unanswered and serves the others is ejected for that class alone.
func TestSilence_oneClassUnanswered(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(zonedWorkers(1, 1)...)
	v.handle(RequestArrived{ID: 1, Class: 2, Slots: 1, Deadline: v.now + 10*time.Second})
	for id := RequestID(10); id < 13; id++ {
		v.submit(id, 0)
		v.handle(AttemptStarted{ID: id})
		v.advance(600 * ms)
		v.finishServed(id, loadReport(0.1, 3.5))
	}
	v.advance(300 * ms)
	w := v.scheduler.workers[0]
	if v.scheduler.healthy(w, 2) || !v.scheduler.healthy(w, 0) {
		t.Errorf("class 2 may go there: %v; class 0: %v", v.scheduler.healthy(w, 2), v.scheduler.healthy(w, 0))
	}
	if w.ownSlots != 0 {
		t.Errorf("the lost job still holds %v slots", w.ownSlots)
	}
}

// A worker that fails one class is ejected for that class alone.
func TestEjection_ofOneClass(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(zonedWorkers(1, 1)...)
	for id := RequestID(1); id <= 2*failuresToEject; id += 2 {
		v.submit(id, 2)
		v.handle(AttemptFinished{ID: id, Outcome: Errored})
		v.submit(id+1, 0)
		v.finishServed(id+1, nil)
	}
	if w := v.scheduler.workers[0]; v.scheduler.healthy(w, 2) || !v.scheduler.healthy(w, 0) {
		t.Errorf("class 2 may go there: %v; class 0: %v", v.scheduler.healthy(w, 2), v.scheduler.healthy(w, 0))
	}
}

// After an attempt was lost with an idle connection, connections that were idle for as long are closed before use, and the
// worker is not ejected.
func TestIdleLoss_closesOlderConnections(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(zonedWorkers(1, 1)...)
	v.submit(1, 0)
	v.finishServed(1, nil)
	v.now += 3 * time.Second
	v.submit(2, 2)
	v.handle(AttemptFinished{ID: 2, Outcome: Reset, ConnectionIdle: -1})
	if !v.scheduler.healthy(v.scheduler.workers[0], 0) {
		t.Error("the worker is shunned for its lost connection")
	}
	v.now += 3 * time.Second
	acts := v.handle(RequestArrived{ID: 3, Class: 2, Slots: 1, Deadline: v.now + 2*time.Second})
	if countActions[CloseIdleConnections](acts) != 1 || countActions[Send](acts) != 1 {
		t.Errorf("after 3 idle seconds it did %v", acts)
	}
	v.handle(AttemptFinished{ID: 3, Outcome: Served, Final: true})
	v.now += minLossIdle / 2
	if acts := v.handle(RequestArrived{ID: 4, Class: 2, Slots: 1, Deadline: v.now + 2*time.Second}); countActions[CloseIdleConnections](acts) != 0 {
		t.Errorf("a connection just used is dropped: %v", acts)
	}
}

// One connection that breaks is chance; two without a signal between them mean that the worker cannot be reached.
func TestEjection_byConnectionLosses(t *testing.T) {
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

// What was lost with an idle connection has connections closed that were idle for as long, not all: the idle time of the
// connection counts, not that of the worker. An attempt that had started was not lost that way.
func TestIdleLoss_byConnectionIdleTime(t *testing.T) {
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

// A worker that does not respond gets no more requests; when all are ejected, requests are sent nevertheless.
func TestSilence_workerIsEjected(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(workers(2)...)
	silent := v.submit(1, 2)
	v.advance(1900 * ms)
	for id := RequestID(2); id < 6; id++ {
		if w := v.submit(id, 0); w == silent {
			t.Errorf("request %d went to the silent worker", id)
		}
		v.handle(AttemptFinished{ID: id, Outcome: Served, Final: true})
	}
	for _, w := range v.scheduler.workers {
		v.scheduler.eject(w, &w.ejectionState, 0, "test")
	}
	if w := v.submit(9, 0); w == "" {
		t.Error("nobody to send to when all are shunned")
	}
}

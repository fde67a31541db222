package scheduler

import (
	"testing"
	"time"
)

// TestSilence_withoutProgressReports checks that a worker without progress reports is not ejected during a job of 10 s, and that
// a worker that should report progress but does not is ejected.
func TestSilence_withoutProgressReports(t *testing.T) {
	for _, progress := range []time.Duration{0, time.Second} {
		settings := baseSettings()
		settings.ProgressInterval = progress
		settings.Classes[2].Deadline = 20 * time.Second
		driver := newDriver(t, settings)
		driver.listWorkers(workers(2)...)
		worker := driver.scheduler.workersByID[firstSendWorker(driver.handle(RequestArrived{ID: 1, Class: 2, Slots: 1, Deadline: driver.now + 15*time.Second}))]
		driver.handle(AttemptStarted{ID: 1})
		driver.advance(10 * time.Second)
		if healthy := driver.scheduler.healthy(worker, 2); healthy != (progress == 0) {
			t.Errorf("progress every %v: the worker counts as healthy: %v", progress, healthy)
		}
	}
}

// TestPlacement_workerThatOftenFails checks that a worker that immediately fails three of five jobs, and therefore looks idle, gets at
// most a tenth of 300 jobs. After its recovery it must get at least 20 of the last 100 jobs; an even share would be 33.
func TestPlacement_workerThatOftenFails(t *testing.T) {
	driver := newDriver(t, baseSettings())
	driver.listWorkers(workers(3)...)
	sentToFailing, jobs := 0, 300
	for i := range jobs {
		id := RequestID(i + 1)
		if driver.submit(id, i%3) == "w00" {
			if sentToFailing++; sentToFailing%5 < 3 {
				driver.handle(AttemptFinished{ID: id, Worker: "w00", Outcome: Errored, Final: true})
				driver.now += 100 * ms
				continue
			}
		}
		driver.advance(100 * ms)
		driver.finishServed(id, nil)
	}
	if sentToFailing > jobs/10 {
		t.Errorf("%d of %d jobs were sent to the failing worker, want at most a tenth", sentToFailing, jobs)
	}
	before := sentToFailing
	for i := range jobs { // the worker has recovered: after a trial it gets its share
		id := RequestID(jobs + i + 1)
		to := driver.submit(id, i%3)
		sentToFailing += oneIf(to == "w00" && i >= 2*jobs/3) // its failures are forgotten after some 20 s
		driver.advance(100 * ms)
		driver.finishServed(id, nil)
	}
	if got := sentToFailing - before; got < jobs/3/5 {
		t.Errorf("after its recovery the worker got %d of %d jobs, want at least a fifth", got, jobs/3)
	}
}

// TestSilence_oneClassUnanswered checks that a worker that leaves one class unanswered and serves the others is ejected only for that
// class.
func TestSilence_oneClassUnanswered(t *testing.T) {
	driver := newDriver(t, baseSettings())
	driver.listWorkers(zonedWorkers(1, 1)...)
	driver.handle(RequestArrived{ID: 1, Class: 2, Slots: 1, Deadline: driver.now + 10*time.Second})
	for id := RequestID(10); id < 13; id++ {
		driver.submit(id, 0)
		driver.handle(AttemptStarted{ID: id})
		driver.advance(600 * ms)
		driver.finishServed(id, loadReport(0.1, 3.5))
	}
	driver.advance(300 * ms)
	w := driver.scheduler.workers[0]
	if driver.scheduler.healthy(w, 2) || !driver.scheduler.healthy(w, 0) {
		t.Errorf("healthy: class 2 %v, want false; class 0 %v, want true", driver.scheduler.healthy(w, 2), driver.scheduler.healthy(w, 0))
	}
	if w.ownSlots != 0 {
		t.Errorf("the lost attempt still counts as %v slots, want 0", w.ownSlots)
	}
}

// TestEjection_ofOneClass checks that a worker that fails one class is ejected only for that class.
func TestEjection_ofOneClass(t *testing.T) {
	driver := newDriver(t, baseSettings())
	driver.listWorkers(zonedWorkers(1, 1)...)
	for id := RequestID(1); id <= 2*failuresToEject; id += 2 {
		driver.submit(id, 2)
		driver.handle(AttemptFinished{ID: id, Outcome: Errored})
		driver.submit(id+1, 0)
		driver.finishServed(id+1, nil)
	}
	if w := driver.scheduler.workers[0]; driver.scheduler.healthy(w, 2) || !driver.scheduler.healthy(w, 0) {
		t.Errorf("healthy: class 2 %v, want false; class 0 %v, want true", driver.scheduler.healthy(w, 2), driver.scheduler.healthy(w, 0))
	}
}

// TestIdleLoss_closesOlderConnections checks that after an attempt was lost with an idle connection, connections that have been
// idle for as long are closed before use, and that the worker is not ejected.
func TestIdleLoss_closesOlderConnections(t *testing.T) {
	driver := newDriver(t, baseSettings())
	driver.listWorkers(zonedWorkers(1, 1)...)
	driver.submit(1, 0)
	driver.finishServed(1, nil)
	driver.now += 3 * time.Second
	driver.submit(2, 2)
	driver.handle(AttemptFinished{ID: 2, Outcome: Reset, ConnectionIdle: -1})
	if !driver.scheduler.healthy(driver.scheduler.workers[0], 0) {
		t.Error("the worker was ejected for one lost connection")
	}
	driver.now += 3 * time.Second
	actions := driver.handle(RequestArrived{ID: 3, Class: 2, Slots: 1, Deadline: driver.now + 2*time.Second})
	if countActions[CloseIdleConnections](actions) != 1 || countActions[Send](actions) != 1 {
		t.Errorf("after 3 idle seconds: expected CloseIdleConnections and Send, got %v", actions)
	}
	driver.handle(AttemptFinished{ID: 3, Outcome: Served, Final: true})
	driver.now += minLossIdle / 2
	if actions := driver.handle(RequestArrived{ID: 4, Class: 2, Slots: 1, Deadline: driver.now + 2*time.Second}); countActions[CloseIdleConnections](actions) != 0 {
		t.Errorf("expected a connection that was just used to stay open, got %v", actions)
	}
}

// TestEjection_byConnectionLosses checks that a worker is ejected after two lost connections without a signal between them, not after
// one.
func TestEjection_byConnectionLosses(t *testing.T) {
	driver := newDriver(t, baseSettings())
	driver.listWorkers(workers(1)...)
	worker := driver.scheduler.workers[0]
	for i, test := range []struct {
		outcome   Outcome
		ejections int
	}{{Reset, 0}, {Served, 0}, {NoConnect, 0}, {Reset, 1}, {Served, 0}, {Reset, 0}} {
		id := RequestID(i + 1)
		driver.handle(RequestArrived{ID: id, Slots: 1, Deadline: driver.now + driver.scheduler.settings.Classes[0].Deadline})
		if driver.handle(AttemptFinished{ID: id, Outcome: test.outcome, Final: true}); worker.consecutiveEjections != test.ejections {
			t.Errorf("after outcome %d of request %d: %d ejections in a row, want %d", test.outcome, i, worker.consecutiveEjections, test.ejections)
		}
		driver.now += ms
	}
}

// TestIdleLoss_byConnectionIdleTime checks that after a loss with an idle connection, connections that have been idle for at
// least 4/5 as long are closed. The idle time of the connection counts, not the idle time of the worker. The loss of an attempt
// that had started does not count.
func TestIdleLoss_byConnectionIdleTime(t *testing.T) {
	for _, test := range []struct {
		idle    time.Duration
		started bool
		closed  int // how often connections are closed
	}{{time.Second, false, 1}, {0, false, 0}, {time.Second, true, 0}} {
		driver := newDriver(t, baseSettings())
		driver.listWorkers(workers(1)...)
		job := func(id RequestID) []Action {
			return driver.handle(RequestArrived{ID: id, Slots: 1, Deadline: driver.now + driver.scheduler.settings.Classes[0].Deadline})
		}
		job(1)
		driver.finishServed(1, nil)
		driver.now += 5 * time.Second // the worker's idle time; probes and other requests have used its connections meanwhile
		job(2)
		if test.started {
			driver.handle(AttemptStarted{ID: 2})
		}
		driver.handle(AttemptFinished{ID: 2, Outcome: Reset, Final: true, ConnectionIdle: test.idle})
		driver.now += time.Second
		actions := job(3)
		for _, action := range actions {
			if d, ok := action.(CloseIdleConnections); ok && d.MinIdle != test.idle*4/5 {
				t.Errorf("%+v: got MinIdle %v, expected 4/5 of the idle time", test, d.MinIdle)
			}
		}
		if n := countActions[CloseIdleConnections](actions); n != test.closed {
			t.Errorf("%+v: connections were closed %d times", test, n)
		}
	}
}

// TestSilence_workerIsEjected checks that a worker that does not respond gets no more requests, and that requests are sent nevertheless
// if all workers are ejected.
func TestSilence_workerIsEjected(t *testing.T) {
	driver := newDriver(t, baseSettings())
	driver.listWorkers(workers(2)...)
	silent := driver.submit(1, 2)
	driver.advance(1900 * ms)
	for id := RequestID(2); id < 6; id++ {
		if w := driver.submit(id, 0); w == silent {
			t.Errorf("request %d was sent to the silent worker", id)
		}
		driver.handle(AttemptFinished{ID: id, Outcome: Served, Final: true})
	}
	for _, w := range driver.scheduler.workers {
		driver.scheduler.eject(w, &w.ejectionState, 0, "test")
	}
	if w := driver.submit(9, 0); w == "" {
		t.Error("expected a send while all workers are ejected, got none")
	}
}

// TestCountAvoided_workerNotListed guards against counting workers that the latest full list no longer names.
func TestCountAvoided_workerNotListed(t *testing.T) {
	driver := newDriver(t, baseSettings())
	driver.listWorkers(workers(3)...)
	ejected, detached := driver.scheduler.workers[0], driver.scheduler.workers[1]
	ejected.consecutiveEjections, ejected.ejectedUntil = 1, driver.now+time.Hour
	driver.handle(WorkerDetached{Worker: detached.ID})
	if count := driver.scheduler.CountAvoided(); count != 2 {
		t.Fatalf("got %d avoided workers, want 2: the ejected one and the detached one", count)
	}
	driver.listWorkers(workers(3)[2:]...)
	if count := driver.scheduler.CountAvoided(); count != 0 {
		t.Errorf("got %d avoided workers that are not listed, want 0", count)
	}
	driver.listWorkers(workers(3)...)
	if count := driver.scheduler.CountAvoided(); count != 2 {
		t.Errorf("listed again: got %d avoided workers, want 2", count)
	}
}

package scheduler

import (
	"slices"
	"testing"
	"time"
)

// submitJobs submits n requests one after the other, each served at once, and returns the workers that they were sent to.
func (d *driver) submitJobs(from RequestID, n int) (to []WorkerID) {
	for id := from; id < from+RequestID(n); id++ {
		for _, action := range d.handle(RequestArrived{ID: id, Slots: 1, Deadline: d.now + d.scheduler.settings.Classes[0].Deadline}) {
			if send, ok := action.(Send); ok {
				to = append(to, send.Worker)
			}
		}
		d.finishServed(id, nil)
		d.now += ms
	}
	return to
}

// TestDetachedWorker_untilReattached checks that a detached worker gets no request, regardless of the lists, and that its
// ejection is independent of that. Once reattached, it is in slow start, is healthy and gets the first request.
func TestDetachedWorker_untilReattached(t *testing.T) {
	driver := newDriver(t, baseSettings())
	driver.scheduler.settings.SlowStartDuration, driver.scheduler.settings.SlowStartCapacity, driver.scheduler.settings.OverloadMultiple, driver.scheduler.settings.OverloadWindow = 20*time.Second, 0.2, 3, 1500*ms
	driver.listWorkers(workers(3)...)
	worker := driver.scheduler.workers[1]
	worker.observedSlots = 4
	worker.consecutiveEjections, worker.ejectedUntil = 3, driver.now+time.Hour
	driver.handle(WorkerDetached{Worker: worker.ID})
	driver.listWorkers(workers(3)...)
	worker.consecutiveEjections = 0
	for _, to := range driver.submitJobs(1, 12) {
		if to == worker.ID {
			t.Fatal("a request was sent to the detached worker")
		}
	}
	if driver.scheduler.CountAvoided() != 1 || !driver.scheduler.KnowsWorker(worker.ID) || driver.scheduler.KnowsWorker("never") {
		t.Errorf("got %d avoided workers, want 1, or KnowsWorker is wrong about the detached or an unknown worker", driver.scheduler.CountAvoided())
	}
	worker.consecutiveEjections, worker.ejectedUntil = 3, driver.now+time.Hour
	driver.handle(WorkerReattached{Worker: worker.ID})
	if driver.scheduler.warmupFactor(worker) > 0.21 || driver.scheduler.CountAvoided() != 0 {
		t.Errorf("reattached: got warmup factor %v, want at most 0.21, and %d avoided workers, want 0", driver.scheduler.warmupFactor(worker), driver.scheduler.CountAvoided())
	}
	if to := driver.submitJobs(100, 1); len(to) != 1 || to[0] != worker.ID {
		t.Errorf("the first request after the reattachment was sent to %v", to)
	}
	// A successor may be notified of a detached worker before any list names it.
	driver.handle(WorkerDetached{Worker: "later"})
	driver.listWorkers(append(workers(3), WorkerInfo{ID: "later", Weight: 1})...)
	for _, to := range driver.submitJobs(200, 12) {
		if to == "later" {
			t.Fatal("a request was sent to the worker that was detached before it was listed")
		}
	}
}

// TestPoll_firstCallsAreSpread checks that 2000 dispatchers that start together spread their first polls over at least 2 s, and that all
// poll within 3 s.
func TestPoll_firstCallsAreSpread(t *testing.T) {
	settings := baseSettings()
	settings.ListPolled, settings.MaxPollInterval = true, 10*time.Second
	var first, last time.Duration = time.Hour, 0
	for i := range 2000 {
		settings.DispatcherIndex, settings.Dispatchers = i, 2000
		for _, a := range New(settings, uint64(i)).Handle(start, EndpointsUpdated{ListKind: ListCached, Workers: zonedWorkers(1, 1)}) {
			if w, ok := a.(SetTimer); ok && w.Token == pollTimer {
				first, last = min(first, w.After), max(last, w.After)
			}
		}
	}
	if last-first < 2*time.Second || last > 3*time.Second+ms { // so that even a late response is received within 6 s
		t.Errorf("2000 dispatchers poll between %v and %v after their start, want a spread of at least 2 s and at most 3 s after the start", first, last)
	}
}

// TestPoll_retryDelayIsBounded checks that after each failed poll no dispatcher of 300 waits for longer than MaxListRetryDelay, and that
// their polls are spread over at least half of it.
func TestPoll_retryDelayIsBounded(t *testing.T) {
	var first, last time.Duration = time.Hour, 0
	for i := range 300 {
		settings := baseSettings()
		settings.ListPolled, settings.MaxPollInterval, settings.DispatcherIndex, settings.Dispatchers = true, 10*time.Second, i, 300
		d := New(settings, uint64(i))
		d.Handle(start, EndpointsUpdated{ListKind: ListCached, Workers: zonedWorkers(1, 1)})
		for n := range 6 {
			for _, a := range d.Handle(start+time.Duration(n)*time.Second, EndpointsUpdated{ListKind: ListFailed}) {
				if w, ok := a.(SetTimer); ok && w.Token == pollTimer {
					first, last = min(first, w.After), max(last, w.After)
				}
			}
		}
	}
	if last > MaxListRetryDelay+ms || last-first < MaxListRetryDelay/2 {
		t.Errorf("300 dispatchers poll again between %v and %v, want at most MaxListRetryDelay and a spread of half of it", first, last)
	}
}

// TestPoll_restartDoesNotOverrunDiscovery checks that 80 dispatchers that start together do not overload a discovery service that serves
// 20 calls a second and rejects those that have waited for 2 s. The calls of two dispatchers are not spread.
func TestPoll_restartDoesNotOverrunDiscovery(t *testing.T) {
	for dispatchers, most := range map[int]time.Duration{2: 250 * ms, 80: 3*time.Second + ms} {
		var at []time.Duration
		for i := range dispatchers {
			settings := baseSettings()
			settings.ListPolled, settings.MaxPollInterval, settings.DispatcherIndex, settings.Dispatchers = true, 10*time.Second, i, dispatchers
			for _, a := range New(settings, uint64(i)).Handle(start, EndpointsUpdated{ListKind: ListCached, Workers: zonedWorkers(1, 1)}) {
				if w, ok := a.(SetTimer); ok && w.Token == pollTimer {
					at = append(at, w.After)
				}
			}
		}
		slices.Sort(at)
		freeAt, rejected := time.Duration(0), 0 // the service serves one call after the other, each in 50 ms
		for _, t := range at {
			if freeAt = max(freeAt, t); freeAt-t > 2*time.Second {
				rejected++
				continue
			}
			freeAt += 50 * ms
		}
		if rejected > 0 || len(at) != dispatchers || at[len(at)-1] > most {
			t.Errorf("%d dispatchers: %d calls, the last after %v, %d rejected", dispatchers, len(at), at[len(at)-1], rejected)
		}
	}
}

// TestUnconfirmedReturn_onlyWithoutOtherWorkers guards against requests to a draining worker that a possibly outdated list shows
// as ready. The worker gets none while another worker that may run them is ready. If they would be rejected otherwise, it is
// used.
func TestUnconfirmedReturn_onlyWithoutOtherWorkers(t *testing.T) {
	settings := baseSettings()
	settings.Classes[0].MachineKind = 1
	driver := newDriver(t, settings)
	infos := workers(3)
	for i := range infos {
		infos[i].MachineKind = 1
	}
	infos[2].MachineKind = 2 // may not run the requests
	unconfirmed, other := &infos[0], &infos[1]
	unconfirmed.State, unconfirmed.ReturnUnconfirmed = Draining, true
	driver.listWorkers(infos...)
	for _, to := range driver.submitJobs(1, 12) {
		if to != other.ID {
			t.Fatalf("a request was sent to %s while %s is ready", to, other.ID)
		}
	}
	other.State = Draining
	driver.listWorkers(infos...)
	if to := driver.submitJobs(100, 3); len(to) != 3 || to[0] != unconfirmed.ID {
		t.Errorf("with no worker ready, requests were sent to %v", to)
	}
	next := RequestID(1000)
	for what, change := range map[string]func(){
		"draining again":  func() { unconfirmed.ReturnUnconfirmed = false; driver.listWorkers(infos...) },
		"not listed":      func() { driver.listWorkers(infos[1:]...) },
		"detached":        func() { driver.handle(WorkerDetached{Worker: unconfirmed.ID}) },
		"of another kind": func() { unconfirmed.MachineKind = 2; driver.listWorkers(infos...) },
	} {
		unconfirmed.ReturnUnconfirmed, unconfirmed.MachineKind = true, 1
		driver.handle(WorkerReattached{Worker: unconfirmed.ID})
		driver.listWorkers(infos...)
		change()
		next++
		if to := driver.submitJobs(next, 1); len(to) != 0 {
			t.Errorf("%s: a request was sent to %v", what, to)
		}
	}
}

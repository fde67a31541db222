package scheduler

import (
	"slices"
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

// A detached worker gets nothing, whatever lists say, and its ejection is another matter. Reattached it warms up, is healthy
// and gets the first request.
func TestDetach(t *testing.T) {
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

// Dispatchers that start together do not poll the endpoint list at the same time, and all do within maxFirstPollDelay.
func TestPoll_firstCallsAreSpread(t *testing.T) {
	s := baseSettings()
	s.ListPolled, s.MaxPollInterval = true, 10*time.Second
	var first, last time.Duration = time.Hour, 0
	for i := range 2000 {
		s.DispatcherIndex, s.Dispatchers = i, 2000
		for _, a := range New(s, uint64(i)).Handle(start, EndpointsUpdated{ListKind: ListCached, Workers: zonedWorkers(1, 1)}) {
			if w, ok := a.(SetTimer); ok && w.Token == pollTimer {
				first, last = min(first, w.After), max(last, w.After)
			}
		}
	}
	if last-first < 2*time.Second || last > 3*time.Second+ms { // and an answer that is late is here within 6 s
		t.Errorf("2000 dispatchers call between %v and %v after their start", first, last)
	}
}

// After a failed poll, and each further one, no dispatcher waits for longer than MaxListRetryDelay, whatever the size of the
// fleet, nor do all poll at the same time.
func TestPoll_retryDelayIsBounded(t *testing.T) {
	var first, last time.Duration = time.Hour, 0
	for i := range 300 {
		s := baseSettings()
		s.ListPolled, s.MaxPollInterval, s.DispatcherIndex, s.Dispatchers = true, 10*time.Second, i, 300
		d := New(s, uint64(i))
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
		t.Errorf("300 dispatchers call again between %v and %v", first, last)
	}
}

// Eighty dispatchers that start together do not overrun a discovery service that serves twenty calls a second and rejects those
// that have waited for two seconds. The calls of two dispatchers are not spread.
func TestPoll_restartDoesNotOverrunDiscovery(t *testing.T) {
	for dispatchers, most := range map[int]time.Duration{2: 250 * ms, 80: 3*time.Second + ms} {
		var at []time.Duration
		for i := range dispatchers {
			s := baseSettings()
			s.ListPolled, s.MaxPollInterval, s.DispatcherIndex, s.Dispatchers = true, 10*time.Second, i, dispatchers
			for _, a := range New(s, uint64(i)).Handle(start, EndpointsUpdated{ListKind: ListCached, Workers: zonedWorkers(1, 1)}) {
				if w, ok := a.(SetTimer); ok && w.Token == pollTimer {
					at = append(at, w.After)
				}
			}
		}
		slices.Sort(at)
		free, away := time.Duration(0), 0 // the service works through calls in turn, each for 50 ms
		for _, t := range at {
			if free = max(free, t); free-t > 2*time.Second {
				away++
				continue
			}
			free += 50 * ms
		}
		if away > 0 || len(at) != dispatchers || at[len(at)-1] > most {
			t.Errorf("%d dispatchers: %d calls, the last after %v, %d turned away", dispatchers, len(at), at[len(at)-1], away)
		}
	}
}

package scheduler

import (
	"testing"
	"time"
)

// Where all loads are known and workers run cancelled jobs all the same, an attempt that waits at a worker is neither hedged
// nor given up.
func TestHedging_noneWhereLoadsKnown(t *testing.T) {
	for class := range 3 {
		s := baseSettings()
		s.MayHedge = true
		v := newDriver(t, s)
		v.scheduler.cancellations = cancellationEstimate{ownSquared: 1000, cancelledSquared: 1000, occupiedTimesOwn: 2000, occupiedTimesCancelled: 2000}
		v.listWorkers(workers(3)...)
		v.submit(1, class)
		if acts := v.advance(800 * ms); countActions[Send](acts) != 0 || countActions[Cancel](acts) != 0 {
			t.Errorf("class %d: jobs that wait got %v", class, acts)
		}
	}
}

// The round-trip time to another zone is no wait at the worker: it moves neither the overcommit nor the congestion, and is
// added to the hedge delay.
func TestRoundTripTime_isNoDelay(t *testing.T) {
	v := newPartialViewDriver(t)
	v.scheduler.roundTripTimes[0] = 40 * ms
	v.submit(1, 0)
	if acts := v.advance(hedgeDelay + 100*ms); countActions[Send](acts) != 0 {
		t.Errorf("copied within four ways: %v", acts)
	}
	if acts := v.advance(100 * ms); countActions[Send](acts) == 0 {
		t.Error("not copied after them")
	}
	v = newDriver(t, baseSettings())
	v.listWorkers(workers(2)...)
	for id := RequestID(1); id <= 20; id++ {
		v.submit(id, 0)
		v.now += 40 * ms
		v.handle(AttemptStarted{ID: id})
		v.finishServed(id, nil)
	}
	if v.scheduler.congestion > 0 || v.scheduler.overcommit < initialOvercommit || v.scheduler.roundTripTimes[0] != 40*ms {
		t.Errorf("starts after the way: jam %v, allowance %v, way %v", v.scheduler.congestion, v.scheduler.overcommit, v.scheduler.roundTripTimes[0])
	}
}

// hungWorkerShare plays many dispatchers over workers of which some take jobs and begin none, each job met by one dispatcher
// in turn, and gives the part of all first sends that went to those in the last third.
func hungWorkerShare(t *testing.T, dispatchers, n, hung, jobs int, every time.Duration) float64 {
	vs := newDispatchers(t, dispatchers, n)
	var bad, all int
	for _, v := range vs {
		v.scheduler.settings.MayHedge = true
	}
	is := map[WorkerID]bool{}
	for _, w := range workers(n)[:hung] {
		is[w.ID] = true
	}
	for i := range jobs {
		v := vs[i%dispatchers]
		id, r := RequestID(i+1), 0
		v.now = max(v.now, start+time.Duration(i)*every)
		acts := v.handle(RequestArrived{ID: id, Slots: 1, AffinityKey: uint64(i*7 + 1), Deadline: v.now + 5*time.Second})
		to := firstSendWorker(acts)
		if i > 2*jobs/3 {
			all++
			bad += oneIf(is[to])
		}
		for n := 0; is[to] && n < 4; n++ { // until a copy is begun
			end := v.now + 400*ms
			for to = ""; to == "" && v.now < end && v.scheduler.requests[id] != nil; {
				to = firstSendWorker(v.advance(10 * ms))
			}
			r++
		}
		if v.scheduler.requests[id] == nil || to == "" {
			v.handle(ClientLeft{ID: id})
			continue
		}
		v.handle(AttemptStarted{ID: id, Attempt: r})
		for a := range r {
			v.handle(AttemptFinished{ID: id, Attempt: a, Outcome: Cancelled})
		}
		v.advance(100 * ms)
		v.handle(AttemptFinished{ID: id, Attempt: r, Outcome: Served, Final: true})
	}
	return float64(bad) / float64(all)
}

// Workers that take jobs and start none are found by each dispatcher from the few requests that it sends there, and get less
// than their share of the first attempts.
func TestHedging_hungWorkersAreFound(t *testing.T) {
	const hung, n = 5, 30
	if got := hungWorkerShare(t, 8, n, hung, 1600, 20*ms); got > 0.65*hung/n {
		t.Errorf("%.3f of the jobs go to them first, %.3f of the workers are hung", got, float64(hung)/n)
	}
}

// newPartialViewDriver drives one of many dispatchers: of so many workers, all of which its jobs may go to as they have keys, it knows
// the loads newPartialViewDriver.
func newPartialViewDriver(t *testing.T) *driver {
	s := baseSettings()
	s.Dispatchers, s.MayHedge = 20, true
	v := newDriver(t, s)
	v.scheduler.affinityInUse = true
	v.listWorkers(zonedWorkers(30, 1)...)
	return v
}

// Where loads are known roughly, an attempt that does not start soon is hedged, and the first to start cancels the other. A
// request that is not idempotent is not hedged.
func TestHedging_attemptWithoutStart(t *testing.T) {
	for class, want := range map[int]int{0: 1, 1: 1, 2: 0} {
		v := newPartialViewDriver(t)
		v.submit(1, class)
		if got := countActions[Send](v.advance(hedgeDelay + 20*ms)); got != want {
			t.Errorf("class %d got %d copies, want %d", class, got, want)
		}
		if got := countActions[Cancel](v.handle(AttemptStarted{ID: 1, Attempt: want})); got != want {
			t.Errorf("class %d: %d attempts called off, want %d", class, got, want)
		}
	}
}

// Where requests go to a subset, hedges are few, and none with congestion: hedges whose cancelled jobs run all the same fill
// the queues.
func TestHedging_fewerWithCongestionInSubset(t *testing.T) {
	copies := func(jam float64) (sent int) {
		s := baseSettings()
		s.Dispatchers, s.MayHedge = 100, true
		v := newDriver(t, s)
		v.listWorkers(zonedWorkers(66, 1)...)
		v.scheduler.meanStay, v.scheduler.classes[1].workScale = 0.2, 0.3
		for id := RequestID(1); id <= 100; id++ {
			v.submit(id, 1)
			v.scheduler.congestion = jam
			for _, w := range v.scheduler.workers {
				v.scheduler.recordSignal(w) // they live
			}
			sent += countActions[Send](v.advance(200 * ms))
			v.handle(ClientLeft{ID: id})
			for i := range 3 {
				v.handle(AttemptFinished{ID: id, Attempt: i, Outcome: Cancelled})
			}
			v.now += 100 * ms
		}
		if len(v.scheduler.subset) == len(v.scheduler.workers) {
			t.Fatal("all workers are drawn from")
		}
		return sent
	}
	if few, none := copies(0), copies(maxCongestion); few == 0 || few > 50 || none > 0 {
		t.Errorf("of 100 jobs that wait %d were copied where few do, and %d where many do", few, none)
	}
}

// The more starts are delayed, the later an attempt is hedged.
func TestHedging_laterWithCongestion(t *testing.T) {
	for jam, want := range map[float64]time.Duration{0: hedgeDelay, 0.5: hedgeDelay + congestionHedgeDelay/2} {
		v := newPartialViewDriver(t)
		v.scheduler.congestion, v.scheduler.classes[1].workScale = jam, 0.3 // else there is no time for a copy
		v.submit(1, 1)
		if got := countActions[Send](v.advance(want - 10*ms)); got != 0 {
			t.Errorf("jam %v: copied before %v", jam, want)
		}
		if got := countActions[Send](v.advance(hedgeDelay + 20*ms)); got != 1 {
			t.Errorf("jam %v: %d copies after %v", jam, got, want)
		}
	}
}

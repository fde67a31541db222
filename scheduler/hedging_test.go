package scheduler

import (
	"testing"
	"time"
)

// TestHedging_noneWhereLoadsKnown checks that an attempt that waits at a worker is neither hedged nor cancelled if all loads are known and
// workers execute cancelled jobs.
func TestHedging_noneWhereLoadsKnown(t *testing.T) {
	for class := range 3 {
		settings := baseSettings()
		settings.MayHedge = true
		driver := newDriver(t, settings)
		driver.scheduler.cancellations = cancellationEstimate{ownSquared: 1000, cancelledSquared: 1000, occupiedTimesOwn: 2000, occupiedTimesCancelled: 2000}
		driver.listWorkers(workers(3)...)
		driver.submit(1, class)
		if actions := driver.advance(800 * ms); countActions[Send](actions) != 0 || countActions[Cancel](actions) != 0 {
			t.Errorf("class %d: expected no Send and no Cancel while the attempt waits, got %v", class, actions)
		}
	}
}

// TestRoundTripTime_notCountedAsWait checks that the round-trip time to a zone does not count as a wait at the worker: it changes
// neither the overcommit nor the congestion, and delays hedges.
func TestRoundTripTime_notCountedAsWait(t *testing.T) {
	driver := newPartialViewDriver(t)
	driver.scheduler.roundTripTimes[0] = 40 * ms
	driver.submit(1, 0)
	if actions := driver.advance(hedgeDelay + 100*ms); countActions[Send](actions) != 0 {
		t.Errorf("hedged before hedgeDelay and the round trips have passed: %v", actions)
	}
	if actions := driver.advance(100 * ms); countActions[Send](actions) == 0 {
		t.Error("not hedged after hedgeDelay and the round trips")
	}
	driver = newDriver(t, baseSettings())
	driver.listWorkers(workers(2)...)
	for id := RequestID(1); id <= 20; id++ {
		driver.submit(id, 0)
		driver.now += 40 * ms
		driver.handle(AttemptStarted{ID: id})
		driver.finishServed(id, nil)
	}
	if driver.scheduler.congestion > 0 || driver.scheduler.overcommit < initialOvercommit || driver.scheduler.roundTripTimes[0] != 40*ms {
		t.Errorf("all starts after one round trip of 40 ms: got congestion %v, overcommit %v, round-trip time %v", driver.scheduler.congestion, driver.scheduler.overcommit, driver.scheduler.roundTripTimes[0])
	}
}

// hungWorkerShare simulates many dispatchers and n workers. The first hung workers accept jobs and start none. Requests arrive at
// the dispatchers in turn. It returns the share of the first attempts, in the last third of the requests, that go to hung workers.
func hungWorkerShare(t *testing.T, dispatchers, n, hung, jobs int, interval time.Duration) float64 {
	t.Helper()
	drivers := newDispatchers(t, dispatchers, n)
	var toHung, all int
	for _, driver := range drivers {
		driver.scheduler.settings.MayHedge = true
	}
	hangs := map[WorkerID]bool{}
	for _, w := range workers(n)[:hung] {
		hangs[w.ID] = true
	}
	for i := range jobs {
		driver := drivers[i%dispatchers]
		id, hedges := RequestID(i+1), 0
		driver.now = max(driver.now, start+time.Duration(i)*interval)
		actions := driver.handle(RequestArrived{ID: id, Slots: 1, AffinityKey: uint64(i*7 + 1), Deadline: driver.now + 5*time.Second})
		to := firstSendWorker(actions)
		if i > 2*jobs/3 {
			all++
			toHung += oneIf(hangs[to])
		}
		for n := 0; hangs[to] && n < 4; n++ { // until a hedge starts
			end := driver.now + 400*ms
			for to = ""; to == "" && driver.now < end && driver.scheduler.requests[id] != nil; {
				to = firstSendWorker(driver.advance(10 * ms))
			}
			hedges++
		}
		if driver.scheduler.requests[id] == nil || to == "" {
			driver.handle(ClientLeft{ID: id})
			continue
		}
		driver.handle(AttemptStarted{ID: id, Attempt: hedges})
		for a := range hedges {
			driver.handle(AttemptFinished{ID: id, Attempt: a, Outcome: Cancelled})
		}
		driver.advance(100 * ms)
		driver.handle(AttemptFinished{ID: id, Attempt: hedges, Outcome: Served, Final: true})
	}
	return float64(toHung) / float64(all)
}

// TestHedging_hungWorkersAreFound checks that each dispatcher detects workers that accept jobs and start none, from the few requests that
// it sends there: they get at most 0.65 times the first attempts that they would get if all workers got equally many.
func TestHedging_hungWorkersAreFound(t *testing.T) {
	const hung, n = 5, 30
	if got := hungWorkerShare(t, 8, n, hung, 1600, 20*ms); got > 0.65*hung/n {
		t.Errorf("%.3f of the first attempts go to hung workers, %.3f of the workers are hung", got, float64(hung)/n)
	}
}

// newPartialViewDriver returns the driver of one of 20 dispatchers that knows the loads of its workers only roughly. All workers are
// candidates, because affinity is in use.
func newPartialViewDriver(t *testing.T) *driver {
	t.Helper()
	settings := baseSettings()
	settings.Dispatchers, settings.MayHedge = 20, true
	driver := newDriver(t, settings)
	driver.scheduler.affinityInUse = true
	driver.listWorkers(zonedWorkers(30, 1)...)
	return driver
}

// TestHedging_attemptWithoutStart checks that, if loads are known only roughly, an attempt that does not start within hedgeDelay is
// hedged, and that the first attempt to start cancels the other. A request that is not idempotent is not hedged.
func TestHedging_attemptWithoutStart(t *testing.T) {
	for class, want := range map[int]int{0: 1, 1: 1, 2: 0} {
		driver := newPartialViewDriver(t)
		driver.submit(1, class)
		if got := countActions[Send](driver.advance(hedgeDelay + 20*ms)); got != want {
			t.Errorf("class %d got %d hedges, want %d", class, got, want)
		}
		if got := countActions[Cancel](driver.handle(AttemptStarted{ID: 1, Attempt: want})); got != want {
			t.Errorf("class %d: %d attempts cancelled, want %d", class, got, want)
		}
	}
}

// TestHedging_fewerWithCongestionInSubset checks that of 100 requests to a subset at most 50 are hedged without congestion, and none with
// maxCongestion: if workers execute the cancelled jobs of hedges nevertheless, these fill the queues.
func TestHedging_fewerWithCongestionInSubset(t *testing.T) {
	hedges := func(congestion float64) (sent int) {
		settings := baseSettings()
		settings.Dispatchers, settings.MayHedge = 100, true
		driver := newDriver(t, settings)
		driver.listWorkers(zonedWorkers(66, 1)...)
		driver.scheduler.meanAttemptDuration, driver.scheduler.classes[1].workScale = 0.2, 0.3
		for id := RequestID(1); id <= 100; id++ {
			driver.submit(id, 1)
			driver.scheduler.congestion = congestion
			for _, w := range driver.scheduler.workers {
				driver.scheduler.recordSignal(w) // so that none counts as silent
			}
			sent += countActions[Send](driver.advance(200 * ms))
			driver.handle(ClientLeft{ID: id})
			for i := range 3 {
				driver.handle(AttemptFinished{ID: id, Attempt: i, Outcome: Cancelled})
			}
			driver.now += 100 * ms
		}
		if len(driver.scheduler.subset) == len(driver.scheduler.workers) {
			t.Fatal("all workers are in the subset")
		}
		return sent
	}
	if few, none := hedges(0), hedges(maxCongestion); few == 0 || few > 50 || none > 0 {
		t.Errorf("of 100 attempts that wait, %d were hedged without congestion and %d with maxCongestion", few, none)
	}
}

// TestHedging_laterWithCongestion checks that an attempt is hedged later if more starts are delayed.
func TestHedging_laterWithCongestion(t *testing.T) {
	for congestion, want := range map[float64]time.Duration{0: hedgeDelay, 0.5: hedgeDelay + congestionHedgeDelay/2} {
		driver := newPartialViewDriver(t)
		driver.scheduler.congestion, driver.scheduler.classes[1].workScale = congestion, 0.3 // otherwise there is no time for a hedge
		driver.submit(1, 1)
		if got := countActions[Send](driver.advance(want - 10*ms)); got != 0 {
			t.Errorf("congestion %v: hedged earlier than %v after the send", congestion, want)
		}
		if got := countActions[Send](driver.advance(hedgeDelay + 20*ms)); got != 1 {
			t.Errorf("congestion %v: got %d hedges after %v, want 1", congestion, got, want)
		}
	}
}

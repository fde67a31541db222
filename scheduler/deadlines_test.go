package scheduler

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// TestCancellationEstimate_executedShare checks that the estimate finds from reports whether workers execute cancelled jobs, although
// reports include the jobs of other dispatchers and cancellations are correlated with long queues. With few reports, or if most jobs
// are sent by other dispatchers, it stays below maxExecutedShare.
func TestCancellationEstimate_executedShare(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, test := range []struct {
		executed, others float64 // share of cancelled jobs that are executed; jobs of others, relative to own ones
		reports          int
		want             bool
	}{{0, 1, 400, false}, {1, 1, 400, true}, {1, 1, 4, false}, {1, 20, 400, false}, {0, 20, 400, false}} {
		var estimate cancellationEstimate
		for range test.reports {
			own := 2 * random.Float64()
			cancelled := max(own-1, 0) * random.Float64()
			estimate.observe(own+test.others*(0.5+random.Float64())*own+test.others*random.Float64()/2+test.executed*(1+test.others)*cancelled, own, cancelled)
		}
		if got := estimate.executedShare() >= maxExecutedShare; got != test.want {
			t.Errorf("%+v: got executed share %v", test, estimate.executedShare())
		}
	}
	driver := newDriver(t, baseSettings()) // a job cancelled before the next report is included in the estimate
	driver.listWorkers(workers(1)...)
	driver.submit(1, 0)
	driver.advance(500 * ms)
	driver.submit(2, 0)
	if driver.finishServed(2, &Report{Busy: 1, Requests: -1, FreeSlots: 1, Queue: 3}); driver.scheduler.cancellations.cancelledSquared <= 0 || driver.scheduler.cancellations.occupiedTimesCancelled <= 0 {
		t.Errorf("after a cancelled job: expected positive sums for it, got %+v", driver.scheduler.cancellations)
	}
}

// TestMaxStartWait_byEstimatedWork checks that a request with an estimate of its work may wait for as long as its latency objective and
// its work permit, regardless of the congestion.
func TestMaxStartWait_byEstimatedWork(t *testing.T) {
	driver := newDriver(t, baseSettings())
	driver.listWorkers(workers(1)...)
	driver.scheduler.congestion = 1
	waiting := &request{settings: driver.scheduler.settings, clientStartedAt: driver.now, deadline: driver.now + 2*time.Second, estimatedWork: 400 * ms}
	if got := driver.scheduler.maxStartWait(waiting); got != 600*ms { // latency objective + 2 x work - work
		t.Errorf("expected a maximum start wait of 600 ms, got %v", got)
	}
	waiting.estimatedWork = 29 * 400 * ms // it cannot be completed by the deadline
	if got := driver.scheduler.maxStartWait(waiting); got > 0 {
		t.Errorf("request that cannot be completed in time: expected no start wait, got %v", got)
	}
	waiting.estimatedWork = 0
	if got := driver.scheduler.maxStartWait(waiting); got != 100*ms {
		t.Errorf("request without an estimate: expected a maximum start wait of 100 ms, got %v", got)
	}
}

// TestDeadline_heavyJobWithAnyEstimate checks a job with 29 times the usual work of its class, with a right estimate, a wrong one or
// none: it gets one answer in time, it has no second attempt because it is not idempotent, and the logarithm of its class's usual runtime
// changes by at most 0.1.
func TestDeadline_heavyJobWithAnyEstimate(t *testing.T) {
	for _, hint := range []time.Duration{0, 100 * ms, 2900 * ms} {
		driver := newDriver(t, baseSettings())
		driver.listWorkers(workers(2)...)
		for id := RequestID(1); id <= 40; id++ {
			driver.handle(RequestArrived{ID: id, Class: 2, Slots: 1, EstimatedWork: 100 * ms, Deadline: driver.now + 2*time.Second})
			driver.handle(AttemptStarted{ID: id})
			driver.now += 100 * ms
			driver.finishServed(id, nil)
		}
		usual := driver.scheduler.classes[2].meanLogRuntime
		driver.handle(RequestArrived{ID: 41, Class: 2, Slots: 1, EstimatedWork: hint, Deadline: driver.now + 2*time.Second})
		driver.handle(AttemptStarted{ID: 41})
		actions := driver.advance(2200 * ms)
		if n := countActions[Send](actions); n != 0 {
			t.Errorf("estimate %v: expected no further Send, got %d", hint, n)
		}
		if got := countActions[Fail](actions); got != 1 {
			t.Errorf("estimate %v: expected 1 Fail by the deadline, got %d", hint, got)
		}
		if driver.handle(AttemptFinished{ID: 41, Worker: "w00", Outcome: TimedOut, Final: true}); math.Abs(driver.scheduler.classes[2].meanLogRuntime-usual) > 0.1 {
			t.Errorf("estimate %v: the usual runtime changed from %v to %v", hint, usual, driver.scheduler.classes[2].meanLogRuntime)
		}
	}
}

// TestGiveUp_attemptPastLatencyObjective checks that an attempt that waits at a worker and cannot meet its latency objective is
// cancelled, and its request rejected.
func TestGiveUp_attemptPastLatencyObjective(t *testing.T) {
	driver := newDriver(t, baseSettings())
	driver.listWorkers(zonedWorkers(1, 1)...)
	driver.submit(1, 0)
	actions := driver.advance(400 * ms)
	if countActions[Reject](actions) != 1 || countActions[Cancel](actions) != 1 {
		t.Errorf("idempotent request that waits past its latency objective: expected one Reject and one Cancel, got %v", actions)
	}
}

// TestMaxStartWait_shrinksWithCongestion checks that a request without an estimate of its work is given up sooner with congestion: if all
// requests waited for their maximum, some of those that start would be late.
func TestMaxStartWait_shrinksWithCongestion(t *testing.T) {
	for congestion, want := range map[float64]time.Duration{0: 350 * ms, 0.5: 225 * ms, 1: 100 * ms} {
		driver := newDriver(t, baseSettings())
		driver.listWorkers(workers(1)...)
		driver.scheduler.classes[1].workScale, driver.scheduler.congestion = 0.3, congestion // the latency objective is 200 ms, half the mean runtime 150 ms
		driver.submit(1, 1)
		if actions := driver.advance(want - 20*ms); countActions[Fail](actions) != 0 {
			t.Errorf("congestion %v: given up before %v", congestion, want)
		}
		if actions := driver.advance(60 * ms); countActions[Fail](actions) != 1 || countActions[Cancel](actions) != 1 {
			t.Errorf("congestion %v: not given up after %v: %v", congestion, want, actions)
		}
		if driver.scheduler.overcommit >= initialOvercommit { // its wait counts as a delayed start
			t.Errorf("congestion %v: expected a lower overcommit, got %v", congestion, driver.scheduler.overcommit)
		}
	}
}

// TestGiveUp_lateAttemptThatHasNotStarted checks that a request is given up if it is late, has not started and a late answer has no
// weight: its attempt is cancelled, so that it does not delay others in the worker's queue, and the request fails.
func TestGiveUp_lateAttemptThatHasNotStarted(t *testing.T) {
	for _, test := range []struct {
		class   int
		weight  float64 // of a late answer
		started bool
		want    bool
	}{{1, 0, false, true}, {2, 0, false, true}, {1, 0.5, false, false}, {1, 0, true, false}} {
		settings := baseSettings()
		settings.Classes[test.class].LateWeight = test.weight
		driver := newDriver(t, settings)
		driver.listWorkers(workers(1)...)
		driver.submit(1, test.class)
		if test.started {
			driver.handle(AttemptStarted{ID: 1})
		}
		actions := driver.advance(time.Second) // of 2 s until the deadline; the latency objective is 0.2 s
		if got := countActions[Cancel](actions) == 1 && countActions[Fail](actions) == 1; got != test.want {
			t.Errorf("%+v: got %d Cancel and %d Fail", test, countActions[Cancel](actions), countActions[Fail](actions))
		}
	}
}

package scheduler

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Reports show whether workers drop cancelled jobs, although the jobs of other dispatchers are in them and cancellations go
// with long queues. Few reports, or those of a fleet of many dispatchers, show nothing.
func TestCancellationEstimate(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, c := range []struct {
		kept, others float64
		reports      int
		want         bool
	}{{0, 1, 400, false}, {1, 1, 400, true}, {1, 1, 4, false}, {1, 20, 400, false}, {0, 20, 400, false}} {
		var seen cancellationEstimate
		for range c.reports {
			own := 2 * rng.Float64()
			off := max(own-1, 0) * rng.Float64()
			seen.observe(own+c.others*(0.5+rng.Float64())*own+c.others*rng.Float64()/2+c.kept*(1+c.others)*off, own, off)
		}
		if got := seen.undroppedShare() >= maxUndroppedShare; got != c.want {
			t.Errorf("%+v: seen %v kept", c, seen.undroppedShare())
		}
	}
	v := newDriver(t, baseSettings()) // a job that is given up leaves its trace in the next report
	v.listWorkers(workers(1)...)
	v.submit(1, 0)
	v.advance(500 * ms)
	v.submit(2, 0)
	if v.finishServed(2, &Report{Busy: 1, Requests: -1, FreeSlots: 1, Queue: 3}); v.scheduler.cancellations.cancelledSquared <= 0 || v.scheduler.cancellations.occupiedTimesCancelled <= 0 {
		t.Errorf("a job given up left %+v", v.scheduler.cancellations)
	}
}

// A request with an estimate of its work may wait for as long as that leaves, whatever the congestion.
func TestMaxStartWait_byEstimatedWork(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(workers(1)...)
	v.scheduler.congestion = 1
	r := &request{settings: v.scheduler.settings, firstAskedAt: v.now, deadline: v.now + 2*time.Second, estimatedWork: 400 * ms}
	if got := v.scheduler.maxStartWait(r); got != 600*ms { // the aim, and twice its need less the need itself
		t.Errorf("patience %v", got)
	}
	r.estimatedWork = 29 * 400 * ms // it can no more be done by the deadline
	if got := v.scheduler.maxStartWait(r); got > 0 {
		t.Errorf("patience of what cannot be done %v", got)
	}
	r.estimatedWork = 0
	if got := v.scheduler.maxStartWait(r); got != 100*ms {
		t.Errorf("patience without a hint %v", got)
	}
}

// A job 29 times as heavy as its class, with a wrong estimate or none: one answer in time, no second attempt of a request that
// is not idempotent, and the class's usual runtime does not move.
func TestDeadline_heavyJobWithAnyEstimate(t *testing.T) {
	for _, hint := range []time.Duration{0, 100 * ms, 2900 * ms} {
		v := newDriver(t, baseSettings())
		v.listWorkers(workers(2)...)
		for id := RequestID(1); id <= 40; id++ {
			v.handle(RequestArrived{ID: id, Class: 2, Slots: 1, EstimatedWork: 100 * ms, Deadline: v.now + 2*time.Second})
			v.handle(AttemptStarted{ID: id})
			v.now += 100 * ms
			v.finishServed(id, nil)
		}
		usual := v.scheduler.classes[2].meanLogRuntime
		v.handle(RequestArrived{ID: 41, Class: 2, Slots: 1, EstimatedWork: hint, Deadline: v.now + 2*time.Second})
		v.handle(AttemptStarted{ID: 41})
		acts := v.advance(2200 * ms)
		if n := countActions[Send](acts); n != 0 {
			t.Errorf("hint %v: sent %d times more", hint, n)
		}
		if got := countActions[Fail](acts); got != 1 {
			t.Errorf("hint %v: %d final answers by the deadline", hint, got)
		}
		if v.handle(AttemptFinished{ID: 41, Worker: "w00", Outcome: TimedOut, Final: true}); math.Abs(v.scheduler.classes[2].meanLogRuntime-usual) > 0.1 {
			t.Errorf("hint %v: the usual job changed from %v to %v", hint, usual, v.scheduler.classes[2].meanLogRuntime)
		}
	}
}

// An attempt that waits at a worker and cannot be in time is cancelled, and its request rejected.
func TestGiveUp_attemptPastLatencyObjective(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(zonedWorkers(1, 1)...)
	v.submit(1, 0)
	acts := v.advance(400 * ms)
	if countActions[Reject](acts) != 1 || countActions[Cancel](acts) != 1 {
		t.Errorf("a safe job that waits past its aim: %v", acts)
	}
}

// With congestion, a request without an estimate of its work is given up sooner: where all wait for as long as they may, some
// of what starts is late.
func TestMaxStartWait_shrinksWithCongestion(t *testing.T) {
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

// A request that has not started when a late answer is worth nothing is given up: its attempt is cancelled, so that it no
// longer delays others in the worker's queue, and the client gets its answer.
func TestGiveUp_lateAttemptThatHasNotStarted(t *testing.T) {
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

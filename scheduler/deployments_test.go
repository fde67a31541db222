package scheduler

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Where all loads are known and workers keep what is called off, what waits there is neither copied nor given up: each
// such job ran twice or for nobody. On a small fleet that made 1.5 calls a request, and 35% came back 'full'.
func TestNoSearchWhereLoadsAreKnown(t *testing.T) {
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

// What workers keep of what is called off shows in their reports, though others' jobs are in them and the called off ones
// stand where queues are long; few reports, or those of a fleet of many dispatchers, tell nothing.
func TestTracesOfWhatIsCalledOff(t *testing.T) {
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

// A worker runs a job of 10 s and tells of no progress: its silence says nothing, neither of it nor of what waits there.
// Each job of over a second once had its worker shunned.
func TestSilenceWithoutProgress(t *testing.T) {
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

// A job whose own need is told waits for as long as that leaves, however many wait: half an aim of 120 ms is less than
// the way to another zone and back.
func TestPatienceByTheHint(t *testing.T) {
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

// The way to another zone and back is no wait there: not for the allowance, nor for a copy.
func TestWayIsNoWait(t *testing.T) {
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

// A worker fails three jobs in five, at once, so that it seems idle: each success among them cleared what had been counted,
// and each of its classes had to fail three times for itself. It drew an eighth of all jobs of a day.
func TestOftenFailing(t *testing.T) {
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

// The allowance has sunk, and nothing is out: a job that is held back then relieves nobody, and nothing is heard that would
// raise the allowance again. Dispatchers among twenty held all their jobs for seconds while a quarter of the slots was free.
func TestIdleWorkerWhateverTheAllowance(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(workers(3)...)
	for _, w := range v.scheduler.workers {
		v.scheduler.recordSlots(w, 4)
		w.othersLoad, w.meanOthersLoad, w.reportedAt = 0.7, 0.7, v.now
	}
	v.scheduler.overcommit, v.scheduler.meanOthersLoad = minOvercommit, 0.7
	for id := RequestID(1); id <= 3; id++ {
		if v.submit(id, 0) == "" {
			t.Errorf("job %d is held while a worker with a free slot has none", id)
		}
	}
	if w := v.submit(4, 0); w != "" {
		t.Errorf("a second one went to %s", w)
	}
}

// A hint that is wrong, or none for a job 29 times as heavy as its class: one answer in time all the same, no repeat of
// what must not run twice, and the class's idea of its jobs is not thrown by one of them.
func TestHeavyJobWhateverTheHint(t *testing.T) {
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

// A worker has free slots and turns a job away, for want of memory: the next go elsewhere for as long as a job stays, and
// the job itself is sent on.
func TestFullWithFreeSlots(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(workers(2)...)
	for _, w := range v.scheduler.workers {
		v.scheduler.recordSlots(w, 4)
	}
	first := v.submit(1, 2)
	next := firstSendWorker(v.handle(AttemptFinished{ID: 1, Worker: first, Outcome: Full, Report: nil}))
	if next == "" || next == first {
		t.Fatalf("turned away at %s, sent on to %q", first, next)
	}
	for id := RequestID(2); id <= 4; id++ {
		if w := v.submit(id, 2); w == first {
			t.Errorf("job %d went to the worker that is full", id)
		}
	}
	v.now += 2 * time.Second
	if w := v.submit(5, 2); w != first {
		t.Errorf("2 s later a job went to %s, which holds four", w)
	}
}

// A keyed job that may have run is repeated in its zone alone, inside the window alone.
func TestKeyedRepeatInZoneAndWindow(t *testing.T) {
	for _, c := range []struct {
		after time.Duration
		local bool // another worker of the zone is there; else the same one again
		want  WorkerID
	}{{300 * ms, true, "w01"}, {300 * ms, false, "w00"}, {1200 * ms, true, ""}} {
		v := newDriver(t, baseSettings())
		ws := workers(3)
		ws[2].Zone = 1
		if !c.local {
			ws = []WorkerInfo{ws[0], ws[2]}
		}
		v.listWorkers(ws...)
		if w := v.submit(1, 1); w != "w00" {
			t.Fatalf("sent to %s", w)
		}
		v.handle(AttemptStarted{ID: 1})
		v.now += c.after // its window is a second
		if w := firstSendWorker(v.handle(AttemptFinished{ID: 1, Worker: "w00", Outcome: Reset, ConnectionIdle: -1})); w != c.want {
			t.Errorf("%+v: repeated at %q", c, w)
		}
	}
}

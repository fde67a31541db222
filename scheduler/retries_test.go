package scheduler

import (
	"testing"
	"time"
)

// A request with an idempotency key that may have executed is retried in its zone and inside its deduplication window alone.
func TestRetry_withKeyInZoneAndWindow(t *testing.T) {
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

// A retry with an idempotency key must have left inside the deduplication window of the first attempt that may have executed. A
// first attempt, or one of an idempotent class, has no such bound.
func TestRetry_sendByInsideDeduplicationWindow(t *testing.T) {
	s := baseSettings()
	s.Classes[1].DeduplicationWindow = 700 * ms
	v := newDriver(t, s)
	v.listWorkers(workers(3)...)
	for class, bound := range []bool{false, true} {
		id, at := RequestID(1+class), v.now
		by := func(acts []Action) (by []Clock) {
			for _, a := range acts {
				if s, ok := a.(Send); ok && s.ID == id {
					by = append(by, s.SendBy)
				}
			}
			return by
		}
		if got := by(v.handle(RequestArrived{ID: id, Class: class, Slots: 1, Deadline: v.now + 5*time.Second})); len(got) != 1 || got[0] != 0 {
			t.Fatalf("class %d, the first attempt: %v", class, got)
		}
		v.now += 100 * ms
		got := by(v.handle(AttemptFinished{ID: id, Outcome: Reset}))
		if len(got) != 1 || bound != (got[0] > 0) || bound && (got[0] > at+700*ms || got[0] < at+600*ms) {
			t.Errorf("class %d, a further attempt 100 ms later: by %v, the first was at %v", class, got, at)
		}
		v.handle(ClientLeft{ID: id})
	}
	v.handle(RequestArrived{ID: 9, Class: 1, Slots: 1, Deadline: v.now + 5*time.Second})
	v.now += 700 * ms
	if acts := v.handle(AttemptFinished{ID: 9, Outcome: Reset}); countActions[Send](acts) != 0 {
		t.Errorf("behind the window: %v", acts)
	}
}

// An invalid request fails at once, is not retried, and does not count against its worker.
func TestInvalidRequest_isNotTheWorkersFault(t *testing.T) {
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

// What follows each outcome of a first attempt, by idempotency: a retry at another worker, or a failure.
func TestRetry_byOutcomeAndIdempotency(t *testing.T) {
	const safe, keyed, unsafe = 0, 1, 2
	for _, c := range []struct {
		class   int
		outcome Outcome
		again   bool
	}{
		{safe, Errored, true}, {safe, Reset, true}, {safe, Full, true}, {safe, NoConnect, true}, {safe, NeverSent, true},
		{keyed, Errored, true}, {keyed, Reset, true}, {keyed, Full, true}, {keyed, NoConnect, true},
		{unsafe, Errored, false}, {unsafe, Reset, false}, {unsafe, TimedOut, false}, {unsafe, Cancelled, false},
		{unsafe, Full, true}, {unsafe, NoConnect, true}, {unsafe, NeverSent, true},
	} {
		v := newDriver(t, baseSettings())
		v.listWorkers(workers(3)...)
		first := v.submit(1, c.class)
		acts := v.handle(AttemptFinished{ID: 1, Worker: first, Outcome: c.outcome})
		next := firstSendWorker(acts)
		if (next != "") != c.again || next == first || countActions[Fail](acts) == 1 == c.again {
			t.Errorf("class %d, outcome %d: %v, want again %v", c.class, c.outcome, acts, c.again)
		}
	}
}

// A request with an idempotency key that may have executed is not retried in another zone.
func TestRetry_withKeyStaysInZone(t *testing.T) {
	v := newDriver(t, baseSettings())
	ws := workers(2)
	ws[1].Zone = 1
	v.listWorkers(ws...)
	first := v.submit(1, 1)
	if acts := v.handle(AttemptFinished{ID: 1, Worker: first, Outcome: Reset}); firstSendWorker(acts) != "" && firstSendWorker(acts) != first {
		t.Errorf("sent on to another zone: %v", acts)
	}
}

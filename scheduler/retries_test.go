package scheduler

import (
	"testing"
	"time"
)

// TestRetry_withKeyInZoneAndWindow checks that a request with an idempotency key that may have executed is retried only in its
// deduplication zone and window.
func TestRetry_withKeyInZoneAndWindow(t *testing.T) {
	for _, test := range []struct {
		after time.Duration
		local bool // another worker of the zone is listed; otherwise the same one again
		want  WorkerID
	}{{300 * ms, true, "w01"}, {300 * ms, false, "w00"}, {1200 * ms, true, ""}} {
		driver := newDriver(t, baseSettings())
		infos := workers(3)
		infos[2].Zone = 1
		if !test.local {
			infos = []WorkerInfo{infos[0], infos[2]}
		}
		driver.listWorkers(infos...)
		if w := driver.submit(1, 1); w != "w00" {
			t.Fatalf("expected the first attempt at w00, got %s", w)
		}
		driver.handle(AttemptStarted{ID: 1})
		driver.now += test.after // the deduplication window is a second
		if w := firstSendWorker(driver.handle(AttemptFinished{ID: 1, Worker: "w00", Outcome: Reset, ConnectionIdle: -1})); w != test.want {
			t.Errorf("%+v: got a retry at %q", test, w)
		}
	}
}

// TestRetry_sendByInsideDeduplicationWindow checks that the SendBy of a retry with an idempotency key is inside the deduplication window
// of the first attempt that may have executed, and at most 100 ms before the window's end. A first attempt and an attempt of an
// idempotent class have no SendBy.
func TestRetry_sendByInsideDeduplicationWindow(t *testing.T) {
	settings := baseSettings()
	settings.Classes[1].DeduplicationWindow = 700 * ms
	driver := newDriver(t, settings)
	driver.listWorkers(workers(3)...)
	for class, bound := range []bool{false, true} {
		id, at := RequestID(1+class), driver.now
		sendByOf := func(actions []Action) (sendBy []Instant) {
			for _, a := range actions {
				if send, ok := a.(Send); ok && send.ID == id {
					sendBy = append(sendBy, send.SendBy)
				}
			}
			return sendBy
		}
		if got := sendByOf(driver.handle(RequestArrived{ID: id, Class: class, Slots: 1, Deadline: driver.now + 5*time.Second})); len(got) != 1 || got[0] != 0 {
			t.Fatalf("class %d, first attempt: expected one Send with SendBy 0, got SendBy %v", class, got)
		}
		driver.now += 100 * ms
		got := sendByOf(driver.handle(AttemptFinished{ID: id, Outcome: Reset}))
		if len(got) != 1 || bound != (got[0] > 0) || bound && (got[0] > at+700*ms || got[0] < at+600*ms) {
			t.Errorf("class %d: got a retry after 100 ms with SendBy %v, the first attempt was at %v", class, got, at)
		}
		driver.handle(ClientLeft{ID: id})
	}
	driver.handle(RequestArrived{ID: 9, Class: 1, Slots: 1, Deadline: driver.now + 5*time.Second})
	driver.now += 700 * ms
	if actions := driver.handle(AttemptFinished{ID: 9, Outcome: Reset}); countActions[Send](actions) != 0 {
		t.Errorf("after the deduplication window: expected no Send, got %v", actions)
	}
}

// TestInvalidRequest_notCountedAgainstWorker checks that an invalid request fails at once, is not retried, and does not count against its
// worker.
func TestInvalidRequest_notCountedAgainstWorker(t *testing.T) {
	driver := newDriver(t, baseSettings())
	driver.listWorkers(workers(2)...)
	for id := RequestID(1); id <= 4; id++ {
		worker := driver.submit(id, 0)
		if actions := driver.handle(AttemptFinished{ID: id, Worker: worker, Outcome: InvalidRequest}); countActions[Fail](actions) != 1 || countActions[Send](actions) != 0 {
			t.Errorf("invalid request %d: expected one Fail and no Send, got %v", id, actions)
		}
	}
	for _, worker := range driver.scheduler.workers {
		if !driver.scheduler.healthy(worker, 0) || worker.ownSlots != 0 || worker.classEjections[0].failureCount != 0 {
			t.Errorf("%s: expected healthy, 0 own slots and 0 failures, got healthy %v, %v own slots, %v failures", worker.ID, driver.scheduler.healthy(worker, 0), worker.ownSlots, worker.classEjections[0].failureCount)
		}
	}
}

// TestRetry_byOutcomeAndIdempotency checks, for each idempotency and outcome of a first attempt, whether the request is retried at
// another worker or fails.
func TestRetry_byOutcomeAndIdempotency(t *testing.T) {
	const idempotent, withKey, nonIdempotent = 0, 1, 2
	for _, test := range []struct {
		class   int
		outcome Outcome
		retried bool
	}{
		{idempotent, Errored, true}, {idempotent, Reset, true}, {idempotent, Full, true}, {idempotent, NoConnect, true}, {idempotent, NeverSent, true},
		{withKey, Errored, true}, {withKey, Reset, true}, {withKey, Full, true}, {withKey, NoConnect, true},
		{nonIdempotent, Errored, false}, {nonIdempotent, Reset, false}, {nonIdempotent, TimedOut, false}, {nonIdempotent, Cancelled, false},
		{nonIdempotent, Full, true}, {nonIdempotent, NoConnect, true}, {nonIdempotent, NeverSent, true},
	} {
		driver := newDriver(t, baseSettings())
		driver.listWorkers(workers(3)...)
		first := driver.submit(1, test.class)
		actions := driver.handle(AttemptFinished{ID: 1, Worker: first, Outcome: test.outcome})
		next := firstSendWorker(actions)
		if (next != "") != test.retried || next == first || countActions[Fail](actions) == 1 == test.retried {
			t.Errorf("class %d, outcome %d: got %v, want a retry: %v", test.class, test.outcome, actions, test.retried)
		}
	}
}

// TestRetry_withKeyStaysInZone checks that a request with an idempotency key that may have executed is not retried in another zone.
func TestRetry_withKeyStaysInZone(t *testing.T) {
	driver := newDriver(t, baseSettings())
	infos := workers(2)
	infos[1].Zone = 1
	driver.listWorkers(infos...)
	first := driver.submit(1, 1)
	if actions := driver.handle(AttemptFinished{ID: 1, Worker: first, Outcome: Reset}); firstSendWorker(actions) != "" && firstSendWorker(actions) != first {
		t.Errorf("expected no retry in another zone, got %v", actions)
	}
}

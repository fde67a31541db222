package scheduler

import (
	"math"
	"testing"
	"time"
)

// TestArrival_shortDeadlineIsNoRetry checks that a request with a short deadline is not treated as a client's retry of an old request.
func TestArrival_shortDeadlineIsNoRetry(t *testing.T) {
	driver := newDriver(t, baseSettings())
	driver.listWorkers(zonedWorkers(2, 1)...)
	driver.submit(1, 0)
	driver.finishServed(1, nil)
	actions := driver.handle(RequestArrived{ID: 2, Slots: 1, Deadline: driver.now + 300*ms})
	if countActions[Send](actions) != 1 {
		t.Errorf("request with 300 ms left: expected one Send, got %v", actions)
	}
}

// TestArrival_pastDeadlineIsRejected checks that a request past its deadline is rejected at once.
func TestArrival_pastDeadlineIsRejected(t *testing.T) {
	driver := newDriver(t, baseSettings())
	driver.listWorkers(workers(1)...)
	actions := driver.handle(RequestArrived{ID: 1, Slots: 1, Deadline: driver.now - time.Second})
	if countActions[Reject](actions) != 1 || countActions[Send](actions) != 0 {
		t.Errorf("request past its deadline: expected one Reject and no Send, got %v", actions)
	}
}

// TestQueue_requestsWithoutWorkerAreRejected checks that a request is rejected by its deadline if there is no worker to send it to.
func TestQueue_requestsWithoutWorkerAreRejected(t *testing.T) {
	draining := WorkerInfo{ID: "w", State: Draining}
	for name, c := range map[string]struct {
		list  []WorkerInfo
		slots float64
	}{"empty list": {nil, 1}, "all draining": {[]WorkerInfo{draining}, 1}, "NaN slots": {nil, math.NaN()}} {
		driver := newDriver(t, baseSettings())
		driver.listWorkers(c.list...)
		driver.handle(RequestArrived{ID: 1, Class: 2, Slots: c.slots, Deadline: driver.now + 2*time.Second})
		driver.advance(2 * time.Second)
		if countActions[Reject](driver.allActions) != 1 || countActions[Send](driver.allActions)+countActions[Fail](driver.allActions) != 0 {
			t.Errorf("%s: expected one Reject, no Send and no Fail, got %v", name, driver.allActions)
		}
	}
}

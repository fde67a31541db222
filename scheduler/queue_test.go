package scheduler

import (
	"math"
	"testing"
	"time"
)

// A client that comes with little time left is not taken for an old retry.
func TestArrival_impatientClientIsNoRetry(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(zonedWorkers(2, 1)...)
	v.submit(1, 0)
	v.finishServed(1, nil)
	acts := v.handle(RequestArrived{ID: 2, Slots: 1, Deadline: v.now + 300*ms})
	if countActions[Send](acts) != 1 {
		t.Errorf("a client with 300 ms left got %v", acts)
	}
}

// A request past its deadline is rejected at once.
func TestArrival_pastDeadlineIsRejected(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(workers(1)...)
	acts := v.handle(RequestArrived{ID: 1, Slots: 1, Deadline: v.now - time.Second})
	if countActions[Reject](acts) != 1 || countActions[Send](acts) != 0 {
		t.Errorf("a request past its deadline got %v", acts)
	}
}

// Without a worker to send to, the client gets its rejection in time.
func TestQueue_requestsWithoutWorkerAreRejected(t *testing.T) {
	draining := WorkerInfo{ID: "w", State: Draining}
	for name, c := range map[string]struct {
		list  []WorkerInfo
		slots float64
	}{"empty list": {nil, 1}, "all drain": {[]WorkerInfo{draining}, 1}, "no number": {nil, math.NaN()}} {
		v := newDriver(t, baseSettings())
		v.listWorkers(c.list...)
		v.handle(RequestArrived{ID: 1, Class: 2, Slots: c.slots, Deadline: v.now + 2*time.Second})
		v.advance(2 * time.Second)
		if countActions[Reject](v.allActions) != 1 || countActions[Send](v.allActions)+countActions[Fail](v.allActions) != 0 {
			t.Errorf("%s: got %v", name, v.allActions)
		}
	}
}

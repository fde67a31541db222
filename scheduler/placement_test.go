package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// TestPlacement_growingLoadGetsFewerRequests checks that a worker whose load grows over time gets less than an equal share of the requests.
func TestPlacement_growingLoadGetsFewerRequests(t *testing.T) {
	scheduler := newSchedulers(baseSettings(), 300, 1, zonedWorkers(100, 1))[0]
	growing := scheduler.subset[0]
	got, id := map[bool]int{}, RequestID(0)
	for i := range 60 {
		scheduler.now += 200 * ms
		scheduler.applyReport(growing, loadReport(min(1, 0.3+0.02*float64(i)), 1))
		for _, w := range scheduler.subset[1:] {
			scheduler.applyReport(w, loadReport(0.3, 3))
		}
		id++
		to := firstSendWorker(scheduler.Handle(scheduler.now, RequestArrived{ID: id, Slots: 1, Deadline: scheduler.now + time.Second}))
		got[to == growing.ID]++
		scheduler.Handle(scheduler.now, AttemptFinished{ID: id, Outcome: Served, Final: true})
	}
	if got[true] >= 60/len(scheduler.subset) {
		t.Errorf("the worker with growing load, one of %d, got %d of 60 requests", len(scheduler.subset), got[true])
	}
}

// TestPlacement_leastLoadedRoundRobin checks that requests go round robin among workers of equal load, and otherwise to the worker with
// the lowest reported load.
func TestPlacement_leastLoadedRoundRobin(t *testing.T) {
	driver := newDriver(t, baseSettings())
	driver.listWorkers(workers(3)...)
	got := fmt.Sprint(driver.submit(1, 0), driver.submit(2, 0), driver.submit(3, 0), driver.submit(4, 0))
	if got != "w00w01w02w00" {
		t.Errorf("workers of equal load: expected w00w01w02w00, got %s", got)
	}
	driver.finishServed(2, loadReport(0.9, 1))
	driver.finishServed(3, loadReport(0, 4))
	if w := driver.submit(5, 0); w != "w02" {
		t.Errorf("lowest reported load at w02: expected a send there, got %s", w)
	}
}

// TestPlacement_rotationStartsAtDispatcherIndex checks that each dispatcher starts the rotation at its own index.
func TestPlacement_rotationStartsAtDispatcherIndex(t *testing.T) {
	settings := baseSettings()
	settings.DispatcherIndex = 2
	driver := newDriver(t, settings)
	driver.listWorkers(workers(3)...)
	if w := driver.submit(1, 0); w != "w02" {
		t.Errorf("dispatcher 2: expected the first send to w02, got %s", w)
	}
}

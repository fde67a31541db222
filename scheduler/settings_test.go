package scheduler

import (
	"math"
	"testing"
	"time"
)

// TestNew_invalidSettings checks that requests are sent despite invalid settings and endpoint lists.
func TestNew_invalidSettings(t *testing.T) {
	for _, s := range []Settings{
		{DispatcherIndex: -4, Dispatchers: -1}, {DispatcherIndex: 9, Dispatchers: 3}, {DispatcherIndex: math.MaxInt, Dispatchers: 2},
		{CrossZoneCost: math.NaN(), Zone: math.MinInt}, {ListPolled: true, MaxPollInterval: -time.Second, MaxAttempts: -3},
	} {
		driver := newDriver(t, s)
		driver.listWorkers(append(zonedWorkers(40, 3), WorkerInfo{ID: "odd", Zone: math.MaxInt, MachineKind: -9, Weight: math.NaN()},
			WorkerInfo{ID: "odd", Zone: math.MinInt, Weight: -1}, WorkerInfo{ID: "late", StartedAt: start + time.Hour})...)
		for id := RequestID(1); id <= 30; id++ {
			if driver.submit(id, 0) == "" {
				t.Errorf("settings %+v: request %d was not sent", s, id)
			}
			driver.handle(AttemptFinished{ID: id, Outcome: Served, Final: true, Report: loadReport(0.2, 3)})
			driver.now += 100 * ms
		}
	}
}

// TestSettingsChanged_openRequestsUnchanged checks that new settings apply only to later requests: an open request keeps its maximum
// of attempts and its class's idempotency, an added class has its own, and classes keep their numbers.
func TestSettingsChanged_openRequestsUnchanged(t *testing.T) {
	driver := newDriver(t, baseSettings())
	driver.listWorkers(workers(3)...)
	arrive := func(id RequestID, class int) {
		driver.handle(RequestArrived{ID: id, Class: class, Slots: 1, Deadline: driver.now + driver.scheduler.settings.Classes[class].Deadline})
	}
	arrive(1, 0)
	next := baseSettings()
	next.MaxAttempts = 1
	added := next.Classes[2] // not idempotent
	next.Classes = append(next.Classes, added)
	driver.handle(SettingsChanged{Settings: next})
	arrive(2, 0)
	arrive(3, 3)
	for id, want := range map[RequestID]int{1: 1, 2: 0, 3: 0} {
		if n := countActions[Send](driver.handle(AttemptFinished{ID: id, Outcome: Reset})); n != want {
			t.Errorf("request %d: got %d further sends, want %d", id, n, want)
		}
	}
}

package scheduler

import "testing"

// New settings hold for what comes from now on: an open request keeps its attempts and its class's effect, a new
// class has its own, and numbers of classes stay.
func TestRetuned(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(workers(3)...)
	arrive := func(id RequestID, class int) {
		v.handle(RequestArrived{ID: id, Class: class, Slots: 1, Deadline: v.now + v.scheduler.settings.Classes[class].Deadline})
	}
	arrive(1, 0)
	next := baseSettings()
	next.MaxAttempts = 1
	fresh := next.Classes[2] // unsafe
	next.Classes = append(next.Classes, fresh)
	v.handle(SettingsChanged{Settings: next})
	arrive(2, 0)
	arrive(3, 3)
	for id, want := range map[RequestID]int{1: 1, 2: 0, 3: 0} {
		if n := countActions[Send](v.handle(AttemptFinished{ID: id, Outcome: Reset})); n != want {
			t.Errorf("request %d: sent %d times more, want %d", id, n, want)
		}
	}
}

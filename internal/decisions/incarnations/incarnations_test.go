package incarnations

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"brassdale/scheduler"
)

// Whatever one of the two wall clocks does, no worker is taken to be older than it is by more than the time in which nothing was
// told, and one that starts while lists come is never taken to be older than it is at all. One that started long before the
// newest is not taken for a new one for that.
func TestTracker_neverOverestimatesAge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawStep := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(-2*int64(time.Hour), 2*int64(time.Hour)).Draw(t, name))
		}
		const epoch = scheduler.Clock(1e18)
		ownWall, now := drawStep("own wall clock"), scheduler.Clock(0)
		truth := map[scheduler.WorkerID]scheduler.Clock{}
		stamps := map[scheduler.WorkerID]scheduler.Clock{}
		tracker := &Tracker{}
		var first []WorkerStart
		for _, id := range []scheduler.WorkerID{"a", "b", "c"} {
			age := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "age"))
			truth[id], stamps[id] = -age, epoch-age
			first = append(first, WorkerStart{id, stamps[id]})
		}
		check := func(starts []WorkerStart, at []scheduler.Clock) {
			for i, l := range starts {
				if at[i] < truth[l.ID] {
					t.Fatalf("%s is taken to be %v older than it is", l.ID, truth[l.ID]-at[i])
				}
			}
		}
		check(first, tracker.Update(ListTime{Now: now, Wall: epoch + ownWall, SinceLastList: 1 << 62}, first))
		stampOffset := time.Duration(0)
		for range 20 {
			now += scheduler.Clock(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "later"))
			if rapid.IntRange(0, 3).Draw(t, "a clock is set") == 0 {
				ownWall, stampOffset = drawStep("own wall clock"), drawStep("clock that stamps")
			}
			id := rapid.SampledFrom([]scheduler.WorkerID{"a", "b", "c", "d", "e"}).Draw(t, "id")
			if rapid.Bool().Draw(t, "starts") {
				stamp := epoch + now + stampOffset
				if stamp == stamps[id] { // a clock set back to the nanosecond of the start before: nobody could tell the two apart
					stamp++
				}
				truth[id], stamps[id] = now, stamp
			}
			if stamps[id] == 0 {
				continue
			}
			lines := []WorkerStart{{id, stamps[id]}}
			check(lines, tracker.Update(ListTime{Now: now, Wall: epoch + now + ownWall, SinceLastList: time.Second}, lines))
		}
	})
}

// With clocks alike, a worker in the first list of a process is as old as it is, less the age of the newest at the most.
func TestTracker_firstList(t *testing.T) {
	tracker := &Tracker{}
	const now, wall = scheduler.Clock(time.Hour), scheduler.Clock(1e18)
	startedAt := tracker.Update(ListTime{Now: now, Wall: wall, SinceLastList: 1 << 62}, []WorkerStart{{"old", wall - scheduler.Clock(30*time.Second)}, {"young", wall - scheduler.Clock(2*time.Second)}, {"long ago", 0}})
	if old, young := now-startedAt[0], now-startedAt[1]; old != 28*time.Second || young != 0 || startedAt[2] != 0 {
		t.Errorf("%v, %v, %v", old, young, startedAt[2])
	}
	// Behind eight seconds in which nothing was told, a start lies no further back than these.
	later := now + 8*time.Second
	startedAt = tracker.Update(ListTime{Now: later, Wall: wall + 8*time.Second, SinceLastList: 8 * time.Second},
		[]WorkerStart{{"old", wall + time.Second}, {"young", wall + 5*time.Second}})
	if old, young := later-startedAt[0], later-startedAt[1]; old != 4*time.Second || young != 0 {
		t.Errorf("%v, %v", old, young)
	}
}

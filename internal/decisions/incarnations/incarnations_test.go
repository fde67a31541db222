package incarnations

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"brassdale/internal/testsupport/property"
	"brassdale/scheduler"
)

// TestTracker_neverOverestimatesAge checks guarantees 1 to 3: however the two wall clocks are stepped, no worker is taken to be older than
// it is.
func TestTracker_neverOverestimatesAge(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		drawStep := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(-2*int64(time.Hour), 2*int64(time.Hour)).Draw(t, name))
		}
		const epoch = scheduler.Instant(1e18)
		ownWall, now := drawStep("own wall clock"), scheduler.Instant(0)
		truth := map[scheduler.WorkerID]scheduler.Instant{}
		stamps := map[scheduler.WorkerID]scheduler.Instant{}
		tracker := &Tracker{}
		var first []WorkerStart
		for _, id := range []scheduler.WorkerID{"a", "b", "c"} {
			age := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "age"))
			truth[id], stamps[id] = -age, epoch-age
			first = append(first, WorkerStart{id, stamps[id]})
		}
		check := func(starts []WorkerStart, startedAt []scheduler.Instant) {
			for i, start := range starts {
				if startedAt[i] < truth[start.ID] {
					t.Fatalf("%s is taken to be %v older than it is", start.ID, truth[start.ID]-startedAt[i])
				}
			}
		}
		check(first, tracker.Update(ListTime{Now: now, Wall: epoch + ownWall, SinceLastList: 1 << 62}, first))
		stampOffset := time.Duration(0)
		for range 20 {
			now += scheduler.Instant(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "later"))
			if rapid.IntRange(0, 3).Draw(t, "a clock is set") == 0 {
				ownWall, stampOffset = drawStep("own wall clock"), drawStep("clock that stamps")
			}
			id := rapid.SampledFrom([]scheduler.WorkerID{"a", "b", "c", "d", "e"}).Draw(t, "id")
			if rapid.Bool().Draw(t, "starts") {
				stamp := epoch + now + stampOffset
				if stamp == stamps[id] { // a clock set back to the same nanosecond: the two starts cannot be distinguished
					stamp++
				}
				truth[id], stamps[id] = now, stamp
			}
			if stamps[id] == 0 {
				continue
			}
			update := []WorkerStart{{id, stamps[id]}}
			check(update, tracker.Update(ListTime{Now: now, Wall: epoch + now + ownWall, SinceLastList: time.Second}, update))
		}
	})
}

// TestTracker_firstList checks guarantee 2: if the clocks agree, the age of a worker in the first list of a process is underestimated
// by at most the age of the newest worker.
func TestTracker_firstList(t *testing.T) {
	tracker := &Tracker{}
	const now, wall = scheduler.Instant(time.Hour), scheduler.Instant(1e18)
	startedAt := tracker.Update(ListTime{Now: now, Wall: wall, SinceLastList: 1 << 62},
		[]WorkerStart{{"old", wall - 30*time.Second}, {"young", wall - 2*time.Second}, {"long ago", 0}})
	if old, young := now-startedAt[0], now-startedAt[1]; old != 28*time.Second || young != 0 || startedAt[2] != 0 {
		t.Errorf("first list: got ages %v of old and %v of young, start %v of long ago; want 28 s, 0 and 0", old, young, startedAt[2])
	}
	// After a gap of 8 s, the age is at most the gap.
	later := now + 8*time.Second
	startedAt = tracker.Update(ListTime{Now: later, Wall: wall + 8*time.Second, SinceLastList: 8 * time.Second},
		[]WorkerStart{{"old", wall + time.Second}, {"young", wall + 5*time.Second}})
	if old, young := later-startedAt[0], later-startedAt[1]; old != 4*time.Second || young != 0 {
		t.Errorf("after a gap: got ages %v of old and %v of young, want 4 s and 0", old, young)
	}
}

package polling

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"brassdale/internal/testsupport/property"
)

// TestRewatchDelay_insideWatchGap checks guarantees 3 and 5: the next call of a watch is made inside the gap, and not at once after a
// response without a change.
func TestRewatchDelay_insideWatchGap(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		changed := rapid.Bool().Draw(t, "changed")
		dispatchers := rapid.IntRange(-1, 1<<30).Draw(t, "dispatchers")
		early := rapid.Bool().Draw(t, "early")
		got := RewatchDelay(changed, early, dispatchers, rapid.Float64Range(0, 1).Draw(t, "chance"))
		if got < 0 || got > WatchGap-WatchGapMargin || !changed && got < unchangedRewatchDelay || !changed && early && got < earlyRewatchDelay {
			t.Fatalf("the next call is made after %v, too soon or outside the gap", got)
		}
	})
}

// TestRewatchDelay_spread checks guarantee 4: the calls of 80 dispatchers that received a change at once are spread over 100 ms or more,
// the calls of two over at most 5 ms.
func TestRewatchDelay_spread(t *testing.T) {
	for dispatchers, want := range map[int][2]time.Duration{1: {0, 0}, 2: {1, 5 * time.Millisecond}, 80: {100 * time.Millisecond, WatchGap}} {
		if got := RewatchDelay(true, false, dispatchers, 1) - RewatchDelay(true, false, dispatchers, 0); got < want[0] || got > want[1] {
			t.Errorf("%d dispatchers: the calls are spread over %v", dispatchers, got)
		}
	}
}

package polling

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A watch goes on in time, after an answer that told nothing not at once, and never later for chance alone than its
// spread.
func TestRewatchDelay_insideWatchGap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fresh := rapid.Bool().Draw(t, "fresh")
		n := rapid.IntRange(-1, 1<<30).Draw(t, "dispatchers")
		early := rapid.Bool().Draw(t, "early")
		got := RewatchDelay(fresh, early, n, rapid.Float64Range(0, 1).Draw(t, "chance"))
		if got < 0 || got > WatchGap-WatchGapMargin || !fresh && got < unchangedRewatchDelay || !fresh && early && got < earlyRewatchDelay {
			t.Fatalf("after %v", got)
		}
	})
}

// Eighty dispatchers that hear of a change at once ask again over at least 100 ms, two within 5 ms.
func TestRewatchDelay_spread(t *testing.T) {
	for n, want := range map[int][2]time.Duration{1: {0, 0}, 2: {1, 5 * time.Millisecond}, 80: {100 * time.Millisecond, WatchGap}} {
		if got := RewatchDelay(true, false, n, 1) - RewatchDelay(true, false, n, 0); got < want[0] || got > want[1] {
			t.Errorf("%d dispatchers: spread over %v", n, got)
		}
	}
}

package pacing

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"brassdale/brain"
)

// A watch goes on in time, after an answer that told nothing not at once, and never later for chance alone than its
// spread.
func TestInsideTheGap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fresh := rapid.Bool().Draw(t, "fresh")
		n := rapid.IntRange(-1, 1<<30).Draw(t, "dispatchers")
		early := rapid.Bool().Draw(t, "early")
		got := Rewatch(fresh, early, n, rapid.Float64Range(0, 1).Draw(t, "chance"))
		if got < 0 || got > Gap-Margin || !fresh && got < empty || !fresh && early && got < prompt {
			t.Fatalf("after %v", got)
		}
	})
}

// Eighty dispatchers that hear of a change at once ask again over at least 100 ms, two within 5 ms.
func TestSpread(t *testing.T) {
	for n, want := range map[int][2]time.Duration{1: {0, 0}, 2: {1, 5 * time.Millisecond}, 80: {100 * time.Millisecond, Gap}} {
		if got := Rewatch(true, false, n, 1) - Rewatch(true, false, n, 0); got < want[0] || got > want[1] {
			t.Errorf("%d dispatchers: spread over %v", n, got)
		}
	}
}

// A drain that an agent has while it is silent is heard inside the grace: a call that hangs, the pause and the next call.
func TestAgentWithinTheGrace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := time.Duration(rapid.Int64Range(int64(500*time.Millisecond), int64(time.Minute)).Draw(t, "grace"))
		wait, within := Watch.Spans(true, grace)
		again, answer := Ask.Spans(true, grace)
		if wait <= 0 || within <= 0 || wait+within+Again()+again+answer > grace*9/10 {
			t.Fatalf("a call waits %v, its answer %v more", wait, within)
		}
	})
}

// What could be had is here before it counts as told, behind a watch that fell silent as it began, the module's longest
// wait, and an answer that is as late as a list service lets calls queue; and after a move, behind a lost first call.
func TestToldInTime(t *testing.T) {
	const queued = 2 * time.Second // then the list service fails a call
	wait, within := Watch.Spans(false, 0)
	none, answer := Ask.Spans(false, 0)
	if sum := wait + within + brain.AskMost + none + answer; none != 0 || answer <= queued || sum > Told-Margin {
		t.Errorf("a watch that fell silent: told after %v, within %v", sum, Told)
	}
	none, first := Move.Spans(false, 0)
	if sum := first + brain.AskMost + answer; none != 0 || sum > Moved {
		t.Errorf("after a move whose first call was lost: told after %v, within %v", sum, Moved)
	}
}

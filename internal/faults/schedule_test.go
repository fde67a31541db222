package faults

import (
	"fmt"
	"testing"
	"time"
)

// TestDraw: the same seed gives the same events. A process has one event at a time, all events end within the span, and at most one
// voter loses its data.
func TestDraw(t *testing.T) {
	span := time.Minute
	for seed := range uint64(20) {
		a, b := Draw(seed, DrawnEventKinds(), 9, 5, span, 300*time.Millisecond, 5*time.Second), Draw(seed, DrawnEventKinds(), 9, 5, span, 300*time.Millisecond, 5*time.Second)
		if fmt.Sprint(a) != fmt.Sprint(b) || len(a) < 30 {
			t.Fatalf("seed %d: %d and %d events", seed, len(a), len(b))
		}
		busyUntil, wiped := map[int]time.Duration{}, 0
		for _, e := range a {
			if e.Kind == KillAndWipe && e.Process < 5 {
				wiped++
			}
			if e.At < busyUntil[e.Process] || e.At+e.For > span || wiped > 1 {
				t.Errorf("seed %d: %+v", seed, e)
			}
			busyUntil[e.Process] = e.At + e.For
		}
	}
}

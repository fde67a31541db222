package transport

import (
	"testing"
	"time"

	"brassdale/scheduler"
)

// A process may be paused for 150 ms between reading the clock and writing. What must not be written after a point in time (the end
// of a drain grace period, or of the window for a retry) is not begun later than that and 50 ms of processing before it. The
// endpoint list that announced the drain may have lain unread for another 150 ms.
func TestHeldUpBeforeTheWrite(t *testing.T) {
	const pause = 150 * time.Millisecond
	now := time.Now()
	grace := 500 * time.Millisecond // of newIdle
	far := now.Add(time.Hour)
	for name, c := range map[string]struct {
		told, by time.Time
		sent     bool
	}{
		"drain, time to spare":          {told: now.Add(-grace + 2*pause + 100*time.Millisecond), sent: true},
		"drain, over after a pause":     {told: now.Add(-grace + pause)},
		"drain, over after a late read": {told: now.Add(-grace + 2*pause)},
		"drain, no time for processing": {told: now.Add(-grace + 2*pause + 40*time.Millisecond)},
		"retry, time to spare":          {by: now.Add(pause + 200*time.Millisecond), sent: true},
		"retry, over after a pause":     {by: now.Add(pause)},
		"retry, no time for processing": {by: now.Add(pause + 40*time.Millisecond)},
	} {
		e, outcomes, w, there := newIdle(t, c.told)
		x := newExchange(far)
		x.attempt.SendBy = c.by
		if carried := e.assign(x, w); carried != c.sent {
			t.Errorf("%s: sent %v", name, carried)
		}
		if there.Close(); !c.sent {
			if o := <-outcomes; o != scheduler.NeverSent {
				t.Errorf("%s: ended as %v", name, o)
			}
		}
	}
}

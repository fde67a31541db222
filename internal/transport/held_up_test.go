package transport

import (
	"testing"
	"time"

	"brassdale/scheduler"
)

// A dispatcher may be held up for 0.15 s between reading its clock and writing. What is forbidden by then must not be begun
// before, with 50 ms of its own on top: the grace of a drain, the window for a repeat. The list that told the drain may have lain
// unread for as long before.
func TestHeldUpBeforeTheWrite(t *testing.T) {
	const heldUp = 150 * time.Millisecond
	now := time.Now()
	grace := 500 * time.Millisecond // of newIdle
	far := now.Add(time.Hour)
	for name, c := range map[string]struct {
		told, by time.Time
		sent     bool
	}{
		"drain, room to spare":       {told: now.Add(-grace + 2*heldUp + 100*time.Millisecond), sent: true},
		"drain, over if held up":     {told: now.Add(-grace + heldUp)},
		"drain, over if read late":   {told: now.Add(-grace + 2*heldUp)},
		"drain, no room of its own":  {told: now.Add(-grace + 2*heldUp + 40*time.Millisecond)},
		"repeat, room to spare":      {by: now.Add(heldUp + 200*time.Millisecond), sent: true},
		"repeat, over if held up":    {by: now.Add(heldUp)},
		"repeat, no room of its own": {by: now.Add(heldUp + 40*time.Millisecond)},
	} {
		e, ends, w, there := newIdle(t, c.told)
		x := newExchange(far)
		x.call.SendBy = c.by
		if carried := e.carry(x, w); carried != c.sent {
			t.Errorf("%s: sent %v", name, carried)
		}
		if there.Close(); !c.sent {
			if o := <-ends; o != scheduler.NeverSent {
				t.Errorf("%s: ended as %v", name, o)
			}
		}
	}
}

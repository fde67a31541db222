package transport

import (
	"testing"
	"time"

	"brassdale/scheduler"
)

// TestEndpointAssign_marginsForPauses checks the margins before the two points in time after which a request must not be written. A
// process may be paused for 150 ms between reading the clock and writing, and processing takes up to 50 ms: no write starts less
// than 200 ms before the end of the deduplication window. Before the end of a drain grace period the margin is 350 ms, because the
// endpoint list that announced the drain may have been read another 150 ms late.
func TestEndpointAssign_marginsForPauses(t *testing.T) {
	const pause = 150 * time.Millisecond
	now := time.Now()
	for name, test := range map[string]struct {
		notifiedAt, sendBy time.Time
		sent               bool
	}{
		"drain, in time":                {notifiedAt: now.Add(-testDrainGrace + 2*pause + 100*time.Millisecond), sent: true},
		"drain, over after a pause":     {notifiedAt: now.Add(-testDrainGrace + pause)},
		"drain, over after a late read": {notifiedAt: now.Add(-testDrainGrace + 2*pause)},
		"drain, no time for processing": {notifiedAt: now.Add(-testDrainGrace + 2*pause + 40*time.Millisecond)},
		"retry, in time":                {sendBy: now.Add(pause + 200*time.Millisecond), sent: true},
		"retry, over after a pause":     {sendBy: now.Add(pause)},
		"retry, no time for processing": {sendBy: now.Add(pause + 40*time.Millisecond)},
	} {
		actor, outcomes, conn, workerEnd := newIdleEndpoint(t, test.notifiedAt)
		exchange := newExchange(now.Add(time.Hour))
		exchange.attempt.SendBy = test.sendBy
		if sent := actor.assign(exchange, conn); sent != test.sent {
			t.Errorf("%s: sent %v, want %v", name, sent, test.sent)
		}
		if workerEnd.Close(); !test.sent {
			if outcome := <-outcomes; outcome != scheduler.NeverSent {
				t.Errorf("%s: outcome %v, want %v", name, outcome, scheduler.NeverSent)
			}
		}
	}
}

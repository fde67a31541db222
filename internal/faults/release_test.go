package faults

import (
	"testing"
	"time"
)

// TestRelease: workers and ten real dispatchers are released at the same time. Meanwhile discovery gets more polls than it can serve, and
// moves. A second after the move, SIGHUP notifies the dispatchers of it. The old list stays in use, watches continue at the new address,
// the number of polls stays bounded, no worker gets an attempt after its drain grace period, and every accepted job is answered.
func TestRelease(t *testing.T) {
	t.Parallel()
	f, err := Load("../../scenarios/fleet/release.hcl")
	if err != nil {
		t.Fatal(err)
	}
	p := f.Plan(3, 10)
	p.Span, p.Release.At, p.Release.DiscoveryMovesAt, p.Release.DiscoveryCallRate, p.Release.ClientTimeout = 10*time.Second, time.Second, 3*time.Second, 5, 200*time.Millisecond
	r, err := Run(t.Context(), p, buildDispatcher(t), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if r.Bad() || r.Restarted != 10 || r.Jobs < 300 || r.ListRefused == 0 || r.MaxListCalls > 8*p.Processes {
		t.Errorf("%+v", r)
	}
	if most := p.Release.NotifyAfter + 3*time.Second; r.WatchGapMS > float64(most.Milliseconds()) {
		t.Errorf("a dispatcher had no open poll for %v ms", r.WatchGapMS)
	}
}

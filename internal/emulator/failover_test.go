package emulator

import (
	"testing"
	"time"

	"brassdale/scheduler"
)

// towns is a works of four zones in two regions at six tenths of what it can do, of which one is lost for 20 s.
func towns(seed uint64, mode string) Scenario {
	s := LlanelliWorks(seed)
	s.Span, s.Dispatchers = 100*time.Second, 12
	s.Kinds = []Kind{{"box", 24, 5, 0.9, 1.1, false}}
	s.Network.Zones, s.Network.Regions, s.Network.CrossPrice = 4, 2, 0.03
	s.Traffic.Rate, s.Traffic.Subjects, s.Traffic.Effect = 0.55*24*5/0.2, 0, scheduler.Idempotent
	s.Reports.Every = 500 * time.Millisecond
	s.Faults = []Fault{{At: 20 * time.Second, For: 20 * time.Second, Kind: ZoneLost, Zone: 1, Share: 1}}
	s.Failover = Failover{Mode: mode, Headroom: 0.1, ReturnIn: 30 * time.Second, Detect: time.Second, Step: 0.1}
	return s
}

// A zone is lost and comes back cold. Planned, no zone is pushed over what it can do, jobs cross for no longer than they
// have to, nothing is planned into the lost zone after three seconds, and more is served than by the nearest zone alone or
// by spreading; no rule is broken.
func TestZoneLost(t *testing.T) {
	got := map[string]*Result{}
	for _, mode := range []string{"", "near", "spread", "plan"} {
		r, err := Run(towns(3, mode), module)
		if err != nil {
			t.Fatal(err)
		}
		got[mode] = r
		t.Logf("%-6q before %.3f, in the loss %.3f, behind it %.3f; crossings %.2f, zone's peak %.2f, p99 %v, plans %d, moved %v, back %v, breaches %d", mode,
			r.Within(5*time.Second, 20*time.Second), r.Within(23*time.Second, 40*time.Second), r.Within(40*time.Second, 70*time.Second), r.Crossings, r.ZonePeak, r.P99, r.PlanChanges, r.Moved, r.Back, len(r.Breaches))
	}
	p := got["plan"]
	if len(p.Breaches) > 0 || p.ZonePeak > 1.05 || p.Moved == 0 || p.Moved > 4*time.Second || p.Back < 20*time.Second {
		t.Errorf("%+v %v", p.Breaches, p.Moved)
	}
	for _, mode := range []string{"near", "spread"} {
		if p.Service < got[mode].Service {
			t.Errorf("%s serves %v, the plan %v", mode, got[mode].Service, p.Service)
		}
	}
}

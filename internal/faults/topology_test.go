package faults

import (
	"testing"
	"time"

	"brassdale/internal/emulator"
)

// Zones fail under real processes with a plan in common: one is lost while the council's leader is killed and a follower stands
// still across the plan; a zone's own dispatchers cannot reach it, one way, while one process is cut off from the council for
// longer than it may act on the last plan. No zone gets more than it can do, every job is answered once, no rule is broken.
func TestTowns(t *testing.T) {
	binary := build(t)
	s := func(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
	for name, c := range map[string]struct {
		fault  emulator.Fault
		events []Event
	}{
		"a zone is lost": {emulator.Fault{At: s(6), For: s(8), Kind: emulator.ZoneLost, Zone: 1, Share: 1},
			[]Event{{At: s(6), For: s(1), Kind: Kill, Process: Leader}, {At: s(5), For: s(5), Kind: Freeze, Process: 6}}},
		"a zone is cut off from its own dispatchers": {emulator.Fault{At: s(6), For: s(8), Kind: emulator.Apart, Zone: 2, From: 2, Share: 1},
			[]Event{{At: s(3), For: s(14), Kind: Cut, Process: 6}}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := Plan{Seed: 5, Processes: 7, Voters: 3, Bound: 2 * time.Second, Span: s(22), ProposalInterval: s(30), Events: c.events,
				Zones: &ZonePlan{Zones: 3, Regions: 1, Workers: 9, Load: 0.45, FleetPlans: true, Headroom: 0.1, ReturnIn: s(5), Faults: []emulator.Fault{c.fault}}}
			r, err := Play(t.Context(), p, binary, t.TempDir())
			if err != nil {
				t.Fatal(err)
			}
			w := r.Zones
			if r.Bad() || w.PlanChanges < 2 || w.ServedFault < 0.75 || w.MovedMS < 0 {
				t.Errorf("%+v, %d never answered, %v", w, r.AnsweredNever, r.Breaches)
			}
			t.Logf("in the fault %.3f, behind %.3f, peak %.2f, detected after %v ms, moved %v ms, plans %d", w.ServedFault, w.ServedBehind, w.Peak, w.DetectMS, w.MovedMS, w.PlanChanges)
		})
	}
}

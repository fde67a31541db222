package faults

import (
	"testing"
	"time"

	"brassdale/internal/emulator"
)

// TestZones: zones fail under real processes with a failover plan. One is lost while the raft group's leader is killed and a follower is
// frozen across the change of plan; or a zone's own dispatchers cannot reach it, while one process is cut off from the others for longer
// than it may act on the last plan. Most jobs are served in time, every job is answered once, and no rule is broken.
func TestZones(t *testing.T) {
	binary := buildDispatcher(t)
	s := func(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
	for name, c := range map[string]struct {
		fault  emulator.Fault
		events []Event
	}{
		"a zone is lost": {emulator.Fault{At: s(6), For: s(8), Kind: emulator.ZoneLost, Zone: 1, Share: 1},
			[]Event{{At: s(6), For: s(1), Kind: Kill, Process: Leader}, {At: s(5), For: s(5), Kind: Freeze, Process: 6}}},
		"a zone is cut off from its own dispatchers": {emulator.Fault{At: s(6), For: s(8), Kind: emulator.ZonePartition, Zone: 2, From: 2, Share: 1},
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
			t.Logf("during the fault %.3f, after it %.3f, peak %.2f, detected after %v ms, moved %v ms, plans %d", w.ServedFault, w.ServedBehind, w.Peak, w.DetectMS, w.MovedMS, w.PlanChanges)
		})
	}
}

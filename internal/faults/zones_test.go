package faults

import (
	"testing"
	"time"

	"brassdale/internal/emulator"
)

// TestZones: zones fail while real processes act on a failover plan. In one case a zone is lost while the raft group's leader is killed and
// a follower is frozen during the change of plan. In the other a zone's own dispatchers cannot reach it, while one process is cut off from
// the others for longer than maxPlanAge. Most jobs are served in time, every job is answered once, and no rule is broken.
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
				Zones: &ZoneDeployment{Zones: 3, Regions: 1, Workers: 9, Load: 0.45, FleetPlans: true, Headroom: 0.1, ReturnIn: s(5), Faults: []emulator.Fault{c.fault}}}
			r, err := Run(t.Context(), p, binary, t.TempDir())
			if err != nil {
				t.Fatal(err)
			}
			zones := r.Zones
			if r.Bad() || zones.PlanChanges < 2 || zones.ServedFault < 0.75 || zones.MovedMS < 0 {
				t.Errorf("%+v, %d jobs never answered, broken rules %v", zones, r.AnsweredNever, r.Breaches)
			}
			t.Logf("served %.3f during the fault, %.3f after it, peak load %.2f, fault detected after %v ms, jobs moved after %v ms, %d plans", zones.ServedFault, zones.ServedAfterFault, zones.Peak, zones.DetectMS, zones.MovedMS, zones.PlanChanges)
		})
	}
}

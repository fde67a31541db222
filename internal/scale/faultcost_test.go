package scale

import (
	"testing"
	"time"
)

const faultsFile = `title = "failures of a small fleet"
settle = "2s"
span = "2s"
bound = "1s"
regions = 3
zones = 3
workers = 9
dispatchers = 7
seats = 3
set_aside = 3
hollow = 6
processes = 3
rate = 14
changes {
  every = "1s"
  a_day = 790
}
fault "seat" {
  at = "500ms"
  after = "3500ms"
}
fault "zone" {
  at = "500ms"
  for = "1500ms"
  after = "2s"
}
fault "regions" {
  at = "500ms"
  for = "1500ms"
  after = "2s"
}
fault "replaced" {
  at = "500ms"
  for = "1s"
  after = "2500ms"
  count = 2
}
fault "together" {
  at = "500ms"
  for = "300ms"
  after = "3200ms"
}
`

// Injects each kind of fault in a run of its own: no dispatchers contradict each other, every change comes into force at all dispatchers that
// run, and the fleet recovers.
func TestFaults(t *testing.T) {
	f, err := Parse([]byte(faultsFile), "x.hcl")
	all := points(t, f, err)
	if len(all) != len(faultKinds) {
		t.Fatalf("expected a run for each kind of fault, got %+v", all)
	}
	// The first zone has four dispatchers, and so has the first region: a voter, the real dispatcher that serves jobs and two hollow ones.
	// The fleet has ten dispatchers in all.
	affected := map[FaultKind]int{VoterLost: 1, ZoneLost: 4, RegionPartitioned: 4, DispatchersReplaced: 2, DispatchersRestarted: 10}
	returned := map[FaultKind]int{ZoneLost: 4, RegionPartitioned: 4, DispatchersReplaced: 2, DispatchersRestarted: 10}
	for _, p := range all {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			r, err := Run(t.Context(), p.Plan, options(t))
			if err != nil {
				t.Fatal(err)
			}
			checkInvariants(t, r)
			if len(r.FaultCosts) != 1 {
				t.Fatalf("expected one fault cost, got %+v", r)
			}
			cost := r.FaultCosts[0]
			kind := FaultKind(p.Name)
			t.Logf("%+v", cost)
			if cost.Kind != kind || cost.Affected != affected[kind] || len(cost.ReturnedInForceMS) != returned[kind] {
				t.Errorf("unexpected kind or counts: %d affected, %d returned: %+v", cost.Affected, len(cost.ReturnedInForceMS), cost)
			}
			if cost.Changes == 0 || cost.RecoveredAfterS == nil {
				t.Errorf("expected changes and a recovery, got %d changes, recovered after %v", cost.Changes, cost.RecoveredAfterS)
			}
			if (kind == VoterLost || kind == DispatchersRestarted) && !cost.HitLeader {
				t.Error("the leader was not affected")
			}
			if cost.AtS < (500 * time.Millisecond).Seconds() {
				t.Errorf("the fault began too early, at %.2f s", cost.AtS)
			}
		})
	}
}

package scale

import (
	"testing"
	"time"
)

const failuresFile = `title = "failures of a small fleet"
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

// Each failure is forced once: nothing contradicts, every change comes to be in force at all that are there, and all are
// whole again.
func TestFailures(t *testing.T) {
	f, err := Parse([]byte(failuresFile), "x.hcl")
	all := points(t, f, err)
	if len(all) != len(faultKinds) {
		t.Fatalf("%+v", all)
	}
	// The first zone and region have a seat, the real dispatcher that serves and two hollow ones; the fleet has ten in all.
	affected := map[FaultKind]int{VoterLost: 1, ZoneLost: 4, RegionPartitioned: 4, DispatchersReplaced: 2, DispatchersRestarted: 10}
	returned := map[FaultKind]int{ZoneLost: 4, RegionPartitioned: 4, DispatchersReplaced: 2, DispatchersRestarted: 10}
	for _, p := range all {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			r, err := Play(t.Context(), p.Plan, options(t))
			if err != nil {
				t.Fatal(err)
			}
			sound(t, r)
			if len(r.Failures) != 1 {
				t.Fatalf("%+v", r)
			}
			x := r.Failures[0]
			kind := FaultKind(p.Name)
			t.Logf("%+v", x)
			if x.Kind != kind || x.Affected != affected[kind] || len(x.ReturnedInForceMS) != returned[kind] {
				t.Errorf("%d affected, %d back: %+v", x.Affected, len(x.ReturnedInForceMS), x)
			}
			if x.Changes == 0 || x.RecoveredAfterS == nil {
				t.Errorf("%d changes, whole again after %v", x.Changes, x.RecoveredAfterS)
			}
			if (kind == VoterLost || kind == DispatchersRestarted) && !x.HitLeader {
				t.Error("who led was not among them")
			}
			if x.AtS < (500 * time.Millisecond).Seconds() {
				t.Errorf("it began at %.2f s", x.AtS)
			}
		})
	}
}

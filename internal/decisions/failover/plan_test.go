package failover

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"brassdale/internal/testsupport/property"
)

// TestPlanChoose_followsShares checks that requests are distributed by the shares of a plan within 0.002, and that few requests change
// their zone if shares change little. It also checks that the load of a zone is at most MaxMixedLoad under either of two plans, and at most
// the larger of both loads under their interpolation.
func TestPlanChoose_followsShares(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		zones, demands, reachable := drawInputs(t)
		plan := newPlan(demands, zones, Solve(zones, demands, reachable, 0.15))
		for i := range zones {
			zones[i].Capacity *= rapid.Float64Range(0.9, 1.1).Draw(t, "capacity factor")
		}
		next := newPlan(demands, zones, Solve(zones, demands, reachable, 0.15))
		for _, demand := range demands {
			if demand.Work >= negligible {
				checkChoices(t, demand, zones, plan, next, MaxDivergence(plan, next, demands))
			}
		}
		for zone, mixed := range MaxMixedLoad(plan, next, demands) {
			if mixed < plan.Load(demands)[zone]-1e-6 || mixed < next.Load(demands)[zone]-1e-6 {
				t.Fatalf("mixed load %v in %s is below the load under one of the plans", mixed, zone)
			}
		}
		half := Interpolate(plan, next, demands, 0.5)
		for zone, load := range half.Load(demands) {
			if load > max(plan.Load(demands)[zone], next.Load(demands)[zone])+1e-6 {
				t.Fatalf("interpolated load %v in %s exceeds the load under both plans", load, zone)
			}
		}
	})
}

// checkChoices checks the zones that two plans choose for 2000 requests of a demand.
func checkChoices(t *rapid.T, demand Demand, zones []Zone, plan, next *Plan, divergence float64) {
	t.Helper()
	const requests = 2000
	moved, chosen := 0, map[string]int{}
	for i := range requests {
		number := (float64(i) + 0.5) / requests
		zone, _ := plan.Choose(demand.Zone, demand.Class, number)
		chosen[zone]++
		if other, _ := next.Choose(demand.Zone, demand.Class, number); other != zone {
			moved++
		}
	}
	for _, zone := range zones {
		if share := plan.Share(demand.Zone, demand.Class, zone.Name); math.Abs(float64(chosen[zone.Name])/requests-share) > 2e-3 {
			t.Fatalf("%d of %d requests go to zone %s, want share %v", chosen[zone.Name], requests, zone.Name, share)
		}
	}
	if float64(moved)/requests > float64(len(zones)*len(zones))*divergence+1e-2 {
		t.Fatalf("%d of %d requests change their zone, but shares by at most %v", moved, requests, divergence)
	}
}

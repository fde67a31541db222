package failover

import (
	"math"
	"slices"
)

// MaxMixedLoad returns the most slots of work that each zone may get while some dispatchers act on one plan and others on another.
func MaxMixedLoad(a, b *Plan, demands []Demand) map[string]float64 {
	load := map[string]float64{}
	for _, demand := range demands {
		for _, zone := range zonesOfEither(a.shares(demand.Zone, demand.Class), b.shares(demand.Zone, demand.Class)) {
			load[zone] += demand.Work * max(a.Share(demand.Zone, demand.Class, zone), b.Share(demand.Zone, demand.Class, zone))
		}
	}
	return load
}

// MaxDivergence returns the largest difference of a share between two plans, over the demands that have any work.
func MaxDivergence(a, b *Plan, demands []Demand) (divergence float64) {
	for _, demand := range demands {
		if demand.Work <= negligible {
			continue
		}
		for _, zone := range zonesOfEither(a.shares(demand.Zone, demand.Class), b.shares(demand.Zone, demand.Class)) {
			divergence = max(divergence, math.Abs(a.Share(demand.Zone, demand.Class, zone)-b.Share(demand.Zone, demand.Class, zone)))
		}
	}
	return divergence
}

// Interpolate returns the linear interpolation of two plans: it equals the plan a at fraction 0 and the plan b at fraction 1. The
// load of each zone is at most the larger of its loads under both plans.
func Interpolate(a, b *Plan, demands []Demand, fraction float64) *Plan {
	plan := &Plan{Shares: map[string]map[string][]ZoneShare{}}
	for _, demand := range demands {
		from, to := a.shares(demand.Zone, demand.Class), b.shares(demand.Zone, demand.Class)
		shares := []ZoneShare{}
		for _, zone := range zonesOfEither(to, from) {
			share := (1-fraction)*a.Share(demand.Zone, demand.Class, zone) + fraction*b.Share(demand.Zone, demand.Class, zone)
			if share > minShare {
				shares = append(shares, ZoneShare{zone, share})
			}
		}
		plan.setShares(demand.Zone, demand.Class, shares)
	}
	return plan
}

// zonesOfEither returns the distinct zones of two lists of shares: the zones of the first in its order, then the zones that only the
// second one has.
func zonesOfEither(a, b []ZoneShare) (zones []string) {
	for _, share := range append(slices.Clone(a), b...) {
		if !slices.Contains(zones, share.Zone) {
			zones = append(zones, share.Zone)
		}
	}
	return zones
}

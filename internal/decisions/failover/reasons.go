package failover

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// lateCapacityFactor is the capacity factor below which the reasons of a zone include "late".
const lateCapacityFactor = 0.7

// reasons returns the human-readable reasons for the target plan, by zone. They name causes but no figures that change, since a change
// of the reasons makes another plan.
func (p *Planner) reasons(zones []Zone, demands []Demand, target *Plan) map[string]string {
	reasons := map[string]string{}
	for _, zone := range zones {
		if all := append(p.capacityReasons(zone.Name, zones), target.demandReasons(zone.Name, demands)...); len(all) > 0 {
			reasons[zone.Name] = strings.Join(all, "; ")
		}
	}
	return reasons
}

// capacityReasons returns why plans do not use all of a zone's capacity.
func (p *Planner) capacityReasons(zone string, zones []Zone) (reasons []string) {
	if share, ok := p.zoneLimits[zone]; ok {
		reasons = append(reasons, fmt.Sprintf("held at %g of its capacity", share))
	}
	if p.isLost(zone) {
		reasons = append(reasons, "lost for most zones")
	} else if from := p.unreachableFrom(zone, zones); len(from) > 0 {
		reasons = append(reasons, "not reached from "+strings.Join(from, ", "))
	}
	for _, class := range p.lostClasses(zone) {
		reasons = append(reasons, "answers no "+class)
	}
	if p.capacityFactors[zone] < lateCapacityFactor { // updateVerdicts has set a factor for every zone
		reasons = append(reasons, "late")
	}
	if loss := p.zoneLosses[zone]; loss != nil && !loss.lost {
		reasons = append(reasons, "filled step by step")
	}
	return reasons
}

// unreachableFrom returns the zones whose routes to a zone are excluded for all classes.
func (p *Planner) unreachableFrom(zone string, zones []Zone) (from []string) {
	for _, other := range zones {
		if p.isRouteExcluded(route{other.Name, zone, ""}) {
			from = append(from, other.Name)
		}
	}
	return from
}

// lostClasses returns the classes for which any route to a zone is excluded, sorted.
func (p *Planner) lostClasses(zone string) []string {
	classes := map[string]bool{}
	for r, state := range p.routes {
		if r.to == zone && r.class != "" && state.excluded {
			classes[r.class] = true
		}
	}
	return slices.Sorted(maps.Keys(classes))
}

// demandReasons returns what the plan does with the requests that arrive in a zone and are not served there.
func (p *Plan) demandReasons(zone string, demands []Demand) (reasons []string) {
	crosses, sheds := false, false
	for _, demand := range demands {
		if demand.Zone != zone {
			continue
		}
		for _, share := range p.shares(demand.Zone, demand.Class) {
			crosses = crosses || share.Zone != zone && share.Share > minShareChange
		}
		sheds = sheds || p.servedShare(demand) < 1-minShareChange
	}
	if crosses {
		reasons = append(reasons, "more than it has room for goes elsewhere")
	}
	if sheds {
		reasons = append(reasons, "what is worth least is shed here")
	}
	return reasons
}

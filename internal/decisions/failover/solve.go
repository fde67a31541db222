package failover

import (
	"cmp"
	"math"
	"slices"
)

// The cost, in addition to the distance, of a slot of work: zoneCrossingCost if the work leaves its zone but not its region,
// regionCrossingCost if it leaves its region.
// A crossing of zones outweighs any distance, and a crossing of regions outweighs any number of crossings within regions.
const (
	zoneCrossingCost   = 1e3
	regionCrossingCost = 1e6
)

// Flow says where demands are served, in slots of work.
type Flow struct {
	Served [][]float64 // by index of the demand and index of the zone
	Shed   []float64   // by index of the demand
}

// Solve returns a flow that serves the maximum weight of work within 1-headroom of each zone's capacity; headroom is from 0 to 1. Of
// all such flows it returns one with the lowest cost of crossings.
//
// It adds the demands by descending weight, each along the cheapest paths. The paths may divert other demands, but never shed a
// demand of a larger weight. By the exchange argument for minimum-cost flows the result is optimal.
func Solve(zones []Zone, demands []Demand, reachable Reachability, headroom float64) Flow {
	graph := newFlowGraph(zones, demands, reachable, headroom)
	order := byDescendingWeight(demands)
	for len(order) > 0 {
		weight := demands[order[0]].Weight
		group := order[:countSameWeight(demands, order)]
		order = order[len(group):]
		for _, i := range group {
			graph.unserved[i] = max(demands[i].Work, 0)
		}
		for graph.augment(weight) {
		}
	}
	return Flow{Served: graph.served, Shed: graph.unserved}
}

// byDescendingWeight returns the indices of the demands by descending weight, and by index where weights are equal.
func byDescendingWeight(demands []Demand) []int {
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(demands[b].Weight, demands[a].Weight) })
	return order
}

// countSameWeight returns the number of indices at the start of order whose demands have the weight of the first one.
func countSameWeight(demands []Demand, order []int) int {
	weight := demands[order[0]].Weight
	count := 1
	for count < len(order) && demands[order[count]].Weight == weight {
		count++
	}
	return count
}

// crossingCosts returns the cost of serving a slot of the demand in each zone; infinite for zones that the demand cannot reach.
func crossingCosts(zones []Zone, demand Demand, regions map[string]string, reachable Reachability) []float64 {
	costs := make([]float64, len(zones))
	for i, zone := range zones {
		distance, ok := reachable(demand.Zone, zone.Name, demand.Class)
		switch {
		case !ok:
			costs[i] = math.Inf(1)
		case demand.Zone == zone.Name:
		case regions[demand.Zone] == zone.Region:
			costs[i] = zoneCrossingCost + distance
		default:
			costs[i] = regionCrossingCost + distance
		}
	}
	return costs
}

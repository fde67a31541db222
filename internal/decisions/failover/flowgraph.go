package failover

import "math"

// flowGraph is the graph of a minimum-cost flow problem, with the flow so far and the capacity left. Demands and zones are identified
// by index.
type flowGraph struct {
	served, cost [][]float64 // by demand and zone: slots of work served, and the cost per slot
	capacityLeft []float64   // by zone, in slots
	unserved     []float64   // by demand, in slots; 0 for demands that have not been added yet
	weight       []float64   // by demand
}

// newFlowGraph returns a graph without any flow or added demand.
func newFlowGraph(zones []Zone, demands []Demand, reachable Reachability, headroom float64) *flowGraph {
	graph := &flowGraph{
		served:       make([][]float64, len(demands)),
		cost:         make([][]float64, len(demands)),
		capacityLeft: make([]float64, len(zones)),
		unserved:     make([]float64, len(demands)),
		weight:       make([]float64, len(demands)),
	}
	regions := map[string]string{}
	for j, zone := range zones {
		regions[zone.Name] = zone.Region
		graph.capacityLeft[j] = max(zone.Capacity*(1-headroom), 0)
	}
	for i, demand := range demands {
		graph.served[i] = make([]float64, len(zones))
		graph.cost[i] = crossingCosts(zones, demand, regions, reachable)
		graph.weight[i] = demand.Weight
	}
	return graph
}

// augment serves more of the demands with the given weight, along the cheapest path to a zone with capacity left. The path may divert
// other demands from a full zone to the next one, and shed a demand in place of another one of the same weight. augment reports
// whether there was a path.
func (g *flowGraph) augment(weight float64) bool {
	paths := g.cheapestPaths(weight)
	end := g.cheapestEnd(paths)
	if end < 0 {
		return false
	}
	amount := g.bottleneck(paths, end)
	g.capacityLeft[end] -= amount
	paths.walkBack(end, func(demand, to int, step pathStep) {
		if to >= 0 {
			g.served[demand][to] += amount
		}
		switch {
		case step.isSource():
			g.unserved[demand] -= amount
		case step.displaces:
			g.unserved[demand] -= amount
			g.unserved[step.from] += amount
		default:
			g.served[demand][step.from] -= amount
		}
	})
	return true
}

// cheapestPaths returns the cheapest paths from the unserved demands with the given weight, by the Bellman-Ford algorithm.
func (g *flowGraph) cheapestPaths(weight float64) *flowPaths {
	paths := newFlowPaths(len(g.served), len(g.capacityLeft))
	for i := range paths.demandCost {
		if g.weight[i] == weight && g.unserved[i] > negligible {
			paths.demandCost[i] = 0
		}
	}
	for changed := true; changed; {
		served := g.relaxServing(paths)
		diverted := g.relaxDiverting(paths)
		displaced := g.relaxDisplacing(paths)
		changed = served || diverted || displaced
	}
	return paths
}

// relaxServing finds cheaper paths to zones, by serving a reached demand there. It reports whether it found any.
func (g *flowGraph) relaxServing(paths *flowPaths) (changed bool) {
	for i := range paths.demandCost {
		for j := range paths.zoneCost {
			if cost := paths.demandCost[i] + g.cost[i][j]; cost < paths.zoneCost[j]-negligible {
				paths.zoneCost[j], paths.servedDemand[j], changed = cost, i, true
			}
		}
	}
	return changed
}

// relaxDiverting finds cheaper paths to demands, by diverting them from a reached zone. It reports whether it found any.
func (g *flowGraph) relaxDiverting(paths *flowPaths) (changed bool) {
	for i := range paths.demandCost {
		for j := range paths.zoneCost {
			if cost := paths.zoneCost[j] - g.cost[i][j]; g.served[i][j] > negligible && cost < paths.demandCost[i]-negligible {
				paths.demandCost[i], paths.step[i], changed = cost, pathStep{from: j}, true
			}
		}
	}
	return changed
}

// relaxDisplacing finds cheaper paths to unserved demands, by serving them in place of a reached demand of the same weight. It reports
// whether it found any.
func (g *flowGraph) relaxDisplacing(paths *flowPaths) (changed bool) {
	for i := range paths.demandCost {
		for other := range paths.demandCost {
			interchangeable := other != i && g.weight[other] == g.weight[i]
			if interchangeable && g.unserved[other] > negligible && paths.demandCost[i] < paths.demandCost[other]-negligible {
				paths.demandCost[other], paths.step[other], changed = paths.demandCost[i], pathStep{from: i, displaces: true}, true
			}
		}
	}
	return changed
}

// cheapestEnd returns the zone with capacity left that is reached at the lowest cost; -1 if none is reached.
func (g *flowGraph) cheapestEnd(paths *flowPaths) int {
	end := -1
	for j, cost := range paths.zoneCost {
		if g.capacityLeft[j] > negligible && !math.IsInf(cost, 1) && (end < 0 || cost < paths.zoneCost[end]-negligible) {
			end = j
		}
	}
	return end
}

// bottleneck returns the slots of work that the path to the zone with index end can carry.
func (g *flowGraph) bottleneck(paths *flowPaths, end int) float64 {
	amount := g.capacityLeft[end]
	paths.walkBack(end, func(demand, _ int, step pathStep) {
		if step.isSource() || step.displaces {
			amount = min(amount, g.unserved[demand])
		} else {
			amount = min(amount, g.served[demand][step.from])
		}
	})
	return amount
}

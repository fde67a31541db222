// Package failover decides where the jobs of each zone are served: near while that is safe, elsewhere where it is not, and
// how much is shed where all is short. Values in, verdicts out: no I/O, no clock, no goroutine.
//
// A plan is a table from zone of arrival and class to zones of service, with shares. It promises:
//
//  1. Safe: no zone is planned above its capacity less the headroom, cold boxes counted at what they can do now. What is
//     left is shed where it arrives, the least worth by work first.
//  2. Near first: of all plans that serve the same, one with the least crossing, and the least crossing of regions.
//  3. Calm: a trouble shorter than Detect changes nothing; shares move by at most Step a second, but away from what is out
//     at once; who comes back gets its traffic over ReturnIn at least, and later each time that it flaps.
//  4. Evidence: a way from one zone to another is out by the word of most dispatchers of the one, a zone by ways from most
//     zones. One dispatcher convicts nobody.
package failover

import (
	"cmp"
	"math"
	"slices"
)

// Zone is a place with boxes, or with clients, or both.
type Zone struct {
	Name, Region string
	Capacity     float64 // slots, cold boxes counted at what they can do now
}

// Demand is what clients of a zone ask for.
type Demand struct {
	Zone, Class string
	Work        float64 // seconds of a slot, a second
	Weight      float64 // of a second of a slot
}

// Reachability tells what jobs of a class may go from a zone to another at all, and how far that is.
type Reachability func(from, to, class string) (distance float64, ok bool)

// Flow is where demands are served.
type Flow struct {
	Served [][]float64 // work by demand and zone
	Shed   []float64   // by demand
}

// The costs of a unit of work that leaves its zone, or its region: the one weighs more than any distance, the other more
// than any crossing within regions.
const (
	zoneCrossingCost   = 1e3
	regionCrossingCost = 1e6
)

const negligible = 1e-9

// Solve gives the flow that serves the most worth within room, and of those the one that crosses least. Demands are taken in
// by worth, each over the cheapest path there is, which may turn others aside but never out: by the exchange argument of
// minimum-cost flows that is the best of all.
func Solve(zones []Zone, demands []Demand, ways Reachability, headroom float64) Flow {
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(demands[b].Weight, demands[a].Weight) })
	f := Flow{Served: make([][]float64, len(demands)), Shed: make([]float64, len(demands))}
	cost := make([][]float64, len(demands))
	region := map[string]string{}
	for _, z := range zones {
		region[z.Name] = z.Region
	}
	room := make([]float64, len(zones))
	for j, z := range zones {
		room[j] = max(z.Capacity*(1-headroom), 0)
	}
	for i, d := range demands {
		f.Served[i], cost[i] = make([]float64, len(zones)), make([]float64, len(zones))
		for j, z := range zones {
			distance, ok := ways(d.Zone, z.Name, d.Class)
			switch {
			case !ok:
				cost[i][j] = math.Inf(1)
			case d.Zone == z.Name:
			case region[d.Zone] == z.Region:
				cost[i][j] = zoneCrossingCost + distance
			default:
				cost[i][j] = regionCrossingCost + distance
			}
		}
	}
	g := flowGraph{served: f.Served, cost: cost, capacityLeft: room, unserved: make([]float64, len(demands)), weight: make([]float64, len(demands))}
	for i, d := range demands {
		g.weight[i] = d.Weight
	}
	for k := 0; k < len(order); {
		group := order[k:]
		for n, i := range group {
			if demands[i].Weight != demands[group[0]].Weight {
				group = group[:n]
				break
			}
		}
		k += len(group)
		for _, i := range group {
			g.unserved[i] = max(demands[i].Work, 0)
		}
		for g.augment(demands[group[0]].Weight) {
		}
	}
	copy(f.Shed, g.unserved)
	return f
}

// flowGraph is what a flow may still become.
type flowGraph struct {
	served, cost                   [][]float64 // by demand and zone
	capacityLeft, unserved, weight []float64   // of zones; of demands that were taken in already
}

// pathStep tells how a demand or a zone is reached on the cheapest path.
type pathStep struct {
	from      int
	displaces bool // a demand of the same worth is shed in place of this one
}

// augment serves more of the demands of a worth: over the cheapest path into a zone with room, or into a full one out of which
// another demand is turned to the next, or is shed for one of the same worth. It tells whether there was a path.
func (g *flowGraph) augment(worth float64) bool {
	n, m := len(g.served), len(g.capacityLeft)
	demand, zone := make([]float64, n), make([]float64, m)  // the least cost to get there
	byZone, byDemand := make([]pathStep, n), make([]int, m) // and from where; a source comes from nowhere
	for i := range demand {
		demand[i], byZone[i].from = math.Inf(1), -1
		if g.weight[i] == worth && g.unserved[i] > negligible {
			demand[i] = 0
		}
	}
	for j := range zone {
		zone[j] = math.Inf(1)
	}
	for changed := true; changed; {
		changed = false
		for i := range n {
			for j := range m {
				if to := demand[i] + g.cost[i][j]; to < zone[j]-negligible {
					zone[j], byDemand[j], changed = to, i, true
				}
			}
		}
		for i := range n {
			for j := range m {
				if to := zone[j] - g.cost[i][j]; g.served[i][j] > negligible && to < demand[i]-negligible {
					demand[i], byZone[i], changed = to, pathStep{j, false}, true
				}
			}
		}
		for i := range n {
			for o := range n {
				if o != i && g.weight[o] == g.weight[i] && g.unserved[o] > negligible && demand[i] < demand[o]-negligible {
					demand[o], byZone[o], changed = demand[i], pathStep{i, true}, true
				}
			}
		}
	}
	end := -1
	for j := range m {
		if g.capacityLeft[j] > negligible && !math.IsInf(zone[j], 1) && (end < 0 || zone[j] < zone[end]-negligible) {
			end = j
		}
	}
	if end < 0 {
		return false
	}
	most := g.capacityLeft[end]
	g.walkBack(end, byDemand, byZone, func(i, _ int, s pathStep) {
		switch {
		case s.from < 0 || s.displaces:
			most = min(most, g.unserved[i])
		default:
			most = min(most, g.served[i][s.from])
		}
	})
	g.capacityLeft[end] -= most
	g.walkBack(end, byDemand, byZone, func(i, to int, s pathStep) {
		if to >= 0 {
			g.served[i][to] += most
		}
		switch {
		case s.from < 0:
			g.unserved[i] -= most
		case s.displaces:
			g.unserved[i] -= most
			g.unserved[s.from] += most
		default:
			g.served[i][s.from] -= most
		}
	})
	return true
}

// walkBack goes back over a path: for each demand on it the zone that it goes to, below 0 for none, and how it came to be there.
func (g *flowGraph) walkBack(end int, byDemand []int, byZone []pathStep, visit func(i, to int, s pathStep)) {
	for i, to := byDemand[end], end; ; {
		s := byZone[i]
		visit(i, to, s)
		switch {
		case s.from < 0:
			return
		case s.displaces:
			i, to = s.from, -1
		default:
			i, to = byDemand[s.from], s.from
		}
	}
}

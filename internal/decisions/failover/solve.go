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
	zoneCost   = 1e3
	regionCost = 1e6
)

const tiny = 1e-9

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
				cost[i][j] = zoneCost + distance
			default:
				cost[i][j] = regionCost + distance
			}
		}
	}
	g := graph{served: f.Served, cost: cost, room: room, left: make([]float64, len(demands)), worth: make([]float64, len(demands))}
	for i, d := range demands {
		g.worth[i] = d.Weight
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
			g.left[i] = max(demands[i].Work, 0)
		}
		for g.augment(demands[group[0]].Weight) {
		}
	}
	copy(f.Shed, g.left)
	return f
}

// graph is what a flow may still become.
type graph struct {
	served, cost      [][]float64 // by demand and zone
	room, left, worth []float64   // of zones; of demands that were taken in already
}

// step tells how a demand or a zone is reached on the cheapest path.
type step struct {
	from int
	swap bool // a demand of the same worth is shed in place of this one
}

// augment serves more of the demands of a worth: over the cheapest path into a zone with room, or into a full one out of which
// another demand is turned to the next, or is shed for one of the same worth. It tells whether there was a path.
func (g *graph) augment(worth float64) bool {
	n, m := len(g.served), len(g.room)
	demand, zone := make([]float64, n), make([]float64, m) // the least cost to get there
	byZone, byDemand := make([]step, n), make([]int, m)    // and from where; a source comes from nowhere
	for i := range demand {
		demand[i], byZone[i].from = math.Inf(1), -1
		if g.worth[i] == worth && g.left[i] > tiny {
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
				if to := demand[i] + g.cost[i][j]; to < zone[j]-tiny {
					zone[j], byDemand[j], changed = to, i, true
				}
			}
		}
		for i := range n {
			for j := range m {
				if to := zone[j] - g.cost[i][j]; g.served[i][j] > tiny && to < demand[i]-tiny {
					demand[i], byZone[i], changed = to, step{j, false}, true
				}
			}
		}
		for i := range n {
			for o := range n {
				if o != i && g.worth[o] == g.worth[i] && g.left[o] > tiny && demand[i] < demand[o]-tiny {
					demand[o], byZone[o], changed = demand[i], step{i, true}, true
				}
			}
		}
	}
	end := -1
	for j := range m {
		if g.room[j] > tiny && !math.IsInf(zone[j], 1) && (end < 0 || zone[j] < zone[end]-tiny) {
			end = j
		}
	}
	if end < 0 {
		return false
	}
	most := g.room[end]
	g.walk(end, byDemand, byZone, func(i, _ int, s step) {
		switch {
		case s.from < 0 || s.swap:
			most = min(most, g.left[i])
		default:
			most = min(most, g.served[i][s.from])
		}
	})
	g.room[end] -= most
	g.walk(end, byDemand, byZone, func(i, to int, s step) {
		if to >= 0 {
			g.served[i][to] += most
		}
		switch {
		case s.from < 0:
			g.left[i] -= most
		case s.swap:
			g.left[i] -= most
			g.left[s.from] += most
		default:
			g.served[i][s.from] -= most
		}
	})
	return true
}

// walk goes back over a path: for each demand on it the zone that it goes to, below 0 for none, and how it came to be there.
func (g *graph) walk(end int, byDemand []int, byZone []step, visit func(i, to int, s step)) {
	for i, to := byDemand[end], end; ; {
		s := byZone[i]
		visit(i, to, s)
		switch {
		case s.from < 0:
			return
		case s.swap:
			i, to = s.from, -1
		default:
			i, to = byDemand[s.from], s.from
		}
	}
}

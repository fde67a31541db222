package failover

import (
	"fmt"
	"math"
	"testing"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
	"pgregory.net/rapid"

	"brassdale/internal/testsupport/property"
)

// drawInputs draws up to four zones in two regions, with demands and cut routes.
func drawInputs(t *rapid.T) (zones []Zone, demands []Demand, reachable Reachability) {
	t.Helper()
	count := rapid.IntRange(1, 4).Draw(t, "zones")
	for i := range count {
		zones = append(zones, Zone{fmt.Sprint("z", i), fmt.Sprint("r", i%2), float64(rapid.IntRange(0, 20).Draw(t, "capacity"))})
		for class := range rapid.IntRange(0, 2).Draw(t, "classes") {
			work := float64(rapid.IntRange(0, 20).Draw(t, "work"))
			demands = append(demands, Demand{fmt.Sprint("z", i), fmt.Sprint("c", class), work, float64(1 + 5*class)})
		}
	}
	cut := map[string]bool{}
	for i := range count {
		for j := range count {
			if rapid.IntRange(0, 4).Draw(t, "cut") == 0 {
				cut[fmt.Sprint("z", i, "z", j)] = true
			}
		}
	}
	return zones, demands, func(from, to, _ string) (float64, bool) { return 1, !cut[from+to] }
}

// crossingCost returns the cost of a slot of work that goes from one zone to another. Leaving the region costs more than any number of
// crossings of zones.
func crossingCost(zones []Zone, from string, to Zone) float64 {
	for _, zone := range zones {
		if zone.Name == from && zone.Name == to.Name {
			return 0
		} else if zone.Name == from && zone.Region == to.Region {
			return 1e-4
		}
	}
	return 1e-2
}

// solveAsLinearProgram solves the problem of Solve as a linear program. It returns the maximum weight of work that can be served, and
// the minimum cost of crossings at this weight; NaN if the simplex method fails.
func solveAsLinearProgram(zones []Zone, demands []Demand, reachable Reachability, headroom float64) (weight, crossings float64) {
	demandCount, zoneCount := len(demands), len(zones)
	flows := demandCount * zoneCount
	columns := flows + demandCount + zoneCount // flows, shed work, capacity left
	cost := make([]float64, columns)
	coefficients := mat.NewDense(demandCount+zoneCount, columns, nil)
	bounds := make([]float64, demandCount+zoneCount)
	for row, demand := range demands {
		bounds[row] = demand.Work
		for j, zone := range zones {
			column := row*zoneCount + j
			coefficients.Set(row, column, 1)
			coefficients.Set(demandCount+j, column, 1)
			if _, ok := reachable(demand.Zone, zone.Name, demand.Class); !ok {
				cost[column] = 1e6
			} else {
				cost[column] = crossingCost(zones, demand.Zone, zone)
			}
		}
		coefficients.Set(row, flows+row, 1)
		cost[flows+row] = demand.Weight
	}
	for j, zone := range zones {
		bounds[demandCount+j] = zone.Capacity * (1 - headroom)
		coefficients.Set(demandCount+j, flows+demandCount+j, 1)
	}
	_, solution, err := lp.Simplex(cost, coefficients, bounds, 1e-10, nil)
	if err != nil {
		return math.NaN(), 0
	}
	for i, demand := range demands {
		weight += demand.Weight * (demand.Work - solution[flows+i])
		for j, zone := range zones {
			crossings += crossingCost(zones, demand.Zone, zone) * solution[i*zoneCount+j]
		}
	}
	return weight, crossings
}

// TestSolve_matchesLinearProgram checks that a flow stays within capacities and routes. It must serve the same weight of work as the
// solution of the linear program, within 1e-4, and have no more crossings.
func TestSolve_matchesLinearProgram(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		zones, demands, reachable := drawInputs(t)
		if len(demands) == 0 {
			return
		}
		headroom := rapid.SampledFrom([]float64{0, 0.15}).Draw(t, "headroom")
		flow := Solve(zones, demands, reachable, headroom)
		weight, crossings := 0.0, 0.0
		load := make([]float64, len(zones))
		for i, demand := range demands {
			sum := flow.Shed[i]
			for j, zone := range zones {
				served := flow.Served[i][j]
				if _, ok := reachable(demand.Zone, zone.Name, demand.Class); served < -1e-6 || served > 1e-6 && !ok {
					t.Fatalf("%v of %v served in %v, want at least 0, and 0 if it cannot reach the zone", served, demand, zone)
				}
				sum += served
				load[j] += served
				weight += demand.Weight * served
				crossings += crossingCost(zones, demand.Zone, zone) * served
			}
			if math.Abs(sum-demand.Work) > 1e-6 {
				t.Fatalf("%v of %v is served or shed, want all of it", sum, demand)
			}
		}
		for j, zone := range zones {
			if load[j] > zone.Capacity*(1-headroom)+1e-6 {
				t.Fatalf("%v slots of work served in %+v, more than its capacity minus the headroom", load[j], zone)
			}
		}
		mostWeight, leastCrossings := solveAsLinearProgram(zones, demands, reachable, headroom)
		if math.IsNaN(mostWeight) {
			return // degenerate for the simplex method
		}
		if weight < mostWeight-1e-4*(1+mostWeight) || crossings > leastCrossings+1e-5 {
			t.Fatalf("weight %v, want at least %v; crossings %v, want at most %v", weight, mostWeight, crossings, leastCrossings)
		}
	})
}

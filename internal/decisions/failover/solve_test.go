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

// drawInputs draws up to four zones in two regions, with demands and routes that are cut.
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

// crossingPrice returns the price of a slot of work that goes from one zone to another: one that leaves its region costs more than
// any number of crossings of zones.
func crossingPrice(zones []Zone, from string, to Zone) float64 {
	for _, zone := range zones {
		if zone.Name == from && zone.Name == to.Name {
			return 0
		} else if zone.Name == from && zone.Region == to.Region {
			return 1e-4
		}
	}
	return 1e-2
}

// solveAsLinearProgramme solves what Solve does as a linear programme. It returns the most weight of work that can be served, and
// the least price of crossings with it; no number where the simplex method fails.
func solveAsLinearProgramme(zones []Zone, demands []Demand, reachable Reachability, headroom float64) (weight, crossings float64) {
	demandCount, zoneCount := len(demands), len(zones)
	flows := demandCount * zoneCount
	columns := flows + demandCount + zoneCount // flows, what is shed, what capacity is left
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
				cost[column] = crossingPrice(zones, demand.Zone, zone)
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
			crossings += crossingPrice(zones, demand.Zone, zone) * solution[i*zoneCount+j]
		}
	}
	return weight, crossings
}

// TestSolve_matchesLinearProgramme checks that a flow stays within capacities and routes, serves as much weight of work as the solution of
// the linear programme within 1e-4, and has no more crossings.
func TestSolve_matchesLinearProgramme(t *testing.T) {
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
					t.Fatalf("%v of %v served in %v, which it cannot reach or below 0", served, demand, zone)
				}
				sum += served
				load[j] += served
				weight += demand.Weight * served
				crossings += crossingPrice(zones, demand.Zone, zone) * served
			}
			if math.Abs(sum-demand.Work) > 1e-6 {
				t.Fatalf("%v of %v is served or shed", sum, demand)
			}
		}
		for j, zone := range zones {
			if load[j] > zone.Capacity*(1-headroom)+1e-6 {
				t.Fatalf("%v of work planned in %+v", load[j], zone)
			}
		}
		mostWeight, leastCrossings := solveAsLinearProgramme(zones, demands, reachable, headroom)
		if math.IsNaN(mostWeight) {
			return // degenerate for the simplex method
		}
		if weight < mostWeight-1e-4*(1+mostWeight) || crossings > leastCrossings+1e-5 {
			t.Fatalf("weight %v of %v, crossings %v of %v", weight, mostWeight, crossings, leastCrossings)
		}
	})
}

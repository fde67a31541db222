package failover

import (
	"fmt"
	"math"
	"testing"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
	"pgregory.net/rapid"
)

// drawInputs draws zones, demands and ways.
func drawInputs(t *rapid.T) (zones []Zone, demands []Demand, ways Reachability) {
	n := rapid.IntRange(1, 4).Draw(t, "zones")
	for i := range n {
		zones = append(zones, Zone{fmt.Sprint("z", i), fmt.Sprint("r", i%2), float64(rapid.IntRange(0, 20).Draw(t, "capacity"))})
		for c := range rapid.IntRange(0, 2).Draw(t, "classes") {
			demands = append(demands, Demand{fmt.Sprint("z", i), fmt.Sprint("c", c), float64(rapid.IntRange(0, 20).Draw(t, "work")), float64(1 + 5*c)})
		}
	}
	cut := map[string]bool{}
	for i := range n {
		for j := range n {
			if rapid.IntRange(0, 4).Draw(t, "cut") == 0 {
				cut[fmt.Sprint("z", i, "z", j)] = true
			}
		}
	}
	return zones, demands, func(from, to, _ string) (float64, bool) { return 1, !cut[from+to] }
}

// crossingPrice is what a unit of work costs that crosses: out of a region more than any number of zones.
func crossingPrice(zones []Zone, from string, to Zone) float64 {
	for _, z := range zones {
		if z.Name == from && z.Name == to.Name {
			return 0
		} else if z.Name == from && z.Region == to.Region {
			return 1e-4
		}
	}
	return 1e-2
}

// solveAsLinearProgramme solves the same as a linear programme: the most worth, and then the least crossing.
func solveAsLinearProgramme(zones []Zone, demands []Demand, ways Reachability, headroom float64) (worth, crossing float64) {
	n, m := len(demands), len(zones)
	cols := n*m + n + m // flows, what is shed, what room is left
	cost := make([]float64, cols)
	a := mat.NewDense(n+m, cols, nil)
	b := make([]float64, n+m)
	for i, d := range demands {
		b[i] = d.Work
		for j, z := range zones {
			a.Set(i, i*m+j, 1)
			a.Set(n+j, i*m+j, 1)
			if _, ok := ways(d.Zone, z.Name, d.Class); !ok {
				cost[i*m+j] = 1e6
			} else {
				cost[i*m+j] = crossingPrice(zones, d.Zone, z)
			}
		}
		a.Set(i, n*m+i, 1)
		cost[n*m+i] = d.Weight
	}
	for j, z := range zones {
		b[n+j] = z.Capacity * (1 - headroom)
		a.Set(n+j, n*m+n+j, 1)
	}
	_, x, err := lp.Simplex(cost, a, b, 1e-10, nil)
	if err != nil {
		return math.NaN(), 0
	}
	for i, d := range demands {
		worth += d.Weight * (d.Work - x[n*m+i])
		for j, z := range zones {
			crossing += crossingPrice(zones, d.Zone, z) * x[i*m+j]
		}
	}
	return worth, crossing
}

// A flow keeps within room and ways, serves as much worth as the linear programme, and crosses no more.
func TestSolve_matchesLinearProgramme(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones, demands, ways := drawInputs(t)
		if len(demands) == 0 {
			return
		}
		headroom := rapid.SampledFrom([]float64{0, 0.15}).Draw(t, "headroom")
		f := Solve(zones, demands, ways, headroom)
		worth, crossing := 0.0, 0.0
		load := make([]float64, len(zones))
		for i, d := range demands {
			sum := f.Shed[i]
			for j, z := range zones {
				x := f.Served[i][j]
				if _, ok := ways(d.Zone, z.Name, d.Class); x < -1e-6 || x > 1e-6 && !ok {
					t.Fatalf("%v of %v in %v", x, d, z)
				}
				sum += x
				load[j] += x
				worth += d.Weight * x
				crossing += crossingPrice(zones, d.Zone, z) * x
			}
			if math.Abs(sum-d.Work) > 1e-6 {
				t.Fatalf("%v of %v is accounted for", sum, d)
			}
		}
		for j, z := range zones {
			if load[j] > z.Capacity*(1-headroom)+1e-6 {
				t.Fatalf("%v planned in %+v", load[j], z)
			}
		}
		best, least := solveAsLinearProgramme(zones, demands, ways, headroom)
		if math.IsNaN(best) {
			return // degenerate for the simplex method
		}
		if worth < best-1e-4*(1+best) || crossing > least+1e-5 {
			t.Fatalf("worth %v of %v, crossing %v of %v", worth, best, crossing, least)
		}
	})
}

// A job's own number gives its zone: in the shares of the plan, the same again, and most jobs stay where a plan moves a
// little. Mixed, two plans load a zone with no less than either.
func TestPlanChoose_followsShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones, demands, ways := drawInputs(t)
		a := newPlan(demands, zones, Solve(zones, demands, ways, 0.15))
		for i := range zones {
			zones[i].Capacity *= rapid.Float64Range(0.9, 1.1).Draw(t, "moves")
		}
		b := newPlan(demands, zones, Solve(zones, demands, ways, 0.15))
		apart := MaxDivergence(a, b, demands)
		for _, d := range demands {
			if d.Work < negligible {
				continue
			}
			moved, got := 0, map[string]int{}
			const n = 2000
			for k := range n {
				own := (float64(k) + 0.5) / n
				to, _ := a.Choose(d.Zone, d.Class, own)
				got[to]++
				if again, _ := b.Choose(d.Zone, d.Class, own); again != to {
					moved++
				}
			}
			for _, z := range zones {
				if share := a.Share(d.Zone, d.Class, z.Name); math.Abs(float64(got[z.Name])/n-share) > 2e-3 {
					t.Fatalf("%d of %d in %s, share %v", got[z.Name], n, z.Name, share)
				}
			}
			if float64(moved)/n > float64(len(zones)*len(zones))*apart+1e-2 {
				t.Fatalf("%d of %d moved, shares by %v", moved, n, apart)
			}
		}
		for zone, most := range MaxMixedLoad(a, b, demands) {
			if most < a.Load(demands)[zone]-1e-6 || most < b.Load(demands)[zone]-1e-6 {
				t.Fatalf("mixed %v in %s", most, zone)
			}
		}
		half := Interpolate(a, b, demands, 0.5)
		for zone, load := range half.Load(demands) {
			if load > max(a.Load(demands)[zone], b.Load(demands)[zone])+1e-6 {
				t.Fatalf("between two plans %v in %s", load, zone)
			}
		}
	})
}

package failover

import "math"

// flowPaths are the cheapest paths to demands and zones through a flowGraph, by index.
type flowPaths struct {
	demandCost, zoneCost []float64  // of the path to each; infinite if it is not reached
	step                 []pathStep // how each demand is reached
	servedDemand         []int      // the last demand on the path to each zone, which it serves
}

// pathStep says how a path reaches a demand: by diverting it from a zone, or by displacing another demand. Paths begin at unserved
// demands, the sources.
type pathStep struct {
	from      int  // index of the zone, or of the displaced demand; negative for a source
	displaces bool // from is a demand of the same weight, which is shed in place of this one
}

func (s pathStep) isSource() bool { return s.from < 0 }

// newFlowPaths returns flowPaths that reach no demand and no zone.
func newFlowPaths(demands, zones int) *flowPaths {
	paths := &flowPaths{
		demandCost:   make([]float64, demands),
		zoneCost:     make([]float64, zones),
		step:         make([]pathStep, demands),
		servedDemand: make([]int, zones),
	}
	for i := range paths.demandCost {
		paths.demandCost[i], paths.step[i].from = math.Inf(1), -1
	}
	for j := range paths.zoneCost {
		paths.zoneCost[j] = math.Inf(1)
	}
	return paths
}

// walkBack follows the path to the zone with index end back to its source. It calls visit for each demand on the path. The
// argument to is the index of the zone in which the path serves the demand, negative if the path sheds the demand; step is the
// step that reaches the demand.
func (p *flowPaths) walkBack(end int, visit func(demand, to int, step pathStep)) {
	for demand, to := p.servedDemand[end], end; ; {
		step := p.step[demand]
		visit(demand, to, step)
		switch {
		case step.isSource():
			return
		case step.displaces:
			demand, to = step.from, -1
		default:
			demand, to = p.servedDemand[step.from], step.from
		}
	}
}

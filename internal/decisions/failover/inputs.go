package failover

import (
	"maps"
	"math"
	"slices"
	"strings"
)

// arrivalsSmoothing is the weight of the newest reports in the smoothed arrivals, applied at each call of Planner.Next.
const arrivalsSmoothing = 0.4

// inputs returns the zones, sorted by name, with the capacities that plans may use, and the demands, sorted by zone and class.
func (p *Planner) inputs(now Instant) (zones []Zone, demands []Demand) {
	reported := map[string][]float64{}
	for _, report := range p.reports {
		for zone, capacity := range report.Capacity {
			reported[zone] = append(reported[zone], capacity)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.regions)) {
		capacity := median(reported[name]) // so that one wrong endpoint list has no effect
		if factor, ok := p.capacityFactors[name]; ok {
			capacity *= factor
		}
		if share, ok := p.zoneLimits[name]; ok {
			capacity *= share
		}
		zones = append(zones, Zone{name, p.regions[name], capacity * p.recoveryShare(name, now)})
	}
	for _, key := range slices.SortedFunc(maps.Keys(p.arrivals), zoneClass.compare) {
		arrivals := p.arrivals[key]
		demands = append(demands, Demand{key.zone, key.class, arrivals.Work, arrivals.Weight})
	}
	return zones, demands
}

// compare orders by zone, then by class.
func (k zoneClass) compare(other zoneClass) int {
	return strings.Compare(k.zone+"\x00"+k.class, other.zone+"\x00"+other.class)
}

// updateArrivals updates the smoothed arrivals with the sum of all reports. Without reports the arrivals of a zone and class decay to 0.
func (p *Planner) updateArrivals() {
	sums := map[zoneClass]Arrivals{}
	for _, report := range p.reports {
		for _, arrivals := range report.Arrivals {
			if !arrivals.isValid() {
				continue
			}
			key := zoneClass{report.Zone, arrivals.Class}
			sum := sums[key]
			sum.Work += arrivals.Work
			sum.Weight = max(sum.Weight, arrivals.Weight)
			sums[key] = sum
		}
	}
	for key, last := range p.arrivals {
		if _, ok := sums[key]; !ok {
			sums[key] = Arrivals{Weight: last.Weight}
		}
	}
	for key, sum := range sums {
		if last, ok := p.arrivals[key]; ok {
			sum.Work = last.Work + arrivalsSmoothing*(sum.Work-last.Work)
		}
		if sum.Work > negligible {
			p.arrivals[key] = sum
		} else {
			delete(p.arrivals, key)
		}
	}
}

// median returns the median of the finite, non-negative values. Of two middle values it returns the larger one. It returns 0 if
// there are no such values.
func median(values []float64) float64 {
	values = slices.DeleteFunc(slices.Clone(values), func(value float64) bool { return !(value >= 0) || math.IsInf(value, 0) })
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

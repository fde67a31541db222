package failover

import (
	"math"
	"slices"
)

// ZoneShare is a share of what arrives that is served in a zone.
type ZoneShare struct {
	Zone  string  `json:"zone"`
	Share float64 `json:"share"`
}

// Plan says for each zone of arrival and class where its jobs are served. What the parts lack of 1 is shed where it arrives.
// A zone or class that it does not name is served in its own zone.
type Plan struct {
	Number  uint64                            `json:"number"`
	Shares  map[string]map[string][]ZoneShare `json:"parts"`
	Reasons map[string]string                 `json:"why,omitempty"` // by zone, for people
}

// shares gives an entry.
func (p *Plan) shares(zone, class string) []ZoneShare {
	if p != nil {
		if all, ok := p.Shares[zone][class]; ok {
			return all
		}
	}
	return []ZoneShare{{zone, 1}}
}

// Share gives how much of what arrives a zone serves.
func (p *Plan) Share(from, class, to string) float64 {
	for _, part := range p.shares(from, class) {
		if part.Zone == to {
			return part.Share
		}
	}
	return 0
}

// Choose gives the zone for a job, by a number from 0 to 1 that is the job's own: the same plan gives the same zone, and a
// plan that moves a little moves few jobs. It is not ok where the job is shed.
func (p *Plan) Choose(from, class string, own float64) (zone string, ok bool) {
	for _, part := range p.shares(from, class) {
		if own < part.Share {
			return part.Zone, true
		}
		own -= part.Share
	}
	return "", false
}

// newPlan makes a plan of a flow.
func newPlan(demands []Demand, zones []Zone, f Flow) *Plan {
	p := &Plan{Shares: map[string]map[string][]ZoneShare{}}
	for i, d := range demands {
		if d.Work <= negligible {
			continue
		}
		parts := []ZoneShare{}
		for j, z := range zones {
			if share := f.Served[i][j] / d.Work; share > 1e-6 {
				parts = append(parts, ZoneShare{z.Name, math.Min(share, 1)})
			}
		}
		if p.Shares[d.Zone] == nil {
			p.Shares[d.Zone] = map[string][]ZoneShare{}
		}
		// The own zone first, then by name: what a job's own number gives then moves least from plan to plan.
		slices.SortFunc(parts, func(a, b ZoneShare) int {
			switch {
			case a.Zone == d.Zone:
				return -1
			case b.Zone == d.Zone:
				return 1
			case a.Zone < b.Zone:
				return -1
			}
			return 1
		})
		p.Shares[d.Zone][d.Class] = parts
	}
	return p
}

// Load gives the work that a plan has each zone serve.
func (p *Plan) Load(demands []Demand) map[string]float64 {
	load := map[string]float64{}
	for _, d := range demands {
		for _, part := range p.shares(d.Zone, d.Class) {
			load[part.Zone] += d.Work * part.Share
		}
	}
	return load
}

// MaxMixedLoad gives the most that each zone may get while some dispatchers act on one plan and others on the next.
func MaxMixedLoad(a, b *Plan, demands []Demand) map[string]float64 {
	load := map[string]float64{}
	for _, d := range demands {
		for _, zone := range zonesOfEither(a.shares(d.Zone, d.Class), b.shares(d.Zone, d.Class)) {
			load[zone] += d.Work * max(a.Share(d.Zone, d.Class, zone), b.Share(d.Zone, d.Class, zone))
		}
	}
	return load
}

func zonesOfEither(a, b []ZoneShare) (zones []string) {
	for _, part := range append(slices.Clone(a), b...) {
		if !slices.Contains(zones, part.Zone) {
			zones = append(zones, part.Zone)
		}
	}
	return zones
}

// MaxDivergence is the most by which a share of two plans differs, over what is asked for.
func MaxDivergence(a, b *Plan, demands []Demand) (most float64) {
	for _, d := range demands {
		if d.Work <= negligible {
			continue
		}
		for _, zone := range zonesOfEither(a.shares(d.Zone, d.Class), b.shares(d.Zone, d.Class)) {
			most = max(most, math.Abs(a.Share(d.Zone, d.Class, zone)-b.Share(d.Zone, d.Class, zone)))
		}
	}
	return most
}

// Interpolate gives the plan so far on the way from one to another, from 0 to 1. Where both are safe it is.
func Interpolate(a, b *Plan, demands []Demand, far float64) *Plan {
	p := &Plan{Shares: map[string]map[string][]ZoneShare{}}
	for _, d := range demands {
		from, to := a.shares(d.Zone, d.Class), b.shares(d.Zone, d.Class)
		parts := []ZoneShare{}
		for _, zone := range zonesOfEither(to, from) {
			if share := (1-far)*a.Share(d.Zone, d.Class, zone) + far*b.Share(d.Zone, d.Class, zone); share > 1e-6 {
				parts = append(parts, ZoneShare{zone, share})
			}
		}
		if p.Shares[d.Zone] == nil {
			p.Shares[d.Zone] = map[string][]ZoneShare{}
		}
		p.Shares[d.Zone][d.Class] = parts
	}
	return p
}

package failover

import (
	"math"
	"slices"
)

// minShare is the share below which a plan leaves a zone out.
const minShare = 1e-6

// ZoneShare is the share of the requests of a zone and class, from 0 to 1, that one zone serves.
type ZoneShare struct {
	Zone  string  `json:"zone"`
	Share float64 `json:"share"`
}

// Plan says in which zones requests are served. It is immutable. A nil Plan serves all requests in their own zones.
type Plan struct {
	Number uint64 `json:"number"` // increases from plan to plan
	// Shares are by zone of arrival and class. What they lack of 1 is shed where it arrives. A zone and class that are not named
	// are served in their own zone.
	Shares  map[string]map[string][]ZoneShare `json:"parts"`
	Reasons map[string]string                 `json:"why,omitempty"` // by zone, for people
}

// newPlan returns the plan that serves demands as a flow does.
func newPlan(demands []Demand, zones []Zone, flow Flow) *Plan {
	plan := &Plan{Shares: map[string]map[string][]ZoneShare{}}
	for i, demand := range demands {
		if demand.Work <= negligible {
			continue
		}
		shares := []ZoneShare{}
		for j, zone := range zones {
			if share := flow.Served[i][j] / demand.Work; share > minShare {
				shares = append(shares, ZoneShare{zone.Name, math.Min(share, 1)})
			}
		}
		sortShares(shares, demand.Zone)
		plan.setShares(demand.Zone, demand.Class, shares)
	}
	return plan
}

// sortShares sorts the own zone's share first and the others by name, so that Choose gives few requests another zone than under
// the plan before.
func sortShares(shares []ZoneShare, own string) {
	slices.SortFunc(shares, func(a, b ZoneShare) int {
		switch {
		case a.Zone == own:
			return -1
		case b.Zone == own:
			return 1
		case a.Zone < b.Zone:
			return -1
		}
		return 1
	})
}

// setShares sets the shares of a zone of arrival and class.
func (p *Plan) setShares(from, class string, shares []ZoneShare) {
	if p.Shares[from] == nil {
		p.Shares[from] = map[string][]ZoneShare{}
	}
	p.Shares[from][class] = shares
}

// shares returns the shares of a zone of arrival and class.
func (p *Plan) shares(from, class string) []ZoneShare {
	if p != nil {
		if shares, ok := p.Shares[from][class]; ok {
			return shares
		}
	}
	return []ZoneShare{{from, 1}}
}

// Share returns the share of the requests of a zone of arrival and class that the zone to serves.
func (p *Plan) Share(from, class, to string) float64 {
	for _, share := range p.shares(from, class) {
		if share.Zone == to {
			return share.Share
		}
	}
	return 0
}

// Choose returns the zone for a request, by a number of the request's own that is at least 0 and less than 1; ok is false where
// the request is shed. The same plan returns the same zone for the same number, and a plan whose shares differ little returns
// another zone for few numbers.
func (p *Plan) Choose(from, class string, number float64) (zone string, ok bool) {
	for _, share := range p.shares(from, class) {
		if number < share.Share {
			return share.Zone, true
		}
		number -= share.Share
	}
	return "", false
}

// Load returns the slots of work that the plan gives each zone.
func (p *Plan) Load(demands []Demand) map[string]float64 {
	load := map[string]float64{}
	for _, demand := range demands {
		for _, share := range p.shares(demand.Zone, demand.Class) {
			load[share.Zone] += demand.Work * share.Share
		}
	}
	return load
}

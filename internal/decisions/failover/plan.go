package failover

import (
	"math"
	"slices"
)

// minShare is the share up to which a plan omits a zone.
const minShare = 1e-6

// ZoneShare is the share of the requests of a zone and class, from 0 to 1, that one zone serves.
type ZoneShare struct {
	Zone  string  `json:"zone"`
	Share float64 `json:"share"`
}

// Plan says in which zones requests are served. It is immutable. A nil Plan serves all requests in their own zones.
type Plan struct {
	Number uint64 `json:"number"` // increases from plan to plan
	// Shares are keyed by zone of arrival and class. If they sum up to less than 1, the rest is shed where it arrives. Requests of
	// a zone and class without an entry are served in their own zone.
	Shares  map[string]map[string][]ZoneShare `json:"parts"`
	Reasons map[string]string                 `json:"why,omitempty"` // human-readable, by zone
}

// newPlan returns the plan that serves the demands according to flow.
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

// sortShares sorts the own zone's share first and the others by name, so that Choose returns the same zone as under the previous plan
// for most requests.
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

// Share returns which share of the requests of a class that arrive in the zone named from is served in the zone named to.
func (p *Plan) Share(from, class, to string) float64 {
	for _, share := range p.shares(from, class) {
		if share.Zone == to {
			return share.Share
		}
	}
	return 0
}

// Choose returns the zone for a request; ok is false if the request is shed. number is the request's own number, in [0, 1).
// The same plan returns the same zone for the same number, and plans whose shares differ little return different zones for few
// numbers.
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

package failover

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// ZoneView is what the planner makes of a zone.
type ZoneView struct {
	Zone            string   `json:"zone"`
	Region          string   `json:"region"`
	Capacity        float64  `json:"capacity"` // slots, as it is planned with
	Planned         float64  `json:"planned"`  // slots' work that the plan has it serve
	Demand          float64  `json:"asked"`    // that comes there
	Shed            float64  `json:"shed"`     // of what comes there
	CapacityFactor  float64  `json:"factor"`   // of its capacity that its times bear out
	UnreachableFrom []string `json:"out_from,omitempty"`
	Reason          string   `json:"why,omitempty"`
}

// Views gives it for all zones, by name.
func (p *Planner) Views(now Clock) (all []ZoneView) {
	zones, demands := p.inputs(now)
	load := p.plan.Load(demands)
	for _, z := range zones {
		v := ZoneView{Zone: z.Name, Region: z.Region, Capacity: z.Capacity, Planned: load[z.Name], CapacityFactor: 1}
		if f, ok := p.capacityFactors[z.Name]; ok {
			v.CapacityFactor = f
		}
		for _, d := range demands {
			if d.Zone == z.Name {
				v.Demand += d.Work
				served := 0.0
				for _, part := range p.plan.shares(d.Zone, d.Class) {
					served += part.Share
				}
				v.Shed += d.Work * max(1-served, 0)
			}
		}
		for _, o := range zones {
			if p.isExcluded(o.Name, z.Name, "") {
				v.UnreachableFrom = append(v.UnreachableFrom, o.Name)
			}
		}
		if p.plan != nil {
			v.Reason = p.plan.Reasons[z.Name]
		}
		all = append(all, v)
	}
	return all
}

// reasons gives the reasons that people see, by zone. They name causes, not figures that move: a new figure is no new plan.
func (p *Planner) reasons(zones []Zone, demands []Demand, target *Plan) map[string]string {
	why := map[string]string{}
	for _, z := range zones {
		var says []string
		if share, ok := p.zoneLimits[z.Name]; ok {
			says = append(says, fmt.Sprintf("held at %g of its capacity", share))
		}
		if p.isLost(z.Name) {
			says = append(says, "lost for most zones")
		}
		var from []string
		for _, o := range zones {
			if s := p.routes[route{o.Name, z.Name, ""}]; s != nil && s.excluded && !p.isLost(z.Name) {
				from = append(from, o.Name)
			}
		}
		if len(from) > 0 {
			says = append(says, "not reached from "+strings.Join(from, ", "))
		}
		classes := map[string]bool{}
		for w, s := range p.routes {
			if w.to == z.Name && w.class != "" && s.excluded {
				classes[w.class] = true
			}
		}
		l := p.zoneLosses[z.Name]
		returning := l != nil && !l.lost
		for _, c := range slices.Sorted(maps.Keys(classes)) {
			says = append(says, "answers no "+c)
		}
		if p.capacityFactors[z.Name] < 0.7 {
			says = append(says, "late")
		}
		if returning {
			says = append(says, "filled step by step")
		}
		shed, crosses := false, false
		for _, d := range demands {
			if d.Zone != z.Name {
				continue
			}
			sum := 0.0
			for _, part := range target.shares(d.Zone, d.Class) {
				sum += part.Share
				crosses = crosses || part.Zone != z.Name && part.Share > minShareChange
			}
			shed = shed || sum < 1-minShareChange
		}
		if crosses {
			says = append(says, "more than it has room for goes elsewhere")
		}
		if shed {
			says = append(says, "what is worth least is shed here")
		}
		if len(says) > 0 {
			why[z.Name] = strings.Join(says, "; ")
		}
	}
	return why
}

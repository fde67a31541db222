package failover

// ZoneView is the planner's state of a zone, for display.
type ZoneView struct {
	Zone            string   `json:"zone"`
	Region          string   `json:"region"`
	Capacity        float64  `json:"capacity"` // slots that plans may use, before Settings.Headroom
	Planned         float64  `json:"planned"`  // slots of work that the plan assigns to it
	Demand          float64  `json:"asked"`    // slots of work that arrive there
	Shed            float64  `json:"shed"`     // of Demand: slots of work that the plan sheds
	CapacityFactor  float64  `json:"factor"`   // share of its capacity, from 0 to 1, that plans use; reduced while few attempts are in time
	UnreachableFrom []string `json:"out_from,omitempty"`
	Reason          string   `json:"why,omitempty"` // why the plan treats the zone as it does; human-readable
}

// Views returns the views of all zones, sorted by name.
func (p *Planner) Views(now Instant) (all []ZoneView) {
	zones, demands := p.inputs(now)
	load := p.plan.Load(demands)
	for _, zone := range zones {
		view := ZoneView{Zone: zone.Name, Region: zone.Region, Capacity: zone.Capacity, Planned: load[zone.Name], CapacityFactor: 1}
		if factor, ok := p.capacityFactors[zone.Name]; ok {
			view.CapacityFactor = factor
		}
		for _, demand := range demands {
			if demand.Zone == zone.Name {
				view.Demand += demand.Work
				view.Shed += demand.Work * max(1-p.plan.servedShare(demand), 0)
			}
		}
		for _, from := range zones {
			if p.isExcluded(from.Name, zone.Name, "") {
				view.UnreachableFrom = append(view.UnreachableFrom, from.Name)
			}
		}
		if p.plan != nil {
			view.Reason = p.plan.Reasons[zone.Name]
		}
		all = append(all, view)
	}
	return all
}

// servedShare returns the share of a demand that the plan serves, in all zones together.
func (p *Plan) servedShare(demand Demand) (served float64) {
	for _, share := range p.shares(demand.Zone, demand.Class) {
		served += share.Share
	}
	return served
}

package scale

import (
	"fmt"
	"slices"

	"brassdale/internal/fleet"
)

// Settings of the fleet that are the same in all runs.
const (
	retryRatio      = 0.1
	probesPerSecond = 40
)

// layOut creates the run's dispatchers, with their zones and addresses, and the links between regions. It starts no process.
func (r *run) layOut() error {
	if err := r.layOutReal(); err != nil {
		return err
	}
	if err := r.layOutHollow(); err != nil {
		return err
	}
	for _, voter := range r.dispatchers[:r.plan.Voters] {
		r.voterAddresses = append(r.voterAddresses, voter.fleetAddress)
	}
	r.failover = r.plan.failoverSettings()
	r.overload = &fleet.Overload{RetryRatio: retryRatio, ProbesPerSecond: probesPerSecond}
	if r.plan.CountLinks || r.plan.Fault != nil && r.plan.Fault.Kind == RegionPartitioned {
		return r.openLinks()
	}
	return nil
}

// layOutReal creates the real dispatchers: first those dedicated to control, then those that serve jobs, then the baseline ones. The first
// Plan.Voters of them are the voters, in the zones of Plan.voterZone.
func (r *run) layOutReal() error {
	var free []int
	for listener := range r.plan.emulatorDispatchers() - 1 {
		free = append(free, listener)
	}
	firstServing, firstBaseline := r.plan.Dedicated, r.plan.Dedicated+r.plan.Real()
	for i := range firstBaseline + r.plan.Baseline {
		added := &dispatcher{name: fmt.Sprint("n", i), role: roleServing}
		switch {
		case i >= firstBaseline:
			added.role = roleBaseline
		case i < firstServing:
			added.role = roleDedicated
		}
		zone := free[0] % r.plan.Zones
		if i < r.plan.Voters {
			added.voterNumber, zone = i+1, r.plan.voterZone(i)
		}
		added.emulatorIndex, free = takeEmulatorIndex(free, zone, r.plan.Zones)
		added.zone = added.emulatorIndex % r.plan.Zones
		if err := r.addDispatcher(added); err != nil {
			return err
		}
	}
	return nil
}

// takeEmulatorIndex takes the first free listener of a zone, or the first free one of all zones if the zone has none. It also
// returns the listeners that remain free.
func takeEmulatorIndex(free []int, zone, zones int) (listener int, rest []int) {
	i := max(slices.IndexFunc(free, func(listener int) bool { return listener%zones == zone }), 0)
	listener = free[i]
	return listener, slices.Delete(free, i, i+1)
}

// layOutHollow creates the hollow dispatchers and groups them by process. Dispatchers that a fault replaces have a process each.
func (r *run) layOutHollow() error {
	groups := make([][]*dispatcher, r.plan.Processes)
	firstReplaced := r.plan.Hollow
	if fault := r.plan.Fault; fault != nil && fault.Kind == DispatchersReplaced {
		firstReplaced -= fault.Count
	}
	for i := range r.plan.Hollow {
		group := i % r.plan.Processes
		added := &dispatcher{name: fmt.Sprint("h", i), role: roleServing, hollow: true, zone: group % r.plan.Zones}
		if i >= firstReplaced {
			groups = append(groups, []*dispatcher{added})
		} else {
			groups[group] = append(groups[group], added)
		}
		if err := r.addDispatcher(added); err != nil {
			return err
		}
	}
	var baselineGroup []*dispatcher
	for i := range r.plan.HollowBaseline {
		added := &dispatcher{name: fmt.Sprint("b", i), role: roleBaseline, hollow: true}
		baselineGroup = append(baselineGroup, added)
		if err := r.addDispatcher(added); err != nil {
			return err
		}
	}
	groups = append(groups, baselineGroup)
	r.hollowGroups = slices.DeleteFunc(groups, func(group []*dispatcher) bool { return len(group) == 0 })
	return nil
}

// addDispatcher adds a dispatcher to the run, at an address of its own. The caller holds the run's mutex, unless nothing runs yet.
func (r *run) addDispatcher(added *dispatcher) error {
	address, err := reserveAddress()
	added.fleetAddress = address
	r.dispatchers = append(r.dispatchers, added)
	return err
}

// failoverSettings returns the fleet's settings for failover, with the plan's regions and their zones.
func (p *Plan) failoverSettings() *fleet.Failover {
	settings := fleet.DefaultFailover()
	for number := range p.Regions {
		region := fleet.Region{Name: regionName(number)}
		for zone := range p.Zones {
			if p.region(zone) == number {
				region.Zones = append(region.Zones, zoneName(zone))
			}
		}
		settings.Regions = append(settings.Regions, region)
	}
	return &settings
}

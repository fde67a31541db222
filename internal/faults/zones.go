package faults

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"brassdale/internal/decisions/failover"
	"brassdale/internal/emulator"
	"brassdale/scheduler"
)

// ZoneDeployment is a deployment with zones in regions, with faults of zones. The fleet may agree on a failover plan for it.
type ZoneDeployment struct {
	Zones      int
	Regions    int
	Workers    int           // of all zones
	Load       float64       // as a share of the capacity of all workers
	FleetPlans bool          // the fleet agrees on a failover plan; otherwise each process decides by itself
	Headroom   float64       // share of a zone's capacity that a failover plan leaves free
	ReturnIn   time.Duration // ramp of a recovered zone's share
	Faults     []emulator.Fault
}

const (
	workerSlots     = 5
	jobSeconds      = 0.2 // work of a job on a worker, in seconds
	crossZoneCost   = 0.03
	crossZoneDelay  = 5 * time.Millisecond
	maxPlanAge      = 10 * time.Second // how long a process acts on a failover plan without renewing it
	minCrossingStep = 500 * time.Millisecond
)

// regionOf returns the region of a zone; both are counted from 0.
func (p *ZoneDeployment) regionOf(zone int) int { return zone * p.Regions / p.Zones }

// zoneName returns the name of a zone, by its number from 0.
func zoneName(zone int) string { return fmt.Sprintf("z%d", zone) }

// regionName returns the name of a region, by its number from 0.
func regionName(region int) string { return fmt.Sprintf("r%d", region) }

// addTo sets the scenario's workers, zones and traffic, and adds the faults of zones.
func (p *ZoneDeployment) addTo(scenario *emulator.Scenario) {
	scenario.Kinds = []emulator.WorkerKind{{Name: "box", Count: p.Workers, Slots: workerSlots, SpeedMin: 0.9, SpeedMax: 1.1}}
	network := &scenario.Network
	network.Zones, network.Regions, network.CrossPrice, network.Cross = p.Zones, p.Regions, crossZoneCost, crossZoneDelay
	traffic := &scenario.Traffic
	traffic.Work, traffic.Subjects, traffic.Idempotency = jobSeconds, 0, scheduler.Idempotent
	traffic.Rate = p.Load * float64(p.Workers*workerSlots) / jobSeconds
	scenario.Faults = append(scenario.Faults, p.Faults...)
}

// operatorBlock returns the failover block of the operator file, or an empty text.
func (p *ZoneDeployment) operatorBlock() string {
	if p == nil || !p.FleetPlans {
		return ""
	}
	var text strings.Builder
	text.WriteString("failover {\n")
	for region := range p.Regions {
		var names []string
		for zone := range p.Zones {
			if p.regionOf(zone) == region {
				names = append(names, fmt.Sprintf("%q", zoneName(zone)))
			}
		}
		fmt.Fprintf(&text, " region %q {\n  zones = [%s]\n }\n", regionName(region), strings.Join(names, ", "))
	}
	fmt.Fprintf(&text, " headroom = %g\n return_in = %q\n alone = %q\n}\n", p.Headroom, p.ReturnIn, maxPlanAge)
	return text.String()
}

// minCrossing returns the minimum share of the work that has to be served outside its zone over a span, given the zones' capacities. Lost
// zones have no capacity.
func (p *ZoneDeployment) minCrossing(span time.Duration) float64 {
	crossed := 0.0
	for at := time.Duration(0); at < span; at += minCrossingStep {
		crossed += p.minCrossingAt(at)
	}
	return crossed * float64(minCrossingStep) / float64(span)
}

// minCrossingAt returns the same minimum share as minCrossing, but for one time since the run began.
func (p *ZoneDeployment) minCrossingAt(at time.Duration) float64 {
	capacity := float64(p.Workers*workerSlots) / float64(p.Zones)
	var zones []failover.Zone
	var demands []failover.Demand
	for i := range p.Zones {
		zone := failover.Zone{Name: zoneName(i), Region: regionName(p.regionOf(i)), Capacity: capacity}
		if p.zoneLostAt(i, at) {
			zone.Capacity = 0
		}
		zones = append(zones, zone)
		demands = append(demands, failover.Demand{Zone: zone.Name, Class: "x", Work: p.Load * capacity, Weight: 1})
	}
	flow := failover.Solve(zones, demands, func(string, string, string) (float64, bool) { return 0, true }, p.Headroom)
	crossed := 0.0
	for i, demand := range demands {
		for j, zone := range zones {
			if demand.Zone != zone.Name {
				crossed += flow.Served[i][j] / (p.Load * float64(p.Workers*workerSlots))
			}
		}
	}
	return crossed
}

// zoneLostAt reports whether a zone, counted from 0, is lost at a time since the run began.
func (p *ZoneDeployment) zoneLostAt(zone int, at time.Duration) bool {
	return slices.ContainsFunc(p.Faults, func(fault emulator.Fault) bool {
		return fault.Kind == emulator.ZoneLost && fault.Zone-1 == zone && at >= fault.At && at < fault.At+fault.For
	})
}

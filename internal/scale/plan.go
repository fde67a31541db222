package scale

import (
	"time"

	"brassdale/internal/fleet"
)

// Plan describes one run: the size of a fleet, its load, and the changes and the fault during the run.
type Plan struct {
	Title string
	Seed  uint64 // of jobs, proposals, workers and links

	Settle             time.Duration // from when all dispatchers have leases until the measured span begins
	Span               time.Duration // measured span
	SpanWithoutChanges time.Duration // at the start of Span, without config changes; 0 if there is no such part

	LeaseDuration time.Duration
	ReplaceAfter  time.Duration // a voter that is silent for so long is replaced

	Regions      int
	Zones        int
	Workers      int
	Accelerators int     // slots of all workers together
	Teams        int     // accounts with quotas
	Dispatchers  int     // dispatchers that serve jobs, real and hollow
	Voters       int     // initial voters of the raft group
	Dedicated    int     // real dispatchers that are dedicated to control, not in Dispatchers; they are the first voters
	Hollow       int     // how many of Dispatchers are hollow
	Processes    int     // for the hollow dispatchers
	Baseline     int     // real dispatchers without a fleet agent, not in Dispatchers
	Rate         float64 // jobs a second of all Dispatchers together; a real or baseline one gets its share, a hollow one reports it

	ChangeInterval  time.Duration // between proposals of config versions; 0 to propose none
	ChangesPerDay   float64       // changes a day that the operators' capacity plan expects
	RestartInterval time.Duration // between restarts of a worker; 0 to restart none
	DrainInterval   time.Duration // between drains of a worker, which does not return; 0 to drain none
	Fault           *Fault        // nil for a run without a fault

	// SkipWorkerProbes turns off the worker probes of real dispatchers. Probes and jobs are not part of control and not counted, so without
	// both, all traffic on the loopback interface is counted. Only tests set it.
	SkipWorkerProbes bool
	// HollowBaseline is the number of hollow dispatchers without a fleet agent. They share a process of their own. Only ComparisonPlans sets it.
	HollowBaseline int
	// CountLinks routes calls to voters of other regions over links without faults, and counts the links' traffic. Only tests set it.
	CountLinks bool
}

// Real returns the number of real dispatchers that serve jobs and belong to the fleet.
func (p *Plan) Real() int { return p.Dispatchers - p.Hollow }

// ChangeRateFactor returns the ratio of the run's rate of changes to the rate in the operators' capacity plan; 0 without changes.
func (p *Plan) ChangeRateFactor() float64 {
	if p.ChangeInterval == 0 || p.ChangesPerDay == 0 {
		return 0
	}
	return (24 * time.Hour).Seconds() / p.ChangeInterval.Seconds() / p.ChangesPerDay
}

// plannedChanges returns how many changes fit into the measured span.
func (p *Plan) plannedChanges() int {
	if p.ChangeInterval == 0 {
		return 0
	}
	return int((p.Span - p.SpanWithoutChanges + p.ChangeInterval - 1) / p.ChangeInterval)
}

// emulatorDispatchers returns the number of dispatchers for which the emulator provides workers and discovery: one for each real dispatcher, and
// the last for all hollow ones.
func (p *Plan) emulatorDispatchers() int { return p.Dedicated + p.Real() + p.Baseline + 1 }

// region returns the region of a zone, as the emulator assigns them.
func (p *Plan) region(zone int) int { return zone * p.Regions / p.Zones }

// zoneCapacity returns the slots of each zone, by its name.
func (p *Plan) zoneCapacity() map[string]float64 {
	capacity := map[string]float64{}
	for worker := range p.Workers { // as the emulator assigns them: the smaller workers first
		slots := p.Accelerators / p.Workers
		if worker >= p.Workers-(p.Accelerators-slots*p.Workers) {
			slots++
		}
		capacity[zoneName(worker%p.Zones)] += float64(slots)
	}
	return capacity
}

// voterZone returns the zone of a voter; both are counted from 0. Voters are spread evenly over all regions, and in each region over its zones.
func (p *Plan) voterZone(voter int) int {
	var zones []int
	for zone := range p.Zones {
		if p.region(zone) == voter%p.Regions {
			zones = append(zones, zone)
		}
	}
	return zones[voter/p.Regions%len(zones)]
}

// reportFunc is called with a mistake at an attribute of a file. The detail is formatted as by fmt.Sprintf.
type reportFunc func(attribute, format string, args ...any)

// maxSockets is the number of listening sockets that the workers of a run may have, which is limited by the machine's ports and descriptors.
const maxSockets = 12_000

// maxEmulatorDispatchers returns the number of dispatchers that the emulator can serve: each worker has a listener for each of them.
func maxEmulatorDispatchers(workers int) int { return maxSockets / max(workers, 1) }

// check reports what makes the plan invalid, by the attributes of its file.
func (p *Plan) check(report reportFunc) {
	if p.LeaseDuration > 0 && p.LeaseDuration < fleet.MinLease {
		report("bound", "It must be at least %v.", fleet.MinLease)
	}
	if p.ReplaceAfter > 0 && p.ReplaceAfter < fleet.MinReplaceAfter {
		report("replace", "It must be at least %v.", fleet.MinReplaceAfter)
	}
	p.checkSizes(report)
	if p.SpanWithoutChanges > 0 && p.SpanWithoutChanges >= p.Span {
		report("rest", "It must be shorter than the span.")
	}
	if p.Teams < 0 {
		report("teams", "It must be 0 or more.")
	}
	if p.Baseline < 0 {
		report("bare", "It must be 0 or more.")
	}
	if p.Rate < 0 {
		report("rate", "It must be 0 or more.")
	}
	if p.Fault != nil {
		p.Fault.check(p, report)
	}
}

// checkSizes reports sizes that do not fit together.
func (p *Plan) checkSizes(report reportFunc) {
	if p.Regions < 1 || p.Regions > p.Zones {
		report("regions", "It must be from 1 to the number of zones.")
	}
	if p.Workers < p.Zones || p.Workers < 1 {
		report("workers", "There must be at least one for each zone.")
	}
	if p.Accelerators < p.Workers {
		report("accelerators", "There must be at least one for each worker.")
	}
	if p.Voters != 1 && p.Voters != 3 && p.Voters != 5 {
		report("seats", "There must be 1, 3 or 5.")
	}
	if p.Dedicated < 0 || p.Voters > p.Dedicated+p.Real() {
		report("set_aside", "Together with the real dispatchers, there must be at least one for each seat.")
	}
	if p.Hollow < 0 || p.Hollow > p.Dispatchers {
		report("hollow", "It must be from 0 to dispatchers.")
	}
	if p.Hollow > 0 && (p.Processes < min(p.Zones, p.Hollow) || p.Processes > p.Hollow) {
		report("processes", "There must be at least one for each zone, and no more than hollow dispatchers.")
	}
	if listeners := p.emulatorDispatchers(); listeners > maxEmulatorDispatchers(p.Workers) {
		report("dispatchers", "%d real dispatchers are too many with %d workers, at most %d: more must be hollow.", listeners-1, p.Workers, maxEmulatorDispatchers(p.Workers)-1)
	}
}

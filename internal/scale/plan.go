package scale

import (
	"time"

	"brassdale/internal/fleet"
)

// Plan is one run: the size of a fleet and what happens to it.
type Plan struct {
	Title string
	Seed  uint64 // of jobs, proposals, workers and links

	Settle             time.Duration // from when all dispatchers have leases until the measured span begins
	Span               time.Duration // that is measured
	SpanWithoutChanges time.Duration // at the start of the span, without changes; 0 for none

	LeaseDuration time.Duration
	ReplaceAfter  time.Duration // a voter that is silent for this long is replaced

	Regions      int
	Zones        int
	Workers      int
	Accelerators int     // slots of all workers together
	Teams        int     // accounts with quotas
	Dispatchers  int     // that serve jobs, real and hollow
	Voters       int     // of the raft group as it is founded
	Dedicated    int     // real dispatchers beside Dispatchers that are dedicated to control; they are the first voters
	Hollow       int     // of Dispatchers
	Processes    int     // of the hollow dispatchers
	Baseline     int     // real dispatchers beside Dispatchers that have no fleet
	Rate         float64 // jobs a second, of all Dispatchers; a real or bare one gets its part, a hollow one reports it

	ChangeInterval  time.Duration // between proposals of config versions; 0 for none
	ChangesPerDay   float64       // that a day has in the operators' capacity plan
	RestartInterval time.Duration // between restarts of a worker; 0 for none
	DrainInterval   time.Duration // between drains of a worker, which then leaves for good; 0 for none
	Fault           *Fault        // nil for none

	// SkipWorkerProbes has real dispatchers probe no worker: a run without jobs then has nothing on the loopback interface that is not
	// counted, as probes and jobs are no part of control and go over connections of their own. Tests set it; files cannot.
	SkipWorkerProbes bool
	// HollowBare is the number of hollow dispatchers that have no fleet. They share a process of their own. Only ComparisonPlans sets it.
	HollowBaseline int
	// CountLinks has calls to voters of other regions go over links without faults, and counts what these carry. Tests set it; files cannot.
	CountLinks bool
}

// Real returns the number of real dispatchers that serve jobs and belong to the fleet.
func (p *Plan) Real() int { return p.Dispatchers - p.Hollow }

// Packing returns how many times as often changes come as on a day of the operators' capacity plan; 0 without changes.
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

// emulatorDispatchers returns the number of dispatchers that the emulator plays workers and discovery for: one for each real dispatcher, and the last
// one for all hollow ones.
func (p *Plan) emulatorDispatchers() int { return p.Dedicated + p.Real() + p.Baseline + 1 }

// region returns the region of a zone, as the emulator assigns them.
func (p *Plan) region(zone int) int { return zone * p.Regions / p.Zones }

// zoneCapacity returns the slots of each zone, by its name.
func (p *Plan) zoneCapacity() map[string]float64 {
	capacity := map[string]float64{}
	for worker := range p.Workers { // as the emulator assigns them: the smaller ones first
		slots := p.Accelerators / p.Workers
		if worker >= p.Workers-(p.Accelerators-slots*p.Workers) {
			slots++
		}
		capacity[zoneName(worker%p.Zones)] += float64(slots)
	}
	return capacity
}

// voterZone returns the zone of a voter, counted from 0. Voters are spread over as many regions, and within these over as many zones, as
// there are.
func (p *Plan) voterZone(voter int) int {
	var zones []int
	for zone := range p.Zones {
		if p.region(zone) == voter%p.Regions {
			zones = append(zones, zone)
		}
	}
	return zones[voter/p.Regions%len(zones)]
}

// reportFunc takes a mistake at an attribute of a file. The detail is formatted as by fmt.Sprintf.
type reportFunc func(attribute, format string, args ...any)

// maxSockets is how many listening sockets the workers of a run may have: a machine's ports and descriptors suffice for so many.
const maxSockets = 12_000

// maxEmulatorDispatchers returns how many dispatchers the emulator can play workers for: each of these has a listener for each worker.
func maxEmulatorDispatchers(workers int) int { return maxSockets / max(workers, 1) }

// check reports what makes the plan unplayable, by the attributes of its file.
func (p *Plan) check(report reportFunc) {
	if p.LeaseDuration > 0 && p.LeaseDuration < fleet.MinLease {
		report("bound", "It must be %v at least.", fleet.MinLease)
	}
	if p.ReplaceAfter > 0 && p.ReplaceAfter < fleet.MinReplaceAfter {
		report("replace", "It must be %v at least.", fleet.MinReplaceAfter)
	}
	p.checkSizes(report)
	if p.SpanWithoutChanges > 0 && p.SpanWithoutChanges >= p.Span {
		report("rest", "It must be shorter than the span.")
	}
	if p.Teams < 0 {
		report("teams", "There must be 0 at least.")
	}
	if p.Baseline < 0 {
		report("bare", "There must be 0 at least.")
	}
	if p.Rate < 0 {
		report("rate", "It must be 0 at least.")
	}
	if p.Fault != nil {
		p.Fault.check(p, report)
	}
}

// checkSizes reports sizes that do not fit together.
func (p *Plan) checkSizes(report reportFunc) {
	if p.Regions < 1 || p.Regions > p.Zones {
		report("regions", "There must be 1 at least, and no more than zones.")
	}
	if p.Workers < p.Zones || p.Workers < 1 {
		report("workers", "There must be one for each zone.")
	}
	if p.Accelerators < p.Workers {
		report("accelerators", "There must be one for each worker.")
	}
	if p.Voters != 1 && p.Voters != 3 && p.Voters != 5 {
		report("seats", "There must be 1, 3 or 5.")
	}
	if p.Dedicated < 0 || p.Voters > p.Dedicated+p.Real() {
		report("set_aside", "Seats need machines set aside, or real dispatchers.")
	}
	if p.Hollow < 0 || p.Hollow > p.Dispatchers {
		report("hollow", "There must be no more than dispatchers.")
	}
	if p.Hollow > 0 && (p.Processes < min(p.Zones, p.Hollow) || p.Processes > p.Hollow) {
		report("processes", "There must be one for each zone at least, and no more than hollow dispatchers.")
	}
	if listeners := p.emulatorDispatchers(); listeners > maxEmulatorDispatchers(p.Workers) {
		report("dispatchers", "%d real ones are too many with %d workers, at most %d: more must be hollow.", listeners-1, p.Workers, maxEmulatorDispatchers(p.Workers)-1)
	}
}

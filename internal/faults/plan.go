// Package faults plays fault scenarios: it starts real dispatcher processes on loopback, against the workers and the discovery of
// package emulator, injects faults into them and into the network links between them, and measures what clients and the fleet's
// agreement on config versions suffered.
//
// A fault scenario is an HCL file (File; scenarios/fleet has examples). With a seed it gives a Plan, which Run plays in real time
// and returns as a Result. The faults are events: they are listed in the scenario or drawn from the seed (Draw), and the same seed
// gives the same events. 'brassdale-lab fleet' plays scenarios from the command line. The links between processes are those of package
// faultlink; what processes acted on is read from their logs by package effectivestate.
package faults

import (
	"time"

	"brassdale/internal/emulator"
)

// Plan is everything that a run does.
type Plan struct {
	Seed              uint64
	Processes         int           // dispatchers
	Voters            int           // the first processes are the voters of the raft group; 0 for dispatchers without a fleet
	Bound             time.Duration // the fleet's bound on how long two dispatchers may act on contradicting versions
	Span              time.Duration // of the run, without the time until the fleet agrees at the end
	MeanInterval      time.Duration // mean time between two drawn faults
	MaxDuration       time.Duration // longest duration of a drawn fault
	Kinds             []EventKind   // of faults to draw; empty to play Events
	Rate              float64       // jobs a second; with Zones, their load decides
	ProposalInterval  time.Duration // time between two proposals of rules
	Release           *Release      // nil for none
	ReplaceVoterAfter time.Duration // how long a voter may be silent before it is replaced; 0 for the fleet's default
	Events            []Event       // played if Kinds is empty
	Zones             *ZonePlan     // nil for the zones of the reference scenario, without failover
	Overload          *Overload     // nil for none; tests set it, files cannot
	OlderBuilds       int           // so many of the last processes are of an older build
}

// The random sources of a seed. Each user of randomness has its own, so that its choices do not depend on the others'. Package faultlink has
// source 1.
const (
	scheduleSource = 2
	jobSource      = 3
	proposalSource = 4
)

// scenario returns the scenario of the emulator that has the plan's workers, discovery and faults of these.
func (p *Plan) scenario() emulator.Scenario {
	scenario := emulator.ReferenceScenario(p.Seed)
	scenario.Span, scenario.Dispatchers, scenario.Traffic.Rate = p.Span, p.Processes, p.Rate
	if p.Release != nil {
		p.Release.addTo(&scenario)
	}
	if p.Overload != nil {
		p.Overload.addTo(&scenario)
	}
	if p.Zones != nil {
		p.Zones.addTo(&scenario)
	}
	return scenario
}

// events returns the events to play.
func (p *Plan) events() []Event {
	if len(p.Kinds) > 0 {
		return Draw(p.Seed, p.Kinds, p.Processes, p.Voters, p.Span, p.MeanInterval, p.MaxDuration)
	}
	return p.Events
}

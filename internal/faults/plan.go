// Package faults runs fault scenarios. It starts real dispatcher processes on loopback, with the workers and the discovery of package
// emulator, injects faults into the processes and into the network links between them, and measures the effect on clients and on the
// fleet's agreement on config versions.
//
// A fault scenario is an HCL file (File; scenarios/fleet has examples). A file and a seed give a Plan. Run executes the plan in real time
// and returns a Result. The faults are events, which the scenario lists or which are drawn from the seed (Draw); the same seed gives the
// same events. 'brassdale-lab fleet' runs scenarios from the command line. Package faultlink provides the links between processes, and
// package effectivestate reads the versions that processes acted on from their logs.
package faults

import (
	"time"

	"brassdale/internal/emulator"
)

// Plan describes a run.
type Plan struct {
	Seed              uint64
	Processes         int             // dispatchers
	Voters            int             // the first processes are the voters of the raft group; 0 for dispatchers without a fleet
	Bound             time.Duration   // the fleet's bound on how long two dispatchers may act on contradicting versions
	Span              time.Duration   // of the run, without the wait for agreement at its end
	MeanInterval      time.Duration   // mean time between two drawn faults
	MaxDuration       time.Duration   // longest duration of a drawn fault
	Kinds             []EventKind     // of faults to draw; empty to use Events
	Rate              float64         // jobs a second; with Zones, their Load sets the rate
	ProposalInterval  time.Duration   // time between two proposals of rules
	Release           *Release        // nil for a run without a release
	ReplaceVoterAfter time.Duration   // how long a voter may be silent before it is replaced; 0 for the fleet's default
	Events            []Event         // used if Kinds is empty
	Zones             *ZoneDeployment // nil for the zones of the reference scenario, without failover
	Overload          *Overload       // nil for a run without an overload; only tests set it
	OlderBuilds       int             // number of processes of an older build, the last ones
}

// The random sources of a seed. Each user of randomness has its own source, so that its draws do not depend on the other users. Package
// faultlink uses source 1.
const (
	scheduleSource = 2
	jobSource      = 3
	proposalSource = 4
)

// scenario returns the emulator's scenario with the plan's workers and discovery, and with their faults.
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

// events returns the events of the run.
func (p *Plan) events() []Event {
	if len(p.Kinds) > 0 {
		return Draw(p.Seed, p.Kinds, p.Processes, p.Voters, p.Span, p.MeanInterval, p.MaxDuration)
	}
	return p.Events
}

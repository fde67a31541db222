package scale

import "time"

// FaultKind is what fails in a run. Its text is its name in files and results.
type FaultKind string

// The kinds of faults. To add one:
//   - faultKinds and check; fault in file.go for the attributes that its block may have.
//   - affectedBy and injectFault in faultinjection.go: which dispatchers it affects, and what happens to them. Without a case in affectedBy
//     it affects none. Without a case in injectFault the affected dispatchers are killed and restarted.
//   - workerFaults in scenario.go: the faults of workers and zones that the emulator injects.
//   - layOut and layOutHollow in layout.go: whether it needs links between regions, or hollow dispatchers with a process each.
//   - dispatcherRecoveredAt in faultcost.go: whether dispatchers that it kills should run again.
const (
	VoterLost            FaultKind = "seat"     // the leader's machine is lost, or the first voter's if no dedicated dispatcher leads
	ZoneLost             FaultKind = "zone"     // a zone's workers, voters and dispatchers are lost
	RegionPartitioned    FaultKind = "regions"  // a region and the other regions do not reach each other
	DispatchersReplaced  FaultKind = "replaced" // dispatchers are killed one by one, and new ones start in their place
	DispatchersRestarted FaultKind = "together" // all dispatchers are killed and restarted at once
)

var faultKinds = []FaultKind{VoterLost, ZoneLost, RegionPartitioned, DispatchersReplaced, DispatchersRestarted}

// Fault is a fault that is injected in a run.
type Fault struct {
	Kind   FaultKind
	At     time.Duration // since the start of the measured span
	For    time.Duration // 0 for a fault that does not end
	After  time.Duration // measured time after its end
	Count  int           // number of dispatchers to replace
	Zone   int           // the lost zone, counted from 0
	Region int           // the partitioned region, counted from 0
}

// defaultMeasuredAfter is Fault.After if a file does not set it.
const defaultMeasuredAfter = 30 * time.Second

// check reports the fault's requirements that a plan does not meet.
func (f *Fault) check(plan *Plan, report reportFunc) {
	switch f.Kind {
	case VoterLost:
		if plan.Dedicated < 1 || plan.Voters < 3 {
			report("kind", "It needs set_aside of at least 1, and at least 3 seats.")
		}
	case ZoneLost:
		if plan.Zones < 2 {
			report("kind", "It needs at least 2 zones.")
		}
	case RegionPartitioned:
		if plan.Regions < 2 {
			report("kind", "It needs at least 2 regions.")
		}
	case DispatchersReplaced:
		if f.Count < 1 || f.Count > plan.Hollow {
			report("count", "It must be from 1 to the number of hollow dispatchers.")
		}
	case DispatchersRestarted:
	default:
		report("kind", "There is no kind %q; there are %v.", f.Kind, faultKinds)
	}
}

// measuredSpan returns the minimum measured span of a run with the fault.
func (f *Fault) measuredSpan() time.Duration { return f.At + f.For + f.After }

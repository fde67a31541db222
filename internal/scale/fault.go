package scale

import "time"

// FaultKind is what fails in a run. Its text is its name in files and results.
type FaultKind string

// The kinds of faults. To add one:
//   - faultKinds and check; fault in file.go for the attributes that its block may have.
//   - affectedBy and injectFault in faultinjection.go: which dispatchers it affects, and what happens to them. Without a case in affectedBy
//     it affects none; without one in injectFault its dispatchers are killed and restarted.
//   - workerFaults in scenario.go: the emulator's part.
//   - layOut and layOutHollow in layout.go: whether it needs links between regions, or dispatchers with a process each.
//   - recoveredFrom in faultcost.go: whether dispatchers that it kills are to run again.
const (
	VoterLost            FaultKind = "seat"     // the machine of the leader is lost, or that of the first voter if no dedicated dispatcher leads
	ZoneLost             FaultKind = "zone"     // a zone's workers, voters and dispatchers are lost
	RegionPartitioned    FaultKind = "regions"  // a region and the others do not reach each other
	DispatchersReplaced  FaultKind = "replaced" // dispatchers are killed one by one, and new ones start in their place
	DispatchersRestarted FaultKind = "together" // all dispatchers are killed and restarted at once
)

var faultKinds = []FaultKind{VoterLost, ZoneLost, RegionPartitioned, DispatchersReplaced, DispatchersRestarted}

// Fault is a fault that is injected in a run.
type Fault struct {
	Kind   FaultKind
	At     time.Duration // since the start of the measured span
	For    time.Duration // 0 for one that does not end
	After  time.Duration // that is measured after its end
	Count  int           // of dispatchers that are replaced
	Zone   int           // that is lost, counted from 0
	Region int           // that is partitioned, counted from 0
}

// defaultMeasuredAfter is Fault.After where a file does not say it.
const defaultMeasuredAfter = 30 * time.Second

// check reports what the fault lacks in a plan.
func (f *Fault) check(plan *Plan, report reportFunc) {
	switch f.Kind {
	case VoterLost:
		if plan.Dedicated < 1 || plan.Voters < 3 {
			report("kind", "It needs machines set aside, and 3 seats at least.")
		}
	case ZoneLost:
		if plan.Zones < 2 {
			report("kind", "It needs 2 zones at least.")
		}
	case RegionPartitioned:
		if plan.Regions < 2 {
			report("kind", "It needs 2 regions at least.")
		}
	case DispatchersReplaced:
		if f.Count < 1 || f.Count > plan.Hollow {
			report("count", "There must be 1 at least, and no more than hollow dispatchers.")
		}
	case DispatchersRestarted:
	default:
		report("kind", "There is no kind %q; there are %v.", f.Kind, faultKinds)
	}
}

// measuredSpan returns how long a run with the fault is measured at least.
func (f *Fault) measuredSpan() time.Duration { return f.At + f.For + f.After }

package emulator

import (
	"math/rand/v2"
	"slices"
	"time"

	"brassdale/scheduler"
)

// scheduleFaults schedules the scenario's faults, from now.
func (sim *simulation) scheduleFaults() {
	for i, fault := range sim.scenario.Faults {
		sim.after(fault.At, func() { sim.applyFault(fault, sim.randomSource(uint64(firstFaultSource+i))) })
	}
}

// applyFault begins a fault and schedules its end. A fault of workers affects a share of the workers, drawn with the parameter random.
func (sim *simulation) applyFault(fault Fault, random *rand.Rand) {
	switch fault.Kind {
	case Burst:
		sim.rateFactor *= fault.Size
		sim.after(fault.For, func() { sim.rateFactor /= fault.Size })
	case HeavyTail:
		sim.tailFactor = fault.Size
		sim.after(fault.For, func() { sim.tailFactor = 0 })
	case ZoneLost, ZonePartition, ZoneDelay:
		sim.applyZoneFault(fault)
	case DiscoveryDown, DiscoveryHung:
		sim.changeDiscoveryFaults(fault.Kind, 1)
		sim.after(fault.For, func() { sim.changeDiscoveryFaults(fault.Kind, -1) })
	default:
		affected := slices.Clone(sim.workers)
		random.Shuffle(len(affected), func(i, j int) { affected[i], affected[j] = affected[j], affected[i] })
		for _, worker := range affected[:max(int(fault.Share*float64(len(affected))), 1)] {
			worker.beginFault(fault.Kind)
			sim.after(fault.For, func() { worker.endFault(fault.Kind) })
		}
	}
}

// applyZoneFault begins a fault of a zone and schedules its end. Workers of a lost zone come back as if they had restarted.
func (sim *simulation) applyZoneFault(fault Fault) {
	zone := fault.Zone - 1
	switch fault.Kind {
	case ZonePartition:
		sim.partitions[[2]int{fault.From - 1, zone}]++
		sim.after(fault.For, func() { sim.partitions[[2]int{fault.From - 1, zone}]-- })
	case ZoneDelay:
		sim.delayFactor[zone] = fault.Size
		sim.after(fault.For, func() { sim.delayFactor[zone] = 0 })
	case ZoneLost:
		for _, worker := range sim.workers {
			if worker.zone != zone {
				continue
			}
			worker.partitioned++
			sim.after(fault.For, func() {
				worker.endFault(Partition)
				worker.startedAt, worker.recentArrivals = sim.now, nil
				sim.publishWorker(worker)
			})
		}
	}
}

// changeDiscoveryFaults adds to the number of faults of discovery in force. If a fault begins, all subscriptions end. Their
// dispatchers notice it after a network delay if discovery is down, or after hungPollTimeout if it hangs. Changes during the fault
// arrive with the next full list.
func (sim *simulation) changeDiscoveryFaults(kind FaultKind, by int) {
	if kind == DiscoveryDown {
		sim.discoveryDown += by
	} else {
		sim.discoveryHung += by
	}
	for _, dispatcher := range sim.dispatchers {
		if by > 0 && dispatcher.subscribed {
			dispatcher.subscribed = false
			dispatcher.failPoll()
		}
	}
	for _, notify := range sim.outageListeners {
		notify()
	}
}

// beginFault begins a fault of this worker.
func (w *worker) beginFault(kind FaultKind) {
	switch kind {
	case Freeze:
		w.frozen++
	case Silent:
		w.silent++
	case Slow:
		w.slow++
	case DelayedReports:
		w.delayedReports++
	case Reset:
		w.dropAll()
	case Partition:
		w.partitioned++
	case Drain:
		w.state = scheduler.Draining
		w.sim.publishWorker(w)
	case Restart:
		w.dropAll()
		w.down = true
		w.sim.after(restartTime, func() {
			w.down, w.startedAt, w.recentArrivals = false, w.sim.now, nil
			w.sim.publishWorker(w)
		})
	}
}

const (
	restartTime              = time.Second     // in which a restarting worker refuses connections
	slowFaultDivisor         = 3               // of a worker's speed during a Slow fault
	delayedReportsFaultDelay = 3 * time.Second // of a worker's reports during a DelayedReports fault
)

// endFault ends a fault of this worker.
func (w *worker) endFault(kind FaultKind) {
	switch kind {
	case Freeze:
		if w.frozen--; w.frozen == 0 {
			deferred := w.deferredFinishes
			w.deferredFinishes = nil
			for _, finish := range deferred {
				finish()
			}
		}
	case Silent:
		w.silent--
	case Slow:
		w.slow--
	case DelayedReports:
		w.delayedReports--
	case Partition:
		if w.partitioned--; w.partitioned == 0 {
			for _, attempt := range w.unreachedAttempts {
				attempt.over = true
				w.sim.reportOutcome(attempt, scheduler.Reset)
			}
			w.unreachedAttempts = nil
			w.dropAll()
		}
	case Drain: // the worker leaves, even if jobs are still running
		w.dropAll()
		w.state, w.down = scheduler.Gone, true
		w.sim.publishWorker(w)
	}
	w.startQueued()
}

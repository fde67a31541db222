package emulator

import "time"

// Status is what a works' boxes are at, and what was broken so far.
type Status struct {
	Since                  time.Duration // the start
	Workers, Up, WarmingUp int
	Slots, Busy, Waiting   int
	Sends, Probes          int
	Breaches               []Breach
	Faulty                 int // boxes that have any fault
}

// Now gives it, as of some moment soon.
func (k *Cluster) Now() Status {
	got := make(chan Status, 1)
	k.sim.post(func() {
		status := Status{Since: k.sim.now - clockStart, Workers: len(k.sim.workers), Sends: k.sim.attemptsSent, Probes: k.sim.probesSent, Breaches: append([]Breach(nil), k.sim.audit.breaches...)}
		for _, worker := range k.sim.workers {
			if worker.down {
				continue
			}
			status.Up++
			status.Slots += worker.slots
			status.Busy += worker.busySlots
			for _, attempt := range worker.queue {
				status.Waiting += countIf(!attempt.over)
			}
			status.WarmingUp += countIf(worker.warmupFactor() < 1)
			status.Faulty += countIf(worker.frozen+worker.silent+worker.slow+worker.delayedReports+worker.partitioned > 0)
		}
		got <- status
	})
	return <-got
}

func countIf(is bool) int {
	if is {
		return 1
	}
	return 0
}

package emulator

import (
	"slices"
	"time"

	"brassdale/scheduler"
)

// Status is the state of a cluster's workers, and the breaches until now.
type Status struct {
	Since                time.Duration // time since the start
	Workers              int           // all workers of the scenario, including workers that are down or have left
	Up, WarmingUp        int           // workers; Up includes workers that are warming up
	Slots, Busy, Waiting int           // slots, busy slots and queued attempts of workers that are up
	Sends, Probes        int
	Breaches             []Breach
	Faulty               int // workers with any fault in force
}

// Status returns the status as of when the engine handles the call. Like the methods below, it blocks until then and must not be
// called after Close.
func (c *Cluster) Status() Status { return queryEngine(c.sim, c.sim.status) }

// queryEngine makes the engine call get, and returns the result of get.
func queryEngine[T any](sim *simulation, get func() T) T {
	answer := make(chan T, 1)
	sim.post(func() { answer <- get() })
	return <-answer
}

// status returns the status as of now.
func (sim *simulation) status() Status {
	status := Status{
		Since:    sim.now - clockStart,
		Workers:  len(sim.workers),
		Sends:    sim.attemptsSent,
		Probes:   sim.probesSent,
		Breaches: slices.Clone(sim.audit.breaches),
	}
	for _, worker := range sim.workers {
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
	return status
}

// countIf returns 1 if the condition holds, else 0.
func countIf(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

// Breaches returns the violations of rules until now.
func (c *Cluster) Breaches() []Breach {
	return queryEngine(c.sim, func() []Breach { return slices.Clone(c.sim.audit.breaches) })
}

// ReceivedTimes are the times, by the simulation's clock, at which requests' first attempts, further attempts and probes were received
// from all dispatchers.
type ReceivedTimes struct{ FirstAttempts, FurtherAttempts, Probes []time.Duration }

// ReceivedTimes returns the times until now.
func (c *Cluster) ReceivedTimes() ReceivedTimes {
	return queryEngine(c.sim, func() ReceivedTimes {
		return ReceivedTimes{slices.Clone(c.firstAttempts), slices.Clone(c.furtherAttempts), slices.Clone(c.probedAt)}
	})
}

// Load is the load that the workers have received.
type Load struct {
	Sends, Crossings int
	Peak             float64 // highest ratio of work received to capacity over peakWindowSeconds at any zone
}

// Load returns the load until now.
func (c *Cluster) Load() Load {
	return queryEngine(c.sim, func() Load { return Load{c.sim.attemptsSent, c.sim.crossings, c.sim.peakZoneLoad()} })
}

// Workers returns the ids of the cluster's workers.
func (c *Cluster) Workers() (ids []scheduler.WorkerID) {
	for _, worker := range c.sim.workers {
		ids = append(ids, worker.id)
	}
	return ids
}

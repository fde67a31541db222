package emulator

import (
	"math/rand/v2"
	"time"

	"brassdale/scheduler"
)

// localDelay draws a one-way delay within a zone: half of the mean is fixed, the rest exponentially distributed.
func (sim *simulation) localDelay(random *rand.Rand) time.Duration {
	half := float64(sim.scenario.Network.Delay) / 2
	return time.Duration(half + random.ExpFloat64()*half)
}

// oneWayDelay draws the delay between a dispatcher's zone and a worker, in either direction.
func (sim *simulation) oneWayDelay(zone int, worker *worker, random *rand.Rand) time.Duration {
	var delay time.Duration
	if zone == worker.zone {
		delay = sim.localDelay(random)
	} else {
		delay = time.Duration(float64(sim.scenario.Network.Cross) * (0.9 + 0.2*random.Float64()))
	}
	if factor := sim.delayFactor[worker.zone]; factor > 0 {
		delay = time.Duration(float64(delay) * factor)
	}
	return delay
}

// connect takes an idle connection to a worker or opens one. It returns the time that opening takes, and false if the
// worker accepts no further connection.
func (d *dispatcher) connect(worker *worker) (handshake time.Duration, ok bool) {
	network := &d.sim.scenario.Network
	if network.Handshake <= 0 {
		return 0, true
	}
	idle := d.idleSince[worker.id]
	for len(idle) > 0 {
		since := idle[len(idle)-1]
		idle = idle[:len(idle)-1]
		d.idleSince[worker.id] = idle
		if d.sim.now-since < network.Idle {
			return 0, true
		}
		worker.connections--
	}
	if network.MaxConnections > 0 && worker.connections >= network.MaxConnections {
		return 0, false
	}
	worker.connections++
	return time.Duration(network.Handshake * float64(2*d.sim.oneWayDelay(d.zone, worker, d.random))), true
}

// disconnect makes a connection idle if it is reusable, and closes it otherwise.
func (d *dispatcher) disconnect(worker *worker, reusable bool) {
	switch {
	case d.sim.scenario.Network.Handshake <= 0:
	case reusable:
		d.idleSince[worker.id] = append(d.idleSince[worker.id], d.sim.now)
	default:
		worker.connections--
	}
}

// partitionedFrom reports whether a fault separates the dispatcher's zone from the worker's.
func (d *dispatcher) partitionedFrom(worker *worker) bool {
	return d.sim.partitions[[2]int{d.zone, worker.zone}] > 0
}

// workerByAttempt returns the worker that an attempt was sent to.
func (sim *simulation) workerByAttempt(attempt *attemptRun) *worker { return sim.byID[attempt.worker] }

// reportOutcome notifies the attempt's dispatcher, one network delay later, of the attempt's outcome. If the worker is
// partitioned, the attempt is reset when the partition ends.
func (sim *simulation) reportOutcome(attempt *attemptRun, outcome scheduler.Outcome) {
	worker := sim.workerByAttempt(attempt)
	if worker.partitioned > 0 {
		worker.unreachedAttempts = append(worker.unreachedAttempts, attempt)
		return
	}
	if sim.scenario.Reports.InAnswers {
		attempt.report = worker.reportedState()
	}
	delay := sim.oneWayDelay(attempt.zone, worker, attempt.source.delayRandom())
	sim.after(delay, func() { attempt.source.attemptOver(attempt, outcome) })
}

// reportStarted notifies the attempt's dispatcher, one network delay later, that the job has started.
func (sim *simulation) reportStarted(attempt *attemptRun) {
	worker := sim.workerByAttempt(attempt)
	if worker.partitioned > 0 {
		return
	}
	delay := sim.oneWayDelay(attempt.zone, worker, attempt.source.delayRandom())
	sim.after(delay, func() { attempt.source.attemptStarted(attempt) })
}

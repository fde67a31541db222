package cachetrust

import (
	"time"

	"brassdale/scheduler"
)

const (
	// MinProbesPerSecond is the rate of first probes if there are few workers.
	MinProbesPerSecond = 50

	// MaxProbesPerSecond is the highest rate of first probes. Between the two bounds, the rate is one probe of each worker in a second.
	MaxProbesPerSecond = 400

	// MinProbeRetryDelay is the delay after the first probe without an answer; it doubles with each further one.
	MinProbeRetryDelay = 500 * time.Millisecond

	// MaxProbeRetryDelay is the longest delay between probes of a worker.
	MaxProbeRetryDelay = 30 * time.Second

	// maxProbeRetryDoublings keeps the doubled delay in the range of a duration.
	maxProbeRetryDoublings = 16

	// ProbeTimeout is the time after which a probe without a result counts as failed.
	ProbeTimeout = 2 * time.Second

	// AbsentAfter is the time since the start after which a worker that never answered counts as Absent. It is still probed.
	AbsentAfter = 20 * time.Second

	// minProbesForAbsent is how many probes of a worker must have failed before it counts as Absent.
	minProbesForAbsent = 4
)

// Check returns the actions that are due by now. It is called at the time that NextCheck returns.
func (a *Assessor) Check(now scheduler.Instant) (actions []Action) {
	if a.finished {
		return nil
	}
	for _, worker := range a.probeOrder {
		if worker.level > Absent || worker.nextProbeAt > now || worker.probing && now < worker.probedAt+ProbeTimeout {
			continue
		}
		if !a.rules.MayProbe { // without probes, only the run times of its jobs can confirm it
			actions = append(actions, a.announce(worker, now))
			continue
		}
		if worker.probing { // no result within ProbeTimeout
			a.probeFailed(worker, now)
			if worker.nextProbeAt > now {
				continue
			}
		}
		worker.probing, worker.probedAt = true, now
		actions = append(actions, Action{Probe: worker.ID})
	}
	return actions
}

// NextCheck returns when Check next returns actions if nothing happens before; ok is false if it never does.
func (a *Assessor) NextCheck() (at scheduler.Instant, ok bool) {
	if a.finished {
		return 0, false
	}
	for _, worker := range a.probeOrder {
		if worker.level > Absent {
			continue
		}
		next := worker.nextProbeAt
		if worker.probing {
			next = max(next, worker.probedAt+ProbeTimeout)
		}
		if !ok || next < at {
			at, ok = next, true
		}
	}
	return at, ok
}

// ProbeCompleted records the result of a probe that an Action asked for, and returns the actions that follow.
func (a *Assessor) ProbeCompleted(now scheduler.Instant, id scheduler.WorkerID, result ProbeResult) []Action {
	worker := a.workers[id]
	if a.finished || worker == nil || !worker.probing || worker.level > Absent {
		return nil
	}
	worker.probing = false
	switch result {
	case Answered:
		return []Action{a.announce(worker, now)}
	case Unrecognized:
		a.setLevel(worker, ForeignService)
	}
	a.probeFailed(worker, now)
	return nil
}

// probeFailed records that a probe was not answered by the worker, and schedules the next one.
func (a *Assessor) probeFailed(worker *assessedWorker, now scheduler.Instant) {
	worker.probing = false
	worker.nextProbeAt = now + min(MinProbeRetryDelay<<min(worker.failedProbes, maxProbeRetryDoublings), MaxProbeRetryDelay)
	worker.failedProbes++
	if worker.level == Unconfirmed && worker.failedProbes >= minProbesForAbsent && now >= a.startedAt+AbsentAfter {
		a.setLevel(worker, Absent)
	}
}

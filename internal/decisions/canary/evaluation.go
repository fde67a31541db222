package canary

import (
	"fmt"
	"math"
)

const (
	// minCanaryJobs is the number of jobs that the canary must have ended before its failure rate counts.
	minCanaryJobs = 50

	// The canary fails if it has ended fewer than minCanaryJobs jobs after maxDurationFactor times Rollout.MinDuration.
	maxDurationFactor = 3

	// A canary fails if the difference of both failure rates exceeds Rollout.FailureMargin by more than standardErrors standard
	// errors of the difference.
	standardErrors = 3.0
)

// Sample is a dispatcher's report of the jobs that it has ended since its process started.
type Sample struct {
	Dispatcher string // its name
	Instance   string // random ID of the process, drawn at its start
	JobsEnded  uint64
	JobsFailed uint64 // of JobsEnded: rejected or failed
}

// Outcome is the result of an evaluation so far.
type Outcome uint8

const (
	// InProgress says that more jobs or more time are needed.
	InProgress Outcome = iota
	// Passed says that the version may apply to all dispatchers.
	Passed
	// Failed says that the version should be withdrawn.
	Failed
)

// Evaluation is the raft leader's evaluation of one version's canary, from the samples since it began. It is not replicated: a new
// leader begins another one.
type Evaluation struct {
	version   uint64
	beganAt   Instant
	baselines map[string]Sample // by name of the dispatcher: the first sample of its current process in this evaluation
	latest    map[string]Sample // by name of the dispatcher
}

// NewEvaluation returns an evaluation of the canary of the given version that begins now.
func NewEvaluation(version uint64, now Instant) *Evaluation {
	return &Evaluation{version: version, beganAt: now, baselines: map[string]Sample{}, latest: map[string]Sample{}}
}

// Version returns the number of the evaluated version.
func (e *Evaluation) Version() uint64 { return e.version }

// Observe records a dispatcher's sample. The first sample of each process is that process's baseline.
func (e *Evaluation) Observe(sample Sample) {
	baseline, ok := e.baselines[sample.Dispatcher]
	if !ok || baseline.Instance != sample.Instance || sample.JobsEnded < baseline.JobsEnded {
		e.baselines[sample.Dispatcher] = sample
	}
	e.latest[sample.Dispatcher] = sample
}

// Judge returns the outcome so far. If it is Failed, Judge also returns the reason, which becomes the reason of the version's withdrawal.
func (e *Evaluation) Judge(rollout *Rollout, now Instant) (outcome Outcome, reason string) {
	canary, others := e.jobs(rollout)
	elapsed := now - e.beganAt
	if canary.ended < minCanaryJobs {
		if elapsed >= maxDurationFactor*rollout.MinDuration {
			return Failed, fmt.Sprintf("the part that tries it ended %.0f jobs in %v", canary.ended, maxDurationFactor*rollout.MinDuration)
		}
		return InProgress, ""
	}
	variance := canary.rateVariance()
	if others.ended > 0 {
		variance += others.rateVariance()
	}
	if excess := canary.rate() - others.rate() - rollout.FailureMargin; excess > standardErrors*math.Sqrt(variance) {
		return Failed, fmt.Sprintf("%.3f of %.0f jobs refused or failed where it is tried, %.3f of %.0f elsewhere",
			canary.rate(), canary.ended, others.rate(), others.ended)
	}
	if elapsed >= rollout.MinDuration {
		return Passed, ""
	}
	return InProgress, ""
}

// jobs returns the jobs of the canary and of all other dispatchers since their baselines.
func (e *Evaluation) jobs(rollout *Rollout) (canary, others jobCount) {
	for name, sample := range e.latest {
		count := &others
		if rollout.Includes(name, e.version) {
			count = &canary
		}
		count.ended += float64(sample.JobsEnded - e.baselines[name].JobsEnded)
		count.failed += float64(sample.JobsFailed - e.baselines[name].JobsFailed)
	}
	return canary, others
}

// jobCount counts jobs; failed is a part of ended.
type jobCount struct {
	ended, failed float64
}

// rate returns the failure rate; 0 if there are no jobs.
func (c jobCount) rate() float64 {
	if c.ended == 0 {
		return 0
	}
	return c.failed / c.ended
}

// rateVariance estimates the variance of the failure rate. It adds one failed and one successful job, so that the variance is never
// 0.
func (c jobCount) rateVariance() float64 {
	rate := (c.failed + 1) / (c.ended + 2)
	return rate * (1 - rate) / (c.ended + 2)
}

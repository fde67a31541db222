// Package canary decides which dispatchers try a new version of the fleet's rules first, and whether what they report lets all
// others follow. Values in, verdicts out: no I/O, no clock, no goroutine.
package canary

import (
	"fmt"
	"hash/fnv"
	"math"
	"time"
)

// Rollout has a version kept by a part of the dispatchers first. They keep to the stricter of it and of what is in force, as
// behind any announcement; the others have not been told. What the version loosens is therefore not tried.
type Rollout struct {
	Share         float64       `json:"share"`  // of the dispatchers
	MinDuration   time.Duration `json:"for"`    // so long at least
	FailureMargin float64       `json:"margin"` // by which the part of their jobs that is refused or fails may be above the others'
}

const (
	minCanaryJobs     = 50  // of the part that tries, at least
	standardErrors    = 3.0 // standard errors that a difference has to be from the margin to stop a trial
	maxDurationFactor = 3   // times its span that a trial waits for jobs
)

// Check tells what is wrong with a trial; with none there is nothing.
func (t *Rollout) Check() error {
	switch {
	case t == nil:
	case !(t.Share > 0 && t.Share <= 1):
		return fmt.Errorf("a trial's share must be above 0 and at most 1")
	case t.MinDuration <= 0 || t.MinDuration > 24*time.Hour:
		return fmt.Errorf("a trial must last for more than nothing and a day at the most")
	case !(t.FailureMargin >= 0 && t.FailureMargin <= 1):
		return fmt.Errorf("a trial's margin must be from 0 to 1")
	}
	return nil
}

// Includes tells whether a dispatcher is of the part that tries a version. It is another part for each version.
func (t *Rollout) Includes(name string, version uint64) bool {
	if t == nil {
		return true
	}
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %d", name, version)
	x := h.Sum64()
	x ^= x >> 33 // names that differ in the last letter differ in the low bits alone
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return float64(x)/math.MaxUint64 < t.Share
}

// Clock is a point in time of one process: the time since an epoch of its own, which never moves back.
type Clock = time.Duration

// Sample is what a dispatcher reports of the jobs that it has ended since its process started.
type Sample struct {
	Dispatcher string // its name
	Instance   string // of the process: drawn at its start
	JobsEnded  uint64
	JobsFailed uint64 // of those: rejected or failed
}

// Outcome is what became of a trial.
type Outcome uint8

// The outcomes.
const (
	InProgress Outcome = iota
	Passed
	Failed
)

// Evaluation is the leader's part in a trial: what it saw since the trial began under it. A new leader begins anew.
type Evaluation struct {
	version   uint64
	beganAt   Clock
	baselines map[string]Sample // as they were at the start, or when they came
	latest    map[string]Sample
}

// NewEvaluation begins.
func NewEvaluation(version uint64, now Clock) *Evaluation {
	return &Evaluation{version: version, beganAt: now, baselines: map[string]Sample{}, latest: map[string]Sample{}}
}

// Version is the one that is tried.
func (t *Evaluation) Version() uint64 { return t.version }

// Observe takes in what a dispatcher says of its jobs. One whose process is another one begins anew.
func (t *Evaluation) Observe(m Sample) {
	if was, ok := t.baselines[m.Dispatcher]; !ok || was.Instance != m.Instance || m.JobsEnded < was.JobsEnded {
		t.baselines[m.Dispatcher] = m
	}
	t.latest[m.Dispatcher] = m
}

// Judge tells what becomes of the trial now, and why.
func (t *Evaluation) Judge(trial *Rollout, now Clock) (Outcome, string) {
	var ended, bad [2]float64 // of the others, of the part that tries
	for name, m := range t.latest {
		part := 0
		if trial.Includes(name, t.version) {
			part = 1
		}
		ended[part] += float64(m.JobsEnded - t.baselines[name].JobsEnded)
		bad[part] += float64(m.JobsFailed - t.baselines[name].JobsFailed)
	}
	over := now - t.beganAt
	if ended[1] < minCanaryJobs {
		if over >= maxDurationFactor*trial.MinDuration {
			return Failed, fmt.Sprintf("the part that tries it ended %.0f jobs in %v", ended[1], maxDurationFactor*trial.MinDuration)
		}
		return InProgress, ""
	}
	tried, others := bad[1]/ended[1], 0.0
	error2 := rateVariance(bad[1], ended[1])
	if ended[0] > 0 {
		others = bad[0] / ended[0]
		error2 += rateVariance(bad[0], ended[0])
	}
	if worse := tried - others - trial.FailureMargin; worse > standardErrors*math.Sqrt(error2) {
		return Failed, fmt.Sprintf("%.3f of %.0f jobs refused or failed where it is tried, %.3f of %.0f elsewhere", tried, ended[1], others, ended[0])
	}
	if over >= trial.MinDuration {
		return Passed, ""
	}
	return InProgress, ""
}

// rateVariance is the variance of a rate seen, with one job of each kind more so that none is sure of itself.
func rateVariance(bad, of float64) float64 {
	p := (bad + 1) / (of + 2)
	return p * (1 - p) / (of + 2)
}

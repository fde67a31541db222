package cachetrust

import (
	"math"
	"time"

	"brassdale/scheduler"
)

const (
	// maxFalseWarmRate is the highest share of warming workers that may be taken for warm.
	maxFalseWarmRate = 0.05

	// logRuntimeDeviation is the standard deviation of ln(run time / usual run time) of a job at a warm worker.
	logRuntimeDeviation = 0.7

	// maxLogLateness bounds the weight of a single job.
	maxLogLateness = 3.0

	// minWarmingUpPrior is the probability that a worker of a fresh list is warming up, before anything is received from it: this
	// process was down only for a moment.
	minWarmingUpPrior = 0.05

	// maxWarmingUpPrior is that probability for an old list: what ended the last process may have ended the workers too.
	maxWarmingUpPrior = 0.5

	// priorAgeScale is the age of the list at which the probability has covered 1-1/e of the way from minWarmingUpPrior to
	// maxWarmingUpPrior.
	priorAgeScale = 6 * time.Hour

	// recentStartPrior is added for a worker that was warming up when the list was confirmed, because such workers restart more
	// often.
	recentStartPrior = 0.1

	// minSlowStartCapacity bounds Rules.SlowStartCapacity, whose logarithm is taken.
	minSlowStartCapacity = 0.01
)

// JobServed records a job that a worker has served, and returns the announcement that the worker is warm if the evidence suffices.
// logLateness is the natural logarithm of the job's run time divided by the usual one at this worker.
func (a *Assessor) JobServed(now scheduler.Instant, id scheduler.WorkerID, logLateness float64) []Action {
	worker := a.workers[id]
	if a.finished || worker == nil || worker.level != Responsive || math.IsNaN(logLateness) {
		return nil
	}
	logLateness = min(max(logLateness, -maxLogLateness), maxLogLateness)
	expected := -math.Log(a.warmupFactor(now - worker.announcedAt)) // of a worker that started when it was announced
	// The log-likelihood ratio of two normal distributions with the same deviation: mean 0 (warm) to mean expected (warming up).
	worker.logLikelihoodRatio += (expected*expected - 2*logLateness*expected) / (2 * logRuntimeDeviation * logRuntimeDeviation)
	if worker.logLikelihoodRatio < a.requiredEvidence(worker) {
		return nil
	}
	a.setLevel(worker, Verified)
	return []Action{{Announce: &ReadyWorker{ID: worker.ID, StartedAt: worker.StartedAt, StartConfirmed: true}}}
}

// warmingUpPrior returns the probability that a worker is warming up, before anything is received from it.
func (a *Assessor) warmingUpPrior(worker *assessedWorker) float64 {
	probability := maxWarmingUpPrior
	if a.age >= 0 {
		probability = minWarmingUpPrior + (maxWarmingUpPrior-minWarmingUpPrior)*(1-math.Exp(-float64(a.age)/float64(priorAgeScale)))
	}
	if worker.StartedAt > 0 && worker.StartedAt > a.list.ConfirmedAt-a.rules.SlowStartDuration {
		probability += recentStartPrior
	}
	return probability
}

// requiredEvidence returns the logarithm of the likelihood ratio from which a worker is taken to be warm: Wald's bound, raised by the
// prior.
func (a *Assessor) requiredEvidence(worker *assessedWorker) float64 {
	return -math.Log(maxFalseWarmRate) - math.Log(1-a.warmingUpPrior(worker))
}

// warmupFactor returns the minimum share of its capacity that a worker has at an age.
func (a *Assessor) warmupFactor(age time.Duration) float64 {
	initial := min(max(a.rules.SlowStartCapacity, minSlowStartCapacity), 1)
	if a.rules.SlowStartDuration <= 0 {
		return 1
	}
	return initial + (1-initial)*min(max(float64(age)/float64(a.rules.SlowStartDuration), 0), 1)
}

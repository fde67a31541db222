package scheduler

import (
	"cmp"
	"math"
	"time"
)

// Statistics that the rules share: means of runtimes and of attempt durations (from send to outcome), decaying counts, the slowness
// of workers.

const (
	// arrivalRateWindow is the time constant of the own arrival rate, and the default time constant of decayingCounter.
	arrivalRateWindow = 10 * time.Second

	// meanRetention is the weight of the past when a mean of a class or of the dispatcher is updated: the mean covers about
	// thirty jobs.
	meanRetention = 0.97

	// slownessRetention is the weight of the past when a worker's slowness is updated: the slowness covers about twenty jobs.
	slownessRetention = 0.95

	// slownessPriorJobs is the number of assumed jobs that are added to the observed ones. Their pace is ordinary or, in slow
	// start, the settings' worst case.
	slownessPriorJobs = 8

	// slowdownThreshold is the slowdown up to which a worker counts as of ordinary pace: smaller differences are chance.
	slowdownThreshold = 1.5

	// failurePriorJobs is the number of assumed served jobs that are added to the observed ones. It is also the largest number of
	// failures that counts.
	failurePriorJobs = 4

	// toleratedFailureShare is the share of failures that counts as chance.
	toleratedFailureShare = 0.1
)

// decayingCounter is a sum whose past decays exponentially.
type decayingCounter struct {
	sum       float64
	updatedAt Instant
	window    time.Duration // time constant; 0 for arrivalRateWindow
}

// value returns the sum as of now.
func (c *decayingCounter) value(now Instant) float64 {
	c.sum *= math.Exp(-float64(now-c.updatedAt) / float64(cmp.Or(c.window, arrivalRateWindow)))
	c.updatedAt = now
	return c.sum
}

// add adds an amount as of now.
func (c *decayingCounter) add(now Instant, amount float64) { c.sum = c.value(now) + amount }

// classState is what a scheduler has learned about a class's requests.
type classState struct {
	workScale       float64 // mean runtime in seconds, or, with an estimate of the work, as a multiple of it
	meanLogRuntime  float64 // mean logarithm of the same value; a few long jobs change it little
	jobs            int     // number of served jobs
	longestTimeLeft time.Duration
}

// updateMean updates a mean with its n-th value: the first values have equal weights, later ones the weight 1 - meanRetention.
func updateMean(mean *float64, n int, value float64) {
	*mean += max(1/float64(n), 1-meanRetention) * (value - *mean)
}

// recordRuntime updates the runtime of the class and the slowness of the worker with a served attempt. After a stall of this
// process the times are wrong, and nothing changes.
func (s *Scheduler) recordRuntime(request *request, served *attempt) {
	class, unit := &s.classes[request.class], cmp.Or(request.estimatedWork.Seconds(), 1)
	runtime := (s.now - cmp.Or(served.startedAt, served.sentAt)).Seconds()
	if s.now == s.resumedAt || runtime <= 0 {
		return
	}
	worker := served.worker
	worker.recentSuccesses.add(s.now, 1)
	s.servedJobs, class.jobs = s.servedJobs+1, class.jobs+1
	updateMean(&s.meanAttemptDuration, s.servedJobs, (s.now - served.sentAt).Seconds())
	updateMean(&s.meanWork, s.servedJobs, runtime*request.slots)
	updateMean(&class.workScale, class.jobs, runtime/unit)
	updateMean(&class.meanLogRuntime, class.jobs, math.Log(runtime/unit))
	slowness := s.logSlowness(request, served)
	s.logSlownessByKind[worker.MachineKind] += (1 - meanRetention) * (slowness - s.logSlownessByKind[worker.MachineKind])
	worker.logSlownessSum = worker.logSlownessSum*slownessRetention + slowness
	worker.slownessJobs = worker.slownessJobs*slownessRetention + 1
}

// logSlowness returns log(runtime so far / usual runtime of the class) of an attempt; 0 while no job of the class has been
// served.
func (s *Scheduler) logSlowness(request *request, attempt *attempt) float64 {
	class := &s.classes[request.class]
	if class.jobs == 0 {
		return 0
	}
	runtime := (s.now - cmp.Or(attempt.startedAt, attempt.sentAt)).Seconds()
	return math.Log(max(runtime, 1e-6)/cmp.Or(request.estimatedWork.Seconds(), 1)) - class.meanLogRuntime
}

// estimatedRuntime returns the expected runtime of request in seconds: the class's mean, scaled by the estimate of the work if
// there is one; 0 if nothing is known.
func (s *Scheduler) estimatedRuntime(request *request) float64 {
	scale := s.classes[request.class].workScale
	if request.estimatedWork > 0 {
		return cmp.Or(scale, 1) * request.estimatedWork.Seconds()
	}
	return scale
}

// slowdown returns the factor, at least 1, by which a job occupies a slot of the worker for longer than elsewhere. It follows
// from the jobs that ended there and from running jobs that take longer than usual. In slow start the settings' worst case counts
// as slownessPriorJobs jobs, not as a fixed factor, because most workers are better than it. Otherwise a factor up to
// slowdownThreshold counts as 1.
func (s *Scheduler) slowdown(worker *worker) float64 {
	worstLogSlowness := -math.Log(s.warmupFactor(worker))
	sum := worker.logSlownessSum + worker.runningSlownessSum + slownessPriorJobs*worstLogSlowness
	jobs := worker.slownessJobs + worker.runningSlownessJobs + slownessPriorJobs
	factor := math.Exp(sum / jobs)
	if worstLogSlowness == 0 && factor <= slowdownThreshold {
		return 1
	}
	return max(factor, 1)
}

// excessFailureShare returns the share of its recent jobs that the worker failed, minus toleratedFailureShare, at least 0. The
// number of failures is bounded, so that a worker that has recovered gets jobs again and can show its recovery.
func (w *worker) excessFailureShare(now Instant) float64 {
	failures := min(w.recentFailures.value(now), failurePriorJobs)
	share := failures / (failures + w.recentSuccesses.value(now) + failurePriorJobs)
	return max(share-toleratedFailureShare, 0)
}

// durationOf returns a number of seconds as a duration.
func durationOf(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// oneIf returns 1 if the condition holds, otherwise 0.
func oneIf(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

package emulator

import (
	"math"
	"math/rand/v2"
	"time"

	"brassdale/scheduler"
)

// job is a client's job, for which the client may send several requests.
type job struct {
	account          int
	work             float64 // seconds at a slot of speed 1
	class            int
	slots            int
	memory           float64
	workEstimate     time.Duration // sent by the client; 0 if it sends none
	subject          int           // 0 if the job needs no subject
	user             int
	firstRequestedAt time.Duration
	requests         int // sent so far
	finished         bool
}

// clientOutcome is the outcome of a request, and finally of a job, for its client.
type clientOutcome uint8

// The outcomes.
const (
	outcomeServed clientOutcome = iota
	outcomeRejected
	outcomeFailed
)

// jobStats counts jobs and their work, in seconds at speed 1 times priority weight.
type jobStats struct {
	jobs                           int
	workRequested, workInTime      float64
	served, late, rejected, failed int
}

// countRequest counts a job that a client requests.
func (t *jobStats) countRequest(work float64) {
	t.jobs++
	t.workRequested += work
}

// newJob draws a job's work and subject. unitDraw is a draw from the unit exponential distribution, for work that is
// exponentially distributed.
func (t *Traffic) newJob(unitDraw float64, random *rand.Rand) *job {
	job := &job{work: t.Work * unitDraw, slots: 1}
	if t.WorkLogStdDev > 0 { // log-normal with mean t.Work
		job.work = t.Work * math.Exp(t.WorkLogStdDev*random.NormFloat64()-t.WorkLogStdDev*t.WorkLogStdDev/2)
	}
	if t.Subjects > 0 {
		job.subject = 1 + random.IntN(t.Subjects)
	}
	return job
}

// jobArrives draws a job, submits it, and schedules the next arrival while the scenario's span lasts.
func (sim *simulation) jobArrives() {
	traffic := &sim.scenario.Traffic
	unitDraw := sim.clientRandom.ExpFloat64()
	sim.clientRandom.Uint64() // an unused draw: without it the stored results of a seed would not be reproduced
	job := traffic.newJob(unitDraw, sim.clientRandom)
	job.firstRequestedAt = sim.now
	job.account = traffic.drawAccount(sim.clientRandom)
	sim.drawClass(job)
	sim.statsByAccount[job.account].countRequest(sim.weightedWork(job))
	sim.statsByClass[job.class].countRequest(sim.weightedWork(job))
	if traffic.Users > 0 {
		sim.enqueueForUser(job)
	} else {
		sim.submit(job)
	}
	gap := time.Duration(sim.clientRandom.ExpFloat64() / (traffic.Rate * sim.rateFactor) * float64(time.Second))
	if sim.now+gap < clockStart+dispatcherLeadTime+sim.scenario.Span {
		sim.after(gap, sim.jobArrives)
	}
}

// drawAccount returns the index of an account, drawn by share; 0 without accounts.
func (t *Traffic) drawAccount(random *rand.Rand) int {
	pick, totalShare := random.Float64(), 0.0
	for _, account := range t.Accounts {
		totalShare += account.Share
	}
	for i, account := range t.Accounts {
		if pick -= account.Share / totalShare; pick < 0 {
			return i
		}
	}
	return 0
}

// submit sends a request for the job to a randomly drawn dispatcher. If there is no final answer by the client's deadline plus the
// slack for answers, it ends the request.
func (sim *simulation) submit(job *job) {
	sim.lastRequestID++
	giveUp := sim.classOf(job).Deadline
	id, expires := sim.lastRequestID, sim.now+giveUp
	job.requests++
	dispatcher := sim.dispatchers[sim.clientRandom.IntN(len(sim.dispatchers))]
	sim.after(giveUp+sim.scenario.Rules.AnswerSlack, func() {
		if request := dispatcher.requests[id]; request != nil && !request.answered {
			sim.audit.clientGaveUp(sim.now, uint64(id))
			request.answered = true
			sim.finishJob(job, outcomeFailed)
			dispatcher.handle(scheduler.ClientLeft{ID: id})
			dispatcher.forget(id)
		}
	})
	dispatcher.requestArrived(job, id, expires)
}

// handleAnswer takes a final answer to one of a job's requests. A share of the clients retries after a first rejection.
func (sim *simulation) handleAnswer(job *job, outcome clientOutcome, retryAfter time.Duration) {
	if outcome == outcomeRejected && job.requests == 1 && sim.clientRandom.Float64() < sim.scenario.Traffic.Retries {
		sim.after(max(retryAfter, minClientRetryDelay), func() { sim.submit(job) })
		return
	}
	sim.finishJob(job, outcome)
}

// minClientRetryDelay is the minimum time that a client waits before its retry.
const minClientRetryDelay = 100 * time.Millisecond

// finishJob ends a job for its client and counts it. Further calls for the job change nothing.
func (sim *simulation) finishJob(job *job, outcome clientOutcome) {
	if job.finished {
		return
	}
	job.finished = true
	if sim.scenario.Traffic.Users > 0 {
		defer sim.startNextOfUser(job)
	}
	sim.recordOutcome(&sim.statsByAccount[job.account], outcome, job, sim.now-job.firstRequestedAt)
	sim.recordBySecond(job, outcome)
	if outcome == outcomeServed && sim.withinObjective(job, sim.now-job.firstRequestedAt) {
		sim.statsByClass[job.class].workInTime += sim.weightedWork(job)
	}
}

// withinObjective reports whether an answer after responseTime meets the class's latency objective for the job's work.
func (sim *simulation) withinObjective(job *job, responseTime time.Duration) bool {
	class := sim.classOf(job)
	return responseTime.Seconds() <= class.LatencyObjective.Seconds()+class.ObjectiveStretch*job.work
}

// recordOutcome adds a job's end, responseTime after its client's first request, to an account's counts.
func (sim *simulation) recordOutcome(stats *jobStats, outcome clientOutcome, job *job, responseTime time.Duration) {
	switch outcome {
	case outcomeServed:
		seconds := responseTime.Seconds()
		stats.served++
		sim.responseTimes = append(sim.responseTimes, seconds)
		sim.speedSum += job.work / max(seconds, 1e-9)
		if sim.withinObjective(job, responseTime) {
			stats.workInTime += sim.weightedWork(job)
		} else {
			stats.late++
		}
	case outcomeRejected:
		stats.rejected++
	default:
		stats.failed++
	}
}

// enqueueForUser appends a job to the queue of a randomly drawn user, and submits it if the queue was empty. Each user has at most
// one job in flight.
func (sim *simulation) enqueueForUser(job *job) {
	user := sim.clientRandom.IntN(sim.scenario.Traffic.Users)
	job.user = user
	sim.userQueues[user] = append(sim.userQueues[user], job)
	if len(sim.userQueues[user]) == 1 {
		sim.submit(job)
	}
}

// startNextOfUser submits the next job of the user whose job has finished.
func (sim *simulation) startNextOfUser(job *job) {
	queue := sim.userQueues[job.user][1:]
	if sim.userQueues[job.user] = queue; len(queue) > 0 {
		sim.submit(queue[0])
	}
}

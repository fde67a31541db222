package emulator

import (
	"slices"
	"time"
)

// Result is the outcome of a run. Shares of work are weighted by the classes' priority.
type Result struct {
	Jobs         int
	Service      float64 // share of the requested work that was answered in time
	WorstAccount float64 // lowest Service of an account
	WorstClass   float64 // lowest Service of a class
	Crossings    float64 // attempts between zones, per job
	Served       int
	Late         int
	Rejected     int
	Failed       int
	Mean         time.Duration // response time of served jobs, from the client's first request
	P50          time.Duration
	P99          time.Duration
	Sends        float64 // attempts per job
	Probes       float64 // probes per job
	Wasted       float64 // share of the work done whose result was not used
	Speed        float64 // mean of work / response time over served jobs
	Used         float64 // work done, divided by the workers' capacity while jobs arrived
	Accounts     []AccountResult
	Breaches     []Breach
	Notes        []string

	Seconds       []secondStats // by the second in which jobs were first requested
	ZonePeak      float64       // highest ratio of work received to capacity over peakWindowSeconds at any zone
	PlanChanges   int           // 0 unless zones are planned
	MovedAfter    time.Duration // from a zone's loss until no job was planned into it
	RestoredAfter time.Duration // from the loss's end until the zone's share was restored
}

// AccountResult is the outcome of an account's jobs.
type AccountResult struct {
	Name     string
	Jobs     int
	Service  float64
	Rejected int
}

// result returns the run's result as of now.
func (sim *simulation) result() *Result {
	result := &Result{Breaches: sim.audit.breaches, Notes: sim.notes, WorstAccount: 1, WorstClass: 1, Seconds: sim.statsBySecond, ZonePeak: sim.peakZoneLoad()}
	for _, stats := range sim.statsByClass {
		if stats.workRequested > 0 {
			result.WorstClass = min(result.WorstClass, stats.workInTime/stats.workRequested)
		}
	}
	if planning := sim.planning; planning != nil {
		result.PlanChanges, result.MovedAfter, result.RestoredAfter = planning.planChanges, planning.movedAfter, planning.restoredAfter
	}
	sim.addAccounts(result)
	if result.Jobs > 0 {
		jobs := float64(result.Jobs)
		result.Sends, result.Probes, result.Crossings = float64(sim.attemptsSent)/jobs, float64(sim.probesSent)/jobs, float64(sim.crossings)/jobs
	}
	if result.Served > 0 {
		result.Speed = sim.speedSum / float64(result.Served)
	}
	result.Used = sim.workDone / (sim.fullSpeed() * sim.scenario.Span.Seconds())
	if sim.workDone > 0 {
		result.Wasted = sim.workWasted / sim.workDone
	}
	sim.addResponseTimes(result)
	return result
}

// addAccounts adds the accounts' results and their totals.
func (sim *simulation) addAccounts(result *Result) {
	workRequested, workInTime := 0.0, 0.0
	for i, stats := range sim.statsByAccount {
		result.Jobs += stats.jobs
		result.Served += stats.served
		result.Late += stats.late
		result.Rejected += stats.rejected
		result.Failed += stats.failed
		workRequested += stats.workRequested
		workInTime += stats.workInTime
		account := AccountResult{Jobs: stats.jobs, Rejected: stats.rejected}
		if i < len(sim.scenario.Traffic.Accounts) {
			account.Name = sim.scenario.Traffic.Accounts[i].Name
		}
		if stats.workRequested > 0 {
			account.Service = stats.workInTime / stats.workRequested
			result.WorstAccount = min(result.WorstAccount, account.Service)
		}
		result.Accounts = append(result.Accounts, account)
	}
	if workRequested > 0 {
		result.Service = workInTime / workRequested
	}
}

// fullSpeed returns the speed of all workers together when none is warming up.
func (sim *simulation) fullSpeed() float64 {
	speed := 0.0
	for _, worker := range sim.workers {
		if speed += worker.speed; !worker.sharing {
			speed += worker.speed * float64(worker.slots-1)
		}
	}
	return speed
}

// addResponseTimes adds the mean and the percentiles of the response times.
func (sim *simulation) addResponseTimes(result *Result) {
	count := len(sim.responseTimes)
	if count == 0 {
		return
	}
	slices.Sort(sim.responseTimes)
	sum := 0.0
	for _, seconds := range sim.responseTimes {
		sum += seconds
	}
	percentile := func(share float64) time.Duration {
		return time.Duration(sim.responseTimes[min(int(share*float64(count)), count-1)] * float64(time.Second))
	}
	result.Mean = time.Duration(sum / float64(count) * float64(time.Second))
	result.P50, result.P99 = percentile(0.5), percentile(0.99)
}

// Merit returns the result as one figure: 0.6 x Service + 0.4 x WorstClass - crossing x Crossings. crossing is the price of an attempt
// between zones.
func (r *Result) Merit(crossing float64) float64 {
	return 0.6*r.Service + 0.4*r.WorstClass - crossing*r.Crossings
}

// secondStats is the weighted work requested in a second of the run, and the part of it that was answered in time.
type secondStats struct{ workRequested, workInTime float64 }

// recordBySecond adds a job's end to the second in which its client first requested it.
func (sim *simulation) recordBySecond(job *job, outcome clientOutcome) {
	second := int((job.firstRequestedAt - clockStart - dispatcherLeadTime) / time.Second)
	for len(sim.statsBySecond) <= second {
		sim.statsBySecond = append(sim.statsBySecond, secondStats{})
	}
	if second < 0 {
		return
	}
	sim.statsBySecond[second].workRequested += sim.weightedWork(job)
	if outcome == outcomeServed && sim.withinObjective(job, sim.now-job.firstRequestedAt) {
		sim.statsBySecond[second].workInTime += sim.weightedWork(job)
	}
}

// ServiceBetween returns the share of work answered in time, of the work requested between two times of the run; 1 if no work was
// requested.
func (r *Result) ServiceBetween(from, to time.Duration) float64 {
	var sum secondStats
	for i, s := range r.Seconds {
		if at := time.Duration(i) * time.Second; at >= from && at < to {
			sum.workRequested += s.workRequested
			sum.workInTime += s.workInTime
		}
	}
	if sum.workRequested == 0 {
		return 1
	}
	return sum.workInTime / sum.workRequested
}

package emulator

import (
	"slices"
	"time"
)

// Result is what came of a run.
type Result struct {
	Jobs       int
	Service    float64 // work answered in time, of the work asked for
	Worst      float64 // the same of the account served worst
	WorstClass float64 // and of the class served worst
	Crossings  float64 // attempts that crossed zones, a job
	Served     int
	Late       int
	Refused    int
	Failed     int
	Mean       time.Duration // of what was served, from when it was asked for first
	P50        time.Duration
	P99        time.Duration
	Sends      float64 // a job
	Probes     float64 // a job
	Wasted     float64 // work done for nobody, of all that was done
	Speed      float64 // mean of a served job's work by the time to its answer
	Used       float64 // work done, of what the boxes could do while jobs came
	Accounts   []AccountResult
	Breaches   []Breach
	Notes      []string

	Seconds     []secondStats // by when jobs were asked for
	ZonePeak    float64       // most work that came to a zone over some seconds, of what it could do
	PlanChanges int           // where zones are planned
	Moved, Back time.Duration // until nothing was planned into a lost zone, and until it had its share again
}

// AccountResult is what came of an account's jobs.
type AccountResult struct {
	Name    string
	Jobs    int
	Service float64
	Refused int
}

func (sim *simulation) result() *Result {
	result := &Result{Breaches: sim.audit.breaches, Notes: sim.notes, Worst: 1, WorstClass: 1}
	for _, t := range sim.statsByClass {
		if t.workRequested > 0 {
			result.WorstClass = min(result.WorstClass, t.workInTime/t.workRequested)
		}
	}
	result.Seconds, result.ZonePeak = sim.statsBySecond, sim.peakZoneLoad()
	if f := sim.planning; f != nil {
		result.PlanChanges, result.Moved, result.Back = f.planChanges, f.movedAfter, f.restoredAfter
	}
	requested, good := 0.0, 0.0
	for i, t := range sim.statsByAccount {
		result.Jobs, result.Served, result.Late, result.Refused, result.Failed = result.Jobs+t.jobs, result.Served+t.served, result.Late+t.late, result.Refused+t.rejected, result.Failed+t.failed
		requested, good = requested+t.workRequested, good+t.workInTime
		a := AccountResult{Jobs: t.jobs, Refused: t.rejected}
		if i < len(sim.scenario.Traffic.Accounts) {
			a.Name = sim.scenario.Traffic.Accounts[i].Name
		}
		if t.workRequested > 0 {
			a.Service = t.workInTime / t.workRequested
			result.Worst = min(result.Worst, a.Service)
		}
		result.Accounts = append(result.Accounts, a)
	}
	if requested > 0 {
		result.Service = good / requested
	}
	if result.Jobs > 0 {
		result.Sends, result.Probes = float64(sim.attemptsSent)/float64(result.Jobs), float64(sim.probesSent)/float64(result.Jobs)
		result.Crossings = float64(sim.crossings) / float64(result.Jobs)
	}
	if result.Served > 0 {
		result.Speed = sim.speedSum / float64(result.Served)
	}
	could := 0.0
	for _, b := range sim.workers {
		if could += b.speed; !b.sharing {
			could += b.speed * float64(b.slots-1)
		}
	}
	result.Used = sim.workDone / (could * sim.scenario.Span.Seconds())
	if sim.workDone > 0 {
		result.Wasted = sim.workWasted / sim.workDone
	}
	slices.Sort(sim.responseTimes)
	sum := 0.0
	for _, t := range sim.responseTimes {
		sum += t
	}
	if n := len(sim.responseTimes); n > 0 {
		at := func(p float64) time.Duration {
			return time.Duration(sim.responseTimes[min(int(p*float64(n)), n-1)] * float64(time.Second))
		}
		result.Mean, result.P50, result.P99 = time.Duration(sum/float64(n)*float64(time.Second)), at(0.5), at(0.99)
	}
	return result
}

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

	Seconds     []second      // by when jobs were asked for
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

func (w *world) result() *Result {
	r := &Result{Breaches: w.audit.breach, Notes: w.notes, Worst: 1, WorstClass: 1}
	for _, t := range w.byClass {
		if t.requested > 0 {
			r.WorstClass = min(r.WorstClass, t.good/t.requested)
		}
	}
	r.Seconds, r.ZonePeak = w.seconds, w.peak()
	if f := w.failover; f != nil {
		r.PlanChanges, r.Moved, r.Back = f.changes, f.moved, f.back
	}
	requested, good := 0.0, 0.0
	for i, t := range w.tallies {
		r.Jobs, r.Served, r.Late, r.Refused, r.Failed = r.Jobs+t.jobs, r.Served+t.served, r.Late+t.late, r.Refused+t.refused, r.Failed+t.failed
		requested, good = requested+t.requested, good+t.good
		a := AccountResult{Jobs: t.jobs, Refused: t.refused}
		if i < len(w.s.Traffic.Accounts) {
			a.Name = w.s.Traffic.Accounts[i].Name
		}
		if t.requested > 0 {
			a.Service = t.good / t.requested
			r.Worst = min(r.Worst, a.Service)
		}
		r.Accounts = append(r.Accounts, a)
	}
	if requested > 0 {
		r.Service = good / requested
	}
	if r.Jobs > 0 {
		r.Sends, r.Probes = float64(w.sends)/float64(r.Jobs), float64(w.probes)/float64(r.Jobs)
		r.Crossings = float64(w.crossings) / float64(r.Jobs)
	}
	if r.Served > 0 {
		r.Speed = w.speed / float64(r.Served)
	}
	could := 0.0
	for _, b := range w.workers {
		if could += b.speed; !b.sharing {
			could += b.speed * float64(b.slots-1)
		}
	}
	r.Used = w.worked / (could * w.s.Span.Seconds())
	if w.worked > 0 {
		r.Wasted = w.wasted / w.worked
	}
	slices.Sort(w.times)
	sum := 0.0
	for _, t := range w.times {
		sum += t
	}
	if n := len(w.times); n > 0 {
		at := func(p float64) time.Duration {
			return time.Duration(w.times[min(int(p*float64(n)), n-1)] * float64(time.Second))
		}
		r.Mean, r.P50, r.P99 = time.Duration(sum/float64(n)*float64(time.Second)), at(0.5), at(0.99)
	}
	return r
}

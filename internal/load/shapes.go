package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Shape is how a phase's rate goes over its time.
type Shape uint8

const (
	Constant Shape = iota // evenly spaced
	Poisson               // at chance, at one rate
	Ramp                  // at chance, from one rate to another
	Burst                 // at chance, at one rate, and at another for a part of every period
	Day                   // at chance, as a working day in small: up in the morning, a dip at noon, down in the evening
)

var shapesByName = map[string]Shape{"constant": Constant, "poisson": Poisson, "ramp": Ramp, "burst": Burst, "day": Day}

// Phase is a stretch of a plan.
type Phase struct {
	Shape Shape
	For   time.Duration
	Rate  float64       // jobs a second; for Ramp the first, for Day the highest
	To    float64       // Ramp: the last rate; Burst: the rate within a burst
	Every time.Duration // Burst: the period
	Last  time.Duration // Burst: for so long of it
}

// rate gives the rate at a time within the phase.
func (p *Phase) rate(at time.Duration) float64 {
	switch p.Shape {
	case Ramp:
		return p.Rate + (p.To-p.Rate)*float64(at)/float64(p.For)
	case Burst:
		if at%p.Every < p.Last {
			return p.To
		}
	case Day:
		x := float64(at) / float64(p.For) // two humps, the second a little lower, and never nothing
		hump := func(middle, height float64) float64 { return height * math.Exp(-math.Pow((x-middle)/0.13, 2)) }
		return p.Rate * max(hump(0.3, 1), hump(0.7, 0.85), 0.05)
	}
	return p.Rate
}

// maxRate is the highest rate of the phase.
func (p *Phase) maxRate() float64 { return max(p.Rate, p.To) }

// check tells what is wrong with a phase.
func (p *Phase) check() error {
	switch {
	case p.For <= 0:
		return fmt.Errorf("for must be above 0")
	case p.Rate < 0 || p.To < 0 || p.maxRate() <= 0 || math.IsInf(p.maxRate(), 0) || math.IsNaN(p.Rate+p.To):
		return fmt.Errorf("needs a rate above 0")
	case p.Shape == Burst && (p.Every <= 0 || p.Last <= 0 || p.Last > p.Every):
		return fmt.Errorf("a burst needs every, and last within it")
	case p.Shape != Ramp && p.Shape != Burst && p.To != 0:
		return fmt.Errorf("to is for ramps and bursts")
	}
	return nil
}

// Account is a customer and its part of the jobs. Parts count against each other.
type Account struct {
	Name  string
	Share float64
	Times float64 // its usual traffic times this, on top of the others'; 0 for once
}

func (a Account) weight() float64 {
	if a.Times > 0 {
		return a.Share * a.Times
	}
	return a.Share
}

// Mix is what the jobs are about.
type Mix struct {
	Accounts []Account
	Subjects int     // 0 for none
	Zipf     float64 // of the subjects' popularity: 0 for all alike, else above 1
}

// rateFactor is how far accounts that send several times their traffic raise the rate.
func (m *Mix) rateFactor() float64 {
	usual, all := 0.0, 0.0
	for _, a := range m.Accounts {
		usual, all = usual+a.Share, all+a.weight()
	}
	if usual <= 0 {
		return 1
	}
	return all / usual
}

// Generated gives the jobs of phases, one after the other. The same seed gives the same jobs. Arrivals, accounts and
// subjects have a source of chance each, so that a change of one leaves the others as they were.
func Generated(phases []Phase, mix Mix, seed uint64) Source {
	jobs := &generatedJobs{phases: phases, mix: mix, arrivals: rand.New(rand.NewPCG(seed, 1)), accounts: rand.New(rand.NewPCG(seed, 2))}
	subjects := rand.New(rand.NewPCG(seed, 3))
	jobs.subject = func() uint64 { return subjects.Uint64N(uint64(max(mix.Subjects, 1))) }
	if mix.Zipf > 1 && mix.Subjects > 0 {
		jobs.subject = rand.NewZipf(subjects, mix.Zipf, 1, uint64(mix.Subjects-1)).Uint64
	}
	for _, account := range mix.Accounts {
		jobs.weights += account.weight()
	}
	return jobs
}

type generatedJobs struct {
	phases       []Phase
	mix          Mix
	arrivals     *rand.Rand
	accounts     *rand.Rand
	subject      func() uint64
	weights      float64
	phaseStart   time.Duration // of the phase
	offset       time.Duration // within it
	evenlySpaced int           // Constant: jobs so far
}

func (g *generatedJobs) Next() (Job, bool) {
	for len(g.phases) > 0 {
		phase := &g.phases[0]
		if g.advance(phase) {
			return g.newJob(), true
		}
		g.phaseStart += phase.For
		g.offset, g.evenlySpaced, g.phases = 0, 0, g.phases[1:]
	}
	return Job{}, false
}

// advance goes on to the phase's next job, if it has one. What comes at chance is drawn at the highest rate and thinned.
func (g *generatedJobs) advance(phase *Phase) bool {
	factor := g.mix.rateFactor()
	if phase.Shape == Constant {
		g.offset = time.Duration(float64(g.evenlySpaced) / (phase.Rate * factor) * float64(time.Second))
		g.evenlySpaced++
		return g.offset < phase.For
	}
	for {
		gap := g.arrivals.ExpFloat64() / (phase.maxRate() * factor) * float64(time.Second)
		if gap >= float64(phase.For-g.offset) {
			return false
		}
		g.offset += time.Duration(gap)
		if g.arrivals.Float64()*phase.maxRate() < phase.rate(g.offset) {
			return true
		}
	}
}

func (g *generatedJobs) newJob() Job {
	job := Job{At: g.phaseStart + g.offset}
	pick := g.accounts.Float64() * g.weights
	for _, a := range g.mix.Accounts {
		job.Account = a.Name
		if pick -= a.weight(); pick < 0 {
			break
		}
	}
	if g.mix.Subjects > 0 {
		job.Subject = fmt.Sprintf("%016x", g.subject())
	}
	return job
}

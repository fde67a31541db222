package load

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Account is a customer.
type Account struct {
	Name     string
	Share    float64 // of the jobs, relative to the other accounts
	Multiple float64 // the account sends its share this many times, in addition to the other accounts' jobs; 0 counts as 1
}

// weight returns the account's share times its multiple.
func (a Account) weight() float64 {
	if a.Multiple > 0 {
		return a.Share * a.Multiple
	}
	return a.Share
}

// Mix is the accounts and subjects of jobs.
type Mix struct {
	Accounts []Account
	Subjects int     // number of subjects; 0 if jobs have none
	Zipf     float64 // exponent of the subjects' popularity, above 1; 0 if all are equally popular
}

// rateFactor returns the factor by which accounts that send a multiple of their share raise the rate.
func (m *Mix) rateFactor() float64 {
	shares, weights := 0.0, 0.0
	for _, account := range m.Accounts {
		shares, weights = shares+account.Share, weights+account.weight()
	}
	if shares <= 0 {
		return 1
	}
	return weights / shares
}

// Identifiers of the random sources of a plan. Each source has one use, so that a change of one use does not change the draws of the
// others.
const (
	arrivalSource = 1
	accountSource = 2
	subjectSource = 3
)

// Generated returns the jobs of phases, one phase after the other. The same seed gives the same jobs.
func Generated(phases []Phase, mix Mix, seed uint64) Source {
	newRandom := func(source uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, source)) }
	jobs := &generatedJobs{phases: phases, mix: mix, arrivals: newRandom(arrivalSource), accounts: newRandom(accountSource)}
	subjects := newRandom(subjectSource)
	jobs.subject = func() uint64 { return subjects.Uint64N(uint64(max(mix.Subjects, 1))) }
	if mix.Zipf > 1 && mix.Subjects > 0 {
		jobs.subject = rand.NewZipf(subjects, mix.Zipf, 1, uint64(mix.Subjects-1)).Uint64
	}
	for _, account := range mix.Accounts {
		jobs.weights += account.weight()
	}
	return jobs
}

// generatedJobs is the source of a plan's phases.
type generatedJobs struct {
	phases       []Phase // remaining phases, the current one first
	mix          Mix
	arrivals     *rand.Rand
	accounts     *rand.Rand
	subject      func() uint64 // draws a subject
	weights      float64       // of all accounts
	phaseStart   time.Duration
	offset       time.Duration // of the latest job in the phase
	evenlySpaced int           // jobs of a Constant phase so far
}

// Next implements Source.
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

// advance sets offset to the phase's next arrival. It returns false if there is none. A Poisson process with a changing rate is
// drawn at the highest rate and thinned.
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

// newJob returns the job of the latest arrival, with a drawn account and subject.
func (g *generatedJobs) newJob() Job {
	job := Job{At: g.phaseStart + g.offset}
	pick := g.accounts.Float64() * g.weights
	for _, account := range g.mix.Accounts {
		job.Account = account.Name
		if pick -= account.weight(); pick < 0 {
			break
		}
	}
	if g.mix.Subjects > 0 {
		job.Subject = fmt.Sprintf("%016x", g.subject())
	}
	return job
}

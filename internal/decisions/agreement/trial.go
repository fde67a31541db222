package agreement

import (
	"fmt"
	"hash/fnv"
	"math"
	"time"
)

// Trial has a version kept by a part of the dispatchers first. They keep to the stricter of it and of what is in force, as
// behind any announcement; the others have not been told. What the version loosens is therefore not tried.
type Trial struct {
	Share  float64       `json:"share"`  // of the dispatchers
	For    time.Duration `json:"for"`    // so long at least
	Margin float64       `json:"margin"` // by which the part of their jobs that is refused or fails may be above the others'
}

const (
	trialJobs  = 50  // of the part that tries, at least
	trialSure  = 3.0 // standard errors that a difference has to be from the margin to stop a trial
	trialWaits = 3   // times its span that a trial waits for jobs
)

// Check tells what is wrong with a trial; with none there is nothing.
func (t *Trial) Check() error {
	switch {
	case t == nil:
	case !(t.Share > 0 && t.Share <= 1):
		return fmt.Errorf("a trial's share must be above 0 and at most 1")
	case t.For <= 0 || t.For > 24*time.Hour:
		return fmt.Errorf("a trial must last for more than nothing and a day at the most")
	case !(t.Margin >= 0 && t.Margin <= 1):
		return fmt.Errorf("a trial's margin must be from 0 to 1")
	}
	return nil
}

// Has tells whether a dispatcher is of the part that tries a version. It is another part for each version.
func (t *Trial) Has(name string, version uint64) bool {
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

// Outcome is what became of a trial.
type Outcome uint8

// The outcomes.
const (
	Going Outcome = iota
	Passed
	Stopped
)

// Trying is the leader's part in a trial: what it saw since the trial began under it. A new leader begins anew.
type Trying struct {
	version uint64
	begin   Clock
	first   map[string]Member // as they were at the start, or when they came
	last    map[string]Member
}

// NewTrying begins.
func NewTrying(version uint64, now Clock) *Trying {
	return &Trying{version: version, begin: now, first: map[string]Member{}, last: map[string]Member{}}
}

// Version is the one that is tried.
func (t *Trying) Version() uint64 { return t.version }

// See takes in what a dispatcher says of its jobs. One whose process is another one begins anew.
func (t *Trying) See(m Member) {
	if was, ok := t.first[m.Name]; !ok || was.Instance != m.Instance || m.Ended < was.Ended {
		t.first[m.Name] = m
	}
	t.last[m.Name] = m
}

// Judge tells what becomes of the trial now, and why.
func (t *Trying) Judge(trial *Trial, now Clock) (Outcome, string) {
	var ended, bad [2]float64 // of the others, of the part that tries
	for name, m := range t.last {
		part := 0
		if trial.Has(name, t.version) {
			part = 1
		}
		ended[part] += float64(m.Ended - t.first[name].Ended)
		bad[part] += float64(m.Bad - t.first[name].Bad)
	}
	over := now - t.begin
	if ended[1] < trialJobs {
		if over >= trialWaits*trial.For {
			return Stopped, fmt.Sprintf("the part that tries it ended %.0f jobs in %v", ended[1], trialWaits*trial.For)
		}
		return Going, ""
	}
	tried, others := bad[1]/ended[1], 0.0
	error2 := rateError(bad[1], ended[1])
	if ended[0] > 0 {
		others = bad[0] / ended[0]
		error2 += rateError(bad[0], ended[0])
	}
	if worse := tried - others - trial.Margin; worse > trialSure*math.Sqrt(error2) {
		return Stopped, fmt.Sprintf("%.3f of %.0f jobs refused or failed where it is tried, %.3f of %.0f elsewhere", tried, ended[1], others, ended[0])
	}
	if over >= trial.For {
		return Passed, ""
	}
	return Going, ""
}

// rateError is the variance of a rate seen, with one job of each kind more so that none is sure of itself.
func rateError(bad, of float64) float64 {
	p := (bad + 1) / (of + 2)
	return p * (1 - p) / (of + 2)
}

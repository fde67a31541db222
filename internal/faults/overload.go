package faults

import (
	"fmt"
	"time"

	"brassdale/internal/emulator"
)

// Overload is what all processes together may do, and what befalls boxes so that they would do more.
type Overload struct {
	Retries, Probes float64 // as in the operator's block
	Shared          bool    // else each process does as it likes
	Frozen          float64 // share of the boxes that answer nothing ...
	At, For         time.Duration
}

// OverloadResult is what came of it. The names of its figures are kept.
type OverloadResult struct {
	BudgetOver map[string]float64 `json:"budget_over_max"` // by budget: most uses in five seconds, of what it allows
	Further    int                `json:"further"`
	Probes     int                `json:"probes"`
	Firsts     int                `json:"firsts"`
}

func (o *Overload) cluster(s *emulator.Scenario) {
	if o.Frozen > 0 {
		s.Faults = append(s.Faults, emulator.Fault{At: o.At, For: o.For, Kind: emulator.Freeze, Share: o.Frozen})
	}
}

func (o *Overload) operator() string {
	if o == nil || !o.Shared {
		return ""
	}
	return fmt.Sprintf("overload {\n retries = %g\n probes = %g\n}\n", o.Retries, o.Probes)
}

const (
	overWindow = 5 * time.Second
	minRetries = 1.0 // a second, of a fleet that has next to nothing to do
)

// within counts the times in a window that ends then.
func within(all []time.Duration, end, span time.Duration) (n float64) {
	for _, at := range all {
		if at > end-span && at <= end {
			n++
		}
	}
	return n
}

// overload sets what was done beside what the budgets allow: their rate over the window, what may be saved of a second, and one
// use for each process. A budget of further calls goes by the first calls of the lease before.
func (f *play) overload() {
	o := f.Overload
	if o == nil {
		return
	}
	spent := f.cluster.Spent()
	r := &OverloadResult{BudgetOver: map[string]float64{}, Further: len(spent.Furthers), Probes: len(spent.Probes), Firsts: len(spent.Firsts)}
	seconds, n := overWindow.Seconds(), float64(f.Processes)
	for _, at := range spent.Furthers {
		maximum := 0.0
		for back := time.Duration(0); back <= 2*f.Bound; back += f.Bound / 4 {
			maximum = max(maximum, within(spent.Firsts, at-back, overWindow)/seconds)
		}
		rate := max(o.Retries*maximum, minRetries)
		r.BudgetOver["retries"] = max(r.BudgetOver["retries"], within(spent.Furthers, at, overWindow)/(rate*(seconds+1)+n))
	}
	for _, at := range spent.Probes {
		if o.Probes > 0 {
			r.BudgetOver["probes"] = max(r.BudgetOver["probes"], within(spent.Probes, at, overWindow)/(o.Probes*(seconds+1)+n))
		}
	}
	f.r.Overload = r
}

package faults

import (
	"fmt"
	"time"

	"brassdale/internal/emulator"
)

// Overload is a fault of workers that makes dispatchers retry and probe more, and the budgets that all processes share for these.
type Overload struct {
	Retries float64       // further attempts for each first attempt, as in the operator file
	Probes  float64       // probes a second, as in the operator file
	Shared  bool          // the processes have the budgets; else each is bound by its own limits only
	Frozen  float64       // share of the workers that are frozen
	At      time.Duration // since the run began
	For     time.Duration
}

// OverloadResult is what was sent of attempts and probes. The JSON keys are those of result files and do not change.
type OverloadResult struct {
	BudgetOver map[string]float64 `json:"budget_over_max"` // by budget: the most uses in any overloadWindow, as a multiple of what it allows
	Further    int                `json:"further"`         // attempts after the first of a job
	Probes     int                `json:"probes"`
	Firsts     int                `json:"firsts"` // first attempts
}

// addTo adds the fault of the workers to a scenario.
func (o *Overload) addTo(scenario *emulator.Scenario) {
	if o.Frozen > 0 {
		scenario.Faults = append(scenario.Faults, emulator.Fault{At: o.At, For: o.For, Kind: emulator.Freeze, Share: o.Frozen})
	}
}

// operatorBlock returns the block of the operator file for the budgets; empty for none.
func (o *Overload) operatorBlock() string {
	if o == nil || !o.Shared {
		return ""
	}
	return fmt.Sprintf("overload {\n retries = %g\n probes = %g\n}\n", o.Retries, o.Probes)
}

const (
	overloadWindow  = 5 * time.Second
	minRetries      = 1.0 // a second: what the budget allows a fleet that has few jobs or none
	leasesBack      = 2   // a lease goes by the first attempts of the lease before it
	lookbacksALease = 4   // times at which the first attempts are counted
	savedSeconds    = 1   // of a budget's rate may be saved for later
)

// measure compares the attempts and probes of all processes with what the budgets allow in a window: their rate over the window, what may
// be saved, and one use for each process. bound is the duration of a lease.
func (o *Overload) measure(received emulator.ReceivedTimes, processes int, bound time.Duration) *OverloadResult {
	over := map[string]float64{}
	seconds := overloadWindow.Seconds()
	multiple := func(uses []time.Duration, at time.Duration, rate float64) float64 {
		return countInWindow(uses, at) / (rate*(seconds+savedSeconds) + float64(processes))
	}
	for _, at := range received.FurtherAttempts {
		firstRate := 0.0
		for back := time.Duration(0); back <= leasesBack*bound; back += bound / lookbacksALease {
			firstRate = max(firstRate, countInWindow(received.FirstAttempts, at-back)/seconds)
		}
		over["retries"] = max(over["retries"], multiple(received.FurtherAttempts, at, max(o.Retries*firstRate, minRetries)))
	}
	for _, at := range received.Probes {
		if o.Probes > 0 {
			over["probes"] = max(over["probes"], multiple(received.Probes, at, o.Probes))
		}
	}
	return &OverloadResult{BudgetOver: over, Further: len(received.FurtherAttempts), Probes: len(received.Probes), Firsts: len(received.FirstAttempts)}
}

// countInWindow returns how many of the times are in the overloadWindow that ends at the given time.
func countInWindow(times []time.Duration, end time.Duration) float64 {
	count := 0.0
	for _, at := range times {
		if at > end-overloadWindow && at <= end {
			count++
		}
	}
	return count
}

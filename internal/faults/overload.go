package faults

import (
	"fmt"
	"time"

	"brassdale/internal/emulator"
)

// Overload is a fault of workers that makes dispatchers retry and probe more, with the fleet's budgets for retries and probes.
type Overload struct {
	Retries float64       // further attempts for each first attempt, as in the operator file
	Probes  float64       // probes a second, as in the operator file
	Shared  bool          // the processes share the budgets; otherwise each has only its own limits
	Frozen  float64       // share of the workers that are frozen
	At      time.Duration // since the run began
	For     time.Duration
}

// OverloadResult counts the attempts and probes that were sent. The JSON keys are the keys of result files and do not change.
type OverloadResult struct {
	BudgetOver map[string]float64 `json:"budget_over_max"` // by budget: the maximum of uses / allowed uses over all overloadWindows
	Further    int                `json:"further"`         // attempts after the first of a job
	Probes     int                `json:"probes"`
	Firsts     int                `json:"firsts"` // first attempts
}

// addTo adds the fault of the workers to a scenario, if any are frozen.
func (o *Overload) addTo(scenario *emulator.Scenario) {
	if o.Frozen > 0 {
		scenario.Faults = append(scenario.Faults, emulator.Fault{At: o.At, For: o.For, Kind: emulator.Freeze, Share: o.Frozen})
	}
}

// operatorBlock returns the overload block of the operator file, or an empty text.
func (o *Overload) operatorBlock() string {
	if o == nil || !o.Shared {
		return ""
	}
	return fmt.Sprintf("overload {\n retries = %g\n probes = %g\n}\n", o.Retries, o.Probes)
}

const (
	overloadWindow        = 5 * time.Second
	minRetries            = 1.0 // per second: the retry budget allows at least this, even without first attempts
	lookbackLeases        = 2   // a lease depends on the first attempts during the lease before it
	lookbackStepsPerLease = 4   // counts of the first attempts in the duration of a lease
	savedSeconds          = 1   // unused budget is kept for this long
)

// measure compares the retries and probes of all processes with the budgets. In an overloadWindow, a budget allows
// rate * (window + savedSeconds) + processes uses. The parameter bound is the duration of a lease.
func (o *Overload) measure(received emulator.ReceivedTimes, processes int, bound time.Duration) *OverloadResult {
	over := map[string]float64{}
	seconds := overloadWindow.Seconds()
	multiple := func(uses []time.Duration, at time.Duration, rate float64) float64 {
		return countInWindow(uses, at) / (rate*(seconds+savedSeconds) + float64(processes))
	}
	for _, at := range received.FurtherAttempts {
		firstRate := 0.0
		for back := time.Duration(0); back <= lookbackLeases*bound; back += bound / lookbackStepsPerLease {
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

// countInWindow returns the number of times in the overloadWindow that ends at the given time.
func countInWindow(times []time.Duration, end time.Duration) float64 {
	count := 0.0
	for _, at := range times {
		if at > end-overloadWindow && at <= end {
			count++
		}
	}
	return count
}

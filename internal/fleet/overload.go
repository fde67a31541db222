package fleet

// Overload is the block named overload of the operator's file: bounds on the retries and probes of all dispatchers together. The
// leader divides them among the dispatchers by leases.
type Overload struct {
	// RetryRatio is the number of retries and hedges that the fleet may make per first attempt.
	RetryRatio float64 `hcl:"retries"`
	// ProbesPerSecond bounds the probes to all workers together; 0 means no bound.
	ProbesPerSecond float64 `hcl:"probes,optional"`
}

// Kinds of budgets.
const (
	RetryBudget = "retries"
	ProbeBudget = "probes"
)

const (
	// unleasedShare is the share of a budget that all dispatchers without a lease together may use.
	unleasedShare = 0.1
	// minRetriesPerSecond is the smallest retry budget, for a fleet that makes very few first attempts.
	minRetriesPerSecond = 1.0
)

// kinds returns the kinds of budgets that the settings define.
func (o *Overload) kinds() []string {
	if o == nil {
		return nil
	}
	if o.ProbesPerSecond > 0 {
		return []string{RetryBudget, ProbeBudget}
	}
	return []string{RetryBudget}
}

// ratePerSecond returns the allowed uses of a budget per second, given the fleet's first attempts per second.
func (o *Overload) ratePerSecond(kind string, firstAttemptsPerSecond float64) float64 {
	if kind == ProbeBudget {
		return o.ProbesPerSecond
	}
	return max(o.RetryRatio*firstAttemptsPerSecond, minRetriesPerSecond)
}

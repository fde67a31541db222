package fleet

// Overload are the operator's settings in a block overload: bounds on what all dispatchers together may do. The leader leases
// them out.
type Overload struct {
	// RetryRatio is the number of further attempts (retries and hedges) for each first attempt of the fleet.
	RetryRatio float64 `hcl:"retries"`
	// ProbesPerSecond are the probes of all workers together; 0 for no bound.
	ProbesPerSecond float64 `hcl:"probes,optional"`
}

// Kinds of budgets.
const (
	RetryBudget = "retries"
	ProbeBudget = "probes"
)

const (
	// unleasedShare is the share of a budget that dispatchers without a lease may use, all together.
	unleasedShare = 0.1
	// minRetriesPerSecond is the retry budget of a fleet that makes next to no first attempts.
	minRetriesPerSecond = 1.0
)

// kinds returns the kinds of budgets that the settings bound.
func (o *Overload) kinds() []string {
	if o == nil {
		return nil
	}
	if o.ProbesPerSecond > 0 {
		return []string{RetryBudget, ProbeBudget}
	}
	return []string{RetryBudget}
}

// ratePerSecond returns the uses of a budget per second, by the first attempts that the fleet makes per second.
func (o *Overload) ratePerSecond(kind string, firstAttemptsPerSecond float64) float64 {
	if kind == ProbeBudget {
		return o.ProbesPerSecond
	}
	return max(o.RetryRatio*firstAttemptsPerSecond, minRetriesPerSecond)
}

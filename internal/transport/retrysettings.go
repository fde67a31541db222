package transport

// RetrySettings is the part of the block "fleet" of the operator's file that limits retries.
type RetrySettings struct {
	RetryRatio float64 `hcl:"retry_budget"` // retries per first attempt, over sliding windows
}

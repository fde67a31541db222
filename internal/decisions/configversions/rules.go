package configversions

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

// Rules are the limits that a version sets for every dispatcher.
type Rules struct {
	// RetryRatio is the maximum number of retries and hedged attempts for each first attempt; below 0 it is unlimited.
	RetryRatio float64 `json:"retries"`
	// RetriesAllowed is false where no attempt may be made beyond the first.
	RetriesAllowed bool `json:"repeat"`
	// DetachedWorkers are the identifiers of workers that get no attempts.
	DetachedWorkers []string `json:"out,omitempty"`
	// QuotaCaps lower the quotas that the operator's file gives to accounts (package quotas), to these shares, from 0 to 1, of each
	// dispatcher's capacity for open requests. An account that is not named keeps its quota.
	QuotaCaps map[string]float64 `json:"shares,omitempty"`
}

const (
	// MaxRetryRatio is the largest RetryRatio that Check accepts.
	MaxRetryRatio = 16

	maxDetachedWorkers = 10_000
	maxQuotas          = 1000
	maxNameLength      = 2048 // bytes, of a worker's or an account's name
)

// Message formats are numbered; a dispatcher that reads one reads all smaller ones.
const (
	baseMessageFormat   = 1
	quotasMessageFormat = 2 // the first one with Rules.QuotaCaps
)

// unrestrictedRules are in effect before the fleet has agreed on a version.
func unrestrictedRules() Rules { return Rules{RetryRatio: -1, RetriesAllowed: true} }

// MinMessageFormat returns the oldest message format in which r can be sent.
func (r Rules) MinMessageFormat() int {
	if len(r.QuotaCaps) > 0 {
		return quotasMessageFormat
	}
	return baseMessageFormat
}

// Check returns an error that says which part of r is invalid. The error names the keys of the rules file.
func (r Rules) Check() error {
	switch {
	case math.IsNaN(r.RetryRatio) || math.IsInf(r.RetryRatio, 0) || r.RetryRatio > MaxRetryRatio:
		return fmt.Errorf("retries must be at most %v", float64(MaxRetryRatio))
	case len(r.DetachedWorkers) > maxDetachedWorkers:
		return fmt.Errorf("out names more than %d boxes", maxDetachedWorkers)
	case len(r.QuotaCaps) > maxQuotas:
		return fmt.Errorf("shares names more than %d accounts", maxQuotas)
	}
	if err := checkDetachedWorkers(r.DetachedWorkers); err != nil {
		return err
	}
	for account, quota := range r.QuotaCaps {
		if !validName(account) || !(quota >= 0 && quota <= 1) {
			return fmt.Errorf("shares[%q] must be from 0 to 1", account)
		}
	}
	return nil
}

// checkDetachedWorkers returns an error for the first identifier that is invalid or named twice.
func checkDetachedWorkers(ids []string) error {
	seen := make(map[string]bool, len(ids))
	for i, id := range ids {
		if !validName(id) {
			return fmt.Errorf("out[%d] is no name of a box", i)
		}
		if seen[id] {
			return fmt.Errorf("out names %q twice", id)
		}
		seen[id] = true
	}
	return nil
}

// validName reports whether name may identify a worker or an account.
func validName(name string) bool { return name != "" && len(name) <= maxNameLength }

// Stricter returns rules that permit only what both r and other permit.
func (r Rules) Stricter(other Rules) Rules {
	return Rules{
		RetryRatio:      StricterRetryRatio(r.RetryRatio, other.RetryRatio),
		RetriesAllowed:  r.RetriesAllowed && other.RetriesAllowed,
		DetachedWorkers: sortedUnion(r.DetachedWorkers, other.DetachedWorkers),
		QuotaCaps:       stricterQuotas(r.QuotaCaps, other.QuotaCaps),
	}
}

// StricterRetryRatio returns the smaller of two retry ratios, of which those below 0 are unlimited.
func StricterRetryRatio(first, second float64) float64 {
	if first < 0 || second >= 0 && second < first {
		return second
	}
	return first
}

// sortedUnion returns the distinct names of both lists, in ascending order.
func sortedUnion(first, second []string) []string {
	union := append(slices.Clone(first), second...)
	slices.Sort(union)
	return slices.Compact(union)
}

// stricterQuotas returns the smaller quota of each account that has one; nil where there is none.
func stricterQuotas(first, second map[string]float64) map[string]float64 {
	if len(first)+len(second) == 0 {
		return nil
	}
	quotas := maps.Clone(first)
	if quotas == nil {
		quotas = map[string]float64{}
	}
	for account, quota := range second {
		if other, ok := quotas[account]; !ok || quota < other {
			quotas[account] = quota
		}
	}
	return quotas
}

package configversions

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

// Rules are the limits that a version sets for every dispatcher.
type Rules struct {
	// RetryRatio is the maximum number of retries and hedged attempts for each first attempt; a negative value means no limit.
	RetryRatio float64 `json:"retries"`
	// RetriesAllowed is false if a request may have no attempt after its first one.
	RetriesAllowed bool `json:"repeat"`
	// DetachedWorkers are the identifiers of workers that get no attempts.
	DetachedWorkers []string `json:"out,omitempty"`
	// QuotaCaps limit the quotas that the operator's file sets for accounts (package quotas). Each is a share, from 0 to 1, of each
	// dispatcher's capacity for open requests. An account without a cap keeps its quota.
	QuotaCaps map[string]float64 `json:"shares,omitempty"`
}

const (
	// MaxRetryRatio is the largest RetryRatio that Check accepts.
	MaxRetryRatio = 16

	maxDetachedWorkers = 10_000
	maxQuotaCaps       = 1000
	maxNameLength      = 2048 // bytes, of a worker's or an account's name
)

// Message formats are numbered; a dispatcher that can read a format can also read all smaller ones.
const (
	baseMessageFormat      = 1
	quotaCapsMessageFormat = 2 // the first one with Rules.QuotaCaps
)

// unrestrictedRules returns the rules in effect before the fleet has agreed on a version.
func unrestrictedRules() Rules { return Rules{RetryRatio: -1, RetriesAllowed: true} }

// MinMessageFormat returns the oldest message format in which r can be sent.
func (r Rules) MinMessageFormat() int {
	if len(r.QuotaCaps) > 0 {
		return quotaCapsMessageFormat
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
	case len(r.QuotaCaps) > maxQuotaCaps:
		return fmt.Errorf("shares names more than %d accounts", maxQuotaCaps)
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

// checkDetachedWorkers returns an error for the first identifier that is invalid or listed twice.
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
		QuotaCaps:       stricterQuotaCaps(r.QuotaCaps, other.QuotaCaps),
	}
}

// StricterRetryRatio returns the smaller of two retry ratios; a negative ratio is unlimited.
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

// stricterQuotaCaps returns the smaller cap of each account that has a cap; nil if no account has one.
func stricterQuotaCaps(first, second map[string]float64) map[string]float64 {
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

// Package quotas decides which accounts' jobs are admitted when there is not enough capacity for all, over all frontends together. It
// does no I/O, reads no clock and starts no goroutine.
//
// Table guarantees:
//
//  1. No more jobs are open than the capacity.
//  2. A job of an account with fewer open jobs than its guaranteed number is admitted whenever any capacity is free.
//  3. A job beyond the guaranteed number of its account is admitted only if the account has fewer open jobs than the free capacity, so
//     that other accounts find capacity at once. While no other account has jobs open, the account may use half of the capacity.
//  4. Accounts that are not listed share one quota, so a client gains nothing by inventing account names.
//  5. A job that ends frees its capacity, also if the quotas were changed while it was open.
package quotas

import "brassdale/internal/decisions/http2limits"

// unlistedQuota is the name of the quota that all unlisted accounts share.
const unlistedQuota = ""

// Table counts the open jobs of each quota. It is made by New, and is not safe for concurrent use.
type Table struct {
	capacity      int                // jobs
	shares        map[string]float64 // of the capacity, from 0 to 1, by account
	unlistedShare float64            // of all accounts that are not in shares, together
	open          map[string]int     // jobs, by quota
	totalOpen     int
}

// New returns a table for a capacity in jobs. The map shares gives accounts their shares of the capacity, from 0 to 1. The remainder is
// the share of all other accounts together.
func New(capacity int, shares map[string]float64) *Table {
	table := &Table{open: map[string]int{}}
	table.SetQuotas(capacity, shares)
	return table
}

// SetQuotas changes the capacity and the shares. Open jobs stay open.
func (t *Table) SetQuotas(capacity int, shares map[string]float64) {
	t.capacity, t.shares, t.unlistedShare = capacity, shares, 1
	for _, share := range shares {
		t.unlistedShare -= share
	}
	t.unlistedShare = max(t.unlistedShare, 0)
}

// QuotaName returns the quota of an account, which is passed to the other methods. It is called once for each job, since SetQuotas may
// change the quota of the account while the job is open.
func (t *Table) QuotaName(account string) string {
	if _, ok := t.shares[account]; ok {
		return account
	}
	return unlistedQuota
}

// Admit counts a job and returns true, or returns false if there is no capacity for it. Each admitted job must be released.
func (t *Table) Admit(quota string) bool {
	if !http2limits.WithinDynamicThreshold(t.capacity, t.totalOpen, t.open[quota], t.guaranteed(quota)) {
		return false
	}
	t.open[quota]++
	t.totalOpen++
	return true
}

// Release ends an admitted job.
func (t *Table) Release(quota string) {
	t.totalOpen--
	if t.open[quota]--; t.open[quota] <= 0 {
		delete(t.open, quota)
	}
}

// TotalOpen returns the number of open jobs.
func (t *Table) TotalOpen() int { return t.totalOpen }

// Usage returns how many jobs of a quota are open, and how many are guaranteed.
func (t *Table) Usage(quota string) (open, guaranteed int) { return t.open[quota], t.guaranteed(quota) }

// guaranteed returns the share of a quota in jobs, rounded down, and at least 1.
func (t *Table) guaranteed(quota string) int {
	share, ok := t.shares[quota]
	if !ok {
		share = t.unlistedShare
	}
	return max(int(share*float64(t.capacity)), 1)
}

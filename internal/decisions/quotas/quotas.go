// Package quotas decides which accounts' jobs are taken when there is not room for all that come, over all fronts
// together. Values in, verdicts out: no I/O, no clock, no goroutine.
//
// It promises:
//
//  1. No more jobs are open than there is room.
//  2. An account that holds less than its share of the room gets its job taken whenever there is any room.
//  3. An account gets more than its share only as long as it holds less than what is free, so that others find room
//     the moment they come; alone it may hold half of the room.
//  4. Accounts that nobody listed have one share together: a client cannot gain by inventing names.
//  5. What is done is free again, also after the shares were changed while it was open.
package quotas

import "brassdale/internal/decisions/http2limits"

// Table is the account of what is open.
type Table struct {
	capacity      int
	shares        map[string]float64
	unlistedShare float64 // the part of all accounts that have none of their own
	open          map[string]int
	totalOpen     int
}

// New makes a table for a room of so many jobs, of which each account has a part between 0 and 1. What the parts leave
// is the part of all others together.
func New(capacity int, shares map[string]float64) *Table {
	t := &Table{open: map[string]int{}}
	t.SetQuotas(capacity, shares)
	return t
}

// SetQuotas changes room and parts. What is open stays open.
func (t *Table) SetQuotas(capacity int, shares map[string]float64) {
	t.capacity, t.shares, t.unlistedShare = capacity, shares, 1
	for _, share := range shares {
		t.unlistedShare -= share
	}
	t.unlistedShare = max(t.unlistedShare, 0)
}

// QuotaName tells under which name an account's jobs count. It must be asked once a job: a retuning may change it.
func (t *Table) QuotaName(account string) string {
	if _, ok := t.shares[account]; ok {
		return account
	}
	return ""
}

// Admit takes a job of a pot, or tells that there is no room for it.
func (t *Table) Admit(quota string) bool {
	if !http2limits.WithinDynamicThreshold(t.capacity, t.totalOpen, t.open[quota], t.guaranteed(quota)) {
		return false
	}
	t.open[quota]++
	t.totalOpen++
	return true
}

// Release ends a job that was taken.
func (t *Table) Release(quota string) {
	t.totalOpen--
	if t.open[quota]--; t.open[quota] <= 0 {
		delete(t.open, quota)
	}
}

// TotalOpen is how many jobs are open.
func (t *Table) TotalOpen() int { return t.totalOpen }

// Usage tells how many jobs of a pot are open, and how many it may always have.
func (t *Table) Usage(quota string) (open, share int) { return t.open[quota], t.guaranteed(quota) }

// guaranteed is an account's share in jobs: whole ones, and one at least.
func (t *Table) guaranteed(quota string) int {
	share, ok := t.shares[quota]
	if !ok {
		share = t.unlistedShare
	}
	return max(int(share*float64(t.capacity)), 1)
}

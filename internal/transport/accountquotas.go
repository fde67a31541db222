package transport

import (
	"fmt"
	"sync"

	"brassdale/internal/decisions/quotas"
)

// QuotaSettings is the block "accounts" of the operator's file.
type QuotaSettings struct {
	Capacity int            `hcl:"room"` // jobs open at a time, over all frontends
	Accounts []AccountQuota `hcl:"account,block"`
}

// AccountQuota is the share of one account.
type AccountQuota struct {
	Name  string  `hcl:"name,label"`
	Share float64 `hcl:"share"` // of the capacity, between 0 and 1
}

// shares returns the shares by account, in a new map.
func (s *QuotaSettings) shares() map[string]float64 {
	shares := map[string]float64{}
	for _, account := range s.Accounts {
		shares[account.Name] = account.Share
	}
	return shares
}

// AccountQuotas divides the capacity for open jobs among accounts, over all frontends together. On a nil *AccountQuotas only
// admit may be called; it then admits every job. Methods may be called from any goroutine.
type AccountQuotas struct {
	mu         sync.Mutex
	settings   *QuotaSettings
	openAtPeer int                // jobs that the predecessor has open during a handover
	fleetCaps  map[string]float64 // maximum shares by the fleet's rules; an account without an entry has no maximum
	table      *quotas.Table
}

// NewAccountQuotas returns the quotas with no job open.
func NewAccountQuotas(settings *QuotaSettings) *AccountQuotas {
	return &AccountQuotas{settings: settings, table: quotas.New(settings.Capacity, settings.shares())}
}

// SetQuotas replaces the settings. Open jobs stay open, also beyond the new shares.
func (q *AccountQuotas) SetQuotas(settings *QuotaSettings) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.settings = settings
	q.applySettings()
}

// ReserveForPeer reduces the capacity by the number of jobs that another process of this dispatcher has open. The parameter open is
// 0 if there is no other process.
func (q *AccountQuotas) ReserveForPeer(open int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.openAtPeer = open
	q.applySettings()
}

// CapQuotas limits the share of each account in caps to the account's cap, and raises no share. The caps replace all earlier ones.
func (q *AccountQuotas) CapQuotas(caps map[string]float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.fleetCaps = caps
	q.applySettings()
}

// applySettings applies the settings and the fleet's caps to the table. q.mu is held.
func (q *AccountQuotas) applySettings() {
	shares := q.settings.shares()
	for name, limit := range q.fleetCaps {
		if share, ok := shares[name]; ok && limit < share {
			shares[name] = limit
		}
	}
	q.table.SetQuotas(q.capacity(), shares)
}

// capacity returns how many jobs this process may have open. q.mu is held.
func (q *AccountQuotas) capacity() int { return max(q.settings.Capacity-q.openAtPeer, 0) }

// Metrics returns the metrics, one per line.
func (q *AccountQuotas) Metrics() string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return fmt.Sprintf("accounts_room=%d\naccounts_open=%d\n", q.capacity(), q.table.TotalOpen())
}

// OpenJobs returns how many jobs are open.
func (q *AccountQuotas) OpenJobs() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.TotalOpen()
}

// admit opens a job of an account, if the account's quota allows one more. release must be called once, when the job ends.
func (q *AccountQuotas) admit(account string) (release func(), ok bool) {
	if q == nil {
		return func() {}, true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	quota := q.table.QuotaName(account)
	if !q.table.Admit(quota) {
		return nil, false
	}
	return func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.table.Release(quota)
	}, true
}

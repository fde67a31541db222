package transport

import (
	"fmt"
	"sync"

	"brassdale/internal/decisions/quotas"
)

// AccountQuotas deals out the room for jobs among accounts, over all fronts together. A nil one has room for all.
type AccountQuotas struct {
	mu         sync.Mutex
	settings   *QuotaSettings
	openAtPeer int                // jobs that another process has open which acts as the same dispatcher
	fleetCaps  map[string]float64 // the most that accounts may have by the fleet's rules
	table      *quotas.Table
}

// QuotaSettings are the operator's, in a block accounts.
type QuotaSettings struct {
	Capacity int            `hcl:"room"` // jobs open at a time, over all fronts
	Accounts []AccountQuota `hcl:"account,block"`
}

// AccountQuota is an account's part of the room.
type AccountQuota struct {
	Name  string  `hcl:"name,label"`
	Share float64 `hcl:"share"` // between 0 and 1
}

func (s *QuotaSettings) shares() map[string]float64 {
	parts := map[string]float64{}
	for _, a := range s.Accounts {
		parts[a.Name] = a.Share
	}
	return parts
}

// NewAccountQuotas makes the table.
func NewAccountQuotas(s *QuotaSettings) *AccountQuotas {
	return &AccountQuotas{settings: s, table: quotas.New(s.Capacity, s.shares())}
}

// SetQuotas changes the shares; what is open stays open.
func (s *AccountQuotas) SetQuotas(to *QuotaSettings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings = to
	s.applySettings()
}

// ReserveFor leaves room for the jobs that another process has open; 0 while there is none.
func (s *AccountQuotas) ReserveFor(open int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openAtPeer = open
	s.applySettings()
}

// CapQuotas holds accounts to no more than these shares, whatever the settings say; who is not named is not bound.
func (s *AccountQuotas) CapQuotas(caps map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fleetCaps = caps
	s.applySettings()
}

// applySettings puts the settings in force; s.mu is held.
func (s *AccountQuotas) applySettings() {
	parts := s.settings.shares()
	for name, most := range s.fleetCaps {
		if part, ok := parts[name]; ok && most < part {
			parts[name] = most
		}
	}
	s.table.SetQuotas(max(s.settings.Capacity-s.openAtPeer, 0), parts)
}

// Metrics gives the numbers, a line each.
func (s *AccountQuotas) Metrics() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("accounts_room=%d\naccounts_open=%d\n", max(s.settings.Capacity-s.openAtPeer, 0), s.table.TotalOpen())
}

// OpenJobs is how many jobs are open.
func (s *AccountQuotas) OpenJobs() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.TotalOpen()
}

// admit takes a job of an account and gives what ends it, or tells that there is no room.
func (s *AccountQuotas) admit(account string) (free func(), ok bool) {
	if s == nil {
		return func() {}, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	pot := s.table.QuotaName(account)
	if !s.table.Admit(pot) {
		return nil, false
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.table.Release(pot)
	}, true
}

package transport

import (
	"fmt"
	"sync"

	"brassdale/internal/decisions/shares"
)

// Shares deals out the room for jobs among accounts, over all fronts together. A nil one has room for all.
type Shares struct {
	mu    sync.Mutex
	set   *SharesSettings
	other int                // jobs that another process has open which acts as the same dispatcher
	caps  map[string]float64 // the most that accounts may have by the fleet's rules
	table *shares.Table
}

// SharesSettings are the operator's, in a block accounts.
type SharesSettings struct {
	Room     int            `hcl:"room"` // jobs open at a time, over all fronts
	Accounts []AccountShare `hcl:"account,block"`
}

// AccountShare is an account's part of the room.
type AccountShare struct {
	Name  string  `hcl:"name,label"`
	Share float64 `hcl:"share"` // between 0 and 1
}

func (s *SharesSettings) parts() map[string]float64 {
	parts := map[string]float64{}
	for _, a := range s.Accounts {
		parts[a.Name] = a.Share
	}
	return parts
}

// NewShares makes the table.
func NewShares(s *SharesSettings) *Shares {
	return &Shares{set: s, table: shares.New(s.Room, s.parts())}
}

// Retune changes the shares; what is open stays open.
func (s *Shares) Retune(to *SharesSettings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set = to
	s.tune()
}

// Beside leaves room for the jobs that another process has open; 0 while there is none.
func (s *Shares) Beside(open int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.other = open
	s.tune()
}

// Cap holds accounts to no more than these shares, whatever the settings say; who is not named is not bound.
func (s *Shares) Cap(caps map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.caps = caps
	s.tune()
}

// tune puts the settings in force; s.mu is held.
func (s *Shares) tune() {
	parts := s.set.parts()
	for name, most := range s.caps {
		if part, ok := parts[name]; ok && most < part {
			parts[name] = most
		}
	}
	s.table.SetQuotas(max(s.set.Room-s.other, 0), parts)
}

// Figures gives the numbers, a line each.
func (s *Shares) Figures() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("accounts_room=%d\naccounts_open=%d\n", max(s.set.Room-s.other, 0), s.table.TotalOpen())
}

// Open is how many jobs are open.
func (s *Shares) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.TotalOpen()
}

// take takes a job of an account and gives what ends it, or tells that there is no room.
func (s *Shares) take(account string) (free func(), ok bool) {
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

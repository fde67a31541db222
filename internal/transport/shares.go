package transport

import (
	"sync"

	"brassdale/internal/decisions/shares"
)

// Shares deals out the room for jobs among accounts, over all fronts together. A nil one has room for all.
type Shares struct {
	mu    sync.Mutex
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
	return &Shares{table: shares.New(s.Room, s.parts())}
}

// Retune changes the shares; what is open stays open.
func (s *Shares) Retune(to *SharesSettings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Retune(to.Room, to.parts())
}

// take takes a job of an account and gives what ends it, or tells that there is no room.
func (s *Shares) take(account string) (free func(), ok bool) {
	if s == nil {
		return func() {}, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	pot := s.table.Pot(account)
	if !s.table.Take(pot) {
		return nil, false
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.table.Done(pot)
	}, true
}

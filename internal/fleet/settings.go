// Package fleet lets dispatchers that may talk to each other act on one version of the operators' rules at a time: a council
// of voters keeps them (fleet/log), every dispatcher holds a lease on what it knows, and decisions/agreement says what
// follows. Off unless an operator's file has a block council.
package fleet

import (
	"fmt"
	"net"
	"time"
)

// Settings are the operator's, in a block council.
type Settings struct {
	Name      string   `hcl:"fleet"`
	Listen    string   `hcl:"listen"`        // for the other dispatchers and for 'brassdale fleet'
	Voters    []string `hcl:"voters"`        // their addresses, by seat
	Seat      int      `hcl:"seat,optional"` // of this dispatcher among them, from 1; 0 for a follower
	Directory string   `hcl:"directory"`
	Bound     string   `hcl:"bound,optional"`
}

// Default gives what holds where the block says nothing.
func Default() Settings { return Settings{Bound: "2s"} }

// LeastBound is the shortest bound that makes sense: below it a lease does not outlast an election.
const LeastBound = time.Second

// Lease is how long a lease lasts: the bound.
func (s *Settings) Lease() (time.Duration, error) {
	d, err := time.ParseDuration(s.Bound)
	if err == nil && d < LeastBound {
		err = fmt.Errorf("%v is less than %v", d, LeastBound)
	}
	return d, err
}

// CheckVoters tells what is wrong with the council.
func (s *Settings) CheckVoters() error {
	if len(s.Voters) != 1 && len(s.Voters) != 3 && len(s.Voters) != 5 {
		return fmt.Errorf("there must be 1, 3 or 5 voters, not %d", len(s.Voters))
	}
	for i, v := range s.Voters {
		if _, _, err := net.SplitHostPort(v); err != nil {
			return fmt.Errorf("voters[%d]: %w", i, err)
		}
	}
	if s.Seat < 0 || s.Seat > len(s.Voters) {
		return fmt.Errorf("there is no seat %d", s.Seat)
	}
	return nil
}

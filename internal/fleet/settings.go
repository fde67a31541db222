package fleet

import (
	"errors"
	"fmt"
	"net"
	"time"

	"brassdale/internal/decisions/voters"
)

// Settings is the block named council of the operator's file.
type Settings struct {
	// Name is the name of the fleet.
	Name string `hcl:"fleet"`
	// Listen is the TCP and UDP address for the other dispatchers and for 'brassdale fleet'.
	Listen string `hcl:"listen"`
	// Voters are the addresses of the founding voters, in the order of their IDs. Dispatchers that start later find the
	// fleet through these addresses.
	Voters []string `hcl:"voters"`
	// VoterID is the ID of this dispatcher as a founding voter, from 1; 0 if it is not one.
	VoterID int `hcl:"seat,optional"`
	// Directory is where this dispatcher stores the files that must outlast a restart.
	Directory string `hcl:"directory"`
	// LeaseDuration is how long a lease lasts, at least MinLease.
	LeaseDuration string `hcl:"bound,optional"`
	// ReplaceAfter is how long a voter may be silent before another dispatcher replaces it, at least MinReplaceAfter.
	ReplaceAfter string `hcl:"replace,optional"`
	// Region and Zone are the location of this dispatcher. If Zone is empty, the platform's zone is used.
	Region string `hcl:"region,optional"`
	Zone   string `hcl:"zone,optional"`
	// DedicatedToControl says that this machine serves no jobs and that its dispatcher is preferred as a voter.
	DedicatedToControl bool `hcl:"set_aside,optional"`
	// Rules is a file of rules that is proposed at SIGHUP.
	Rules string `hcl:"rules,optional"`
	// AddressOverrides maps addresses of other dispatchers to the addresses at which this dispatcher reaches them. It uses an
	// address without an entry as it is.
	AddressOverrides map[string]string `hcl:"reach,optional"`
}

// Default returns the defaults of the block named council.
func Default() Settings { return Settings{LeaseDuration: "2s", ReplaceAfter: "30s"} }

const (
	// MinLease is the shortest duration of a lease: a shorter one would not outlast an election.
	MinLease = time.Second
	// MinReplaceAfter is the shortest time after which a silent voter is replaced.
	MinReplaceAfter = 3 * time.Second
)

// Lease returns the duration of a lease. It returns an error if the duration is invalid or shorter than MinLease.
func (s *Settings) Lease() (time.Duration, error) {
	return durationOfAtLeast(s.LeaseDuration, MinLease)
}

// ReplaceAfterDuration returns how long a voter may be silent before it is replaced. It returns an error if the duration is invalid
// or shorter than MinReplaceAfter.
func (s *Settings) ReplaceAfterDuration() (time.Duration, error) {
	return durationOfAtLeast(s.ReplaceAfter, MinReplaceAfter)
}

func durationOfAtLeast(text string, minimum time.Duration) (time.Duration, error) {
	duration, err := time.ParseDuration(text)
	if err == nil && duration < minimum {
		err = fmt.Errorf("%v is less than %v", duration, minimum)
	}
	return duration, err
}

// CheckVoters returns an error if the settings of the founding voters are invalid.
func (s *Settings) CheckVoters() error {
	if len(s.Voters) != 1 && len(s.Voters) != 3 && len(s.Voters) != 5 {
		return fmt.Errorf("there must be 1, 3 or 5 voters, not %d", len(s.Voters))
	}
	for i, address := range s.Voters {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return fmt.Errorf("voters[%d]: %w", i, err)
		}
	}
	if s.VoterID < 0 || s.VoterID > len(s.Voters) {
		return fmt.Errorf("there is no seat %d", s.VoterID)
	}
	if s.VoterID > 0 && s.Voters[s.VoterID-1] != s.Listen {
		return errors.New("the voter address at this dispatcher's seat differs from its listen address")
	}
	return nil
}

// resolve returns the address at which this dispatcher reaches another dispatcher with the given address.
func (s *Settings) resolve(address string) string {
	if override, ok := s.AddressOverrides[address]; ok {
		return override
	}
	return address
}

// founders returns the founding voters.
func (s *Settings) founders() (founders []voters.Voter) {
	for i, address := range s.Voters {
		founders = append(founders, voters.Voter{ID: uint64(i + 1), Address: address})
	}
	return founders
}

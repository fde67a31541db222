// Package fleet lets dispatchers that may talk to each other act on one version of the operators' rules at a time: a council
// of voters keeps them (fleet/log), every dispatcher holds a lease on what it knows, and decisions/agreement says what
// follows. Off unless an operator's file has a block council.
package fleet

import (
	"errors"
	"fmt"
	"math"
	"net"
	"time"

	"brassdale/internal/decisions/failover"
	"brassdale/internal/decisions/voters"
)

// Settings are the operator's, in a block council.
type Settings struct {
	Name               string            `hcl:"fleet"`
	Listen             string            `hcl:"listen"`        // for the other dispatchers and for 'brassdale fleet', over TCP and UDP
	Voters             []string          `hcl:"voters"`        // addresses of the first council, by seat; later ones find the fleet by them
	VoterID            int               `hcl:"seat,optional"` // of this dispatcher in the first council, from 1; 0 for none
	Directory          string            `hcl:"directory"`
	LeaseDuration      string            `hcl:"bound,optional"`
	ReplaceAfter       string            `hcl:"replace,optional"` // a seat that is silent for so long is given to another dispatcher
	Region             string            `hcl:"region,optional"`
	Zone               string            `hcl:"zone,optional"`      // the platform's where it is left out
	DedicatedToControl bool              `hcl:"set_aside,optional"` // the machine is for control: it wants no jobs, and is given seats first
	Rules              string            `hcl:"rules,optional"`     // a file that is proposed at SIGHUP
	AddressOverrides   map[string]string `hcl:"reach,optional"`     // where others' addresses are reached from here, if elsewhere
}

// Failover is the operator's, in a block failover: zones' jobs are served by a plan that the council makes.
type Failover struct {
	Regions       []Region `hcl:"region,block"`
	Headroom      float64  `hcl:"headroom,optional"`  // of a zone's capacity that no plan may plan away
	RecoveryRamp  string   `hcl:"return_in,optional"` // a zone that is back is given its traffic over so long at least
	MaxPlanAge    string   `hcl:"alone,optional"`     // how long a dispatcher without a lease may act on the last plan
	DetectionTime string   `hcl:"detect,optional"`    // a trouble shorter than that changes nothing
}

// Region is a part of the world with zones near each other.
type Region struct {
	Name  string   `hcl:"name,label"`
	Zones []string `hcl:"zones"`
}

// Overload is the operator's, in a block overload: what all dispatchers together may do is dealt out by the council.
type Overload struct {
	RetryRatio      float64 `hcl:"retries"`         // further calls for each first one of the fleet
	ProbesPerSecond float64 `hcl:"probes,optional"` // a second, at all boxes together; 0 for no bound
}

// Budgets that are dealt out.
const (
	RetryBudget = "retries"
	ProbeBudget = "probes"
)

// kinds are those that the settings bound.
func (o *Overload) kinds() []string {
	if o == nil {
		return nil
	}
	if o.ProbesPerSecond > 0 {
		return []string{RetryBudget, ProbeBudget}
	}
	return []string{RetryBudget}
}

const (
	freeShare    = 0.1 // of a budget, for those without a lease
	leastRetries = 1.0 // a second, of a fleet that has next to nothing to do
)

// rate is a budget's, by the first calls that the fleet makes a second.
func (o *Overload) rate(kind string, firsts float64) float64 {
	if kind == ProbeBudget {
		return o.ProbesPerSecond
	}
	return max(o.RetryRatio*firsts, leastRetries)
}

// DefaultFailover gives what holds where the block says nothing.
func DefaultFailover() Failover {
	return Failover{Headroom: 0.15, RecoveryRamp: "60s", MaxPlanAge: "10s", DetectionTime: "1s"}
}

// plannerStep is by how much shares move a second where nothing is out.
const plannerStep = 0.1

// planner gives its settings in the planner's terms, and the zones' regions. Zones of a region lie by their order.
func (f *Failover) planner() (failover.Settings, map[string]string) {
	regions, place := map[string]string{}, map[string]int{}
	for _, r := range f.Regions {
		for _, z := range r.Zones {
			regions[z], place[z] = r.Name, len(place)
		}
	}
	span := func(text string) time.Duration { d, _ := time.ParseDuration(text); return d }
	return failover.Settings{Headroom: f.Headroom, RecoveryRamp: span(f.RecoveryRamp), DetectionTime: span(f.DetectionTime), MaxShiftPerSecond: plannerStep,
		Distance: func(from, to string) float64 { return math.Abs(float64(place[from] - place[to])) }}, regions
}

// Default gives what holds where the block says nothing.
func Default() Settings { return Settings{LeaseDuration: "2s", ReplaceAfter: "30s"} }

const (
	// MinLease is the shortest bound that makes sense: below it a lease does not outlast an election.
	MinLease = time.Second
	// MinReplaceAfter is the same for a seat that is silent.
	MinReplaceAfter = 3 * time.Second
)

// Lease is how long a lease lasts: the bound.
func (s *Settings) Lease() (time.Duration, error) { return atLeast(s.LeaseDuration, MinLease) }

// ReplaceAfterDuration is how long a seat may be silent.
func (s *Settings) ReplaceAfterDuration() (time.Duration, error) {
	return atLeast(s.ReplaceAfter, MinReplaceAfter)
}

func atLeast(text string, least time.Duration) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err == nil && d < least {
		err = fmt.Errorf("%v is less than %v", d, least)
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
	if s.VoterID < 0 || s.VoterID > len(s.Voters) {
		return fmt.Errorf("there is no seat %d", s.VoterID)
	}
	if s.VoterID > 0 && s.Voters[s.VoterID-1] != s.Listen {
		return errors.New("the address in this dispatcher's seat is not the one where it listens")
	}
	return nil
}

// reach gives where an address is reached from here.
func (s *Settings) reach(address string) string {
	if to, ok := s.AddressOverrides[address]; ok {
		return to
	}
	return address
}

// founders are the seats of the first council.
func (s *Settings) founders() (all []voters.Voter) {
	for i, v := range s.Voters {
		all = append(all, voters.Voter{ID: uint64(i + 1), Address: v})
	}
	return all
}

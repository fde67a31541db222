// Package configversions decides which version of the fleet's rules a dispatcher may act on, and when a council may put the next
// one in force. Values in, verdicts out: no I/O, no clock, no goroutine.
//
// A change goes in two steps. It is announced: who hears of it keeps to the stricter of both versions, and says so with its
// next renewal. It is in force once every dispatcher that may hold a lease has said so, or its lease has run out. So two
// dispatchers with leases always share a version whose limits both keep; one whose lease has run out keeps to all that it
// knows and sends nothing a second time.
//
// It promises, whatever is lost, late, doubled or frozen, as long as clocks run within Drift of each other's pace:
//
//  1. No two dispatchers that hold leases act on versions that have nothing in common.
//  2. A dispatcher from which the council cannot be reached acts with restraint one lease after it last asked, at the latest.
//  3. A change waits for one lease, lengthened by Drift, and no longer, whoever is gone.
package configversions

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"brassdale/internal/decisions/canary"
	"brassdale/internal/decisions/failover"
	"brassdale/internal/decisions/voters"
)

// Clock is a point in time of one process: since an epoch of its own, never moved back.
type Clock = time.Duration

// Rules are what a version says.
type Rules struct {
	RetryRatio      float64  `json:"retries"`       // further calls for each first one; below 0 for no bound
	RetriesAllowed  bool     `json:"repeat"`        // whether anything is sent a second time
	DetachedWorkers []string `json:"out,omitempty"` // boxes that get nothing

	// Quotas are the most that accounts may have of the room for open jobs, at each dispatcher; who is not named is not bound.
	Quotas map[string]float64 `json:"shares,omitempty"`
}

// MinMessageFormat is the form of messages that a dispatcher must speak to read the rules.
func (r Rules) MinMessageFormat() int {
	if len(r.Quotas) > 0 {
		return 2
	}
	return 1
}

// unrestrictedRules are the rules before the fleet has agreed on any.
func unrestrictedRules() Rules { return Rules{RetryRatio: -1, RetriesAllowed: true} }

// effectiveRules are those of a version.
func (v Version) effectiveRules() Rules {
	if v.Number == 0 {
		return unrestrictedRules()
	}
	return v.Rules
}

// Check tells what is wrong with rules.
func (r Rules) Check() error {
	switch {
	case math.IsNaN(r.RetryRatio) || math.IsInf(r.RetryRatio, 0) || r.RetryRatio > MaxRetryRatio:
		return fmt.Errorf("retries must be at most %v", float64(MaxRetryRatio))
	case len(r.DetachedWorkers) > maxDetachedWorkers:
		return fmt.Errorf("out names more than %d boxes", maxDetachedWorkers)
	case len(r.Quotas) > maxQuotas:
		return fmt.Errorf("shares names more than %d accounts", maxQuotas)
	}
	seen := make(map[string]bool, len(r.DetachedWorkers))
	for i, id := range r.DetachedWorkers {
		if id == "" || len(id) > maxNameLength {
			return fmt.Errorf("out[%d] is no name of a box", i)
		}
		if seen[id] {
			return fmt.Errorf("out names %q twice", id)
		}
		seen[id] = true
	}
	for name, share := range r.Quotas {
		if name == "" || len(name) > maxNameLength || !(share >= 0 && share <= 1) {
			return fmt.Errorf("shares[%q] must be from 0 to 1", name)
		}
	}
	return nil
}

const (
	// MaxRetryRatio is the largest bound on further calls that makes sense.
	MaxRetryRatio = 16

	maxDetachedWorkers = 10_000
	maxQuotas          = 1000
	maxNameLength      = 2048 // bytes of a box's or an account's name
	maxHistory         = 64
)

// Stricter gives rules that allow only what both allow.
func (r Rules) Stricter(o Rules) Rules {
	s := Rules{RetryRatio: r.RetryRatio, RetriesAllowed: r.RetriesAllowed && o.RetriesAllowed}
	if r.RetryRatio < 0 || o.RetryRatio >= 0 && o.RetryRatio < r.RetryRatio {
		s.RetryRatio = o.RetryRatio
	}
	s.DetachedWorkers = append(slices.Clone(r.DetachedWorkers), o.DetachedWorkers...)
	slices.Sort(s.DetachedWorkers)
	s.DetachedWorkers = slices.Compact(s.DetachedWorkers)
	if len(r.Quotas)+len(o.Quotas) > 0 {
		s.Quotas = maps.Clone(r.Quotas)
		if s.Quotas == nil {
			s.Quotas = map[string]float64{}
		}
		for name, share := range o.Quotas {
			if had, ok := s.Quotas[name]; !ok || share < had {
				s.Quotas[name] = share
			}
		}
	}
	return s
}

// Version is one version of the rules. Numbers go up by one.
type Version struct {
	Number uint64          `json:"number"`
	Rules  Rules           `json:"rules"`
	By     string          `json:"by"`
	Reason string          `json:"why"`
	At     time.Time       `json:"at"`              // by the proposer's clock: for people, nothing is decided by it
	Canary *canary.Rollout `json:"trial,omitempty"` // while only a part of the dispatchers keeps to it; nil for all
}

// Record is what the fleet has agreed on. The council's log makes it, entry by entry; everybody has it as of some revision.
type Record struct {
	Epoch       uint64         `json:"era,omitempty"` // goes up where a council is made anew without its majority
	Revision    uint64         `json:"revision"`      // entries that changed it
	InForce     Version        `json:"in_force"`
	Announced   *Version       `json:"announced,omitempty"`
	History     []Version      `json:"history,omitempty"`   // those that were in force, the newest last
	Withdrawn   []Withdrawal   `json:"withdrawn,omitempty"` // the newest last
	Voters      []voters.Voter `json:"council,omitempty"`
	Plan        *failover.Plan `json:"plan,omitempty"`      // where zones' jobs are served; nil where nobody plans
	ZoneLimits  []ZoneLimit    `json:"holds,omitempty"`     // zones that people hold at a share of their capacity
	NextVoterID uint64         `json:"next_seat,omitempty"` // no number is used twice
}

// Voter gives the council's seat of a number.
func (r Record) Voter(id uint64) (voters.Voter, bool) {
	i := slices.IndexFunc(r.Voters, func(s voters.Voter) bool { return s.ID == id })
	if i < 0 {
		return voters.Voter{}, false
	}
	return r.Voters[i], true
}

// WithoutHistory is the record without what was: who acts on it needs no history, and it may be most of a record.
func (r Record) WithoutHistory() Record {
	r.History, r.Withdrawn = nil, nil
	return r
}

// Withdrawal is a version that was announced and given up.
type Withdrawal struct {
	Version Version `json:"version"`
	Reason  string  `json:"why"`
}

// ZoneLimit is a zone that people hold at a share of its capacity; 0 drains it.
type ZoneLimit struct {
	Zone   string  `json:"zone"`
	Share  float64 `json:"share"` // 1 lets it go
	By     string  `json:"by"`
	Reason string  `json:"why"`
	Force  bool    `json:"force,omitempty"` // though there is no room elsewhere
}

// NewerThan tells whether a record is newer than another.
func (r Record) NewerThan(o Record) bool {
	return r.Epoch > o.Epoch || r.Epoch == o.Epoch && r.Revision > o.Revision
}

// Entry is a command in the council's log.
type Entry struct {
	ID         string         `json:"id"`                 // of the proposer's choice
	Announce   *Version       `json:"announce,omitempty"` // Number is the one that it follows; it gets the next
	PutInForce uint64         `json:"force,omitempty"`    // the number of the announced version
	Withdraw   uint64         `json:"withdraw,omitempty"` // the same: it is given up
	EndCanary  uint64         `json:"widen,omitempty"`    // the same: its trial is over, all keep to it
	Reason     string         `json:"why,omitempty"`      // of a withdrawal
	Voters     []voters.Voter `json:"council,omitempty"`  // who sits in the council from now on
	Plan       *failover.Plan `json:"plan,omitempty"`     // the next one
	ZoneLimit  *ZoneLimit     `json:"hold,omitempty"`
}

// The reasons for which an entry changes nothing.
var (
	ErrChangeInProgress = errors.New("another change is under way")
	ErrNotNextVersion   = errors.New("it does not follow the version in force")
	ErrNotAnnounced     = errors.New("no such version is announced")
	ErrCanaryRunning    = errors.New("its trial is not over")
	ErrZoneLimit        = errors.New("a hold names a zone and a share from 0 to 1")
)

// Apply gives the record behind an entry. Where it gives an error the record is as it was.
func (r Record) Apply(e Entry) (Record, error) {
	next := r
	switch {
	case e.Announce != nil:
		if r.Announced != nil {
			return r, ErrChangeInProgress
		}
		if e.Announce.Number != r.InForce.Number {
			return r, ErrNotNextVersion
		}
		if err := cmp.Or(e.Announce.Rules.Check(), e.Announce.Canary.Check()); err != nil {
			return r, err
		}
		v := *e.Announce
		v.Number++
		next.Announced = &v
	case e.Plan != nil:
		if r.Plan != nil && e.Plan.Number <= r.Plan.Number {
			return r, ErrNotNextVersion
		}
		next.Plan = e.Plan
	case e.ZoneLimit != nil:
		if e.ZoneLimit.Zone == "" || !(e.ZoneLimit.Share >= 0 && e.ZoneLimit.Share <= 1) {
			return r, ErrZoneLimit
		}
		next.ZoneLimits = slices.DeleteFunc(slices.Clone(r.ZoneLimits), func(h ZoneLimit) bool { return h.Zone == e.ZoneLimit.Zone })
		if e.ZoneLimit.Share < 1 {
			next.ZoneLimits = append(next.ZoneLimits, *e.ZoneLimit)
		}
	case e.Voters != nil:
		next.Voters = e.Voters
		for _, seat := range e.Voters {
			next.NextVoterID = max(next.NextVoterID, seat.ID+1)
		}
	case r.Announced == nil || r.Announced.Number != max(e.PutInForce, e.Withdraw, e.EndCanary):
		return r, ErrNotAnnounced
	case e.EndCanary > 0:
		if r.Announced.Canary == nil {
			return r, ErrNotAnnounced
		}
		v := *r.Announced
		v.Canary = nil
		next.Announced = &v
	case e.PutInForce > 0:
		if r.Announced.Canary != nil {
			return r, ErrCanaryRunning
		}
		next.History = append(slices.Clone(r.History), r.InForce)
		if over := len(next.History) - maxHistory; over > 0 {
			next.History = next.History[over:]
		}
		next.InForce, next.Announced = *r.Announced, nil
	default: // its number is used up: who heard of it must not take another for it
		next.Withdrawn = append(slices.Clone(r.Withdrawn), Withdrawal{*r.Announced, e.Reason})
		if over := len(next.Withdrawn) - maxHistory; over > 0 {
			next.Withdrawn = next.Withdrawn[over:]
		}
		next.InForce.Number, next.Announced = r.Announced.Number+1, nil
	}
	next.Revision++
	return next, nil
}

// Effective is what a dispatcher acts on.
type Effective struct {
	Versions     []uint64 // it keeps the limits of each of them
	LeaseExpired bool     // it holds no lease
	Rules        Rules
}

// Contradicts tells whether two dispatchers act on versions that have nothing in common while both hold a lease.
func (s Effective) Contradicts(o Effective) bool {
	return !s.LeaseExpired && !o.LeaseExpired && s.SharesNoVersion(o)
}

// SharesNoVersion tells the same whether they hold leases or not.
func (s Effective) SharesNoVersion(o Effective) bool {
	return !slices.ContainsFunc(s.Versions, func(v uint64) bool { return slices.Contains(o.Versions, v) })
}

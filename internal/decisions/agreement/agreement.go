// Package agreement decides which version of the fleet's rules a dispatcher may act on, and when a council may put the next
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
package agreement

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"brassdale/internal/decisions/failover"
)

// Clock is a point in time of one process: since an epoch of its own, never moved back.
type Clock = time.Duration

// Rules are what a version says.
type Rules struct {
	Retries float64  `json:"retries"`       // further calls for each first one; below 0 for no bound
	Repeat  bool     `json:"repeat"`        // whether anything is sent a second time
	Out     []string `json:"out,omitempty"` // boxes that get nothing

	// Shares are the most that accounts may have of the room for open jobs, at each dispatcher; who is not named is not bound.
	Shares map[string]float64 `json:"shares,omitempty"`
}

// Needs is the form of messages that a dispatcher must speak to read the rules.
func (r Rules) Needs() int {
	if len(r.Shares) > 0 {
		return 2
	}
	return 1
}

// unbound are the rules before the fleet has agreed on any.
func unbound() Rules { return Rules{Retries: -1, Repeat: true} }

// rules are those of a version.
func (v Version) rules() Rules {
	if v.Number == 0 {
		return unbound()
	}
	return v.Rules
}

// Check tells what is wrong with rules.
func (r Rules) Check() error {
	switch {
	case math.IsNaN(r.Retries) || math.IsInf(r.Retries, 0) || r.Retries > MostRetries:
		return fmt.Errorf("retries must be at most %v", float64(MostRetries))
	case len(r.Out) > mostOut:
		return fmt.Errorf("out names more than %d boxes", mostOut)
	case len(r.Shares) > mostShares:
		return fmt.Errorf("shares names more than %d accounts", mostShares)
	}
	seen := make(map[string]bool, len(r.Out))
	for i, id := range r.Out {
		if id == "" || len(id) > mostName {
			return fmt.Errorf("out[%d] is no name of a box", i)
		}
		if seen[id] {
			return fmt.Errorf("out names %q twice", id)
		}
		seen[id] = true
	}
	for name, share := range r.Shares {
		if name == "" || len(name) > mostName || !(share >= 0 && share <= 1) {
			return fmt.Errorf("shares[%q] must be from 0 to 1", name)
		}
	}
	return nil
}

const (
	// MostRetries is the largest bound on further calls that makes sense.
	MostRetries = 16

	mostOut     = 10_000
	mostShares  = 1000
	mostName    = 2048 // bytes of a box's or an account's name
	mostHistory = 64
)

// Stricter gives rules that allow only what both allow.
func (r Rules) Stricter(o Rules) Rules {
	s := Rules{Retries: r.Retries, Repeat: r.Repeat && o.Repeat}
	if r.Retries < 0 || o.Retries >= 0 && o.Retries < r.Retries {
		s.Retries = o.Retries
	}
	s.Out = append(slices.Clone(r.Out), o.Out...)
	slices.Sort(s.Out)
	s.Out = slices.Compact(s.Out)
	if len(r.Shares)+len(o.Shares) > 0 {
		s.Shares = maps.Clone(r.Shares)
		if s.Shares == nil {
			s.Shares = map[string]float64{}
		}
		for name, share := range o.Shares {
			if had, ok := s.Shares[name]; !ok || share < had {
				s.Shares[name] = share
			}
		}
	}
	return s
}

// Version is one version of the rules. Numbers go up by one.
type Version struct {
	Number uint64    `json:"number"`
	Rules  Rules     `json:"rules"`
	By     string    `json:"by"`
	Why    string    `json:"why"`
	At     time.Time `json:"at"`              // by the proposer's clock: for people, nothing is decided by it
	Trial  *Trial    `json:"trial,omitempty"` // while only a part of the dispatchers keeps to it; nil for all
}

// Record is what the fleet has agreed on. The council's log makes it, entry by entry; everybody has it as of some revision.
type Record struct {
	Era       uint64         `json:"era,omitempty"` // goes up where a council is made anew without its majority
	Revision  uint64         `json:"revision"`      // entries that changed it
	InForce   Version        `json:"in_force"`
	Announced *Version       `json:"announced,omitempty"`
	History   []Version      `json:"history,omitempty"`   // those that were in force, the newest last
	Withdrawn []Withdrawal   `json:"withdrawn,omitempty"` // the newest last
	Council   []Seat         `json:"council,omitempty"`
	Plan      *failover.Plan `json:"plan,omitempty"`      // where zones' jobs are served; nil where nobody plans
	Holds     []Hold         `json:"holds,omitempty"`     // zones that people hold at a share of their capacity
	NextSeat  uint64         `json:"next_seat,omitempty"` // no number is used twice
}

// Seat gives the council's seat of a number.
func (r Record) Seat(id uint64) (Seat, bool) {
	i := slices.IndexFunc(r.Council, func(s Seat) bool { return s.ID == id })
	if i < 0 {
		return Seat{}, false
	}
	return r.Council[i], true
}

// Brief is the record without what was: who acts on it needs no history, and it may be most of a record.
func (r Record) Brief() Record {
	r.History, r.Withdrawn = nil, nil
	return r
}

// Withdrawal is a version that was announced and given up.
type Withdrawal struct {
	Version Version `json:"version"`
	Why     string  `json:"why"`
}

// Hold is a zone that people hold at a share of its capacity; 0 drains it.
type Hold struct {
	Zone  string  `json:"zone"`
	Share float64 `json:"share"` // 1 lets it go
	By    string  `json:"by"`
	Why   string  `json:"why"`
	Force bool    `json:"force,omitempty"` // though there is no room elsewhere
}

// Newer tells whether a record is newer than another.
func (r Record) Newer(o Record) bool {
	return r.Era > o.Era || r.Era == o.Era && r.Revision > o.Revision
}

// Entry is a command in the council's log.
type Entry struct {
	ID       string         `json:"id"`                 // of the proposer's choice
	Announce *Version       `json:"announce,omitempty"` // Number is the one that it follows; it gets the next
	Force    uint64         `json:"force,omitempty"`    // the number of the announced version
	Withdraw uint64         `json:"withdraw,omitempty"` // the same: it is given up
	Widen    uint64         `json:"widen,omitempty"`    // the same: its trial is over, all keep to it
	Why      string         `json:"why,omitempty"`      // of a withdrawal
	Council  []Seat         `json:"council,omitempty"`  // who sits in the council from now on
	Plan     *failover.Plan `json:"plan,omitempty"`     // the next one
	Hold     *Hold          `json:"hold,omitempty"`
}

// The reasons for which an entry changes nothing.
var (
	ErrUnderWay = errors.New("another change is under way")
	ErrBase     = errors.New("it does not follow the version in force")
	ErrNone     = errors.New("no such version is announced")
	ErrTrial    = errors.New("its trial is not over")
	ErrHold     = errors.New("a hold names a zone and a share from 0 to 1")
)

// Apply gives the record behind an entry. Where it gives an error the record is as it was.
func (r Record) Apply(e Entry) (Record, error) {
	next := r
	switch {
	case e.Announce != nil:
		if r.Announced != nil {
			return r, ErrUnderWay
		}
		if e.Announce.Number != r.InForce.Number {
			return r, ErrBase
		}
		if err := cmp.Or(e.Announce.Rules.Check(), e.Announce.Trial.Check()); err != nil {
			return r, err
		}
		v := *e.Announce
		v.Number++
		next.Announced = &v
	case e.Plan != nil:
		if r.Plan != nil && e.Plan.Number <= r.Plan.Number {
			return r, ErrBase
		}
		next.Plan = e.Plan
	case e.Hold != nil:
		if e.Hold.Zone == "" || !(e.Hold.Share >= 0 && e.Hold.Share <= 1) {
			return r, ErrHold
		}
		next.Holds = slices.DeleteFunc(slices.Clone(r.Holds), func(h Hold) bool { return h.Zone == e.Hold.Zone })
		if e.Hold.Share < 1 {
			next.Holds = append(next.Holds, *e.Hold)
		}
	case e.Council != nil:
		next.Council = e.Council
		for _, seat := range e.Council {
			next.NextSeat = max(next.NextSeat, seat.ID+1)
		}
	case r.Announced == nil || r.Announced.Number != max(e.Force, e.Withdraw, e.Widen):
		return r, ErrNone
	case e.Widen > 0:
		if r.Announced.Trial == nil {
			return r, ErrNone
		}
		v := *r.Announced
		v.Trial = nil
		next.Announced = &v
	case e.Force > 0:
		if r.Announced.Trial != nil {
			return r, ErrTrial
		}
		next.History = append(slices.Clone(r.History), r.InForce)
		if over := len(next.History) - mostHistory; over > 0 {
			next.History = next.History[over:]
		}
		next.InForce, next.Announced = *r.Announced, nil
	default: // its number is used up: who heard of it must not take another for it
		next.Withdrawn = append(slices.Clone(r.Withdrawn), Withdrawal{*r.Announced, e.Why})
		if over := len(next.Withdrawn) - mostHistory; over > 0 {
			next.Withdrawn = next.Withdrawn[over:]
		}
		next.InForce.Number, next.Announced = r.Announced.Number+1, nil
	}
	next.Revision++
	return next, nil
}

// Stand is what a dispatcher acts on.
type Stand struct {
	Versions []uint64 // it keeps the limits of each of them
	Lapsed   bool     // it holds no lease
	Rules    Rules
}

// Contradicts tells whether two dispatchers act on versions that have nothing in common while both hold a lease.
func (s Stand) Contradicts(o Stand) bool {
	return !s.Lapsed && !o.Lapsed && s.Apart(o)
}

// Apart tells the same whether they hold leases or not.
func (s Stand) Apart(o Stand) bool {
	return !slices.ContainsFunc(s.Versions, func(v uint64) bool { return slices.Contains(o.Versions, v) })
}

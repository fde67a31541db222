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
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// Clock is a point in time of one process: since an epoch of its own, never moved back.
type Clock = time.Duration

// Rules are what a version says.
type Rules struct {
	Retries float64  `json:"retries"`       // further calls for each first one; below 0 for no bound
	Repeat  bool     `json:"repeat"`        // whether anything is sent a second time
	Out     []string `json:"out,omitempty"` // boxes that get nothing
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
	}
	for i, id := range r.Out {
		if id == "" || len(id) > 256 {
			return fmt.Errorf("out[%d] is no name of a box", i)
		}
		if slices.Contains(r.Out[:i], id) {
			return fmt.Errorf("out names %q twice", id)
		}
	}
	return nil
}

const (
	// MostRetries is the largest bound on further calls that makes sense.
	MostRetries = 16

	mostOut     = 10_000
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
	return s
}

// Version is one version of the rules. Numbers go up by one.
type Version struct {
	Number uint64    `json:"number"`
	Rules  Rules     `json:"rules"`
	By     string    `json:"by"`
	Why    string    `json:"why"`
	At     time.Time `json:"at"` // by the proposer's clock: for people, nothing is decided by it
}

// Record is what the fleet has agreed on. The council's log makes it, entry by entry; everybody has it as of some revision.
type Record struct {
	Revision  uint64    `json:"revision"` // entries that changed it
	InForce   Version   `json:"in_force"`
	Announced *Version  `json:"announced,omitempty"`
	History   []Version `json:"history,omitempty"` // those that were in force, the newest last
}

// Entry is a command in the council's log.
type Entry struct {
	ID       string   `json:"id"`                 // of the proposer's choice
	Announce *Version `json:"announce,omitempty"` // Number is the one that it follows; it gets the next
	Force    uint64   `json:"force,omitempty"`    // the number of the announced version
	Withdraw uint64   `json:"withdraw,omitempty"` // the same: it is given up
}

// The reasons for which an entry changes nothing.
var (
	ErrUnderWay = errors.New("another change is under way")
	ErrBase     = errors.New("it does not follow the version in force")
	ErrNone     = errors.New("no such version is announced")
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
		if err := e.Announce.Rules.Check(); err != nil {
			return r, err
		}
		v := *e.Announce
		v.Number++
		next.Announced = &v
	case r.Announced == nil || r.Announced.Number != max(e.Force, e.Withdraw):
		return r, ErrNone
	case e.Force > 0:
		next.History = append(slices.Clone(r.History), r.InForce)
		if over := len(next.History) - mostHistory; over > 0 {
			next.History = next.History[over:]
		}
		next.InForce, next.Announced = *r.Announced, nil
	default: // its number is used up: who heard of it must not take another for it
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

// Holder is a dispatcher's part.
type Holder struct {
	record Record
	until  Clock
	held   bool // a lease was held at any time
}

// NewHolder makes one that knows a record from before, and holds no lease.
func NewHolder(known Record) *Holder { return &Holder{record: known} }

// Heard takes an answer of the council in: the record, and a lease counted from when this dispatcher asked.
func (h *Holder) Heard(r Record, asked Clock, lease time.Duration) {
	if r.Revision < h.record.Revision { // an older answer that came later; its lease is of that time too
		return
	}
	h.record = r
	if until := asked + lease; !h.held || until > h.until {
		h.until, h.held = until, true
	}
}

// Record is the newest that it heard of.
func (h *Holder) Record() Record { return h.record }

// Acknowledged is the newest version whose limits it keeps, said with each renewal.
func (h *Holder) Acknowledged() uint64 {
	if a := h.record.Announced; a != nil {
		return a.Number
	}
	return h.record.InForce.Number
}

// Until is when its lease runs out; zero where it never had one.
func (h *Holder) Until() Clock { return h.until }

// Stand is what it may act on now.
func (h *Holder) Stand(now Clock) Stand {
	s := Stand{Versions: []uint64{h.record.InForce.Number}, Rules: h.record.InForce.rules(), Lapsed: !h.held || now >= h.until}
	if a := h.record.Announced; a != nil {
		s.Versions, s.Rules = append(s.Versions, a.Number), s.Rules.Stricter(a.Rules)
	}
	if s.Lapsed {
		s.Rules.Repeat = false
	}
	return s
}

// Council is the leader's part. What it knows of leases is its own: a new leader waits for all that an old one may have
// given.
type Council struct {
	lease   time.Duration // lengthened by drift
	elected Clock
	members map[string]member
}

type member struct {
	at    Clock // of its last renewal
	acked uint64
}

// Drift is by how much a clock may run slower than the leader's.
const Drift = 0.01

// NewCouncil makes the part of a leader that was elected then.
func NewCouncil(lease time.Duration, elected Clock) *Council {
	return &Council{lease: lease + time.Duration(Drift*float64(lease)), elected: elected, members: map[string]member{}}
}

// Renewed notes that a dispatcher asked for a lease, and which version it acknowledged. It is called before the lease is
// given.
func (c *Council) Renewed(name string, now Clock, acked uint64) {
	c.members[name] = member{now, max(acked, c.members[name].acked)}
}

// May tells whether a version may be in force now, and if not, for whom it waits.
func (c *Council) May(version uint64, now Clock) (may bool, waits []string) {
	for name, m := range c.members {
		switch {
		case now >= m.at+c.lease:
			delete(c.members, name) // its lease has run out, and whoever comes back hears of the version first
		case m.acked < version:
			waits = append(waits, name)
		}
	}
	slices.Sort(waits)
	if now < c.elected+c.lease {
		waits = append(waits, "leases of the leader before")
	}
	return len(waits) == 0, waits
}

// Present are the dispatchers that hold leases, with the version that each acknowledged.
func (c *Council) Present(now Clock) map[string]uint64 {
	all := map[string]uint64{}
	for name, m := range c.members {
		if now < m.at+c.lease {
			all[name] = m.acked
		}
	}
	return all
}

package agreement

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Holder is a dispatcher's part.
type Holder struct {
	name   string
	record Record
	stand  Stand // by the record, as with a lease
	until  Clock
	held   bool // a lease was held at any time
}

// NewHolder makes the part of a dispatcher of a name, that knows a record from before and holds no lease.
func NewHolder(name string, known Record) *Holder {
	h := &Holder{name: name}
	h.know(known)
	return h
}

// know takes a record in, and what follows from it: rules may be large, and are asked for at each call.
func (h *Holder) know(r Record) {
	same := h.stand.Versions != nil && r.Era == h.record.Era && r.Revision == h.record.Revision
	if h.record = r; same {
		return
	}
	h.stand = Stand{Versions: []uint64{r.InForce.Number}, Rules: r.InForce.rules()}
	if a := h.announced(); a != nil {
		h.stand.Versions, h.stand.Rules = append(h.stand.Versions, a.Number), h.stand.Rules.Stricter(a.Rules)
	}
}

// Heard takes an answer of the council in: the record, and a lease counted from when this dispatcher asked.
func (h *Holder) Heard(r Record, asked Clock, lease time.Duration) {
	if h.record.Newer(r) { // an older answer that came later, or of a council that is none any more; so is its lease
		return
	}
	h.know(r)
	if until := asked + lease; !h.held || until > h.until {
		h.until, h.held = until, true
	}
}

// Learned takes a record in that came without a lease, and tells whether it is news.
func (h *Holder) Learned(r Record) bool {
	if !r.Newer(h.record) {
		return false
	}
	h.know(r)
	return true
}

// Dropped ends the lease: the dispatcher leaves, or is not who it thought.
func (h *Holder) Dropped(now Clock) {
	if h.held && h.until > now {
		h.until = now
	}
}

// Record is the newest that it heard of.
func (h *Holder) Record() Record { return h.record }

// announced is the version that is announced to this dispatcher; nil for none, or where it is tried by others first.
func (h *Holder) announced() *Version {
	if a := h.record.Announced; a != nil && a.Trial.Has(h.name, a.Number) {
		return a
	}
	return nil
}

// Acknowledged is the newest version whose limits it keeps, said with each renewal.
func (h *Holder) Acknowledged() uint64 {
	if a := h.announced(); a != nil {
		return a.Number
	}
	return h.record.InForce.Number
}

// Until is when its lease runs out; zero where it never had one.
func (h *Holder) Until() Clock { return h.until }

// Stand is what it may act on now.
func (h *Holder) Stand(now Clock) Stand {
	s := h.stand
	if s.Lapsed = !h.held || now >= h.until; s.Lapsed {
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
	absent  map[string]Absent
}

// Absent is a dispatcher that held a lease and holds none any more.
type Absent struct {
	Member
	Left bool          `json:"left,omitempty"` // it said so
	For  time.Duration `json:"for"`
	at   Clock
}

// keepAbsent is for how long who is absent is remembered.
const keepAbsent = time.Hour

// Member is a dispatcher that asks for a lease.
type Member struct {
	Name     string `json:"name"`
	Instance string `json:"instance"` // of the process: drawn at its start
	Acked    uint64 `json:"acknowledged"`
	Form     int    `json:"form"` // of messages that it can read
	Era      uint64 `json:"era,omitempty"`
	Address  string `json:"address,omitempty"`
	Region   string `json:"region,omitempty"`
	Zone     string `json:"zone,omitempty"`
	Seat     uint64 `json:"seat,omitempty"`      // in which it votes, or learns
	Ended    uint64 `json:"ended,omitempty"`     // jobs, since its start
	Bad      uint64 `json:"bad,omitempty"`       // of them refused or failed
	Plan     uint64 `json:"plan,omitempty"`      // the number of the plan that it acts on
	SetAside bool   `json:"set_aside,omitempty"` // its machine is for control, and is given seats first
}

type member struct {
	Member
	at Clock // of its last renewal
}

// The reasons for which nobody gets a lease.
var (
	ErrNameInUse = errors.New("another process of that name holds a lease")
	ErrLeft      = errors.New("this process has said that it leaves")
	ErrOlder     = errors.New("the fleet has a newer council")
)

// Drift is by how much a clock may run slower than the leader's.
const Drift = 0.01

// NewCouncil makes the part of a leader that was elected then.
func NewCouncil(lease time.Duration, elected Clock) *Council {
	return &Council{lease: lease + time.Duration(Drift*float64(lease)), elected: elected, members: map[string]member{}, absent: map[string]Absent{}}
}

// Renewed notes that a dispatcher asked for a lease. It is called before the lease is given. Of two processes of one name
// the second waits until the lease of the first has run out: what it knows is not what the first acts on.
func (c *Council) Renewed(m Member, now Clock) error {
	if gone, ok := c.absent[m.Name]; ok && gone.Left && gone.Instance == m.Instance {
		return ErrLeft // a renewal that was on its way
	}
	had, known := c.members[m.Name]
	if known && had.Instance != m.Instance {
		if now < had.at+c.lease {
			return fmt.Errorf("%q: %w", m.Name, ErrNameInUse)
		}
		had.Acked = 0
	}
	m.Acked = max(m.Acked, had.Acked)
	c.members[m.Name] = member{m, now}
	delete(c.absent, m.Name)
	return nil
}

// Left notes that a process has dropped its lease for good. It is called behind that.
func (c *Council) Left(name, instance string, now Clock) {
	if m, ok := c.members[name]; ok && m.Instance == instance {
		delete(c.members, name)
		c.absent[name] = Absent{Member: m.Member, Left: true, at: now}
	}
}

// expire forgets leases that have run out: whoever comes back hears of what was announced first.
func (c *Council) expire(now Clock) {
	for name, m := range c.members {
		if now >= m.at+c.lease {
			delete(c.members, name)
			c.absent[name] = Absent{Member: m.Member, at: m.at + c.lease}
		}
	}
	for name, a := range c.absent {
		if now >= a.at+keepAbsent {
			delete(c.absent, name)
		}
	}
}

// Absent are those that held leases of this leader within the last hour and hold none now, by name.
func (c *Council) Absent(now Clock) (all []Absent) {
	c.expire(now)
	for _, a := range c.absent {
		a.For = now - a.at
		all = append(all, a)
	}
	slices.SortFunc(all, func(a, b Absent) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// May tells whether a version may be in force now, and if not, for whom it waits.
func (c *Council) May(version uint64, now Clock) (may bool, waits []string) {
	c.expire(now)
	for name, m := range c.members {
		if m.Acked < version {
			waits = append(waits, name)
		}
	}
	slices.Sort(waits)
	if now < c.elected+c.lease {
		waits = append(waits, "leases of the leader before")
	}
	return len(waits) == 0, waits
}

// Planned tells whether all that hold leases act on a plan, or know a newer one.
func (c *Council) Planned(plan uint64, now Clock) bool {
	for _, m := range c.members {
		if now < m.at+c.lease && m.Plan < plan {
			return false
		}
	}
	return true
}

// Present are the dispatchers that hold leases, by name.
func (c *Council) Present(now Clock) (all []Member) {
	for _, m := range c.members {
		if now < m.at+c.lease {
			all = append(all, m.Member)
		}
	}
	slices.SortFunc(all, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Readable tells which dispatchers that hold leases could not read rules. Those that may come back are asked when they do:
// a question of an older form gets no lease.
func (c *Council) Readable(r Rules, now Clock) (cannot []string) {
	for _, m := range c.Present(now) {
		if m.Form < r.Needs() {
			cannot = append(cannot, m.Name)
		}
	}
	return cannot
}

package configversions

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Lessee is a dispatcher's part.
type Lessee struct {
	name        string
	record      Record
	effective   Effective // by the record, as with a lease
	leaseExpiry Clock
	hadLease    bool // a lease was held at any time
}

// NewLessee makes the part of a dispatcher of a name, that knows a record from before and holds no lease.
func NewLessee(name string, known Record) *Lessee {
	h := &Lessee{name: name}
	h.setRecord(known)
	return h
}

// setRecord takes a record in, and what follows from it: rules may be large, and are asked for at each call.
func (h *Lessee) setRecord(r Record) {
	same := h.effective.Versions != nil && r.Epoch == h.record.Epoch && r.Revision == h.record.Revision
	if h.record = r; same {
		return
	}
	h.effective = Effective{Versions: []uint64{r.InForce.Number}, Rules: r.InForce.effectiveRules()}
	if a := h.announcedVersion(); a != nil {
		h.effective.Versions, h.effective.Rules = append(h.effective.Versions, a.Number), h.effective.Rules.Stricter(a.Rules)
	}
}

// ApplyLease takes an answer of the council in: the record, and a lease counted from when this dispatcher asked.
func (h *Lessee) ApplyLease(r Record, asked Clock, lease time.Duration) {
	if h.record.NewerThan(r) { // an older answer that came later, or of a council that is none any more; so is its lease
		return
	}
	h.setRecord(r)
	if until := asked + lease; !h.hadLease || until > h.leaseExpiry {
		h.leaseExpiry, h.hadLease = until, true
	}
}

// ApplyRecord takes a record in that came without a lease, and tells whether it is news.
func (h *Lessee) ApplyRecord(r Record) bool {
	if !r.NewerThan(h.record) {
		return false
	}
	h.setRecord(r)
	return true
}

// DropLease ends the lease: the dispatcher leaves, or is not who it thought.
func (h *Lessee) DropLease(now Clock) {
	if h.hadLease && h.leaseExpiry > now {
		h.leaseExpiry = now
	}
}

// Record is the newest that it heard of.
func (h *Lessee) Record() Record { return h.record }

// announcedVersion is the version that is announcedVersion to this dispatcher; nil for none, or where it is tried by others first.
func (h *Lessee) announcedVersion() *Version {
	if a := h.record.Announced; a != nil && a.Canary.Includes(h.name, a.Number) {
		return a
	}
	return nil
}

// Acknowledged is the newest version whose limits it keeps, said with each renewal.
func (h *Lessee) Acknowledged() uint64 {
	if a := h.announcedVersion(); a != nil {
		return a.Number
	}
	return h.record.InForce.Number
}

// LeaseExpiry is when its lease runs out; zero where it never had one.
func (h *Lessee) LeaseExpiry() Clock { return h.leaseExpiry }

// Effective is what it may act on now.
func (h *Lessee) Effective(now Clock) Effective {
	s := h.effective
	if s.LeaseExpired = !h.hadLease || now >= h.leaseExpiry; s.LeaseExpired {
		s.Rules.RetriesAllowed = false
	}
	return s
}

// LeaseTable is the leader's part. What it knows of leases is its own: a new leader waits for all that an old one may have
// given.
type LeaseTable struct {
	leaseDuration time.Duration // lengthened by drift
	electedAt     Clock
	leases        map[string]leaseRecord
	absent        map[string]AbsentDispatcher
}

// AbsentDispatcher is a dispatcher that held a lease and holds none any more.
type AbsentDispatcher struct {
	Dispatcher
	Left      bool          `json:"left,omitempty"` // it said so
	AbsentFor time.Duration `json:"for"`
	since     Clock
}

// absentRetention is for how long who is absent is remembered.
const absentRetention = time.Hour

// Dispatcher is a dispatcher that asks for a lease.
type Dispatcher struct {
	Name                string `json:"name"`
	Instance            string `json:"instance"` // of the process: drawn at its start
	AcknowledgedVersion uint64 `json:"acknowledged"`
	MessageFormat       int    `json:"form"` // of messages that it can read
	Epoch               uint64 `json:"era,omitempty"`
	Address             string `json:"address,omitempty"`
	Region              string `json:"region,omitempty"`
	Zone                string `json:"zone,omitempty"`
	VoterID             uint64 `json:"seat,omitempty"`      // in which it votes, or learns
	JobsEnded           uint64 `json:"ended,omitempty"`     // jobs, since its start
	JobsFailed          uint64 `json:"bad,omitempty"`       // of them refused or failed
	Plan                uint64 `json:"plan,omitempty"`      // the number of the plan that it acts on
	DedicatedToControl  bool   `json:"set_aside,omitempty"` // its machine is for control, and is given seats first
}

type leaseRecord struct {
	Dispatcher
	renewedAt Clock // of its last renewal
}

// The reasons for which nobody gets a lease.
var (
	ErrNameInUse = errors.New("another process of that name holds a lease")
	ErrShutDown  = errors.New("this process has said that it leaves")
	ErrOldEpoch  = errors.New("the fleet has a newer council")
)

// MaxClockDrift is by how much a clock may run slower than the leader's.
const MaxClockDrift = 0.01

// NewLeaseTable makes the part of a leader that was elected then.
func NewLeaseTable(lease time.Duration, elected Clock) *LeaseTable {
	return &LeaseTable{leaseDuration: lease + time.Duration(MaxClockDrift*float64(lease)), electedAt: elected, leases: map[string]leaseRecord{}, absent: map[string]AbsentDispatcher{}}
}

// Renew notes that a dispatcher asked for a lease. It is called before the lease is given. Of two processes of one name
// the second waits until the lease of the first has run out: what it knows is not what the first acts on.
func (c *LeaseTable) Renew(m Dispatcher, now Clock) error {
	if gone, ok := c.absent[m.Name]; ok && gone.Left && gone.Instance == m.Instance {
		return ErrShutDown // a renewal that was on its way
	}
	had, known := c.leases[m.Name]
	if known && had.Instance != m.Instance {
		if now < had.renewedAt+c.leaseDuration {
			return fmt.Errorf("%q: %w", m.Name, ErrNameInUse)
		}
		had.AcknowledgedVersion = 0
	}
	m.AcknowledgedVersion = max(m.AcknowledgedVersion, had.AcknowledgedVersion)
	c.leases[m.Name] = leaseRecord{m, now}
	delete(c.absent, m.Name)
	return nil
}

// LeaseDropped notes that a process has dropped its lease for good. It is called behind that.
func (c *LeaseTable) LeaseDropped(name, instance string, now Clock) {
	if m, ok := c.leases[name]; ok && m.Instance == instance {
		delete(c.leases, name)
		c.absent[name] = AbsentDispatcher{Dispatcher: m.Dispatcher, Left: true, since: now}
	}
}

// expire forgets leases that have run out: whoever comes back hears of what was announced first.
func (c *LeaseTable) expire(now Clock) {
	for name, m := range c.leases {
		if now >= m.renewedAt+c.leaseDuration {
			delete(c.leases, name)
			c.absent[name] = AbsentDispatcher{Dispatcher: m.Dispatcher, since: m.renewedAt + c.leaseDuration}
		}
	}
	for name, a := range c.absent {
		if now >= a.since+absentRetention {
			delete(c.absent, name)
		}
	}
}

// AbsentDispatchers are those that held leases of this leader within the last hour and hold none now, by name.
func (c *LeaseTable) AbsentDispatchers(now Clock) (all []AbsentDispatcher) {
	c.expire(now)
	for _, a := range c.absent {
		a.AbsentFor = now - a.since
		all = append(all, a)
	}
	slices.SortFunc(all, func(a, b AbsentDispatcher) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// MayPutInForce tells whether a version may be in force now, and if not, for whom it waits.
func (c *LeaseTable) MayPutInForce(version uint64, now Clock) (may bool, waits []string) {
	c.expire(now)
	for name, m := range c.leases {
		if m.AcknowledgedVersion < version {
			waits = append(waits, name)
		}
	}
	slices.Sort(waits)
	if now < c.electedAt+c.leaseDuration {
		waits = append(waits, "leases of the leader before")
	}
	return len(waits) == 0, waits
}

// AllOnPlan tells whether all that hold leases act on a plan, or know a newer one.
func (c *LeaseTable) AllOnPlan(plan uint64, now Clock) bool {
	for _, m := range c.leases {
		if now < m.renewedAt+c.leaseDuration && m.Plan < plan {
			return false
		}
	}
	return true
}

// LeaseHolders are the dispatchers that hold leases, by name.
func (c *LeaseTable) LeaseHolders(now Clock) (all []Dispatcher) {
	for _, m := range c.leases {
		if now < m.renewedAt+c.leaseDuration {
			all = append(all, m.Dispatcher)
		}
	}
	slices.SortFunc(all, func(a, b Dispatcher) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// CannotRead tells which dispatchers that hold leases could not read rules. Those that may come back are asked when they do:
// a question of an older form gets no lease.
func (c *LeaseTable) CannotRead(r Rules, now Clock) (cannot []string) {
	for _, m := range c.LeaseHolders(now) {
		if m.MessageFormat < r.MinMessageFormat() {
			cannot = append(cannot, m.Name)
		}
	}
	return cannot
}

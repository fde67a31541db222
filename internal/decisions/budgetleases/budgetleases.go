// Package budgetleases deals a rate that all dispatchers have together out among them, as leases that run out: further calls,
// probes, new connections. Values in, verdicts out: no I/O, no clock, no goroutine.
//
// A rate is of uses over time: each holder may keep a second's worth, or one use, and spend it at once.
//
// It promises, whatever is lost, late, doubled, frozen or restarted, as long as clocks run within Drift of each other's pace:
//
//  1. The sum of all leases that are valid at any time, and of what dispatchers may do without one, never exceeds the budget.
//  2. Who asks for less than its fair part gets what it asks for; the rest is dealt out alike among the others, floors first.
//  3. What one holds that is gone comes back when its lease has run out, no sooner; demand that rises is met within two leases.
package budgetleases

import (
	"maps"
	"slices"
	"time"
)

// Clock is a point in time of one process: since an epoch of its own, never moved back.
type Clock = time.Duration

// MaxClockDrift is by how much a holder's clock may run slower than the dealer's.
const MaxClockDrift = 0.01

// Settings are a budget's.
type Settings struct {
	RatePerSecond float64       // a second, of all dispatchers together
	UnleasedShare float64       // share of it that is dealt out by number, for those without a lease
	MaxLessees    int           // dispatchers that there are at the most
	LeaseDuration time.Duration // how long a lease lasts
}

// UnleasedRate is what each dispatcher may do without a lease.
func (s Settings) UnleasedRate() float64 {
	return s.RatePerSecond * s.UnleasedShare / float64(max(s.MaxLessees, 1))
}

// Lessor is the leader's part. What it has given it alone knows: a new one gives nothing for as long as leases of the one
// before may last.
type Lessor struct {
	settings  Settings
	electedAt Clock
	lessees   map[string]*lesseeState

	// Reckoned now and then, as each is over all holders and one asks some times a second.
	allocatedAt Clock   // when that was
	stale       bool    // it is to be done before the next grant
	granted     float64 // at least the most that all holders may use by what they were given
	floorScale  float64 // of the floors that there is room for
	level       float64 // up to which the rest is dealt out to everybody
}

type lesseeState struct {
	demand, floor float64
	requestedAt   Clock
	grants        []grant // that may still be valid
	granted       float64 // in the sum
}

// allocationInterval is for how long parts go by what others asked for.
const allocationInterval = 50 * time.Millisecond

type grant struct {
	rate   float64
	expiry Clock // by the dealer's clock, lengthened by drift
}

// NewLessor makes the part of a leader that was elected then.
func NewLessor(s Settings, elected Clock) *Lessor {
	return &Lessor{settings: s, electedAt: elected, lessees: map[string]*lesseeState{}, stale: true}
}

// ApplySettings changes the budget. One that shrinks is kept once what was given has run out.
func (d *Lessor) ApplySettings(s Settings) {
	if s != d.settings {
		d.settings, d.stale = s, true
	}
}

func (d *Lessor) leaseDuration() time.Duration {
	return d.settings.LeaseDuration + time.Duration(MaxClockDrift*float64(d.settings.LeaseDuration))
}

// expire forgets what has run out.
func (d *Lessor) expire(now Clock) {
	maps.DeleteFunc(d.lessees, func(_ string, h *lesseeState) bool {
		h.grants = slices.DeleteFunc(h.grants, func(g grant) bool { return now >= g.expiry })
		return len(h.grants) == 0 && now >= h.requestedAt+d.leaseDuration()
	})
}

// maxValidGrant is the most that a holder may use by what it was given.
func (h *lesseeState) maxValidGrant() (most float64) {
	for _, g := range h.grants {
		most = max(most, g.rate)
	}
	return most
}

// Grant gives a dispatcher a rate for a lease from when it asked, by what it wants now; floor is what it has first claim to. It
// is never below what it may do without a lease.
func (d *Lessor) Grant(name string, demand, floor float64, now Clock) float64 {
	alone := d.settings.UnleasedRate()
	if now < d.electedAt+d.leaseDuration() {
		return alone
	}
	h := d.lessees[name]
	if h == nil {
		if d.expire(now); len(d.lessees) >= d.settings.MaxLessees { // more than there are to be: those without a lease may use all that is left
			return 0
		}
		h = &lesseeState{}
		d.lessees[name], d.stale = h, true
	}
	h.demand, h.floor, h.requestedAt = max(demand, 0), max(floor, 0), now
	if d.stale || now >= d.allocatedAt+allocationInterval {
		d.allocate(now)
	}
	others := d.granted - h.granted + alone*float64(d.settings.MaxLessees-len(d.lessees))
	rate := max(min(d.fairRate(h), d.settings.RatePerSecond-others), alone)
	h.grants = append(h.grants, grant{rate, now + d.leaseDuration()})
	d.granted -= h.granted
	h.granted = max(h.maxValidGrant(), alone)
	d.granted += h.granted
	return rate
}

// assured is what a holder has assured claim to.
func (d *Lessor) assured(h *lesseeState) float64 {
	return max(min(h.floor, h.demand), d.settings.UnleasedRate())
}

// fairRate is a holder's part of the budget: floors first, then a level up to which everybody gets what it asks for.
func (d *Lessor) fairRate(h *lesseeState) float64 {
	first := d.assured(h)
	return first*d.floorScale + min(max(demandHeadroom*h.demand-first, 0), max(d.level, 0))
}

// allocate goes through all holders. What runs out until the next time is in the sum until then, which is on the careful side.
func (d *Lessor) allocate(now Clock) {
	d.expire(now)
	d.allocatedAt, d.stale, d.granted = now, false, 0
	alone := d.settings.UnleasedRate()
	left := d.settings.RatePerSecond - alone*float64(d.settings.MaxLessees-len(d.lessees))
	floors := 0.0
	for _, h := range d.lessees {
		h.granted = max(h.maxValidGrant(), alone)
		d.granted += h.granted
		floors += d.assured(h)
	}
	d.floorScale = 1
	if floors > left {
		d.floorScale = max(left, 0) / floors
	}
	left -= floors * d.floorScale
	// The level of the rest by filling: those who want least are served first.
	wants := make([]float64, 0, len(d.lessees))
	for _, h := range d.lessees {
		wants = append(wants, max(demandHeadroom*h.demand-d.assured(h), 0))
	}
	slices.Sort(wants)
	d.level = 0
	for i, want := range wants {
		part := left / float64(len(wants)-i)
		if want > part {
			d.level = part
			break
		}
		d.level = want
		left -= want
	}
}

// demandHeadroom is how much more than it asked for a dispatcher gets where there is enough: demand that rises is met at once then.
const demandHeadroom = 1.25

// Outstanding is the most that all may use at a time now, with what those may without a lease.
func (d *Lessor) Outstanding(now Clock) (sum float64) {
	d.expire(now)
	for _, h := range d.lessees {
		sum += max(h.maxValidGrant(), d.settings.UnleasedRate())
	}
	return sum + d.settings.UnleasedRate()*float64(d.settings.MaxLessees-len(d.lessees))
}

// Lessee is a dispatcher's part: a bucket that fills at the rate of its lease, looked at before each use.
type Lessee struct {
	unleasedRate float64
	rate         float64
	expiry       Clock
	tokens       float64
	filledAt     Clock
	demand       float64 // a second, uses asked for, smoothed
	denied       int
}

// NewLessee makes one without a lease.
func NewLessee(alone float64, now Clock) *Lessee { return &Lessee{unleasedRate: alone, filledAt: now} }

// ApplyLease takes a lease in, counted from when it was asked for.
func (h *Lessee) ApplyLease(rate float64, asked Clock, lease time.Duration, now Clock) {
	h.refill(now)
	if until := asked + lease; until >= h.expiry || now >= h.expiry {
		h.rate, h.expiry = rate, until
	}
}

// Rate is what it may do a second now.
func (h *Lessee) Rate(now Clock) float64 {
	if now < h.expiry {
		return h.rate
	}
	return h.unleasedRate
}

// maxSavedUse is for how long unused rate is kept: what several spend at once counts in the sum for so long.
const maxSavedUse = time.Second

// refill adds what has come since the last look, at the rates that held.
func (h *Lessee) refill(now Clock) {
	if now <= h.filledAt {
		return
	}
	leased := max(min(now, h.expiry)-h.filledAt, 0)
	h.tokens += h.rate*leased.Seconds() + h.unleasedRate*(now-h.filledAt-leased).Seconds()
	// What is kept is no more than a second's at the rate of now, and one use: who wakes behind a freeze has no more than anybody.
	h.tokens = min(h.tokens, max(h.Rate(now)*maxSavedUse.Seconds(), 1))
	h.demand *= demandDecay(now - h.filledAt)
	h.filledAt = now
}

// demandDecay is a smoothing over two seconds.
func demandDecay(span time.Duration) float64 {
	return 1 / (1 + span.Seconds()/2)
}

// TryUse takes one use, if there is room.
func (h *Lessee) TryUse(now Clock) bool {
	h.refill(now)
	h.demand += 0.5
	if h.tokens < 1 {
		h.denied++
		return false
	}
	h.tokens--
	return true
}

// Demand is how many uses a second were asked for lately.
func (h *Lessee) Demand(now Clock) float64 {
	h.refill(now)
	return h.demand
}

// Denied is how many there was no room for.
func (h *Lessee) Denied() int { return h.denied }

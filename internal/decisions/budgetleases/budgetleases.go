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

// Drift is by how much a holder's clock may run slower than the dealer's.
const Drift = 0.01

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
	s       Settings
	elected Clock
	holders map[string]*holder

	// Reckoned now and then, as each is over all holders and one asks some times a second.
	at    Clock   // when that was
	stale bool    // it is to be done before the next grant
	sum   float64 // at least the most that all holders may use by what they were given
	scale float64 // of the floors that there is room for
	level float64 // up to which the rest is dealt out to everybody
}

type holder struct {
	demand, floor float64
	asked         Clock
	grants        []grant // that may still be valid
	counts        float64 // in the sum
}

// reckonEvery is for how long parts go by what others asked for.
const reckonEvery = 50 * time.Millisecond

type grant struct {
	rate  float64
	until Clock // by the dealer's clock, lengthened by drift
}

// NewLessor makes the part of a leader that was elected then.
func NewLessor(s Settings, elected Clock) *Lessor {
	return &Lessor{s: s, elected: elected, holders: map[string]*holder{}, stale: true}
}

// ApplySettings changes the budget. One that shrinks is kept once what was given has run out.
func (d *Lessor) ApplySettings(s Settings) {
	if s != d.s {
		d.s, d.stale = s, true
	}
}

func (d *Lessor) lasts() time.Duration {
	return d.s.LeaseDuration + time.Duration(Drift*float64(d.s.LeaseDuration))
}

// expire forgets what has run out.
func (d *Lessor) expire(now Clock) {
	maps.DeleteFunc(d.holders, func(_ string, h *holder) bool {
		h.grants = slices.DeleteFunc(h.grants, func(g grant) bool { return now >= g.until })
		return len(h.grants) == 0 && now >= h.asked+d.lasts()
	})
}

// out is the most that a holder may use by what it was given.
func (h *holder) out() (most float64) {
	for _, g := range h.grants {
		most = max(most, g.rate)
	}
	return most
}

// Grant gives a dispatcher a rate for a lease from when it asked, by what it wants now; floor is what it has first claim to. It
// is never below what it may do without a lease.
func (d *Lessor) Grant(name string, demand, floor float64, now Clock) float64 {
	alone := d.s.UnleasedRate()
	if now < d.elected+d.lasts() {
		return alone
	}
	h := d.holders[name]
	if h == nil {
		if d.expire(now); len(d.holders) >= d.s.MaxLessees { // more than there are to be: those without a lease may use all that is left
			return 0
		}
		h = &holder{}
		d.holders[name], d.stale = h, true
	}
	h.demand, h.floor, h.asked = max(demand, 0), max(floor, 0), now
	if d.stale || now >= d.at+reckonEvery {
		d.reckon(now)
	}
	others := d.sum - h.counts + alone*float64(d.s.MaxLessees-len(d.holders))
	rate := max(min(d.fair(h), d.s.RatePerSecond-others), alone)
	h.grants = append(h.grants, grant{rate, now + d.lasts()})
	d.sum -= h.counts
	h.counts = max(h.out(), alone)
	d.sum += h.counts
	return rate
}

// first is what a holder has first claim to.
func (d *Lessor) first(h *holder) float64 { return max(min(h.floor, h.demand), d.s.UnleasedRate()) }

// fair is a holder's part of the budget: floors first, then a level up to which everybody gets what it asks for.
func (d *Lessor) fair(h *holder) float64 {
	first := d.first(h)
	return first*d.scale + min(max(spare*h.demand-first, 0), max(d.level, 0))
}

// reckon goes through all holders. What runs out until the next time is in the sum until then, which is on the careful side.
func (d *Lessor) reckon(now Clock) {
	d.expire(now)
	d.at, d.stale, d.sum = now, false, 0
	alone := d.s.UnleasedRate()
	left := d.s.RatePerSecond - alone*float64(d.s.MaxLessees-len(d.holders))
	floors := 0.0
	for _, h := range d.holders {
		h.counts = max(h.out(), alone)
		d.sum += h.counts
		floors += d.first(h)
	}
	d.scale = 1
	if floors > left {
		d.scale = max(left, 0) / floors
	}
	left -= floors * d.scale
	// The level of the rest by filling: those who want least are served first.
	wants := make([]float64, 0, len(d.holders))
	for _, h := range d.holders {
		wants = append(wants, max(spare*h.demand-d.first(h), 0))
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

// spare is how much more than it asked for a dispatcher gets where there is enough: demand that rises is met at once then.
const spare = 1.25

// Outstanding is the most that all may use at a time now, with what those may without a lease.
func (d *Lessor) Outstanding(now Clock) (sum float64) {
	d.expire(now)
	for _, h := range d.holders {
		sum += max(h.out(), d.s.UnleasedRate())
	}
	return sum + d.s.UnleasedRate()*float64(d.s.MaxLessees-len(d.holders))
}

// Lessee is a dispatcher's part: a bucket that fills at the rate of its lease, looked at before each use.
type Lessee struct {
	alone  float64
	rate   float64
	until  Clock
	tokens float64
	at     Clock
	wanted float64 // a second, uses asked for, smoothed
	denied int
}

// NewLessee makes one without a lease.
func NewLessee(alone float64, now Clock) *Lessee { return &Lessee{alone: alone, at: now} }

// ApplyLease takes a lease in, counted from when it was asked for.
func (h *Lessee) ApplyLease(rate float64, asked Clock, lease time.Duration, now Clock) {
	h.fill(now)
	if until := asked + lease; until >= h.until || now >= h.until {
		h.rate, h.until = rate, until
	}
}

// Rate is what it may do a second now.
func (h *Lessee) Rate(now Clock) float64 {
	if now < h.until {
		return h.rate
	}
	return h.alone
}

// burst is for how long unused rate is kept: what several spend at once counts in the sum for so long.
const burst = time.Second

// fill adds what has come since the last look, at the rates that held.
func (h *Lessee) fill(now Clock) {
	if now <= h.at {
		return
	}
	leased := max(min(now, h.until)-h.at, 0)
	h.tokens += h.rate*leased.Seconds() + h.alone*(now-h.at-leased).Seconds()
	// What is kept is no more than a second's at the rate of now, and one use: who wakes behind a freeze has no more than anybody.
	h.tokens = min(h.tokens, max(h.Rate(now)*burst.Seconds(), 1))
	h.wanted *= decay(now - h.at)
	h.at = now
}

// decay is a smoothing over two seconds.
func decay(span time.Duration) float64 {
	return 1 / (1 + span.Seconds()/2)
}

// TryUse takes one use, if there is room.
func (h *Lessee) TryUse(now Clock) bool {
	h.fill(now)
	h.wanted += 0.5
	if h.tokens < 1 {
		h.denied++
		return false
	}
	h.tokens--
	return true
}

// Demand is how many uses a second were asked for lately.
func (h *Lessee) Demand(now Clock) float64 {
	h.fill(now)
	return h.wanted
}

// Denied is how many there was no room for.
func (h *Lessee) Denied() int { return h.denied }

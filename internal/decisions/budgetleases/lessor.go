package budgetleases

import (
	"maps"
	"slices"
	"time"
)

const (
	// allocationInterval is the maximum age of the allocation on which a grant is based. Computing it iterates over all lessees, each
	// of which requests several grants per second.
	allocationInterval = 50 * time.Millisecond

	// A lessee is granted at most demandHeadroom times its demand. The margin covers demand that rises until the next renewal.
	demandHeadroom = 1.25
)

// Lessor grants the leases of one budget. The raft leader runs one. It is not replicated: a new lessor grants no rate
// above Settings.UnleasedRate while leases of its predecessor may be valid.
type Lessor struct {
	settings  Settings
	electedAt Instant
	lessees   map[string]*lesseeState // by name

	// The allocation, computed by allocate.
	allocatedAt Instant
	stale       bool    // the allocation must be computed before the next grant
	granted     float64 // uses per second that all lessees may make together; at least the sum of their maxValidGrant
	floorScale  float64 // from 0 to 1: the share of the floors that fits into the budget
	level       float64 // maximum uses per second that a lessee gets beyond its floor
}

// lesseeState is what the lessor knows of a lessee.
type lesseeState struct {
	demand, floor float64 // uses per second, from its last request
	requestedAt   Instant
	grants        []grant // grants that may be valid
	granted       float64 // its part of Lessor.granted
}

// grant is a lease that was granted.
type grant struct {
	rate   float64 // uses per second
	expiry Instant // by the lessor's clock, with the lease lengthened by MaxClockDrift
}

// NewLessor returns the lessor of a leader that was elected at electedAt.
func NewLessor(settings Settings, electedAt Instant) *Lessor {
	return &Lessor{settings: settings, electedAt: electedAt, lessees: map[string]*lesseeState{}, stale: true}
}

// ApplySettings changes the budget. A smaller budget is exceeded until the leases granted before have expired.
func (l *Lessor) ApplySettings(settings Settings) {
	if settings != l.settings {
		l.settings, l.stale = settings, true
	}
}

// assumedLeaseDuration returns how long a lease may be valid by the lessor's clock.
func (l *Lessor) assumedLeaseDuration() time.Duration {
	return l.settings.LeaseDuration + time.Duration(MaxClockDrift*float64(l.settings.LeaseDuration))
}

// expire removes expired grants. It also removes lessees that have no grant left and have not requested one for a lease duration.
func (l *Lessor) expire(now Instant) {
	maps.DeleteFunc(l.lessees, func(_ string, lessee *lesseeState) bool {
		lessee.grants = slices.DeleteFunc(lessee.grants, func(g grant) bool { return now >= g.expiry })
		return len(lessee.grants) == 0 && now >= lessee.requestedAt+l.assumedLeaseDuration()
	})
}

// maxValidGrant returns the largest rate that any grant permits the lessee.
func (s *lesseeState) maxValidGrant() (rate float64) {
	for _, g := range s.grants {
		rate = max(rate, g.rate)
	}
	return rate
}

// Grant returns the uses per second that the dispatcher with the given name may make, as a lease that begins when it sent the
// request. demand is the rate that it needs now, and floor is the part of demand that it gets before others get more than their
// floors; both are uses per second. The fleet passes a floor of 0, so that the minimum rate is UnleasedRate.
//
// The rate is at least the rate that the dispatcher has without a lease. But it is 0 if Settings.MaxLessees other dispatchers
// have leases: then no budget is left.
func (l *Lessor) Grant(name string, demand, floor float64, now Instant) float64 {
	unleased := l.settings.UnleasedRate()
	if now < l.electedAt+l.assumedLeaseDuration() {
		return unleased
	}
	lessee := l.lessees[name]
	if lessee == nil {
		if l.expire(now); len(l.lessees) >= l.settings.MaxLessees {
			return 0
		}
		lessee = &lesseeState{}
		l.lessees[name], l.stale = lessee, true
	}
	lessee.demand, lessee.floor, lessee.requestedAt = max(demand, 0), max(floor, 0), now
	if l.stale || now >= l.allocatedAt+allocationInterval {
		l.allocate(now)
	}
	others := l.granted - lessee.granted + l.unleasedReserve()
	rate := max(min(l.fairRate(lessee), l.settings.RatePerSecond-others), unleased)
	lessee.grants = append(lessee.grants, grant{rate, now + l.assumedLeaseDuration()})
	l.granted -= lessee.granted
	lessee.granted = max(lessee.maxValidGrant(), unleased)
	l.granted += lessee.granted
	return rate
}

// unleasedReserve returns the uses per second that are reserved for dispatchers that the lessor does not know.
func (l *Lessor) unleasedReserve() float64 {
	return l.settings.UnleasedRate() * float64(l.settings.MaxLessees-len(l.lessees))
}

// assured returns the rate that a lessee gets before others get more than their assured rates: its floor, limited to its demand, but at
// least Settings.UnleasedRate.
func (l *Lessor) assured(lessee *lesseeState) float64 {
	return max(min(lessee.floor, lessee.demand), l.settings.UnleasedRate())
}

// needBeyondAssured returns the rate that a lessee needs beyond its assured one, with demandHeadroom.
func (l *Lessor) needBeyondAssured(lessee *lesseeState) float64 {
	return max(demandHeadroom*lessee.demand-l.assured(lessee), 0)
}

// fairRate returns a lessee's share of the budget in the current allocation.
func (l *Lessor) fairRate(lessee *lesseeState) float64 {
	return l.assured(lessee)*l.floorScale + min(l.needBeyondAssured(lessee), max(l.level, 0))
}

// allocate computes the allocation from all lessees' demands. A grant that expires before the next allocation counts until that
// allocation, so that granted is never too small.
func (l *Lessor) allocate(now Instant) {
	l.expire(now)
	l.allocatedAt, l.stale, l.granted = now, false, 0
	unleased := l.settings.UnleasedRate()
	left := l.settings.RatePerSecond - l.unleasedReserve()
	floors := 0.0
	for _, lessee := range l.lessees {
		lessee.granted = max(lessee.maxValidGrant(), unleased)
		l.granted += lessee.granted
		floors += l.assured(lessee)
	}
	l.floorScale = 1
	if floors > left {
		l.floorScale = max(left, 0) / floors
	}
	left -= floors * l.floorScale
	needs := make([]float64, 0, len(l.lessees))
	for _, lessee := range l.lessees {
		needs = append(needs, l.needBeyondAssured(lessee))
	}
	l.level = fillLevel(needs, left)
}

// fillLevel returns the level for max-min fairness: needs below the level are met in full, the others get the level, and their sum is at
// most total. It sorts needs.
func fillLevel(needs []float64, total float64) (level float64) {
	slices.Sort(needs)
	for i, need := range needs {
		share := total / float64(len(needs)-i)
		if need > share {
			return share
		}
		level = need
		total -= need
	}
	return level
}

// Outstanding returns the maximum uses per second that all dispatchers together may make now, with and without leases.
func (l *Lessor) Outstanding(now Instant) (rate float64) {
	l.expire(now)
	for _, lessee := range l.lessees {
		rate += max(lessee.maxValidGrant(), l.settings.UnleasedRate())
	}
	return rate + l.unleasedReserve()
}

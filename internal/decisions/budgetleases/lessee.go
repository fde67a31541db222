package budgetleases

import "time"

const (
	// maxSavedUse is the time for which a lessee saves unused rate, so that a burst makes at most the uses of one second of its lease.
	maxSavedUse = time.Second

	// demandWindow is the time over which demand is smoothed.
	demandWindow = 2 * time.Second
)

// Lessee is a dispatcher's side of one budget: a token bucket that fills at the rate of its lease.
type Lessee struct {
	unleasedRate float64 // uses per second without a lease
	rate         float64 // uses per second of the lease
	expiry       Instant // of the lease
	tokens       float64 // uses saved, as of filledAt
	filledAt     Instant
	demand       float64 // smoothed TryUse calls per second, as of filledAt
	denied       int
}

// NewLessee returns a lessee without a lease, which may make unleasedRate uses per second.
func NewLessee(unleasedRate float64, now Instant) *Lessee {
	return &Lessee{unleasedRate: unleasedRate, filledAt: now}
}

// ApplyLease stores a lease of rate uses per second, which lasts from requestedAt, when the lessee sent the request. It ignores a
// lease that expires before the lease that is valid now.
func (l *Lessee) ApplyLease(rate float64, requestedAt Instant, lease time.Duration, now Instant) {
	l.refill(now)
	if expiry := requestedAt + lease; expiry >= l.expiry || now >= l.expiry {
		l.rate, l.expiry = rate, expiry
	}
}

// Rate returns the uses per second that the lessee may make now.
func (l *Lessee) Rate(now Instant) float64 {
	if now < l.expiry {
		return l.rate
	}
	return l.unleasedRate
}

// refill adds the tokens since filledAt, at the rates that applied. It saves at most the uses that the current rate permits in
// maxSavedUse, but at least one. So a process that was paused cannot make all the uses of the pause at once.
func (l *Lessee) refill(now Instant) {
	if now <= l.filledAt {
		return
	}
	leased := max(min(now, l.expiry)-l.filledAt, 0)
	l.tokens += l.rate*leased.Seconds() + l.unleasedRate*(now-l.filledAt-leased).Seconds()
	l.tokens = min(l.tokens, max(l.Rate(now)*maxSavedUse.Seconds(), 1))
	l.demand *= demandDecay(now - l.filledAt)
	l.filledAt = now
}

// demandDecay returns the share of the smoothed demand that remains after the given time.
func demandDecay(elapsed time.Duration) float64 {
	return 1 / (1 + elapsed.Seconds()/demandWindow.Seconds())
}

// TryUse reports whether the lessee may make one use now, and counts it.
func (l *Lessee) TryUse(now Instant) bool {
	l.refill(now)
	l.demand += 1 / demandWindow.Seconds()
	if l.tokens < 1 {
		l.denied++
		return false
	}
	l.tokens--
	return true
}

// Demand returns the smoothed number of TryUse calls per second.
func (l *Lessee) Demand(now Instant) float64 {
	l.refill(now)
	return l.demand
}

// Denied returns the number of TryUse calls that returned false.
func (l *Lessee) Denied() int { return l.denied }

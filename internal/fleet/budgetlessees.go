package fleet

import (
	"encoding/json"
	"math"
	"sync"
	"time"

	"brassdale/internal/decisions/budgetleases"
	"brassdale/internal/decisions/configversions"
)

// budgetLessees are this dispatcher's leases of the fleet's budgets. mu guards the fields below it; all methods may be called
// from any goroutine and do not block.
type budgetLessees struct {
	overload *Overload // nil if the fleet has no budgets
	now      func() configversions.Instant

	mu            sync.Mutex
	lessees       map[string]*budgetleases.Lessee // by kind
	firstAttempts uint64                          // number since the start, as of countedAt
	countedAt     configversions.Instant
}

func newBudgetLessees(overload *Overload, maxDispatchers int, now func() configversions.Instant) *budgetLessees {
	start := now()
	budgets := &budgetLessees{
		overload:  overload,
		now:       now,
		lessees:   map[string]*budgetleases.Lessee{},
		countedAt: start,
	}
	for _, kind := range overload.kinds() {
		settings := budgetleases.Settings{
			RatePerSecond: overload.ratePerSecond(kind, 0),
			UnleasedShare: unleasedShare,
			MaxLessees:    maxDispatchers,
		}
		budgets.lessees[kind] = budgetleases.NewLessee(settings.UnleasedRate(), start)
	}
	return budgets
}

// AllowUse takes one use of a budget. It returns false if the lease has no use left, and true if there is no budget of the kind.
func (a *Agent) AllowUse(kind string) bool { return a.budgets.tryUse(kind) }

func (b *budgetLessees) tryUse(kind string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	lessee := b.lessees[kind]
	return lessee == nil || lessee.TryUse(b.now())
}

// takeDemand returns this dispatcher's demand on each budget, in uses per second by kind, encoded as JSON, and its first attempts
// per second since the last call. The parameter firstAttempts returns the number of first attempts since the start; if it is nil,
// the number is 0.
func (b *budgetLessees) takeDemand(firstAttempts func() uint64) (demand json.RawMessage, firstAttemptsPerSecond float64) {
	if b.overload == nil {
		return nil, 0
	}
	now := b.now()
	var attempts uint64
	if firstAttempts != nil {
		attempts = firstAttempts()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	demands := map[string]float64{}
	for kind, lessee := range b.lessees {
		demands[kind] = math.Round(1000*lessee.Demand(now)) / 1000 // three decimals suffice and keep the request short
	}
	if elapsed := now - b.countedAt; elapsed > 0 {
		firstAttemptsPerSecond = float64(attempts-b.firstAttempts) / elapsed.Seconds()
	}
	b.firstAttempts = attempts
	b.countedAt = now
	demand, _ = json.Marshal(demands) // encoding finite numbers cannot fail
	return demand, firstAttemptsPerSecond
}

// applyRates applies the rates of a lease, in uses per second by kind, encoded as JSON. It ignores nil and invalid JSON.
func (b *budgetLessees) applyRates(encoded json.RawMessage, requestedAt configversions.Instant, lease time.Duration) {
	var rates map[string]float64
	if encoded == nil || json.Unmarshal(encoded, &rates) != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for kind, rate := range rates {
		if lessee := b.lessees[kind]; lessee != nil {
			lessee.ApplyLease(rate, requestedAt, lease, b.now())
		}
	}
}

// BudgetUsage is the state of a budget at this dispatcher.
type BudgetUsage struct {
	Kind          string  `json:"kind"`
	RatePerSecond float64 `json:"rate"`   // of this dispatcher's lease
	Demand        float64 `json:"demand"` // uses per second that were requested recently
	Denied        int     `json:"denied"` // uses denied since the start
}

func (b *budgetLessees) usage() (usages []BudgetUsage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, kind := range b.overload.kinds() {
		lessee := b.lessees[kind]
		usages = append(usages, BudgetUsage{
			Kind:          kind,
			RatePerSecond: lessee.Rate(b.now()),
			Demand:        lessee.Demand(b.now()),
			Denied:        lessee.Denied(),
		})
	}
	return usages
}

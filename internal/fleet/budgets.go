package fleet

import (
	"encoding/json"
	"math"
	"sync"
	"time"

	"brassdale/internal/decisions/budgetleases"
	"brassdale/internal/decisions/configversions"
)

// purse is what this dispatcher may spend of the fleet's budgets.
type purse struct {
	mu      sync.Mutex
	holders map[string]*budgetleases.Lessee
	firsts  uint64
	at      configversions.Clock
}

func newPurse(o *Overload, among int, now configversions.Clock) *purse {
	p := &purse{holders: map[string]*budgetleases.Lessee{}, at: now}
	for _, kind := range o.kinds() {
		s := budgetleases.Settings{RatePerSecond: o.rate(kind, 0), UnleasedShare: freeShare, MaxLessees: among}
		p.holders[kind] = budgetleases.NewLessee(s.UnleasedRate(), now)
	}
	return p
}

// AllowUse takes one use of a budget, if there is room. What has no budget is free.
func (a *Agent) AllowUse(kind string) bool {
	a.purse.mu.Lock()
	defer a.purse.mu.Unlock()
	h := a.purse.holders[kind]
	return h == nil || h.TryUse(a.now())
}

// wants is what this dispatcher asks of each budget, and how many first calls it makes a second.
func (a *Agent) wants() (demand json.RawMessage, firsts float64) {
	if a.Overload == nil {
		return nil, 0
	}
	now, all := a.now(), uint64(0)
	if a.FirstAttempts != nil {
		all = a.FirstAttempts()
	}
	p := a.purse
	p.mu.Lock()
	defer p.mu.Unlock()
	wanted := map[string]float64{}
	for kind, h := range p.holders {
		wanted[kind] = math.Round(1000*h.Demand(now)) / 1000
	}
	if span := now - p.at; span > 0 {
		firsts = float64(all-p.firsts) / span.Seconds()
	}
	p.firsts, p.at = all, now
	demand, _ = json.Marshal(wanted) // finite numbers
	return demand, firsts
}

// leased takes the rates of a lease in.
func (a *Agent) leased(dealt json.RawMessage, asked configversions.Clock, lease time.Duration) {
	var rates map[string]float64
	if dealt == nil || json.Unmarshal(dealt, &rates) != nil {
		return
	}
	a.purse.mu.Lock()
	defer a.purse.mu.Unlock()
	for kind, rate := range rates {
		if h := a.purse.holders[kind]; h != nil {
			h.ApplyLease(rate, asked, lease, a.now())
		}
	}
}

// BudgetUsage is how a budget stands at this dispatcher.
type BudgetUsage struct {
	Kind          string  `json:"kind"`
	RatePerSecond float64 `json:"rate"`   // a second, that it may spend now
	Demand        float64 `json:"demand"` // that it asked for lately
	Denied        int     `json:"denied"` // uses, since the start
}

func (a *Agent) spent() (all []BudgetUsage) {
	a.purse.mu.Lock()
	defer a.purse.mu.Unlock()
	for _, kind := range a.Overload.kinds() {
		h := a.purse.holders[kind]
		all = append(all, BudgetUsage{kind, h.Rate(a.now()), h.Demand(a.now()), h.Denied()})
	}
	return all
}

// BudgetGranted is how a budget stands at the leader.
type BudgetGranted struct {
	Kind          string  `json:"kind"`
	RatePerSecond float64 `json:"rate"`  // a second, of all together
	Outstanding   float64 `json:"given"` // that leases and those without one may spend now
}

// treasury is the leader's part.
type treasury struct {
	dealers map[string]*budgetleases.Lessor
	rates   map[string]float64
	firsts  map[string]first
	retuned configversions.Clock // by how many first calls all make
}

// retuneEvery is for how long the budgets go by what all did before: one who asks is no reason to go through all.
const retuneEvery = 100 * time.Millisecond

type first struct {
	rate float64
	at   configversions.Clock
}

// newTreasury begins without knowing of any lease.
func (a *Agent) newTreasury() *treasury {
	t := &treasury{dealers: map[string]*budgetleases.Lessor{}, rates: map[string]float64{}, firsts: map[string]first{}}
	for _, kind := range a.Overload.kinds() {
		t.dealers[kind] = budgetleases.NewLessor(a.budget(kind, 0), a.now())
	}
	return t
}

func (a *Agent) budget(kind string, firsts float64) budgetleases.Settings {
	return budgetleases.Settings{RatePerSecond: a.Overload.rate(kind, firsts), UnleasedShare: freeShare, MaxLessees: a.among(), LeaseDuration: a.lease}
}

// among is how many dispatchers there are at the most.
func (a *Agent) among() int {
	if a.MaxDispatchers == nil {
		return 1
	}
	return max(a.MaxDispatchers(), 1)
}

// deal gives a dispatcher its rates; a.mu is held.
func (a *Agent) deal(q question) json.RawMessage {
	t := a.treasury
	var demand map[string]float64
	if t == nil || q.Demand == nil || json.Unmarshal(q.Demand, &demand) != nil {
		return nil
	}
	now := a.now()
	t.firsts[q.Name] = first{q.Firsts, now}
	if now >= t.retuned+retuneEvery {
		t.retuned = now
		firsts := 0.0
		for name, f := range t.firsts {
			if now-f.at > 2*a.lease {
				delete(t.firsts, name)
				continue
			}
			firsts += f.rate
		}
		for kind, d := range t.dealers {
			s := a.budget(kind, firsts)
			t.rates[kind] = s.RatePerSecond
			d.ApplySettings(s)
		}
	}
	rates := map[string]float64{}
	for kind, d := range t.dealers {
		rates[kind] = math.Floor(1e6*d.Grant(q.Name, demand[kind], 0, now)) / 1e6 // no more than was dealt
	}
	text, _ := json.Marshal(rates) // finite numbers
	return text
}

// dealt is how the budgets stand; a.mu is held.
func (a *Agent) dealt() (all []BudgetGranted) {
	if a.treasury == nil {
		return nil
	}
	for _, kind := range a.Overload.kinds() {
		all = append(all, BudgetGranted{kind, a.treasury.rates[kind], a.treasury.dealers[kind].Outstanding(a.now())})
	}
	return all
}

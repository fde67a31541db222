package fleet

import (
	"encoding/json"
	"math"
	"time"

	"brassdale/internal/decisions/budgetleases"
	"brassdale/internal/decisions/configversions"
)

// budgetUpdateInterval is the shortest time between two updates of the budgets from the fleet's first attempts. It avoids adding
// up the first attempts of all dispatchers at each lease request.
const budgetUpdateInterval = 100 * time.Millisecond

// budgetLessors grants leases on the fleet's budgets at the leader. Guarded by Agent.mu.
type budgetLessors struct {
	lessors       map[string]*budgetleases.Lessor // by kind
	rates         map[string]float64              // of the whole fleet, in uses per second, by kind
	firstAttempts map[string]reportedRate         // by dispatcher
	updatedAt     configversions.Instant
}

// reportedRate is a rate per second that a dispatcher reported.
type reportedRate struct {
	perSecond  float64
	reportedAt configversions.Instant
}

// newBudgetLessors returns the budgets of a new leader, which knows of no lease yet.
func (a *Agent) newBudgetLessors() *budgetLessors {
	budgets := &budgetLessors{
		lessors:       map[string]*budgetleases.Lessor{},
		rates:         map[string]float64{},
		firstAttempts: map[string]reportedRate{},
	}
	for _, kind := range a.options.Overload.kinds() {
		budgets.lessors[kind] = budgetleases.NewLessor(a.budgetSettings(kind, 0), a.now())
	}
	return budgets
}

func (a *Agent) budgetSettings(kind string, firstAttemptsPerSecond float64) budgetleases.Settings {
	return budgetleases.Settings{
		RatePerSecond: a.options.Overload.ratePerSecond(kind, firstAttemptsPerSecond),
		UnleasedShare: unleasedShare,
		MaxLessees:    a.maxDispatchers(),
		LeaseDuration: a.leaseDuration,
	}
}

// grantBudgetsLocked grants a dispatcher a rate of each budget according to its demand and returns the rates encoded as JSON. It
// returns nil if there are no budgets, or if the request has no valid demand. a.mu is held.
func (a *Agent) grantBudgetsLocked(budgets *budgetLessors, request leaseRequest) json.RawMessage {
	if budgets == nil || request.BudgetDemand == nil {
		return nil
	}
	var demand map[string]float64
	if json.Unmarshal(request.BudgetDemand, &demand) != nil {
		return nil
	}
	now := a.now()
	budgets.firstAttempts[request.Name] = reportedRate{request.FirstAttemptsPerSecond, now}
	a.updateBudgetsLocked(budgets, now)
	rates := map[string]float64{}
	for kind, lessor := range budgets.lessors {
		granted := lessor.Grant(request.Name, demand[kind], 0, now)
		rates[kind] = math.Floor(1e6*granted) / 1e6 // rounded down: the sum must not exceed what was granted
	}
	encoded, _ := json.Marshal(rates) // encoding finite numbers cannot fail
	return encoded
}

// updateBudgetsLocked adjusts the budgets to the first attempts of the whole fleet, once per budgetUpdateInterval. Dispatchers
// that have not reported for two lease durations no longer count. a.mu is held.
func (a *Agent) updateBudgetsLocked(budgets *budgetLessors, now configversions.Instant) {
	if now < budgets.updatedAt+budgetUpdateInterval {
		return
	}
	budgets.updatedAt = now
	total := 0.0
	for name, rate := range budgets.firstAttempts {
		if now-rate.reportedAt > 2*a.leaseDuration {
			delete(budgets.firstAttempts, name)
			continue
		}
		total += rate.perSecond
	}
	for kind, lessor := range budgets.lessors {
		settings := a.budgetSettings(kind, total)
		budgets.rates[kind] = settings.RatePerSecond
		lessor.ApplySettings(settings)
	}
}

// BudgetGranted is the state of a budget at the leader.
type BudgetGranted struct {
	Kind          string  `json:"kind"`
	RatePerSecond float64 `json:"rate"`  // of the whole fleet
	Outstanding   float64 `json:"given"` // maximum uses per second of all dispatchers together, with and without leases
}

// budgetsGrantedLocked returns the state of the budgets; nil if this dispatcher does not lead. a.mu is held.
func (a *Agent) budgetsGrantedLocked() (granted []BudgetGranted) {
	if a.leadership == nil || a.leadership.budgets == nil {
		return nil
	}
	budgets := a.leadership.budgets
	for _, kind := range a.options.Overload.kinds() {
		granted = append(granted, BudgetGranted{
			Kind:          kind,
			RatePerSecond: budgets.rates[kind],
			Outstanding:   budgets.lessors[kind].Outstanding(a.now()),
		})
	}
	return granted
}

package fleet

import (
	"brassdale/internal/decisions/canary"
	"brassdale/internal/decisions/configversions"
	"brassdale/internal/decisions/failover"
	"brassdale/internal/decisions/gossippeers"
)

// leadership is the state of this dispatcher as the leader. A new leader knows of no lease. Therefore it puts no version in
// force and leases no budget out before all leases of its predecessor have run out. Guarded by Agent.mu.
type leadership struct {
	leases    *configversions.LeaseTable
	directory *gossippeers.Directory
	canary    *canary.Evaluation // nil while no version has a canary
	planner   *failover.Planner  // nil if the fleet has no failover planning
	budgets   *budgetLessors     // nil if the fleet has no budgets
}

// leadershipChanged is called by the goroutine of Log.Run. It does not block.
func (a *Agent) leadershipChanged(leads bool) {
	a.mu.Lock()
	a.leadership = nil
	if leads {
		a.leadership = a.newLeadershipLocked()
	}
	a.mu.Unlock()
	// internal/scale reads this line (raftstate.go), with leads as its first key.
	a.log.Info("leadership changed", "leads", leads)
	wake(a.stateChanged)
}

// newLeadershipLocked returns the state with which a new leader begins. a.mu is held.
func (a *Agent) newLeadershipLocked() *leadership {
	started := &leadership{
		leases:    configversions.NewLeaseTable(a.leaseDuration, a.now()),
		directory: gossippeers.NewDirectory(),
	}
	if a.options.Overload != nil {
		started.budgets = a.newBudgetLessors()
	}
	if a.planningEnabled() {
		settings, regions := a.options.Failover.plannerSettings()
		started.planner = failover.NewPlanner(settings, regions, a.lessee.Record().Plan, a.now())
	}
	return started
}

// currentLeadership returns this dispatcher's voter, nil for a follower, and its leadership, nil unless this dispatcher leads.
func (a *Agent) currentLeadership() (*ownVoter, *leadership) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.voter, a.leadership
}

package fleet

import (
	"context"
	"fmt"
	"time"

	"brassdale/internal/decisions/configversions"
)

// Effective returns the rules that this dispatcher may act on now. It reads the clock at each call, so that a process that was
// frozen detects that its lease has run out.
func (a *Agent) Effective() configversions.Effective {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lessee.Effective(a.now())
}

// watchLease applies the end of the lease, which no message announces. After each change of the state it also updates the
// description of this dispatcher in gossip.
func (a *Agent) watchLease(ctx context.Context) {
	for {
		a.applyState()
		a.members.UpdateSelf(a.self())
		a.mu.Lock()
		remaining := a.lessee.LeaseExpiry() - a.now()
		a.mu.Unlock()
		if remaining <= 0 {
			remaining = a.leaseDuration
		}
		select {
		case <-ctx.Done():
			return
		case <-a.stateChanged:
		case <-time.After(remaining):
		}
	}
}

// applyState calls ApplyEffective and PlanChanged if the effective rules or the plan have changed.
func (a *Agent) applyState() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applyStateLocked()
}

// applyStateLocked is applyState with a.mu held. Code that changes the record calls it before releasing a.mu: the next lease
// request acknowledges the record, and an acknowledged record must already be applied.
func (a *Agent) applyStateLocked() {
	effective := a.lessee.Effective(a.now())
	// The epoch, the versions and the lease determine the rules.
	state := fmt.Sprint(a.lessee.Record().Epoch, effective.Versions, effective.LeaseExpired)
	if state != a.appliedState {
		a.appliedState = state
		// internal/effectivestate reads this line, with its keys in this order.
		a.log.Info("config version applied", "versions", fmt.Sprint(effective.Versions), "lease_expired", effective.LeaseExpired,
			"at_ms", time.Now().UnixMilli())
		a.options.ApplyEffective(effective)
	}
	a.applyPlanLocked(effective.LeaseExpired)
}

// applyPlanLocked calls PlanChanged if the plan's number has changed, or if the plan has expired or is valid again. a.mu is held.
func (a *Agent) applyPlanLocked(leaseExpired bool) {
	if !a.planningEnabled() {
		return
	}
	expired := a.planExpiredLocked(leaseExpired)
	plan, number := currentPlan(a.lessee.Record())
	state := fmt.Sprint(number, expired)
	if state == a.appliedPlan {
		return
	}
	a.appliedPlan = state
	// internal/faults reads this line (zonesresult.go), with its keys in this order.
	a.log.Info("failover plan applied", "number", number, "expired", expired, "at_ms", time.Now().UnixMilli())
	a.options.PlanChanged(plan, expired)
}

// planExpiredLocked reports whether the lease expired at least planTrustWithoutLease ago. a.mu is held.
func (a *Agent) planExpiredLocked(leaseExpired bool) bool {
	return leaseExpired && a.now() >= a.lessee.LeaseExpiry()+a.planTrustWithoutLease
}

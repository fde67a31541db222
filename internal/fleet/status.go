package fleet

import (
	"brassdale/internal/decisions/configversions"
	"brassdale/internal/decisions/failover"
	"brassdale/internal/decisions/voters"
	"brassdale/internal/fleet/gossip"
	"brassdale/internal/traffic"
)

// Status is the state of a dispatcher and its view of the fleet.
type Status struct {
	Name              string                      `json:"name"`
	Fleet             string                      `json:"fleet"`
	VoterID           uint64                      `json:"seat,omitempty"`
	Leader            uint64                      `json:"leader,omitempty"` // a voter ID
	IsLeader          bool                        `json:"leads,omitempty"`
	EffectiveVersions []uint64                    `json:"acting"`
	LeaseExpired      bool                        `json:"lapsed,omitempty"`
	LeaseLeftMS       int64                       `json:"lease_left_ms"`
	Record            configversions.Record       `json:"record"`
	LeaseHolders      []configversions.Dispatcher `json:"present,omitempty"` // at the leader
	WaitingFor        []string                    `json:"waits,omitempty"`   // what the announced version waits for: see LeaseTable.MayPutInForce; at the leader
	Voters            []voters.Status             `json:"places,omitempty"`  // at the leader
	Members           []gossip.Member             `json:"members,omitempty"` // known by gossip
	Zones             []failover.ZoneView         `json:"zones,omitempty"`   // at the leader
	PlanExpired       bool                        `json:"alone,omitempty"`
	BudgetUsage       []BudgetUsage               `json:"spent,omitempty"` // at this dispatcher
	BudgetsGranted    []BudgetGranted             `json:"dealt,omitempty"` // at the leader
	Counts            Counts                      `json:"counts"`

	ControlTraffic map[string]traffic.Count `json:"control"` // of this process, by kind
}

// Status returns the state of this dispatcher and its view of the fleet.
func (a *Agent) Status() Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	effective := a.lessee.Effective(a.now())
	status := Status{
		Name:              a.options.Name,
		Fleet:             a.settings.Name,
		VoterID:           a.voter.id(),
		EffectiveVersions: effective.Versions,
		LeaseExpired:      effective.LeaseExpired,
		LeaseLeftMS:       max((a.lessee.LeaseExpiry() - a.now()).Milliseconds(), 0),
		Record:            a.lessee.Record(),
		PlanExpired:       a.planningEnabled() && a.planExpiredLocked(effective.LeaseExpired),
		BudgetUsage:       a.budgets.usage(),
		BudgetsGranted:    a.budgetsGrantedLocked(),
		Counts:            a.counts,
		ControlTraffic:    a.options.Meter.Counts(),
	}
	if a.members != nil {
		status.Members = a.members.Members()
	}
	if a.voter != nil {
		status.Leader = a.voter.log.Leader()
		status.Record = a.voter.log.Record()
		status.Voters = a.voter.log.VoterStatuses()
	}
	if a.leadership != nil {
		a.addLeadershipLocked(&status)
	}
	return status
}

// addLeadershipLocked adds the fields that only the leader knows. a.mu is held.
func (a *Agent) addLeadershipLocked(status *Status) {
	lead := a.leadership
	status.IsLeader = true
	status.LeaseHolders = lead.leases.LeaseHolders(a.now())
	if announced := status.Record.Announced; announced != nil {
		_, status.WaitingFor = lead.leases.MayPutInForce(announced.Number, a.now())
	}
	if lead.planner != nil {
		status.Zones = lead.planner.Views(a.now())
	}
}

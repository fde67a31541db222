package fleet

import (
	"context"
	"crypto/rand"
	"fmt"
	"time"

	"brassdale/internal/decisions/canary"
	"brassdale/internal/decisions/configversions"
	"brassdale/internal/decisions/voters"
)

const (
	leaderTaskInterval  = 20 * time.Millisecond
	planInterval        = 250 * time.Millisecond // between two checks for a new plan
	voterChangeInterval = 5 * voterCheckInterval // pause after a proposed change of the voters
)

// runLeaderTasks runs the leader's periodic tasks: it puts announced versions in force, ends canaries, makes plans and replaces
// silent voters. It returns when the context ends.
func (a *Agent) runLeaderTasks(ctx context.Context) {
	var votersCheckedAt time.Time
	for ; ctx.Err() == nil; sleep(ctx, leaderTaskInterval) {
		own, lead := a.currentLeadership()
		if own == nil || lead == nil {
			continue
		}
		if entry, due := a.dueEntry(own, lead); due {
			a.proposeDue(ctx, own, entry)
			continue
		}
		if time.Since(votersCheckedAt) < voterCheckInterval {
			continue
		}
		votersCheckedAt = time.Now()
		a.changeVoters(ctx, own, lead)
	}
}

// proposeDue proposes an entry that dueEntry returned. If the proposal fails, the entry becomes due again.
func (a *Agent) proposeDue(ctx context.Context, own *ownVoter, entry configversions.Entry) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := own.log.Propose(ctx, entry); err != nil {
		return
	}
	a.log.Info("leader entry applied", "put_in_force", entry.PutInForce, "end_canary", entry.EndCanary, "withdraw", entry.Withdraw,
		"reason", entry.Reason)
}

// changeVoters proposes a change of the voters if one is due.
func (a *Agent) changeVoters(ctx context.Context, own *ownVoter, lead *leadership) {
	a.mu.Lock()
	leaseHolders := lead.leases.LeaseHolders(a.now())
	a.mu.Unlock()
	statuses := own.log.VoterStatuses()
	nextVoterID := own.log.Record().NextVoterID
	change, ok := voters.PlanChange(statuses, voterCandidates(leaseHolders), nextVoterID, a.replaceAfter)
	if !ok {
		return
	}
	proposing, cancel := context.WithTimeout(ctx, callTimeout)
	err := own.log.ChangeVoters(proposing, change)
	cancel()
	a.log.Info("voter change proposed", "add_learner", change.AddLearner, "promote", change.Promote, "remove", change.Remove,
		"transfer_leadership", change.TransferLeadership, "err", err)
	sleep(ctx, voterChangeInterval)
}

// voterCandidates returns the dispatchers that hold leases as candidates for the raft group.
func voterCandidates(leaseHolders []configversions.Dispatcher) []voters.Candidate {
	candidates := make([]voters.Candidate, 0, len(leaseHolders))
	for _, dispatcher := range leaseHolders {
		candidates = append(candidates, voters.Candidate{
			Name:               dispatcher.Name,
			Address:            dispatcher.Address,
			Region:             dispatcher.Region,
			Zone:               dispatcher.Zone,
			VoterID:            dispatcher.VoterID,
			DedicatedToControl: dispatcher.DedicatedToControl,
		})
	}
	return candidates
}

// dueEntry returns the entry that the leader must propose now, if there is one: a plan, or the next step of the announced
// version.
func (a *Agent) dueEntry(own *ownVoter, lead *leadership) (entry configversions.Entry, due bool) {
	record := own.log.Record()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leadership != lead { // the leadership was lost meanwhile
		return configversions.Entry{}, false
	}
	if entry, due := a.duePlanLocked(record, lead); due {
		return entry, true
	}
	announced := record.Announced
	if announced == nil {
		return configversions.Entry{}, false
	}
	if announced.Canary != nil {
		return a.dueCanaryStepLocked(announced, lead)
	}
	permitted, _ := lead.leases.MayPutInForce(announced.Number, a.now())
	return configversions.Entry{ID: rand.Text(), PutInForce: announced.Number}, permitted
}

// dueCanaryStepLocked returns the entry that ends the canary of a version, once it has passed or failed. a.mu is held.
func (a *Agent) dueCanaryStepLocked(announced *configversions.Version, lead *leadership) (entry configversions.Entry, due bool) {
	if lead.canary == nil || lead.canary.Version() != announced.Number {
		lead.canary = canary.NewEvaluation(announced.Number, a.now())
	}
	switch outcome, reason := lead.canary.Judge(announced.Canary, a.now()); outcome {
	case canary.Passed:
		return configversions.Entry{ID: rand.Text(), EndCanary: announced.Number}, true
	case canary.Failed:
		return configversions.Entry{ID: rand.Text(), Withdraw: announced.Number, Reason: reason}, true
	}
	return configversions.Entry{}, false
}

// duePlanLocked returns the next plan, if one is due. No plan is due before all lease holders act on the last one, so that at
// most two plans are in use at a time. a.mu is held.
func (a *Agent) duePlanLocked(record configversions.Record, lead *leadership) (entry configversions.Entry, due bool) {
	_, number := currentPlan(record)
	planner := lead.planner
	if planner == nil || a.now() < a.nextPlanAt || !lead.leases.AllOnPlan(number, a.now()) {
		return configversions.Entry{}, false
	}
	a.nextPlanAt = a.now() + planInterval
	for zone := range planner.Regions() {
		planner.LimitZone(zone, zoneLimit(record, zone))
	}
	plan, made := planner.Next(a.now())
	if !made {
		return configversions.Entry{}, false
	}
	a.log.Info("failover plan made", "number", plan.Number, "reasons", fmt.Sprint(plan.Reasons))
	return configversions.Entry{ID: rand.Text(), Plan: plan}, true
}

// zoneLimit returns the share of its capacity that a zone may use; 1 if the operators set no limit.
func zoneLimit(record configversions.Record, zone string) float64 {
	share := 1.0
	for _, limit := range record.ZoneLimits {
		if limit.Zone == zone {
			share = limit.Share
		}
	}
	return share
}

// canarySample returns the job counts that a dispatcher reported.
func canarySample(dispatcher configversions.Dispatcher) canary.Sample {
	return canary.Sample{
		Dispatcher: dispatcher.Name,
		Instance:   dispatcher.Instance,
		JobsEnded:  dispatcher.JobsEnded,
		JobsFailed: dispatcher.JobsFailed,
	}
}

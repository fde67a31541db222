package faults

import (
	"context"
	"time"

	"brassdale/internal/effectivestate"
)

// completeResult sets the figures that are known only at the end of the run.
func (r *run) completeResult(ctx context.Context) {
	result := r.result
	result.EffectiveStates = r.effectiveStates()
	for _, process := range r.processes {
		result.Absences = append(result.Absences, process.absences)
		result.Logs = append(result.Logs, process.earlierLog+process.lastStart.Log()) // a lost process's last log appears twice
	}
	if r.plan.Voters > 0 {
		r.addFleetRecord(ctx)
	}
	if r.plan.Zones != nil && len(r.endedJobs) > 0 {
		result.Zones = r.measureZones()
	}
	if r.plan.Overload != nil {
		result.Overload = r.plan.Overload.measure(r.cluster.ReceivedTimes(), r.plan.Processes, r.plan.Bound)
	}
	contradiction, lapsed := effectivestate.ContradictionTime(result.EffectiveStates)
	result.ContradictionMS, result.LapsedApartMS = milliseconds(contradiction), milliseconds(lapsed)
	polls := r.cluster.PollCounts()
	result.ListCalls, result.MaxListCalls, result.ListRefused, result.WatchGapMS = polls.Polls, polls.MaxPerSecond, polls.Rejected, milliseconds(polls.LongestGap)
	for _, breach := range r.cluster.Breaches() {
		result.addBreach(breach.String())
	}
	inForceAt := firstInForce(result.EffectiveStates)
	for version := range inForceAt {
		result.Versions = max(result.Versions, version)
	}
	result.setTimesToForce(r.announcedAt, inForceAt)
}

// addFleetRecord adds figures from the fleet's record, as the first process that answers knows it.
func (r *run) addFleetRecord(ctx context.Context) {
	for _, process := range r.processes {
		if process.lost {
			continue
		}
		status, err := r.requestStatus(ctx, process)
		if err != nil {
			continue
		}
		r.result.Withdrawn = len(status.Record.Withdrawn)
		for _, voter := range status.Record.Voters {
			r.result.Voters = append(r.result.Voters, voter.ID)
		}
		return
	}
}

// firstInForce returns, by version, when a process first acted on this version only, with a lease.
func firstInForce(processes [][]effectivestate.State) map[uint64]time.Time {
	first := map[uint64]time.Time{}
	for _, states := range processes {
		for _, state := range states {
			version, ok := state.InForce()
			if !ok {
				continue
			}
			if at, seen := first[version]; !seen || state.From.Before(at) {
				first[version] = state.From
			}
		}
	}
	return first
}

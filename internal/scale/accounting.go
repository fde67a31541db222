package scale

import (
	"runtime"
	"slices"
	"time"

	"brassdale/internal/effectivestate"
	"brassdale/internal/traffic"
)

const (
	maxBusyShare = 0.85        // of all cores' time in the measured span; a run with more does not count
	slowChange   = time.Second // a change that takes longer may have been delayed by the machine
)

// result computes the run's result. It is called when the measured span has ended and all dispatchers have settled.
func (r *run) result(measured measurement) *Result {
	result := r.newResult()
	for _, change := range r.changes {
		if change.at.Before(measured.after.at) {
			result.Changes++
		}
	}
	result.SpanS = measured.after.at.Sub(measured.before.at).Seconds()
	r.addTraffic(result, measured.before, measured.after)
	r.addUsage(result, measured.before, measured.after)
	checkMachine(result, measured.before, measured.after)
	result.WorkerProbes = len(r.cluster.ReceivedTimes().Probes)
	if r.plan.Fault == nil {
		result.Interface = compareInterface(measured.before, measured.after)
	}
	if !measured.beforeChanges.at.IsZero() {
		r.addCostWithoutChanges(result, measured.before, measured.beforeChanges)
	}
	all := r.histories()
	addReturnTimes(result, all)
	r.addInForce(result, all, measured.after.lateTicks)
	var states [][]effectivestate.State
	for _, h := range all {
		states = append(states, h.effectiveStates)
	}
	contradiction, _ := effectivestate.ContradictionTime(states)
	result.ContradictionMS = milliseconds(contradiction)
	if r.plan.Fault != nil {
		result.FaultCosts = []FaultCost{r.faultCost(all)}
	}
	for _, breach := range r.cluster.Breaches() {
		result.RulesBroken++
		result.Breaches = append(result.Breaches, breach.String())
	}
	return result
}

// newResult returns a result with the plan's sizes and the job counts.
func (r *run) newResult() *Result {
	plan := &r.plan
	return &Result{
		Title: plan.Title, Seed: plan.Seed, At: r.beganAt.UTC(), LeaseDurationMS: float64(plan.LeaseDuration.Milliseconds()), ChangeRateFactor: plan.ChangeRateFactor(),
		Dispatchers: plan.Dispatchers, Hollow: plan.Hollow, Processes: plan.Processes, Real: plan.Real(), Baseline: plan.Baseline,
		Workers: plan.Workers, Accelerators: plan.Accelerators, Zones: plan.Zones, Regions: plan.Regions, Teams: plan.Teams,
		Voters: plan.Voters, Dedicated: plan.Dedicated,
		Jobs: r.jobCounts.sent, AnsweredOnce: r.jobCounts.answered, AnsweredNever: r.jobCounts.unanswered, LostWithProcess: r.jobCounts.lost,
		ReturnedInForceMS: []float64{},
	}
}

// addTraffic adds the control traffic that the dispatchers counted.
func (r *run) addTraffic(result *Result, before, after snapshot) {
	all := ratesOf(before, after, r.servingDispatchers(func(*dispatcher) bool { return true }))
	result.BytesP50, result.BytesP99, result.BytesMean = quantile(0.5, all.bytes), quantile(0.99, all.bytes), mean(all.bytes)
	result.Messages, result.BytesByKind, result.MessagesByKind = mean(all.messages), all.bytesByKind, all.messagesByKind
	hollow := ratesOf(before, after, r.servingDispatchers(func(each *dispatcher) bool { return each.hollow }))
	result.HollowBytesMean, result.HollowBytesByKind, result.HollowMessages = mean(hollow.bytes), hollow.bytesByKind, mean(hollow.messages)
	real := ratesOf(before, after, r.servingDispatchers(func(each *dispatcher) bool { return !each.hollow && each.voterNumber == 0 }))
	result.RealBytesMean, result.RealBytesByKind, result.RealMessages = mean(real.bytes), real.bytesByKind, mean(real.messages)
	r.addVoterTraffic(result, before, after)
	for name := range after.control {
		counts, _ := controlBetween(before, after, name)
		discovery := counts[traffic.Discovery.String()]
		result.DiscoveryCalls += float64(discovery.Messages) / result.SpanS
		result.DiscoveryBytes += float64(discovery.Bytes()) / result.SpanS
	}
}

// addVoterTraffic adds the traffic of the leader and of the other voters.
func (r *run) addVoterTraffic(result *Result, before, after snapshot) {
	var voters, leaders []*dispatcher
	for _, each := range r.dispatchers {
		switch {
		case each.name == after.leader:
			leaders = append(leaders, each)
		case after.voters[each.name]:
			voters = append(voters, each)
		}
	}
	for _, each := range slices.Concat(voters, leaders) {
		result.VoterBytesMax = max(result.VoterBytesMax, mean(ratesOf(before, after, []*dispatcher{each}).bytes))
	}
	result.VoterBytesByKind = ratesOf(before, after, voters).bytesByKind
	leader := ratesOf(before, after, leaders)
	result.LeaderBytes, result.LeaderBytesByKind = mean(leader.bytes), leader.bytesByKind
}

// usageGroup identifies dispatchers whose mean usage is reported separately.
type usageGroup struct {
	role   costRole
	hollow bool
}

// addUsage adds processor time and memory. Voters count only in the figures of voters.
func (r *run) addUsage(result *Result, before, after snapshot) {
	cpuMS, memoryMB := map[usageGroup][]float64{}, map[usageGroup][]float64{}
	for _, each := range r.dispatchers {
		cpu, memory := cpuBetween(before, after, each.name)/result.SpanS, after.usage[after.pids[each.name]].MemoryMB
		if each.name == after.leader {
			result.LeaderCPU = cpu
		}
		if after.voters[each.name] {
			result.VoterCPUMax, result.VoterMemoryMax = max(result.VoterCPUMax, cpu), max(result.VoterMemoryMax, memory)
			continue
		}
		if _, same := controlBetween(before, after, each.name); same {
			group := usageGroup{each.role, each.hollow}
			cpuMS[group], memoryMB[group] = append(cpuMS[group], cpu), append(memoryMB[group], memory)
		}
	}
	real, baseline := usageGroup{roleServing, false}, usageGroup{roleBaseline, false}
	result.RealCPU, result.RealMemory = mean(cpuMS[real]), mean(memoryMB[real])
	result.BaselineCPU, result.BaselineMemory = mean(cpuMS[baseline]), mean(memoryMB[baseline])
	result.HollowCPU = mean(cpuMS[usageGroup{roleServing, true}])
	result.HollowBaselineCPU = mean(cpuMS[usageGroup{roleBaseline, true}])
	if r.plan.Baseline > 0 && len(cpuMS[real]) > 0 {
		result.CPU, result.Memory = result.RealCPU-result.BaselineCPU, result.RealMemory-result.BaselineMemory
	}
}

// checkMachine records whether the machine, and not the fleet, was the limit.
func checkMachine(result *Result, before, after snapshot) {
	result.MachineBusy = (after.machine.busyTicks - before.machine.busyTicks) / max(after.machine.totalTicks-before.machine.totalTicks, 1)
	late := len(after.lateTicks) - len(before.lateTicks)
	switch {
	case late > maxLateTicks:
		result.setFellBehind("%d ticks of %v were late by more than %v", late, tickInterval, tickTolerance)
	case result.MachineBusy > maxBusyShare:
		result.setFellBehind("%.0f%% of %d cores were busy", 100*result.MachineBusy, runtime.NumCPU())
	}
}

// compareInterface compares the counted bytes with the bytes that the loopback interface carried. For bytes that both ends count, it uses
// the sender's count. Calls to discovery are counted only at the dispatcher, so for these it uses the dispatcher's counts of both
// directions.
func compareInterface(before, after snapshot) Interface {
	seconds := after.at.Sub(before.at).Seconds()
	links := after.linkTraffic.Bytes() - before.linkTraffic.Bytes()
	uncounted := after.pollTraffic.Bytes() - before.pollTraffic.Bytes() + extraProxyTransits*links
	counted := float64(after.proposalTraffic.Sent - before.proposalTraffic.Sent)
	for name := range after.control {
		counts, _ := controlBetween(before, after, name)
		for kind, count := range counts {
			counted += float64(count.Sent)
			if kind == traffic.Discovery.String() {
				counted += float64(count.Received)
			}
		}
	}
	compared := Interface{
		Bytes:   (loopbackPayload(before.machine, after.machine) - float64(uncounted)) / seconds,
		Counted: counted / seconds,
		Links:   float64(links) / seconds,
	}
	if compared.Bytes > 0 {
		compared.CountedShare = compared.Counted / compared.Bytes
	}
	return compared
}

// addCostWithoutChanges adds the cost of control in the part of the span without changes, and the additional cost of a change.
func (r *run) addCostWithoutChanges(result *Result, before, beforeChanges snapshot) {
	rates := ratesOf(before, beforeChanges, r.servingDispatchers(func(*dispatcher) bool { return true }))
	result.WithoutChanges = &CostWithoutChanges{
		SpanS:       beforeChanges.at.Sub(before.at).Seconds(),
		Bytes:       mean(rates.bytes),
		Messages:    mean(rates.messages),
		BytesByKind: rates.bytesByKind,
	}
	if result.Changes > 0 {
		result.ChangeCost = &ChangeCost{(result.BytesMean - result.WithoutChanges.Bytes) * result.SpanS / float64(result.Changes)}
	}
}

// addReturnTimes adds the time from each dispatcher's restart or reconnection until it had applied the newest version.
func addReturnTimes(result *Result, all []*history) {
	for _, h := range all {
		result.ReturnedInForceMS = append(result.ReturnedInForceMS, h.returnTimesMS...)
		result.InForceMissing += h.missed
	}
	slices.Sort(result.ReturnedInForceMS)
}

// addInForce adds the delays until changes were in force (history.appliedAt) at the dispatchers that they could reach. If a tick was late
// during a change that took longer than slowChange, the machine was the limit.
func (r *run) addInForce(result *Result, all []*history, late []lateTick) {
	var delays []float64
	for _, history := range all {
		for _, change := range r.changes {
			at, ok, unreached := history.appliedAt(change)
			if unreached {
				continue
			}
			if !ok {
				result.InForceMissing++
				continue
			}
			delay := at.Sub(change.at)
			delays = append(delays, milliseconds(delay))
			if tick, wasLate := lateTickWithin(late, change.at, at); wasLate && delay > slowChange {
				result.setFellBehind("version %d was in force at %s after %.0f ms, and a tick meanwhile was late by %v",
					change.version, history.dispatcher.name, milliseconds(delay), tick.At.Sub(tick.Due).Round(time.Millisecond))
			}
		}
	}
	slices.Sort(delays)
	result.InForceP50MS, result.InForceP99MS, result.InForceP999MS = quantile(0.5, delays), quantile(0.99, delays), quantile(0.999, delays)
}

// lateTickWithin returns the first late tick whose delay (Due to At) overlaps the given period, and false if there is none.
func lateTickWithin(late []lateTick, from, to time.Time) (lateTick, bool) {
	i := slices.IndexFunc(late, func(tick lateTick) bool { return tick.Due.Before(to) && tick.At.After(from) })
	if i < 0 {
		return lateTick{}, false
	}
	return late[i], true
}

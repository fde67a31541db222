package scale

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"brassdale/internal/effectivestate"
	"brassdale/internal/faultlink"
	"brassdale/internal/labsupport"
)

// faultRecord is what is known of the run's fault. The run's mutex guards it.
type faultRecord struct {
	beganAt   time.Time
	endedAt   time.Time // zero while it is in progress
	hitLeader bool      // the leader was killed or cut off
	affected  int       // dispatchers of all roles that were killed or cut off
}

// injectFault injects the plan's fault at its time, and returns when it has ended.
func (r *run) injectFault(ctx context.Context) error {
	fault := r.plan.Fault
	begin := r.beganAt.Add(fault.At)
	if !labsupport.WaitUntil(ctx, begin) {
		return nil
	}
	names := r.beginFault()
	defer r.endFault()
	switch fault.Kind {
	case RegionPartitioned:
		r.partitionRegion(ctx, names, begin.Add(fault.For))
		return nil
	case DispatchersReplaced:
		return r.replaceOneByOne(ctx, names, begin)
	default:
		return r.killAndRestart(ctx, names, begin.Add(fault.For))
	}
}

// beginFault records that the fault begins, has a config version proposed at once, and returns the names of the dispatchers to be affected.
func (r *run) beginFault() []string {
	leader := r.currentLeader()
	names := r.affectedBy(r.plan.Fault, leader)
	r.mu.Lock()
	r.faultRecord = faultRecord{beganAt: time.Now(), hitLeader: slices.Contains(names, leader), affected: len(names)}
	r.mu.Unlock()
	select {
	case r.proposeNow <- struct{}{}:
	default: // one is due already
	}
	return names
}

// endFault records that the fault has ended.
func (r *run) endFault() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faultRecord.endedAt = time.Now()
}

// affectedBy returns the names of the running dispatchers that a fault affects. Bare ones never are.
func (r *run) affectedBy(fault *Fault, leader string) []string {
	leaderDedicated := r.isDedicated(leader)
	var names []string
	for _, each := range r.running() {
		affected := false
		switch fault.Kind {
		case VoterLost:
			affected = each.name == leader
			if !leaderDedicated { // there is no leader, or it is a dispatcher that serves jobs
				affected = each.voterNumber == 1
			}
		case ZoneLost:
			affected = each.zone == fault.Zone
		case RegionPartitioned:
			affected = r.plan.region(each.zone) == fault.Region
		case DispatchersReplaced: // those with a process of their own
			affected = each.hollow && len(each.hollowProcess.dispatchers) == 1 && len(names) < fault.Count
		case DispatchersRestarted:
			affected = true
		}
		if affected && each.role != roleBare {
			names = append(names, each.name)
		}
	}
	return names
}

// isDedicated reports whether a dispatcher is dedicated to control.
func (r *run) isDedicated(name string) bool {
	return slices.ContainsFunc(r.dispatchers, func(each *dispatcher) bool { return each.name == name && each.role == roleDedicated })
}

// killAndRestart kills dispatchers and restarts them at the end of the fault, unless it has none. Probes of a lost zone are unanswered in
// between.
func (r *run) killAndRestart(ctx context.Context, names []string, end time.Time) error {
	fault := r.plan.Fault
	if fault.Kind == ZoneLost {
		r.setObservedZones(ctx, func(_, zone int) bool { return zone != fault.Zone })
	}
	r.kill(names)
	if fault.For == 0 || !labsupport.WaitUntil(ctx, end) {
		return nil
	}
	if fault.Kind == ZoneLost {
		r.setObservedZones(ctx, allZones)
	}
	return r.restart(ctx, names)
}

// kill kills dispatchers, and with them those that share a process with one, and returns when their processes have ended.
func (r *run) kill(names []string) {
	now := time.Now()
	var kills []func() error
	r.mu.Lock()
	for _, each := range r.dispatchers {
		if !slices.Contains(names, each.name) || each.process == nil && each.hollowProcess == nil {
			continue
		}
		each.absences = append(each.absences, effectivestate.Period{From: now})
		if process := each.process; process != nil {
			each.process = nil
			kills = append(kills, func() error {
				process.Kill()
				r.mu.Lock()
				defer r.mu.Unlock()
				each.earlierLogs += process.Log()
				return nil
			})
			continue
		}
		process := each.hollowProcess
		each.hollowProcess = nil
		if i := slices.Index(r.hollowProcesses, process); i >= 0 { // else it is killed for another of its dispatchers already
			r.hollowProcesses = slices.Delete(r.hollowProcesses, i, i+1)
			kills = append(kills, func() error { return r.killHollow(process, now) })
		}
	}
	r.mu.Unlock()
	_ = inParallel(kills) // a log that cannot be read leaves its dispatchers without states, which the result has as changes not applied
}

// killHollow kills a hollow process, and takes the states of its dispatchers until then from its log.
func (r *run) killHollow(process *hollowProcess, at time.Time) error {
	process.kill()
	log, err := os.ReadFile(process.logPath)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, each := range process.dispatchers {
		each.earlierStates = append(each.earlierStates, statesFromLog(string(log), each.name, at)...)
		each.effectiveStates = nil
	}
	return err
}

// restart starts dispatchers that were killed, all at once. Hollow ones share processes as before.
func (r *run) restart(ctx context.Context, names []string) error {
	var starts []func() error
	groups := map[int][]*dispatcher{}
	now := time.Now()
	for _, each := range r.dispatchers {
		if !slices.Contains(names, each.name) {
			continue
		}
		r.mu.Lock()
		each.absences[len(each.absences)-1].To = now
		r.mu.Unlock()
		if !each.hollow {
			starts = append(starts, func() error { return r.startDispatcher(ctx, each) })
			continue
		}
		i := slices.IndexFunc(r.hollowGroups, func(group []*dispatcher) bool { return slices.Contains(group, each) })
		groups[i] = append(groups[i], each)
	}
	for _, group := range groups {
		starts = append(starts, func() error { return r.startHollowProcess(group) })
	}
	return inParallel(starts)
}

// replaceOneByOne kills hollow dispatchers one by one, evenly over the fault, and starts a new one in place of each.
func (r *run) replaceOneByOne(ctx context.Context, names []string, begin time.Time) error {
	for i, name := range names {
		if !labsupport.WaitUntil(ctx, begin.Add(r.plan.Fault.For*time.Duration(i)/time.Duration(len(names)))) {
			return nil
		}
		r.kill([]string{name})
		successor, err := r.addSuccessor(name, fmt.Sprint("h", r.plan.Hollow+i))
		if err != nil {
			return err
		}
		if err := r.startHollowProcess([]*dispatcher{successor}); err != nil {
			return err
		}
	}
	return nil
}

// addSuccessor adds a new hollow dispatcher, which was absent until now, in the zone of another.
func (r *run) addSuccessor(predecessor, name string) (*dispatcher, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := slices.IndexFunc(r.dispatchers, func(each *dispatcher) bool { return each.name == predecessor })
	successor := &dispatcher{name: name, role: roleServing, hollow: true, zone: r.dispatchers[i].zone}
	successor.absences = []effectivestate.Period{{To: time.Now()}} // from the start of the run
	return successor, r.addDispatcher(successor)
}

// partitionRegion cuts the fault's region off from the others until its end. Hollow dispatchers observe only the zones on their side.
func (r *run) partitionRegion(ctx context.Context, names []string, end time.Time) {
	region := r.plan.Fault.Region
	r.links.setState(region, faultlink.State{CutTo: true, CutFrom: true})
	r.recordPartition(names, true)
	r.setObservedZones(ctx, func(own, zone int) bool { return (r.plan.region(zone) == region) == (r.plan.region(own) == region) })
	labsupport.WaitUntil(ctx, end)
	r.setObservedZones(ctx, allZones)
	r.links.setState(region, faultlink.State{})
	r.recordPartition(names, false)
}

// recordPartition records that dispatchers are cut off from now on, or no longer.
func (r *run) recordPartition(names []string, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, each := range r.dispatchers {
		switch {
		case !slices.Contains(names, each.name):
		case cut:
			each.partitions = append(each.partitions, effectivestate.Period{From: now})
		default:
			each.partitions[len(each.partitions)-1].To = now
		}
	}
}

// allZones is for setObservedZones: all zones are observed.
func allZones(_, _ int) bool { return true }

// setObservedZones sets, for the hollow dispatchers of each zone (own), from which zones their probes are answered from now on: from those of
// which the function returns true. Probes of real dispatchers are answered, or not, by the emulator.
func (r *run) setObservedZones(ctx context.Context, observed func(own, zone int) bool) {
	var posts []func() error
	for _, process := range r.runningHollowProcesses() {
		own := process.dispatchers[0].zone
		var names []string
		for zone := range r.plan.Zones {
			if observed(own, zone) {
				names = append(names, zoneName(zone))
			}
		}
		posts = append(posts, func() error { return r.polls.postJSON(ctx, process.url(observedZonesPath), names) })
	}
	_ = inParallel(posts) // a process that does not respond is just being killed
}

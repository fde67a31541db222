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

// faultRecord is the course of the run's fault. The run's mutex guards it.
type faultRecord struct {
	beganAt   time.Time
	endedAt   time.Time // zero while it is in progress
	hitLeader bool      // the leader was killed or cut off
	affected  int       // dispatchers of all roles that were killed or cut off
}

// injectFault injects the plan's fault at its time, and returns when the fault has ended.
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

// beginFault records that the fault begins, requests the proposal of a config version at once, and returns the names of the dispatchers to
// affect.
func (r *run) beginFault() []string {
	leader := r.currentLeader()
	names := r.affectedBy(r.plan.Fault, leader)
	r.mu.Lock()
	r.faultRecord = faultRecord{beganAt: time.Now(), hitLeader: slices.Contains(names, leader), affected: len(names)}
	r.mu.Unlock()
	select {
	case r.proposeNow <- struct{}{}:
	default: // a proposal is requested already
	}
	return names
}

// endFault records that the fault has ended.
func (r *run) endFault() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faultRecord.endedAt = time.Now()
}

// affectedBy returns the names of the running dispatchers that a fault affects. It never affects baseline dispatchers.
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
		case DispatchersReplaced: // hollow dispatchers with a process of their own
			affected = each.hollow && len(each.hollowProcess.dispatchers) == 1 && len(names) < fault.Count
		case DispatchersRestarted:
			affected = true
		}
		if affected && each.role != roleBaseline {
			names = append(names, each.name)
		}
	}
	return names
}

// isDedicated reports whether a dispatcher is dedicated to control.
func (r *run) isDedicated(name string) bool {
	return slices.ContainsFunc(r.dispatchers, func(each *dispatcher) bool { return each.name == name && each.role == roleDedicated })
}

// killAndRestart kills dispatchers and, if the fault ends, restarts them at its end. Meanwhile probes of a lost zone are unanswered.
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

// kill kills the processes of dispatchers, and returns when the processes have ended. Other dispatchers in the same processes end, too.
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
		if i := slices.Index(r.hollowProcesses, process); i >= 0 { // otherwise it is already killed, for another of its dispatchers
			r.hollowProcesses = slices.Delete(r.hollowProcesses, i, i+1)
			kills = append(kills, func() error { return r.killHollow(process, now) })
		}
	}
	r.mu.Unlock()
	_ = inParallel(kills) // if a log cannot be read, its dispatchers have no states, and the result counts their changes as not applied
}

// killHollow kills a hollow process, and reads the states of its dispatchers until the given time from its log.
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

// restart starts killed dispatchers, all at once. Hollow dispatchers share processes as before.
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

// replaceOneByOne kills hollow dispatchers one by one, evenly over the fault's duration, and starts a new one in place of each.
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

// addSuccessor adds a new hollow dispatcher in the zone of its predecessor. It counts as absent from the start of the run until now.
func (r *run) addSuccessor(predecessor, name string) (*dispatcher, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := slices.IndexFunc(r.dispatchers, func(each *dispatcher) bool { return each.name == predecessor })
	successor := &dispatcher{name: name, role: roleServing, hollow: true, zone: r.dispatchers[i].zone}
	successor.absences = []effectivestate.Period{{To: time.Now()}} // no From: since the start of the run
	return successor, r.addDispatcher(successor)
}

// partitionRegion cuts the fault's region off from the others until the given end. Probes of hollow dispatchers are answered only by zones on
// their side of the partition.
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

// recordPartition records that dispatchers are cut off from now on or, if the parameter cut is false, that they no longer are.
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

// allZones is a condition for setObservedZones: every zone answers all hollow dispatchers.
func allZones(_, _ int) bool { return true }

// setObservedZones sets the zones that answer the probes of hollow dispatchers from now on. The zone numbered zone answers the dispatchers
// of the zone numbered own if observed(own, zone) is true. For probes of real dispatchers the emulator decides.
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
	_ = inParallel(posts) // a process that does not respond is being killed
}

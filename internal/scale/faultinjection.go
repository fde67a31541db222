package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"time"

	"brassdale/internal/faults"
)

// faulty is what a fault came to.
type faultRecord struct {
	beganAt   time.Time // its begin
	endedAt   time.Time // zero while it is not
	hitLeader bool      // who led was gone or cut off
	affected  int       // dispatchers, of all roles
	returned  []string  // that were gone or cut off, or are new, and are there again
}

// injectFault plays the run's fault to its end.
func (f *run) injectFault() error {
	x, begin := f.Fault, f.beganAt.Add(f.Fault.At)
	over := begin.Add(x.For)
	if !sleepUntil(f.ctx, begin) {
		return nil
	}
	leads, all := f.currentLeader(), f.running()
	all = slices.DeleteFunc(all, func(m fleetDispatcher) bool { return m.role == roleBare })
	var who []string
	for _, m := range all {
		struck := map[FaultKind]bool{VoterLost: m.name == leads, ZoneLost: m.zone == x.Zone, RegionPartitioned: f.region(m.zone) == x.Region, DispatchersRestarted: true}[x.Kind]
		if x.Kind == VoterLost && !f.isSetAside(leads) { // nobody leads, or a dispatcher that was given a seat
			struck = m.voterNumber == 1
		}
		if struck {
			who = append(who, m.name)
		}
	}
	if x.Kind == DispatchersReplaced {
		for _, m := range all {
			if m.hollow && len(m.hollowProcess.dispatchers) == 1 && len(who) < x.Count {
				who = append(who, m.name)
			}
		}
	}
	f.mu.Lock()
	f.faultRecord = faultRecord{beganAt: time.Now(), hitLeader: slices.Contains(who, leads), affected: len(who)}
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.faultRecord.endedAt = time.Now()
	}()
	select {
	case f.proposeNow <- struct{}{}:
	default:
	}
	switch x.Kind {
	case RegionPartitioned:
		return f.partitionRegion(who, over)
	case DispatchersReplaced:
		return f.replaceOneByOne(who, begin)
	}
	if x.Kind == ZoneLost {
		f.setObservedZones(func(zone int) bool { return zone != x.Zone })
	}
	f.kill(who)
	if x.For == 0 || !sleepUntil(f.ctx, over) {
		return nil
	}
	if x.Kind == ZoneLost {
		f.setObservedZones(func(int) bool { return true })
	}
	return f.restart(who)
}

func (f *run) isSetAside(name string) bool {
	return slices.ContainsFunc(f.dispatchers, func(m *fleetDispatcher) bool { return m.name == name && m.role == roleSetAside })
}

// kill ends dispatchers at once. Those that share processes with others end with them.
func (f *run) kill(who []string) {
	now := time.Now()
	var all []func() error
	f.mu.Lock()
	for _, m := range f.dispatchers {
		if !slices.Contains(who, m.name) || m.node == nil && m.hollowProcess == nil {
			continue
		}
		m.absences = append(m.absences, faults.Absence{From: now})
		if node := m.node; node != nil {
			m.node = nil
			all = append(all, func() error {
				node.Kill()
				f.mu.Lock()
				defer f.mu.Unlock()
				m.earlierLogs += node.Log()
				return nil
			})
			continue
		}
		p := m.hollowProcess
		m.hollowProcess = nil
		if !slices.Contains(f.hollowProcesses, p) { // one before was in it too
			continue
		}
		f.hollowProcesses = slices.DeleteFunc(f.hollowProcesses, func(o *hollowProcess) bool { return o == p })
		all = append(all, func() error {
			p.kill()
			text, err := os.ReadFile(p.logPath)
			f.mu.Lock()
			defer f.mu.Unlock()
			for _, m := range p.dispatchers {
				m.earlierStates, m.effectiveStates = append(m.earlierStates, statesFromLog(string(text), m.name, now)...), nil
			}
			return err
		})
	}
	f.mu.Unlock()
	_ = inParallel(all)
}

// revive starts dispatchers that were killed, all at once.
func (f *run) restart(who []string) error {
	var all []func() error
	groups := map[int][]*fleetDispatcher{}
	now := time.Now()
	for _, m := range f.dispatchers {
		if !slices.Contains(who, m.name) {
			continue
		}
		f.mu.Lock()
		m.absences[len(m.absences)-1].To = now
		f.faultRecord.returned = append(f.faultRecord.returned, m.name)
		f.mu.Unlock()
		if !m.hollow {
			all = append(all, func() error { return f.startDispatcher(m) })
			continue
		}
		i := slices.IndexFunc(f.hollowGroups, func(g []*fleetDispatcher) bool { return slices.Contains(g, m) })
		groups[i] = append(groups[i], m)
	}
	for _, g := range groups {
		all = append(all, func() error { return f.startHollowProcess(g) })
	}
	return inParallel(all)
}

// replace kills dispatchers one by one, and starts others.
func (f *run) replaceOneByOne(who []string, begin time.Time) error {
	for i, name := range who {
		if !sleepUntil(f.ctx, begin.Add(f.Fault.For*time.Duration(i)/time.Duration(len(who)))) {
			return nil
		}
		f.kill([]string{name})
		f.mu.Lock()
		old := f.dispatchers[slices.IndexFunc(f.dispatchers, func(m *fleetDispatcher) bool { return m.name == name })]
		m := &fleetDispatcher{name: fmt.Sprint("h", f.Hollow+i), role: roleServing, hollow: true, zone: old.zone}
		err := f.addDispatcher(m)
		m.absences = []faults.Absence{{To: time.Now()}} // the time before
		f.faultRecord.returned = append(f.faultRecord.returned, m.name)
		f.mu.Unlock()
		if err != nil {
			return err
		}
		if err := f.startHollowProcess([]*fleetDispatcher{m}); err != nil {
			return err
		}
	}
	return nil
}

// apart cuts a region off, until then.
func (f *run) partitionRegion(who []string, over time.Time) error {
	set := func(s faults.State) {
		for ends, links := range f.links {
			if ends[0] != f.Fault.Region && ends[1] != f.Fault.Region {
				continue
			}
			for _, l := range links {
				l.Set(s)
			}
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, m := range f.dispatchers {
			switch {
			case !slices.Contains(who, m.name):
			case s.CutTo:
				m.partitions = append(m.partitions, faults.Absence{From: time.Now()})
			default:
				m.partitions[len(m.partitions)-1].To = time.Now()
				f.faultRecord.returned = append(f.faultRecord.returned, m.name)
			}
		}
	}
	set(faults.State{CutTo: true, CutFrom: true})
	defer set(faults.State{})
	f.setObservedZonesBySide()
	sleepUntil(f.ctx, over)
	f.setObservedZones(func(int) bool { return true })
	return nil
}

// hear has hollow dispatchers hear of some zones alone from now on, as real ones do.
func (f *run) setObservedZones(of func(zone int) bool) {
	f.postObservedZones(func(int) []string { return f.zoneNames(of) })
}

// hearWithin has those of the region that is cut off hear of its zones, and the others of the others'.
func (f *run) setObservedZonesBySide() {
	cut := f.Fault.Region
	f.postObservedZones(func(own int) []string {
		return f.zoneNames(func(zone int) bool { return (f.region(zone) == cut) == (f.region(own) == cut) })
	})
}

func (f *run) zoneNames(of func(zone int) bool) (names []string) {
	for z := range f.Zones {
		if of(z) {
			names = append(names, zoneName(z))
		}
	}
	return names
}

func (f *run) postObservedZones(of func(own int) []string) {
	var all []func() error
	for _, p := range f.runningHollowProcesses() {
		all = append(all, func() error { return f.postJSON("http://"+p.address+"/hears", of(p.dispatchers[0].zone)) })
	}
	_ = inParallel(all) // one that is just ending hears nothing anyway
}

// post tells a hollow process something.
func (f *run) postJSON(url string, what any) error {
	text, err := json.Marshal(what)
	if err != nil {
		return err
	}
	ctx, stop := context.WithDeadline(f.ctx, time.Now().Add(pollTimeout))
	defer stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(text))
	if err != nil {
		return err
	}
	resp, err := f.polls.http.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("%s: %s", url, resp.Status)
	}
	return nil
}

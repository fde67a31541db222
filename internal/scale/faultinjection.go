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

	"brassdale/internal/emulator"
	"brassdale/internal/faults"
)

// faulty is what a fault came to.
type faulty struct {
	at       time.Time // its begin
	over     time.Time // zero while it is not
	led      bool      // who led was gone or cut off
	befell   int       // dispatchers, of all roles
	returned []string  // that were gone or cut off, or are new, and are there again
}

// workers are the faults that the works' workers have with the fleet's.
func (x *Fault) workers(p *Plan) (all []emulator.Fault) {
	switch x.Kind {
	case Zone:
		lasts := x.For
		if lasts == 0 {
			lasts = p.Span
		}
		all = append(all, emulator.Fault{At: x.At, For: lasts, Kind: emulator.ZoneLost, Share: 1, Zone: x.Zone + 1})
	case Regions:
		for from := range p.Zones {
			for to := range p.Zones {
				if a, b := p.region(from), p.region(to); a != b && (a == x.Region || b == x.Region) {
					all = append(all, emulator.Fault{At: x.At, For: x.For, Kind: emulator.Apart, Share: 1, Zone: to + 1, From: from + 1})
				}
			}
		}
	}
	return all
}

// injectFault plays the run's fault to its end.
func (f *stage) injectFault() error {
	x, begin := f.Fault, f.begin.Add(f.Fault.At)
	over := begin.Add(x.For)
	if !until(f.ctx, begin) {
		return nil
	}
	leads, all := f.leader(), f.there()
	all = slices.DeleteFunc(all, func(m member) bool { return m.role == bare })
	var who []string
	for _, m := range all {
		struck := map[Kind]bool{VoterFault: m.name == leads, Zone: m.zone == x.Zone, Regions: f.region(m.zone) == x.Region, Together: true}[x.Kind]
		if x.Kind == VoterFault && !f.isAside(leads) { // nobody leads, or a dispatcher that was given a seat
			struck = m.voter == 1
		}
		if struck {
			who = append(who, m.name)
		}
	}
	if x.Kind == Replaced {
		for _, m := range all {
			if m.hollow && len(m.process.members) == 1 && len(who) < x.Count {
				who = append(who, m.name)
			}
		}
	}
	f.mu.Lock()
	f.faulty = faulty{at: time.Now(), led: slices.Contains(who, leads), befell: len(who)}
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.faulty.over = time.Now()
	}()
	select {
	case f.hurry <- struct{}{}:
	default:
	}
	switch x.Kind {
	case Regions:
		return f.apart(who, over)
	case Replaced:
		return f.replace(who, begin)
	}
	if x.Kind == Zone {
		f.hear(func(zone int) bool { return zone != x.Zone })
	}
	f.kill(who)
	if x.For == 0 || !until(f.ctx, over) {
		return nil
	}
	if x.Kind == Zone {
		f.hear(func(int) bool { return true })
	}
	return f.revive(who)
}

func (f *stage) isAside(name string) bool {
	return slices.ContainsFunc(f.members, func(m *member) bool { return m.name == name && m.role == aside })
}

// kill ends dispatchers at once. Those that share processes with others end with them.
func (f *stage) kill(who []string) {
	now := time.Now()
	var all []func() error
	f.mu.Lock()
	for _, m := range f.members {
		if !slices.Contains(who, m.name) || m.node == nil && m.process == nil {
			continue
		}
		m.absences = append(m.absences, faults.Absence{From: now})
		if node := m.node; node != nil {
			m.node = nil
			all = append(all, func() error {
				node.Kill()
				f.mu.Lock()
				defer f.mu.Unlock()
				m.logs += node.Log()
				return nil
			})
			continue
		}
		p := m.process
		m.process = nil
		if !slices.Contains(f.hollow, p) { // one before was in it too
			continue
		}
		f.hollow = slices.DeleteFunc(f.hollow, func(o *process) bool { return o == p })
		all = append(all, func() error {
			p.kill()
			text, err := os.ReadFile(p.log)
			f.mu.Lock()
			defer f.mu.Unlock()
			for _, m := range p.members {
				m.past, m.effectiveStates = append(m.past, stood(string(text), m.name, now)...), nil
			}
			return err
		})
	}
	f.mu.Unlock()
	_ = together(all)
}

// revive starts dispatchers that were killed, all at once.
func (f *stage) revive(who []string) error {
	var all []func() error
	groups := map[int][]*member{}
	now := time.Now()
	for _, m := range f.members {
		if !slices.Contains(who, m.name) {
			continue
		}
		f.mu.Lock()
		m.absences[len(m.absences)-1].To = now
		f.faulty.returned = append(f.faulty.returned, m.name)
		f.mu.Unlock()
		if !m.hollow {
			all = append(all, func() error { return f.start(m) })
			continue
		}
		i := slices.IndexFunc(f.groups, func(g []*member) bool { return slices.Contains(g, m) })
		groups[i] = append(groups[i], m)
	}
	for _, g := range groups {
		all = append(all, func() error { return f.startHollow(g) })
	}
	return together(all)
}

// replace kills dispatchers one by one, and starts others.
func (f *stage) replace(who []string, begin time.Time) error {
	for i, name := range who {
		if !until(f.ctx, begin.Add(f.Fault.For*time.Duration(i)/time.Duration(len(who)))) {
			return nil
		}
		f.kill([]string{name})
		f.mu.Lock()
		old := f.members[slices.IndexFunc(f.members, func(m *member) bool { return m.name == name })]
		m := &member{name: fmt.Sprint("h", f.Hollow+i), role: serves, hollow: true, zone: old.zone}
		err := f.add(m)
		m.absences = []faults.Absence{{To: time.Now()}} // the time before
		f.faulty.returned = append(f.faulty.returned, m.name)
		f.mu.Unlock()
		if err != nil {
			return err
		}
		if err := f.startHollow([]*member{m}); err != nil {
			return err
		}
	}
	return nil
}

// apart cuts a region off, until then.
func (f *stage) apart(who []string, over time.Time) error {
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
		for _, m := range f.members {
			switch {
			case !slices.Contains(who, m.name):
			case s.CutTo:
				m.cut = append(m.cut, faults.Absence{From: time.Now()})
			default:
				m.cut[len(m.cut)-1].To = time.Now()
				f.faulty.returned = append(f.faulty.returned, m.name)
			}
		}
	}
	set(faults.State{CutTo: true, CutFrom: true})
	defer set(faults.State{})
	f.hearWithin()
	until(f.ctx, over)
	f.hear(func(int) bool { return true })
	return nil
}

// hear has hollow dispatchers hear of some zones alone from now on, as real ones do.
func (f *stage) hear(of func(zone int) bool) {
	f.hearAs(func(int) []string { return f.zones(of) })
}

// hearWithin has those of the region that is cut off hear of its zones, and the others of the others'.
func (f *stage) hearWithin() {
	cut := f.Fault.Region
	f.hearAs(func(own int) []string {
		return f.zones(func(zone int) bool { return (f.region(zone) == cut) == (f.region(own) == cut) })
	})
}

func (f *stage) zones(of func(zone int) bool) (names []string) {
	for z := range f.Zones {
		if of(z) {
			names = append(names, zoneName(z))
		}
	}
	return names
}

func (f *stage) hearAs(of func(own int) []string) {
	var all []func() error
	for _, p := range f.processes() {
		all = append(all, func() error { return f.post("http://"+p.at+"/hears", of(p.members[0].zone)) })
	}
	_ = together(all) // one that is just ending hears nothing anyway
}

// post tells a hollow process something.
func (f *stage) post(url string, what any) error {
	text, err := json.Marshal(what)
	if err != nil {
		return err
	}
	ctx, stop := context.WithDeadline(f.ctx, time.Now().Add(maxPollInterval))
	defer stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(text))
	if err != nil {
		return err
	}
	resp, err := f.contacts.http.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("%s: %s", url, resp.Status)
	}
	return nil
}

package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"brassdale/internal/emulator"
	"brassdale/internal/faults"
	"brassdale/internal/fleet"
	"brassdale/internal/traffic"
)

// role is what a dispatcher of the fleet is there for.
type dispatcherRole string

const (
	roleServing  dispatcherRole = "dispatcher"
	roleSetAside dispatcherRole = "set aside"
	roleBare     dispatcherRole = "bare" // agrees on nothing
)

// member is a dispatcher of the fleet, over its starts. What changes while it plays, the stage's mutex guards.
type fleetDispatcher struct {
	name         string
	role         dispatcherRole
	hollow       bool
	fleetAddress string // for the others
	zone         int
	voterNumber  int // in the first council; 0 for none
	listener     int // of a real one

	node            *emulator.Node          // of a real one that is there
	hollowProcess   *hollowProcess          // of a hollow one that is there
	life            int                     // counted by its starts
	earlierLogs     string                  // of a real one's earlier lives
	earlierStates   []faults.EffectiveState // of a hollow one's earlier lives
	effectiveStates []faults.EffectiveState // and of this one, as they were read last
	absences        []faults.Absence        // when it was not there
	partitions      []faults.Absence        // when it was, and others did not reach it
}

// stage is a fleet being played.
type run struct {
	Plan
	Options
	ctx            context.Context
	cluster        *emulator.Cluster
	dir            string
	hollowGroups   [][]*fleetDispatcher // hollow ones that begin in one process
	voterAddresses []string
	links          map[[2]int]map[string]*faults.Link // between two regions, from the first on, by the address behind it
	proxies        []*countingProxy                   // behind them, where what they carry is counted, ...
	linkMeter      traffic.Meter                      // ... here
	failover       *fleet.Failover
	overload       *fleet.Overload
	polls          *meteredClient // of counts
	proposals      *meteredClient // of changes
	stalls         stallDetector
	beganAt        time.Time     // of the measured span
	proposeNow     chan struct{} // a proposal is due at once

	mu                     sync.Mutex
	dispatchers            []*fleetDispatcher
	hollowProcesses        []*hollowProcess // that are there
	hollowProcessesStarted int              // processes of hollow ones, since the begin
	changes                []acceptedChange
	jobCounts              jobCounts
	snapshots              []snapshot
	faultRecord            faultRecord
}

// client is HTTP of the runner's own, counted, as it goes over the same interface.
type meteredClient struct {
	http  *http.Client
	meter traffic.Meter
}

func newClient() *meteredClient {
	c := &meteredClient{}
	c.http = &http.Client{Transport: &http.Transport{DialContext: c.meter.Dial(&net.Dialer{}), MaxIdleConnsPerHost: 2}}
	return c
}

// addresses counts those that this process gave.
var addressesReserved atomic.Int64

// address gives one that no other dispatcher of this process's runs has: a port that was free for a moment may be given to
// somebody's connection, and to another run's dispatcher. Connections leave from 127.0.0.1.
func reserveAddress() (string, error) {
	n := int(addressesReserved.Add(1))
	l, err := net.Listen("tcp", fmt.Sprintf("127.88.%d.%d:0", (os.Getpid()+n/200)%250+1, n%200+1))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// place gives a free door, of a zone if there is one.
func takeListener(free *[]int, zone, zones int) int {
	i := max(slices.IndexFunc(*free, func(listener int) bool { return listener%zones == zone }), 0)
	door := (*free)[i]
	*free = slices.Delete(*free, i, i+1)
	return door
}

// add names a member, at an address of its own.
func (f *run) addDispatcher(m *fleetDispatcher) error {
	at, err := reserveAddress()
	m.fleetAddress = at
	f.dispatchers = append(f.dispatchers, m)
	return err
}

// build names who is there, and where.
func (f *run) layOut() error {
	var free []int
	for listener := range f.listeners() - 1 {
		free = append(free, listener)
	}
	for i := range f.SetAside + f.Real() + f.Bare {
		m := &fleetDispatcher{name: fmt.Sprint("n", i), role: roleServing}
		zone := free[0] % f.Zones
		if i < f.SetAside {
			m.role = roleSetAside
		}
		if i < f.Voters {
			m.voterNumber, zone = i+1, f.voterZone(i)
		}
		if i >= f.SetAside+f.Real() {
			m.role = roleBare
		}
		m.listener = takeListener(&free, zone, f.Zones)
		m.zone = m.listener % f.Zones
		if err := f.addDispatcher(m); err != nil {
			return err
		}
	}
	f.hollowGroups = make([][]*fleetDispatcher, f.Processes)
	for i := range f.Hollow {
		group := i % f.Processes
		m := &fleetDispatcher{name: fmt.Sprint("h", i), role: roleServing, hollow: true, zone: group % f.Zones}
		if x := f.Fault; x != nil && x.Kind == DispatchersReplaced && i >= f.Hollow-x.Count { // one that is killed alone
			f.hollowGroups = append(f.hollowGroups, []*fleetDispatcher{m})
		} else {
			f.hollowGroups[group] = append(f.hollowGroups[group], m)
		}
		if err := f.addDispatcher(m); err != nil {
			return err
		}
	}
	var apart []*fleetDispatcher
	for i := range f.HollowBare {
		apart = append(apart, &fleetDispatcher{name: fmt.Sprint("b", i), role: roleBare, hollow: true})
		if err := f.addDispatcher(apart[i]); err != nil {
			return err
		}
	}
	f.hollowGroups = append(f.hollowGroups, apart)
	f.hollowGroups = slices.DeleteFunc(f.hollowGroups, func(g []*fleetDispatcher) bool { return len(g) == 0 })
	for _, m := range f.dispatchers[:f.Voters] {
		f.voterAddresses = append(f.voterAddresses, m.fleetAddress)
	}
	zones := fleet.DefaultFailover()
	for r := range f.Regions {
		region := fleet.Region{Name: regionName(r)}
		for z := range f.Zones {
			if f.region(z) == r {
				region.Zones = append(region.Zones, zoneName(z))
			}
		}
		zones.Regions = append(zones.Regions, region)
	}
	f.failover, f.overload = &zones, &fleet.Overload{RetryRatio: 0.1, ProbesPerSecond: 40}
	return f.openLinks()
}

// link lays links to the seats of other regions, where regions are to be cut off from each other or links are wanted anyway.
// Gossip stays within a zone.
func (f *run) openLinks() error {
	if !f.CountLinks && (f.Fault == nil || f.Fault.Kind != RegionPartitioned) {
		return nil
	}
	f.links = map[[2]int]map[string]*faults.Link{}
	for from := range f.Regions {
		for n, m := range f.dispatchers[:f.Voters] {
			to := f.region(m.zone)
			if to == from {
				continue
			}
			behind := m.fleetAddress
			if f.CountLinks {
				h, err := newCountingProxy(m.fleetAddress, &f.linkMeter)
				if err != nil {
					return err
				}
				f.proxies, behind = append(f.proxies, h), h.listener.Addr().String()
			}
			l, err := faults.NewLink(behind, f.Seed+uint64(100*from+n))
			if err != nil {
				return err
			}
			if f.links[[2]int{from, to}] == nil {
				f.links[[2]int{from, to}] = map[string]*faults.Link{}
			}
			f.links[[2]int{from, to}][m.fleetAddress] = l
		}
	}
	return nil
}

// reach gives where the others' addresses are reached from a region, if elsewhere.
func (f *run) addressOverrides(from int) map[string]string {
	all := map[string]string{}
	for ends, links := range f.links {
		for address, l := range links {
			if ends[0] == from {
				all[address] = l.Address()
			}
		}
	}
	return all
}

const fleetName = "rig"

// operator is a real dispatcher's file.
func (f *run) operatorFile(m *fleetDispatcher) string {
	var b strings.Builder
	fmt.Fprintf(&b, "council {\n fleet = %q\n listen = %q\n seat = %d\n directory = %q\n bound = %q\n replace = %q\n region = %q\n zone = %q\n set_aside = %t\n voters = [",
		fleetName, m.fleetAddress, m.voterNumber, filepath.Join(f.dir, "disk-"+m.name), f.LeaseDuration, f.ReplaceAfter, regionName(f.region(m.zone)), zoneName(m.zone), m.role == roleSetAside)
	for _, v := range f.voterAddresses {
		fmt.Fprintf(&b, "%q, ", v)
	}
	b.WriteString("]\n reach = {\n")
	for address, to := range f.addressOverrides(f.region(m.zone)) {
		fmt.Fprintf(&b, "  %q = %q\n", address, to)
	}
	b.WriteString(" }\n}\nfailover {\n")
	for _, r := range f.failover.Regions {
		fmt.Fprintf(&b, " region %q {\n  zones = [", r.Name)
		for _, z := range r.Zones {
			fmt.Fprintf(&b, "%q, ", z)
		}
		b.WriteString("]\n }\n")
	}
	fmt.Fprintf(&b, " headroom = %g\n return_in = %q\n alone = %q\n detect = %q\n}\noverload {\n retries = %g\n probes = %g\n}\n",
		f.failover.Headroom, f.failover.RecoveryRamp, f.failover.MaxPlanAge, f.failover.DetectionTime, f.overload.RetryRatio, f.overload.ProbesPerSecond)
	return b.String()
}

// config writes the platform's file of a door for somebody, with the number of dispatchers that the whole fleet has.
func (f *run) writeConfig(listener int, whose string) (path string, err error) {
	text, err := f.cluster.Config(listener)
	if err != nil {
		return "", err
	}
	var all map[string]any
	if err := json.Unmarshal(text, &all); err != nil {
		return "", err
	}
	settings, ok := all["settings"].(map[string]any)
	if !ok {
		return "", errors.New("the works' file has no settings")
	}
	settings["replicasOfMe"] = f.Dispatchers
	if limits, ok := settings["limits"].(map[string]any); ok && f.SkipWorkerProbes {
		limits["probing"] = false
	}
	if text, err = json.Marshal(all); err != nil {
		return "", err
	}
	path = filepath.Join(f.dir, "config-"+whose+".json")
	return path, os.WriteFile(path, text, 0o600)
}

// start starts a real dispatcher.
func (f *run) startDispatcher(m *fleetDispatcher) error {
	config, err := f.writeConfig(m.listener, m.name)
	if err != nil {
		return err
	}
	args := []string{"serve"}
	if m.role != roleBare {
		path := filepath.Join(f.dir, "operator-"+m.name+".hcl")
		if err := os.WriteFile(path, []byte(f.operatorFile(m)), 0o600); err != nil {
			return err
		}
		args = append(args, "--operator", path)
	}
	node, err := f.cluster.StartWith(f.ctx, f.Binary, f.dir, m.listener, []string{"GW_CONFIG=" + config}, args...)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	m.node = node
	m.life++
	return nil
}

func inParallel(all []func() error) error {
	errs := make([]error, len(all))
	var wait sync.WaitGroup
	for i, do := range all {
		wait.Go(func() { errs[i] = do() })
	}
	wait.Wait()
	return errors.Join(errs...)
}

// get asks the runner's own questions.
func (f *run) pollJSON(url string, to any) error {
	ctx, stop := context.WithDeadline(f.ctx, time.Now().Add(pollTimeout))
	defer stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := f.polls.http.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if vars, ok := to.(*string); ok {
		*vars = string(text)
		return nil
	}
	return json.Unmarshal(text, to)
}

const pollTimeout = 5 * time.Second

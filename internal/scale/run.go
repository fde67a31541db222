package scale

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"

	"brassdale/internal/emulator"
	"brassdale/internal/faults"
)

// Options are how a plan is played.
type Options struct {
	Binary     string   // the dispatcher's program
	Self       string   // the program that holds hollow dispatchers
	HollowArgs []string // of it, before the spec's path
	KeepLogs   string   // a folder for logs; empty for none
}

// change is a proposal that was taken.
type acceptedChange struct {
	version uint64
	at      time.Time
}

// tally is what became of jobs.
type jobCounts struct{ sent, answered, unanswered, lost int }

// Play plays a plan, and measures.
func Play(ctx context.Context, p Plan, o Options) (*Result, error) {
	dir, err := os.MkdirTemp("", "scale-") // short: the dispatchers' sockets are in it
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	f := &run{Plan: p, Options: o, ctx: ctx, dir: dir, polls: newClient(), proposals: newClient(), proposeNow: make(chan struct{}, 1)}
	if f.cluster, err = emulator.Open(p.scenario()); err != nil {
		return nil, err
	}
	defer f.cluster.Close()
	defer f.closeAll()
	if err := f.layOut(); err != nil {
		return nil, err
	}
	go f.stalls.run(ctx)
	r, err := f.play()
	if err != nil && o.KeepLogs == "" {
		return nil, err
	}
	if o.KeepLogs != "" {
		err = cmp.Or(err, f.saveLogs())
	}
	return r, err
}

// play starts the fleet, lets it settle, and measures.
func (f *run) play() (*Result, error) {
	started := time.Now()
	if err := f.startAll(); err != nil {
		return nil, err
	}
	if !f.awaitLeases(started.Add(startTimeout)) {
		return nil, errors.New("not all dispatchers had a lease in time")
	}
	leased := time.Now()
	if !sleepUntil(f.ctx, leased.Add(f.Settle)) {
		return nil, f.ctx.Err()
	}
	f.cluster.StartFaults()
	before, err := f.takeSnapshot()
	if err != nil {
		return nil, err
	}
	f.beganAt = before.at
	end := f.beganAt.Add(f.Span)
	var rested snapshot
	var wait sync.WaitGroup
	wait.Go(func() { f.sendJobs(end) })
	if f.Rest > 0 || f.ChangeInterval == 0 {
		if !sleepUntil(f.ctx, f.beganAt.Add(cmp.Or(f.Rest, f.Span))) {
			return nil, f.ctx.Err()
		}
		if rested, err = f.takeSnapshot(); err != nil {
			return nil, err
		}
	}
	proposer := f.newProposer()
	if f.ChangeInterval > 0 {
		wait.Go(func() { proposer.proposeUntil(end) })
	}
	var failed error
	if f.Fault != nil {
		wait.Go(func() { failed = f.injectFault() })
		f.takeSnapshots(end)
	}
	sleepUntil(f.ctx, end)
	after, err := f.takeSnapshot()
	if err != nil {
		return nil, err
	}
	wait.Wait()
	if err := cmp.Or(f.ctx.Err(), failed); err != nil {
		return nil, err
	}
	if f.Fault != nil && f.ChangeInterval > 0 {
		proposer.proposeAfterFault(time.Now().Add(settleTimeout))
	}
	f.awaitNewestVersion(time.Now().Add(settleTimeout))
	if err := f.fetchHollowStates(); err != nil {
		return nil, err
	}
	return f.result(before, rested, after), nil
}

const (
	startTimeout  = 60 * time.Second
	settleTimeout = 12 * time.Second // behind the span, for the last change
)

func sleepUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(at)):
		return true
	}
}

// effectiveStatesOf gives what a dispatcher has acted on by now; of hollow ones as they were read last.
func (f *run) statesOf(m *fleetDispatcher) []faults.EffectiveState {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m.hollow {
		return append(slices.Clone(m.earlierStates), m.effectiveStates...)
	}
	log := m.earlierLogs
	if m.node != nil {
		log += m.node.Log()
	}
	return faults.EffectiveStates(log, time.Now(), m.absences)
}

// readEffectiveStates asks the hollow dispatchers for theirs.
func (f *run) fetchHollowStates() error {
	for _, p := range f.runningHollowProcesses() {
		var all map[string][]faults.EffectiveState
		if err := f.pollJSON("http://"+p.address+"/stands", &all); err != nil {
			return fmt.Errorf("hollow process: %w", err)
		}
		f.mu.Lock()
		for _, m := range p.dispatchers {
			if m.hollowProcess != p {
				continue
			}
			if m.effectiveStates = all[m.name]; len(m.effectiveStates) > 0 {
				m.effectiveStates[len(m.effectiveStates)-1].To = time.Now()
			}
		}
		f.mu.Unlock()
	}
	return nil
}

// waitLeased waits until all hold leases.
func (f *run) awaitLeases(by time.Time) bool {
	return f.awaitAll(by, func(s faults.EffectiveState) bool { return !s.Lapsed })
}

// waitActed waits until all act on the newest version alone, with leases.
func (f *run) awaitNewestVersion(by time.Time) bool {
	newest := uint64(0)
	for _, c := range f.changes {
		newest = max(newest, c.version)
	}
	return f.awaitAll(by, func(s faults.EffectiveState) bool {
		return !s.Lapsed && len(s.Versions) == 1 && s.Versions[0] >= newest
	})
}

func (f *run) awaitAll(by time.Time, holds func(faults.EffectiveState) bool) bool {
	for f.ctx.Err() == nil {
		all := f.fetchHollowStates() == nil
		for _, m := range f.dispatchers {
			if m.role != roleBare && all && !m.absent() {
				s := f.statesOf(m)
				all = len(s) > 0 && holds(s[len(s)-1])
			}
		}
		if all {
			return true
		}
		if !sleepUntil(f.ctx, time.Now().Add(200*time.Millisecond)) || time.Now().After(by) {
			return false
		}
	}
	return false
}

// gone tells whether a dispatcher was killed and has not come back.
func (m *fleetDispatcher) absent() bool {
	return len(m.absences) > 0 && m.absences[len(m.absences)-1].To.IsZero()
}

// read reads all that is counted. Real dispatchers are asked at their doors, which are no part of control. Those that do not
// answer are named in the error, and left out.
func (f *run) takeSnapshot() (r snapshot, err error) {
	r = snapshot{control: map[string]controlCounts{}, pids: map[string]int{}, processSizes: map[int]int{}, voters: map[string]bool{}, usage: map[int]processUsage{}, lateTicks: f.stalls.all()}
	if r.machine, err = readMachineCounters(); err != nil {
		return r, err
	}
	r.pollTraffic, r.proposalTraffic, r.linkTraffic = total(&f.polls.meter), total(&f.proposals.meter), total(&f.linkMeter)
	r.at = time.Now()
	var mu sync.Mutex
	var all []func() error
	var since time.Time
	take := func(pid int, each map[string]controlCounts) error {
		u, err := readProcessUsage(pid)
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		r.usage[pid], r.processSizes[pid] = u, len(each)
		for name, x := range each {
			r.control[name], r.pids[name] = x, pid
		}
		return nil
	}
	role := func(name string, is raftRole) { // mu is held
		if is.Voter {
			r.voters[name] = true
		}
		if is.LeaderSince.After(since) {
			r.leader, since = name, is.LeaderSince
		}
	}
	for _, m := range f.running() {
		if m.hollow {
			continue
		}
		all = append(all, func() error {
			var vars string
			if err := f.pollJSON("http://"+m.node.Admin+"/_vars", &vars); err != nil {
				return fmt.Errorf("%s: %w", m.name, err)
			}
			mu.Lock()
			role(m.name, raftRoleFromLog(m.node.Log()))
			mu.Unlock()
			return take(m.node.Pid(), map[string]controlCounts{m.name: parseVars(vars)})
		})
	}
	for _, p := range f.runningHollowProcesses() {
		all = append(all, func() error {
			var c hollowCounts
			if err := f.pollJSON("http://"+p.address+"/counts", &c); err != nil {
				return fmt.Errorf("hollow process: %w", err)
			}
			mu.Lock()
			r.lateTicks = append(r.lateTicks, c.LateTicks...)
			for name, is := range c.Roles {
				role(name, is)
			}
			mu.Unlock()
			return take(p.cmd.Process.Pid, c.Control)
		})
	}
	return r, inParallel(all)
}

// sample reads each second until then.
func (f *run) takeSnapshots(end time.Time) {
	for n := time.Duration(0); ; n++ {
		at := f.beganAt.Add(n * time.Second)
		if !at.Before(end) || !sleepUntil(f.ctx, at) {
			return
		}
		if time.Since(at) > time.Second { // the last one took long
			continue
		}
		r, err := f.takeSnapshot()
		if err != nil && len(r.usage) == 0 {
			continue // nobody is there
		}
		f.mu.Lock()
		f.snapshots = append(f.snapshots, r)
		f.mu.Unlock()
	}
}

var controlVar = regexp.MustCompile(`(?m)^control_(\w+)_(sent|received|messages)=(\d+)$`)

// parseVars gives what a door's figures say of control.
func parseVars(text string) controlCounts {
	all := controlCounts{}
	for _, m := range controlVar.FindAllStringSubmatch(text, -1) {
		c, n := all[m[1]], uint64(parseNumber(m[3]))
		switch m[2] {
		case "sent":
			c.Sent = n
		case "received":
			c.Received = n
		default:
			c.Messages = n
		}
		all[m[1]] = c
	}
	return all
}

// sendJobs sends each real dispatcher that serves its part of the jobs, open loop; bare ones the same.
func (f *run) sendJobs(end time.Time) {
	targets := slices.DeleteFunc(f.running(), func(m fleetDispatcher) bool { return m.hollow || m.role == roleSetAside })
	rate := f.Rate / float64(f.Dispatchers) * float64(len(targets))
	if rate <= 0 {
		return
	}
	jobs := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	defer jobs.CloseIdleConnections()
	rng := rand.New(rand.NewPCG(f.Seed, 3))
	var wait sync.WaitGroup
	defer wait.Wait()
	for n, at := 0, time.Now(); at.Before(end); n++ {
		if !sleepUntil(f.ctx, at) {
			return
		}
		at = at.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		team := teamName(rng.IntN(max(f.Teams, 1)))
		there := slices.DeleteFunc(f.running(), func(m fleetDispatcher) bool { return m.hollow || m.role == roleSetAside })
		if len(there) > 0 {
			wait.Go(func() { f.sendJob(jobs, there[n%len(there)], n, team) })
		}
	}
}

// jobWithin is how long a client waits.
const jobDeadline = 5 * time.Second

func (f *run) sendJob(jobs *http.Client, m fleetDispatcher, n int, team string) {
	ctx, stop := context.WithDeadline(f.ctx, time.Now().Add(jobDeadline+500*time.Millisecond))
	defer stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/%s", m.node.Address, emulator.ClassName), strings.NewReader("drawing"))
	if err == nil {
		id := fmt.Sprintf("%016x%016x", f.Seed, n)
		for name, v := range map[string]string{"Req-Id": id, "Req-Kind": emulator.ClassName, "Req-Owner": team, "Idempotency-Key": id,
			"Req-Deadline-Ms": fmt.Sprint(jobDeadline.Milliseconds())} {
			r.Header.Set(name, v)
		}
		var resp *http.Response
		if resp, err = jobs.Do(r); err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobCounts.sent++
	killed := slices.ContainsFunc(f.dispatchers, func(o *fleetDispatcher) bool { return o.name == m.name && o.node != m.node })
	switch {
	case err == nil:
		f.jobCounts.answered++
	case killed:
		f.jobCounts.lost++
	default:
		f.jobCounts.unanswered++
	}
}

// keepLogs writes what all have logged.
func (f *run) saveLogs() error {
	if err := os.MkdirAll(f.KeepLogs, 0o755); err != nil {
		return err
	}
	for _, m := range f.dispatchers {
		if m.hollow {
			continue
		}
		text := m.earlierLogs
		if m.node != nil {
			text += m.node.Log()
		}
		if err := os.WriteFile(filepath.Join(f.KeepLogs, m.name+".log"), []byte(text), 0o644); err != nil {
			return err
		}
	}
	for i := range f.hollowProcessesStarted {
		name := fmt.Sprintf("hollow-%d.log", i)
		text, err := os.ReadFile(filepath.Join(f.dir, name))
		if err == nil {
			err = os.WriteFile(filepath.Join(f.KeepLogs, name), text, 0o644)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

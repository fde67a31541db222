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
type change struct {
	version uint64
	at      time.Time
}

// tally is what became of jobs.
type tally struct{ jobs, once, never, lost int }

// Play plays a plan, and measures.
func Play(ctx context.Context, p Plan, o Options) (*Result, error) {
	dir, err := os.MkdirTemp("", "scale-") // short: the dispatchers' sockets are in it
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	f := &stage{Plan: p, Options: o, ctx: ctx, dir: dir, contacts: newClient(), orders: newClient(), hurry: make(chan struct{}, 1)}
	if f.cluster, err = emulator.Open(p.scenario()); err != nil {
		return nil, err
	}
	defer f.cluster.Close()
	defer f.closeAll()
	if err := f.build(); err != nil {
		return nil, err
	}
	go f.late.run(ctx)
	r, err := f.play()
	if err != nil && o.KeepLogs == "" {
		return nil, err
	}
	if o.KeepLogs != "" {
		err = cmp.Or(err, f.keepLogs())
	}
	return r, err
}

// play starts the fleet, lets it settle, and measures.
func (f *stage) play() (*Result, error) {
	started := time.Now()
	if err := f.startAll(); err != nil {
		return nil, err
	}
	if !f.waitLeased(started.Add(startWithin)) {
		return nil, errors.New("not all dispatchers had a lease in time")
	}
	leased := time.Now()
	if !until(f.ctx, leased.Add(f.Settle)) {
		return nil, f.ctx.Err()
	}
	f.cluster.StartFaults()
	before, err := f.read()
	if err != nil {
		return nil, err
	}
	f.begin = before.at
	end := f.begin.Add(f.Span)
	var rested reading
	var wait sync.WaitGroup
	wait.Go(func() { f.sendJobs(end) })
	if f.Rest > 0 || f.Every == 0 {
		if !until(f.ctx, f.begin.Add(cmp.Or(f.Rest, f.Span))) {
			return nil, f.ctx.Err()
		}
		if rested, err = f.read(); err != nil {
			return nil, err
		}
	}
	proposer := f.newProposer()
	if f.Every > 0 {
		wait.Go(func() { proposer.propose(end) })
	}
	var failed error
	if f.Fault != nil {
		wait.Go(func() { failed = f.injectFault() })
		f.sample(end)
	}
	until(f.ctx, end)
	after, err := f.read()
	if err != nil {
		return nil, err
	}
	wait.Wait()
	if err := cmp.Or(f.ctx.Err(), failed); err != nil {
		return nil, err
	}
	if f.Fault != nil && f.Every > 0 {
		proposer.last(time.Now().Add(actWithin))
	}
	f.waitActed(time.Now().Add(actWithin))
	if err := f.readEffectiveStates(); err != nil {
		return nil, err
	}
	return f.account(before, rested, after), nil
}

const (
	startWithin = 60 * time.Second
	actWithin   = 12 * time.Second // behind the span, for the last change
)

func until(ctx context.Context, at time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(at)):
		return true
	}
}

// effectiveStatesOf gives what a dispatcher has acted on by now; of hollow ones as they were read last.
func (f *stage) effectiveStatesOf(m *member) []faults.EffectiveState {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m.hollow {
		return append(slices.Clone(m.past), m.effectiveStates...)
	}
	log := m.logs
	if m.node != nil {
		log += m.node.Log()
	}
	return faults.EffectiveStates(log, time.Now(), m.absences)
}

// readEffectiveStates asks the hollow dispatchers for theirs.
func (f *stage) readEffectiveStates() error {
	for _, p := range f.processes() {
		var all map[string][]faults.EffectiveState
		if err := f.get("http://"+p.at+"/stands", &all); err != nil {
			return fmt.Errorf("hollow process: %w", err)
		}
		f.mu.Lock()
		for _, m := range p.members {
			if m.process != p {
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
func (f *stage) waitLeased(by time.Time) bool {
	return f.waitAll(by, func(s faults.EffectiveState) bool { return !s.Lapsed })
}

// waitActed waits until all act on the newest version alone, with leases.
func (f *stage) waitActed(by time.Time) bool {
	newest := uint64(0)
	for _, c := range f.changes {
		newest = max(newest, c.version)
	}
	return f.waitAll(by, func(s faults.EffectiveState) bool {
		return !s.Lapsed && len(s.Versions) == 1 && s.Versions[0] >= newest
	})
}

func (f *stage) waitAll(by time.Time, holds func(faults.EffectiveState) bool) bool {
	for f.ctx.Err() == nil {
		all := f.readEffectiveStates() == nil
		for _, m := range f.members {
			if m.role != bare && all && !m.gone() {
				s := f.effectiveStatesOf(m)
				all = len(s) > 0 && holds(s[len(s)-1])
			}
		}
		if all {
			return true
		}
		if !until(f.ctx, time.Now().Add(200*time.Millisecond)) || time.Now().After(by) {
			return false
		}
	}
	return false
}

// gone tells whether a dispatcher was killed and has not come back.
func (m *member) gone() bool { return len(m.absences) > 0 && m.absences[len(m.absences)-1].To.IsZero() }

// read reads all that is counted. Real dispatchers are asked at their doors, which are no part of control. Those that do not
// answer are named in the error, and left out.
func (f *stage) read() (r reading, err error) {
	r = reading{control: map[string]control{}, pids: map[string]int{}, sharing: map[int]int{}, seated: map[string]bool{}, used: map[int]usage{}, late: f.late.all()}
	if r.machine, err = machineNow(); err != nil {
		return r, err
	}
	r.own, r.orders, r.linked = total(&f.contacts.meter), total(&f.orders.meter), total(&f.linked)
	r.at = time.Now()
	var mu sync.Mutex
	var all []func() error
	var since time.Time
	take := func(pid int, each map[string]control) error {
		u, err := usageOf(pid)
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		r.used[pid], r.sharing[pid] = u, len(each)
		for name, x := range each {
			r.control[name], r.pids[name] = x, pid
		}
		return nil
	}
	role := func(name string, is Role) { // mu is held
		if is.Seated {
			r.seated[name] = true
		}
		if is.Leads.After(since) {
			r.leads, since = name, is.Leads
		}
	}
	for _, m := range f.there() {
		if m.hollow {
			continue
		}
		all = append(all, func() error {
			var vars string
			if err := f.get("http://"+m.node.Admin+"/_vars", &vars); err != nil {
				return fmt.Errorf("%s: %w", m.name, err)
			}
			mu.Lock()
			role(m.name, roleOf(m.node.Log()))
			mu.Unlock()
			return take(m.node.Pid(), map[string]control{m.name: parseVars(vars)})
		})
	}
	for _, p := range f.processes() {
		all = append(all, func() error {
			var c Counts
			if err := f.get("http://"+p.at+"/counts", &c); err != nil {
				return fmt.Errorf("hollow process: %w", err)
			}
			mu.Lock()
			r.late = append(r.late, c.Late...)
			for name, is := range c.Roles {
				role(name, is)
			}
			mu.Unlock()
			return take(p.cmd.Process.Pid, c.Each)
		})
	}
	return r, together(all)
}

// sample reads each second until then.
func (f *stage) sample(end time.Time) {
	for n := time.Duration(0); ; n++ {
		at := f.begin.Add(n * time.Second)
		if !at.Before(end) || !until(f.ctx, at) {
			return
		}
		if time.Since(at) > time.Second { // the last one took long
			continue
		}
		r, err := f.read()
		if err != nil && len(r.used) == 0 {
			continue // nobody is there
		}
		f.mu.Lock()
		f.samples = append(f.samples, r)
		f.mu.Unlock()
	}
}

var controlVar = regexp.MustCompile(`(?m)^control_(\w+)_(sent|received|messages)=(\d+)$`)

// parseVars gives what a door's figures say of control.
func parseVars(text string) control {
	all := control{}
	for _, m := range controlVar.FindAllStringSubmatch(text, -1) {
		c, n := all[m[1]], uint64(number(m[3]))
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

// roleOf gives a real dispatcher's role in the council, by the log of its life.
func roleOf(log string) (is Role) {
	is.Seated = strings.LastIndex(log, `msg="became voter" `) > strings.LastIndex(log, `msg="no longer a voter" `)
	i := strings.LastIndex(log, `msg="leadership changed" leads=`)
	if i < 0 || !strings.HasPrefix(log[i:], `msg="leadership changed" leads=true`) || !is.Seated {
		return is
	}
	at, _, _ := strings.Cut(log[strings.LastIndexByte(log[:i], '\n')+1:], " ")
	is.Leads, _ = time.Parse(time.RFC3339Nano, strings.TrimPrefix(at, "time="))
	return is
}

// leader is who was elected last, by real dispatchers' logs and what hollow ones said last; empty where nobody was.
func (f *stage) leader() (name string) {
	var since time.Time
	for _, m := range f.there() {
		if m.node == nil || m.role == bare {
			continue
		}
		if is := roleOf(m.node.Log()); is.Leads.After(since) {
			name, since = m.name, is.Leads
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := len(f.samples); n > 0 {
		last := f.samples[n-1]
		i := slices.IndexFunc(f.members, func(m *member) bool { return m.name == last.leads })
		if i >= 0 && f.members[i].hollow && f.members[i].process != nil {
			return last.leads
		}
	}
	return name
}

// sendJobs sends each real dispatcher that serves its part of the jobs, open loop; bare ones the same.
func (f *stage) sendJobs(end time.Time) {
	targets := slices.DeleteFunc(f.there(), func(m member) bool { return m.hollow || m.role == aside })
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
		if !until(f.ctx, at) {
			return
		}
		at = at.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		team := teamName(rng.IntN(max(f.Teams, 1)))
		there := slices.DeleteFunc(f.there(), func(m member) bool { return m.hollow || m.role == aside })
		if len(there) > 0 {
			wait.Go(func() { f.job(jobs, there[n%len(there)], n, team) })
		}
	}
}

// jobWithin is how long a client waits.
const jobWithin = 5 * time.Second

func (f *stage) job(jobs *http.Client, m member, n int, team string) {
	ctx, stop := context.WithDeadline(f.ctx, time.Now().Add(jobWithin+500*time.Millisecond))
	defer stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/%s", m.node.Address, emulator.ClassName), strings.NewReader("drawing"))
	if err == nil {
		id := fmt.Sprintf("%016x%016x", f.Seed, n)
		for name, v := range map[string]string{"Req-Id": id, "Req-Kind": emulator.ClassName, "Req-Owner": team, "Idempotency-Key": id,
			"Req-Deadline-Ms": fmt.Sprint(jobWithin.Milliseconds())} {
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
	f.jobs.jobs++
	killed := slices.ContainsFunc(f.members, func(o *member) bool { return o.name == m.name && o.node != m.node })
	switch {
	case err == nil:
		f.jobs.once++
	case killed:
		f.jobs.lost++
	default:
		f.jobs.never++
	}
}

// keepLogs writes what all have logged.
func (f *stage) keepLogs() error {
	if err := os.MkdirAll(f.KeepLogs, 0o755); err != nil {
		return err
	}
	for _, m := range f.members {
		if m.hollow {
			continue
		}
		text := m.logs
		if m.node != nil {
			text += m.node.Log()
		}
		if err := os.WriteFile(filepath.Join(f.KeepLogs, m.name+".log"), []byte(text), 0o644); err != nil {
			return err
		}
	}
	for i := range f.started {
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

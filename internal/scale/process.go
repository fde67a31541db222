package scale

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"brassdale/internal/faults"
)

// process holds hollow dispatchers, all of one zone.
type hollowProcess struct {
	dispatchers []*fleetDispatcher
	cmd         *exec.Cmd
	stdin       io.Closer
	logPath     string // its file
	address     string // where it is asked
	exited      chan struct{}
}

// startHollow starts a process of hollow dispatchers.
func (f *run) startHollowProcess(group []*fleetDispatcher) error {
	f.mu.Lock()
	n := f.hollowProcessesStarted
	f.hollowProcessesStarted++
	f.mu.Unlock()
	config, err := f.writeConfig(f.listeners()-1, fmt.Sprint("hollow-", n))
	if err != nil {
		return err
	}
	zone := group[0].zone
	spec := HollowSpec{ConfigPath: config, Directory: f.dir, Fleet: fleetName, Zone: zoneName(zone), Region: regionName(f.region(zone)),
		LeaseDuration: f.LeaseDuration.String(), ReplaceAfter: f.ReplaceAfter.String(), Voters: f.voterAddresses, FleetSize: f.Dispatchers, Capacity: f.zoneCapacity(), Workers: f.Workers,
		Rate: f.Rate / float64(f.Dispatchers), Failover: f.failover, Overload: f.overload, AddressOverrides: f.addressOverrides(f.region(zone)), Seed: f.Seed*1000 + uint64(n), Bare: group[0].role == roleBare}
	for _, m := range group {
		spec.Dispatchers = append(spec.Dispatchers, HollowDispatcherSpec{m.name, m.fleetAddress})
	}
	path := filepath.Join(f.dir, fmt.Sprintf("hollow-%d.json", n))
	text, err := json.Marshal(spec)
	if err == nil {
		err = os.WriteFile(path, text, 0o600)
	}
	if err != nil {
		return err
	}
	p := &hollowProcess{dispatchers: group, logPath: filepath.Join(f.dir, fmt.Sprintf("hollow-%d.log", n)), exited: make(chan struct{})}
	log, err := os.Create(p.logPath)
	if err != nil {
		return err
	}
	defer log.Close() // the process has its own
	p.cmd = exec.Command(f.Self, append(slices.Clone(f.HollowArgs), path)...)
	p.cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	p.cmd.Stderr = log
	if p.stdin, err = p.cmd.StdinPipe(); err != nil {
		return err
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	said := make(chan string, 1)
	go func() {
		line, _ := bufio.NewReader(out).ReadString('\n')
		said <- strings.TrimSpace(line)
		_, _ = io.Copy(io.Discard, out)
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	if p.address = <-said; p.address == "" {
		p.kill()
		text, _ := os.ReadFile(p.logPath)
		return fmt.Errorf("hollow process %d ended before it was ready: %s", n, text)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hollowProcesses = append(f.hollowProcesses, p)
	for _, m := range group {
		m.hollowProcess = p
		m.life++
	}
	return nil
}

// kill ends a process at once.
func (p *hollowProcess) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// stood gives what a hollow dispatcher acted on, by its process's log.
func statesFromLog(log, name string, end time.Time) []faults.EffectiveState {
	var own strings.Builder
	mark := " hollow=" + name + " "
	for line := range strings.Lines(log) {
		if before, after, ok := strings.Cut(line, mark); ok {
			own.WriteString(before + " " + after)
		}
	}
	return faults.EffectiveStates(own.String(), end, nil)
}

// startAll starts the seats, then all others at once.
func (f *run) startAll() error {
	var seats, others []func() error
	for _, m := range f.dispatchers {
		switch {
		case m.hollow:
		case m.voterNumber > 0:
			seats = append(seats, func() error { return f.startDispatcher(m) })
		default:
			others = append(others, func() error { return f.startDispatcher(m) })
		}
	}
	for _, g := range f.hollowGroups {
		others = append(others, func() error { return f.startHollowProcess(g) })
	}
	return cmp.Or(inParallel(seats), inParallel(others))
}

// closeAll ends what was started.
func (f *run) closeAll() {
	for _, m := range f.running() {
		if m.node != nil {
			m.node.Kill()
		}
	}
	for _, p := range f.runningHollowProcesses() {
		p.kill()
	}
	for _, links := range f.links {
		for _, l := range links {
			l.Close()
		}
	}
	for _, h := range f.proxies {
		h.Close()
	}
	f.polls.http.CloseIdleConnections()
	f.proposals.http.CloseIdleConnections()
}

// there are the members that are, as they are now.
func (f *run) running() (all []fleetDispatcher) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.dispatchers {
		if m.node != nil || m.hollowProcess != nil {
			all = append(all, *m)
		}
	}
	return all
}

// processes are those of hollow dispatchers that are there.
func (f *run) runningHollowProcesses() []*hollowProcess {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.hollowProcesses)
}

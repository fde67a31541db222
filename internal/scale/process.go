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
type process struct {
	members []*member
	cmd     *exec.Cmd
	pipe    io.Closer
	log     string // its file
	at      string // where it is asked
	ended   chan struct{}
}

// startHollow starts a process of hollow dispatchers.
func (f *stage) startHollow(group []*member) error {
	f.mu.Lock()
	n := f.started
	f.started++
	f.mu.Unlock()
	config, err := f.config(f.listeners()-1, fmt.Sprint("hollow-", n))
	if err != nil {
		return err
	}
	zone := group[0].zone
	spec := Spec{Config: config, Directory: f.dir, Fleet: fleetName, Zone: zoneName(zone), Region: regionName(f.region(zone)),
		Bound: f.Bound.String(), Replace: f.Replace.String(), Voters: f.voters, Among: f.Dispatchers, Capacity: f.capacity(), Workers: f.Workers,
		Rate: f.Rate / float64(f.Dispatchers), Failover: f.failover, Overload: f.overload, Reach: f.reach(f.region(zone)), Seed: f.Seed*1000 + uint64(n), Bare: group[0].role == bare}
	for _, m := range group {
		spec.Each = append(spec.Each, HollowSpec{m.name, m.address})
	}
	path := filepath.Join(f.dir, fmt.Sprintf("hollow-%d.json", n))
	text, err := json.Marshal(spec)
	if err == nil {
		err = os.WriteFile(path, text, 0o600)
	}
	if err != nil {
		return err
	}
	p := &process{members: group, log: filepath.Join(f.dir, fmt.Sprintf("hollow-%d.log", n)), ended: make(chan struct{})}
	log, err := os.Create(p.log)
	if err != nil {
		return err
	}
	defer log.Close() // the process has its own
	p.cmd = exec.Command(f.Self, append(slices.Clone(f.HollowArgs), path)...)
	p.cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	p.cmd.Stderr = log
	if p.pipe, err = p.cmd.StdinPipe(); err != nil {
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
		close(p.ended)
	}()
	if p.at = <-said; p.at == "" {
		p.kill()
		text, _ := os.ReadFile(p.log)
		return fmt.Errorf("hollow process %d ended before it was ready: %s", n, text)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hollow = append(f.hollow, p)
	for _, m := range group {
		m.process = p
		m.life++
	}
	return nil
}

// kill ends a process at once.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// stood gives what a hollow dispatcher acted on, by its process's log.
func stood(log, name string, end time.Time) []faults.EffectiveState {
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
func (f *stage) startAll() error {
	var seats, others []func() error
	for _, m := range f.members {
		switch {
		case m.hollow:
		case m.voter > 0:
			seats = append(seats, func() error { return f.start(m) })
		default:
			others = append(others, func() error { return f.start(m) })
		}
	}
	for _, g := range f.groups {
		others = append(others, func() error { return f.startHollow(g) })
	}
	return cmp.Or(together(seats), together(others))
}

// closeAll ends what was started.
func (f *stage) closeAll() {
	for _, m := range f.there() {
		if m.node != nil {
			m.node.Kill()
		}
	}
	for _, p := range f.processes() {
		p.kill()
	}
	for _, links := range f.links {
		for _, l := range links {
			l.Close()
		}
	}
	for _, h := range f.hops {
		h.Close()
	}
	f.contacts.http.CloseIdleConnections()
	f.orders.http.CloseIdleConnections()
}

// there are the members that are, as they are now.
func (f *stage) there() (all []member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		if m.node != nil || m.process != nil {
			all = append(all, *m)
		}
	}
	return all
}

// processes are those of hollow dispatchers that are there.
func (f *stage) processes() []*process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.hollow)
}

package scale

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"brassdale/internal/emulator"
	"brassdale/internal/faults"
	"brassdale/internal/fleet"
	"brassdale/internal/traffic"
)

// role is what a dispatcher of the fleet is there for.
type role string

const (
	serves role = "dispatcher"
	aside  role = "set aside"
	bare   role = "bare" // agrees on nothing
)

// member is a dispatcher of the fleet.
type member struct {
	name    string
	role    role
	address string // for the others
	zone    int
	seat    int            // in the first council; 0 for none
	door    int            // of a real one
	node    *emulator.Node // nil for a hollow one
	process *process       // nil for a real one
	stands  []faults.Stand // of a hollow one
	away    []faults.Away
}

// process holds hollow dispatchers.
type process struct {
	zone    int
	members []*member
	cmd     *exec.Cmd
	pipe    io.Closer
	at      string // where it is asked
	ended   chan struct{}
}

// stage is a fleet being played.
type stage struct {
	Plan
	Options
	ctx      context.Context
	works    *emulator.Works
	dir      string
	members  []*member
	hollow   []*process
	voters   []string
	failover *fleet.Failover
	overload *fleet.Overload
	asks     *client // of counts
	orders   *client // of changes
	late     ticker
	begin    time.Time // of the measured span

	mu      sync.Mutex
	changes []change
	jobs    tally
}

// client is HTTP of the runner's own, counted, as it goes over the same interface.
type client struct {
	http  *http.Client
	meter traffic.Meter
}

func newClient() *client {
	c := &client{}
	c.http = &http.Client{Transport: &http.Transport{DialContext: c.meter.Dial(&net.Dialer{}), MaxIdleConnsPerHost: 2}}
	return c
}

func zoneName(n int) string { return fmt.Sprint("z", n) }

// region gives a zone's, as the works deal them.
func (p *Plan) region(zone int) int { return zone * p.Regions / p.Zones }

func regionName(n int) string { return fmt.Sprint("r", n) }

// addresses of this run alone: a port that was free for a moment may be given to somebody's connection. Connections leave
// from 127.0.0.1.
func address(n int) (string, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("127.88.%d.%d:0", (os.Getpid()+n/200)%250+1, n%200+1))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// scenario is the works' part of a plan.
func (p *Plan) scenario() emulator.Scenario {
	s := emulator.LlanelliWorks(p.Seed)
	s.Dispatchers, s.Span = p.doors(), p.Settle+p.Span
	most := p.Accelerators / p.Workers
	more := p.Accelerators - most*p.Workers
	s.Kinds = []emulator.Kind{{Name: "box", Count: p.Workers - more, Slots: most, SpeedMin: 0.9, SpeedMax: 1.1},
		{Name: "large-box", Count: more, Slots: most + 1, SpeedMin: 0.9, SpeedMax: 1.1}}
	s.Network.Zones, s.Network.Regions, s.Network.CrossPrice, s.Network.Cross = p.Zones, p.Regions, 0.03, 5*time.Millisecond
	s.Traffic.Work, s.Traffic.Subjects, s.Traffic.Rate = hollowWork.Seconds(), 0, max(p.Rate, 1)
	s.Traffic.Accounts = nil
	for i := range p.Teams {
		s.Traffic.Accounts = append(s.Traffic.Accounts, emulator.Account{Name: teamName(i), Share: 1})
	}
	share := 1 / float64(p.Workers) // one at a time
	repeat := func(every time.Duration, kind emulator.Trouble, lasts time.Duration) {
		for at := every; every > 0 && at+lasts < p.Span; at += every {
			s.Faults = append(s.Faults, emulator.Fault{At: at, For: lasts, Kind: kind, Share: share})
		}
	}
	repeat(p.Restarts, emulator.Restart, time.Second)
	repeat(p.Drains, emulator.Drain, drainFor)
	return s
}

// drainFor is how long a worker that leaves is there for what it has.
const drainFor = 4 * time.Second

func teamName(n int) string { return fmt.Sprint("team-", n+1) }

// capacity are the slots of each zone.
func (p *Plan) capacity() map[string]float64 {
	all := map[string]float64{}
	for i := range p.Workers { // as the works deal them: the smaller ones first
		slots := p.Accelerators / p.Workers
		if i >= p.Workers-(p.Accelerators-slots*p.Workers) {
			slots++
		}
		all[zoneName(i%p.Zones)] += float64(slots)
	}
	return all
}

// build names who is there, and where.
func (f *stage) build() error {
	n := 0
	add := func(m *member) error {
		at, err := address(n)
		n++
		m.address = at
		f.members = append(f.members, m)
		return err
	}
	for i := range f.SetAside + f.Real() + f.Bare {
		m := &member{name: fmt.Sprint("n", i), role: serves, zone: i % f.Zones, door: i}
		if i < f.SetAside {
			m.role = aside
		}
		if i < f.Seats {
			m.seat = i + 1
		}
		if i >= f.SetAside+f.Real() {
			m.role = bare
		}
		if err := add(m); err != nil {
			return err
		}
	}
	for i := range f.Processes {
		p := &process{zone: i % f.Zones}
		f.hollow = append(f.hollow, p)
	}
	for i := range f.Hollow {
		p := f.hollow[i%f.Processes]
		m := &member{name: fmt.Sprint("h", i), role: serves, zone: p.zone, process: p}
		p.members = append(p.members, m)
		if err := add(m); err != nil {
			return err
		}
	}
	for _, m := range f.members[:f.Seats] {
		f.voters = append(f.voters, m.address)
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
	f.failover, f.overload = &zones, &fleet.Overload{Retries: 0.1, Probes: 40}
	return nil
}

const fleetName = "rig"

// operator is a real dispatcher's file.
func (f *stage) operator(m *member) string {
	var b strings.Builder
	fmt.Fprintf(&b, "council {\n fleet = %q\n listen = %q\n seat = %d\n directory = %q\n bound = %q\n replace = %q\n region = %q\n zone = %q\n voters = [",
		fleetName, m.address, m.seat, filepath.Join(f.dir, "disk-"+m.name), f.Bound, f.Replace, regionName(f.region(m.zone)), zoneName(m.zone))
	for _, v := range f.voters {
		fmt.Fprintf(&b, "%q, ", v)
	}
	b.WriteString("]\n}\nfailover {\n")
	for _, r := range f.failover.Regions {
		fmt.Fprintf(&b, " region %q {\n  zones = [", r.Name)
		for _, z := range r.Zones {
			fmt.Fprintf(&b, "%q, ", z)
		}
		b.WriteString("]\n }\n")
	}
	fmt.Fprintf(&b, " headroom = %g\n return_in = %q\n alone = %q\n detect = %q\n}\noverload {\n retries = %g\n probes = %g\n}\n",
		f.failover.Headroom, f.failover.ReturnIn, f.failover.Alone, f.failover.Detect, f.overload.Retries, f.overload.Probes)
	return b.String()
}

// config writes the platform's file of a door for somebody, with the number of dispatchers that the whole fleet has.
func (f *stage) config(door int, whose string) (path string, err error) {
	text, err := f.works.Config(door)
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
	if text, err = json.Marshal(all); err != nil {
		return "", err
	}
	path = filepath.Join(f.dir, "config-"+whose+".json")
	return path, os.WriteFile(path, text, 0o600)
}

// start starts a real dispatcher.
func (f *stage) start(m *member) error {
	config, err := f.config(m.door, m.name)
	if err != nil {
		return err
	}
	args := []string{"serve"}
	if m.role != bare {
		path := filepath.Join(f.dir, "operator-"+m.name+".hcl")
		if err := os.WriteFile(path, []byte(f.operator(m)), 0o600); err != nil {
			return err
		}
		args = append(args, "--operator", path)
	}
	node, err := f.works.StartWith(f.ctx, f.Binary, f.dir, m.door, []string{"GW_CONFIG=" + config}, args...)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	m.node = node
	return nil
}

// startHollow starts a process of hollow dispatchers.
func (f *stage) startHollow(n int, p *process) error {
	config, err := f.config(f.doors()-1, fmt.Sprint("hollow-", n))
	if err != nil {
		return err
	}
	spec := Spec{Config: config, Directory: f.dir, Fleet: fleetName, Zone: zoneName(p.zone), Region: regionName(f.region(p.zone)),
		Bound: f.Bound.String(), Replace: f.Replace.String(), Voters: f.voters, Among: f.Dispatchers, Capacity: f.capacity(),
		Rate: f.Rate / float64(f.Dispatchers), Failover: f.failover, Overload: f.overload, Seed: f.Seed*1000 + uint64(n)}
	for _, m := range p.members {
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
	log, err := os.Create(filepath.Join(f.dir, fmt.Sprintf("hollow-%d.log", n)))
	if err != nil {
		return err
	}
	defer log.Close() // the process has its own
	p.cmd = exec.Command(f.Self, append(slices.Clone(f.HollowArgs), path)...)
	p.cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	p.cmd.Stderr = log
	in, err := p.cmd.StdinPipe()
	if err != nil {
		return err
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.pipe, p.ended = in, make(chan struct{})
	said := make(chan string, 1)
	go func() {
		line, _ := bufio.NewReader(out).ReadString('\n')
		said <- strings.TrimSpace(line)
		_, _ = io.Copy(io.Discard, out)
		_ = p.cmd.Wait()
		close(p.ended)
	}()
	if p.at = <-said; p.at == "" {
		text, _ := os.ReadFile(log.Name())
		return fmt.Errorf("hollow process %d ended before it was ready: %s", n, text)
	}
	return nil
}

// kill ends a process at once.
func (p *process) kill() {
	if p.ended != nil {
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
}

// startAll starts the seats, then all others at once.
func (f *stage) startAll() error {
	var seats, others []func() error
	for _, m := range f.members {
		if m.process != nil {
			continue
		}
		if m.seat > 0 {
			seats = append(seats, func() error { return f.start(m) })
		} else {
			others = append(others, func() error { return f.start(m) })
		}
	}
	for i, p := range f.hollow {
		others = append(others, func() error { return f.startHollow(i, p) })
	}
	return cmp.Or(together(seats), together(others))
}

func together(all []func() error) error {
	errs := make([]error, len(all))
	var wait sync.WaitGroup
	for i, do := range all {
		wait.Go(func() { errs[i] = do() })
	}
	wait.Wait()
	return errors.Join(errs...)
}

// closeAll ends what was started.
func (f *stage) closeAll() {
	for _, m := range f.members {
		if m.node != nil {
			m.node.Kill()
		}
	}
	for _, p := range f.hollow {
		p.kill()
	}
	f.asks.http.CloseIdleConnections()
	f.orders.http.CloseIdleConnections()
}

// get asks the runner's own questions.
func (f *stage) get(url string, to any) error {
	ctx, stop := context.WithDeadline(f.ctx, time.Now().Add(askWithin))
	defer stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := f.asks.http.Do(r)
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

const askWithin = 5 * time.Second

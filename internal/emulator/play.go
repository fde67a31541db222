package emulator

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"brassdale/internal/load"
	"brassdale/scheduler"
)

// socketSlack is how much longer the rules' limits are on sockets, as the protocol words it.
const socketSlack = 50 * time.Millisecond

// Node is a real dispatcher at a works' door.
type Node struct {
	Address string // where clients reach it
	Admin   string // where operators do
	cmd     *exec.Cmd
	ended   chan struct{}
	mu      sync.Mutex
	log     strings.Builder
	ready   chan struct{}
	once    sync.Once
}

// Start starts a dispatcher's program at the n-th door, with a folder of its own for its files, and waits until it serves.
func (k *Cluster) Start(ctx context.Context, binary, dir string, n int, args ...string) (*Node, error) {
	return k.StartWith(ctx, binary, dir, n, nil, args...)
}

// StartWith does it with variables of the environment beside the usual.
func (k *Cluster) StartWith(ctx context.Context, binary, dir string, n int, env []string, args ...string) (*Node, error) {
	path, err := k.Write(dir, n)
	if err != nil {
		return nil, err
	}
	k.Present(n, true)
	d := &Node{cmd: exec.Command(binary, args...), ended: make(chan struct{}), ready: make(chan struct{})}
	d.cmd.Env = append(os.Environ(), "GW_CONFIG="+path, "GW_ADMIN=127.0.0.1:0", "TMPDIR="+filepath.Dir(path))
	d.cmd.Env = append(d.cmd.Env, env...)
	errs, err := d.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := d.cmd.Start(); err != nil {
		return nil, err
	}
	go d.follow(errs)
	select {
	case <-d.ready:
		return d, nil
	case <-d.ended:
		return nil, fmt.Errorf("dispatcher %d ended before it was ready:\n%s", n, d.Log())
	case <-ctx.Done():
		d.Kill()
		return nil, ctx.Err()
	}
}

// Write writes the platform's file for the n-th dispatcher into a folder of its own, and gives its path.
func (k *Cluster) Write(dir string, n int) (path string, err error) {
	text, err := k.Config(n)
	if err != nil {
		return "", err
	}
	path = filepath.Join(dir, fmt.Sprint(n), "config.json")
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return "", err
	}
	return path, os.WriteFile(path, text, 0o600)
}

// follow reads the log to its end.
func (d *Node) follow(from io.Reader) {
	defer close(d.ended)
	lines := bufio.NewScanner(from)
	for lines.Scan() {
		text := lines.Text()
		d.mu.Lock()
		d.log.WriteString(text + "\n")
		for front, to := range map[string]*string{"front=inbound address=": &d.Address, "front=admin address=": &d.Admin} {
			if _, address, ok := strings.Cut(text, front); ok {
				*to = address
			}
		}
		d.mu.Unlock()
		if strings.Contains(text, "msg=ready") {
			d.once.Do(func() { close(d.ready) })
		}
	}
	_ = d.cmd.Wait()
}

// Pid is its process's number.
func (d *Node) Pid() int { return d.cmd.Process.Pid }

// Log is what it has logged.
func (d *Node) Log() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.log.String()
}

// Stop has it end in good order, and tells whether it did by itself with no fault.
func (d *Node) Stop(by time.Time) error {
	_ = d.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-d.ended:
	case <-time.After(time.Until(by)):
		d.Kill()
		return errors.New("it did not end")
	}
	if code := d.cmd.ProcessState.ExitCode(); code != 0 {
		return fmt.Errorf("exit code %d", code)
	}
	return nil
}

// Signal sends it a signal.
func (d *Node) Signal(s os.Signal) error { return d.cmd.Process.Signal(s) }

// Breaches are the rules that were broken by now.
func (k *Cluster) Breaches() (all []Breach) {
	got := make(chan []Breach, 1)
	k.w.post(func() { got <- append([]Breach(nil), k.w.audit.breach...) })
	return <-got
}

// Costs is when first calls, further ones and probes came, by all dispatchers.
type Costs struct{ Firsts, Furthers, Probes []time.Duration }

// Spent gives it.
func (k *Cluster) Spent() Costs {
	got := make(chan Costs, 1)
	k.w.post(func() { got <- Costs{slices.Clone(k.firsts), slices.Clone(k.furthers), slices.Clone(k.requestedAt)} })
	return <-got
}

// Load is what has come to the boxes.
type Load struct {
	Sends, Crossings int
	Peak             float64 // most work that came to a zone over some seconds, of what it could do
}

// Load gives it.
func (k *Cluster) Load() Load {
	got := make(chan Load, 1)
	k.w.post(func() { got <- Load{k.w.sends, k.w.crossings, k.w.peak()} })
	return <-got
}

// InTime tells whether an answer so long after the client asked counts, by the job's result, which says its work.
func (s *Scenario) InTime(result string, after time.Duration) bool {
	work, err := strconv.ParseFloat(result, 64)
	return err == nil && after.Seconds() <= s.Traffic.Aim.Seconds()+s.Traffic.Stretch*work
}

// Workers are the works' boxes.
func (k *Cluster) Workers() (ids []scheduler.WorkerID) {
	for _, b := range k.w.workers {
		ids = append(ids, b.id)
	}
	return ids
}

// ClassName is the works' class, the first part of its jobs' path.
const ClassName = className

// Kill ends it at once.
func (d *Node) Kill() {
	_ = d.cmd.Process.Kill()
	<-d.ended
}

// Ended is closed when it has.
func (d *Node) Ended() <-chan struct{} { return d.ended }

// Mix is what the scenario's clients are, in the load generator's terms.
func (s *Scenario) Mix() load.Mix {
	m := load.Mix{}
	for _, a := range s.Traffic.Accounts {
		m.Accounts = append(m.Accounts, load.Account{Name: a.Name, Share: a.Share})
	}
	return m
}

// Terms are what they do and want.
func (s *Scenario) Terms() load.Terms {
	return load.Terms{Class: className, GiveUp: s.Traffic.GiveUp,
		Retry: load.Retry{Max: 1, Share: s.Traffic.Retries, Wait: 100 * time.Millisecond, Honour: true}}
}

// jobs gives a plan's jobs the keys that boxes know the work by.
type jobs struct {
	load.Source
	s *Scenario
	n int
}

func (j *jobs) Next() (load.Job, bool) {
	next, ok := j.Source.Next()
	j.n++
	next.Key = j.s.jobKey(j.n)
	if subject := j.s.jobOf(next.Key).subject; subject > 0 {
		next.Subject = fmt.Sprintf("%016x", subject)
	}
	return next, ok
}

// Jobs gives the scenario's traffic as a plan.
func (s *Scenario) Jobs() load.Source {
	return &jobs{Source: load.Generated([]load.Phase{{Shape: load.Poisson, For: s.Span, Rate: s.Traffic.Rate}}, s.Mix(), s.Seed), s: s}
}

// Play plays a scenario on loopback sockets, in real time, with a real dispatcher's program at each door. The result is
// Run's, as seen by the clients and the boxes; it is of no use, and says so, if the generator fell behind.
func Play(ctx context.Context, s Scenario, binary string) (r *Result, err error) {
	k, err := Open(s)
	if err != nil {
		return nil, err
	}
	defer k.Close()
	dir, err := os.MkdirTemp("", "works") // short: the dispatchers' sockets are in it
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	var targets []string
	for n := range s.Dispatchers {
		d, err := k.Start(ctx, binary, dir, n)
		if err != nil {
			return nil, err
		}
		defer d.Kill()
		targets = append(targets, d.Address)
		go func() { // one that ends by itself has crashed: its clients' jobs tell; this names it
			<-d.Ended()
			k.w.post(func() { k.w.note("dispatcher %d ended", n) })
		}()
	}
	c, err := load.NewClient(load.HTTP1, className, targets)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	k.StartFaults()
	o := load.Options{Terms: s.Terms(), Seed: s.Seed, Each: k.account}
	g := load.Run(ctx, s.Jobs(), c, o)
	if err := g.Usable(); err != nil {
		return nil, err
	}
	if g.CutShort {
		err = context.Canceled
	}
	got := make(chan *Result, 1)
	k.w.post(func() { got <- k.w.result() })
	return <-got, err
}

// account takes a job's end, as its client saw it.
func (k *Cluster) account(j load.Job, o load.Outcome, latency time.Duration) {
	job := k.w.s.jobOf(j.Key)
	k.w.post(func() {
		t := &k.w.tallies[0]
		for i, a := range k.w.s.Traffic.Accounts {
			if a.Name == j.Account {
				t = &k.w.tallies[i]
			}
		}
		t.countRequest(job.work)
		v := failed
		switch o {
		case load.Served, load.Late:
			v = served
		case load.Refused:
			v = refused
		case load.Unanswered:
			k.w.audit.addBreach(RuleAnswer, k.w.now, 0, "", "job %s: no answer in %v", j.Key, latency)
		}
		k.w.count(t, v, job, latency)
	})
}

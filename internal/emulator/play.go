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
	Address   string // where clients reach it
	Admin     string // where operators do
	cmd       *exec.Cmd
	ended     chan struct{}
	mu        sync.Mutex
	log       strings.Builder
	ready     chan struct{}
	readyOnce sync.Once
}

// Start starts a dispatcher's program at the n-th door, with a folder of its own for its files, and waits until it serves.
func (k *Cluster) Start(ctx context.Context, binary, dir string, n int, args ...string) (*Node, error) {
	return k.StartWith(ctx, binary, dir, n, nil, args...)
}

// StartWith does it with variables of the environment beside the usual.
func (k *Cluster) StartWith(ctx context.Context, binary, dir string, dispatcher int, env []string, args ...string) (*Node, error) {
	path, err := k.Write(dir, dispatcher)
	if err != nil {
		return nil, err
	}
	k.Present(dispatcher, true)
	node := &Node{cmd: exec.Command(binary, args...), ended: make(chan struct{}), ready: make(chan struct{})}
	node.cmd.Env = append(os.Environ(), "GW_CONFIG="+path, "GW_ADMIN=127.0.0.1:0", "TMPDIR="+filepath.Dir(path))
	node.cmd.Env = append(node.cmd.Env, env...)
	stderr, err := node.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := node.cmd.Start(); err != nil {
		return nil, err
	}
	go node.follow(stderr)
	select {
	case <-node.ready:
		return node, nil
	case <-node.ended:
		return nil, fmt.Errorf("dispatcher %d ended before it was ready:\n%s", dispatcher, node.Log())
	case <-ctx.Done():
		node.Kill()
		return nil, ctx.Err()
	}
}

// Write writes the platform's file for the n-th dispatcher into a folder of its own, and gives its path.
func (k *Cluster) Write(dir string, dispatcher int) (path string, err error) {
	config, err := k.Config(dispatcher)
	if err != nil {
		return "", err
	}
	path = filepath.Join(dir, fmt.Sprint(dispatcher), "config.json")
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return "", err
	}
	return path, os.WriteFile(path, config, 0o600)
}

// follow reads the log to its end.
func (d *Node) follow(stderr io.Reader) {
	defer close(d.ended)
	lines := bufio.NewScanner(stderr)
	for lines.Scan() {
		line := lines.Text()
		d.mu.Lock()
		d.log.WriteString(line + "\n")
		for prefix, target := range map[string]*string{"front=inbound address=": &d.Address, "front=admin address=": &d.Admin} {
			if _, address, ok := strings.Cut(line, prefix); ok {
				*target = address
			}
		}
		d.mu.Unlock()
		if strings.Contains(line, "msg=ready") {
			d.readyOnce.Do(func() { close(d.ready) })
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
	k.sim.post(func() { got <- append([]Breach(nil), k.sim.audit.breaches...) })
	return <-got
}

// Costs is when first calls, further ones and probes came, by all dispatchers.
type Costs struct{ Firsts, Furthers, Probes []time.Duration }

// Spent gives it.
func (k *Cluster) Spent() Costs {
	got := make(chan Costs, 1)
	k.sim.post(func() {
		got <- Costs{slices.Clone(k.firstAttempts), slices.Clone(k.furtherAttempts), slices.Clone(k.probedAt)}
	})
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
	k.sim.post(func() { got <- Load{k.sim.attemptsSent, k.sim.crossings, k.sim.peakZoneLoad()} })
	return <-got
}

// InTime tells whether an answer so long after the client asked counts, by the job's result, which says its work.
func (s *Scenario) InTime(result string, after time.Duration) bool {
	work, err := strconv.ParseFloat(result, 64)
	return err == nil && after.Seconds() <= s.Traffic.Aim.Seconds()+s.Traffic.Stretch*work
}

// Workers are the works' boxes.
func (k *Cluster) Workers() (ids []scheduler.WorkerID) {
	for _, worker := range k.sim.workers {
		ids = append(ids, worker.id)
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
	mix := load.Mix{}
	for _, account := range s.Traffic.Accounts {
		mix.Accounts = append(mix.Accounts, load.Account{Name: account.Name, Share: account.Share})
	}
	return mix
}

// Terms are what they do and want.
func (s *Scenario) Terms() load.Terms {
	return load.Terms{Class: className, GiveUp: s.Traffic.GiveUp,
		Retry: load.Retry{Max: 1, Share: s.Traffic.Retries, Wait: 100 * time.Millisecond, Honour: true}}
}

// keyedJobs gives a plan's keyedJobs the keys that boxes know the work by.
type keyedJobs struct {
	load.Source
	scenario *Scenario
	count    int
}

func (j *keyedJobs) Next() (load.Job, bool) {
	next, ok := j.Source.Next()
	j.count++
	next.Key = j.scenario.jobKey(j.count)
	if subject := j.scenario.jobOf(next.Key).subject; subject > 0 {
		next.Subject = fmt.Sprintf("%016x", subject)
	}
	return next, ok
}

// Jobs gives the scenario's traffic as a plan.
func (s *Scenario) Jobs() load.Source {
	return &keyedJobs{Source: load.Generated([]load.Phase{{Shape: load.Poisson, For: s.Span, Rate: s.Traffic.Rate}}, s.Mix(), s.Seed), scenario: s}
}

// Play plays a scenario on loopback sockets, in real time, with a real dispatcher's program at each door. The result is
// Run's, as seen by the clients and the boxes; it is of no use, and says so, if the generator fell behind.
func Play(ctx context.Context, scenario Scenario, binary string) (result *Result, err error) {
	cluster, err := Open(scenario)
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	dir, err := os.MkdirTemp("", "works") // short: the dispatchers' sockets are in it
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	var targets []string
	for dispatcher := range scenario.Dispatchers {
		node, err := cluster.Start(ctx, binary, dir, dispatcher)
		if err != nil {
			return nil, err
		}
		defer node.Kill()
		targets = append(targets, node.Address)
		go func() { // one that ends by itself has crashed: its clients' jobs tell; this names it
			<-node.Ended()
			cluster.sim.post(func() { cluster.sim.addNote("dispatcher %d ended", dispatcher) })
		}()
	}
	client, err := load.NewClient(load.HTTP1, className, targets)
	if err != nil {
		return nil, err
	}
	defer client.Close()
	cluster.StartFaults()
	options := load.Options{Terms: scenario.Terms(), Seed: scenario.Seed, Each: cluster.recordJob}
	generated := load.Run(ctx, scenario.Jobs(), client, options)
	if err := generated.Usable(); err != nil {
		return nil, err
	}
	if generated.CutShort {
		err = context.Canceled
	}
	got := make(chan *Result, 1)
	cluster.sim.post(func() { got <- cluster.sim.result() })
	return <-got, err
}

// recordJob takes a job's end, as its client saw it.
func (k *Cluster) recordJob(planned load.Job, outcome load.Outcome, latency time.Duration) {
	job := k.sim.scenario.jobOf(planned.Key)
	k.sim.post(func() {
		stats := &k.sim.statsByAccount[0]
		for i, account := range k.sim.scenario.Traffic.Accounts {
			if account.Name == planned.Account {
				stats = &k.sim.statsByAccount[i]
			}
		}
		stats.countRequest(job.work)
		ended := outcomeFailed
		switch outcome {
		case load.Served, load.Late:
			ended = outcomeServed
		case load.Refused:
			ended = outcomeRejected
		case load.Unanswered:
			k.sim.audit.addBreach(RuleAnswer, k.sim.now, 0, "", "job %s: no answer in %v", planned.Key, latency)
		}
		k.sim.recordOutcome(stats, ended, job, latency)
	})
}

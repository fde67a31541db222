package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Programs are the binaries that a run starts.
type Programs struct {
	Dispatcher string
	Injector   string // brassdale-lab, which has system calls fail; empty where none do
}

// dispatcherProcess is one whose process is started, signalled and started again at the same address.
type dispatcherProcess struct {
	number    int
	listen    string
	plan      Plan
	programs  Programs
	directory string
	record    *Record
	discovery *discovery

	restarting sync.Mutex // held while the process is ended and started again

	mu         sync.Mutex
	address    string // of discovery
	processRun *ProcessRun
	pid        int
	exited     chan struct{}
	logs       *os.File
}

const (
	killSlack          = 700 * time.Millisecond // behind the longest deadline, of which mostCounted counts at the most
	maxCountedDeadline = 3 * time.Second
	pauseTime          = 150 * time.Millisecond
)

func newDispatcherProcess(number int, p Plan, programs Programs, dir string, r *Record, find *discovery) (*dispatcherProcess, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0") // a port that is free, and stays so for the next moment
	if err != nil {
		return nil, err
	}
	defer l.Close()
	d := &dispatcherProcess{number: number, listen: l.Addr().String(), plan: p, programs: programs, directory: dir, record: r, discovery: find}
	if d.address, err = find.newAddress(number); err != nil {
		return nil, err
	}
	d.logs, err = os.Create(filepath.Join(dir, fmt.Sprintf("n%d.log", number)))
	return d, err
}

func (d *dispatcherProcess) configPath() string {
	return filepath.Join(d.directory, fmt.Sprintf("n%d.json", d.number))
}

// writeConfig writes its file.
func (d *dispatcherProcess) writeConfig() error {
	d.mu.Lock()
	address := d.address
	d.mu.Unlock()
	text := d.plan.config(d.number, d.listen, address, d.discovery.initialList(d.number))
	return os.WriteFile(d.configPath(), []byte(text), 0o600)
}

// start starts a process and waits until it is ready, or for as long as it may take.
func (d *dispatcherProcess) start() error {
	if err := d.writeConfig(); err != nil {
		return err
	}
	command := []string{d.programs.Dispatcher}
	if d.plan.SystemCallFaults != "" {
		command = append([]string{d.programs.Injector, "inject", "--rules", d.plan.SystemCallFaults, "--seed", strconv.FormatUint(d.plan.Seed, 10),
			"--after", "1s", "--"}, command...)
	}
	tmp, err := os.MkdirTemp(d.directory, "tmp-")
	if err != nil {
		return err
	}
	c := exec.Command(command[0], command[1:]...)
	c.Env = append(os.Environ(), "GW_CONFIG="+d.configPath(), "TMPDIR="+tmp, "GW_ADMIN=", "BRASSDALE_DEBUG=1")
	pids := &pidReader{to: d.logs, found: make(chan int, 1)}
	c.Stderr = pids
	l := &ProcessRun{Dispatcher: d.number, StartedAt: time.Now()}
	if err := c.Start(); err != nil {
		return err
	}
	pid := c.Process.Pid
	if d.plan.SystemCallFaults != "" {
		select {
		case pid = <-pids.found:
		case <-time.After(readyWithin):
			return fmt.Errorf("dispatcher %d was not started by the injector", d.number)
		}
	}
	exited := make(chan struct{})
	d.mu.Lock()
	if d.processRun != nil {
		l.Number = d.processRun.Number + 1
	}
	d.processRun, d.pid, d.exited = l, pid, exited
	d.mu.Unlock()
	d.record.addProcessRun(l)
	go func() {
		err := c.Wait()
		d.record.locked(func() {
			l.EndedAt = time.Now()
			if l.SIGTERMAt.IsZero() && !l.Killed {
				l.Crashed = fmt.Sprintf("ended by itself: %v", err)
			} else if err != nil && !l.Killed {
				l.Crashed = fmt.Sprintf("told to end, it ended with %v", err)
			}
		})
		close(exited)
	}()
	return d.awaitReady(l)
}

// awaitReady asks until the process wants work.
func (d *dispatcherProcess) awaitReady(l *ProcessRun) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := l.StartedAt.Add(readyWithin); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		resp, err := client.Get("http://" + d.listen + "/health/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			d.record.locked(func() { l.ReadyAt = time.Now() })
			return nil
		}
	}
	return nil // the audit finds it
}

// pidReader passes a log on and finds the line that tells the program's number.
type pidReader struct {
	to    *os.File
	found chan int
	text  []byte
	done  bool
}

var pidLine = regexp.MustCompile(`inject: pid=(\d+)\n`)

func (p *pidReader) Write(b []byte) (int, error) {
	if !p.done {
		p.text = append(p.text, b...)
		if m := pidLine.FindSubmatch(p.text); m != nil {
			pid, _ := strconv.Atoi(string(m[1]))
			p.found <- pid
			p.text, p.done = nil, true
		}
	}
	return p.to.Write(b)
}

// current gives the process of now, whether it takes requests, and its number.
func (d *dispatcherProcess) current() (l *ProcessRun, up bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record.mu.Lock()
	defer d.record.mu.Unlock()
	return d.processRun, d.processRun != nil && !d.processRun.ReadyAt.IsZero() && d.processRun.EndedAt.IsZero()
}

func (d *dispatcherProcess) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.exited:
	default:
		_ = syscall.Kill(d.pid, s)
	}
}

// killAndRestart kills the process and starts it again behind a pause.
func (d *dispatcherProcess) killAndRestart(pause time.Duration) error {
	if !d.restarting.TryLock() {
		return nil
	}
	defer d.restarting.Unlock()
	d.kill()
	time.Sleep(pause)
	return d.start()
}

// kill kills the process for good.
func (d *dispatcherProcess) kill() {
	d.mu.Lock()
	l, exited := d.processRun, d.exited
	d.mu.Unlock()
	d.record.locked(func() { l.Killed = true })
	d.signal(syscall.SIGKILL)
	<-exited
}

// terminateAndRestart tells the process to end, kills it as early as may be, and starts it again.
func (d *dispatcherProcess) terminateAndRestart() error {
	if !d.restarting.TryLock() {
		return nil
	}
	defer d.restarting.Unlock()
	d.mu.Lock()
	l, exited := d.processRun, d.exited
	d.mu.Unlock()
	d.record.locked(func() { l.SIGTERMAt = time.Now() })
	d.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(min(d.plan.Deadline, maxCountedDeadline) + killSlack):
		d.kill()
	}
	return d.start()
}

// moveTo tells it of a new configuration that moves discovery to a replica which lags for a while.
func (d *dispatcherProcess) moveTo(lag time.Duration, until time.Time) error {
	address, err := d.discovery.newAddress(d.number)
	if err != nil {
		return err
	}
	d.discovery.replicaView(d.number).injectFault(lag, 0, false, until)
	d.mu.Lock()
	d.address = address
	d.mu.Unlock()
	return d.reload(false)
}

// reload tells it of a new configuration; moved has it find discovery at another address.
func (d *dispatcherProcess) reload(moved bool) error {
	if moved {
		address, err := d.discovery.newAddress(d.number)
		if err != nil {
			return err
		}
		d.mu.Lock()
		d.address = address
		d.mu.Unlock()
	}
	if err := d.writeConfig(); err != nil {
		return err
	}
	d.signal(syscall.SIGHUP)
	return nil
}

// pauseRepeatedly stops the process for a moment, again and again.
func (d *dispatcherProcess) pauseRepeatedly(until time.Time) {
	for time.Now().Before(until) {
		d.signal(syscall.SIGSTOP)
		time.Sleep(pauseTime)
		d.signal(syscall.SIGCONT)
		time.Sleep(2 * pauseTime)
	}
}

package soak

import (
	"fmt"
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

// Programs are the paths of the binaries that a run starts.
type Programs struct {
	Dispatcher string
	Injector   string // brassdale-lab, which injects faults into system calls; empty for runs without these faults
}

// dispatcherProcess is a dispatcher whose process is started, signalled and restarted at the same address.
type dispatcherProcess struct {
	number    int
	listen    string
	port      *reservedPort // of listen
	http2Port *reservedPort // of the HTTP/2 frontend; nil if it is off
	plan      Plan
	programs  Programs
	directory string
	record    *Record
	discovery *discovery

	restarting sync.Mutex // locked while the process is ended and restarted

	mu         sync.Mutex
	address    string // of discovery
	processRun *ProcessRun
	pid        int
	exited     chan struct{}
	tempDir    string // $TMPDIR of the process, where a successor finds it
	logs       *os.File
}

const (
	killSlack          = 700 * time.Millisecond // a process is killed min(deadline, maxCountedDeadline) + killSlack after SIGTERM
	maxCountedDeadline = 3 * time.Second
	pauseTime          = 150 * time.Millisecond // of ProcessPauses
)

// newDispatcherProcess prepares a dispatcher without starting its process.
func newDispatcherProcess(number int, plan Plan, programs Programs, dir string, record *Record, service *discovery) (*dispatcherProcess, error) {
	port, err := reservePort()
	if err != nil {
		return nil, err
	}
	process := &dispatcherProcess{number: number, listen: port.address, port: port, plan: plan, programs: programs, directory: dir, record: record, discovery: service}
	if plan.HTTP2 {
		if err := process.prepareHTTP2(); err != nil {
			return nil, err
		}
	}
	if process.address, err = service.newAddress(number, 0); err != nil {
		return nil, err
	}
	process.logs, err = os.Create(filepath.Join(dir, fmt.Sprintf("n%d.log", number)))
	return process, err
}

// prepareHTTP2 reserves a port for the HTTP/2 frontend, and writes the operator's file that turns it on.
func (d *dispatcherProcess) prepareHTTP2() (err error) {
	if d.http2Port, err = reservePort(); err != nil {
		return err
	}
	return os.WriteFile(d.operatorPath(), fmt.Appendf(nil, operatorFileText, d.http2Port.address), 0o600)
}

// operatorPath returns the path of the operator's file.
func (d *dispatcherProcess) operatorPath() string {
	return filepath.Join(d.directory, fmt.Sprintf("n%d.hcl", d.number))
}

// configPath returns the path of the dispatcher's configuration.
func (d *dispatcherProcess) configPath() string {
	return filepath.Join(d.directory, fmt.Sprintf("n%d.json", d.number))
}

// writeConfig writes the dispatcher's configuration.
func (d *dispatcherProcess) writeConfig() error {
	d.mu.Lock()
	address := d.address
	d.mu.Unlock()
	text := d.plan.config(d.number, d.listen, address, d.discovery.initialList(d.number))
	return os.WriteFile(d.configPath(), []byte(text), 0o600)
}

// start starts a process with a temporary directory of its own, and waits until it is ready, for at most readyWithin.
func (d *dispatcherProcess) start() error {
	run, err := d.launchInNewDirectory()
	if err == nil {
		d.awaitReady(run)
	}
	return err
}

// launchInNewDirectory starts a process with a temporary directory of its own, in which it finds no predecessor.
func (d *dispatcherProcess) launchInNewDirectory() (*ProcessRun, error) {
	tempDir, err := os.MkdirTemp(d.directory, "tmp-")
	if err != nil {
		return nil, err
	}
	return d.launch(tempDir)
}

// launch starts a process with a temporary directory, and does not wait until it is ready.
func (d *dispatcherProcess) launch(tempDir string) (*ProcessRun, error) {
	if err := d.writeConfig(); err != nil {
		return nil, err
	}
	child := d.command(tempDir)
	pids := &pidReader{log: d.logs, found: make(chan int, 1)}
	child.Stderr = pids
	run := &ProcessRun{Dispatcher: d.number, StartedAt: time.Now()}
	if err := child.Start(); err != nil {
		return nil, err
	}
	pid := child.Process.Pid
	if d.plan.SystemCallFaults != "" {
		select {
		case pid = <-pids.found:
		case <-time.After(readyWithin):
			return nil, fmt.Errorf("dispatcher %d: the injector did not report a process ID in time", d.number)
		}
	}
	exited := make(chan struct{})
	d.mu.Lock()
	if d.processRun != nil {
		run.Number = d.processRun.Number + 1
	}
	d.processRun, d.pid, d.exited, d.tempDir = run, pid, exited, tempDir
	d.mu.Unlock()
	d.record.addProcessRun(run)
	go d.recordEnd(child, run, exited)
	go samplePeakMemory(pid, run, d.record, exited)
	return run, nil
}

// command returns the command that starts the process with a temporary directory.
func (d *dispatcherProcess) command(tempDir string) *exec.Cmd {
	command := []string{d.programs.Dispatcher}
	if d.plan.HTTP2 {
		command = append(command, "serve", "--operator", d.operatorPath())
	}
	if d.plan.SystemCallFaults != "" {
		injector := []string{
			d.programs.Injector, "inject", "--rules", d.plan.SystemCallFaults,
			"--seed", strconv.FormatUint(d.plan.Seed, 10), "--after", "1s", "--",
		}
		command = append(injector, command...)
	}
	child := exec.Command(command[0], command[1:]...)
	child.Env = append(os.Environ(), "GW_CONFIG="+d.configPath(), "TMPDIR="+tempDir, "GW_ADMIN=", "BRASSDALE_DEBUG=1")
	return child
}

// recordEnd waits for the end of a process, records how it ended and closes exited.
func (d *dispatcherProcess) recordEnd(child *exec.Cmd, run *ProcessRun, exited chan<- struct{}) {
	err := child.Wait()
	d.record.locked(func() {
		run.EndedAt = time.Now()
		if run.SIGTERMAt.IsZero() && !run.Killed {
			run.Crashed = fmt.Sprintf("exited without a signal: %v", err)
		} else if err != nil && !run.Killed && !run.ReadyAt.IsZero() { // before it is ready, SIGTERM itself may end a process
			run.Crashed = fmt.Sprintf("exited with an error after SIGTERM: %v", err)
		}
	})
	close(exited)
}

// awaitReady polls the process until it is ready or readyWithin is over. The audit reports a process that is not ready by then.
func (d *dispatcherProcess) awaitReady(run *ProcessRun) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := run.StartedAt.Add(readyWithin); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		resp, err := client.Get("http://" + d.listen + "/health/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close() // nothing is read from it
		if resp.StatusCode == http.StatusOK {
			d.record.locked(func() { run.ReadyAt = time.Now() })
			return
		}
	}
}

// pidReader copies a log to a file, and finds the injector's line with the process ID of the dispatcher.
type pidReader struct {
	log   *os.File
	found chan int
	text  []byte
	done  bool
}

// pidLine matches the injector's line with the process ID.
var pidLine = regexp.MustCompile(`inject: pid=(\d+)\n`)

// Write implements io.Writer.
func (p *pidReader) Write(text []byte) (int, error) {
	if !p.done {
		p.text = append(p.text, text...)
		if match := pidLine.FindSubmatch(p.text); match != nil {
			pid, _ := strconv.Atoi(string(match[1]))
			p.found <- pid
			p.text, p.done = nil, true
		}
	}
	return p.log.Write(text)
}

// current returns the process that was started last, and whether it takes requests.
func (d *dispatcherProcess) current() (run *ProcessRun, up bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record.mu.Lock()
	defer d.record.mu.Unlock()
	return d.processRun, d.processRun != nil && !d.processRun.ReadyAt.IsZero() && d.processRun.EndedAt.IsZero()
}

// timeSinceSIGTERM returns how long ago the process that was started last got SIGTERM, or 0 if it got none.
func (d *dispatcherProcess) timeSinceSIGTERM() (elapsed time.Duration) {
	run, _ := d.current()
	d.record.locked(func() {
		if run != nil && !run.SIGTERMAt.IsZero() {
			elapsed = time.Since(run.SIGTERMAt)
		}
	})
	return elapsed
}

// signal sends a signal, unless the process has exited.
func (d *dispatcherProcess) signal(signal syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.exited:
	default:
		_ = syscall.Kill(d.pid, signal)
	}
}

// killAndRestart kills the process and starts it again after a pause. It does nothing while another restart is in progress.
func (d *dispatcherProcess) killAndRestart(pause time.Duration) error {
	if !d.restarting.TryLock() {
		return nil
	}
	defer d.restarting.Unlock()
	d.kill()
	time.Sleep(pause)
	return d.start()
}

// kill kills the process and waits for its end.
func (d *dispatcherProcess) kill() {
	d.mu.Lock()
	run, exited := d.processRun, d.exited
	d.mu.Unlock()
	d.record.locked(func() { run.Killed = true })
	d.signal(syscall.SIGKILL)
	<-exited
}

// terminateAndRestart sends SIGTERM, kills the process as early as the platform may, and starts it again. It does nothing while another
// restart is in progress.
func (d *dispatcherProcess) terminateAndRestart() error {
	return d.endAndRestart(func() { d.terminate() })
}

// endAndRestart calls the function signals, which must call terminate. It then kills the process as early as the platform may, and starts
// it again. It does nothing while another restart is in progress.
func (d *dispatcherProcess) endAndRestart(signals func()) error {
	if !d.restarting.TryLock() {
		return nil
	}
	defer d.restarting.Unlock()
	signals()
	d.awaitEnd()
	return d.start()
}

// terminate sends SIGTERM, and records the time of the first SIGTERM.
func (d *dispatcherProcess) terminate() {
	d.mu.Lock()
	run := d.processRun
	d.mu.Unlock()
	d.record.locked(func() {
		if run.SIGTERMAt.IsZero() {
			run.SIGTERMAt = time.Now()
		}
	})
	d.signal(syscall.SIGTERM)
}

// awaitEnd waits until the process that got SIGTERM has ended, and kills it as early as the platform may.
func (d *dispatcherProcess) awaitEnd() {
	d.mu.Lock()
	run, exited := d.processRun, d.exited
	d.mu.Unlock()
	var terminatedAt time.Time
	d.record.locked(func() { terminatedAt = run.SIGTERMAt })
	select {
	case <-exited:
	case <-time.After(time.Until(terminatedAt.Add(d.plan.killDelay()))):
		d.kill()
	}
}

// killDelay returns how long after SIGTERM the platform kills a process at the earliest.
func (p Plan) killDelay() time.Duration {
	return min(p.Deadline, maxCountedDeadline) + killSlack
}

// moveToReplica reloads a configuration that names a replica of discovery, which lags until the given time.
func (d *dispatcherProcess) moveToReplica(lag time.Duration, until time.Time) error {
	if err := d.newDiscoveryAddress(0); err != nil {
		return err
	}
	d.discovery.replicaView(d.number).injectFault(lag, 0, false, until)
	return d.reload()
}

// moveDiscovery reloads a configuration that names another address of discovery.
func (d *dispatcherProcess) moveDiscovery() error {
	if err := d.newDiscoveryAddress(0); err != nil {
		return err
	}
	return d.reload()
}

// newDiscoveryAddress opens another address of discovery, for the next configuration. A revision there is the list's revision plus
// revisionOffset.
func (d *dispatcherProcess) newDiscoveryAddress(revisionOffset int) error {
	address, err := d.discovery.newAddress(d.number, revisionOffset)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.address = address
	return nil
}

// reload writes the configuration and sends SIGHUP.
func (d *dispatcherProcess) reload() error {
	if err := d.writeConfig(); err != nil {
		return err
	}
	d.signal(syscall.SIGHUP)
	return nil
}

// pauseRepeatedly stops the process for pauseTime, repeatedly, until a time.
func (d *dispatcherProcess) pauseRepeatedly(until time.Time) {
	for time.Now().Before(until) {
		d.signal(syscall.SIGSTOP)
		time.Sleep(pauseTime)
		d.signal(syscall.SIGCONT)
		time.Sleep(2 * pauseTime)
	}
}

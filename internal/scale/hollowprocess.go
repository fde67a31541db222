package scale

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"brassdale/internal/effectivestate"
)

// hollowProcess is a child process that runs hollow dispatchers of one zone.
type hollowProcess struct {
	number      int // counted from 0 in the run
	dispatchers []*dispatcher
	command     *exec.Cmd
	stdin       io.Closer // open while this process runs: the child ends when it is closed
	logPath     string
	address     string // of its HTTP server
	exited      chan struct{}
}

// hollowEnvironment limits the cores of a hollow process, as many of them share the machine.
const hollowEnvironment = "GOMAXPROCS=2"

// hollowSeedStride is the difference between the seeds of hollow processes of runs with consecutive seeds.
const hollowSeedStride = 1000

// hollowLogName returns the name of a hollow process's log file.
func hollowLogName(number int) string { return fmt.Sprintf("hollow-%d.log", number) }

// startHollowProcess starts a process for a group of hollow dispatchers, and returns when it is ready.
func (r *run) startHollowProcess(group []*dispatcher) error {
	r.mu.Lock()
	number := r.hollowProcessesStarted
	r.hollowProcessesStarted++
	r.mu.Unlock()
	specPath, err := r.writeHollowSpec(group, number)
	if err != nil {
		return err
	}
	args := append(slices.Clone(r.options.HollowArgs), specPath)
	process := &hollowProcess{
		number:      number,
		dispatchers: group,
		command:     exec.Command(r.options.HollowProgram, args...),
		logPath:     filepath.Join(r.directory, hollowLogName(number)),
		exited:      make(chan struct{}),
	}
	if err := process.start(); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hollowProcesses = append(r.hollowProcesses, process)
	for _, each := range group {
		each.hollowProcess = process
	}
	return nil
}

// writeHollowSpec writes the spec of a hollow process, and returns the file's path.
func (r *run) writeHollowSpec(group []*dispatcher, number int) (path string, err error) {
	config, err := r.writeConfig(r.plan.emulatorDispatchers()-1, fmt.Sprint("hollow-", number))
	if err != nil {
		return "", err
	}
	zone := group[0].zone
	region := r.plan.region(zone)
	spec := HollowSpec{
		ConfigPath:       config,
		Directory:        r.directory,
		Fleet:            fleetName,
		Zone:             zoneName(zone),
		Region:           regionName(region),
		LeaseDuration:    r.plan.LeaseDuration.String(),
		ReplaceAfter:     r.plan.ReplaceAfter.String(),
		Voters:           r.voterAddresses,
		FleetSize:        r.plan.Dispatchers,
		Capacity:         r.plan.zoneCapacity(),
		Workers:          r.plan.Workers,
		Rate:             r.plan.Rate / float64(r.plan.Dispatchers),
		Failover:         r.failover,
		Overload:         r.overload,
		AddressOverrides: r.links.addressesFrom(region),
		Seed:             r.plan.Seed*hollowSeedStride + uint64(number),
		Baseline:         group[0].role == roleBaseline,
	}
	for _, each := range group {
		spec.Dispatchers = append(spec.Dispatchers, HollowDispatcherSpec{each.name, each.fleetAddress})
	}
	text, err := json.Marshal(spec)
	if err != nil {
		return "", err
	}
	path = filepath.Join(r.directory, fmt.Sprintf("hollow-%d.json", number))
	return path, os.WriteFile(path, text, 0o600)
}

// start starts the process, and returns when it has written the address of its HTTP server. The process ends by kill, or when this process ends.
func (p *hollowProcess) start() error {
	log, err := os.Create(p.logPath)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // only the child writes to it, with a descriptor of its own
	p.command.Env = append(os.Environ(), hollowEnvironment)
	p.command.Stderr = log
	if p.stdin, err = p.command.StdinPipe(); err != nil {
		return err
	}
	stdout, err := p.command.StdoutPipe()
	if err != nil {
		return err
	}
	if err := p.command.Start(); err != nil {
		return err
	}
	address := make(chan string, 1)
	go p.readAddressAndWait(stdout, address)
	if p.address = <-address; p.address == "" {
		p.kill()
		text, _ := os.ReadFile(p.logPath) // if the log cannot be read, the error is without its text
		return fmt.Errorf("hollow process %d ended before it was ready: %s", p.number, text)
	}
	return nil
}

// readAddressAndWait sends the first line of the process's output, or an empty one if the process ended without output, and then waits for the
// process's end.
func (p *hollowProcess) readAddressAndWait(stdout io.Reader, address chan<- string) {
	defer close(p.exited)
	line, _ := bufio.NewReader(stdout).ReadString('\n') // after an error the line is empty or incomplete, and start fails
	address <- strings.TrimSpace(line)
	_, _ = io.Copy(io.Discard, stdout) // the output ends with the process
	_ = p.command.Wait()               // the log shows how it ended
}

// kill kills the process and waits for its end.
func (p *hollowProcess) kill() {
	_ = p.command.Process.Kill() // fails only if it has ended
	<-p.exited
}

// url returns the URL of a resource of the process's HTTP server.
func (p *hollowProcess) url(path string) string { return "http://" + p.address + path }

// runningHollowProcesses returns the hollow processes that run.
func (r *run) runningHollowProcesses() []*hollowProcess {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.hollowProcesses)
}

// statesFromLog returns the states that a hollow dispatcher applied until a time, from the log of its process.
func statesFromLog(log, name string, end time.Time) []effectivestate.State {
	var own strings.Builder
	mark := " hollow=" + name + " "
	for line := range strings.Lines(log) {
		if before, after, ok := strings.Cut(line, mark); ok {
			own.WriteString(before + " " + after)
		}
	}
	return effectivestate.FromLog(own.String(), end, nil)
}

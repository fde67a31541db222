package standin

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Platform starts dispatchers with the command of the deploy file, and ends them.
type Platform struct {
	Record  *Record
	Dir     string // temporary folder, which is removed at the end
	Trouble bool   // the disruption is played

	run   string // the command of the deploy file
	mu    sync.Mutex
	procs []*Process
}

// Process is one process of a dispatcher.
type Process struct {
	Name    string
	Exited  chan struct{} // closed when it has ended
	command *exec.Cmd
}

// The exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// Main runs a case: it parses the flags, calls play, ends all processes, and exits. play returns the broken rules.
func Main(play func(p *Platform) (breaches []string, err error)) {
	run := flag.String("run", "", "the command of the deploy file that starts a dispatcher")
	trouble := flag.Bool("trouble", true, "play the disruption")
	path := flag.String("record", "record.txt", "file for the record")
	limit := flag.Duration("limit", 100*time.Second, "longest time of the run")
	flag.Parse()
	os.Exit(runCase(play, *run, *path, *trouble, *limit))
}

func runCase(play func(p *Platform) ([]string, error), run, path string, trouble bool, limit time.Duration) int {
	record, err := NewRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		record.Say("could not run: %v", err)
		return cannotRun
	}
	platform := &Platform{Record: record, Dir: dir, Trouble: trouble, run: run}
	defer platform.end()
	type result struct {
		breaches []string
		err      error
	}
	done := make(chan result, 1)
	go func() {
		breaches, err := play(platform)
		done <- result{breaches, err}
	}()
	stopped, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	var ended result
	select {
	case ended = <-done:
	case <-time.After(limit):
		ended.err = fmt.Errorf("not done after %v", limit)
	case <-stopped.Done():
		ended.err = fmt.Errorf("stopped by a signal")
	}
	if ended.err != nil {
		record.Say("could not run: %v", ended.err)
		return cannotRun
	}
	for _, breach := range ended.breaches {
		record.Say("BROKEN %s", breach)
	}
	if len(ended.breaches) > 0 {
		return broken
	}
	record.Say("held")
	return held
}

// end ends all processes that were started, and removes the temporary folder.
func (p *Platform) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, process := range p.procs {
		_ = process.command.Process.Signal(syscall.SIGKILL) // fails if it has ended
		<-process.Exited
	}
	_ = os.RemoveAll(p.Dir)
}

// WriteFile writes a file into the temporary folder and returns its path.
func (p *Platform) WriteFile(name, text string) (string, error) {
	path := filepath.Join(p.Dir, name)
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// Start starts a process of a dispatcher: config is its file, operator the path of the operator's file or empty, tmp its $TMPDIR.
func (p *Platform) Start(name, config, operator, tmp string) (*Process, error) {
	configPath, err := p.WriteFile(name+".json", config)
	if err != nil {
		return nil, err
	}
	logFile, err := os.Create(filepath.Join(p.Dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	line := p.run
	if operator != "" {
		line += " --operator " + operator
	}
	command := exec.Command("/bin/sh", "-c", line)
	command.Env = append(os.Environ(), "GW_CONFIG="+configPath, "TMPDIR="+tmp)
	command.Stdout, command.Stderr = logFile, logFile
	if err := command.Start(); err != nil {
		return nil, err
	}
	process := &Process{Name: name, Exited: make(chan struct{}), command: command}
	p.mu.Lock()
	p.procs = append(p.procs, process)
	p.mu.Unlock()
	p.Record.Log("platform: started %s: %s", name, line)
	go func() {
		err := command.Wait()
		p.Record.Log("platform: %s ended: %v", name, err)
		close(process.Exited)
	}()
	return process, nil
}

// Signal sends a signal to a process.
func (p *Platform) Signal(process *Process, sig syscall.Signal) {
	p.Record.Log("platform: %v to %s", sig, process.Name)
	_ = process.command.Process.Signal(sig) // fails if it has ended
}

// Log returns what a process has written to its log.
func (p *Platform) Log(process *Process) string {
	text, _ := os.ReadFile(filepath.Join(p.Dir, process.Name+".log"))
	return string(text)
}

// AwaitYes waits until a GET of the URL is answered 200.
func (p *Platform) AwaitYes(process *Process, url string, limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		select {
		case <-process.Exited:
			return fmt.Errorf("%s has ended: %s", process.Name, strings.TrimSpace(p.Log(process)))
		default:
		}
		response, err := client.Get(url)
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			p.Record.Log("platform: %s says yes", process.Name)
			return nil
		}
	}
	return fmt.Errorf("%s did not say yes: %s", process.Name, strings.TrimSpace(p.Log(process)))
}

// FreeAddresses returns loopback addresses with ports that were free just now.
func FreeAddresses(count int) (addresses []string, err error) {
	var held []net.Listener
	defer func() {
		for _, listener := range held {
			listener.Close()
		}
	}()
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		held = append(held, listener)
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

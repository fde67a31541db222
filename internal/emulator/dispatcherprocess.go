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
	"strings"
	"sync"
	"syscall"
	"time"
)

// DispatcherProcess is a process of a dispatcher's program. Its addresses do not change once StartWith has returned it.
type DispatcherProcess struct {
	Address   string // of its listener for clients
	Admin     string // of its admin API
	cmd       *exec.Cmd
	ended     chan struct{}
	mu        sync.Mutex
	log       strings.Builder
	ready     chan struct{}
	readyOnce sync.Once
}

// Start starts the program of a dispatcher, by index, with a directory of its own in dir, and returns when it is ready.
func (c *Cluster) Start(ctx context.Context, binary, dir string, dispatcher int, args ...string) (*DispatcherProcess, error) {
	return c.StartWith(ctx, binary, dir, dispatcher, nil, args...)
}

// StartWith is Start with environment variables in addition to the default ones.
func (c *Cluster) StartWith(ctx context.Context, binary, dir string, dispatcher int, env []string, args ...string) (*DispatcherProcess, error) {
	path, err := c.WriteConfig(dir, dispatcher)
	if err != nil {
		return nil, err
	}
	c.SetPresent(dispatcher, true)
	process := &DispatcherProcess{cmd: exec.Command(binary, args...), ended: make(chan struct{}), ready: make(chan struct{})}
	process.cmd.Env = append(os.Environ(), "GW_CONFIG="+path, "GW_ADMIN=127.0.0.1:0", "TMPDIR="+filepath.Dir(path))
	process.cmd.Env = append(process.cmd.Env, env...)
	stderr, err := process.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := process.cmd.Start(); err != nil {
		return nil, err
	}
	go process.follow(stderr)
	select {
	case <-process.ready:
		return process, nil
	case <-process.ended:
		return nil, fmt.Errorf("dispatcher %d ended before it was ready:\n%s", dispatcher, process.Log())
	case <-ctx.Done():
		process.Kill()
		return nil, ctx.Err()
	}
}

// follow reads the process's log to its end, and then waits for the process.
func (p *DispatcherProcess) follow(stderr io.Reader) {
	defer close(p.ended)
	lines := bufio.NewScanner(stderr)
	for lines.Scan() {
		line := lines.Text()
		p.mu.Lock()
		p.log.WriteString(line + "\n")
		for prefix, target := range map[string]*string{"front=inbound address=": &p.Address, "front=admin address=": &p.Admin} {
			if _, address, ok := strings.Cut(line, prefix); ok {
				*target = address
			}
		}
		p.mu.Unlock()
		if strings.Contains(line, "msg=ready") {
			p.readyOnce.Do(func() { close(p.ready) })
		}
	}
	_ = p.cmd.Wait() // how it ended is in ProcessState
}

// Pid returns the process's id.
func (p *DispatcherProcess) Pid() int { return p.cmd.Process.Pid }

// Log returns what the process has logged.
func (p *DispatcherProcess) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// Stop makes the process shut down gracefully. It returns an error if the process has not ended by the given time and is killed, or
// if its exit code is not 0.
func (p *DispatcherProcess) Stop(by time.Time) error {
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // fails only if it has ended
	select {
	case <-p.ended:
	case <-time.After(time.Until(by)):
		p.Kill()
		return errors.New("the process did not end in time and was killed")
	}
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		return fmt.Errorf("exit code %d", code)
	}
	return nil
}

// Signal sends the process a signal.
func (p *DispatcherProcess) Signal(s os.Signal) error { return p.cmd.Process.Signal(s) }

// Kill kills the process and waits for its end.
func (p *DispatcherProcess) Kill() {
	_ = p.cmd.Process.Kill() // fails only if it has ended
	<-p.ended
}

// Ended returns a channel that is closed when the process has ended.
func (p *DispatcherProcess) Ended() <-chan struct{} { return p.ended }

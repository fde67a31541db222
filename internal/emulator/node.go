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

// Node is a dispatcher's process.
type Node struct {
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
func (c *Cluster) Start(ctx context.Context, binary, dir string, dispatcher int, args ...string) (*Node, error) {
	return c.StartWith(ctx, binary, dir, dispatcher, nil, args...)
}

// StartWith is Start with environment variables in addition to the usual ones.
func (c *Cluster) StartWith(ctx context.Context, binary, dir string, dispatcher int, env []string, args ...string) (*Node, error) {
	path, err := c.Write(dir, dispatcher)
	if err != nil {
		return nil, err
	}
	c.Present(dispatcher, true)
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

// follow reads the process's log to its end, and then waits for the process.
func (n *Node) follow(stderr io.Reader) {
	defer close(n.ended)
	lines := bufio.NewScanner(stderr)
	for lines.Scan() {
		line := lines.Text()
		n.mu.Lock()
		n.log.WriteString(line + "\n")
		for prefix, target := range map[string]*string{"front=inbound address=": &n.Address, "front=admin address=": &n.Admin} {
			if _, address, ok := strings.Cut(line, prefix); ok {
				*target = address
			}
		}
		n.mu.Unlock()
		if strings.Contains(line, "msg=ready") {
			n.readyOnce.Do(func() { close(n.ready) })
		}
	}
	_ = n.cmd.Wait() // how it ended is in ProcessState
}

// Pid returns the process's id.
func (n *Node) Pid() int { return n.cmd.Process.Pid }

// Log returns what the process has logged.
func (n *Node) Log() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.log.String()
}

// Stop has the process shut down gracefully. It returns an error if the process has to be killed at the given time, or if its
// exit code is not 0.
func (n *Node) Stop(by time.Time) error {
	_ = n.cmd.Process.Signal(syscall.SIGTERM) // fails only if it has ended
	select {
	case <-n.ended:
	case <-time.After(time.Until(by)):
		n.Kill()
		return errors.New("it did not end")
	}
	if code := n.cmd.ProcessState.ExitCode(); code != 0 {
		return fmt.Errorf("exit code %d", code)
	}
	return nil
}

// Signal sends the process a signal.
func (n *Node) Signal(s os.Signal) error { return n.cmd.Process.Signal(s) }

// Kill kills the process and waits for its end.
func (n *Node) Kill() {
	_ = n.cmd.Process.Kill() // fails only if it has ended
	<-n.ended
}

// Ended returns a channel that is closed when the process has ended.
func (n *Node) Ended() <-chan struct{} { return n.ended }

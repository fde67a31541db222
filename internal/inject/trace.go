package inject

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"syscall"

	"golang.org/x/sys/unix"
)

const traceOptions = unix.PTRACE_O_TRACESECCOMP | unix.PTRACE_O_TRACECLONE | unix.PTRACE_O_TRACEEXEC | unix.PTRACE_O_EXITKILL

// maxUnshortenedBytes is the largest transfer that is never shortened. An eventfd transfers all of its eight bytes or none.
const maxUnshortenedBytes = 16

// Tracer runs one program. While it runs, it waits for all children of its own process, so nothing else in that process may start children
// or wait for them.
type Tracer struct {
	Rules  []Rule
	Seed   uint64
	Paused func() bool              // while it returns true, no call fails; nil if calls may fail at any time
	Began  func(pid int)            // called with the program's process ID when the program starts; must not be nil
	Failed func(call string, n int) // called after each failure with the number of failed calls of this name; may be nil

	counts map[string]int
}

// Run starts the launcher with this command line, makes calls of the launched program fail, and returns the program's exit status.
func (t *Tracer) Run(launcher []string) (status syscall.WaitStatus, err error) {
	runtime.LockOSThread() // ptrace requests must come from the thread that traces the program
	defer runtime.UnlockOSThread()
	t.counts = map[string]int{}
	child, err := os.StartProcess(launcher[0], launcher, &os.ProcAttr{Env: os.Environ(), Files: []*os.File{os.Stdin, os.Stdout, os.Stderr},
		Sys: &syscall.SysProcAttr{Ptrace: true}})
	if err != nil {
		return 0, err
	}
	var first syscall.WaitStatus
	if _, err := syscall.Wait4(child.Pid, &first, syscall.WALL, nil); err != nil {
		return 0, fmt.Errorf("wait for the launcher to stop: %w", err)
	}
	if err := syscall.PtraceSetOptions(child.Pid, traceOptions); err != nil {
		return 0, err
	}
	t.Began(child.Pid)
	if err := syscall.PtraceCont(child.Pid, 0); err != nil {
		return 0, err
	}
	return t.follow(child.Pid)
}

// follow handles the stops of the program's threads until the program has ended.
func (t *Tracer) follow(program int) (syscall.WaitStatus, error) {
	rng := rand.New(rand.NewPCG(t.Seed, 1))
	for {
		var status syscall.WaitStatus
		pid, err := syscall.Wait4(-1, &status, syscall.WALL, nil)
		switch {
		case err == syscall.EINTR:
			continue
		case err != nil:
			return 0, err
		case status.Exited() || status.Signaled():
			if pid == program {
				return status, nil
			}
			continue
		case !status.Stopped():
			continue
		}
		pass := 0
		switch signal := status.StopSignal(); {
		case signal == syscall.SIGTRAP && int(status)>>8 == int(syscall.SIGTRAP)|unix.PTRACE_EVENT_SECCOMP<<8:
			t.interceptCall(pid, rng)
		case signal == syscall.SIGTRAP && status.TrapCause() > 0: // a thread was created, or the launcher executed the program
		case signal == syscall.SIGSTOP && pid != program: // a new thread's first stop
		default:
			pass = int(signal)
		}
		_ = syscall.PtraceCont(pid, pass) // fails if the thread has ended
	}
}

// interceptCall makes the system call at which a thread has stopped fail, or leaves it unchanged.
func (t *Tracer) interceptCall(pid int, rng *rand.Rand) {
	call := stoppedCall{pid: pid}
	if call.read() != nil || t.Paused != nil && t.Paused() {
		return
	}
	for _, rule := range t.Rules {
		if uint64(callNumbers[rule.Call]) != call.number() || rng.IntN(rule.OneIn) > 0 {
			continue
		}
		var err error
		if rule.Short {
			if call.thirdArgument() <= maxUnshortenedBytes {
				return
			}
			err = call.setThirdArgument(call.thirdArgument() / 2)
		} else {
			err = call.skip(uint64(-int64(rule.Errno)))
		}
		if err == nil {
			t.counts[rule.Call]++
			if t.Failed != nil {
				t.Failed(rule.Call, t.counts[rule.Call])
			}
		}
		return
	}
}

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

// wholeOnly is how much is never cut short: an event counter takes its eight bytes or none.
const wholeOnly = 16

// Tracer runs one program. It owns all children of its process while it runs.
type Tracer struct {
	Rules  []Rule
	Seed   uint64
	Paused func() bool              // while it returns true nothing fails; nil for never
	Began  func(pid int)            // called when the program runs under this process ID; must not be nil
	Failed func(call string, n int) // so many calls of the kind have failed by now; nil for nobody

	counts map[string]int
}

// Run starts the launcher with this command line, has calls of what it becomes fail, and gives its exit status.
func (t *Tracer) Run(launcher []string) (status syscall.WaitStatus, err error) {
	runtime.LockOSThread() // a program has one tracing thread
	defer runtime.UnlockOSThread()
	t.counts = map[string]int{}
	child, err := os.StartProcess(launcher[0], launcher, &os.ProcAttr{Env: os.Environ(), Files: []*os.File{os.Stdin, os.Stdout, os.Stderr},
		Sys: &syscall.SysProcAttr{Ptrace: true}})
	if err != nil {
		return 0, err
	}
	var first syscall.WaitStatus
	if _, err := syscall.Wait4(child.Pid, &first, syscall.WALL, nil); err != nil {
		return 0, fmt.Errorf("the launcher did not stop: %w", err)
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

// follow serves the program's stops until it has ended.
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
			t.decide(pid, rng)
		case signal == syscall.SIGTRAP && status.TrapCause() > 0: // a thread was made, or the launcher became the program
		case signal == syscall.SIGSTOP && pid != program: // a new thread's first stop
		default:
			pass = int(signal)
		}
		_ = syscall.PtraceCont(pid, pass) // a thread may have gone
	}
}

// decide has the call that a thread is about to make fail, or lets it pass.
func (t *Tracer) decide(pid int, rng *rand.Rand) {
	var regs syscall.PtraceRegs
	if syscall.PtraceGetRegs(pid, &regs) != nil || t.Paused != nil && t.Paused() {
		return
	}
	for _, rule := range t.Rules {
		if uint64(calls[rule.Call]) != regs.Orig_rax || rng.IntN(rule.OneIn) > 0 {
			continue
		}
		if rule.Short {
			if regs.Rdx <= wholeOnly {
				return
			}
			regs.Rdx /= 2
		} else {
			regs.Orig_rax = ^uint64(0) // no such call: it is skipped, and returns what is in rax
			regs.Rax = uint64(-int64(rule.Errno))
		}
		if syscall.PtraceSetRegs(pid, &regs) == nil {
			t.counts[rule.Call]++
			if t.Failed != nil {
				t.Failed(rule.Call, t.counts[rule.Call])
			}
		}
		return
	}
}

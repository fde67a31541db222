package inject

import "syscall"

// stoppedCall holds the registers of a thread that has stopped at a system call.
type stoppedCall struct {
	pid  int
	regs syscall.PtraceRegs
}

func (c *stoppedCall) read() error { return syscall.PtraceGetRegs(c.pid, &c.regs) }

func (c *stoppedCall) number() uint64 { return c.regs.Orig_rax }

func (c *stoppedCall) thirdArgument() uint64 { return c.regs.Rdx }

// setThirdArgument changes the call's third argument and leaves the call to run.
func (c *stoppedCall) setThirdArgument(value uint64) error {
	c.regs.Rdx = value
	return syscall.PtraceSetRegs(c.pid, &c.regs)
}

// skip makes the kernel skip the call and return a value in its place.
func (c *stoppedCall) skip(result uint64) error {
	c.regs.Orig_rax = ^uint64(0) // an invalid number: the kernel skips the call and returns the value of rax
	c.regs.Rax = result
	return syscall.PtraceSetRegs(c.pid, &c.regs)
}

package inject

import (
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// systemCallNote is NT_ARM_SYSTEM_CALL, the register set that holds the number of the call that the kernel is about to run.
const systemCallNote = 0x404

// stoppedCall holds the registers of a thread that has stopped at a system call.
type stoppedCall struct {
	pid  int
	regs syscall.PtraceRegs
}

func (c *stoppedCall) read() error { return syscall.PtraceGetRegs(c.pid, &c.regs) }

func (c *stoppedCall) number() uint64 { return c.regs.Regs[8] }

func (c *stoppedCall) thirdArgument() uint64 { return c.regs.Regs[2] }

// setThirdArgument changes the call's third argument and leaves the call to run.
func (c *stoppedCall) setThirdArgument(value uint64) error {
	c.regs.Regs[2] = value
	return syscall.PtraceSetRegs(c.pid, &c.regs)
}

// skip makes the kernel skip the call and return a value in its place.
func (c *stoppedCall) skip(result uint64) error {
	number := int32(-1)
	part := unix.Iovec{Base: (*byte)(unsafe.Pointer(&number)), Len: uint64(unsafe.Sizeof(number))}
	if _, _, errno := unix.Syscall6(unix.SYS_PTRACE, unix.PTRACE_SETREGSET, uintptr(c.pid), systemCallNote,
		uintptr(unsafe.Pointer(&part)), 0, 0); errno != 0 {
		return errno
	}
	c.regs.Regs[0] = result
	return syscall.PtraceSetRegs(c.pid, &c.regs)
}

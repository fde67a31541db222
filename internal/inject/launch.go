package inject

import (
	"fmt"
	"os"
	"runtime"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

const callNumberOffset = 0 // of the system call's number in struct seccomp_data

// Launch replaces this process with a program that stops for its tracer at the system calls that rules name. It returns only on an error.
func Launch(rules []Rule, program []string) error {
	runtime.LockOSThread() // the filter applies to this thread, which executes the program
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("set no_new_privs: %w", err)
	}
	filter := filterFor(numbersOf(rules))
	prog := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	if _, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, 0, uintptr(unsafe.Pointer(&prog))); errno != 0 {
		return fmt.Errorf("install seccomp filter: %w", errno)
	}
	return fmt.Errorf("%s: %w", program[0], syscall.Exec(program[0], program, os.Environ()))
}

// filterFor returns a seccomp filter that stops the program at these calls and allows all others.
func filterFor(numbers []uint32) []unix.SockFilter {
	filter := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: callNumberOffset}}
	for i, n := range numbers {
		filter = append(filter, unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: n, Jt: uint8(len(numbers) - i)})
	}
	return append(filter,
		unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_ALLOW},
		unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_TRACE})
}

package inject

import (
	"fmt"
	"os"
	"runtime"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

const offsetOfNumber = 0 // of the call's number in struct seccomp_data

// Launch becomes a program that is stopped for its tracer at the calls that rules name. It returns only if that failed.
func Launch(rules []Rule, program []string) error {
	runtime.LockOSThread() // the filter is of this thread, which becomes the program
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("no new privileges: %w", err)
	}
	filter := filterFor(numbers(rules))
	prog := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	if _, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, 0, uintptr(unsafe.Pointer(&prog))); errno != 0 {
		return fmt.Errorf("filter: %w", errno)
	}
	return fmt.Errorf("%s: %w", program[0], syscall.Exec(program[0], program, os.Environ()))
}

// filterFor stops the program at these calls and lets all others pass.
func filterFor(numbers []uint32) []unix.SockFilter {
	filter := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: offsetOfNumber}}
	for i, n := range numbers {
		filter = append(filter, unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: n, Jt: uint8(len(numbers) - i)})
	}
	return append(filter,
		unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_ALLOW},
		unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: unix.SECCOMP_RET_TRACE})
}

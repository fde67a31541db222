// Package inject runs a program and makes some of its system calls fail, in ways that Linux documents. It traces the program with
// ptrace. The program's launcher installs a seccomp filter, so that the program stops only at the chosen calls. The package needs Linux
// on amd64 or arm64, but no privileges, and it traces only processes that it starts itself.
package inject

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// Rule makes one in OneIn calls of a system call fail or transfer fewer bytes, at random.
type Rule struct {
	Call  string // name of the system call
	Errno unix.Errno
	Short bool // the call transfers half of the bytes instead of failing
	OneIn int
}

var callNumbers = map[string]uint32{
	"accept4": unix.SYS_ACCEPT4, "socket": unix.SYS_SOCKET, "connect": unix.SYS_CONNECT, "epoll_ctl": unix.SYS_EPOLL_CTL,
	"epoll_pwait": unix.SYS_EPOLL_PWAIT, "setsockopt": unix.SYS_SETSOCKOPT, "read": unix.SYS_READ, "write": unix.SYS_WRITE,
	"fsync": unix.SYS_FSYNC, "fdatasync": unix.SYS_FDATASYNC, "renameat": unix.SYS_RENAMEAT, "openat": unix.SYS_OPENAT,
	"nanosleep": unix.SYS_NANOSLEEP, "getsockopt": unix.SYS_GETSOCKOPT,
}

// short is used in a rule in place of an error name. It causes a short read or write.
const short = "short"

// ParseRules parses rules of the form call=ERRNO:one-in, separated by commas. For read and write, ERRNO may be the word short.
func ParseRules(text string) (rules []Rule, err error) {
	for _, part := range strings.Split(text, ",") {
		if part == "" {
			continue
		}
		call, rest, ok := strings.Cut(part, "=")
		name, oneIn, hasOneIn := strings.Cut(rest, ":")
		if _, known := callNumbers[call]; !ok || !hasOneIn || !known {
			return nil, fmt.Errorf("rule %q: expected call=ERRNO:one-in with a supported system call", part)
		}
		r := Rule{Call: call}
		if r.OneIn, err = strconv.Atoi(oneIn); err != nil || r.OneIn < 1 {
			return nil, fmt.Errorf("rule %q: got one-in %q, expected a whole number of at least 1", part, oneIn)
		}
		switch {
		case name == short && (call == "read" || call == "write"):
			r.Short = true
		default:
			if r.Errno, ok = errnoOf(name); !ok {
				return nil, fmt.Errorf("rule %q: unknown error name %q", part, name)
			}
		}
		rules = append(rules, r)
	}
	return rules, nil
}

// errnoOf returns the error number with a name.
func errnoOf(name string) (unix.Errno, bool) {
	for e := unix.Errno(1); e < 140; e++ {
		if unix.ErrnoName(e) == name {
			return e, true
		}
	}
	return 0, false
}

// numbersOf returns the numbers of the system calls that rules name.
func numbersOf(rules []Rule) (all []uint32) {
	for _, r := range rules {
		if n := callNumbers[r.Call]; !slices.Contains(all, n) {
			all = append(all, n)
		}
	}
	return all
}

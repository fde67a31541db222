// Package inject runs a program whose system calls fail now and then, as Linux documents that they may. It traces the program
// with ptrace; a seccomp filter that the program's launcher sets stops it at the chosen calls only. Linux on amd64, no rights
// beyond those of the own user, and only processes that it starts itself.
package inject

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// Rule has one call in so many of a kind fail, or come short.
type Rule struct {
	Call  string // name of the system call
	Errno unix.Errno
	Short bool // in place of failing, it moves half of the bytes only
	OneIn int
}

var calls = map[string]uint32{
	"accept4": unix.SYS_ACCEPT4, "socket": unix.SYS_SOCKET, "connect": unix.SYS_CONNECT, "epoll_ctl": unix.SYS_EPOLL_CTL,
	"epoll_pwait": unix.SYS_EPOLL_PWAIT, "setsockopt": unix.SYS_SETSOCKOPT, "read": unix.SYS_READ, "write": unix.SYS_WRITE,
	"fsync": unix.SYS_FSYNC, "fdatasync": unix.SYS_FDATASYNC, "renameat": unix.SYS_RENAMEAT, "openat": unix.SYS_OPENAT,
	"nanosleep": unix.SYS_NANOSLEEP, "getsockopt": unix.SYS_GETSOCKOPT,
}

// short is how a rule for a short read or write is worded.
const short = "short"

// ParseRules reads rules as call=ERRNO:one-in, separated by commas; ERRNO may be short for read and write.
func ParseRules(text string) (rules []Rule, err error) {
	for _, part := range strings.Split(text, ",") {
		if part == "" {
			continue
		}
		call, rest, ok := strings.Cut(part, "=")
		name, oneIn, also := strings.Cut(rest, ":")
		if _, known := calls[call]; !ok || !also || !known {
			return nil, fmt.Errorf("rule %q: want call=ERRNO:one-in, of a call that is known", part)
		}
		r := Rule{Call: call}
		if r.OneIn, err = strconv.Atoi(oneIn); err != nil || r.OneIn < 1 {
			return nil, fmt.Errorf("rule %q: %q is no whole number from 1 on", part, oneIn)
		}
		switch {
		case name == short && (call == "read" || call == "write"):
			r.Short = true
		default:
			if r.Errno, ok = errnoOf(name); !ok {
				return nil, fmt.Errorf("rule %q: no error %q", part, name)
			}
		}
		rules = append(rules, r)
	}
	return rules, nil
}

// errnoOf finds an error by its name.
func errnoOf(name string) (unix.Errno, bool) {
	for e := unix.Errno(1); e < 140; e++ {
		if unix.ErrnoName(e) == name {
			return e, true
		}
	}
	return 0, false
}

// numbers gives the numbers of the calls that rules name.
func numbers(rules []Rule) (all []uint32) {
	for _, r := range rules {
		if n := calls[r.Call]; !slices.Contains(all, n) {
			all = append(all, n)
		}
	}
	return all
}

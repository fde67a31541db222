package inject

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// The tests start this binary again: as the launcher, which becomes it once more as the program.
func TestMain(m *testing.M) {
	switch os.Getenv("INJECT_TEST") {
	case "launcher":
		rules, err := ParseRules(os.Getenv("INJECT_RULES"))
		if err == nil {
			os.Setenv("INJECT_TEST", "program")
			err = Launch(rules, os.Args[:1])
		}
		fmt.Fprintln(os.Stderr, err)
		os.Exit(3)
	case "program":
		os.Exit(program())
	}
	os.Exit(m.Run())
}

// program connects to itself until each error that is injected was seen, and ends with 0.
func program() int {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 4
	}
	refused := false
	for range 200 {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			refused = refused || errors.Is(err, syscall.ENETUNREACH)
			continue
		}
		io.WriteString(c, strings.Repeat("a", 100))
		c.Close()
	}
	if !refused {
		return 5
	}
	return 0
}

// A program's calls fail as the rules say, and nothing else of it does.
func TestCallsFail(t *testing.T) {
	t.Setenv("INJECT_TEST", "launcher")
	t.Setenv("INJECT_RULES", "connect=ENETUNREACH:5,write=short:2")
	rules, err := ParseRules(os.Getenv("INJECT_RULES"))
	if err != nil {
		t.Fatal(err)
	}
	failed := map[string]int{}
	tracer := Tracer{Rules: rules, Seed: 1, Began: func(int) {}, Failed: func(call string, n int) { failed[call] = n }}
	status, err := tracer.Run(os.Args[:1])
	if err != nil || !status.Exited() || status.ExitStatus() != 0 || failed["connect"] == 0 || failed["write"] == 0 {
		t.Errorf("%v, status %v, failed %v", err, status, failed)
	}
}

func TestParseRules(t *testing.T) {
	rules, err := ParseRules("accept4=ENOBUFS:7,read=short:5")
	if err != nil || len(rules) != 2 || rules[0] != (Rule{Call: "accept4", Errno: unix.ENOBUFS, OneIn: 7}) || rules[1] != (Rule{Call: "read", Short: true, OneIn: 5}) {
		t.Errorf("%+v, %v", rules, err)
	}
	for _, bad := range []string{"accept4", "accept4=ENOBUFS", "accept4=ENOBUFS:0", "accept4=NOSUCH:2", "fork=EAGAIN:2", "accept4=short:2", "accept4=ENOBUFS:x"} {
		if _, err := ParseRules(bad); err == nil {
			t.Errorf("%q is taken", bad)
		}
	}
}

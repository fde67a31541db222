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

// TestMain runs the tests. The tests start this binary as the launcher, which executes it again as the program under test.
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

// program connects to itself 200 times, and returns 0 if a connect failed with ENETUNREACH, the injected error.
func program() int {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 4
	}
	connectFailed := false
	for range 200 {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			connectFailed = connectFailed || errors.Is(err, syscall.ENETUNREACH)
			continue
		}
		io.WriteString(conn, strings.Repeat("a", 100))
		conn.Close()
	}
	if !connectFailed {
		return 5
	}
	return 0
}

// TestTracer_injectsFailures checks that a program's calls fail according to the rules, connect with an error and write with a short
// count, and that the program runs to its end.
func TestTracer_injectsFailures(t *testing.T) {
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
		t.Errorf("error %v, status %v, failed calls %v", err, status, failed)
	}
}

// TestParseRules checks that two rules in one text are parsed, and that invalid texts are rejected.
func TestParseRules(t *testing.T) {
	rules, err := ParseRules("accept4=ENOBUFS:7,read=short:5")
	if err != nil || len(rules) != 2 || rules[0] != (Rule{Call: "accept4", Errno: unix.ENOBUFS, OneIn: 7}) || rules[1] != (Rule{Call: "read", Short: true, OneIn: 5}) {
		t.Errorf("rules %+v, error %v", rules, err)
	}
	for _, invalid := range []string{"accept4", "accept4=ENOBUFS", "accept4=ENOBUFS:0", "accept4=NOSUCH:2", "fork=EAGAIN:2", "accept4=short:2", "accept4=ENOBUFS:x"} {
		if _, err := ParseRules(invalid); err == nil {
			t.Errorf("%q was accepted", invalid)
		}
	}
}

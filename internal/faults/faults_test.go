package faults

import (
	"fmt"
	"io"
	"net"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// echo is a listener that says what it hears.
func echo(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); _, _ = io.Copy(c, c) }()
		}
	}()
	return l.Addr().String()
}

// A link passes, holds what meets a cut of either way, and breaks those connections once the cut is over; a delay is at
// least as long as it says.
func TestLink(t *testing.T) {
	k, err := NewLink(echo(t), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer k.Close()
	said := func(c net.Conn) bool {
		if _, err := c.Write([]byte("x")); err != nil {
			return false
		}
		_ = c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		_, err := c.Read(make([]byte, 1))
		return err == nil
	}
	dial := func() net.Conn {
		c, err := net.Dial("tcp", k.Address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	for _, cut := range []State{{CutTo: true}, {CutFrom: true}, {CutTo: true, CutFrom: true}} {
		c := dial()
		if !said(c) {
			t.Fatal("nothing passes")
		}
		k.Set(cut)
		if said(c) {
			t.Errorf("%+v: it passes", cut)
		}
		k.Set(State{})
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := c.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "timeout") {
			t.Errorf("%+v: behind it the connection still stands: %v", cut, err)
		}
		if !said(dial()) {
			t.Errorf("%+v: a new connection does not pass behind it", cut)
		}
	}
	c := dial()
	k.Set(State{Delay: 20 * time.Millisecond})
	if begin := time.Now(); !said(c) || time.Since(begin) < 40*time.Millisecond {
		t.Error("not delayed both ways")
	}
	k.Reset()
	if said(c) {
		t.Error("not reset")
	}
}

// The same seed gives the same schedule; one fault of a process at a time, all within the span; one voter at
// the most loses its disk.
func TestDraw(t *testing.T) {
	span := time.Minute
	for seed := range uint64(20) {
		a, b := Draw(seed, Kinds(), 9, 5, span, 300*time.Millisecond, 5*time.Second), Draw(seed, Kinds(), 9, 5, span, 300*time.Millisecond, 5*time.Second)
		if fmt.Sprint(a) != fmt.Sprint(b) || len(a) < 30 {
			t.Fatalf("seed %d: %d and %d events", seed, len(a), len(b))
		}
		until, lost := map[int]time.Duration{}, 0
		for _, e := range a {
			if e.Kind == KillAndWipe && e.Process < 5 {
				lost++
			}
			if e.At < until[e.Process] || e.At+e.For > span || lost > 1 {
				t.Errorf("seed %d: %+v", seed, e)
			}
			until[e.Process] = e.At + e.For
		}
	}
}

// What processes acted on is read from their logs, and how long any two were apart.
func TestApart(t *testing.T) {
	at := time.UnixMilli(1_000_000)
	line := func(ms int, versions string, lapsed bool) string {
		return fmt.Sprintf("level=INFO msg=\"config version applied\" versions=%s lease_expired=%t at_ms=%d\n", versions, lapsed, 1_000_000+ms)
	}
	a := line(0, "[1]", false) + line(500, "\"[1 2]\"", false) + line(900, "[2]", false)
	for _, c := range []struct {
		log                   string
		away                  []Absence
		contradiction, lapsed int
	}{
		{line(0, "[1]", false), nil, 1100, 0},
		{line(0, "[1]", false) + line(850, "\"[1 2]\"", false), nil, 0, 0},
		{line(0, "[1]", false) + line(950, "[1]", true), nil, 50, 1050},
		{line(0, "[1]", false) + line(1500, "[2]", false), []Absence{{at.Add(600 * time.Millisecond), at.Add(1500 * time.Millisecond)}}, 0, 0},
	} {
		end := at.Add(2 * time.Second)
		contradiction, lapsed := ContradictionTime([][]EffectiveState{EffectiveStates(a, end, nil), EffectiveStates(c.log, end, c.away)})
		if contradiction != time.Duration(c.contradiction)*time.Millisecond || lapsed != time.Duration(c.lapsed)*time.Millisecond {
			t.Errorf("%q: apart for %v, without a lease %v", c.log, contradiction, lapsed)
		}
	}
}

// build builds the dispatcher.
func build(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "brassdale")
	if out, err := exec.Command("go", "build", "-o", binary, "brassdale/cmd/brassdale").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return binary
}

// Boxes and ten real dispatchers are released at once, discovery has more callers than it serves, and moves, which SIGHUP
// tells a second later: the old list holds, watches go on at the new address, calls stay bounded, nothing goes to a box past
// the grace of its drain, and all that was taken is answered.
func TestRelease(t *testing.T) {
	t.Parallel()
	f, err := Load("../../scenarios/fleet/release.hcl")
	if err != nil {
		t.Fatal(err)
	}
	p := f.Plan(3, 10)
	p.Span, p.Release.At, p.Release.DiscoveryMovesAt, p.Release.DiscoveryCallRate, p.Release.ClientTimeout = 10*time.Second, time.Second, 3*time.Second, 5, 200*time.Millisecond
	r, err := Play(t.Context(), p, build(t), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if r.Bad() || r.Restarted != 10 || r.Jobs < 300 || r.ListRefused == 0 || r.MaxListCalls > 8*p.Processes {
		t.Errorf("%+v", r)
	}
	if most := p.Release.NotifyAfter + 3*time.Second; r.WatchGapMS > float64(most.Milliseconds()) {
		t.Errorf("a dispatcher had no call open for %v ms", r.WatchGapMS)
	}
}

// Five real processes under a short schedule of all kinds: no contradiction, no rule broken, every job answered once. The
// scenario in the repository can be read, and one with faults names them.
func TestFleet(t *testing.T) {
	t.Parallel()
	f, err := Load("../../scenarios/fleet/agreement.hcl")
	if err != nil {
		t.Fatal(err)
	}
	binary := build(t)
	p := f.Plan(3, 5)
	p.Voters, p.Span, p.MeanInterval, p.MaxDuration, p.Bound, p.ProposalInterval = 3, 6*time.Second, 500*time.Millisecond, 2*time.Second, time.Second, 500*time.Millisecond
	r, err := Play(t.Context(), p, binary, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if r.Bad() || r.Jobs < 100 || r.Versions == 0 || len(r.Faults) < 3 {
		t.Errorf("%+v", r)
	}
	if err := r.Chart(filepath.Join(t.TempDir(), "x.svg")); err != nil {
		t.Error(err)
	}
	if _, err := Parse([]byte("title = \"x\"\nprocesses = 3\nvoters = 2\nbound = \"2s\"\nspan = \"no\"\nevery = \"1s\"\nlongest = \"1s\"\nrate = 1\nproposals = \"1s\"\nfaults = [\"luck\"]\n"), "x.hcl"); err == nil ||
		!strings.Contains(err.Error(), "x.hcl:3:") || !strings.Contains(err.Error(), "x.hcl:5:") || !strings.Contains(err.Error(), "luck") {
		t.Errorf("%v", err)
	}
}

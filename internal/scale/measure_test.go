package scale

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"brassdale/internal/emulator"
	"brassdale/internal/faults"
)

// A tick counts as late past the allowance alone.
func TestTicker(t *testing.T) {
	var x ticker
	due := time.Now()
	x.ticked(due, due)
	x.ticked(due, due.Add(tickLate))
	if all := x.all(); len(all) != 0 {
		t.Errorf("%+v", all)
	}
	x.ticked(due, due.Add(tickLate+time.Millisecond))
	if all := x.all(); len(all) != 1 || all[0].Due != due || all[0].At != due.Add(tickLate+time.Millisecond) {
		t.Errorf("%+v", all)
	}
}

// A run does not count where the machine was the limit: too many late ticks within the span, too busy cores, or a change that
// came late while a tick did.
func TestFellBehind(t *testing.T) {
	at := time.Now()
	late := func(n int) (all []Late) {
		for range n {
			all = append(all, Late{at, at.Add(time.Second)})
		}
		return all
	}
	for _, c := range []struct {
		what          string
		before, after reading
		want          string
	}{
		{"nothing", reading{}, reading{machine: machine{busy: maxBusy * 1000, all: 1000}}, ""},
		{"a few ticks", reading{}, reading{late: late(ticksMayBeLate)}, ""},
		{"ticks before", reading{late: late(9)}, reading{late: late(9 + ticksMayBeLate)}, ""},
		{"ticks", reading{late: late(2)}, reading{late: late(2 + ticksMayBeLate + 1)}, "4 ticks"},
		{"cores", reading{machine: machine{busy: 500, all: 1000}}, reading{machine: machine{busy: 1400, all: 2000}}, "90% of"},
	} {
		r := &Result{}
		(&stage{}).fellBehind(r, c.before, c.after)
		if r.FellBehind != (c.want != "") || !strings.Contains(r.FellBehindWhy, c.want) {
			t.Errorf("%s: %v %q", c.what, r.FellBehind, r.FellBehindWhy)
		}
		if r.FellBehind && (r.Err() == nil || !strings.Contains(r.Err().Error(), "does not count")) {
			t.Errorf("%s: %v", c.what, r.Err())
		}
	}
	f := &stage{changes: []change{{version: 2, at: at}}}
	acted := func(after time.Duration) []*history {
		return []*history{{member: &member{name: "h1"}, effectiveStates: []faults.EffectiveState{{From: at.Add(after), To: at.Add(time.Hour), Versions: []uint64{2}}}}}
	}
	for _, c := range []struct {
		after, due, came time.Duration
		want             bool
	}{
		{slow + time.Second, time.Second, 1500 * time.Millisecond, true},
		{slow - time.Millisecond, 0, 500 * time.Millisecond, false},
		{slow + time.Second, -2 * time.Second, -time.Second, false},
		{slow + time.Second, 3 * time.Second, 4 * time.Second, false},
	} {
		r := &Result{}
		f.inForce(r, acted(c.after), []Late{{at.Add(c.due), at.Add(c.came)}})
		if r.FellBehind != c.want || c.want && !strings.Contains(r.FellBehindWhy, "version 2 was in force at h1 after 2000 ms") {
			t.Errorf("%+v: %v %q", c, r.FellBehind, r.FellBehindWhy)
		}
	}
}

// A process of simulated dispatchers that was stopped for longer than tickLate reports it, and the run does not count. The process starts
// its ticker in a goroutine of its own: a stop before its first tick would count nothing, so that the test waits for two ticks first.
func TestStarved(t *testing.T) {
	f, err := Parse([]byte(sizesFile), "x.hcl")
	all := points(t, f, err)
	x := &stage{Plan: all[0].Plan, Options: options(t), ctx: t.Context(), dir: t.TempDir(), contacts: newClient(), orders: newClient()}
	if x.cluster, err = emulator.Open(x.scenario()); err != nil {
		t.Fatal(err)
	}
	defer x.cluster.Close()
	defer x.closeAll()
	if err := x.build(); err != nil {
		t.Fatal(err)
	}
	if err := x.startHollow(x.groups[0]); err != nil {
		t.Fatal(err)
	}
	before, err := x.read()
	if err != nil {
		t.Fatal(err)
	}
	if len(before.control) != len(x.groups[0]) {
		t.Errorf("%d dispatchers in a process of %d", len(before.control), len(x.groups[0]))
	}
	process := x.processes()[0].cmd.Process
	time.Sleep(2 * tickEvery) // its ticker runs
	for range ticksMayBeLate + 1 {
		_ = process.Signal(syscall.SIGSTOP)
		time.Sleep(tickEvery + 2*tickLate)
		_ = process.Signal(syscall.SIGCONT)
		time.Sleep(2 * tickEvery)
	}
	after, err := x.read()
	if err != nil {
		t.Fatal(err)
	}
	after.machine, before.machine = machine{}, machine{} // however busy it is
	r := &Result{}
	if x.fellBehind(r, before, after); !r.FellBehind || !strings.Contains(r.FellBehindWhy, "late by more than") {
		t.Errorf("%v %q", r.FellBehind, r.FellBehindWhy)
	}
}

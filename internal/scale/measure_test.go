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
	var x stallDetector
	due := time.Now()
	x.ticked(due, due)
	x.ticked(due, due.Add(tickTolerance))
	if all := x.all(); len(all) != 0 {
		t.Errorf("%+v", all)
	}
	x.ticked(due, due.Add(tickTolerance+time.Millisecond))
	if all := x.all(); len(all) != 1 || all[0].Due != due || all[0].At != due.Add(tickTolerance+time.Millisecond) {
		t.Errorf("%+v", all)
	}
}

// A run does not count where the machine was the limit: too many late ticks within the span, too busy cores, or a change that
// came late while a tick did.
func TestFellBehind(t *testing.T) {
	at := time.Now()
	late := func(n int) (all []lateTick) {
		for range n {
			all = append(all, lateTick{at, at.Add(time.Second)})
		}
		return all
	}
	for _, c := range []struct {
		what          string
		before, after snapshot
		want          string
	}{
		{"nothing", snapshot{}, snapshot{machine: machineCounters{busyTicks: maxBusyShare * 1000, totalTicks: 1000}}, ""},
		{"a few ticks", snapshot{}, snapshot{lateTicks: late(maxLateTicks)}, ""},
		{"ticks before", snapshot{lateTicks: late(9)}, snapshot{lateTicks: late(9 + maxLateTicks)}, ""},
		{"ticks", snapshot{lateTicks: late(2)}, snapshot{lateTicks: late(2 + maxLateTicks + 1)}, "4 ticks"},
		{"cores", snapshot{machine: machineCounters{busyTicks: 500, totalTicks: 1000}}, snapshot{machine: machineCounters{busyTicks: 1400, totalTicks: 2000}}, "90% of"},
	} {
		r := &Result{}
		(&run{}).checkMachine(r, c.before, c.after)
		if r.FellBehind != (c.want != "") || !strings.Contains(r.FellBehindWhy, c.want) {
			t.Errorf("%s: %v %q", c.what, r.FellBehind, r.FellBehindWhy)
		}
		if r.FellBehind && (r.Err() == nil || !strings.Contains(r.Err().Error(), "does not count")) {
			t.Errorf("%s: %v", c.what, r.Err())
		}
	}
	f := &run{changes: []acceptedChange{{version: 2, at: at}}}
	acted := func(after time.Duration) []*history {
		return []*history{{fleetDispatcher: &fleetDispatcher{name: "h1"}, effectiveStates: []faults.EffectiveState{{From: at.Add(after), To: at.Add(time.Hour), Versions: []uint64{2}}}}}
	}
	for _, c := range []struct {
		after, due, came time.Duration
		want             bool
	}{
		{slowChange + time.Second, time.Second, 1500 * time.Millisecond, true},
		{slowChange - time.Millisecond, 0, 500 * time.Millisecond, false},
		{slowChange + time.Second, -2 * time.Second, -time.Second, false},
		{slowChange + time.Second, 3 * time.Second, 4 * time.Second, false},
	} {
		r := &Result{}
		f.addInForce(r, acted(c.after), []lateTick{{at.Add(c.due), at.Add(c.came)}})
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
	x := &run{Plan: all[0].Plan, Options: options(t), ctx: t.Context(), dir: t.TempDir(), polls: newClient(), proposals: newClient()}
	if x.cluster, err = emulator.Open(x.scenario()); err != nil {
		t.Fatal(err)
	}
	defer x.cluster.Close()
	defer x.closeAll()
	if err := x.layOut(); err != nil {
		t.Fatal(err)
	}
	if err := x.startHollowProcess(x.hollowGroups[0]); err != nil {
		t.Fatal(err)
	}
	before, err := x.takeSnapshot()
	if err != nil {
		t.Fatal(err)
	}
	if len(before.control) != len(x.hollowGroups[0]) {
		t.Errorf("%d dispatchers in a process of %d", len(before.control), len(x.hollowGroups[0]))
	}
	process := x.runningHollowProcesses()[0].cmd.Process
	time.Sleep(2 * tickInterval) // its ticker runs
	for range maxLateTicks + 1 {
		_ = process.Signal(syscall.SIGSTOP)
		time.Sleep(tickInterval + 2*tickTolerance)
		_ = process.Signal(syscall.SIGCONT)
		time.Sleep(2 * tickInterval)
	}
	after, err := x.takeSnapshot()
	if err != nil {
		t.Fatal(err)
	}
	after.machine, before.machine = machineCounters{}, machineCounters{} // however busy it is
	r := &Result{}
	if x.checkMachine(r, before, after); !r.FellBehind || !strings.Contains(r.FellBehindWhy, "late by more than") {
		t.Errorf("%v %q", r.FellBehind, r.FellBehindWhy)
	}
}

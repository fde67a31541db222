package scale

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"brassdale/internal/emulator"
)

// A tick counts as late only if it is late by more than tickTolerance.
func TestStallDetector(t *testing.T) {
	var stalls stallDetector
	due := time.Now()
	stalls.ticked(due, due)
	stalls.ticked(due, due.Add(tickTolerance))
	if all := stalls.all(); len(all) != 0 {
		t.Errorf("%+v", all)
	}
	stalls.ticked(due, due.Add(tickTolerance+time.Millisecond))
	if all := stalls.all(); len(all) != 1 || all[0].Due != due || all[0].At != due.Add(tickTolerance+time.Millisecond) {
		t.Errorf("%+v", all)
	}
}

// A process of hollow dispatchers that was stopped for longer than tickTolerance reports it, and the run does not count. The process starts
// its ticker in a goroutine of its own: a stop before its first tick would count nothing, so that the test waits for two ticks first.
func TestStarved(t *testing.T) {
	f, err := Parse([]byte(sizesFile), "x.hcl")
	all := points(t, f, err)
	r := newRun(all[0].Plan, options(t), t.TempDir())
	if r.cluster, err = emulator.Open(r.plan.scenario()); err != nil {
		t.Fatal(err)
	}
	defer r.cluster.Close()
	defer r.closeAll()
	if err := r.layOut(); err != nil {
		t.Fatal(err)
	}
	if err := r.startHollowProcess(r.hollowGroups[0]); err != nil {
		t.Fatal(err)
	}
	before, err := r.takeSnapshot(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if len(before.control) != len(r.hollowGroups[0]) {
		t.Errorf("%d dispatchers in a process of %d", len(before.control), len(r.hollowGroups[0]))
	}
	process := r.runningHollowProcesses()[0].command.Process
	time.Sleep(2 * tickInterval) // its ticker runs
	for range maxLateTicks + 1 {
		_ = process.Signal(syscall.SIGSTOP)
		time.Sleep(tickInterval + 2*tickTolerance)
		_ = process.Signal(syscall.SIGCONT)
		time.Sleep(2 * tickInterval)
	}
	after, err := r.takeSnapshot(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	after.machine, before.machine = machineCounters{}, machineCounters{} // however busy it is
	result := &Result{}
	if checkMachine(result, before, after); !result.FellBehind || !strings.Contains(result.FellBehindWhy, "late by more than") {
		t.Errorf("%v %q", result.FellBehind, result.FellBehindWhy)
	}
}

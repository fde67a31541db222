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
	stalls.recordTick(due, due)
	stalls.recordTick(due, due.Add(tickTolerance))
	if all := stalls.lateTicks(); len(all) != 0 {
		t.Errorf("expected no late tick, got %+v", all)
	}
	stalls.recordTick(due, due.Add(tickTolerance+time.Millisecond))
	if all := stalls.lateTicks(); len(all) != 1 || all[0].Due != due || all[0].At != due.Add(tickTolerance+time.Millisecond) {
		t.Errorf("expected one late tick, got %+v", all)
	}
}

// If a process of hollow dispatchers is stopped for longer than tickTolerance, it reports late ticks, and the run does not count. The ticker starts
// in a goroutine of its own, and a stop before its first tick would not be detected, so the test waits for two ticks first.
func TestStoppedHollowProcess(t *testing.T) {
	f, err := Parse([]byte(sweepFile), "x.hcl")
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
		t.Errorf("got counts of %d dispatchers from a process of %d", len(before.control), len(r.hollowGroups[0]))
	}
	process := r.runningHollowProcesses()[0].command.Process
	time.Sleep(2 * tickInterval) // until the process's ticker runs
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
	after.machine, before.machine = machineCounters{}, machineCounters{} // regardless of the machine's load
	result := &Result{}
	if checkMachine(result, before, after); !result.FellBehind || !strings.Contains(result.FellBehindWhy, "late by more than") {
		t.Errorf("expected a run that fell behind by late ticks, got %v, reason %q", result.FellBehind, result.FellBehindWhy)
	}
}

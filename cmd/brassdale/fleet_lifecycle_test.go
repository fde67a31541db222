package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestFleet_nameInUse checks that a second process with the same name gets no lease until the lease of the first has lapsed. If the first
// was only stopped, it has no lease when it continues, and gets one again once the second has left.
func TestFleet_nameInUse(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 3, 1)
	fleet.propose("retries = 0.5\n", 0)
	fleet.waitForVersion(1, fleet.indices()...)
	fleet.addresses, fleet.directories = append(fleet.addresses, strings.Replace(fleet.addresses[3], ".4:", ".5:", 1)), append(fleet.directories, t.TempDir())
	fleet.stopProcess(3)
	second := startDispatcherWith(t, fleet.operatorFile(4), withSetting(`"name":"n0"`, `"name":"n3"`), fleet.workers...)
	fleet.dispatchers = append(fleet.dispatchers, second)
	fleet.waitForVersion(1, 4) // the lease of the first process has lapsed
	fleet.resume(3)
	fleet.dispatchers[3].waitFor("no lease of the first process", func() bool { return fleet.lastState(3).Lapsed })
	for range 5 { // it gets no lease while the second process has one
		fleet.dispatchers[3].waitFor("a lapsed lease in the status", func() bool { return strings.Contains(fleet.runFleetCommand(3, "status"), "true") })
	}
	second.terminate()
	fleet.waitForVersion(1, 3) // a process that leaves returns its lease
}

// TestFleet_handoverOfVoter checks that the successor of the leader takes over its place as a voter, with the same directory, once the
// leader's process has ended: the raft group has the same three voters, and agrees on the next version.
func TestFleet_handoverOfVoter(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 3, 0)
	fleet.propose("retries = 0.5\n", 0)
	fleet.waitForVersion(1, fleet.indices()...)
	leader := fleet.leader()
	old := fleet.dispatchers[leader]
	successor := old.startSuccessor(fleet.operatorFile(leader))
	old.waitForHandovers(1)
	old.terminate()
	fleet.dispatchers[leader] = successor
	fleet.waitForVersion(1, fleet.indices()...)
	fleet.propose("retries = 0.25\n", leader)
	fleet.waitForVersion(2, fleet.indices()...)
	if out := fleet.runFleetCommand(leader, "council"); strings.Count(out, "true") != 3 || !strings.Contains(out, fleet.addresses[leader]) {
		t.Errorf("after the handover: want three voters, one of them the successor, got:\n%s", out)
	}
	if out := fleet.runFleetCommand(leader, "diff"); !strings.Contains(out, "retries 0.5 -> 0.25") {
		t.Errorf("difference of the versions: want \"retries 0.5 -> 0.25\", got:\n%s", out)
	}
}

// TestFleet_recoveryWithoutMajority checks that a new raft group is created from the directory of the only remaining voter of three,
// unless another old voter still answers. The other dispatchers join it, including an old voter that returns later.
func TestFleet_recoveryWithoutMajority(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 3, 1)
	fleet.propose("retries = 0.5\n", 0)
	fleet.waitForVersion(1, fleet.indices()...)
	fleet.kill(0, 1, 2)
	recover := func() (int, string) {
		code, out, errs := runCommand(t, "fleet", "recover", fleet.directories[2], "--seat", "3", "--name", "n2",
			"--listen", fleet.addresses[2], "--old", strings.Join(fleet.addresses[:3], ","))
		return code, out + errs
	}
	fleet.restart(1)
	if code, out := recover(); code == 0 || !strings.Contains(out, "still answers") {
		t.Errorf("recover while an old voter answers: want an error with \"still answers\", got: %s", out)
	}
	fleet.kill(1)
	if code, out := recover(); code != 0 || !strings.Contains(out, "era 1") {
		t.Fatalf("recover: want exit code 0 and epoch 1, got: %s", out)
	}
	fleet.restart(2)
	fleet.waitForVersion(1, 2, 3)
	fleet.propose("retries = 0.25\n", 3)
	fleet.waitForVersion(2, 2, 3)
	fleet.restart(0) // with its directory of the old group, in which it has no majority; it finds the new group
	fleet.waitForVersion(2, 0, 2, 3)
	fleet.dispatchers[0].waitFor("the new epoch at the old voter", func() bool {
		return strings.Contains(fleet.runFleetCommand(0, "status"), "era            1")
	})
}

// TestFleet_largeProposalAndReload checks that a proposal of 4 MB, which detaches 2,000 workers, reaches all dispatchers. It also checks
// that SIGHUP proposes the rules file of the dispatcher's settings. Without such a file, or if its rules are already in force, nothing is
// proposed; an invalid file is rejected with the place of the error.
func TestFleet_largeProposalAndReload(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 3, 2)
	var large strings.Builder
	large.WriteString("out = [\n")
	for i := range 2000 {
		fmt.Fprintf(&large, "  %q,\n", fmt.Sprintf("s-%05d%s", i, strings.Repeat("x", 2000)))
	}
	large.WriteString("]\n")
	fleet.propose(large.String(), 4)
	fleet.waitForVersion(1, fleet.indices()...)
	if status, _, _ := fleet.dispatchers[3].sendKey("beside-4-MB"); status != 200 {
		t.Errorf("with 2,000 detached workers: status %d, want 200", status)
	}

	fleet.dispatchers[0].reload(fleet.dispatchers[0].config)
	fleet.dispatchers[0].waitForLog("no rules file to propose")
	rules := filepath.Join(t.TempDir(), "rules.hcl")
	writeRules := func(text string) {
		if err := os.WriteFile(rules, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	writeRules("retries = 0.25\n")
	fleet.kill(3)
	operator := strings.Replace(fleet.operatorFile(3), " bound =", fmt.Sprintf(" rules = %q\n bound =", rules), 1)
	dispatcher := fleet.dispatchers[3].startAgain(fleet.dispatchers[3].config, operator)
	fleet.dispatchers[3] = dispatcher
	fleet.waitForVersion(1, fleet.indices()...)
	dispatcher.reload(dispatcher.config)
	fleet.waitForVersion(2, fleet.indices()...)
	dispatcher.reload(dispatcher.config)
	dispatcher.waitForLog("rules file already in force")
	writeRules("retries = \"many\"\n")
	dispatcher.reload(dispatcher.config)
	dispatcher.waitForLog("rules.hcl:1")
}

// TestFleet_quotaCapAndDetachedWorker checks that a change of quotas, and a command that detaches a worker, each create a config version
// for the whole fleet: no dispatcher sends that worker a request, and the history shows both.
func TestFleet_quotaCapAndDetachedWorker(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 1, 1)
	fleet.propose("shares = { deeside-aero = 0.1 }\n", 1)
	fleet.waitForVersion(1, 0, 1)
	if out := fleet.runFleetCommand(1, "detach", "a", "--why", "rebuilt"); !strings.Contains(out, "version 2") {
		t.Fatal(out)
	}
	fleet.waitForVersion(2, 0, 1)
	before := fleet.workers[0].jobCount()
	for i, dispatcher := range fleet.dispatchers {
		for k := range 4 {
			dispatcher.sendKey(fmt.Sprint("d-", i, "-", k))
		}
	}
	if after := fleet.workers[0].jobCount(); after != before {
		t.Errorf("%d requests at a detached worker, want 0", after-before)
	}
	if out := fleet.runFleetCommand(0, "history"); !strings.Contains(out, "deeside-aero:0.1") || !strings.Contains(out, "rebuilt") {
		t.Error(out)
	}
	if out := fleet.runFleetCommand(1, "attach", "a", "--why", "back"); !strings.Contains(out, "version 3") {
		t.Fatal(out)
	}
	fleet.waitForVersion(3, 0, 1)
}

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// A second process under a name in use gets no lease until the first's has ended, and then goes on; the first, were it only
// frozen, has none when it wakes.
func TestFleet_nameInUse(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 3, 3, 1)
	fleet.propose("retries = 0.5\n", 0)
	fleet.waitForVersion(1, fleet.indices()...)
	fleet.addresses, fleet.directories = append(fleet.addresses, strings.Replace(fleet.addresses[3], ".4:", ".5:", 1)), append(fleet.directories, t.TempDir())
	fleet.dispatchers[3].command.Process.Signal(syscall.SIGSTOP)
	twin := startDispatcherWith(t, fleet.operatorFile(4), func(config string) string { return strings.Replace(config, `"name":"n0"`, `"name":"n3"`, 1) }, fleet.workers...)
	fleet.dispatchers = append(fleet.dispatchers, twin)
	fleet.waitForVersion(1, 4) // the first's lease has run out
	fleet.dispatchers[3].command.Process.Signal(syscall.SIGCONT)
	fleet.dispatchers[3].waitFor("the frozen one without a lease", func() bool {
		all := fleet.effectiveStates(3)
		return len(all) > 0 && all[len(all)-1].Lapsed
	})
	for range 5 { // and it does not get one while the other has it
		fleet.dispatchers[3].waitFor("another question in vain", func() bool { return strings.Contains(fleet.runFleetCommand(3, "status"), "true") })
	}
	twin.terminate()
	fleet.waitForVersion(1, 3) // who left said so
}

// A successor takes over the dispatcher's seat, on the same file, once the old process has ended: there is no second vote,
// and the fleet goes on.
func TestFleet_handoverOfVoter(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 4, 3, 0)
	fleet.propose("retries = 0.5\n", 0)
	fleet.waitForVersion(1, fleet.indices()...)
	lead := fleet.leader()
	old := fleet.dispatchers[lead]
	next := old.startSuccessor(fleet.operatorFile(lead))
	old.waitForHandovers(1)
	old.terminate()
	fleet.dispatchers[lead] = next
	fleet.waitForVersion(1, fleet.indices()...)
	fleet.propose("retries = 0.25\n", lead)
	fleet.waitForVersion(2, fleet.indices()...)
	if out := fleet.runFleetCommand(lead, "council"); strings.Count(out, "true") != 3 || !strings.Contains(out, fleet.addresses[lead]) {
		t.Errorf("council:\n%s", out)
	}
	if out := fleet.runFleetCommand(lead, "diff"); !strings.Contains(out, "retries 0.5 -> 0.25") {
		t.Errorf("diff:\n%s", out)
	}
}

// Two of three voters are lost for good. What the third has on file makes a new council, which the others join; an old voter
// that is back after all has no say, and nobody who has heard of the new council goes back to the old one.
func TestFleet_recoveryWithoutMajority(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 5, 3, 1)
	fleet.propose("retries = 0.5\n", 0)
	fleet.waitForVersion(1, fleet.indices()...)
	fleet.kill(0, 1, 2)
	recover := func() (int, string) {
		code, out, errs := runCommand(t, "fleet", "recover", fleet.directories[2], "--seat", "3", "--name", "n2", "--listen", fleet.addresses[2], "--old", fleet.addresses[0]+","+fleet.addresses[1]+","+fleet.addresses[2])
		return code, out + errs
	}
	fleet.restart(1)
	if code, out := recover(); code == 0 || !strings.Contains(out, "still answers") {
		t.Errorf("recovered beside an old voter: %s", out)
	}
	fleet.kill(1)
	if code, out := recover(); code != 0 || !strings.Contains(out, "era 1") {
		t.Fatalf("recover: %s", out)
	}
	fleet.restart(2)
	fleet.waitForVersion(1, 2, 3)
	fleet.propose("retries = 0.25\n", 3)
	fleet.waitForVersion(2, 2, 3)
	fleet.restart(0) // with the old council's file: alone it leads nobody, and it finds the new one
	fleet.waitForVersion(2, 0, 2, 3)
	fleet.dispatchers[0].waitFor("the old voter's part in the old council to end", func() bool { return strings.Contains(fleet.runFleetCommand(0, "status"), "era            1") })
}

// A proposal of 4 MB reaches all: 2,000 workers are out. SIGHUP at one dispatcher proposes the file that its council's block
// names, and says so where it names none; the same file again proposes nothing; a bad one is refused with its place.
func TestFleet_largeProposalAndReload(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 6, 3, 2)
	var large strings.Builder
	large.WriteString("out = [\n")
	for i := range 2000 {
		fmt.Fprintf(&large, "  %q,\n", fmt.Sprintf("s-%05d%s", i, strings.Repeat("x", 2000)))
	}
	large.WriteString("]\n")
	fleet.propose(large.String(), 4)
	fleet.waitForVersion(1, fleet.indices()...)
	if status, _, _ := fleet.dispatchers[3].send(newRequest(fleet.dispatchers[3].http1URL, "beside-4-MB")); status != 200 {
		t.Errorf("a job beside 2,000 workers that are out: %d", status)
	}

	fleet.dispatchers[0].reload(fleet.dispatchers[0].config)
	fleet.dispatchers[0].waitFor("word that nothing is proposed", func() bool { return strings.Contains(fleet.dispatchers[0].log(), "no rules file to propose") })
	rules := filepath.Join(t.TempDir(), "rules.hcl")
	put := func(text string) {
		if err := os.WriteFile(rules, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	put("retries = 0.25\n")
	fleet.kill(3)
	dispatcher := &testDispatcher{t: t, discovery: fleet.dispatchers[3].discovery, tempDir: fleet.dispatchers[3].tempDir, exited: make(chan struct{})}
	dispatcher.startProcess(fleet.dispatchers[3].config, strings.Replace(fleet.operatorFile(3), " bound =", fmt.Sprintf(" rules = %q\n bound =", rules), 1))
	dispatcher.waitUntilReady("")
	fleet.dispatchers[3] = dispatcher
	fleet.waitForVersion(1, fleet.indices()...)
	dispatcher.reload(dispatcher.config)
	fleet.waitForVersion(2, fleet.indices()...)
	dispatcher.reload(dispatcher.config)
	dispatcher.waitFor("word that it is in force", func() bool { return strings.Contains(dispatcher.log(), "rules file already in force") })
	put("retries = \"many\"\n")
	dispatcher.reload(dispatcher.config)
	dispatcher.waitFor("the refusal", func() bool { return strings.Contains(dispatcher.log(), "rules.hcl:1") })
}

// A share that the fleet's rules cap is capped at each dispatcher, and a worker taken out of the fleet by one command gets
// nothing at any.
func TestFleet_quotaCapAndDetachedWorker(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 7, 1, 1)
	fleet.propose("shares = { deeside-aero = 0.1 }\n", 1)
	fleet.waitForVersion(1, 0, 1)
	if out := fleet.runFleetCommand(1, "detach", "a", "--why", "rebuilt"); !strings.Contains(out, "version 2") {
		t.Fatal(out)
	}
	fleet.waitForVersion(2, 0, 1)
	_, before := fleet.workers[0].count()
	for i, dispatcher := range fleet.dispatchers {
		for k := range 4 {
			dispatcher.send(newRequest(dispatcher.http1URL, fmt.Sprint("d-", i, "-", k)))
		}
	}
	if _, after := fleet.workers[0].count(); after != before {
		t.Errorf("%d jobs at a worker that is out", after-before)
	}
	if out := fleet.runFleetCommand(0, "history"); !strings.Contains(out, "deeside-aero:0.1") || !strings.Contains(out, "rebuilt") {
		t.Error(out)
	}
	if out := fleet.runFleetCommand(1, "attach", "a", "--why", "back"); !strings.Contains(out, "version 3") {
		t.Fatal(out)
	}
	fleet.waitForVersion(3, 0, 1)
}

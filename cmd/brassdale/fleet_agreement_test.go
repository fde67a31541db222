package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"brassdale/internal/faults"
)

// Five processes agree: a worker that the rules put out gets nothing at any of them; the leader is killed between the steps, a
// follower stands still over a change, and never do two with leases act on versions that have nothing in common.
func TestFleet_agreesOnConfigVersions(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 1, 3, 2)
	fleet.propose("retries = 0.5\nout = [\"a\"]\n", 4)
	fleet.waitForVersion(1, fleet.indices()...)
	_, before := fleet.workers[0].count()
	for i, dispatcher := range fleet.dispatchers {
		if status, _, _ := dispatcher.send(newRequest(dispatcher.http1URL, fmt.Sprint("out-", i))); status != 200 {
			t.Errorf("dispatcher %d: %d", i, status)
		}
	}
	if _, after := fleet.workers[0].count(); after != before {
		t.Errorf("%d jobs at a worker that is out", after-before)
	}
	if status, text := fleet.dispatchers[3].callAdmin("POST", "/_workers/attach", "a"); status != 409 {
		t.Errorf("put back by one dispatcher alone: %d %s", status, text)
	}

	lead := fleet.leader()
	fleet.propose("retries = 0.1\n", lead)
	fleet.dispatchers[lead].command.Process.Kill()
	<-fleet.dispatchers[lead].exited
	fleet.absences[lead] = append(fleet.absences[lead], faults.Absence{From: time.Now()})
	rest := without(fleet.indices(), lead)
	fleet.waitForVersion(2, rest...)

	still := 4
	fleet.dispatchers[still].command.Process.Signal(syscall.SIGSTOP)
	fleet.absences[still] = append(fleet.absences[still], faults.Absence{From: time.Now()})
	fleet.propose("repeat = false\n", rest[0])
	fleet.waitForVersion(3, without(rest, still)...) // the change waits for its lease, and no longer
	fleet.dispatchers[still].command.Process.Signal(syscall.SIGCONT)
	fleet.waitForVersion(3, still)
	if longest := fleet.contradictionTime(); longest > 50*time.Millisecond { // the log's lines are written behind the fact
		t.Errorf("versions apart for %v", longest)
	}
	if code, out, _ := runCommand(t, "fleet", "history", "--address", fleet.addresses[rest[0]]); code != 0 || strings.Count(out, "test") != 3 {
		t.Errorf("history:\n%s", out)
	}
}

// The council loses its majority: jobs go on, nothing is sent twice once the leases have run out; it is back with one voter,
// and that with its disk, and goes on where it was. A change meanwhile is refused, not lost.
func TestFleet_majorityLost(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 2, 3, 1)
	fleet.propose("retries = 0.5\n", 0)
	fleet.waitForVersion(1, fleet.indices()...)
	for _, i := range []int{0, 1} {
		fleet.dispatchers[i].command.Process.Kill()
		<-fleet.dispatchers[i].exited
	}
	for _, i := range []int{2, 3} {
		fleet.dispatchers[i].waitFor("the lease's end", func() bool {
			all := fleet.effectiveStates(i)
			return all[len(all)-1].Lapsed && fmt.Sprint(all[len(all)-1].Versions) == "[1]"
		})
		if status, _, _ := fleet.dispatchers[i].send(newRequest(fleet.dispatchers[i].http1URL, fmt.Sprint("alone-", i))); status != 200 {
			t.Errorf("dispatcher %d without a council: %d", i, status)
		}
	}
	if code, _, _ := runCommand(t, "fleet", "rollback", "--why", "none", "--address", fleet.addresses[3]); code == 0 {
		t.Error("a change went through without a majority")
	}
	fleet.restart(0)
	fleet.waitForVersion(1, 0, 2, 3)
	fleet.propose("retries = 0.2\n", 3)
	fleet.waitForVersion(2, 0, 2, 3)
}

// What is wrong with a block or a proposal is told with its place.
func TestFleet_invalidSettingsAndProposals(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	for name, text := range map[string]string{
		"voters": "council {\n fleet = \"t\"\n listen = \"127.0.0.1:1\"\n voters = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\n directory = \"d\"\n}\n",
		"bound":  "council {\n fleet = \"t\"\n listen = \"127.0.0.1:1\"\n voters = [\"127.0.0.1:1\"]\n directory = \"d\"\n bound = \"1ms\"\n}\n",
		"listen": "council {\n fleet = \"t\"\n listen = \"10.0.0.1:1\"\n voters = [\"127.0.0.1:1\"]\n directory = \"d\"\n}\n",
	} {
		path := filepath.Join(dir, name+".hcl")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if code, _, errs := runCommand(t, "check", path); code == 0 || !strings.Contains(errs, name+".hcl:") || !strings.Contains(errs, "Bad "+name) {
			t.Errorf("%s: %d %s", name, code, errs)
		}
	}
	path := filepath.Join(dir, "rules.hcl")
	if err := os.WriteFile(path, []byte("retries = 99\nout = [\"a\"]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if code, _, errs := runCommand(t, "fleet", "propose", path, "--why", "x", "--address", "127.0.0.1:1"); code == 0 || !strings.Contains(errs, "rules.hcl:") {
		t.Errorf("%d %s", code, errs)
	}
}

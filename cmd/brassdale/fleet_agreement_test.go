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
	f := startFleet(t, 1, 3, 2)
	f.propose("retries = 0.5\nout = [\"a\"]\n", 4)
	f.waitForVersion(1, f.indices()...)
	_, before := f.workers[0].count()
	for i, n := range f.dispatchers {
		if status, _, _ := n.send(newRequest(n.http1URL, fmt.Sprint("out-", i))); status != 200 {
			t.Errorf("dispatcher %d: %d", i, status)
		}
	}
	if _, after := f.workers[0].count(); after != before {
		t.Errorf("%d jobs at a worker that is out", after-before)
	}
	if status, text := f.dispatchers[3].callAdmin("POST", "/_workers/attach", "a"); status != 409 {
		t.Errorf("put back by one dispatcher alone: %d %s", status, text)
	}

	lead := f.leader()
	f.propose("retries = 0.1\n", lead)
	f.dispatchers[lead].command.Process.Kill()
	<-f.dispatchers[lead].exited
	f.absences[lead] = append(f.absences[lead], faults.Absence{From: time.Now()})
	rest := without(f.indices(), lead)
	f.waitForVersion(2, rest...)

	still := 4
	f.dispatchers[still].command.Process.Signal(syscall.SIGSTOP)
	f.absences[still] = append(f.absences[still], faults.Absence{From: time.Now()})
	f.propose("repeat = false\n", rest[0])
	f.waitForVersion(3, without(rest, still)...) // the change waits for its lease, and no longer
	f.dispatchers[still].command.Process.Signal(syscall.SIGCONT)
	f.waitForVersion(3, still)
	if longest := f.contradictionTime(); longest > 50*time.Millisecond { // the log's lines are written behind the fact
		t.Errorf("versions apart for %v", longest)
	}
	if code, out, _ := runCommand(t, "fleet", "history", "--address", f.addresses[rest[0]]); code != 0 || strings.Count(out, "test") != 3 {
		t.Errorf("history:\n%s", out)
	}
}

// The council loses its majority: jobs go on, nothing is sent twice once the leases have run out; it is back with one voter,
// and that with its disk, and goes on where it was. A change meanwhile is refused, not lost.
func TestFleet_majorityLost(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, 3, 1)
	f.propose("retries = 0.5\n", 0)
	f.waitForVersion(1, f.indices()...)
	for _, i := range []int{0, 1} {
		f.dispatchers[i].command.Process.Kill()
		<-f.dispatchers[i].exited
	}
	for _, i := range []int{2, 3} {
		f.dispatchers[i].waitFor("the lease's end", func() bool {
			all := f.effectiveStates(i)
			return all[len(all)-1].Lapsed && fmt.Sprint(all[len(all)-1].Versions) == "[1]"
		})
		if status, _, _ := f.dispatchers[i].send(newRequest(f.dispatchers[i].http1URL, fmt.Sprint("alone-", i))); status != 200 {
			t.Errorf("dispatcher %d without a council: %d", i, status)
		}
	}
	if code, _, _ := runCommand(t, "fleet", "rollback", "--why", "none", "--address", f.addresses[3]); code == 0 {
		t.Error("a change went through without a majority")
	}
	f.restart(0)
	f.waitForVersion(1, 0, 2, 3)
	f.propose("retries = 0.2\n", 3)
	f.waitForVersion(2, 0, 2, 3)
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

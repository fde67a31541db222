package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestFleet_agreesOnConfigVersions checks that five dispatchers apply each config version: a worker that a version detaches gets no
// requests from any of them. The leader is killed after one proposal and a follower is stopped during another. The time for which two
// dispatchers with leases have no applied version in common is at most 50 ms.
func TestFleet_agreesOnConfigVersions(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 3, 2)
	fleet.propose("retries = 0.5\nout = [\"a\"]\n", 4)
	fleet.waitForVersion(1, fleet.indices()...)
	before := fleet.workers[0].jobCount()
	for i, dispatcher := range fleet.dispatchers {
		if status, _, _ := dispatcher.sendKey(fmt.Sprint("out-", i)); status != 200 {
			t.Errorf("dispatcher %d: status %d, want 200", i, status)
		}
	}
	if after := fleet.workers[0].jobCount(); after != before {
		t.Errorf("%d requests at a detached worker, want 0", after-before)
	}
	if status, text := fleet.dispatchers[3].callAdmin("POST", "/_workers/attach", "a"); status != 409 {
		t.Errorf("attach at one dispatcher of a worker that the fleet has detached: status %d %s, want 409", status, text)
	}

	leader := fleet.leader()
	fleet.propose("retries = 0.1\n", leader)
	fleet.kill(leader)
	rest := without(fleet.indices(), leader)
	fleet.waitForVersion(2, rest...)

	stopped := 4
	fleet.stopProcess(stopped)
	fleet.recordAbsence(stopped)
	fleet.propose("repeat = false\n", rest[0])
	fleet.waitForVersion(3, without(rest, stopped)...) // as soon as the lease of the stopped dispatcher has lapsed
	fleet.resume(stopped)
	fleet.waitForVersion(3, stopped)
	if longest := fleet.contradictionTime(); longest > 50*time.Millisecond { // not 0, because a change is logged only after it is applied
		t.Errorf("two dispatchers with leases had no applied version in common for %v, more than 50 ms", longest)
	}
	if code, out, _ := runCommand(t, "fleet", "history", "--address", fleet.addresses[rest[0]]); code != 0 || strings.Count(out, "test") != 3 {
		t.Errorf("want a history of three versions, got:\n%s", out)
	}
}

// TestFleet_majorityLost checks that, when two of three voters are lost and the leases have lapsed, dispatchers serve requests with the
// last config version, and a change is rejected. Once one voter is restarted with its directory, the fleet continues from that version.
func TestFleet_majorityLost(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 3, 1)
	fleet.propose("retries = 0.5\n", 0)
	fleet.waitForVersion(1, fleet.indices()...)
	for _, i := range []int{0, 1} {
		fleet.dispatchers[i].kill()
	}
	for _, i := range []int{2, 3} {
		fleet.dispatchers[i].waitFor("a lapsed lease with version 1", func() bool {
			state := fleet.lastState(i)
			return state.Lapsed && slices.Equal(state.Versions, []uint64{1})
		})
		if status, _, _ := fleet.dispatchers[i].sendKey(fmt.Sprint("alone-", i)); status != 200 {
			t.Errorf("dispatcher %d without a majority: status %d, want 200", i, status)
		}
	}
	if code, _, _ := runCommand(t, "fleet", "rollback", "--why", "none", "--address", fleet.addresses[3]); code == 0 {
		t.Error("a change was accepted without a majority")
	}
	fleet.restart(0)
	fleet.waitForVersion(1, 0, 2, 3)
	fleet.propose("retries = 0.2\n", 3)
	fleet.waitForVersion(2, 0, 2, 3)
}

// TestFleet_invalidSettingsAndProposals checks that an invalid block or proposal is reported with its place in the file.
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
			t.Errorf("%s: exit code %d, want not 0 and the place of the setting: %s", name, code, errs)
		}
	}
	path := filepath.Join(dir, "rules.hcl")
	if err := os.WriteFile(path, []byte("retries = 99\nout = [\"a\"]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if code, _, errs := runCommand(t, "fleet", "propose", path, "--why", "x", "--address", "127.0.0.1:1"); code == 0 || !strings.Contains(errs, "rules.hcl:") {
		t.Errorf("invalid proposal: exit code %d, want not 0 and the place in the file: %s", code, errs)
	}
}

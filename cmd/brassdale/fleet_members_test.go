package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
)

// TestFleet_memberStates checks what each of eight dispatchers in two zones reports about the others: the lease of each, and the gossip
// state of those in its own zone. A dispatcher that shuts down is reported as left, a killed one as gone with a lapsed lease, and a
// stopped one as alive again when it continues.
func TestFleet_memberStates(t *testing.T) {
	t.Parallel()
	zone := func(i int) string { return string("ab"[i%2]) }
	fleet := startFleetWith(t, 3, 5, func(i int) string { return fmt.Sprintf("zone = %q\n", zone(i)) })
	fleet.propose("retries = 0.5\n", 0)
	fleet.waitForVersion(1, fleet.indices()...)
	waitForReports := func(what string, member int, wantLease, wantGossip string) {
		t.Helper()
		for reporter := range fleet.dispatchers {
			select {
			case <-fleet.dispatchers[reporter].exited:
				continue
			default:
			}
			want := "-"
			if zone(reporter) == zone(member) {
				want = wantGossip
			}
			fleet.waitForGossip(fmt.Sprintf("%s: dispatcher %d at %d with %q and %q", what, member, reporter, want, wantLease), func() bool {
				gossip, lease, _ := fleet.memberStatus(reporter, member)
				return gossip == want && strings.HasPrefix(lease, wantLease)
			})
		}
	}
	for member := range fleet.dispatchers {
		waitForReports("all running", member, "acknowledged 1", "alive")
	}
	fleet.dispatchers[7].terminate()
	<-fleet.dispatchers[7].exited
	waitForReports("shut down", 7, "left", "left")
	fleet.kill(6)
	waitForReports("killed", 6, "ran out", "gone")
	fleet.stopProcess(5)
	fleet.waitForGossip("the stopped process reported as gone with a lapsed lease", func() bool {
		gossip, lease, _ := fleet.memberStatus(3, 5)
		return gossip == "gone" && strings.HasPrefix(lease, "ran out")
	})
	fleet.recordAbsence(5)
	fleet.resume(5)
	waitForReports("continued", 5, "acknowledged", "alive")
	if duration := fleet.contradictionTime(); duration > 0 {
		t.Errorf("two dispatchers with leases had no applied version in common for %v, want 0", duration)
	}
}

// TestFleet_dedicatedDispatchers checks dispatchers that are dedicated to control: they are not ready for clients but ready at the admin
// API, they serve a request if one arrives, and they become the three voters. A version proposed after that reaches all dispatchers, and
// the metrics count the received bytes of each kind of fleet message.
func TestFleet_dedicatedDispatchers(t *testing.T) {
	t.Parallel()
	fleet := startFleetWith(t, 3, 3, func(i int) string {
		return fmt.Sprintf("replace = \"3s\"\nset_aside = %t\n", i > 2)
	})
	fleet.propose("retries = 0.5\n", 0)
	fleet.waitForVersion(1, fleet.indices()...)
	ready := func(i int) int {
		resp, err := http.Get(fleet.dispatchers[i].http1URL + "/health/ready")
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	if other, dedicated := ready(1), ready(5); other != 200 || dedicated != 503 {
		t.Errorf("readiness: %d, and %d of a dedicated dispatcher, want 200 and 503", other, dedicated)
	}
	if status, _ := fleet.dispatchers[5].callAdmin("GET", "/_ready", ""); status != 200 {
		t.Errorf("readiness at the admin API: %d, want 200", status)
	}
	if status, _, _ := fleet.dispatchers[5].sendKey("aside"); status != 200 {
		t.Errorf("a request at a dedicated dispatcher: %d, want 200", status)
	}
	fleet.waitForGossip("three dedicated voters", func() bool {
		for i := range fleet.dispatchers {
			if _, _, voterID := fleet.memberStatus(0, i); i > 2 && voterID <= 3 || i <= 2 && voterID != 0 {
				return false
			}
		}
		out := fleet.runFleetCommand(3, "council")
		return strings.Count(out, "true") == 3 && strings.Count(out, "\n") == 4
	})
	fleet.propose("retries = 0.25\n", 1)
	fleet.waitForVersion(2, fleet.indices()...)
	if duration := fleet.contradictionTime(); duration > 0 {
		t.Errorf("two dispatchers with leases had no applied version in common for %v, want 0", duration)
	}
	_, metrics := fleet.dispatchers[5].callAdmin("GET", "/_vars", "")
	var missing []string
	for _, kind := range []string{"renewal", "record", "gossip", "member_probe", "raft", "discovery"} {
		if !strings.Contains(metrics, "control_"+kind+"_received=") {
			missing = append(missing, kind)
		}
	}
	if slices.Sort(missing); len(missing) > 0 {
		t.Errorf("no metric of received bytes for %v:\n%s", missing, metrics)
	}
}

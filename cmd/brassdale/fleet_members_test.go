package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"brassdale/internal/faults"
)

// Eight dispatchers in two zones: whoever is asked tells of all by their leases, and of its own zone by gossip too. One that is told
// to end says that it leaves, to the leader and to its neighbours; one that is killed has not; both are told apart, and the
// other zone gossips of neither. One that wakes behind a freeze is there again for all.
func TestFleet_memberStates(t *testing.T) {
	t.Parallel()
	zone := func(i int) string { return string("ab"[i%2]) }
	fleet := startFleetWith(t, 24, 3, 5, func(i int) string { return fmt.Sprintf("zone = %q\n", zone(i)) })
	fleet.propose("retries = 0.5\n", 0)
	fleet.waitForVersion(1, fleet.indices()...)
	see := func(what string, of int, lease string, gossip map[string]string) {
		t.Helper()
		for at := range fleet.dispatchers {
			select {
			case <-fleet.dispatchers[at].exited:
				continue
			default:
			}
			want := "-"
			if zone(at) == zone(of) {
				want = gossip[zone(of)]
			}
			fleet.waitForGossip(fmt.Sprintf("%s: dispatcher %d at %d with %q and %q", what, of, at, want, lease), func() bool {
				g, l, _ := fleet.memberStatus(at, of)
				return g == want && strings.HasPrefix(l, lease)
			})
		}
	}
	for of := range fleet.dispatchers {
		see("all there", of, "acknowledged 1", map[string]string{zone(of): "alive"})
	}
	fleet.dispatchers[7].terminate()
	<-fleet.dispatchers[7].exited
	see("told to end", 7, "left", map[string]string{"b": "left"})
	fleet.kill(6)
	see("killed", 6, "ran out", map[string]string{"a": "gone"})
	fleet.dispatchers[5].command.Process.Signal(syscall.SIGSTOP)
	fleet.waitForGossip("the frozen one gone", func() bool {
		g, l, _ := fleet.memberStatus(3, 5)
		return g == "gone" && strings.HasPrefix(l, "ran out")
	})
	fleet.absences[5] = append(fleet.absences[5], faults.Absence{From: time.Now()})
	fleet.dispatchers[5].command.Process.Signal(syscall.SIGCONT)
	see("awake", 5, "acknowledged", map[string]string{"b": "alive"})
	if apart := fleet.contradictionTime(); apart > 0 {
		t.Errorf("contradiction for %v", apart)
	}
}

// Machines that are set aside want no jobs, are ready for their operators, serve what comes all the same, and are given all seats, the
// leader's too, while rules are proposed and never contradict; the fleet's bytes are at their doors by what they are for.
func TestFleet_dedicatedDispatchers(t *testing.T) {
	t.Parallel()
	fleet := startFleetWith(t, 25, 3, 3, func(i int) string {
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
	if a, b := ready(1), ready(5); a != 200 || b != 503 {
		t.Errorf("ready: %d, and set aside %d", a, b)
	}
	if status, _ := fleet.dispatchers[5].callAdmin("GET", "/_ready", ""); status != 200 {
		t.Errorf("at the door: %d", status)
	}
	if status, _, _ := fleet.dispatchers[5].send(newRequest(fleet.dispatchers[5].http1URL, "aside")); status != 200 {
		t.Errorf("a job that came all the same: %d", status)
	}
	fleet.waitForGossip("all seats on machines set aside", func() bool {
		for i := range fleet.dispatchers {
			if _, _, seat := fleet.memberStatus(0, i); i > 2 && seat <= 3 || i <= 2 && seat != 0 {
				return false
			}
		}
		out := fleet.runFleetCommand(3, "council")
		return strings.Count(out, "true") == 3 && strings.Count(out, "\n") == 4
	})
	fleet.propose("retries = 0.25\n", 1)
	fleet.waitForVersion(2, fleet.indices()...)
	if apart := fleet.contradictionTime(); apart > 0 {
		t.Errorf("contradiction for %v", apart)
	}
	_, figures := fleet.dispatchers[5].callAdmin("GET", "/_vars", "")
	var missing []string
	for _, kind := range []string{"renewal", "record", "gossip", "member_probe", "raft", "discovery"} {
		if !strings.Contains(figures, "control_"+kind+"_received=") {
			missing = append(missing, kind)
		}
	}
	if slices.Sort(missing); len(missing) > 0 {
		t.Errorf("nothing at the door of %v:\n%s", missing, figures)
	}
}

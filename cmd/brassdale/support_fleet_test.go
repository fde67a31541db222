package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"brassdale/internal/faults"
)

// allied are dispatchers of one fleet, each a process with workers' list and files of its own.
type testFleet struct {
	t             *testing.T
	dispatchers   []*testDispatcher
	addresses     []string // their councils' addresses
	directories   []string
	workers       []*testWorker
	absences      map[int][]faults.Absence // when a process stood still or was gone
	voters        int
	extraSettings func(i int) string // that a dispatcher's block says beside the usual
}

// ally starts a fleet. Addresses are of this test alone: each voter has to know the others' before they listen.
func startFleet(t *testing.T, net4, voters, followers int) *testFleet {
	t.Helper()
	return startFleetWith(t, net4, voters, followers, func(int) string { return "" })
}

func startFleetWith(t *testing.T, net4, voters, followers int, more func(int) string) *testFleet {
	t.Helper()
	fleet := &testFleet{t: t, voters: voters, extraSettings: more, workers: []*testWorker{startWorker(t, "a", completeJob), startWorker(t, "b", completeJob)}, absences: map[int][]faults.Absence{}}
	for i := range voters + followers {
		l := must(net.Listen("tcp", fmt.Sprintf("127.77.%d.%d:0", net4, i+1)))
		fleet.addresses = append(fleet.addresses, l.Addr().String())
		l.Close()
		fleet.directories = append(fleet.directories, t.TempDir())
	}
	for i := range fleet.addresses {
		fleet.dispatchers = append(fleet.dispatchers, startDispatcherWith(t, fleet.operatorFile(i), func(config string) string {
			return strings.Replace(config, `"name":"n0"`, fmt.Sprintf(`"name":"n%d"`, i), 1)
		}, fleet.workers...))
	}
	return fleet
}

// again starts a dispatcher of the fleet anew behind its end, with the disk that it has.
func (f *testFleet) restart(i int) {
	f.t.Helper()
	old := f.dispatchers[i]
	dispatcher := &testDispatcher{t: f.t, discovery: old.discovery, tempDir: old.tempDir, exited: make(chan struct{})}
	dispatcher.startProcess(old.config, f.operatorFile(i))
	dispatcher.waitUntilReady("")
	f.dispatchers[i] = dispatcher
}

func (f *testFleet) kill(which ...int) {
	for _, i := range which {
		f.dispatchers[i].command.Process.Kill()
		<-f.dispatchers[i].exited
		f.absences[i] = append(f.absences[i], faults.Absence{From: time.Now()})
	}
}

// fleetSays runs a sub-command of 'fleet' at a dispatcher.
func (f *testFleet) runFleetCommand(i int, args ...string) string {
	_, out, errs := runCommand(f.t, append([]string{"fleet", "--address", f.addresses[i]}, args...)...)
	return out + errs
}

// known is what a dispatcher's 'members' says of another: what gossip has of it there, its lease, its seat.
func (f *testFleet) memberStatus(at, of int) (gossip, lease string, seat uint64) {
	var rows []struct {
		Name          string
		Gossip, Lease string
		Seat          uint64
	}
	code, out, _ := runCommand(f.t, "fleet", "members", "--json", "--address", f.addresses[at])
	if code != 0 || json.Unmarshal([]byte(out), &rows) != nil {
		return "", "", 0
	}
	for _, r := range rows {
		if r.Name == fmt.Sprint("n", of) {
			return r.Gossip, r.Lease, r.Seat
		}
	}
	return "", "", 0
}

// gossips waits for what gossip tells: it asks one neighbour a second, and waits for seconds before it says that one is gone.
func (f *testFleet) waitForGossip(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(60 * time.Second); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("never seen: %s", what)
		}
	}
}

func (f *testFleet) operatorFile(i int) string {
	seat := 0
	if i < f.voters {
		seat = i + 1
	}
	return fmt.Sprintf("council {\n fleet = \"t\"\n listen = %q\n voters = [\"%s\"]\n seat = %d\n directory = %q\n bound = \"1s\"\n%s}\n", f.addresses[i],
		strings.Join(f.addresses[:f.voters], `", "`), seat, f.directories[i], f.extraSettings(i))
}

// propose announces rules at some dispatcher, again where the leader is being changed.
func (f *testFleet) propose(rules string, at int) {
	f.t.Helper()
	path := filepath.Join(f.t.TempDir(), "rules.hcl")
	if err := os.WriteFile(path, []byte(rules), 0o600); err != nil {
		f.t.Fatal(err)
	}
	f.dispatchers[at].waitFor("a proposal taken", func() bool {
		code, out, errs := runCommand(f.t, "fleet", "propose", path, "--why", "test", "--address", f.addresses[at])
		return code == 0 && strings.Contains(out, "announced") || strings.Contains(errs, "under way")
	})
}

// stands are what the process said that it acts on.
func (f *testFleet) effectiveStates(i int) []faults.EffectiveState {
	return faults.EffectiveStates(f.dispatchers[i].log(), time.Now(), f.absences[i])
}

// acts waits until the dispatchers act on a version alone, and hold leases.
func (f *testFleet) waitForVersion(version int, which ...int) {
	f.t.Helper()
	for _, i := range which {
		f.dispatchers[i].waitFor(fmt.Sprintf("dispatcher %d acting on %d", i, version), func() bool {
			all := f.effectiveStates(i)
			return len(all) > 0 && fmt.Sprint(all[len(all)-1].Versions) == fmt.Sprint([]int{version}) && !all[len(all)-1].Lapsed
		})
	}
}

// apart gives how long any two dispatchers with leases acted on versions with nothing in common.
func (f *testFleet) contradictionTime() time.Duration {
	var all [][]faults.EffectiveState
	for i := range f.dispatchers {
		all = append(all, f.effectiveStates(i))
	}
	contradiction, _ := faults.ContradictionTime(all)
	return contradiction
}

// leader gives the dispatcher that leads.
func (f *testFleet) leader() int {
	f.t.Helper()
	lead := -1
	f.dispatchers[0].waitFor("a leader", func() bool {
		for i := range f.voters {
			if code, out, _ := runCommand(f.t, "fleet", "status", "--json", "--address", f.addresses[i]); code == 0 && strings.Contains(out, `"leads": true`) {
				lead = i
				return true
			}
		}
		return false
	})
	return lead
}

func (f *testFleet) indices() (which []int) {
	for i := range f.dispatchers {
		which = append(which, i)
	}
	return which
}

func without(which []int, gone int) (rest []int) {
	for _, i := range which {
		if i != gone {
			rest = append(rest, i)
		}
	}
	return rest
}

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"brassdale/internal/effectivestate"
)

// testFleet is a fleet of dispatcher processes, the first of which are voters of the raft group. Each has a list of the same
// workers and a directory of its own.
type testFleet struct {
	t             *testing.T
	dispatchers   []*testDispatcher
	addresses     []string // by dispatcher: where it listens for the fleet
	directories   []string // by dispatcher
	workers       []*testWorker
	absences      map[int][]effectivestate.Period // by dispatcher: when its log does not describe its state; see recordAbsence
	voters        int
	extraSettings func(index int) string // further lines of a dispatcher's council block
}

// fleetSubnets is the number of subnets that nextFleetSubnet has returned.
var fleetSubnets atomic.Uint32

// nextFleetSubnet returns the number of a loopback subnet that no running fleet of these tests uses.
func nextFleetSubnet() uint32 {
	const usable = 250 // numbers in a byte of an address; far fewer fleets run at the same time
	return (fleetSubnets.Add(1)-1)%usable + 1
}

// startFleet starts a fleet on the IP addresses 127.77.SUBNET.1, .2 and so on, of a subnet that no other fleet uses. Each voter has to know
// the others' addresses before they listen, so their ports are chosen first. At a shared IP address the system could give such a port to a
// connection of another test before the voter listens.
func startFleet(t *testing.T, voters, followers int) *testFleet {
	t.Helper()
	return startFleetWith(t, voters, followers, func(int) string { return "" })
}

// startFleetWith is startFleet with further lines in each dispatcher's council block.
func startFleetWith(t *testing.T, voters, followers int, extraSettings func(index int) string) *testFleet {
	subnet := nextFleetSubnet()
	t.Helper()
	fleet := &testFleet{t: t, voters: voters, extraSettings: extraSettings, absences: map[int][]effectivestate.Period{}}
	fleet.workers = startNamedWorkers(t, completeJob, "a", "b")
	for i := range voters + followers {
		listener := must(net.Listen("tcp", fmt.Sprintf("127.77.%d.%d:0", subnet, i+1)))
		fleet.addresses = append(fleet.addresses, listener.Addr().String())
		listener.Close()
		fleet.directories = append(fleet.directories, t.TempDir())
	}
	for i := range fleet.addresses {
		withName := withSetting(`"name":"n0"`, fmt.Sprintf(`"name":"n%d"`, i))
		fleet.dispatchers = append(fleet.dispatchers, startDispatcherWith(t, fleet.operatorFile(i), withName, fleet.workers...))
	}
	return fleet
}

// restart starts an ended dispatcher again with its directory.
func (f *testFleet) restart(index int) {
	f.t.Helper()
	old := f.dispatchers[index]
	f.dispatchers[index] = old.startAgain(old.config, f.operatorFile(index))
}

// kill ends dispatchers with SIGKILL.
func (f *testFleet) kill(indices ...int) {
	for _, i := range indices {
		f.dispatchers[i].kill()
		f.recordAbsence(i)
	}
}

// stopProcess stops a dispatcher's process with SIGSTOP; resume continues it. Unlike kill it records no absence: a test that uses
// effectiveStates calls recordAbsence if the log is no longer to be evaluated.
func (f *testFleet) stopProcess(index int) {
	f.dispatchers[index].command.Process.Signal(syscall.SIGSTOP)
}

// resume continues a dispatcher's process with SIGCONT.
func (f *testFleet) resume(index int) { f.dispatchers[index].command.Process.Signal(syscall.SIGCONT) }

// recordAbsence records that a dispatcher's log does not describe its state from now on.
func (f *testFleet) recordAbsence(index int) {
	f.absences[index] = append(f.absences[index], effectivestate.Period{From: time.Now()})
}

// runFleetCommand runs a sub-command of 'fleet' at a dispatcher and returns its output and errors.
func (f *testFleet) runFleetCommand(index int, args ...string) string {
	_, out, errs := runCommand(f.t, append([]string{"fleet", "--address", f.addresses[index]}, args...)...)
	return out + errs
}

// memberStatus returns what 'fleet members' at one dispatcher reports about another; zero values if it reports nothing.
func (f *testFleet) memberStatus(reporter, member int) (gossip, lease string, voterID uint64) {
	var rows []struct {
		Name          string
		Gossip, Lease string
		Seat          uint64
	}
	code, out, _ := runCommand(f.t, "fleet", "members", "--json", "--address", f.addresses[reporter])
	if code != 0 || json.Unmarshal([]byte(out), &rows) != nil {
		return "", "", 0
	}
	for _, row := range rows {
		if row.Name == fmt.Sprint("n", member) {
			return row.Gossip, row.Lease, row.Seat
		}
	}
	return "", "", 0
}

// waitForGossip waits up to 60 s for a state that spreads by gossip. Gossip probes one member per second, and takes seconds to report a
// member as gone.
func (f *testFleet) waitForGossip(what string, met func() bool) {
	f.t.Helper()
	waitWithin(f.t, 60*time.Second, 20*time.Millisecond, what, met)
}

// operatorFile returns the operator's file of a dispatcher.
func (f *testFleet) operatorFile(index int) string {
	voterID := 0
	if index < f.voters {
		voterID = index + 1
	}
	return fmt.Sprintf("council {\n fleet = \"t\"\n listen = %q\n voters = [\"%s\"]\n seat = %d\n directory = %q\n bound = \"1s\"\n%s}\n", f.addresses[index],
		strings.Join(f.addresses[:f.voters], `", "`), voterID, f.directories[index], f.extraSettings(index))
}

// propose proposes a file of rules at a dispatcher. It repeats the proposal until it is announced, or rejected because another version is
// under way.
func (f *testFleet) propose(rules string, at int) {
	f.t.Helper()
	path := filepath.Join(f.t.TempDir(), "rules.hcl")
	if err := os.WriteFile(path, []byte(rules), 0o600); err != nil {
		f.t.Fatal(err)
	}
	f.dispatchers[at].waitFor("an accepted proposal", func() bool {
		code, out, errs := runCommand(f.t, "fleet", "propose", path, "--why", "test", "--address", f.addresses[at])
		return code == 0 && strings.Contains(out, "announced") || strings.Contains(errs, "under way")
	})
}

// effectiveStates returns the states of a dispatcher, from its log: applied config versions, and whether its lease had lapsed.
func (f *testFleet) effectiveStates(index int) []effectivestate.State {
	return effectivestate.FromLog(f.dispatchers[index].log(), time.Now(), f.absences[index])
}

// lastState returns the config versions that a dispatcher applies and whether its lease has lapsed; the zero value if it applies none yet.
func (f *testFleet) lastState(index int) (state effectivestate.State) {
	if states := f.effectiveStates(index); len(states) > 0 {
		state = states[len(states)-1]
	}
	return state
}

// waitForVersion waits until all these dispatchers have leases and apply this config version only.
func (f *testFleet) waitForVersion(version uint64, indices ...int) {
	f.t.Helper()
	for _, i := range indices {
		f.dispatchers[i].waitFor(fmt.Sprintf("dispatcher %d with a lease and version %d", i, version), func() bool {
			state := f.lastState(i)
			return slices.Equal(state.Versions, []uint64{version}) && !state.Lapsed
		})
	}
}

// contradictionTime returns the longest time for which two dispatchers with leases had no applied config version in common.
func (f *testFleet) contradictionTime() time.Duration {
	var all [][]effectivestate.State
	for i := range f.dispatchers {
		all = append(all, f.effectiveStates(i))
	}
	contradiction, _ := effectivestate.ContradictionTime(all)
	return contradiction
}

// leader returns the dispatcher that leads the raft group.
func (f *testFleet) leader() int {
	f.t.Helper()
	leader := -1
	f.dispatchers[0].waitFor("a leader", func() bool {
		for i := range f.voters {
			if code, out, _ := runCommand(f.t, "fleet", "status", "--json", "--address", f.addresses[i]); code == 0 && strings.Contains(out, `"leads": true`) {
				leader = i
				return true
			}
		}
		return false
	})
	return leader
}

// indices returns the indices of all dispatchers.
func (f *testFleet) indices() (all []int) {
	for i := range f.dispatchers {
		all = append(all, i)
	}
	return all
}

// without returns all indices except one.
func without(indices []int, excluded int) (rest []int) {
	for _, i := range indices {
		if i != excluded {
			rest = append(rest, i)
		}
	}
	return rest
}

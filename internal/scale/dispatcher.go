package scale

import (
	"fmt"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"brassdale/internal/effectivestate"
	"brassdale/internal/emulator"
)

// costRole is a role of a dispatcher by which results list what control costs. Results have its text as a key.
type costRole string

// The first three are what a dispatcher is for, which does not change during a run. The others are what it is in the raft group for some
// time, and take the place of the first three in FaultCost.
const (
	roleServing   costRole = "dispatcher" // serves jobs
	roleDedicated costRole = "set aside"  // its machine serves no jobs: it is for control alone
	roleBare      costRole = "bare"       // has no fleet
	roleVoter     costRole = "seat"       // a voter that does not lead
	roleLeader    costRole = "leader"
)

// dispatcher is a dispatcher of a run, over all its starts. The run's mutex guards the fields from process on.
type dispatcher struct {
	name          string
	role          costRole // roleServing, roleDedicated or roleBare
	hollow        bool
	fleetAddress  string // where other dispatchers reach it
	zone          int
	voterNumber   int // counted from 1, among the voters of the founded raft group; 0 for no voter
	emulatorIndex int // of a real one: its index in the emulator

	process         *emulator.DispatcherProcess // of a real one that runs
	hollowProcess   *hollowProcess              // of a hollow one that runs
	earlierLogs     string                      // of a real one: of its ended processes
	earlierStates   []effectivestate.State      // of a hollow one: of its ended processes
	effectiveStates []effectivestate.State      // of a hollow one: of its process, as they were fetched last
	absences        []effectivestate.Period     // while it was not running; a successor's first has no From
	partitions      []effectivestate.Period     // while it was running and cut off from other regions
}

// absent reports whether the dispatcher was killed and has not come back. It is called before and after the measured
// span, when no fault is in progress.
func (d *dispatcher) absent() bool {
	return len(d.absences) > 0 && d.absences[len(d.absences)-1].To.IsZero()
}

// addressesReserved counts the addresses that reserveAddress returned.
var addressesReserved atomic.Int64

// The loopback addresses of reserveAddress are 127.88.1.1 to 127.88.250.200.
const (
	addressNetworks     = 250
	addressesPerNetwork = 200
)

// reserveAddress returns an IP address and port that no other dispatcher of this process's runs has. A port alone would not do: one that was
// free may go to another connection, which leaves from 127.0.0.1, or to another run's dispatcher.
func reserveAddress() (string, error) {
	n := int(addressesReserved.Add(1))
	network, host := (os.Getpid()+n/addressesPerNetwork)%addressNetworks+1, n%addressesPerNetwork+1
	listener, err := net.Listen("tcp", fmt.Sprintf("127.88.%d.%d:0", network, host))
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// statesOf returns what a dispatcher has applied until now; of a hollow one, until the last fetchHollowStates.
func (r *run) statesOf(d *dispatcher) []effectivestate.State {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d.hollow {
		return append(slices.Clone(d.earlierStates), d.effectiveStates...)
	}
	log := d.earlierLogs
	if d.process != nil {
		log += d.process.Log()
	}
	return effectivestate.FromLog(log, time.Now(), d.absences)
}

// running returns copies of the dispatchers that run, as they are now.
func (r *run) running() []dispatcher {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []dispatcher
	for _, each := range r.dispatchers {
		if each.process != nil || each.hollowProcess != nil {
			all = append(all, *each)
		}
	}
	return all
}

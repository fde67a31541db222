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

// costRole is a role of dispatchers by which results group the cost of control. Its text is a key in results.
type costRole string

// The first three are the purpose of a dispatcher, which does not change during a run. The others are its temporary role in the raft group, and
// replace the first three in FaultCost.
const (
	roleServing   costRole = "dispatcher" // serves jobs
	roleDedicated costRole = "set aside"  // serves no jobs: its machine is for control only
	roleBaseline  costRole = "bare"       // has no fleet agent
	roleVoter     costRole = "seat"       // a voter that does not lead
	roleLeader    costRole = "leader"
)

// dispatcher is a dispatcher of a run, over all processes that run it one after the other. The run's mutex guards the field process and
// all fields after it.
type dispatcher struct {
	name          string
	role          costRole // roleServing, roleDedicated or roleBaseline
	hollow        bool
	fleetAddress  string // where other dispatchers reach it
	zone          int
	voterNumber   int // counted from 1, among the voters of the founded raft group; 0 if it was not among them
	emulatorIndex int // of a real dispatcher: its index in the emulator

	process         *emulator.DispatcherProcess // of a real dispatcher that runs
	hollowProcess   *hollowProcess              // of a hollow dispatcher that runs
	earlierLogs     string                      // of a real dispatcher: the logs of its ended processes
	earlierStates   []effectivestate.State      // of a hollow dispatcher: the states in its ended processes
	effectiveStates []effectivestate.State      // of a hollow dispatcher: the states in its running process, as last fetched
	absences        []effectivestate.Period     // while it was not running; a successor's first absence has no From
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

// reserveAddress returns an IP address and port that no other dispatcher of this process's runs has. A free port of 127.0.0.1 is not enough: the
// system may give it to an outgoing connection or to a dispatcher of another run before it is used.
func reserveAddress() (string, error) {
	n := int(addressesReserved.Add(1))
	network, host := (os.Getpid()+n/addressesPerNetwork)%addressNetworks+1, n%addressesPerNetwork+1
	listener, err := net.Listen("tcp", fmt.Sprintf("127.88.%d.%d:0", network, host))
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// statesOf returns the states that a dispatcher has applied until now or, if it is hollow, until the last call of fetchHollowStates.
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

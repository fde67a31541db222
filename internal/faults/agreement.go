package faults

import (
	"context"
	"syscall"
	"time"

	"brassdale/internal/effectivestate"
)

const (
	agreementTimeout      = 20 * time.Second
	agreementPollInterval = 10 * time.Millisecond
)

// awaitAgreement waits, after the last event, until all processes act on one version with leases, and records how long that took. After
// agreementTimeout it records a broken rule and sends SIGQUIT, so that the processes log their stacks and end.
func (r *run) awaitAgreement(ctx context.Context) {
	begin := time.Now()
	for time.Since(begin) < agreementTimeout && ctx.Err() == nil {
		if r.agreed() {
			r.result.SettledMS = milliseconds(time.Since(begin))
			return
		}
		time.Sleep(agreementPollInterval)
	}
	for _, process := range r.processes {
		if !process.lost && process.lastStart.Signal(syscall.SIGQUIT) == nil {
			<-process.lastStart.Ended()
		}
	}
	r.result.addBreach("the fleet did not come to one version within 20 s of the last fault")
}

// agreed reports whether all processes that are not lost act on the same version with a lease.
func (r *run) agreed() bool {
	var agreedVersion uint64
	found := false
	for i, states := range r.effectiveStates() {
		if r.processes[i].lost {
			continue
		}
		if len(states) == 0 {
			return false
		}
		version, ok := states[len(states)-1].InForce()
		if !ok || found && version != agreedVersion {
			return false
		}
		agreedVersion, found = version, true
	}
	return true
}

// effectiveStates returns the states that each process has acted on until now.
func (r *run) effectiveStates() [][]effectivestate.State {
	r.mu.Lock()
	defer r.mu.Unlock()
	var states [][]effectivestate.State
	for _, process := range r.processes {
		states = append(states, effectivestate.FromLog(process.log(), time.Now(), process.absences))
	}
	return states
}

package faults

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/faultlink"
	"brassdale/internal/labsupport"
)

// runEvent runs an event that ends at the given time.
func (r *run) runEvent(ctx context.Context, event Event, end time.Time) error {
	index := event.Process
	if index == Leader {
		index = r.leader(ctx)
	}
	process := r.processes[index]
	switch event.Kind {
	case Partition:
		r.partition(event.Group)
		labsupport.WaitUntil(ctx, end)
		r.partition(nil)
	case Flap:
		r.flapLinks(ctx, process, end)
	case Reset:
		r.resetLinks(ctx, process, end)
	case Freeze:
		return r.freeze(ctx, process, end)
	case Kill, KillAndWipe, ClockDrift:
		return r.killAndRestart(ctx, process, event, end)
	case KillForGood:
		r.killForGood(process)
	case RestartAll:
		return r.restartAll(ctx, process, end)
	case ProposeCanary:
		return r.proposeCanary(ctx)
	case ProposeTwice:
		return r.proposeTwice(ctx)
	default:
		r.setLinks(process, event.linkState())
		labsupport.WaitUntil(ctx, end)
		r.setLinks(process, faultlink.State{})
	}
	return nil
}

// freeze stops a process by SIGSTOP until the given time.
func (r *run) freeze(ctx context.Context, process *dispatcherProcess, end time.Time) error {
	r.beginAbsence(process)
	if err := process.lastStart.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	labsupport.WaitUntil(ctx, end)
	r.endAbsence(process)
	return process.lastStart.Signal(syscall.SIGCONT)
}

// kill kills a process.
func (r *run) kill(process *dispatcherProcess) {
	r.beginAbsence(process)
	process.lastStart.Kill()
	process.earlierLog += process.lastStart.Log()
}

// killForGood kills a process that is not restarted.
func (r *run) killForGood(process *dispatcherProcess) {
	r.kill(process)
	r.mu.Lock()
	defer r.mu.Unlock()
	process.lost = true
}

// killAndRestart kills a process and restarts it at the given time. Depending on the kind of the event, it also removes the process's
// data or changes the rate of its clock.
func (r *run) killAndRestart(ctx context.Context, process *dispatcherProcess, event Event, end time.Time) error {
	r.kill(process)
	switch event.Kind {
	case KillAndWipe:
		if err := os.RemoveAll(process.dir); err != nil {
			return err
		}
	case ClockDrift:
		rate := 1 + configversions.MaxClockDrift/2
		if event.Reverse {
			rate = 1 - configversions.MaxClockDrift/2
		}
		process.env = []string{fmt.Sprintf("BRASSDALE_TEST_PACE=%g", rate)}
	}
	labsupport.WaitUntil(ctx, end)
	r.endAbsence(process)
	return r.startProcess(ctx, process)
}

// restartAll kills all processes, removes the data of one, and restarts all at the given time.
func (r *run) restartAll(ctx context.Context, withoutData *dispatcherProcess, end time.Time) error {
	for _, process := range r.processes {
		r.kill(process)
	}
	if err := os.RemoveAll(withoutData.dir); err != nil {
		return err
	}
	labsupport.WaitUntil(ctx, end)
	var starting sync.WaitGroup
	errs := make([]error, len(r.processes))
	for i, process := range r.processes {
		starting.Go(func() {
			r.endAbsence(process)
			errs[i] = r.startProcess(ctx, process)
		})
	}
	starting.Wait()
	return errors.Join(errs...)
}

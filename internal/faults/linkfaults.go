package faults

import (
	"context"
	"time"

	"brassdale/internal/faultlink"
	"brassdale/internal/labsupport"
)

// linkEnds are the indexes of the processes at the ends of a link: from is the caller of to.
type linkEnds struct{ from, to int }

const (
	flapInterval  = 50 * time.Millisecond  // between two changes of flapping links
	resetInterval = 100 * time.Millisecond // between two resets of all connections
)

// openLinks opens a link from each process to each other process, if the plan has voters and events.
func (r *run) openLinks() error {
	if r.plan.Voters == 0 || len(r.plan.Kinds)+len(r.plan.Events) == 0 {
		return nil
	}
	for from := range r.processes {
		for to, called := range r.processes {
			if from == to {
				continue
			}
			link, err := faultlink.New(called.address, r.plan.Seed+uint64(100*from+to))
			if err != nil {
				return err
			}
			r.links[linkEnds{from, to}] = link
		}
	}
	return nil
}

// setLinks sets the fault of a process's links. Faults of the processes at the other ends remain.
func (r *run) setLinks(process *dispatcherProcess, state faultlink.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	process.ownLinkState = state
	for ends, link := range r.links {
		if ends.from == process.index || ends.to == process.index {
			link.Set(r.combinedState(ends))
		}
	}
}

// partition separates a group of processes from the rest; an empty group ends the partition.
func (r *run) partition(group []int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partitioned = map[int]bool{}
	for _, index := range group {
		r.partitioned[index] = true
	}
	for ends, link := range r.links {
		link.Set(r.combinedState(ends))
	}
}

// combinedState returns the state of a link from the faults of both ends and the partition. The caller holds r.mu.
func (r *run) combinedState(ends linkEnds) faultlink.State {
	from, to := r.processes[ends.from].ownLinkState, r.processes[ends.to].ownLinkState
	partitioned := r.partitioned[ends.from] != r.partitioned[ends.to]
	return faultlink.State{
		CutTo:   partitioned || from.CutTo || to.CutFrom,
		CutFrom: partitioned || from.CutFrom || to.CutTo,
		Delay:   max(from.Delay, to.Delay),
		Spread:  max(from.Spread, to.Spread),
		Slow:    from.Slow || to.Slow,
		Reorder: max(from.Reorder, to.Reorder),
	}
}

// flapLinks alternately cuts and heals a process's links until the given end. If the context ends first, the links keep their last state.
func (r *run) flapLinks(ctx context.Context, process *dispatcherProcess, end time.Time) {
	for cut := true; time.Now().Before(end); cut = !cut {
		r.setLinks(process, faultlink.State{CutTo: cut, CutFrom: cut})
		if !labsupport.WaitUntil(ctx, time.Now().Add(flapInterval)) {
			return
		}
	}
	r.setLinks(process, faultlink.State{})
}

// resetLinks resets the connections over a process's links every resetInterval until the given end.
func (r *run) resetLinks(ctx context.Context, process *dispatcherProcess, end time.Time) {
	for time.Now().Before(end) {
		for ends, link := range r.links {
			if ends.from == process.index || ends.to == process.index {
				link.Reset()
			}
		}
		if !labsupport.WaitUntil(ctx, time.Now().Add(resetInterval)) {
			return
		}
	}
	r.setLinks(process, faultlink.State{})
}

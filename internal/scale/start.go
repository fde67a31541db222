package scale

import (
	"context"
	"fmt"
	"time"

	"brassdale/internal/effectivestate"
	"brassdale/internal/labsupport"
)

// startAll starts all dispatchers: first the voters, then all others in parallel.
func (r *run) startAll(ctx context.Context) error {
	var voters, others []func() error
	for _, each := range r.dispatchers {
		start := func() error { return r.startDispatcher(ctx, each) }
		switch {
		case each.hollow:
		case each.voterNumber > 0:
			voters = append(voters, start)
		default:
			others = append(others, start)
		}
	}
	for _, group := range r.hollowGroups {
		others = append(others, func() error { return r.startHollowProcess(group) })
	}
	if err := inParallel(voters); err != nil {
		return err
	}
	return inParallel(others)
}

// fetchHollowStates fetches the states that all running hollow dispatchers have applied.
func (r *run) fetchHollowStates(ctx context.Context) error {
	for _, process := range r.runningHollowProcesses() {
		var states map[string][]effectivestate.State
		if err := r.polls.getJSON(ctx, process.url(statesPath), &states); err != nil {
			return fmt.Errorf("hollow process: %w", err)
		}
		r.mu.Lock()
		for _, each := range r.dispatchers {
			if each.hollowProcess != process {
				continue
			}
			each.effectiveStates = states[each.name]
			if last := len(each.effectiveStates) - 1; last >= 0 {
				each.effectiveStates[last].To = time.Now()
			}
		}
		r.mu.Unlock()
	}
	return nil
}

// awaitLeases waits until all dispatchers have leases. It returns false if some have none at the deadline.
func (r *run) awaitLeases(ctx context.Context, deadline time.Time) bool {
	return r.awaitAll(ctx, deadline, func(state effectivestate.State) bool { return !state.Lapsed })
}

// awaitNewestVersion waits until all dispatchers have leases and apply only the newest version. It returns false if that has not happened
// by the deadline.
func (r *run) awaitNewestVersion(ctx context.Context, deadline time.Time) bool {
	newest := uint64(0)
	for _, change := range r.changes {
		newest = max(newest, change.version)
	}
	return r.awaitAll(ctx, deadline, func(state effectivestate.State) bool {
		return !state.Lapsed && len(state.Versions) == 1 && state.Versions[0] >= newest
	})
}

// awaitAll waits until the states of all dispatchers that are not absent satisfy a condition.
func (r *run) awaitAll(ctx context.Context, deadline time.Time, satisfied func(effectivestate.State) bool) bool {
	for ctx.Err() == nil {
		if r.fetchHollowStates(ctx) == nil && r.allSatisfy(satisfied) {
			return true
		}
		if !labsupport.WaitUntil(ctx, time.Now().Add(statePollInterval)) || time.Now().After(deadline) {
			return false
		}
	}
	return false
}

// allSatisfy reports whether the current states of all dispatchers that are not absent satisfy a condition. Baseline dispatchers have no states.
func (r *run) allSatisfy(satisfied func(effectivestate.State) bool) bool {
	for _, each := range r.dispatchers {
		if each.role == roleBaseline || each.absent() {
			continue
		}
		states := r.statesOf(each)
		if len(states) == 0 || !satisfied(states[len(states)-1]) {
			return false
		}
	}
	return true
}

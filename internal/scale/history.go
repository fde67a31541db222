package scale

import (
	"slices"
	"time"

	"brassdale/internal/effectivestate"
)

// history is the states that a dispatcher applied during the run, and the periods in which changes could not reach it.
type history struct {
	dispatcher      *dispatcher
	effectiveStates []effectivestate.State
	unreached       []effectivestate.Period // absences and partitions, each extended until the dispatcher had applied the newest version
	returnTimesMS   []float64               // from the end of each absence or partition until the dispatcher had applied the newest version
	missed          int                     // absences and partitions after which it never applied the newest version
}

// histories returns the histories of all dispatchers except baseline ones. It is called after the run.
func (r *run) histories() []*history {
	var all []*history
	for _, each := range r.dispatchers {
		if each.role == roleBaseline {
			continue
		}
		h := &history{dispatcher: each, effectiveStates: r.statesOf(each)}
		for _, period := range slices.Concat(each.absences, each.partitions) {
			h.addUnreached(period, r.newestVersionAt(period.To))
		}
		all = append(all, h)
	}
	return all
}

// newestVersionAt returns the newest accepted version that was proposed before a time, or 0 if there is none.
func (r *run) newestVersionAt(at time.Time) uint64 {
	newest := uint64(0)
	for _, change := range r.changes {
		if change.at.Before(at) {
			newest = max(newest, change.version)
		}
	}
	return newest
}

// addUnreached adds an absence or partition. The parameter newest is the newest version at the end of the period.
func (h *history) addUnreached(period effectivestate.Period, newest uint64) {
	if !period.To.IsZero() {
		appliedAt, ok := h.leasedOn(newest, period.To)
		if ok {
			h.returnTimesMS = append(h.returnTimesMS, milliseconds(appliedAt.Sub(period.To)))
		} else {
			h.missed++
		}
		period.To = appliedAt
	}
	h.unreached = append(h.unreached, period)
}

// leasedOn returns the first time, from the given one on, at which the dispatcher had a lease and applied only the given version or a newer
// one. It returns a zero time and false if there is no such time.
func (h *history) leasedOn(version uint64, from time.Time) (time.Time, bool) {
	for _, state := range h.effectiveStates {
		if state.To.After(from) && !state.Lapsed && len(state.Versions) == 1 && state.Versions[0] >= version {
			if state.From.After(from) {
				from = state.From
			}
			return from, true
		}
	}
	return time.Time{}, false
}

// firstAppliedAt returns when the dispatcher first applied only a change's version or a newer one, and false if it never did.
func (h *history) firstAppliedAt(change acceptedChange) (time.Time, bool) {
	for _, state := range h.effectiveStates {
		if len(state.Versions) == 1 && state.Versions[0] >= change.version {
			return state.From, true
		}
	}
	return time.Time{}, false
}

// appliedAt returns when the dispatcher first applied only a change's version or a newer one, with or without a lease, and whether it did
// (ok). unreached reports whether, for a part of the time until then, the change could not reach the dispatcher.
func (h *history) appliedAt(change acceptedChange) (at time.Time, ok, unreached bool) {
	at, ok = h.firstAppliedAt(change)
	unreached = slices.ContainsFunc(h.unreached, func(period effectivestate.Period) bool {
		return (period.To.IsZero() || period.To.After(change.at)) && (!ok || period.From.Before(at))
	})
	return at, ok, unreached
}

// milliseconds returns a duration in milliseconds, to the microsecond.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

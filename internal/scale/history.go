package scale

import (
	"slices"
	"time"

	"brassdale/internal/faults"
)

// history is what a dispatcher applied during the run, and when changes could not reach it.
type history struct {
	dispatcher      *dispatcher
	effectiveStates []faults.EffectiveState
	unreached       []faults.Absence // absences and partitions, until it had applied the newest version again
	returnTimesMS   []float64        // from the end of an absence or partition until it had applied the newest version
	missed          int              // absences and partitions after which it did not
}

// histories returns the histories of all dispatchers but bare ones. It is called after the run.
func (r *run) histories() []*history {
	var all []*history
	for _, each := range r.dispatchers {
		if each.role == roleBare {
			continue
		}
		h := &history{dispatcher: each, effectiveStates: r.statesOf(each)}
		for _, absence := range slices.Concat(each.absences, each.partitions) {
			h.addAbsence(absence, r.newestVersionAt(absence.To))
		}
		all = append(all, h)
	}
	return all
}

// newestVersionAt returns the newest version that was proposed before a time; 0 for none.
func (r *run) newestVersionAt(at time.Time) uint64 {
	newest := uint64(0)
	for _, change := range r.changes {
		if change.at.Before(at) {
			newest = max(newest, change.version)
		}
	}
	return newest
}

// addAbsence adds an absence or partition. newest is the newest version at its end.
func (h *history) addAbsence(absence faults.Absence, newest uint64) {
	if !absence.To.IsZero() {
		appliedAt, ok := h.leasedOn(newest, absence.To)
		if ok {
			h.returnTimesMS = append(h.returnTimesMS, milliseconds(appliedAt.Sub(absence.To)))
		} else {
			h.missed++
		}
		absence.To = appliedAt
	}
	h.unreached = append(h.unreached, absence)
}

// leasedOn returns when the dispatcher first had a lease and applied a version, or a newer one, alone, counted from a time; zero and false for
// never.
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

// firstAppliedAt returns when the dispatcher first applied a change, or a newer one, alone; false for never.
func (h *history) firstAppliedAt(change acceptedChange) (time.Time, bool) {
	for _, state := range h.effectiveStates {
		if len(state.Versions) == 1 && state.Versions[0] >= change.version {
			return state.From, true
		}
	}
	return time.Time{}, false
}

// inForceAt returns when the dispatcher first applied a change, and whether it did. unreached says that the change could not reach it for a
// part of the time until then.
func (h *history) inForceAt(change acceptedChange) (at time.Time, ok, unreached bool) {
	at, ok = h.firstAppliedAt(change)
	unreached = slices.ContainsFunc(h.unreached, func(absence faults.Absence) bool {
		return (absence.To.IsZero() || absence.To.After(change.at)) && (!ok || absence.From.Before(at))
	})
	return at, ok, unreached
}

// milliseconds returns a duration in milliseconds, to the microsecond.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

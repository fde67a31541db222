package scale

import (
	"slices"
	"time"
)

// FaultCost is what the run's fault cost.
type FaultCost struct {
	Kind            FaultKind `json:"kind"`
	AtS             float64   `json:"at_s"`      // since the start of the measured span
	ForS            float64   `json:"for_s"`     // 0 for one that did not end
	Affected        int       `json:"befell"`    // dispatchers of all roles that were killed or cut off
	HitLeader       bool      `json:"with_lead"` // the leader was one of them
	Changes         int       `json:"changes"`   // proposed since it began, and accepted
	AcceptedAfterMS float64   `json:"taken_ms"`  // until the attempt that proposed the first of them was made; earlier attempts were not accepted
	VoterReplaced   bool      `json:"reseated"`

	// Most of any dispatcher of a role over 10 s, each second, before the fault and since it began. Processor time is in milliseconds and, of
	// dispatchers that serve jobs, that of hollow ones if there are any.
	UsualBytes map[costRole]float64 `json:"usual_bytes_10s"`
	PeakBytes  map[costRole]float64 `json:"peak_bytes_10s"`
	UsualCPU   map[costRole]float64 `json:"usual_cpu_10s"`
	PeakCPU    map[costRole]float64 `json:"peak_cpu_10s"`

	// RecoveredAfterS is how long it took until all dispatchers that should run had leases on a version that was accepted after the fault
	// began; nil for never.
	RecoveredAfterS   *float64  `json:"whole_again_s"`
	InForceP50MS      float64   `json:"in_force_p50_ms"`
	InForceP999MS     float64   `json:"in_force_p999_ms"` // of changes that came in force since it began
	ReturnedInForceMS []float64 `json:"returned_in_force_ms"`
}

// faultCost computes what the run's fault cost.
func (r *run) faultCost(all []*history) FaultCost {
	fault, record := r.plan.Fault, r.faultRecord
	cost := FaultCost{
		Kind: fault.Kind, AtS: record.beganAt.Sub(r.beganAt).Seconds(), Affected: record.affected, HitLeader: record.hitLeader,
		ReturnedInForceMS: []float64{},
	}
	if fault.For > 0 {
		cost.ForS = record.endedAt.Sub(record.beganAt).Seconds()
	}
	cost.UsualBytes, cost.UsualCPU = r.peaks(time.Time{}, record.beganAt)
	cost.PeakBytes, cost.PeakCPU = r.peaks(record.beganAt, time.Now())
	first := uint64(0) // version that was accepted since the fault began
	for _, change := range r.changes {
		if change.at.Before(record.beganAt) {
			continue
		}
		if cost.Changes++; cost.Changes == 1 {
			first, cost.AcceptedAfterMS = change.version, milliseconds(change.at.Sub(record.beganAt))
		}
	}
	delays := r.delaysSince(record.beganAt, all)
	cost.InForceP50MS, cost.InForceP999MS = quantile(0.5, delays), quantile(0.999, delays)
	for _, h := range all {
		cost.ReturnedInForceMS = append(cost.ReturnedInForceMS, h.returnTimesMS...)
	}
	slices.Sort(cost.ReturnedInForceMS)
	cost.VoterReplaced = r.voterReplaced()
	if at, ok := r.recoveredAt(all, first); ok {
		after := at.Sub(record.beganAt).Seconds()
		cost.RecoveredAfterS = &after
	}
	return cost
}

// delaysSince returns, sorted and in milliseconds, how long it took until changes were in force at dispatchers that they could reach, of those
// that came in force after a time.
func (r *run) delaysSince(from time.Time, all []*history) []float64 {
	var delays []float64
	for _, change := range r.changes {
		for _, h := range all {
			if at, ok, unreached := h.appliedAt(change); ok && !unreached && at.After(from) {
				delays = append(delays, milliseconds(at.Sub(change.at)))
			}
		}
	}
	slices.Sort(delays)
	return delays
}

// voterReplaced reports whether a dispatcher became a voter that was none at the start.
func (r *run) voterReplaced() bool {
	for _, each := range r.dispatchers {
		if each.voterNumber > 0 {
			continue
		}
		if slices.ContainsFunc(r.snapshots, func(taken snapshot) bool { return taken.voters[each.name] }) {
			return true
		}
	}
	return false
}

// recoveredAt returns when all dispatchers that should run had leases on a version, or a newer one, each alone; false for never, or if the
// version is 0.
func (r *run) recoveredAt(all []*history, version uint64) (time.Time, bool) {
	if version == 0 {
		return time.Time{}, false
	}
	at := r.faultRecord.beganAt
	for moved := true; moved; { // until there is a time at which all had leases at once
		moved = false
		for _, h := range all {
			next, ok := r.recoveredFrom(h, version, at)
			if !ok {
				return at, false
			}
			if next.After(at) {
				at, moved = next, true
			}
		}
	}
	return at, true
}

// recoveredFrom returns when a dispatcher first had a lease on a version, or a newer one, alone, or should not run, counted from a time.
func (r *run) recoveredFrom(h *history, version uint64, from time.Time) (time.Time, bool) {
	next, ok := h.leasedOn(version, from)
	for _, absence := range h.dispatcher.absences {
		// A successor is absent since the start of the run (From is zero) until it starts in place of another. It is to run from then on, as
		// is a dispatcher that DispatchersRestarted kills. In any other absence a dispatcher is not to run: its machine is lost.
		shouldRun := absence.From.IsZero() || r.plan.Fault.Kind == DispatchersRestarted
		if shouldRun || !absence.To.IsZero() && !absence.To.After(from) {
			continue
		}
		if !ok || next.After(absence.From) {
			next, ok = absence.From, true
		}
	}
	return next, ok
}

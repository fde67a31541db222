package scale

import (
	"slices"
	"time"
)

// FaultCost is the cost of the run's fault.
type FaultCost struct {
	Kind            FaultKind `json:"kind"`
	AtS             float64   `json:"at_s"`      // since the start of the measured span
	ForS            float64   `json:"for_s"`     // 0 for a fault that did not end
	Affected        int       `json:"befell"`    // dispatchers of all roles that were killed or cut off
	HitLeader       bool      `json:"with_lead"` // the leader was killed or cut off
	Changes         int       `json:"changes"`   // accepted config versions that were proposed since the fault began
	AcceptedAfterMS float64   `json:"taken_ms"`  // from the fault to the sending of the first proposal that was accepted
	VoterReplaced   bool      `json:"reseated"`

	// For each role, the highest mean per second over 10 s of any dispatcher with that role, before the fault and since the fault began.
	// Processor time is in milliseconds. If there are hollow dispatchers, the processor time of dispatchers that serve jobs is computed
	// from the hollow ones only.
	UsualBytes map[costRole]float64 `json:"usual_bytes_10s"`
	PeakBytes  map[costRole]float64 `json:"peak_bytes_10s"`
	UsualCPU   map[costRole]float64 `json:"usual_cpu_10s"`
	PeakCPU    map[costRole]float64 `json:"peak_cpu_10s"`

	// RecoveredAfterS is the time until all dispatchers that should run had leases on a version that was accepted after the fault began;
	// nil if that did not happen.
	RecoveredAfterS   *float64  `json:"whole_again_s"`
	InForceP50MS      float64   `json:"in_force_p50_ms"`
	InForceP999MS     float64   `json:"in_force_p999_ms"` // of changes that came into force since it began
	ReturnedInForceMS []float64 `json:"returned_in_force_ms"`
}

// faultCost computes the cost of the run's fault.
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
	first := uint64(0) // the first version that was accepted since the fault began; 0 if none was
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

// delaysSince returns the delays until changes were in force at dispatchers that they could reach, in milliseconds and sorted. It leaves out
// changes that came into force at a dispatcher before the given time.
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

// voterReplaced reports whether a dispatcher that was not a voter at the start became one.
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

// recoveredAt returns when all dispatchers that should run had leases and each applied only one version, the given one or a newer one. It returns
// false if that did not happen, or if the version is 0.
func (r *run) recoveredAt(all []*history, version uint64) (time.Time, bool) {
	if version == 0 {
		return time.Time{}, false
	}
	at := r.faultRecord.beganAt
	for moved := true; moved; { // until there is a time at which all had leases at once
		moved = false
		for _, h := range all {
			next, ok := r.dispatcherRecoveredAt(h, version, at)
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

// dispatcherRecoveredAt returns the first time, from the given one on, at which a dispatcher either had a lease and applied only the given version
// or a newer one, or should not run.
func (r *run) dispatcherRecoveredAt(h *history, version uint64, from time.Time) (time.Time, bool) {
	next, ok := h.leasedOn(version, from)
	for _, absence := range h.dispatcher.absences {
		// A successor is absent from the start of the run (From is zero) until it replaces another dispatcher, and should run from then on. A
		// dispatcher that DispatchersRestarted kills should run, too. In any other absence the dispatcher's machine is lost: it should not run.
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

package scale

import (
	"fmt"
	"slices"
	"time"

	"brassdale/internal/faults"
	"brassdale/internal/traffic"
)

// Failure is what a fault cost.
type Failure struct {
	Kind            FaultKind `json:"kind"`
	AtS             float64   `json:"at_s"`      // behind the begin of the measured span
	ForS            float64   `json:"for_s"`     // until it was over; 0 where what was gone stayed so
	Affected        int       `json:"befell"`    // dispatchers that were gone or cut off, of all roles
	HitLeader       bool      `json:"with_lead"` // who led was among them
	Changes         int       `json:"changes"`   // taken from its begin on
	AcceptedAfterMS float64   `json:"taken_ms"`  // until the first of them was
	VoterReplaced   bool      `json:"reseated"`  // a seat was given to another

	UsualBytes map[dispatcherRole]float64 `json:"usual_bytes_10s"` // most of any of a role over 10 s, a second, before it
	PeakBytes  map[dispatcherRole]float64 `json:"peak_bytes_10s"`  // and from its begin on
	UsualCPU   map[dispatcherRole]float64 `json:"usual_cpu_10s"`   // milliseconds a second; of dispatchers the hollow ones', if there are any
	PeakCPU    map[dispatcherRole]float64 `json:"peak_cpu_10s"`

	// WholeAgainS is how long it took until all that are to be there held leases on a version that was taken behind its begin;
	// null for never.
	RecoveredAfterS   *float64  `json:"whole_again_s"`
	InForceP50MS      float64   `json:"in_force_p50_ms"`
	InForceP999MS     float64   `json:"in_force_p999_ms"` // of changes under way then or later, at all that were reached
	ReturnedInForceMS []float64 `json:"returned_in_force_ms"`
}

// The roles of peaks beside that of dispatchers.
const (
	roleVoter  dispatcherRole = "seat"
	roleLeader dispatcherRole = "leader"
)

// peakOver is the span of peaks.
const peakWindow = 10 * time.Second

// history is what a dispatcher of the fleet acted on, and when nobody reached it.
type history struct {
	*fleetDispatcher
	effectiveStates []faults.EffectiveState
	unreached       []faults.Absence // until it was back, with the newest in force
	missed          int              // times that it did not get there
	returnTimesMS   []float64        // how long it took each time, in milliseconds
}

// histories are those of all that agree, once all is over.
func (f *run) histories() (all []*history) {
	for _, m := range f.dispatchers {
		if m.role == roleBare {
			continue
		}
		h := &history{fleetDispatcher: m, effectiveStates: f.statesOf(m)}
		for _, a := range slices.Concat(m.absences, m.partitions) {
			if !a.To.IsZero() {
				newest := uint64(0)
				for _, c := range f.changes {
					if c.at.Before(a.To) {
						newest = max(newest, c.version)
					}
				}
				if at, ok := h.leasedOn(newest, a.To); ok {
					h.returnTimesMS = append(h.returnTimesMS, milliseconds(at.Sub(a.To)))
					a.To = at
				} else {
					h.missed++
					a.To = time.Time{}
				}
			}
			h.unreached = append(h.unreached, a)
		}
		all = append(all, h)
	}
	return all
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// holds gives the first moment from one on at which it acts on a version or a newer one alone, with a lease.
func (h *history) leasedOn(version uint64, from time.Time) (time.Time, bool) {
	for _, s := range h.effectiveStates {
		if s.To.After(from) && !s.Lapsed && len(s.Versions) == 1 && s.Versions[0] >= version {
			if s.From.After(from) {
				from = s.From
			}
			return from, true
		}
	}
	return time.Time{}, false
}

// acted gives when it first acted on a change alone, or on a newer one.
func (h *history) firstAppliedAt(c acceptedChange) (time.Time, bool) {
	for _, s := range h.effectiveStates {
		if len(s.Versions) == 1 && s.Versions[0] >= c.version {
			return s.From, true
		}
	}
	return time.Time{}, false
}

// returns sets how long those that were gone or cut off took to be back.
func (f *run) addReturns(r *Result, all []*history) {
	for _, h := range all {
		r.ReturnedInForceMS = append(r.ReturnedInForceMS, h.returnTimesMS...)
		r.InForceMissing += h.missed
	}
	slices.Sort(r.ReturnedInForceMS)
}

// slow is a change that the machine, and not the fleet, may have held up.
const slowChange = time.Second

// inForce sets when changes were acted on, by all that were reached.
func (f *run) addInForce(r *Result, all []*history, late []lateTick) {
	var took []float64
	for _, h := range all {
		for _, c := range f.changes {
			at, ok, gone := h.inForceAt(c)
			switch {
			case gone:
			case ok:
				took = append(took, milliseconds(at.Sub(c.at)))
				if l, was := lateTickWithin(late, c.at, at); was && at.Sub(c.at) > slowChange && !r.FellBehind {
					r.FellBehind = true
					r.FellBehindWhy = fmt.Sprintf("version %d was in force at %s after %.0f ms, and a tick meanwhile was late by %v",
						c.version, h.name, milliseconds(at.Sub(c.at)), l.At.Sub(l.Due).Round(time.Millisecond))
				}
			default:
				r.InForceMissing++
			}
		}
	}
	slices.Sort(took)
	r.InForceP50MS, r.InForceP99MS, r.InForceP999MS = quantile(0.5, took), quantile(0.99, took), quantile(0.999, took)
}

// lateWithin gives a tick that was waited for between two moments, if any was late.
func lateTickWithin(late []lateTick, from, to time.Time) (lateTick, bool) {
	i := slices.IndexFunc(late, func(l lateTick) bool { return l.Due.Before(to) && l.At.After(from) })
	if i < 0 {
		return lateTick{}, false
	}
	return late[i], true
}

// took gives when a change was acted on, and whether it was not reached meanwhile.
func (h *history) inForceAt(c acceptedChange) (at time.Time, ok, gone bool) {
	at, ok = h.firstAppliedAt(c)
	gone = slices.ContainsFunc(h.unreached, func(a faults.Absence) bool {
		return (a.To.IsZero() || a.To.After(c.at)) && (!ok || a.From.Before(at))
	})
	return at, ok, gone
}

// failure draws together what the run's fault came to.
func (f *run) failure(all []*history) Failure {
	x, s := f.Fault, f.faultRecord
	r := Failure{Kind: x.Kind, AtS: s.beganAt.Sub(f.beganAt).Seconds(), Affected: s.affected, HitLeader: s.hitLeader, ReturnedInForceMS: []float64{}}
	if x.For > 0 {
		r.ForS = s.endedAt.Sub(s.beganAt).Seconds()
	}
	r.UsualBytes, r.UsualCPU = f.peaks(time.Time{}, s.beganAt)
	r.PeakBytes, r.PeakCPU = f.peaks(s.beganAt, time.Now())
	var took []float64
	first := uint64(0)
	for _, c := range f.changes {
		if !c.at.Before(s.beganAt) {
			if r.Changes++; r.Changes == 1 {
				first, r.AcceptedAfterMS = c.version, milliseconds(c.at.Sub(s.beganAt))
			}
		}
		for _, h := range all {
			if at, ok, gone := h.inForceAt(c); ok && !gone && at.After(s.beganAt) {
				took = append(took, milliseconds(at.Sub(c.at)))
			}
		}
	}
	slices.Sort(took)
	r.InForceP50MS, r.InForceP999MS = quantile(0.5, took), quantile(0.999, took)
	for _, h := range all {
		r.ReturnedInForceMS = append(r.ReturnedInForceMS, h.returnTimesMS...)
	}
	slices.Sort(r.ReturnedInForceMS)
	for _, sample := range f.snapshots {
		for _, m := range f.dispatchers {
			r.VoterReplaced = r.VoterReplaced || sample.voters[m.name] && m.voterNumber == 0
		}
	}
	if at, ok := f.recoveredAt(all, first); ok {
		after := at.Sub(s.beganAt).Seconds()
		r.RecoveredAfterS = &after
	}
	return r
}

// whole gives when all that were to be there held leases on a version or a newer one, each alone.
func (f *run) recoveredAt(all []*history, version uint64) (time.Time, bool) {
	if version == 0 {
		return time.Time{}, false
	}
	at := f.faultRecord.beganAt
	for moved := true; moved; {
		moved = false
		for _, h := range all {
			next, ok := h.leasedOn(version, at)
			for _, a := range h.absences {
				comes := a.From.IsZero() || f.Fault.Kind == DispatchersRestarted
				if still := a.To.IsZero() || a.To.After(at); !comes && still && (!ok || next.After(a.From)) { // it is not to be there then
					next, ok = a.From, true
				}
			}
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

// peaks gives the most bytes and milliseconds a second over spans within two moments, by role.
func (f *run) peaks(from, to time.Time) (bytes, busy map[dispatcherRole]float64) {
	bytes, busy = map[dispatcherRole]float64{}, map[dispatcherRole]float64{}
	maximum := func(to map[dispatcherRole]float64, of dispatcherRole, x float64) { to[of] = max(to[of], x) }
	first := 0
	for last := range f.snapshots {
		end := f.snapshots[last]
		for first < last && end.at.Sub(f.snapshots[first+1].at) >= peakWindow-time.Second/2 {
			first++
		}
		seconds := end.at.Sub(f.snapshots[first].at).Seconds()
		if seconds < (peakWindow-time.Second/2).Seconds() || !end.at.After(from) || end.at.After(to) {
			continue
		}
		window := f.snapshots[first : last+1]
		for _, m := range f.dispatchers {
			if m.role == roleBare {
				continue
			}
			of := m.role
			sum, used := 0.0, 0.0
			for i := range window {
				if s := window[i]; s.leader == m.name {
					of = roleLeader
				} else if s.voters[m.name] && of != roleLeader {
					of = roleVoter
				}
				if i > 0 {
					sum += float64(controlBytesSince(window[i-1], window[i], m.name))
					used += cpuSince(window[i-1], window[i], m.name)
				}
			}
			maximum(bytes, of, sum/seconds)
			if of != roleServing || m.hollow || f.Hollow == 0 {
				maximum(busy, of, used/seconds)
			}
		}
	}
	return bytes, busy
}

// since gives the bytes of a dispatcher between two samples, or those since its start where it is another process.
func controlBytesSince(before, after snapshot, name string) uint64 {
	if x, same := controlBetween(before, after, name); same {
		return traffic.Total(x).Bytes()
	}
	return traffic.Total(after.control[name]).Bytes()
}

// busySince gives the milliseconds of its process's, in the same way.
func cpuSince(before, after snapshot, name string) float64 {
	pid := after.pids[name]
	if before.pids[name] == pid {
		return cpuBetween(before, after, name)
	}
	return after.usage[pid].cpuMS / float64(max(after.processSizes[pid], 1))
}

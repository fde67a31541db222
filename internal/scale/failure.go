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
	Kind     Kind    `json:"kind"`
	AtS      float64 `json:"at_s"`      // behind the begin of the measured span
	ForS     float64 `json:"for_s"`     // until it was over; 0 where what was gone stayed so
	Befell   int     `json:"befell"`    // dispatchers that were gone or cut off, of all roles
	Led      bool    `json:"with_lead"` // who led was among them
	Changes  int     `json:"changes"`   // taken from its begin on
	TakenMS  float64 `json:"taken_ms"`  // until the first of them was
	Reseated bool    `json:"reseated"`  // a seat was given to another

	UsualBytes map[role]float64 `json:"usual_bytes_10s"` // most of any of a role over 10 s, a second, before it
	PeakBytes  map[role]float64 `json:"peak_bytes_10s"`  // and from its begin on
	UsualCPU   map[role]float64 `json:"usual_cpu_10s"`   // milliseconds a second; of dispatchers the hollow ones', if there are any
	PeakCPU    map[role]float64 `json:"peak_cpu_10s"`

	// WholeAgainS is how long it took until all that are to be there held leases on a version that was taken behind its begin;
	// null for never.
	WholeAgainS   *float64  `json:"whole_again_s"`
	InForceP50MS  float64   `json:"in_force_p50_ms"`
	InForceP999MS float64   `json:"in_force_p999_ms"` // of changes under way then or later, at all that were reached
	Returned      []float64 `json:"returned_in_force_ms"`
}

// The roles of peaks beside that of dispatchers.
const (
	seats  role = "seat"
	leader role = "leader"
)

// peakOver is the span of peaks.
const peakOver = 10 * time.Second

// history is what a dispatcher of the fleet acted on, and when nobody reached it.
type history struct {
	*member
	effectiveStates []faults.EffectiveState
	unreached       []faults.Absence // until it was back, with the newest in force
	never           int              // times that it did not get there
	back            []float64        // how long it took each time, in milliseconds
}

// histories are those of all that agree, once all is over.
func (f *stage) histories() (all []*history) {
	for _, m := range f.members {
		if m.role == bare {
			continue
		}
		h := &history{member: m, effectiveStates: f.effectiveStatesOf(m)}
		for _, a := range slices.Concat(m.absences, m.cut) {
			if !a.To.IsZero() {
				newest := uint64(0)
				for _, c := range f.changes {
					if c.at.Before(a.To) {
						newest = max(newest, c.version)
					}
				}
				if at, ok := h.holds(newest, a.To); ok {
					h.back = append(h.back, ms(at.Sub(a.To)))
					a.To = at
				} else {
					h.never++
					a.To = time.Time{}
				}
			}
			h.unreached = append(h.unreached, a)
		}
		all = append(all, h)
	}
	return all
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// holds gives the first moment from one on at which it acts on a version or a newer one alone, with a lease.
func (h *history) holds(version uint64, from time.Time) (time.Time, bool) {
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
func (h *history) acted(c change) (time.Time, bool) {
	for _, s := range h.effectiveStates {
		if len(s.Versions) == 1 && s.Versions[0] >= c.version {
			return s.From, true
		}
	}
	return time.Time{}, false
}

// returns sets how long those that were gone or cut off took to be back.
func (f *stage) returns(r *Result, all []*history) {
	for _, h := range all {
		r.ReturnedInForceMS = append(r.ReturnedInForceMS, h.back...)
		r.InForceMissing += h.never
	}
	slices.Sort(r.ReturnedInForceMS)
}

// slow is a change that the machine, and not the fleet, may have held up.
const slow = time.Second

// inForce sets when changes were acted on, by all that were reached.
func (f *stage) inForce(r *Result, all []*history, late []Late) {
	var took []float64
	for _, h := range all {
		for _, c := range f.changes {
			at, ok, gone := h.took(c)
			switch {
			case gone:
			case ok:
				took = append(took, ms(at.Sub(c.at)))
				if l, was := lateWithin(late, c.at, at); was && at.Sub(c.at) > slow && !r.FellBehind {
					r.FellBehind = true
					r.FellBehindWhy = fmt.Sprintf("version %d was in force at %s after %.0f ms, and a tick meanwhile was late by %v",
						c.version, h.name, ms(at.Sub(c.at)), l.At.Sub(l.Due).Round(time.Millisecond))
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
func lateWithin(late []Late, from, to time.Time) (Late, bool) {
	i := slices.IndexFunc(late, func(l Late) bool { return l.Due.Before(to) && l.At.After(from) })
	if i < 0 {
		return Late{}, false
	}
	return late[i], true
}

// took gives when a change was acted on, and whether it was not reached meanwhile.
func (h *history) took(c change) (at time.Time, ok, gone bool) {
	at, ok = h.acted(c)
	gone = slices.ContainsFunc(h.unreached, func(a faults.Absence) bool {
		return (a.To.IsZero() || a.To.After(c.at)) && (!ok || a.From.Before(at))
	})
	return at, ok, gone
}

// failure draws together what the run's fault came to.
func (f *stage) failure(all []*history) Failure {
	x, s := f.Fault, f.faulty
	r := Failure{Kind: x.Kind, AtS: s.at.Sub(f.begin).Seconds(), Befell: s.befell, Led: s.led, Returned: []float64{}}
	if x.For > 0 {
		r.ForS = s.over.Sub(s.at).Seconds()
	}
	r.UsualBytes, r.UsualCPU = f.peaks(time.Time{}, s.at)
	r.PeakBytes, r.PeakCPU = f.peaks(s.at, time.Now())
	var took []float64
	first := uint64(0)
	for _, c := range f.changes {
		if !c.at.Before(s.at) {
			if r.Changes++; r.Changes == 1 {
				first, r.TakenMS = c.version, ms(c.at.Sub(s.at))
			}
		}
		for _, h := range all {
			if at, ok, gone := h.took(c); ok && !gone && at.After(s.at) {
				took = append(took, ms(at.Sub(c.at)))
			}
		}
	}
	slices.Sort(took)
	r.InForceP50MS, r.InForceP999MS = quantile(0.5, took), quantile(0.999, took)
	for _, h := range all {
		r.Returned = append(r.Returned, h.back...)
	}
	slices.Sort(r.Returned)
	for _, sample := range f.samples {
		for _, m := range f.members {
			r.Reseated = r.Reseated || sample.seated[m.name] && m.voter == 0
		}
	}
	if at, ok := f.whole(all, first); ok {
		after := at.Sub(s.at).Seconds()
		r.WholeAgainS = &after
	}
	return r
}

// whole gives when all that were to be there held leases on a version or a newer one, each alone.
func (f *stage) whole(all []*history, version uint64) (time.Time, bool) {
	if version == 0 {
		return time.Time{}, false
	}
	at := f.faulty.at
	for moved := true; moved; {
		moved = false
		for _, h := range all {
			next, ok := h.holds(version, at)
			for _, a := range h.absences {
				comes := a.From.IsZero() || f.Fault.Kind == Together
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
func (f *stage) peaks(from, to time.Time) (bytes, busy map[role]float64) {
	bytes, busy = map[role]float64{}, map[role]float64{}
	maximum := func(to map[role]float64, of role, x float64) { to[of] = max(to[of], x) }
	first := 0
	for last := range f.samples {
		end := f.samples[last]
		for first < last && end.at.Sub(f.samples[first+1].at) >= peakOver-time.Second/2 {
			first++
		}
		seconds := end.at.Sub(f.samples[first].at).Seconds()
		if seconds < (peakOver-time.Second/2).Seconds() || !end.at.After(from) || end.at.After(to) {
			continue
		}
		window := f.samples[first : last+1]
		for _, m := range f.members {
			if m.role == bare {
				continue
			}
			of := m.role
			sum, used := 0.0, 0.0
			for i := range window {
				if s := window[i]; s.leads == m.name {
					of = leader
				} else if s.seated[m.name] && of != leader {
					of = seats
				}
				if i > 0 {
					sum += float64(since(window[i-1], window[i], m.name))
					used += busySince(window[i-1], window[i], m.name)
				}
			}
			maximum(bytes, of, sum/seconds)
			if of != serves || m.hollow || f.Hollow == 0 {
				maximum(busy, of, used/seconds)
			}
		}
	}
	return bytes, busy
}

// since gives the bytes of a dispatcher between two samples, or those since its start where it is another process.
func since(before, after reading, name string) uint64 {
	if x, same := spent(before, after, name); same {
		return traffic.Total(x).Bytes()
	}
	return traffic.Total(after.control[name]).Bytes()
}

// busySince gives the milliseconds of its process's, in the same way.
func busySince(before, after reading, name string) float64 {
	pid := after.pids[name]
	if before.pids[name] == pid {
		return cpu(before, after, name)
	}
	return after.used[pid].cpu / float64(max(after.sharing[pid], 1))
}

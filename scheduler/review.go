// The regular round over what is open: overdue requests, hedges, probes.

package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// look is the regular round: overdue requests, copies, silent workers, probes.
func (d *Scheduler) look() {
	for _, w := range d.workers {
		w.waiting, w.lagOut, w.jobsOut = 0, 0, 0
	}
	d.order = slices.DeleteFunc(d.order, func(r *request) bool { return d.open[r.id] != r })
	for _, r := range d.order {
		for i := range r.attempts {
			a := &r.attempts[i]
			d.checkAttempt(r, a)
			if d.stuck(a, startGrace) && !a.lost {
				a.w.waiting++
			}
			// One that runs for longer than usual tells of a slow worker before it ends.
			if a.out && a.began > 0 {
				if late := d.lateness(r, a); late > 0 {
					a.w.lagOut, a.w.jobsOut = a.w.lagOut+late, a.w.jobsOut+1
				}
			}
		}
	}
	for _, r := range slices.Clone(d.order) {
		if !r.done && !r.streamed {
			d.review(r)
		}
	}
	if d.now-d.chosen >= nearFresh {
		d.choose()
	}
	pause := float64(probeEvery) * max(float64(d.set.Dispatchers)/probersMost, 1)
	if len(d.near) < len(d.workers) { // else every dispatcher asks every worker
		pause = float64(probeEvery)
	}
	for _, w := range d.near {
		if w.nextProbe == 0 { // many dispatchers that start, or hear of it, at once would overrun it
			w.nextProbe = d.now + time.Duration(d.rng.Float64()*(pause-float64(probeEvery)))
		}
		if d.set.ReportsPulled && d.set.MayProbe && w.listed && !w.out && !w.probing && d.now >= w.nextProbe {
			// Spread, so that not all workers are known equally late, nor all dispatchers at once.
			w.nextProbe = d.now + time.Duration((0.75+d.rng.Float64()/2)*pause)
			d.probe(w)
		}
	}
}

// stuck tells whether an attempt should have begun by now.
func (d *Scheduler) stuck(a *attempt, grace time.Duration) bool {
	return a.out && a.began == 0 && d.set.ReportsStart && d.now-a.sent > grace+newWays*d.ways[a.w.Zone]
}

// review looks at one open request. One that nobody will begin in time is given up, unless workers were seen
// to keep what is called off: it is in the way all the same, and its client comes again. Where copies are
// allowed and loads known roughly, one that has not begun soon gets another at the next worker, and the first
// to begin calls the others off: a search for a free slot. Where all loads are known it finds none and costs
// what it waits for: there only a worker that says nothing for a usual stay has its jobs copied. Where few
// workers are drawn from, their loads are known as well, but not what others send there, nor whether what is
// called off is kept and runs for nothing: there are few copies then, and the fewer the more jobs wait.
func (d *Scheduler) review(r *request) {
	var last *attempt
	begun, sound := false, false
	for i := range r.attempts {
		if a := &r.attempts[i]; a.out {
			last, begun, sound = a, begun || a.began > 0, sound || d.sound(a.w, r.class)
		}
	}
	c := &r.set.Classes[r.class]
	late := c.LateWeight <= 0 && d.now-r.born > d.patience(r)
	switch {
	case last == nil:
		if r.expires-d.now <= 2*d.tick() || late {
			d.answer(r)
		}
	case d.now >= r.expires+r.set.AnswerSlack/2:
		d.do(Fail{ID: r.id})
		d.finish(r)
	case late && !begun && d.set.ReportsStart && d.traces.kept() < keptMost: // its turn comes too late: given up
		d.waited(last.w, true)
		d.allow = max(d.allow-d.allowBy(), leastAllow)
		d.answer(r)
	case c.Idempotency == NonIdempotent || last.canceled || begun && sound || len(r.attempts)+1 >= r.set.MaxAttempts:
	case r.set.MayHedge && r.set.MayCancel:
		stuck := d.stuck(last, copyGrace+seconds(d.jam*jamGrace.Seconds()))
		if d.small {
			stuck = d.stuck(last, seconds(cmp.Or(d.stay, 1))) && last.w.heard <= last.sent
		} else if len(d.near) < len(d.workers) {
			stuck = stuck && d.copies.at(d.now) < (jamMost-d.jam)*d.recent.at(d.now)
		}
		if late || !stuck && d.sound(last.w, r.class) {
			return
		}
		if w := d.pick(r, d.allow); w != nil && !r.tried(w) {
			d.copies.add(d.now, 1)
			d.send(r, w)
		}
	case !sound && r.set.MayCancel:
		d.callOff(r, func(*attempt) bool { return true })
	}
}

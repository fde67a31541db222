// Outlier ejection: workers that cannot be reached, say nothing or fail requests get none but trials.

package scheduler

import (
	"fmt"
	"slices"
	"time"
)

// sound tells whether the class may be sent to the worker: not shunned, or due for a trial.
func (d *Scheduler) sound(w *worker, class int) bool {
	free := func(h *health) bool { return h.strikes == 0 || d.now >= h.until }
	return free(&w.health) && free(&w.classes[class])
}

func (d *Scheduler) ejectFor(h *health) time.Duration {
	return time.Duration((1 + d.rng.Float64()/4) * float64(firstShun<<h.strikes))
}

func (d *Scheduler) eject(w *worker, h *health, least int, why string) {
	if h.strikes == 0 {
		d.do(Log{Text: fmt.Sprintf("worker %s shunned: %s", w.ID, why)})
	}
	h.strikes = max(h.strikes, min(h.strikes+1, mostStrikes), least)
	h.until = d.now + d.ejectFor(h)
}

// lost counts a connection that broke or never came up; one alone, with signs of life about it, is chance.
func (d *Scheduler) lost(w *worker) {
	if w.fails++; w.fails >= lossesToShun {
		d.eject(w, &w.health, 0, "unreachable")
	}
}

// failed counts a failure of a class; successes of other classes do not clear it. Where one class is shunned
// a failure of another is no chance: what fails at once draws jobs, a dozen of four classes each time.
func (d *Scheduler) failed(w *worker, class int) {
	h := &w.classes[class]
	w.failures.add(d.now, 1)
	ill := slices.ContainsFunc(w.classes, func(h health) bool { return h.strikes > 0 })
	if h.fails++; h.fails >= failsToShun || ill {
		d.eject(w, h, 0, fmt.Sprintf("keeps failing class %d", class))
	}
}

// checkAttempt looks for silence: of a worker from which nothing at all is heard, and of a single job at a
// worker that lives, and by a later report has a free slot. That job is lost: an idle connection was dropped
// unseen, or the worker leaves its class unanswered. May hurt where reports tell too little load.
func (d *Scheduler) checkAttempt(r *request, a *attempt) {
	w := a.w
	limit := max(time.Duration(silentRuns*float64(d.set.ProgressInterval))+silentSlack, silentLeast)
	switch {
	case !a.out || !d.set.ReportsStart || a.lost:
	case d.now-w.heard > limit && (d.set.ProgressInterval > 0 || w.running == 0):
		if d.sound(w, r.class) && w.listed {
			d.eject(w, &w.health, 0, "silent")
		}
	case d.stuck(a, silentLeast+ownMemory) && w.reported > a.sent+silentLeast && w.load < 1-d.share(w, 0.5):
		a.lost = true
		d.bump(w, -r.slots)
		if !d.idleLoss(a) {
			d.eject(w, &w.classes[r.class], lostStrikes, fmt.Sprintf("class %d unanswered", r.class))
		}
	}
}

// idleLoss tells whether an attempt was lost with an idle connection: older ones are then dropped before use.
func (d *Scheduler) idleLoss(a *attempt) bool {
	if a.idle < idleLeast || a.began > 0 {
		return false
	}
	if d.idleSafe = min(d.idleSafe, a.idle); d.idleSafe == 0 || d.now > d.idleLost+idleMemory {
		d.idleSafe = a.idle
	}
	d.idleLost = d.now
	return true
}

func (d *Scheduler) onProbed(e ProbeCompleted) {
	w := d.byID[e.Worker]
	if w == nil {
		return
	}
	d.checked(w, e.Outcome)
	if e.Outcome == Served {
		d.heard(w)
		if e.Report != nil && *e.Report != w.last { // else not refreshed since: it is as old as it was
			w.last = *e.Report
			d.applyReport(w, e.Report)
		}
		return
	}
	if e.Outcome == NoConnect || e.Outcome == TimedOut {
		d.lost(w)
	}
}

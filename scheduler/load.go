// The load values of workers, by their reports and the own requests there.

package scheduler

import (
	"math"
)

// share is the part of the worker that so many slots take.
func (d *Scheduler) share(w *worker, slots float64) float64 {
	if t := d.slots(w); t > 0 {
		return slots / t
	}
	return slots * w.increment
}

// slots is the estimated number of slots: the most seen free on the worker or another of its kind; or 0.
func (d *Scheduler) slots(w *worker) float64 { return max(w.total, d.kindTop[w.MachineKind]) }

// value is the load value: the reported load less our own jobs of that time, and a bump for each job known
// to be out now. Departures: an answer takes its bump back, and others' part fades as jobs end, or all herd
// on the worker that was idle when last heard of: towards the fleet's mean where all are known, else towards
// the worker's own, which tells slow and small ones.
func (d *Scheduler) value(w *worker) float64 {
	mean, keep := w.usual, 0.0
	if w.reported > 0 { // one that has just joined is no part of the mean yet
		if d.small {
			mean = d.others
		}
		keep = math.Exp(-float64(d.now-w.reported) / float64(max(seconds(d.stay), ownMemory)))
	}
	off := (w.base - mean) * keep
	band := d.share(w, d.doubt(w))            // chance in what others have sent since
	off = max(off-band, 0) + min(off+band, 0) // within it all are ties: they herd else
	v := mean + off + d.share(w, w.own)
	if w.waiting > 0 || d.now < w.full { // it is full, whatever its reports say
		v = max(v, 1)
	}
	return v
}

// doubt is the chance in what others have sent to a worker since its report: the root of how many jobs
// that were, by the own job rate, and never more than the other dispatchers.
func (d *Scheduler) doubt(w *worker) float64 {
	others := float64(d.set.Dispatchers - 1)
	since := min(d.now-w.reported, max(seconds(d.stay), ownMemory)) + ownMemory
	return math.Sqrt(min(others, others*d.rate*since.Seconds()/float64(max(len(d.workers), 1))))
}

// slowdown is how much longer a job holds a slot here: 1 on the ordinary path; more for a cold worker, at first
// by its age, and for one whose jobs take much longer than like jobs elsewhere.
func (d *Scheduler) slowdown(w *worker) float64 {
	feared := -math.Log(d.warmth(w)) // by the rules; most are better, which their jobs tell
	slow := math.Exp((w.lag + w.lagOut + slowDoubt*feared) / (w.jobs + w.jobsOut + slowDoubt))
	if feared == 0 && slow <= slowFrom {
		return 1
	}
	return max(slow, 1)
}

// applyReport resets the value by a report.
func (d *Scheduler) applyReport(w *worker, r *Report) {
	if r == nil {
		return
	}
	busy, held, free := sane(r.Busy), sane(r.Requests), sane(r.FreeSlots)
	if free > 0 {
		d.seen(w, free+max(held, 0))
	}
	total := d.slots(w)
	load := busy
	switch {
	case held >= 0 && total > 0: // utilisation ends at 1; requests held tell the queue too
		load = held / total
	case load < 0 && free >= 0 && total > 0:
		load = 1 - free/total
	case load < 0:
		return
	}
	d.bump(w, 0)
	if q := sane(r.Queue); d.small && q >= 0 && free >= 0 && total > 0 {
		d.traces.add(total-free+q, w.ownMean, w.calledOff.at(d.now))
	}
	w.load = load
	w.base = max(load-d.share(w, w.ownMean), 0)
	since := w.reported
	w.reported, w.full = d.now, 0
	w.usual += (1 - math.Exp(-float64(d.now-since)/float64(loadSpan))) * (w.base - w.usual)
	sum, n := 0.0, 0.0
	for i := 0; d.small && i < len(d.near); i++ { // else it is not used
		if w := d.near[i]; w.listed && w.reported > d.now-2*silentLeast { // old ones would hold all after a cut
			sum, n = sum+w.base, n+1
		}
	}
	d.others = sum / max(n, 1)
}

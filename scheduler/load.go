// The load values of workers, by their reports and the own requests there.

package scheduler

import (
	"math"
)

// slotShare is the part of the worker that so many slots take.
func (s *Scheduler) slotShare(w *worker, slots float64) float64 {
	if t := s.estimatedSlots(w); t > 0 {
		return slots / t
	}
	return slots * w.increment
}

// estimatedSlots is the estimated number of estimatedSlots: the most seen free on the worker or another of its kind; or 0.
func (s *Scheduler) estimatedSlots(w *worker) float64 {
	return max(w.observedSlots, s.slotsByKind[w.MachineKind])
}

// loadValue is the load loadValue: the reported load less our own jobs of that time, and a bump for each job known
// to be out now. Departures: an answer takes its bump back, and others' part fades as jobs end, or all herd
// on the worker that was idle when last heard of: towards the fleet's mean where all are known, else towards
// the worker's own, which tells slow and small ones.
func (s *Scheduler) loadValue(w *worker) float64 {
	mean, keep := w.meanOthersLoad, 0.0
	if w.reportedAt > 0 { // one that has just joined is no part of the mean yet
		if s.loadsKnown {
			mean = s.meanOthersLoad
		}
		keep = math.Exp(-float64(s.now-w.reportedAt) / float64(max(durationOf(s.meanStay), reportLookback)))
	}
	off := (w.othersLoad - mean) * keep
	band := s.slotShare(w, s.loadUncertainty(w)) // chance in what others have sent since
	off = max(off-band, 0) + min(off+band, 0)    // within it all are ties: they herd else
	v := mean + off + s.slotShare(w, w.ownSlots)
	if w.delayedStarts > 0 || s.now < w.fullUntil { // it is full, whatever its reports say
		v = max(v, 1)
	}
	return v
}

// loadUncertainty is the chance in what others have sent to a worker since its report: the root of how many jobs
// that were, by the own job rate, and never more than the other dispatchers.
func (s *Scheduler) loadUncertainty(w *worker) float64 {
	others := float64(s.settings.Dispatchers - 1)
	since := min(s.now-w.reportedAt, max(durationOf(s.meanStay), reportLookback)) + reportLookback
	return math.Sqrt(min(others, others*s.arrivalRate*since.Seconds()/float64(max(len(s.workers), 1))))
}

// slowdown is how much longer a job holds a slot here: 1 on the ordinary path; more for a cold worker, at first
// by its age, and for one whose jobs take much longer than like jobs elsewhere.
func (s *Scheduler) slowdown(w *worker) float64 {
	feared := -math.Log(s.warmupFactor(w)) // by the rules; most are better, which their jobs tell
	slow := math.Exp((w.slownessSum + w.runningSlownessSum + slownessPriorJobs*feared) / (w.slownessJobs + w.runningSlownessJobs + slownessPriorJobs))
	if feared == 0 && slow <= slowdownThreshold {
		return 1
	}
	return max(slow, 1)
}

// applyReport resets the value by a report.
func (s *Scheduler) applyReport(w *worker, r *Report) {
	if r == nil {
		return
	}
	busy, held, free := figureOrMissing(r.Busy), figureOrMissing(r.Requests), figureOrMissing(r.FreeSlots)
	if free > 0 {
		s.recordSlots(w, free+max(held, 0))
	}
	total := s.estimatedSlots(w)
	load := busy
	switch {
	case held >= 0 && total > 0: // utilisation ends at 1; requests held tell the queue too
		load = held / total
	case load < 0 && free >= 0 && total > 0:
		load = 1 - free/total
	case load < 0:
		return
	}
	s.addOwnSlots(w, 0)
	if q := figureOrMissing(r.Queue); s.loadsKnown && q >= 0 && free >= 0 && total > 0 {
		s.cancellations.observe(total-free+q, w.meanOwnSlots, w.cancelledSlots.value(s.now))
	}
	w.reportedLoad = load
	w.othersLoad = max(load-s.slotShare(w, w.meanOwnSlots), 0)
	since := w.reportedAt
	w.reportedAt, w.fullUntil = s.now, 0
	w.meanOthersLoad += (1 - math.Exp(-float64(s.now-since)/float64(othersLoadWindow))) * (w.othersLoad - w.meanOthersLoad)
	sum, n := 0.0, 0.0
	for i := 0; s.loadsKnown && i < len(s.subset); i++ { // else it is not used
		if w := s.subset[i]; w.listed && w.reportedAt > s.now-2*minSilence { // old ones would hold all after a cut
			sum, n = sum+w.othersLoad, n+1
		}
	}
	s.meanOthersLoad = sum / max(n, 1)
}

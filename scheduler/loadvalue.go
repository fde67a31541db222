package scheduler

import (
	"math"
	"time"
)

// The load value of a worker (Least Used with Degradation): the load of other dispatchers by its last report, plus a share of the
// worker for each own slot in flight. 0 is idle and 1 full.

const (
	// initialIncrement is the load that one slot adds while a worker's number of slots is unknown: 25%, as in the paper for four
	// requests a server. It halves after sendsToHalveIncrement sends without a 'full' outcome and doubles with each of these.
	initialIncrement = 0.25

	// minIncrement is the least increment for a slot.
	minIncrement = 1.0 / 16

	// sendsToHalveIncrement is the number of sends without a 'full' outcome after which the increment is halved.
	sendsToHalveIncrement = 50

	// reportLookback is about how old the load in a report is when it arrives: one refresh at the worker and its delay.
	reportLookback = 500 * time.Millisecond

	// othersLoadWindow is the time constant of the mean load that other dispatchers put on a worker.
	othersLoadWindow = 20 * time.Second

	// maxReportAge is the age up to which a report counts for the mean over all workers.
	maxReportAge = 2 * minSilence
)

// slotShare returns the share of the worker that the given number of slots takes: by its number of slots, or by its increment while that is
// unknown.
func (s *Scheduler) slotShare(worker *worker, slots float64) float64 {
	if total := s.estimatedSlots(worker); total > 0 {
		return slots / total
	}
	return slots * worker.increment
}

// estimatedSlots returns the most slots ever seen at the worker or at another one of its machine kind; 0 while unknown.
func (s *Scheduler) estimatedSlots(worker *worker) float64 {
	return max(worker.observedSlots, s.slotsByKind[worker.MachineKind])
}

// recordSlots notes that the worker was seen to have at least the given number of slots.
func (s *Scheduler) recordSlots(worker *worker, slots float64) {
	worker.observedSlots = max(worker.observedSlots, slots)
	s.slotsByKind[worker.MachineKind] = max(s.slotsByKind[worker.MachineKind], worker.observedSlots)
}

// loadValue returns the worker's load as a share of its slots: the load of other dispatchers by the last report, and a share
// for each own slot in flight. In three points it departs from the paper:
//
//   - An outcome takes its increment back at once instead of at the next report.
//   - The reported load of others moves to a mean as their jobs end, with the time constant of a mean stay: otherwise all
//     dispatchers would send to the worker that was idle in the last report. The mean is that of the fleet if all loads are
//     known, and otherwise the worker's own, which shows small and slow workers.
//   - A difference from the mean within loadUncertainty counts as none, for the same reason.
//
// A worker that rejected an attempt as full, or where own attempts wait for their start, counts as full at least.
func (s *Scheduler) loadValue(worker *worker) float64 {
	mean, weight := worker.meanOthersLoad, 0.0
	if worker.reportedAt > 0 { // without a report a worker is no part of the fleet's mean yet
		if s.loadsKnown {
			mean = s.meanOthersLoad
		}
		weight = math.Exp(-float64(s.now-worker.reportedAt) / float64(max(durationOf(s.meanStay), reportLookback)))
	}
	deviation := (worker.othersLoad - mean) * weight
	band := s.slotShare(worker, s.loadUncertainty(worker))
	deviation = max(deviation-band, 0) + min(deviation+band, 0)
	value := mean + deviation + s.slotShare(worker, worker.ownSlots)
	if worker.delayedStarts > 0 || s.now < worker.fullUntil {
		value = max(value, 1)
	}
	return value
}

// loadUncertainty returns the standard deviation, in jobs, of what other dispatchers have sent to the worker since its report:
// the root of the expected number, by the own arrival rate, where each other dispatcher counts for one job at most.
func (s *Scheduler) loadUncertainty(worker *worker) float64 {
	others := float64(s.settings.Dispatchers - 1)
	since := min(s.now-worker.reportedAt, max(durationOf(s.meanStay), reportLookback)) + reportLookback
	return math.Sqrt(min(others, others*s.arrivalRate*since.Seconds()/float64(max(len(s.workers), 1))))
}

// addOwnSlots counts slots of own attempts at the worker: positive when one is sent, negative when one ends, 0 to bring the
// mean over reportLookback up to date.
func (s *Scheduler) addOwnSlots(worker *worker, slots float64) {
	keep := math.Exp(-float64(s.now-worker.meanOwnSlotsAt) / float64(reportLookback))
	worker.meanOwnSlots, worker.meanOwnSlotsAt = worker.meanOwnSlots*keep+worker.ownSlots*(1-keep), s.now
	worker.ownSlots = max(worker.ownSlots+slots, 0)
}

// recordSend adjusts the increment: it halves after sendsToHalveIncrement sends without a 'full' outcome.
func (w *worker) recordSend() {
	if w.sendsSinceFull++; w.sendsSinceFull >= sendsToHalveIncrement {
		w.increment, w.sendsSinceFull = max(w.increment/2, minIncrement), 0
	}
}

// recordFull notes that the worker rejected an attempt as full: for a mean stay its load value is 1 at least, unless a report
// comes before, and its increment doubles.
func (s *Scheduler) recordFull(worker *worker) {
	worker.fullUntil = s.now + max(durationOf(s.meanStay), reportLookback)
	worker.increment, worker.sendsSinceFull = min(2*worker.increment, 1), 0
}

// applyReport applies a worker's load report; nil and reports without a usable figure change nothing. The load of others is
// the reported load less the own slots in flight at about the time that the report describes.
func (s *Scheduler) applyReport(worker *worker, report *Report) {
	if report == nil {
		return
	}
	requests, free := figureOrMissing(report.Requests), figureOrMissing(report.FreeSlots)
	if free > 0 {
		s.recordSlots(worker, free+max(requests, 0))
	}
	total := s.estimatedSlots(worker)
	load := figureOrMissing(report.Busy)
	switch {
	case requests >= 0 && total > 0: // these include the queue, whereas utilisation ends at 1
		load = requests / total
	case load < 0 && free >= 0 && total > 0:
		load = 1 - free/total
	case load < 0:
		return
	}
	s.addOwnSlots(worker, 0)
	if queue := figureOrMissing(report.Queue); s.loadsKnown && queue >= 0 && free >= 0 && total > 0 {
		s.cancellations.observe(total-free+queue, worker.meanOwnSlots, worker.cancelledSlots.value(s.now))
	}
	worker.reportedLoad = load
	worker.othersLoad = max(load-s.slotShare(worker, worker.meanOwnSlots), 0)
	age := s.now - worker.reportedAt
	worker.reportedAt, worker.fullUntil = s.now, 0
	worker.meanOthersLoad += (1 - math.Exp(-float64(age)/float64(othersLoadWindow))) * (worker.othersLoad - worker.meanOthersLoad)
	s.updateMeanOthersLoad()
}

// updateMeanOthersLoad takes the mean of the others' load over the listed workers with a report of the last maxReportAge: after
// a network partition older ones would hold the mean where it was. It is used, and computed, only if all loads are known.
func (s *Scheduler) updateMeanOthersLoad() {
	sum, count := 0.0, 0.0
	for i := 0; s.loadsKnown && i < len(s.subset); i++ {
		if worker := s.subset[i]; worker.ready && worker.reportedAt > s.now-maxReportAge {
			sum, count = sum+worker.othersLoad, count+1
		}
	}
	s.meanOthersLoad = sum / max(count, 1)
}

// figureOrMissing returns a reported figure, or -1 if it is negative or not a finite number, which counts as not reported.
func figureOrMissing(figure float64) float64 {
	if math.IsNaN(figure) || math.IsInf(figure, 0) || figure < 0 {
		return -1
	}
	return figure
}

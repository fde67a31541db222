package scheduler

import (
	"math"
	"time"
)

// The load value of a worker (Least Used with Degradation): the load of other dispatchers according to its last report, plus a
// share of the worker for each slot that this dispatcher's own attempts in flight take. 0 is idle, 1 is full.

const (
	// initialIncrement is the load that one slot adds while a worker's number of slots is unknown: 25%, as for four requests per
	// server in the paper on Least Used with Degradation. The increment halves after sendsToHalveIncrement sends without an
	// outcome Full and doubles with each outcome Full.
	initialIncrement = 0.25

	// minIncrement is the lower bound of the increment.
	minIncrement = 1.0 / 16

	// sendsToHalveIncrement is the number of sends without an outcome Full after which the increment is halved.
	sendsToHalveIncrement = 50

	// reportLookback is about the age of the load in a report when it arrives: one refresh interval of the worker plus the delay
	// of the report.
	reportLookback = 500 * time.Millisecond

	// othersLoadWindow is the time constant of the mean load that other dispatchers put on a worker.
	othersLoadWindow = 20 * time.Second

	// maxReportAge is the age up to which a report counts in the mean over all workers.
	maxReportAge = 2 * minSilence
)

// slotShare returns the share of the worker that the given slots take: slots / number of its slots, or slots x increment while
// that number is unknown.
func (s *Scheduler) slotShare(worker *worker, slots float64) float64 {
	if total := s.estimatedSlots(worker); total > 0 {
		return slots / total
	}
	return slots * worker.increment
}

// estimatedSlots returns the most slots seen so far at the worker or at another worker of its machine kind; 0 while unknown.
func (s *Scheduler) estimatedSlots(worker *worker) float64 {
	return max(worker.observedSlots, s.slotsByKind[worker.MachineKind])
}

// recordSlots records that the worker has at least the given number of slots.
func (s *Scheduler) recordSlots(worker *worker, slots float64) {
	worker.observedSlots = max(worker.observedSlots, slots)
	s.slotsByKind[worker.MachineKind] = max(s.slotsByKind[worker.MachineKind], worker.observedSlots)
}

// loadValue returns the worker's load as a share of its slots: the load of other dispatchers according to the last report, plus
// the share of each own slot in flight. It differs from the paper in three points:
//
//   - When an attempt ends, its increment is subtracted at once instead of at the next report.
//   - The reported load of others decays to a mean as their jobs end, with meanAttemptDuration as the time constant. Otherwise all
//     dispatchers would send to the worker that was idle in the last report. If all loads are known, the mean is the fleet's.
//     Otherwise it is the worker's own mean, which shows small and slow workers.
//   - A difference from the mean within loadUncertainty counts as 0, for the same reason.
//
// If the worker rejected an attempt as full, or the start of own attempts there is overdue, its load value is at least 1.
func (s *Scheduler) loadValue(worker *worker) float64 {
	mean, weight := worker.meanOthersLoad, 0.0
	if worker.reportedAt > 0 { // the fleet's mean says nothing about a worker without a report
		if s.loadsKnown {
			mean = s.meanOthersLoad
		}
		weight = math.Exp(-float64(s.now-worker.reportedAt) / float64(max(durationOf(s.meanAttemptDuration), reportLookback)))
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

// loadUncertainty returns the standard deviation of the number of jobs that other dispatchers have sent to the worker since its
// report. It is the square root of the expected number, which is estimated from the own arrival rate. Each other dispatcher
// counts for at most one job.
func (s *Scheduler) loadUncertainty(worker *worker) float64 {
	others := float64(s.settings.Dispatchers - 1)
	elapsed := min(s.now-worker.reportedAt, max(durationOf(s.meanAttemptDuration), reportLookback)) + reportLookback
	return math.Sqrt(min(others, others*s.arrivalRate*elapsed.Seconds()/float64(max(len(s.workers), 1))))
}

// addOwnSlots changes the slots of own attempts at the worker: slots is positive when an attempt is sent, negative when it ends,
// and 0 to update only the mean over reportLookback.
func (s *Scheduler) addOwnSlots(worker *worker, slots float64) {
	keep := math.Exp(-float64(s.now-worker.meanOwnSlotsAt) / float64(reportLookback))
	worker.meanOwnSlots, worker.meanOwnSlotsAt = worker.meanOwnSlots*keep+worker.ownSlots*(1-keep), s.now
	worker.ownSlots = max(worker.ownSlots+slots, 0)
}

// recordSend counts a send. After sendsToHalveIncrement sends without an outcome Full the increment halves.
func (w *worker) recordSend() {
	if w.sendsSinceFull++; w.sendsSinceFull >= sendsToHalveIncrement {
		w.increment, w.sendsSinceFull = max(w.increment/2, minIncrement), 0
	}
}

// recordFull records that the worker rejected an attempt as full. Its increment doubles. Its load value is at least 1 for
// meanAttemptDuration (no less than reportLookback), or until a report comes.
func (s *Scheduler) recordFull(worker *worker) {
	worker.fullUntil = s.now + max(durationOf(s.meanAttemptDuration), reportLookback)
	worker.increment, worker.sendsSinceFull = min(2*worker.increment, 1), 0
}

// applyReport applies a worker's load report; nil and reports without a usable value change nothing. The load of others is the
// reported load minus the own slots that were in flight at about the time that the report describes.
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
	case requests >= 0 && total > 0: // requests include the queue, whereas Busy is at most 1
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

// updateMeanOthersLoad computes the mean load of others over the ready workers whose report is less than maxReportAge old: in a
// network partition, older reports would keep the mean from changing. The mean is used, and computed, only if all loads are
// known.
func (s *Scheduler) updateMeanOthersLoad() {
	sum, count := 0.0, 0.0
	for i := 0; s.loadsKnown && i < len(s.subset); i++ {
		if worker := s.subset[i]; worker.ready && worker.reportedAt > s.now-maxReportAge {
			sum, count = sum+worker.othersLoad, count+1
		}
	}
	s.meanOthersLoad = sum / max(count, 1)
}

// figureOrMissing returns a reported value, or -1 for "not reported" if it is negative or not a finite number.
func figureOrMissing(figure float64) float64 {
	if math.IsNaN(figure) || math.IsInf(figure, 0) || figure < 0 {
		return -1
	}
	return figure
}

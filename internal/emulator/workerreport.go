package emulator

import (
	"time"

	"brassdale/scheduler"
)

// currentReport returns the worker's load as of now.
func (w *worker) currentReport() scheduler.Report {
	return scheduler.Report{Busy: float64(w.busySlots) / float64(w.slots), Requests: -1, FreeSlots: float64(w.slots - w.busySlots),
		Queue: float64(len(w.queue))}
}

// recordReport stores the current load as the newest report. It repeats this after half to one and a half times the interval.
func (w *worker) recordReport() {
	copy(w.reports[:], w.reports[1:])
	copy(w.reportedAt[:], w.reportedAt[1:])
	last := len(w.reportedAt) - 1
	w.reports[last] = w.currentReport()
	w.reportedAt[last] = w.sim.now
	every := w.sim.scenario.Reports.Every
	w.sim.after(every/2+time.Duration(w.random.Int64N(int64(every)+1)), w.recordReport)
}

// reportedState returns the report that a probe receives: the newest report that is at least as old as the report delay.
func (w *worker) reportedState() *scheduler.Report {
	newest := w.sim.now - w.sim.scenario.Reports.Delay
	if w.delayedReports > 0 {
		newest -= delayedReportsFaultDelay
	}
	for i := len(w.reportedAt) - 1; i >= 0; i-- {
		if w.reportedAt[i] <= newest {
			report := w.reports[i]
			return &report
		}
	}
	oldest := w.reports[0]
	return &oldest
}

// answerProbe calls answer with the result of a probe that has arrived, or not at all if the worker is frozen or partitioned.
func (w *worker) answerProbe(answer func(scheduler.Outcome, *scheduler.Report)) {
	switch {
	case w.down:
		answer(scheduler.NoConnect, nil)
	case w.frozen > 0 || w.partitioned > 0: // the dispatcher's timeout ends the probe
	default:
		answer(scheduler.Served, w.reportedState())
	}
}

// pushReport sends the current load to all dispatchers, if the scenario's workers push their reports.
func (w *worker) pushReport() {
	if !w.sim.scenario.Reports.Push {
		return
	}
	report := w.currentReport()
	for _, dispatcher := range w.sim.dispatchers {
		w.sim.after(w.sim.localDelay(dispatcher.random), func() {
			dispatcher.handle(scheduler.ProbeCompleted{Worker: w.id, Outcome: scheduler.Served, Report: &report})
		})
	}
}

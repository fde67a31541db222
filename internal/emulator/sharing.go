package emulator

import (
	"time"

	"brassdale/scheduler"
)

// A worker with processor sharing runs all of its jobs at once, each at an equal part of its speed, and rejects jobs beyond its
// slots. It models the pool element of the paper that scenarios/paper.hcl follows.

// updateProgress updates the running attempts' remaining work to the current time.
func (w *worker) updateProgress() {
	if n := len(w.running); n > 0 {
		progress := (w.sim.now - w.progressAt).Seconds() * w.currentSpeed() / float64(n)
		for _, attempt := range w.running {
			attempt.workLeft -= progress
		}
	}
	w.progressAt = w.sim.now
}

// receiveShared starts an attempt at once, or rejects it if all slots are taken.
func (w *worker) receiveShared(attempt *attemptRun) {
	if len(w.running) >= w.slots {
		attempt.over = true
		w.sim.reportOutcome(attempt, scheduler.Full)
		return
	}
	w.updateProgress()
	attempt.workLeft = attempt.work
	w.running = append(w.running, attempt)
	w.busySlots = len(w.running)
	w.sim.reportStarted(attempt)
	w.scheduleCompletion()
	w.pushReport()
}

// scheduleCompletion sets the timer for the next attempt's end. Each call cancels the previous timer.
func (w *worker) scheduleCompletion() {
	w.completionTimer++
	if len(w.running) == 0 {
		return
	}
	least := w.running[0].workLeft
	for _, attempt := range w.running {
		least = min(least, attempt.workLeft)
	}
	timer, incarnation := w.completionTimer, w.incarnation
	w.sim.after(time.Duration(max(least, 0)*float64(len(w.running))/w.currentSpeed()*float64(time.Second)), func() {
		if timer == w.completionTimer && incarnation == w.incarnation {
			w.completeShared()
		}
	})
}

// completeShared ends the attempts that have no work left, and the attempts that were cancelled.
func (w *worker) completeShared() {
	w.updateProgress()
	remaining := w.running[:0]
	for _, attempt := range w.running {
		if attempt.workLeft > workTolerance && !attempt.over {
			remaining = append(remaining, attempt)
			continue
		}
		w.sim.workDone += attempt.work
		if !attempt.over {
			attempt.over = true
			w.sim.reportOutcome(attempt, scheduler.Served)
		}
	}
	clear(w.running[len(remaining):])
	w.running = remaining
	w.busySlots = len(remaining)
	w.scheduleCompletion()
	w.pushReport()
}

// workTolerance is the remaining work, in seconds, up to which an attempt counts as done: it covers rounding.
const workTolerance = 1e-9

package emulator

import (
	"time"

	"brassdale/scheduler"
)

// A box of a kind that shares works on all its jobs at once, each at its part of the speed, and turns away what comes beyond
// its slots: the paper's pool element, in place of slots with a queue.

// updateProgress brings the work that is left up to now.
func (w *worker) updateProgress() {
	if n := len(w.running); n > 0 {
		progress := (w.sim.now - w.progressAt).Seconds() * w.currentSpeed() / float64(n)
		for _, attempt := range w.running {
			attempt.workLeft -= progress
		}
	}
	w.progressAt = w.sim.now
}

// receiveShared takes an attempt, or turns it away.
func (w *worker) receiveShared(attempt *attemptRun) {
	if len(w.running) >= w.slots {
		attempt.over = true
		w.sim.reportOutcome(attempt, scheduler.Full)
		return
	}
	w.updateProgress()
	attempt.workLeft, attempt.running = attempt.work, true
	w.running = append(w.running, attempt)
	w.busySlots = len(w.running)
	w.sim.reportStarted(attempt)
	w.scheduleCompletion()
	w.pushReport()
}

// scheduleCompletion sees to the next job's end, as it stands: any change before makes it void.
func (w *worker) scheduleCompletion() {
	w.completionTimer++
	if len(w.running) == 0 {
		return
	}
	minimum := w.running[0].workLeft
	for _, attempt := range w.running {
		minimum = min(minimum, attempt.workLeft)
	}
	timer, incarnation := w.completionTimer, w.incarnation
	w.sim.after(time.Duration(max(minimum, 0)*float64(len(w.running))/w.currentSpeed()*float64(time.Second)), func() {
		if timer == w.completionTimer && incarnation == w.incarnation {
			w.completeShared()
		}
	})
}

// completeShared ends the jobs that are done.
func (w *worker) completeShared() {
	w.updateProgress()
	remaining := w.running[:0]
	for _, attempt := range w.running {
		if attempt.workLeft > 1e-9 && !attempt.over {
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

// pushReport has all dispatchers told of the load, where boxes tell by themselves.
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

// enqueueForUser has a job wait until its client has had its answers to those before: the paper's pool users, of whom each has one
// request handled at a time.
func (sim *simulation) enqueueForUser(job *job) {
	user := sim.clientRandom.IntN(sim.scenario.Traffic.Users)
	job.user = user
	sim.userQueues[user] = append(sim.userQueues[user], job)
	if len(sim.userQueues[user]) == 1 {
		sim.submit(job)
	}
}

// startNextOfUser has a client's next job begin.
func (sim *simulation) startNextOfUser(job *job) {
	queue := sim.userQueues[job.user][1:]
	if sim.userQueues[job.user] = queue; len(queue) > 0 {
		sim.submit(queue[0])
	}
}

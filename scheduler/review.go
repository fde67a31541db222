package scheduler

import (
	"slices"
	"time"
)

// Review: the periodic check of all open requests, triggered by a timer. It detects silent workers and delayed starts, gives up
// requests that are too late, hedges attempts, renews the subset and sends the regular probes.

const (
	// maxQueueReviewInterval bounds the time between reviews while requests are queued.
	maxQueueReviewInterval = 20 * time.Millisecond

	// idleReviewInterval is the time between reviews while no attempt awaits its start.
	idleReviewInterval = 200 * time.Millisecond

	// minStall is how late the timer of a review must fire for this process, or its machine, to count as stalled.
	minStall = 100 * time.Millisecond
)

// The tokens of the timers.
const (
	reviewTimer   = 1
	pollTimer     = 2
	shutdownTimer = 3
)

// queueReviewInterval returns the time between reviews while requests are queued. It is also the margin before a request's
// deadline and before the end of a deduplication window: what is due before the next review has to be decided in this one.
func (s *Scheduler) queueReviewInterval() time.Duration {
	return min(maxQueueReviewInterval, max(s.settings.AnswerSlack/2, time.Millisecond))
}

// scheduleReview sets a timer for the next review unless an earlier one is set. Nothing is due without open requests, except
// probes where reports are pulled.
func (s *Scheduler) scheduleReview() {
	if len(s.requestsByArrival) == 0 && !s.settings.ReportsPulled {
		return
	}
	pause := idleReviewInterval
	if len(s.queued) > 0 {
		pause = s.queueReviewInterval()
	} else if slices.ContainsFunc(s.requestsByArrival, func(r *request) bool { return r.anyAttempt(awaitsStart) }) {
		pause = hedgeDelay + time.Millisecond
	}
	if at := s.now + pause; !s.reviewScheduled || at < s.nextReviewAt {
		s.reviewScheduled, s.nextReviewAt = true, at
		s.emit(SetTimer{Token: reviewTimer, After: pause})
	}
}

// detectStall detects that this process was stalled: the timer of a review is late. The events that occurred meanwhile are handled
// at once now, so the stall does not count as silence of the workers, and times measured at this instant (resumedAt) are wrong.
func (s *Scheduler) detectStall() {
	if !s.reviewScheduled || s.now <= s.nextReviewAt+minStall || s.now == s.resumedAt {
		return
	}
	s.resumedAt = s.now
	for _, worker := range s.workers {
		worker.lastSignal = s.now
	}
}

// onTimerFired handles a timer. A review timer that fires before nextReviewAt belongs to a replaced review and is ignored. After a
// stall the review is left to the next timer, so that the events that have arrived meanwhile are handled first.
func (s *Scheduler) onTimerFired(event TimerFired) {
	switch {
	case event.Token == pollTimer:
		s.emit(Subscribe{})
	case event.Token == shutdownTimer:
		s.review()
	case event.Token == reviewTimer && s.now >= s.nextReviewAt:
		s.reviewScheduled = false
		if s.now != s.resumedAt {
			s.review()
		}
	}
}

// review checks all workers and open requests once.
func (s *Scheduler) review() {
	s.requestsByArrival = slices.DeleteFunc(s.requestsByArrival, func(r *request) bool { return s.requests[r.id] != r })
	s.reviewWorkers()
	for _, request := range slices.Clone(s.requestsByArrival) {
		if !request.settled && !request.streamed {
			s.reviewRequest(request)
		}
	}
	if s.now-s.subsetChosenAt >= subsetInterval {
		s.chooseSubset()
	}
	s.probeSubset()
}

// reviewWorkers counts, for each worker, the own attempts that have not started in time, and the own attempts that run for longer
// than usual, which show a slow worker before they end. It also detects silent workers.
func (s *Scheduler) reviewWorkers() {
	for _, worker := range s.workers {
		worker.delayedStarts, worker.runningSlownessSum, worker.runningSlownessJobs = 0, 0, 0
	}
	for _, request := range s.requestsByArrival {
		for i := range request.attempts {
			attempt := &request.attempts[i]
			s.detectSilence(request, attempt)
			s.countDelays(request, attempt)
		}
	}
}

// countDelays adds an attempt to its worker's counts of delayed starts and of slow running jobs.
func (s *Scheduler) countDelays(request *request, attempt *attempt) {
	worker := attempt.worker
	if s.startOverdue(attempt, startGracePeriod) && !attempt.lost {
		worker.delayedStarts++
	}
	if !attempt.inFlight || attempt.startedAt <= 0 {
		return
	}
	if slowness := s.logSlowness(request, attempt); slowness > 0 {
		worker.runningSlownessSum += slowness
		worker.runningSlownessJobs++
	}
}

// reviewRequest decides how a request without a final answer continues. The first rule that applies counts:
//
//  1. If no attempt is in flight (the request is queued), it gets its final answer if its deadline is near or it is too late.
//  2. If half of AnswerSlack has passed since its deadline, it fails.
//  3. If it is too late and no attempt in flight has started, it is given up, provided that workers report starts and drop enough
//     cancelled jobs (maxExecutedShare).
//  4. Nothing is done if it is not idempotent, if its latest attempt is cancelled, if an attempt in flight has started and an
//     attempt in flight (the same or another) is at a healthy worker, or if only one more attempt is left, which a retry may need.
//  5. If hedging is permitted, it is hedged. Otherwise, if all its attempts in flight are at ejected workers, they are cancelled,
//     so that it is retried.
func (s *Scheduler) reviewRequest(request *request) {
	var latest *attempt
	started, atHealthyWorker := false, false
	for i := range request.attempts {
		if candidate := &request.attempts[i]; candidate.inFlight {
			latest, started = candidate, started || candidate.startedAt > 0
			atHealthyWorker = atHealthyWorker || s.healthy(candidate.worker, request.class)
		}
	}
	settings, late := request.settings, s.tooLate(request)
	switch {
	case latest == nil && request.deadline-s.now <= 2*s.queueReviewInterval():
		s.rejectOrFail(request, DeadlineNear)
	case latest == nil && late:
		s.rejectOrFail(request, TooLate)
	case latest == nil:
	case s.now >= request.deadline+settings.AnswerSlack/2:
		s.failRequest(request, DeadlinePassed)
	case late && !started && s.settings.ReportsStart && s.cancellations.executedShare() < maxExecutedShare:
		s.giveUp(request, latest.worker)
	case settings.Classes[request.class].Idempotency == NonIdempotent, latest.cancelled, started && atHealthyWorker,
		len(request.attempts)+1 >= settings.MaxAttempts:
	case settings.MayHedge && settings.MayCancel:
		s.hedge(request, latest, late)
	case !atHealthyWorker:
		s.cancelAttempts(request, everyAttempt)
	}
}

// Package scheduler decides where a dispatcher pushes its jobs, when it sends them again and when it
// turns them away. Its interface (settings, events, actions) is api.go, its state state.go; the decisions are
// split by job: membership, load, pick, queue, attempts, review, health, coldbudget.
//
// The mechanism is Least Used with Degradation: each worker has a load value, a job goes to the
// lowest, round robin among ties, each push raises the value by the job's share of the worker, and
// each report resets it. Everything else is a departure; its comment says when it acts.
package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// Handle takes one event and returns what to do. The result is valid until the next call.
func (s *Scheduler) Handle(now Clock, ev Event) []Action {
	s.now = max(s.now, now)
	s.actions = s.actions[:0]
	s.firstEventAt = cmp.Or(s.firstEventAt, s.now)
	// After a standstill of this process or machine all that came is found at once: nobody was silent.
	if s.reviewScheduled && s.now > s.nextReviewAt+minStall && s.now != s.resumedAt {
		s.resumedAt = s.now
		for _, w := range s.workers {
			w.lastSignal = s.now
		}
	}
	switch e := ev.(type) {
	case EndpointsUpdated:
		s.onEndpointsUpdated(e)
	case RequestArrived:
		s.onRequestArrived(e)
	case AttemptFinished:
		s.onAttemptFinished(e)
	case ProbeCompleted:
		s.onProbeCompleted(e)
	case AttemptStarted:
		s.onAttemptStarted(e)
	case AttemptProgressed:
		if _, a := s.attemptInFlight(e.ID, e.Attempt); a != nil {
			s.recordSignal(a.worker)
		}
	case ClientLeft:
		if r := s.requests[e.ID]; r != nil {
			s.finishRequest(r)
		}
	case ShutdownStarted:
		s.shutdownDeadline = e.Deadline
		for _, r := range s.requestsByArrival {
			r.deadline = min(r.deadline, s.shutdownDeadline)
		}
		// looks are too seldom for it
		s.emit(SetTimer{Token: shutdownTimer, After: s.shutdownDeadline - s.now + s.settings.AnswerSlack/2})
	case WorkerDetached:
		s.setDetached(e.Worker, true)
	case WorkerReattached:
		s.setDetached(e.Worker, false)
	case HandoverCompleted:
		s.adoptLearnedState(e.LearnedState)
	case SettingsChanged:
		s.applySettings(e.Settings)
	case ProcessCountChanged:
		s.processes = max(e.Processes, 1)
	case TimerFired:
		switch {
		case e.Token == pollTimer:
			s.emit(Subscribe{})
		case e.Token == shutdownTimer:
			s.reviewAll()
		case e.Token == reviewTimer && s.now >= s.nextReviewAt: // else an older timer; a later one is set
			s.reviewScheduled = false
			if s.now != s.resumedAt { // else what has come must be read first
				s.reviewAll()
			}
		}
	}
	s.sendQueued()
	if len(s.requestsByArrival) > 0 || s.settings.ReportsPulled {
		pause := idleReviewInterval
		if len(s.queued) > 0 {
			pause = s.queueReviewInterval()
		} else if slices.ContainsFunc(
			s.requestsByArrival, func(r *request) bool { return r.anyAttempt(awaitsStart) }) {
			pause = hedgeDelay + time.Millisecond
		}
		if at := s.now + pause; !s.reviewScheduled || at < s.nextReviewAt { // else a look is due before
			s.reviewScheduled, s.nextReviewAt = true, at
			s.emit(SetTimer{Token: reviewTimer, After: pause})
		}
	}
	return s.actions
}

// Package scheduler decides where a dispatcher pushes its jobs, when it sends them again and when it
// turns them away. Its interface (settings, events, actions) is api.go, its state state.go; the decisions are
// split by job: membership, load, pick, queue, attempts, review, health, coldbudget.
//
// The mechanism is Least Used with Degradation: each worker has a load value, a job goes to the
// lowest, round robin among ties, each push raises the value by the job's share of the worker, and
// each report resets it. Everything else is a departure; its comment says when it acts.
package scheduler

import "cmp"

// Handle takes one event and returns what to do. The result is valid until the next call.
func (s *Scheduler) Handle(now Clock, ev Event) []Action {
	s.now = max(s.now, now)
	s.actions = s.actions[:0]
	s.firstEventAt = cmp.Or(s.firstEventAt, s.now)
	s.detectStall()
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
		s.onAttemptProgressed(e)
	case ClientLeft:
		s.onClientLeft(e)
	case ShutdownStarted:
		s.onShutdownStarted(e)
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
		s.onTimerFired(e)
	}
	s.sendQueued()
	s.scheduleReview()
	return s.actions
}

package scheduler

import (
	"slices"
)

// Retries and final answers: what permits a further attempt, and what the client gets if there is none.

// permitted reports whether the rules let request go to worker at all, whatever the load: the worker is listed as ready, or its
// return is unconfirmed and no other is, and it is not detached; its zone and machine kind are allowed, the request has attempts left, and
// earlier attempts that may have executed do not forbid it. Of these
//
//   - a non-idempotent request permits no further attempt,
//   - an attempt still in flight permits one only where hedging is allowed,
//   - a request with an idempotency key permits one only inside the deduplication scope (zone or cell) and window.
func (s *Scheduler) permitted(request *request, worker *worker) bool {
	if !worker.ready && !worker.ReturnUnconfirmed || worker.detached || !worker.runs(request) {
		return false
	}
	if worker.ReturnUnconfirmed && s.anyAvailable(request) {
		return false
	}
	for i := range request.attempts {
		earlier := &request.attempts[i]
		if earlier.mayHaveExecuted && !s.permittedAfter(request, earlier, worker) {
			return false
		}
	}
	return len(request.attempts) < request.settings.MaxAttempts
}

// anyAvailable reports whether any worker that may run the request is listed as ready and not detached.
func (s *Scheduler) anyAvailable(request *request) bool {
	return slices.ContainsFunc(s.workers, func(w *worker) bool { return w.available() && w.runs(request) })
}

// permittedAfter reports whether an earlier attempt that may have executed permits a further one at worker.
func (s *Scheduler) permittedAfter(request *request, earlier *attempt, worker *worker) bool {
	class := &request.settings.Classes[request.class]
	switch {
	case earlier.inFlight && !request.settings.MayHedge, class.Idempotency == NonIdempotent:
		return false
	case class.Idempotency == Idempotent:
		return true
	case s.now >= s.retrySendDeadline(request),
		class.DeduplicationScope == ScopeZone && earlier.worker.Zone != worker.Zone,
		class.DeduplicationScope == ScopeCell && earlier.worker.Cell != worker.Cell:
		return false
	}
	return true
}

// retrySendDeadline returns when the last byte of a further attempt must have left, or 0 for no bound: workers drop repeats of a
// key for the deduplication window of its class, which counts from the first attempt that may have executed. One review interval is
// left as a margin.
func (s *Scheduler) retrySendDeadline(request *request) Instant {
	class := &request.settings.Classes[request.class]
	first := slices.IndexFunc(request.attempts, mayHaveExecuted)
	if first < 0 || class.Idempotency != IdempotentWithKey {
		return 0
	}
	return request.attempts[first].sentAt + class.DeduplicationWindow - s.queueReviewInterval()
}

// retryPossible reports whether a further attempt is permitted now or, where none may have executed, as soon as a worker for it
// is listed.
func (s *Scheduler) retryPossible(request *request) bool {
	if !request.anyAttempt(mayHaveExecuted) {
		return len(request.attempts) < request.settings.MaxAttempts
	}
	return slices.ContainsFunc(s.workers, func(w *worker) bool { return s.permitted(request, w) })
}

// continueRequest decides what follows for a request when one of its attempts has ended: nothing if the client has its answer;
// a failure for an invalid request; nothing while another attempt is in flight; otherwise a retry, for which the request queues,
// or, if none is possible or the deadline is too near, a final answer.
func (s *Scheduler) continueRequest(request *request, event AttemptFinished) {
	switch {
	case event.Final || event.Outcome == Served:
		s.settleRequest(request)
	case request.settled:
		s.deleteUnlessInFlight(request)
	case event.Outcome == InvalidRequest:
		s.failRequest(request, RequestInvalid)
	case request.anyAttempt(isInFlight):
	case request.deadline-s.now <= s.queueReviewInterval():
		s.rejectOrFail(request, DeadlineNear)
	case !s.retryPossible(request):
		s.rejectOrFail(request, NoRetryLeft)
	default:
		s.queued = append(s.queued, request)
	}
}

// rejectOrFail gives the final answer of a request that is not served: Reject if the client may send it again without harm,
// which holds if it is idempotent, if all workers drop repeats of its key, or if no attempt may have executed; otherwise Fail.
func (s *Scheduler) rejectOrFail(request *request, reason Reason) {
	class := &request.settings.Classes[request.class]
	repeatable := class.Idempotency == Idempotent ||
		class.Idempotency == IdempotentWithKey && class.DeduplicationScope == ScopeAll
	if !repeatable && request.anyAttempt(mayHaveExecuted) {
		s.failRequest(request, reason)
		return
	}
	s.emit(Reject{ID: request.id, RetryAfter: request.settings.MaxRetryAfter, Reason: reason})
	s.settleRequest(request)
}

// failRequest gives the final answer Fail, which does not permit the client to repeat the request.
func (s *Scheduler) failRequest(request *request, reason Reason) {
	s.emit(Fail{ID: request.id, Reason: reason})
	s.settleRequest(request)
}

// settleRequest marks that the client is owed nothing more and cancels the attempts in flight.
func (s *Scheduler) settleRequest(request *request) {
	request.settled = true
	s.cancelAttempts(request, everyAttempt)
	s.deleteUnlessInFlight(request)
}

// deleteUnlessInFlight forgets a finished request once none of its attempts is in flight.
func (s *Scheduler) deleteUnlessInFlight(request *request) {
	if !request.anyAttempt(isInFlight) {
		delete(s.requests, request.id)
	}
}

// onClientLeft ends a request whose client has gone.
func (s *Scheduler) onClientLeft(event ClientLeft) {
	if request := s.requests[event.ID]; request != nil {
		s.settleRequest(request)
	}
}

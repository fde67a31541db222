package scheduler

import (
	"slices"
)

// Retries and final answers: when a further attempt is permitted, and which answer the client gets if no further attempt is.

// permitted reports whether request may be sent to worker, regardless of the load. All of these must hold:
//
//   - The worker is listed as ready and not detached. If no such worker can run the request, a worker whose return is
//     unconfirmed is permitted.
//   - The worker is of the machine kind of the request's class and in an allowed zone.
//   - The request has attempts left.
//   - If an earlier attempt may have executed, the request is idempotent or has an idempotency key. With a key the worker must be
//     in the deduplication scope (zone or cell) of that attempt, and the deduplication window must not have ended.
//   - The same holds for an earlier run of the key by another request (permittedAfterRun).
//   - If an earlier attempt is still in flight, MayHedge is set.
func (s *Scheduler) permitted(request *request, worker *worker) bool {
	if !worker.ready && !worker.ReturnUnconfirmed || worker.detached || !worker.canRun(request) {
		return false
	}
	if worker.ReturnUnconfirmed && s.anyAvailable(request) || !s.permittedAfterRun(request, worker) {
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
	return slices.ContainsFunc(s.workers, func(w *worker) bool { return w.available() && w.canRun(request) })
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

// retrySendDeadline returns the time by which the last byte of a further attempt must have been sent, or 0 for no bound. Workers
// drop repeats of a key only within the deduplication window of its class, which begins at the first attempt that may have executed.
// The bound is one review interval before the end of the window.
func (s *Scheduler) retrySendDeadline(request *request) Instant {
	class := &request.settings.Classes[request.class]
	if run := request.earlierRunOfKey(); run != nil {
		return s.runSendDeadline(run)
	}
	first := slices.IndexFunc(request.attempts, mayHaveExecuted)
	if first < 0 || class.Idempotency != IdempotentWithKey {
		return 0
	}
	return request.attempts[first].sentAt + class.DeduplicationWindow - s.queueReviewInterval()
}

// retryPossible reports whether a further attempt is permitted at some worker now. If no attempt may have executed, attempts left
// are enough: a worker for the request may be listed later.
func (s *Scheduler) retryPossible(request *request) bool {
	if !request.anyAttempt(mayHaveExecuted) && request.earlierRunOfKey() == nil {
		return len(request.attempts) < request.settings.MaxAttempts
	}
	return slices.ContainsFunc(s.workers, func(w *worker) bool { return s.permitted(request, w) })
}

// continueRequest decides how a request continues after one of its attempts has ended. If the client has its answer, the request
// is settled. An invalid request fails. While another attempt is in flight, nothing happens. Otherwise the request is queued for a
// retry; if no retry is possible or the deadline is too near, it gets its final answer.
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

// rejectOrFail gives the final answer to a request that is not served. It is Reject if the client may send the request again
// without harm: if the request is idempotent, if all workers drop repeats of its key, or if no attempt may have executed, of this request or
// of an earlier one with its key.
// Otherwise it is Fail.
func (s *Scheduler) rejectOrFail(request *request, reason Reason) {
	class := &request.settings.Classes[request.class]
	repeatable := class.Idempotency == Idempotent ||
		class.Idempotency == IdempotentWithKey && class.DeduplicationScope == ScopeAll
	if !repeatable && (request.anyAttempt(mayHaveExecuted) || request.earlierRunOfKey() != nil) {
		s.failRequest(request, reason)
		return
	}
	s.emit(Reject{ID: request.id, RetryAfter: request.settings.MaxRetryAfter, Reason: reason})
	s.settleRequest(request)
}

// failRequest gives the final answer Fail, which does not promise that repeating the request is harmless.
func (s *Scheduler) failRequest(request *request, reason Reason) {
	s.emit(Fail{ID: request.id, Reason: reason})
	s.settleRequest(request)
}

// settleRequest marks that the request needs no further answer and cancels its attempts in flight.
func (s *Scheduler) settleRequest(request *request) {
	request.settled = true
	s.cancelAttempts(request, everyAttempt)
	s.deleteUnlessInFlight(request)
}

// deleteUnlessInFlight removes a settled request unless one of its attempts is in flight.
func (s *Scheduler) deleteUnlessInFlight(request *request) {
	if !request.anyAttempt(isInFlight) {
		delete(s.requests, request.id)
	}
}

// onClientLeft settles a request whose client has left.
func (s *Scheduler) onClientLeft(event ClientLeft) {
	if request := s.requests[event.ID]; request != nil {
		s.settleRequest(request)
	}
}

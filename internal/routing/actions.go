package routing

import (
	"container/heap"

	"brassdale/scheduler"
)

// handleEvent passes an event to the scheduler and carries out the returned actions in order. It must not be called while an action
// is carried out: events that an action causes are posted to the mailbox.
func (c *Core) handleEvent(event scheduler.Event) {
	for _, returned := range c.scheduler.Handle(c.now, event) {
		switch action := returned.(type) {
		case scheduler.Send:
			c.sendAttempt(action)
		case scheduler.Cancel:
			c.cancelAttempt(AttemptID{action.ID, action.Attempt})
		case scheduler.Reject:
			c.closeRequest(action.ID, Answer{Verdict: Rejected, RetryAfter: action.RetryAfter, reason: action.Reason.String()})
		case scheduler.Fail:
			c.closeRequest(action.ID, Answer{Verdict: Failed, reason: action.Reason.String()})
		case scheduler.CloseIdleConnections:
			c.endpoints.CloseIdle(action.Worker, action.MinIdle)
		case scheduler.Probe:
			c.probe(action.Worker)
		case scheduler.Subscribe:
			c.subscribe()
		case scheduler.SetTimer:
			heap.Push(&c.timers, timer{at: c.now + action.After, token: action.Token})
		case scheduler.AnnounceKeyedRun:
			if announce := c.announceKeyedRun.Load(); announce != nil {
				(*announce)(action.Run)
			}
		case scheduler.Log:
			c.log.Info(action.Text)
		}
	}
}

// cancelAttempt tells the endpoint pool to cancel an attempt that is in flight. The pool still reports the outcome.
func (c *Core) cancelAttempt(id AttemptID) {
	if _, found := c.findAttempt(id); found != nil {
		c.endpoints.Cancel(found.endpoint, id)
	}
}

// probe probes a worker. If the fleet's budget does not allow the probe, it completes as NeverSent.
func (c *Core) probe(worker scheduler.WorkerID) {
	if c.fleetBudget != nil && !c.fleetBudget.AllowProbe() {
		c.ProbeCompleted(worker, scheduler.NeverSent, nil)
		return
	}
	c.endpoints.Probe(worker)
}

// sendAttempt adds an attempt to its request and passes it to the endpoint pool. If the attempt is not permitted, it ends as
// NeverSent through the mailbox.
func (c *Core) sendAttempt(action scheduler.Send) {
	request := c.requests[action.ID]
	if request == nil {
		c.log.Error("scheduler sent unknown request", "request", action.ID)
		return
	}
	id := AttemptID{action.ID, len(request.attempts)}
	request.attempts = append(request.attempts, attempt{endpoint: action.Worker, inFlight: true, sentAt: c.now})
	request.inFlight++
	outbound := Attempt{ID: id, Endpoint: action.Worker, Deadline: request.Deadline, Job: request.Job, ClientGone: request.ClientGone}
	if action.SendBy > 0 {
		outbound.SendBy = c.clock.Time(action.SendBy)
	}
	if !c.sendPermitted(request, &outbound) {
		c.AttemptFinished(id, AttemptResult{Outcome: scheduler.NeverSent})
		return
	}
	c.endpoints.Send(outbound)
}

// sendPermitted reports whether an attempt may be sent. It counts first attempts and charges retries to the budgets, so it must be
// called once for each attempt.
func (c *Core) sendPermitted(request *openRequest, outbound *Attempt) bool {
	number := outbound.ID.Number
	switch {
	case request.settled || c.now >= request.expiresAt || outbound.MustNotSend(c.clock.Time(c.now)):
		return false
	case request.Limits.MaxAttempts > 0 && number >= request.Limits.MaxAttempts:
		return false
	case number > 0:
		return c.retryPermitted(request)
	}
	c.firstAttempts.Add(1)
	if c.retryBudget != nil {
		c.retryBudget.CountFirstAttempt(c.now, request.ClassName, request.Account)
	}
	return true
}

// retryPermitted reports whether a retry may be sent. It checks the retry permission, the fleet's budget and the retry budget, in
// this order. A budget is charged only if the earlier checks allowed the retry.
func (c *Core) retryPermitted(request *openRequest) bool {
	if c.retriesAllowed != nil && !c.retriesAllowed() {
		c.counters.countFleetRetryDenied()
		return false
	}
	if c.fleetBudget != nil && !c.fleetBudget.AllowRetry() {
		c.counters.countFleetRetryDenied()
		return false
	}
	if c.retryBudget != nil && !c.retryBudget.AllowRetry(c.now, request.ClassName, request.Account) {
		c.counters.setRetriesDenied(c.retryBudget.Denied())
		return false
	}
	return true
}

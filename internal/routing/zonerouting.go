package routing

import (
	"time"

	"brassdale/internal/decisions/failover"
	"brassdale/scheduler"
)

// ZoneRouter decides to which zones requests may go, and is notified of the outcomes of attempts and probes. No method blocks.
// ProbeCompleted may be called from any goroutine, the other methods only from the goroutine of Core.Run.
type ZoneRouter interface {
	EndpointsUpdated(now scheduler.Instant, update scheduler.EndpointsUpdated)

	// Route returns the zones that a request may go to, as a bit for each zone index; 0 for all. If ok is false, the request must be
	// rejected, and its client should retry after retryAfter.
	Route(now scheduler.Instant, class, idempotencyKey string) (zones uint64, retryAfter time.Duration, ok bool)

	AttemptStarted(now scheduler.Instant, id scheduler.WorkerID)

	// AttemptUnanswered is called once for an attempt that has been in flight for failover.NoResponseAfter without a reported start.
	AttemptUnanswered(now scheduler.Instant, id scheduler.WorkerID)

	// AttemptEnded is called with the outcome of an attempt, the time since its request arrived and the time since it started;
	// ran is 0 if no start was reported.
	AttemptEnded(now scheduler.Instant, id scheduler.WorkerID, class string, o scheduler.Outcome, sinceArrival, ran time.Duration)

	ProbeCompleted(id scheduler.WorkerID, o scheduler.Outcome)
}

// FleetBudget reports whether the budgets that all dispatchers of the fleet share allow one more retry or probe, and charges them
// for it. No method blocks.
type FleetBudget interface {
	AllowRetry() bool
	AllowProbe() bool
}

// SetFleetBudget sets the budgets of the fleet. It is called before Run.
func (c *Core) SetFleetBudget(budget FleetBudget) { c.fleetBudget = budget }

// SetZoneRouter sets the zone router. It is called before Run.
func (c *Core) SetZoneRouter(router ZoneRouter) { c.zoneRouter = router }

// routeRequest returns the zones that a request may go to; 0 for all. If ok is false, the request has been rejected.
func (c *Core) routeRequest(id scheduler.RequestID, request *openRequest) (zones uint64, ok bool) {
	if c.zoneRouter == nil {
		return 0, true
	}
	request.arrivedAt = c.now
	zones, retryAfter, ok := c.zoneRouter.Route(c.now, request.ClassName, request.IdempotencyKey)
	if !ok {
		c.closeRequest(id, Answer{Verdict: Rejected, RetryAfter: retryAfter, reason: reasonZonePlan})
	}
	return zones, ok
}

// reportAttemptEnded reports the outcome of an attempt to the zone router. If the attempt was reported as unanswered before, only a
// response of the endpoint is reported.
func (c *Core) reportAttemptEnded(request *openRequest, ended *attempt, outcome scheduler.Outcome) {
	if c.zoneRouter == nil || ended.unansweredReported && !isResponse(outcome) {
		return
	}
	ran := time.Duration(0)
	if ended.startedAt > 0 {
		ran = c.now - ended.startedAt
	}
	c.zoneRouter.AttemptEnded(c.now, ended.endpoint, request.ClassName, outcome, c.now-request.arrivedAt, ran)
}

// isResponse reports whether an outcome is a response of the endpoint.
func isResponse(outcome scheduler.Outcome) bool {
	switch outcome {
	case scheduler.Served, scheduler.Full, scheduler.Errored, scheduler.InvalidRequest:
		return true
	}
	return false
}

// reportUnanswered reports attempts to the zone router that have been in flight for failover.NoResponseAfter without a reported start.
func (c *Core) reportUnanswered() {
	for _, request := range c.requests {
		for i := range request.attempts {
			unanswered := &request.attempts[i]
			if !unanswered.inFlight || unanswered.unansweredReported || unanswered.startedAt != 0 {
				continue
			}
			if c.now-unanswered.sentAt >= failover.NoResponseAfter {
				unanswered.unansweredReported = true
				c.zoneRouter.AttemptUnanswered(c.now, unanswered.endpoint)
			}
		}
	}
}

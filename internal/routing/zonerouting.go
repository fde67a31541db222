package routing

import (
	"time"

	"brassdale/internal/decisions/failover"
	"brassdale/scheduler"
)

// ZoneRouter says to which zones jobs may go, and hears what becomes of their calls. No method blocks. Probed may be called by
// anybody, the others by the core alone.
type ZoneRouter interface {
	EndpointsUpdated(now scheduler.Clock, l scheduler.EndpointsUpdated)
	// Arrived gives the zones, a bit for each number, 0 for all; not ok where the job is to be refused here, and for how long
	// its client should stay away.
	Route(now scheduler.Clock, class, repeat string) (within uint64, away time.Duration, ok bool)
	AttemptStarted(now scheduler.Clock, id scheduler.WorkerID)
	AttemptUnanswered(now scheduler.Clock, id scheduler.WorkerID) // a call has been without any sign for failover.SilentAfter
	// Ended tells how a call ended, how long ago its job came and for how long it ran; 0 where it has not begun.
	AttemptEnded(now scheduler.Clock, id scheduler.WorkerID, class string, o scheduler.Outcome, took, ran time.Duration)
	ProbeCompleted(id scheduler.WorkerID, o scheduler.Outcome)
}

// FleetBudget says whether there is room for one more in what all dispatchers together may do. No method blocks.
type FleetBudget interface {
	AllowRetry() bool // a further call of a job
	AllowProbe() bool
}

// SetFleetBudget names who says so. It is set before Run.
func (c *Core) SetFleetBudget(s FleetBudget) { c.fleetBudget = s }

// FirstAttempts is how many first calls there were.
func (c *Core) FirstAttempts() uint64 { return c.firstAttempts.Load() }

// SetZoneRouter names the guide. It is set before Run.
func (c *Core) SetZoneRouter(g ZoneRouter) { c.zoneRouter = g }

// routeRequest asks the guide where a request may go. One that it has refused has its answer behind this.
func (c *Core) routeRequest(id scheduler.RequestID, r *openRequest) (within uint64, ok bool) {
	if c.zoneRouter == nil {
		return 0, true
	}
	r.arrivedAt = c.now
	within, away, ok := c.zoneRouter.Route(c.now, r.ClassName, r.IdempotencyKey)
	if !ok {
		c.closeRequest(id, Answer{Verdict: Rejected, RetryAfter: away})
	}
	return within, ok
}

// reportAttemptEnded tells the guide how a call ended.
func (c *Core) reportAttemptEnded(r *openRequest, a *attempt, o scheduler.Outcome) {
	if c.zoneRouter == nil {
		return
	}
	ran := time.Duration(0)
	if a.startedAt > 0 {
		ran = c.now - a.startedAt
	}
	if !a.unansweredReported || o == scheduler.Served || o == scheduler.Full || o == scheduler.Errored || o == scheduler.InvalidRequest {
		c.zoneRouter.AttemptEnded(c.now, a.endpoint, r.ClassName, o, c.now-r.arrivedAt, ran)
	}
}

// reportUnanswered looks for calls without any sign.
func (c *Core) reportUnanswered() {
	for _, r := range c.requests {
		for i := range r.attempts {
			if a := &r.attempts[i]; a.inFlight && !a.unansweredReported && a.startedAt == 0 && c.now-a.sentAt >= failover.NoResponseAfter {
				a.unansweredReported = true
				c.zoneRouter.AttemptUnanswered(c.now, a.endpoint)
			}
		}
	}
}

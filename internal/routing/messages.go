package routing

import (
	"time"

	"brassdale/internal/decisions/retrybudget"
	"brassdale/scheduler"
)

// The messages in the mailbox of the Core, in addition to events of the scheduler, which are passed on as they are.
type (
	submitRequest struct {
		id      scheduler.RequestID
		request Request
	}
	clientLeft   struct{ id scheduler.RequestID }
	attemptWaits struct {
		id    AttemptID
		waits bool
	}
	attemptStarted    struct{ id AttemptID }
	attemptProgressed struct {
		id    AttemptID
		share float64
	}
	attemptFinished struct {
		id     AttemptID
		result AttemptResult
	}
	setDetached struct {
		id       scheduler.WorkerID
		detached bool
	}
	knowsWorker struct {
		id    scheduler.WorkerID
		reply chan<- bool // buffered
	}
	learnedStateQuery struct {
		reply chan<- scheduler.LearnedState // buffered
	}
	keyedRunsQuery struct {
		reply chan<- []scheduler.KeyedRun // buffered
	}
	setRetryRatio struct{ ratio float64 } // below 0 for no budget
)

// handleMessage carries out one message of the mailbox.
func (c *Core) handleMessage(message any) {
	switch msg := message.(type) {
	case submitRequest:
		c.acceptRequest(msg.id, msg.request)
	case clientLeft:
		c.abandonRequest(msg.id)
	case attemptWaits:
		c.handleAttemptWaits(msg.id, msg.waits)
	case attemptStarted:
		c.handleAttemptStarted(msg.id)
	case attemptProgressed:
		c.handleAttemptProgressed(msg.id, msg.share)
	case attemptFinished:
		c.finishAttempt(msg.id, msg.result)
	case setDetached:
		c.applyDetached(msg)
	case setRetryRatio:
		c.applyRetryRatio(msg.ratio)
	case learnedStateQuery:
		msg.reply <- c.scheduler.LearnedState()
	case keyedRunsQuery:
		msg.reply <- c.scheduler.KeyedRuns()
	case knowsWorker:
		msg.reply <- c.scheduler.KnowsWorker(msg.id)
	case scheduler.Event:
		if update, ok := msg.(scheduler.EndpointsUpdated); ok && c.zoneRouter != nil {
			c.zoneRouter.EndpointsUpdated(c.now, update)
		}
		c.handleEvent(msg)
	}
}

// applyDetached detaches or reattaches a worker, at the endpoint pool first, so that the change applies to all attempts that the
// scheduler sends afterwards.
func (c *Core) applyDetached(m setDetached) {
	if m.detached {
		c.endpoints.SetDetached(m.id, time.Now())
		c.handleEvent(scheduler.WorkerDetached{Worker: m.id})
		return
	}
	c.endpoints.SetDetached(m.id, time.Time{})
	c.handleEvent(scheduler.WorkerReattached{Worker: m.id})
}

// applyRetryRatio sets the ratio of the retry budget, or removes the budget for a ratio below 0. A change of the ratio keeps the
// budget's counts.
func (c *Core) applyRetryRatio(ratio float64) {
	if ratio < 0 {
		c.retryBudget = nil
		return
	}
	if c.retryBudget == nil {
		c.retryBudget = retrybudget.New(ratio)
	}
	c.retryBudget.SetRatio(ratio)
}

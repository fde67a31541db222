package routing

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"brassdale/internal/decisions/failover"
	"brassdale/internal/decisions/retrybudget"
	"brassdale/scheduler"
)

// Core is the actor that runs the scheduler. The goroutine of Run owns the scheduler, its timers and the table of open requests.
// Only that goroutine calls the scheduler, and it carries out the returned actions in order.
//
// NewCore, SetEndpoints, SetRetryPermission, SetFleetBudget and SetZoneRouter are called before Run. All other methods may be
// called from any goroutine and do not block, except KnowsWorker and LearnedState, which wait for Run. Run calls the clients, the
// endpoint pool, the observer, the zone router and the fleet budget, which must not block.
type Core struct {
	// Set before Run.
	scheduler      *scheduler.Scheduler
	clock          Clock
	endpoints      EndpointPool
	subscribe      func() // asks for changes of the endpoint list
	log            *slog.Logger
	retriesAllowed func() bool // reports whether retries may be sent now; nil for always
	fleetBudget    FleetBudget // nil if the fleet has no budgets
	zoneRouter     ZoneRouter  // nil if requests may go to all zones

	// Safe for concurrent use.
	mailbox          *Mailbox[any]
	counters         Counters
	lastRequestID    atomic.Uint64
	firstAttempts    atomic.Uint64
	observer         atomic.Pointer[Observer]
	announceKeyedRun atomic.Pointer[func(scheduler.KeyedRun)] // see AnnounceKeyedRuns

	// Owned by Run.
	now         scheduler.Instant // the time of the current iteration
	requests    map[scheduler.RequestID]*openRequest
	timers      timers
	retryBudget *retrybudget.Budget // nil if only the scheduler limits retries
}

// NewCore returns a Core. SetEndpoints must be called before Run.
func NewCore(sched *scheduler.Scheduler, clock Clock, log *slog.Logger) *Core {
	return &Core{
		scheduler: sched, clock: clock, log: log, mailbox: NewMailbox[any](),
		requests: map[scheduler.RequestID]*openRequest{},
	}
}

// SetEndpoints sets the pool that attempts and probes go to, and the function that asks for changes of the endpoint list. It is
// called before Run.
func (c *Core) SetEndpoints(pool EndpointPool, subscribe func()) {
	c.endpoints, c.subscribe = pool, subscribe
}

// SetRetryPermission sets the function that reports whether retries and hedged attempts may be sent now. It is called before Run.
func (c *Core) SetRetryPermission(allowed func() bool) { c.retriesAllowed = allowed }

// SetObserver sets the observer of endpoints; nil removes it.
func (c *Core) SetObserver(observer Observer) {
	if observer == nil {
		c.observer.Store(nil)
		return
	}
	c.observer.Store(&observer)
}

// Run handles messages and timers until the context is cancelled. Requests that are open at that time get no answer.
func (c *Core) Run(ctx context.Context) {
	wakeTimer := time.NewTimer(time.Hour)
	defer wakeTimer.Stop()
	var checkUnanswered <-chan time.Time
	if c.zoneRouter != nil {
		ticker := time.NewTicker(failover.NoResponseAfter / 4)
		defer ticker.Stop()
		checkUnanswered = ticker.C
	}
	for {
		if len(c.timers) > 0 {
			wakeTimer.Reset(time.Until(c.clock.Time(c.timers[0].at)))
		}
		select {
		case <-ctx.Done():
			return
		case <-c.mailbox.Signal():
		case <-wakeTimer.C:
		case <-checkUnanswered:
		}
		c.runIteration() //nolint:contextcheck // an iteration does not block, and its logging needs no context
	}
}

// runIteration handles all messages in the mailbox and fires the timers that are due. All events of an iteration have the same time,
// from which the scheduler detects that this process was paused.
func (c *Core) runIteration() {
	c.now = c.clock.Now()
	for _, message := range c.mailbox.Take() {
		c.handleMessage(message)
	}
	c.fireTimers()
	if c.zoneRouter != nil {
		c.reportUnanswered()
	}
	c.counters.setAvoidedEndpoints(c.scheduler.CountAvoided())
}

// Submit accepts a request and returns its ID, its sequence number in this process. The client gets exactly one answer, unless
// ClientLeft is called before.
func (c *Core) Submit(request Request) scheduler.RequestID {
	id := scheduler.RequestID(c.lastRequestID.Add(1))
	c.counters.countSubmitted()
	c.mailbox.Post(submitRequest{id, request})
	return id
}

// ClientLeft notifies the core that the client of a request has left and gets no answer.
func (c *Core) ClientLeft(id scheduler.RequestID) { c.mailbox.Post(clientLeft{id}) }

// AttemptWaits notifies the core that an attempt has begun or ended its wait for a connection. Attempts wait when this process may
// open no further connections.
func (c *Core) AttemptWaits(id AttemptID, waits bool) { c.mailbox.Post(attemptWaits{id, waits}) }

// AttemptSent counts an attempt whose last byte was written.
func (c *Core) AttemptSent() { c.counters.CountAttemptSent() }

// AttemptStarted notifies the core that the job of an attempt has started at its endpoint.
func (c *Core) AttemptStarted(id AttemptID) { c.mailbox.Post(attemptStarted{id}) }

// AttemptProgressed notifies the core of the share of an attempt's job that is done, 0 to 1.
func (c *Core) AttemptProgressed(id AttemptID, share float64) {
	c.mailbox.Post(attemptProgressed{id, share})
}

// AttemptFinished notifies the core how an attempt ended. Only the first call for an attempt counts.
func (c *Core) AttemptFinished(id AttemptID, result AttemptResult) {
	c.mailbox.Post(attemptFinished{id, result})
}

// ProbeCompleted notifies the core, its observer and the zone router of the outcome of a probe. The report is nil if there is none.
func (c *Core) ProbeCompleted(id scheduler.WorkerID, outcome scheduler.Outcome, report *scheduler.Report) {
	if observer := c.observer.Load(); observer != nil {
		(*observer).ProbeCompleted(id, outcome, report != nil)
	}
	if c.zoneRouter != nil {
		c.zoneRouter.ProbeCompleted(id, outcome)
	}
	c.mailbox.Post(scheduler.ProbeCompleted{Worker: id, Outcome: outcome, Report: report})
}

// UpdateEndpoints passes the scheduler a change of the endpoint list. The endpoint pool must know the endpoints already.
func (c *Core) UpdateEndpoints(update scheduler.EndpointsUpdated) { c.mailbox.Post(update) }

// SetDetached detaches a worker on behalf of the operator, or reattaches it.
func (c *Core) SetDetached(id scheduler.WorkerID, detached bool) {
	c.mailbox.Post(setDetached{id, detached})
}

// KnowsWorker reports whether a worker was ever listed, or is detached. It waits for Run or the end of the context.
func (c *Core) KnowsWorker(ctx context.Context, id scheduler.WorkerID) (bool, error) {
	reply := make(chan bool, 1)
	c.mailbox.Post(knowsWorker{id, reply})
	return awaitReply(ctx, reply)
}

// LearnedState returns what the scheduler has learned about workers and classes. It waits for Run or the end of the context.
func (c *Core) LearnedState(ctx context.Context) (scheduler.LearnedState, error) {
	reply := make(chan scheduler.LearnedState, 1)
	c.mailbox.Post(learnedStateQuery{reply})
	return awaitReply(ctx, reply)
}

// KeyedRuns returns the idempotency keys that may have run in this process, within their windows. It waits for Run or the end of the context.
func (c *Core) KeyedRuns(ctx context.Context) ([]scheduler.KeyedRun, error) {
	reply := make(chan []scheduler.KeyedRun, 1)
	c.mailbox.Post(keyedRunsQuery{reply})
	return awaitReply(ctx, reply)
}

// AnnounceKeyedRuns sets the function that gets each further keyed run while two processes act as this dispatcher; nil for none. It must not
// block.
func (c *Core) AnnounceKeyedRuns(announce func(scheduler.KeyedRun)) {
	if announce == nil {
		c.announceKeyedRun.Store(nil)
		return
	}
	c.announceKeyedRun.Store(&announce)
}

// AdoptKeyedRuns passes the scheduler keyed runs of the other process that acts as this dispatcher.
func (c *Core) AdoptKeyedRuns(runs []scheduler.KeyedRun) {
	c.mailbox.Post(scheduler.KeyedRunsReceived{Runs: runs})
}

// awaitReply waits for the reply of an actor. If the context ends first, it returns the error of the context.
func awaitReply[T any](ctx context.Context, reply <-chan T) (T, error) {
	select {
	case value := <-reply:
		return value, nil
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// AdoptLearnedState passes the scheduler the learned state that the predecessor process handed over.
func (c *Core) AdoptLearnedState(learned scheduler.LearnedState) {
	c.mailbox.Post(scheduler.LearnedStateReceived{LearnedState: learned})
}

// adoptCachedState passes the scheduler learned state of an earlier process from the endpoint cache.
func (c *Core) adoptCachedState(learned scheduler.LearnedState) {
	c.mailbox.Post(scheduler.LearnedStateReceived{LearnedState: learned, FromCache: true})
}

// ApplySettings applies new settings to requests that are submitted from now on.
func (c *Core) ApplySettings(settings scheduler.Settings) {
	c.mailbox.Post(scheduler.SettingsChanged{Settings: settings})
}

// SetRetryRatio sets the retry budget, in retries per first attempt. A ratio below 0 removes the budget.
func (c *Core) SetRetryRatio(ratio float64) { c.mailbox.Post(setRetryRatio{ratio}) }

// SetProcessCount sets the number of processes that run as this dispatcher: two during a handover.
func (c *Core) SetProcessCount(processes int) {
	c.mailbox.Post(scheduler.ProcessCountChanged{Processes: processes})
}

// StartShutdown notifies the scheduler that this process is shutting down and must answer all requests by the deadline.
func (c *Core) StartShutdown(deadline time.Time) {
	c.mailbox.Post(scheduler.ShutdownStarted{Deadline: c.clock.At(deadline)})
}

// OpenRequests returns the number of requests without a final answer.
func (c *Core) OpenRequests() int { return c.counters.Metrics().OpenRequests }

// FirstAttempts returns the number of first attempts that were sent.
func (c *Core) FirstAttempts() uint64 { return c.firstAttempts.Load() }

// Counters returns the counters of the core, which the frontends also update.
func (c *Core) Counters() *Counters { return &c.counters }

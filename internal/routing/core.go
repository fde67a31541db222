package routing

import (
	"cmp"
	"container/heap"
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"brassdale/internal/decisions/failover"
	"brassdale/internal/decisions/retrybudget"
	"brassdale/scheduler"
)

// Verdict is the kind of a final answer.
type Verdict uint8

// The verdicts: the result of an endpoint, a promise that nothing ran, neither.
const (
	Served Verdict = iota
	Rejected
	Failed
)

// String names a verdict as the log does.
func (v Verdict) String() string {
	return [...]string{Served: "served", Rejected: "refused", Failed: "failed"}[v]
}

// overdueMargin is how long past its slack a request stays with the module before the core fails it. What
// tells the module of the deadline may itself be late on a busy machine.
const overdueMargin = 20 * time.Millisecond

// Core is the module's actor. It alone calls the module, carries out its actions in their order and
// keeps its timers, and it owns the table of requests and calls.
type Core struct {
	scheduler     *scheduler.Scheduler
	clock         Clock
	endpoints     EndpointPool
	subscribe     func()
	log           *slog.Logger
	mailbox       *Mailbox[any]
	lastRequestID atomic.Uint64
	counters      Counters
	observer      atomic.Pointer[Observer]
	firstAttempts atomic.Uint64 // first calls

	// Owned by Run.
	now            scheduler.Clock
	requests       map[scheduler.RequestID]*openRequest
	timers         timers
	retryBudget    *retrybudget.Budget // of further calls; nil for no bound but the module's
	retriesAllowed func() bool         // whether anything may be sent a second time now; nil for always
	fleetBudget    FleetBudget         // nil where the fleet has no budgets
	zoneRouter     ZoneRouter          // nil where nobody says to which zones jobs may go
}

type openRequest struct {
	Request
	expiresAt   scheduler.Clock
	arrivedAt   scheduler.Clock // for the guide
	answered    bool            // final answer given, or the client left: nothing is owed
	timedOut    bool
	attemptSent bool // a call of it has left, or may have
	attempts    []attempt
	inFlight    int // calls without an outcome
}

type attempt struct {
	endpoint           scheduler.WorkerID
	inFlight           bool
	outcome            scheduler.Outcome // once it is not out
	sentAt, startedAt  scheduler.Clock   // began is 0 until its job has
	unansweredReported bool              // the guide has been told that there is no sign of it
}

// SetObserver has a witness hear of endpoints from now on; nil for nobody.
func (c *Core) SetObserver(w Observer) {
	if w == nil {
		c.observer.Store(nil)
		return
	}
	c.observer.Store(&w)
}

// The messages of the module's actor, beside the module's own events Listed and Probed.
type (
	submitRequest struct {
		id      scheduler.RequestID
		request Request
	}
	clientLeft        struct{ id scheduler.RequestID }
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
		reply chan<- bool
	}
	learnedStateQuery struct{ reply chan<- scheduler.LearnedState }
	setRetryRatio     struct{ ratio float64 }
)

// NewCore makes the actor. Attach must be called before Run.
func NewCore(module *scheduler.Scheduler, clock Clock, log *slog.Logger) *Core {
	return &Core{scheduler: module, clock: clock, log: log, mailbox: NewMailbox[any](),
		requests: map[scheduler.RequestID]*openRequest{}}
}

// SetEndpoints names those who carry actions out. subscribe asks for the destination set's changes; it must
// not block.
func (c *Core) SetEndpoints(e EndpointPool, subscribe func()) {
	c.endpoints, c.subscribe = e, subscribe
}

// Submit hands in a request and gives it an id of this dispatcher's own counting. Its client gets
// exactly one answer, unless it leaves before.
func (c *Core) Submit(in Request) scheduler.RequestID {
	id := scheduler.RequestID(c.lastRequestID.Add(1))
	c.counters.countSubmitted()
	c.mailbox.Post(submitRequest{id, in})
	return id
}

// Leave tells that a request's client has gone.
func (c *Core) ClientLeft(id scheduler.RequestID) { c.mailbox.Post(clientLeft{id}) }

// StartShutdown tells that this process ends: by then all requests must have their answers.
func (c *Core) StartShutdown(at time.Time) {
	c.mailbox.Post(scheduler.ShutdownStarted{Deadline: c.clock.At(at)})
}

// UpdateEndpoints brings news of the destination set.
func (c *Core) UpdateEndpoints(l scheduler.EndpointsUpdated) { c.mailbox.Post(l) }

// Began tells that a call's job has started.
func (c *Core) AttemptStarted(id AttemptID) { c.mailbox.Post(attemptStarted{id}) }

// Progressed tells how far a call's job is.
func (c *Core) AttemptProgressed(id AttemptID, share float64) {
	c.mailbox.Post(attemptProgressed{id, share})
}

// Finished ends a call.
func (c *Core) AttemptFinished(id AttemptID, end AttemptResult) {
	c.mailbox.Post(attemptFinished{id, end})
}

// Probed answers a probe.
func (c *Core) ProbeCompleted(id scheduler.WorkerID, o scheduler.Outcome, r *scheduler.Report) {
	if w := c.observer.Load(); w != nil {
		(*w).ProbeCompleted(id, o, r != nil)
	}
	if c.zoneRouter != nil {
		c.zoneRouter.ProbeCompleted(id, o)
	}
	c.mailbox.Post(scheduler.ProbeCompleted{Worker: id, Outcome: o, Report: r})
}

// Dispatched tells that a call was written to its last byte.
func (c *Core) AttemptSent() { c.counters.CountAttemptSent() }

// OpenRequests is how many requests wait for their answers.
func (c *Core) OpenRequests() int { return c.counters.Metrics().OpenRequests }

// Ledger is the account that the core keeps.
func (c *Core) Counters() *Counters { return &c.counters }

// SetDetached takes a worker out by hand, or puts it back. From then on the module knows.
func (c *Core) SetDetached(id scheduler.WorkerID, out bool) { c.mailbox.Post(setDetached{id, out}) }

// KnowsWorker tells whether a worker was ever listed, or is out by hand.
func (c *Core) KnowsWorker(ctx context.Context, id scheduler.WorkerID) (bool, error) {
	answer := make(chan bool, 1)
	c.mailbox.Post(knowsWorker{id, answer})
	return awaitReply(ctx, answer)
}

// LearnedState gives what the module has learned.
func (c *Core) LearnedState(ctx context.Context) (scheduler.LearnedState, error) {
	answer := make(chan scheduler.LearnedState, 1)
	c.mailbox.Post(learnedStateQuery{answer})
	return awaitReply(ctx, answer)
}

// AdoptLearnedState has the module begin with what another process has learned.
func (c *Core) AdoptLearnedState(e scheduler.LearnedState) {
	c.mailbox.Post(scheduler.HandoverCompleted{LearnedState: e})
}

// awaitReply waits for an actor's answer.
func awaitReply[T any](ctx context.Context, answer <-chan T) (T, error) {
	select {
	case x := <-answer:
		return x, nil
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// ApplySettings puts new settings in force for the requests that come from now on.
func (c *Core) ApplySettings(s scheduler.Settings) {
	c.mailbox.Post(scheduler.SettingsChanged{Settings: s})
}

// SetRetryPermission names who says whether anything may be sent a second time. It is set before Run and must not block.
func (c *Core) SetRetryPermission(may func() bool) { c.retriesAllowed = may }

// SetRetryRatio puts a budget in force for requests' further calls: so many for each first one; below 0 for none.
func (c *Core) SetRetryRatio(share float64) { c.mailbox.Post(setRetryRatio{share}) }

// SetProcessCount tells how many processes act as this dispatcher.
func (c *Core) SetProcessCount(processes int) {
	c.mailbox.Post(scheduler.ProcessCountChanged{Processes: processes})
}

// Run is the actor's life.
func (c *Core) Run(ctx context.Context) {
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	var look <-chan time.Time
	if c.zoneRouter != nil {
		ticker := time.NewTicker(failover.NoResponseAfter / 4)
		defer ticker.Stop()
		look = ticker.C
	}
	for {
		if len(c.timers) > 0 {
			alarm.Reset(time.Until(c.clock.Time(c.timers[0].at)))
		}
		select {
		case <-ctx.Done():
			return
		case <-c.mailbox.Signal():
		case <-alarm.C:
		case <-look:
		}
		// One reading of the clock for all that has come: the module takes what is found together after
		// a standstill of this process as one turn.
		c.now = c.clock.Now()
		for _, m := range c.mailbox.Take() {
			c.handleMessage(m)
		}
		for len(c.timers) > 0 && c.timers[0].at <= c.now {
			t := heap.Pop(&c.timers).(timer)
			if t.overdueRequest == 0 {
				c.handleEvent(scheduler.TimerFired{Token: t.token})
			} else {
				c.failOverdue(t.overdueRequest)
			}
		}
		if c.zoneRouter != nil {
			c.reportUnanswered()
		}
		c.counters.setAvoidedEndpoints(c.scheduler.CountAvoided())
	}
}

func (c *Core) handleMessage(m any) {
	switch m := m.(type) {
	case submitRequest:
		r := &openRequest{Request: m.request, expiresAt: c.clock.At(m.request.Deadline)}
		c.requests[m.id] = r
		heap.Push(&c.timers, timer{at: r.expiresAt + r.Limits.AnswerSlack + overdueMargin, overdueRequest: m.id})
		within, ok := c.routeRequest(m.id, r)
		if !ok {
			return
		}
		c.handleEvent(scheduler.RequestArrived{ID: m.id, Class: r.Class, Slots: r.Slots, EstimatedWork: r.EstimatedWork, AffinityKey: r.AffinityKey, Deadline: r.expiresAt, AllowedZones: within})
	case clientLeft:
		if r := c.requests[m.id]; r != nil && !r.answered {
			r.answered = true
			c.counters.countClientLeft()
			c.handleEvent(scheduler.ClientLeft{ID: m.id})
			c.removeIfClosed(m.id, r)
		}
	case attemptStarted:
		if r, a := c.findAttempt(m.id); a != nil {
			if a.startedAt = c.now; c.zoneRouter != nil {
				c.zoneRouter.AttemptStarted(c.now, a.endpoint)
			}
			if !r.answered {
				r.Client.AttemptStarted(m.id.Number)
			}
			c.handleEvent(scheduler.AttemptStarted{ID: m.id.Request, Attempt: m.id.Number, Worker: a.endpoint})
		}
	case attemptProgressed:
		if r, a := c.findAttempt(m.id); a != nil {
			if !r.answered {
				r.Client.AttemptProgressed(m.id.Number, m.share)
			}
			c.handleEvent(scheduler.AttemptProgressed{ID: m.id.Request, Attempt: m.id.Number, Worker: a.endpoint, Share: m.share})
		}
	case attemptFinished:
		c.finishAttempt(m.id, m.result)
	case setDetached:
		ev, since := scheduler.Event(scheduler.WorkerReattached{Worker: m.id}), time.Time{}
		if m.detached {
			ev, since = scheduler.WorkerDetached{Worker: m.id}, time.Now()
		}
		c.endpoints.SetDetached(m.id, since) // first, so that what the module sends from now on finds it done
		c.handleEvent(ev)
	case setRetryRatio:
		if m.ratio < 0 {
			c.retryBudget = nil
			return
		}
		if c.retryBudget == nil {
			c.retryBudget = retrybudget.New(m.ratio)
		}
		c.retryBudget.SetRatio(m.ratio)
	case learnedStateQuery:
		m.reply <- c.scheduler.LearnedState() // has room
	case knowsWorker:
		m.reply <- c.scheduler.KnowsWorker(m.id) // has room
	case scheduler.Event:
		if l, ok := m.(scheduler.EndpointsUpdated); ok && c.zoneRouter != nil {
			c.zoneRouter.EndpointsUpdated(c.now, l)
		}
		c.handleEvent(m)
	}
}

// findAttempt finds a findAttempt that has no outcome yet.
func (c *Core) findAttempt(id AttemptID) (*openRequest, *attempt) {
	r := c.requests[id.Request]
	if r == nil || id.Number < 0 || id.Number >= len(r.attempts) || !r.attempts[id.Number].inFlight {
		return nil, nil
	}
	return r, &r.attempts[id.Number]
}

// finishAttempt ends a call, once: a second outcome of the same call finds it closed. The first that was served
// is the client's answer.
func (c *Core) finishAttempt(id AttemptID, end AttemptResult) {
	r, a := c.findAttempt(id)
	if a == nil {
		return
	}
	a.inFlight, a.outcome = false, end.Outcome
	r.inFlight--
	r.timedOut = r.timedOut || end.Outcome == scheduler.TimedOut
	r.attemptSent = r.attemptSent || end.Outcome != scheduler.NeverSent && end.Outcome != scheduler.NoConnect
	c.reportAttemptEnded(r, a, end.Outcome)
	if end.Outcome == scheduler.Served {
		if w := c.observer.Load(); w != nil {
			(*w).JobServed(a.endpoint, r.Class, c.now-cmp.Or(a.startedAt, a.sentAt))
		}
		c.answerRequest(r, Answer{Verdict: Served, Result: end.Result})
	}
	c.handleEvent(scheduler.AttemptFinished{ID: id.Request, Attempt: id.Number, Worker: a.endpoint, Outcome: end.Outcome,
		Final: r.answered, Report: end.Report, ConnectionIdle: end.ConnectionIdle})
	c.removeIfClosed(id.Request, r)
}

// failOverdue guards the promise to answer in time against a module that has not: it can only find a
// request here that would else stay open for ever.
func (c *Core) failOverdue(id scheduler.RequestID) {
	if r := c.requests[id]; r != nil && !r.answered {
		c.log.Error("request overdue: failed by the core", "request", id, "id", r.LogName)
		c.answerRequest(r, Answer{Verdict: Failed})
		c.handleEvent(scheduler.ClientLeft{ID: id})
		c.removeIfClosed(id, r)
	}
}

// answerRequest gives the final answerRequest; a second one is dropped.
func (c *Core) answerRequest(r *openRequest, a Answer) {
	if r.answered {
		return
	}
	a.DeadlinePassed = a.Verdict != Served && (r.timedOut || c.now >= r.expiresAt-r.Limits.AnswerSlack)
	r.answered = true
	c.counters.countAnswered(r.ClassName, a.Verdict, r.attemptSent || r.inFlight > 0)
	c.logAnswer(r, a)
	r.Client.Answered(a)
}

// logAnswer tells, at debug level, how a request was answered and how each of its attempts stood then.
func (c *Core) logAnswer(r *openRequest, a Answer) {
	if !c.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	var attempts []string
	for i := range r.attempts {
		attempts = append(attempts, fmt.Sprintf("%s %s", r.attempts[i].endpoint, r.attempts[i].stateName()))
	}
	c.log.Debug("answered", "id", r.LogName, "verdict", a.Verdict.String(), "expired", a.DeadlinePassed, "attempts", attempts)
}

// stateName names how an attempt ended, or that it has not.
func (a *attempt) stateName() string {
	if a.inFlight {
		return "open"
	}
	return a.outcome.String()
}

func (c *Core) removeIfClosed(id scheduler.RequestID, r *openRequest) {
	if r.answered && r.inFlight == 0 {
		delete(c.requests, id)
	}
}

// handleEvent tells the module an event and carries its actions out. Nothing in here feeds again: what an action
// brings about comes by the mailbox.
func (c *Core) handleEvent(ev scheduler.Event) {
	for _, a := range c.scheduler.Handle(c.now, ev) {
		switch a := a.(type) {
		case scheduler.Send:
			c.sendAttempt(a)
		case scheduler.Cancel:
			if r, call := c.findAttempt(AttemptID{a.ID, a.Attempt}); r != nil {
				c.endpoints.Cancel(call.endpoint, AttemptID{a.ID, a.Attempt})
			}
		case scheduler.Reject:
			c.closeRequest(a.ID, Answer{Verdict: Rejected, RetryAfter: a.RetryAfter})
		case scheduler.Fail:
			c.closeRequest(a.ID, Answer{Verdict: Failed})
		case scheduler.CloseIdleConnections:
			c.endpoints.CloseIdle(a.Worker, a.MinIdle)
		case scheduler.Probe:
			if c.fleetBudget != nil && !c.fleetBudget.AllowProbe() {
				c.ProbeCompleted(a.Worker, scheduler.NeverSent, nil)
				continue
			}
			c.endpoints.Probe(a.Worker)
		case scheduler.Subscribe:
			c.subscribe()
		case scheduler.SetTimer:
			heap.Push(&c.timers, timer{at: c.now + a.After, token: a.Token})
		case scheduler.Log:
			c.log.Info(a.Text)
		}
	}
}

func (c *Core) closeRequest(id scheduler.RequestID, a Answer) {
	if r := c.requests[id]; r != nil {
		c.answerRequest(r, a)
		c.removeIfClosed(id, r)
	}
}

// sendAttempt starts a call, unless the request is over, its time has come or it has had all its calls.
func (c *Core) sendAttempt(a scheduler.Send) {
	id := AttemptID{a.ID, 0}
	r := c.requests[a.ID]
	if r == nil {
		c.log.Error("module sent an unknown request", "request", a.ID)
		return
	}
	id.Number = len(r.attempts)
	r.attempts = append(r.attempts, attempt{endpoint: a.Worker, inFlight: true, sentAt: c.now})
	r.inFlight++
	out := Attempt{ID: id, Endpoint: a.Worker, Deadline: r.Deadline, Job: r.Job, ClientGone: r.ClientGone}
	if a.SendBy > 0 {
		out.SendBy = c.clock.Time(a.SendBy)
	}
	if r.answered || c.now >= r.expiresAt || out.MustNotSend(c.clock.Time(c.now)) || r.Limits.MaxAttempts > 0 && id.Number >= r.Limits.MaxAttempts {
		c.AttemptFinished(id, AttemptResult{Outcome: scheduler.NeverSent})
		return
	}
	if id.Number > 0 && c.retriesAllowed != nil && !c.retriesAllowed() {
		c.counters.countFleetRetryDenied()
		c.AttemptFinished(id, AttemptResult{Outcome: scheduler.NeverSent})
		return
	}
	if id.Number == 0 {
		c.firstAttempts.Add(1)
	} else if c.fleetBudget != nil && !c.fleetBudget.AllowRetry() {
		c.counters.countFleetRetryDenied()
		c.AttemptFinished(id, AttemptResult{Outcome: scheduler.NeverSent})
		return
	}
	if c.retryBudget != nil {
		if id.Number == 0 {
			c.retryBudget.CountFirstAttempt(c.now, r.ClassName, r.Account)
		} else if !c.retryBudget.AllowRetry(c.now, r.ClassName, r.Account) {
			c.counters.setRetriesDenied(c.retryBudget.Denied())
			c.AttemptFinished(id, AttemptResult{Outcome: scheduler.NeverSent})
			return
		}
	}
	c.endpoints.Send(out)
}

// timer is a Wake of the module, or the guard of a request's deadline.
type timer struct {
	at             scheduler.Clock
	token          uint64
	overdueRequest scheduler.RequestID // 0 for a Wake
}

type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}

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

// guardAfter is how long past its slack a request stays with the module before the core fails it. What
// tells the module of the deadline may itself be late on a busy machine.
const guardAfter = 20 * time.Millisecond

// Core is the module's actor. It alone calls the module, carries out its actions in their order and
// keeps its timers, and it owns the table of requests and calls.
type Core struct {
	module    *scheduler.Scheduler
	clock     Clock
	endpoints EndpointPool
	subscribe func()
	log       *slog.Logger
	mailbox   *Mailbox[any]
	lastID    atomic.Uint64
	ledger    Counters
	witness   atomic.Pointer[Observer]
	firsts    atomic.Uint64 // first calls

	// Owned by Run.
	now      scheduler.Clock
	requests map[scheduler.RequestID]*request
	timers   timers
	budget   *retrybudget.Budget // of further calls; nil for no bound but the module's
	repeats  func() bool         // whether anything may be sent a second time now; nil for always
	spend    FleetBudget         // nil where the fleet has no budgets
	guide    ZoneRouter          // nil where nobody says to which zones jobs may go
}

type request struct {
	Request
	expires  scheduler.Clock
	came     scheduler.Clock // for the guide
	answered bool            // final answer given, or the client left: nothing is owed
	timedOut bool
	sent     bool // a call of it has left, or may have
	calls    []call
	out      int // calls without an outcome
}

type call struct {
	endpoint    scheduler.WorkerID
	out         bool
	outcome     scheduler.Outcome // once it is not out
	sent, began scheduler.Clock   // began is 0 until its job has
	silent      bool              // the guide has been told that there is no sign of it
}

// SetObserver has a witness hear of endpoints from now on; nil for nobody.
func (c *Core) SetObserver(w Observer) {
	if w == nil {
		c.witness.Store(nil)
		return
	}
	c.witness.Store(&w)
}

// The messages of the module's actor, beside the module's own events Listed and Probed.
type (
	arrived struct {
		id scheduler.RequestID
		in Request
	}
	left       struct{ id scheduler.RequestID }
	began      struct{ id AttemptID }
	progressed struct {
		id    AttemptID
		share float64
	}
	finished struct {
		id  AttemptID
		end AttemptResult
	}
	byHand struct {
		id  scheduler.WorkerID
		out bool
	}
	knows struct {
		id     scheduler.WorkerID
		answer chan<- bool
	}
	learned struct{ answer chan<- scheduler.LearnedState }
	limited struct{ share float64 }
)

// NewCore makes the actor. Attach must be called before Run.
func NewCore(module *scheduler.Scheduler, clock Clock, log *slog.Logger) *Core {
	return &Core{module: module, clock: clock, log: log, mailbox: NewMailbox[any](),
		requests: map[scheduler.RequestID]*request{}}
}

// SetEndpoints names those who carry actions out. subscribe asks for the destination set's changes; it must
// not block.
func (c *Core) SetEndpoints(e EndpointPool, subscribe func()) {
	c.endpoints, c.subscribe = e, subscribe
}

// Submit hands in a request and gives it an id of this dispatcher's own counting. Its client gets
// exactly one answer, unless it leaves before.
func (c *Core) Submit(in Request) scheduler.RequestID {
	id := scheduler.RequestID(c.lastID.Add(1))
	c.ledger.taken()
	c.mailbox.Post(arrived{id, in})
	return id
}

// Leave tells that a request's client has gone.
func (c *Core) ClientLeft(id scheduler.RequestID) { c.mailbox.Post(left{id}) }

// StartShutdown tells that this process ends: by then all requests must have their answers.
func (c *Core) StartShutdown(at time.Time) {
	c.mailbox.Post(scheduler.ShutdownStarted{Deadline: c.clock.At(at)})
}

// UpdateEndpoints brings news of the destination set.
func (c *Core) UpdateEndpoints(l scheduler.EndpointsUpdated) { c.mailbox.Post(l) }

// Began tells that a call's job has started.
func (c *Core) AttemptStarted(id AttemptID) { c.mailbox.Post(began{id}) }

// Progressed tells how far a call's job is.
func (c *Core) AttemptProgressed(id AttemptID, share float64) { c.mailbox.Post(progressed{id, share}) }

// Finished ends a call.
func (c *Core) AttemptFinished(id AttemptID, end AttemptResult) { c.mailbox.Post(finished{id, end}) }

// Probed answers a probe.
func (c *Core) ProbeCompleted(id scheduler.WorkerID, o scheduler.Outcome, r *scheduler.Report) {
	if w := c.witness.Load(); w != nil {
		(*w).ProbeCompleted(id, o, r != nil)
	}
	if c.guide != nil {
		c.guide.ProbeCompleted(id, o)
	}
	c.mailbox.Post(scheduler.ProbeCompleted{Worker: id, Outcome: o, Report: r})
}

// Dispatched tells that a call was written to its last byte.
func (c *Core) AttemptSent() { c.ledger.CountAttemptSent() }

// OpenRequests is how many requests wait for their answers.
func (c *Core) OpenRequests() int { return c.ledger.Metrics().OpenRequests }

// Ledger is the account that the core keeps.
func (c *Core) Counters() *Counters { return &c.ledger }

// SetDetached takes a worker out by hand, or puts it back. From then on the module knows.
func (c *Core) SetDetached(id scheduler.WorkerID, out bool) { c.mailbox.Post(byHand{id, out}) }

// KnowsWorker tells whether a worker was ever listed, or is out by hand.
func (c *Core) KnowsWorker(ctx context.Context, id scheduler.WorkerID) (bool, error) {
	answer := make(chan bool, 1)
	c.mailbox.Post(knows{id, answer})
	return await(ctx, answer)
}

// LearnedState gives what the module has learned.
func (c *Core) LearnedState(ctx context.Context) (scheduler.LearnedState, error) {
	answer := make(chan scheduler.LearnedState, 1)
	c.mailbox.Post(learned{answer})
	return await(ctx, answer)
}

// AdoptLearnedState has the module begin with what another process has learned.
func (c *Core) AdoptLearnedState(e scheduler.LearnedState) {
	c.mailbox.Post(scheduler.HandoverCompleted{LearnedState: e})
}

// await waits for an actor's answer.
func await[T any](ctx context.Context, answer <-chan T) (T, error) {
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
func (c *Core) SetRetryPermission(may func() bool) { c.repeats = may }

// SetRetryRatio puts a budget in force for requests' further calls: so many for each first one; below 0 for none.
func (c *Core) SetRetryRatio(share float64) { c.mailbox.Post(limited{share}) }

// SetProcessCount tells how many processes act as this dispatcher.
func (c *Core) SetProcessCount(processes int) {
	c.mailbox.Post(scheduler.ProcessCountChanged{Processes: processes})
}

// Run is the actor's life.
func (c *Core) Run(ctx context.Context) {
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	var look <-chan time.Time
	if c.guide != nil {
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
			c.take(m)
		}
		for len(c.timers) > 0 && c.timers[0].at <= c.now {
			t := heap.Pop(&c.timers).(timer)
			if t.guard == 0 {
				c.feed(scheduler.TimerFired{Token: t.token})
			} else {
				c.overdue(t.guard)
			}
		}
		if c.guide != nil {
			c.listen()
		}
		c.ledger.avoids(c.module.CountAvoided())
	}
}

func (c *Core) take(m any) {
	switch m := m.(type) {
	case arrived:
		r := &request{Request: m.in, expires: c.clock.At(m.in.Deadline)}
		c.requests[m.id] = r
		heap.Push(&c.timers, timer{at: r.expires + r.Limits.AnswerSlack + guardAfter, guard: m.id})
		within, ok := c.bound(m.id, r)
		if !ok {
			return
		}
		c.feed(scheduler.RequestArrived{ID: m.id, Class: r.Class, Slots: r.Slots, EstimatedWork: r.EstimatedWork, AffinityKey: r.AffinityKey, Deadline: r.expires, AllowedZones: within})
	case left:
		if r := c.requests[m.id]; r != nil && !r.answered {
			r.answered = true
			c.ledger.left()
			c.feed(scheduler.ClientLeft{ID: m.id})
			c.forget(m.id, r)
		}
	case began:
		if r, a := c.call(m.id); a != nil {
			if a.began = c.now; c.guide != nil {
				c.guide.AttemptStarted(c.now, a.endpoint)
			}
			if !r.answered {
				r.Client.AttemptStarted(m.id.Number)
			}
			c.feed(scheduler.AttemptStarted{ID: m.id.Request, Attempt: m.id.Number, Worker: a.endpoint})
		}
	case progressed:
		if r, a := c.call(m.id); a != nil {
			if !r.answered {
				r.Client.AttemptProgressed(m.id.Number, m.share)
			}
			c.feed(scheduler.AttemptProgressed{ID: m.id.Request, Attempt: m.id.Number, Worker: a.endpoint, Share: m.share})
		}
	case finished:
		c.finish(m.id, m.end)
	case byHand:
		ev, since := scheduler.Event(scheduler.WorkerReattached{Worker: m.id}), time.Time{}
		if m.out {
			ev, since = scheduler.WorkerDetached{Worker: m.id}, time.Now()
		}
		c.endpoints.SetDetached(m.id, since) // first, so that what the module sends from now on finds it done
		c.feed(ev)
	case limited:
		if m.share < 0 {
			c.budget = nil
			return
		}
		if c.budget == nil {
			c.budget = retrybudget.New(m.share)
		}
		c.budget.SetRatio(m.share)
	case learned:
		m.answer <- c.module.LearnedState() // has room
	case knows:
		m.answer <- c.module.KnowsWorker(m.id) // has room
	case scheduler.Event:
		if l, ok := m.(scheduler.EndpointsUpdated); ok && c.guide != nil {
			c.guide.EndpointsUpdated(c.now, l)
		}
		c.feed(m)
	}
}

// call finds a call that has no outcome yet.
func (c *Core) call(id AttemptID) (*request, *call) {
	r := c.requests[id.Request]
	if r == nil || id.Number < 0 || id.Number >= len(r.calls) || !r.calls[id.Number].out {
		return nil, nil
	}
	return r, &r.calls[id.Number]
}

// finish ends a call, once: a second outcome of the same call finds it closed. The first that was served
// is the client's answer.
func (c *Core) finish(id AttemptID, end AttemptResult) {
	r, a := c.call(id)
	if a == nil {
		return
	}
	a.out, a.outcome = false, end.Outcome
	r.out--
	r.timedOut = r.timedOut || end.Outcome == scheduler.TimedOut
	r.sent = r.sent || end.Outcome != scheduler.NeverSent && end.Outcome != scheduler.NoConnect
	c.told(r, a, end.Outcome)
	if end.Outcome == scheduler.Served {
		if w := c.witness.Load(); w != nil {
			(*w).JobServed(a.endpoint, r.Class, c.now-cmp.Or(a.began, a.sent))
		}
		c.answer(r, Answer{Verdict: Served, Result: end.Result})
	}
	c.feed(scheduler.AttemptFinished{ID: id.Request, Attempt: id.Number, Worker: a.endpoint, Outcome: end.Outcome,
		Final: r.answered, Report: end.Report, ConnectionIdle: end.ConnectionIdle})
	c.forget(id.Request, r)
}

// overdue guards the promise to answer in time against a module that has not: it can only find a
// request here that would else stay open for ever.
func (c *Core) overdue(id scheduler.RequestID) {
	if r := c.requests[id]; r != nil && !r.answered {
		c.log.Error("request overdue: failed by the core", "request", id, "id", r.LogName)
		c.answer(r, Answer{Verdict: Failed})
		c.feed(scheduler.ClientLeft{ID: id})
		c.forget(id, r)
	}
}

// answer gives the final answer; a second one is dropped.
func (c *Core) answer(r *request, a Answer) {
	if r.answered {
		return
	}
	a.DeadlinePassed = a.Verdict != Served && (r.timedOut || c.now >= r.expires-r.Limits.AnswerSlack)
	r.answered = true
	c.ledger.answered(r.ClassName, a.Verdict, r.sent || r.out > 0)
	c.logAnswer(r, a)
	r.Client.Answered(a)
}

// logAnswer tells, at debug level, how a request was answered and how each of its attempts stood then.
func (c *Core) logAnswer(r *request, a Answer) {
	if !c.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	var attempts []string
	for i := range r.calls {
		attempts = append(attempts, fmt.Sprintf("%s %s", r.calls[i].endpoint, r.calls[i].state()))
	}
	c.log.Debug("answered", "id", r.LogName, "verdict", a.Verdict.String(), "expired", a.DeadlinePassed, "attempts", attempts)
}

// state names how an attempt ended, or that it has not.
func (a *call) state() string {
	if a.out {
		return "open"
	}
	return a.outcome.String()
}

func (c *Core) forget(id scheduler.RequestID, r *request) {
	if r.answered && r.out == 0 {
		delete(c.requests, id)
	}
}

// feed tells the module an event and carries its actions out. Nothing in here feeds again: what an action
// brings about comes by the mailbox.
func (c *Core) feed(ev scheduler.Event) {
	for _, a := range c.module.Handle(c.now, ev) {
		switch a := a.(type) {
		case scheduler.Send:
			c.send(a)
		case scheduler.Cancel:
			if r, call := c.call(AttemptID{a.ID, a.Attempt}); r != nil {
				c.endpoints.Cancel(call.endpoint, AttemptID{a.ID, a.Attempt})
			}
		case scheduler.Reject:
			c.final(a.ID, Answer{Verdict: Rejected, RetryAfter: a.RetryAfter})
		case scheduler.Fail:
			c.final(a.ID, Answer{Verdict: Failed})
		case scheduler.CloseIdleConnections:
			c.endpoints.CloseIdle(a.Worker, a.MinIdle)
		case scheduler.Probe:
			if c.spend != nil && !c.spend.AllowProbe() {
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

func (c *Core) final(id scheduler.RequestID, a Answer) {
	if r := c.requests[id]; r != nil {
		c.answer(r, a)
		c.forget(id, r)
	}
}

// send starts a call, unless the request is over, its time has come or it has had all its calls.
func (c *Core) send(a scheduler.Send) {
	id := AttemptID{a.ID, 0}
	r := c.requests[a.ID]
	if r == nil {
		c.log.Error("module sent an unknown request", "request", a.ID)
		return
	}
	id.Number = len(r.calls)
	r.calls = append(r.calls, call{endpoint: a.Worker, out: true, sent: c.now})
	r.out++
	out := Attempt{ID: id, Endpoint: a.Worker, Deadline: r.Deadline, Job: r.Job, ClientGone: r.ClientGone}
	if a.SendBy > 0 {
		out.SendBy = c.clock.Time(a.SendBy)
	}
	if r.answered || c.now >= r.expires || out.MustNotSend(c.clock.Time(c.now)) || r.Limits.MaxAttempts > 0 && id.Number >= r.Limits.MaxAttempts {
		c.AttemptFinished(id, AttemptResult{Outcome: scheduler.NeverSent})
		return
	}
	if id.Number > 0 && c.repeats != nil && !c.repeats() {
		c.ledger.repeatDenied()
		c.AttemptFinished(id, AttemptResult{Outcome: scheduler.NeverSent})
		return
	}
	if id.Number == 0 {
		c.firsts.Add(1)
	} else if c.spend != nil && !c.spend.AllowRetry() {
		c.ledger.repeatDenied()
		c.AttemptFinished(id, AttemptResult{Outcome: scheduler.NeverSent})
		return
	}
	if c.budget != nil {
		if id.Number == 0 {
			c.budget.CountFirstAttempt(c.now, r.ClassName, r.Account)
		} else if !c.budget.AllowRetry(c.now, r.ClassName, r.Account) {
			c.ledger.denied(c.budget.Denied())
			c.AttemptFinished(id, AttemptResult{Outcome: scheduler.NeverSent})
			return
		}
	}
	c.endpoints.Send(out)
}

// timer is a Wake of the module, or the guard of a request's deadline.
type timer struct {
	at    scheduler.Clock
	token uint64
	guard scheduler.RequestID // 0 for a Wake
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

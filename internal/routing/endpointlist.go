package routing

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"brassdale/internal/decisions/cachetrust"
	"brassdale/internal/decisions/endpointstate"
	"brassdale/internal/decisions/incarnations"
	"brassdale/internal/decisions/polling"
	"brassdale/scheduler"
)

// EndpointList is the actor that owns the list of endpoints. The goroutine of Run polls discovery, decides which parts of each
// response to accept, and passes changes to the endpoint pool first and then to the Core, so that the scheduler never sends to an
// endpoint that the pool does not know.
//
// NewEndpointList, StartFromCache, SetStore, SetPollRules and StartedAt are called before Run. Subscribe, MoveDiscovery, Source,
// SetSource and FirstCallDone may be called from any goroutine and do not block; Snapshot waits for Run. The endpoint pool and the
// store must not block. Each call to discovery runs in its own goroutine, until it ends or the context of Run is cancelled.
type EndpointList struct {
	// Set before Run.
	core      *Core
	pool      EndpointPool
	log       *slog.Logger
	store     EndpointStore        // nil if there is none
	pollRules func() polling.Rules // of the current settings

	// Safe for concurrent use.
	mailbox       *Mailbox[any]
	source        atomic.Pointer[ListSource]
	firstCallDone chan struct{} // closed when the first call has succeeded or failed

	// Owned by Run.
	calls          *listCalls
	stateTable     endpointstate.Table
	known          map[scheduler.WorkerID]Endpoint // the list, with states as in stateTable and start times as stamped by discovery
	incarnations   incarnations.Tracker            // start times on the scheduler's clock
	cachedStart    *CachedStart                    // nil unless this process started with a cached list that is still in use
	listReceived   bool                            // whether a list of discovery was accepted
	listAcceptedAt time.Time                       // when the last list was accepted; the start of this process before the first
	includesUntil  time.Time                       // the list includes all changes that discovery had by this time
	recheckAt      time.Time                       // when to request the full list, because a part of a response was not accepted; zero for never
	failures       callFailures                    // since the last call that succeeded
	failuresLogAt  time.Time                       // when consecutive failures were last logged
	lagLoggedAt    time.Time                       // when a response with a lower revision was last logged as a warning
}

// startLookback bounds the age of the list that this process starts with. The previous process has just ended or was killed, so the
// list is assumed to include all changes made until startLookback before the start.
const startLookback = 2 * time.Second

// The messages in the mailbox of EndpointList, in addition to callEnded and endpointSignal.
type (
	subscribe       struct{}
	changeDiscovery struct{ to Discovery }
	snapshotQuery   struct{ reply chan<- ListUpdate } // buffered
)

// NewEndpointList returns an EndpointList that starts with a known list, which it passes on. Discovery is not called before Run.
func NewEndpointList(core *Core, pool EndpointPool, discovery Discovery, known ListUpdate, log *slog.Logger) *EndpointList {
	now := time.Now()
	list := &EndpointList{
		core: core, pool: pool, log: log, mailbox: NewMailbox[any](), firstCallDone: make(chan struct{}),
		pollRules: func() polling.Rules { return polling.Rules{Dispatchers: 1} },
		known:     map[scheduler.WorkerID]Endpoint{}, listAcceptedAt: now, includesUntil: now.Add(-startLookback),
	}
	list.calls = &listCalls{
		schedule:  polling.NewSchedule(now),
		pollRules: func() polling.Rules { return list.pollRules() },
		current:   &discoveryService{discovery: discovery, revision: known.Revision},
		onEnded:   func(ended callEnded) { list.mailbox.Post(ended) },
		counters:  &core.counters,
		log:       log,
	}
	list.restore(known, now)
	return list
}

// SetPollRules sets the function that returns the polling rules of the current settings. It is called before Run. If lists are pushed
// to an agent, the agent is polled from the start of Run. Otherwise polling starts with Subscribe.
func (l *EndpointList) SetPollRules(rules func() polling.Rules) { l.pollRules = rules }

// EndpointStore caches the lists and changes of discovery. EndpointsUpdated must not block.
type EndpointStore interface{ EndpointsUpdated(ListUpdate) }

// SetStore sets the store that is passed the lists and changes of discovery. It is called before Run.
func (l *EndpointList) SetStore(store EndpointStore) { l.store = store }

// Subscribe starts polling for changes.
func (l *EndpointList) Subscribe() { l.mailbox.Post(subscribe{}) }

// MoveDiscovery switches to another discovery service.
func (l *EndpointList) MoveDiscovery(to Discovery) { l.mailbox.Post(changeDiscovery{to}) }

// Snapshot returns the known list. It waits for Run or the end of the context.
func (l *EndpointList) Snapshot(ctx context.Context) (ListUpdate, error) {
	reply := make(chan ListUpdate, 1)
	l.mailbox.Post(snapshotQuery{reply})
	return awaitReply(ctx, reply)
}

// FirstCallDone returns a channel that is closed when the first call to discovery has succeeded or failed.
func (l *EndpointList) FirstCallDone() <-chan struct{} { return l.firstCallDone }

// Run handles messages and polls discovery until the context is cancelled.
func (l *EndpointList) Run(ctx context.Context) {
	wakeTimer := time.NewTimer(time.Hour)
	defer wakeTimer.Stop()
	if l.pollRules().ListsPushed {
		l.Subscribe()
	}
	l.checkCachedStart()
	for {
		if at, ok := l.nextWake(); ok {
			wakeTimer.Reset(time.Until(at))
		}
		select {
		case <-ctx.Done():
			return
		case <-l.mailbox.Signal():
		case <-wakeTimer.C:
		}
		for _, message := range l.mailbox.Take() {
			l.handleMessage(ctx, message)
		}
		l.pollFullListIfDue(time.Now())
		l.calls.callIfDue(ctx, time.Now())
		l.checkCachedStart()
		l.expireRetained()
	}
}

// checkCachedStart carries out the actions of the assessor of a cached start that are due now.
func (l *EndpointList) checkCachedStart() {
	l.runAssessor(func(now scheduler.Instant) []cachetrust.Action { return l.cachedStart.Assessor.Check(now) })
}

// nextWake returns when Run must wake up if no message arrives before.
func (l *EndpointList) nextWake() (at time.Time, ok bool) {
	at, ok = l.calls.nextCall()
	if ok && !l.recheckAt.IsZero() && l.recheckAt.Before(at) {
		at = l.recheckAt
	}
	if due, found := l.assessorDue(); found {
		if dueAt := l.core.clock.Time(due); !ok || dueAt.Before(at) {
			at, ok = dueAt, true
		}
	}
	return at, ok
}

// pollFullListIfDue requests the full list at recheckAt, when a part of a response that was not accepted may be accepted.
func (l *EndpointList) pollFullListIfDue(now time.Time) {
	if l.recheckAt.IsZero() || now.Before(l.recheckAt) {
		return
	}
	l.recheckAt = time.Time{}
	if !l.calls.current.fullListDue {
		l.calls.current.fullListDue = true
		l.calls.schedule.PollNow(now)
	}
}

// handleMessage carries out one message of the mailbox.
func (l *EndpointList) handleMessage(ctx context.Context, message any) {
	switch msg := message.(type) {
	case subscribe:
		l.calls.schedule.Start(time.Now())
	case changeDiscovery:
		l.changeService(ctx, msg.to)
	case snapshotQuery:
		msg.reply <- l.snapshot()
	case endpointSignal:
		l.handleSignal(msg)
	case callEnded:
		if call := l.calls.remove(msg); call != nil {
			l.handleCallEnded(ctx, call, msg)
		}
		if msg.number == 1 {
			close(l.firstCallDone)
		}
	}
}

// changeService switches to another discovery service and requests its full list, because the revisions of the two may not be
// comparable, and a change that the previous service was about to report must not be lost. Until the new service responds, the known
// list remains in use, and changes that the previous service still reports are accepted.
func (l *EndpointList) changeService(ctx context.Context, to Discovery) {
	l.log.Info("discovery service changed", "open_calls", len(l.calls.open), "list_age", l.listAge())
	now := time.Now()
	l.calls.changeService(ctx, to, now)
	// After a change of services, list changes count as notified after MoveNotificationDeadline, not the longer NotificationDeadline.
	if asOf := now.Add(polling.MoveNotificationDeadline - polling.NotificationDeadline); asOf.Before(l.includesUntil) {
		l.includesUntil = asOf
	}
	l.core.UpdateEndpoints(scheduler.EndpointsUpdated{ListKind: scheduler.ListDelta, AsOf: l.core.clock.At(l.includesUntil)})
}

// snapshot returns the known list, with the ages of endpoints whose start time is known. For each endpoint it also states when its
// state was last received from another service, whose revisions cannot be compared with the revisions of the current one.
func (l *EndpointList) snapshot() ListUpdate {
	list := ListUpdate{Revision: l.calls.current.revision, Complete: true}
	now, service := l.core.clock.Now(), l.calls.current.discovery.Service()
	for _, endpoint := range l.known {
		endpoint.OtherServiceAt = l.stateTable.OtherServiceAt(endpoint.ID, service)
		if startedAt := l.incarnations.StartedAt(endpoint.ID); startedAt > 0 {
			endpoint.Age = now - startedAt
		}
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return list
}

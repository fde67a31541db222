package routing

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"brassdale/internal/decisions/cachetrust"
	"brassdale/internal/decisions/endpointstate"
	"brassdale/internal/decisions/incarnations"
	"brassdale/internal/decisions/polling"
	"brassdale/scheduler"
)

// ListUpdate is an answer of discovery.
type ListUpdate struct {
	Revision        int64
	Complete        bool      // the whole set; who is absent is gone
	BeforeWaitEnded bool      // it came before the call's wait was over
	ReceivedAt      time.Time // when it began to come; zero for now
	Endpoints       []Endpoint
}

// Discovery is whoever knows the destination set. A call returns what is newer than the revision, for Whole the whole
// set, by the deadline that it keeps itself, whatever discovery does.
type Discovery interface {
	Call(ctx context.Context, revision int64, kind polling.Kind) (ListUpdate, error)
	// Service names the service: two of one name count revisions alike.
	Service() string
	// Close lets go of the connections that carry no call.
	Close()
}

// ErrDiscoveryRejected is what a call ends with that discovery has refused, as it has too many.
var ErrDiscoveryRejected = errors.New("refused")

// ListNotificationDeadline is how long after discovery had it a change counts as told at the latest.
const ListNotificationDeadline = polling.NotificationDeadline

// FullList is no revision: who asks after it wants the whole set now.
const FullList = -1

// EndpointList is the destination set's actor. While subscribed it watches without a gap; each answer
// goes to the endpoints first and then to the module, so the module never sends to one unknown here.
type EndpointList struct {
	core    *Core
	pool    EndpointPool
	log     *slog.Logger
	mailbox *Mailbox[any]

	// Owned by Run.
	calls       *listCalls
	states      endpointstate.Table
	known       map[scheduler.WorkerID]Endpoint // as members has their states
	cachedStart *CachedStart                    // nil unless this process started from a saved list and nobody told a newer one
	store       EndpointStore                   // nil for none
	source      atomic.Pointer[ListSource]

	incarnations incarnations.Tracker // of the workers, on the core's clock; known has them as discovery stamps them
	listReceived bool                 // a list of discovery's was taken in

	pollRules        func() polling.Rules
	answeredAt       time.Time     // when discovery last answered; before, when this process began
	completeAsOf     time.Time     // all that discovery had then is known
	firstCallDone    chan struct{} // closed when the first call has ended, however
	failures         callFailures  // since a call succeeded
	failuresLoggedAt time.Time     // when a row of failures was last logged
	lagLoggedAt      time.Time     // when an answer with a lower revision was last logged
	recheckAt        time.Time     // when the whole list is to be asked for, as something was not believed; zero for never
}

// startLookback is how long before the start of a process a change may have been made that counts as told in its time: the process
// before it has just ended, or it was killed.
const startLookback = 2 * time.Second

type (
	subscribe       struct{}
	changeDiscovery struct{ to Discovery }
	snapshotQuery   struct{ reply chan<- ListUpdate }
)

// NewEndpointList makes the actor with the set as it was known last, and tells the module of that.
func NewEndpointList(c *Core, e EndpointPool, d Discovery, saved ListUpdate, log *slog.Logger) *EndpointList {
	now := time.Now()
	s := &EndpointList{core: c, pool: e, log: log, mailbox: NewMailbox[any](), known: map[scheduler.WorkerID]Endpoint{},
		pollRules: func() polling.Rules { return polling.Rules{Dispatchers: 1} }, answeredAt: now, firstCallDone: make(chan struct{})}
	s.calls = &listCalls{schedule: polling.NewSchedule(now), pollRules: func() polling.Rules { return s.pollRules() },
		current: &discoveryService{discovery: d}, onEnded: func(m callEnded) { s.mailbox.Post(m) }, counters: &c.counters, log: log}
	s.completeAsOf = now.Add(-startLookback)
	s.calls.current.revision = saved.Revision
	s.restore(saved, now)
	return s
}

// Subscribe asks for all changes from now on. It does not block.
func (s *EndpointList) Subscribe() { s.mailbox.Post(subscribe{}) }

// ChangeDiscovery goes on with another discovery. It does not block.
func (s *EndpointList) ChangeDiscovery(to Discovery) { s.mailbox.Post(changeDiscovery{to}) }

// Snapshot gives the set as it is known, once the actor runs.
func (s *EndpointList) Snapshot(ctx context.Context) (ListUpdate, error) {
	answer := make(chan ListUpdate, 1)
	s.mailbox.Post(snapshotQuery{answer})
	return awaitReply(ctx, answer)
}

// SetPollRules names who gives the rules that calls for the list go by, of the settings in force. Where lists are pushed to an agent
// the module does not ask for changes: the actor calls the agent from its start.
func (s *EndpointList) SetPollRules(rules func() polling.Rules) { s.pollRules = rules }

// FirstCallDone is closed when the first call has ended, however.
func (s *EndpointList) FirstCallDone() <-chan struct{} { return s.firstCallDone }

// Run is the actor's life.
func (s *EndpointList) Run(ctx context.Context) {
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	if s.pollRules().ListsPushed {
		s.Subscribe()
	}
	s.runAssessor(func(now scheduler.Clock) []cachetrust.Action { return s.cachedStart.Assessor.Check(now) })
	for {
		if at, ok := s.nextWake(); ok {
			alarm.Reset(time.Until(at))
		}
		select {
		case <-ctx.Done():
			return
		case <-s.mailbox.Signal():
		case <-alarm.C:
		}
		for _, m := range s.mailbox.Take() {
			s.handleMessage(ctx, m)
		}
		s.pollFullListIfDue(time.Now())
		s.calls.callIfDue(ctx, time.Now())
		s.runAssessor(func(now scheduler.Clock) []cachetrust.Action { return s.cachedStart.Assessor.Check(now) })
		s.expireRetained()
	}
}

// nextWake gives when there is something to do if nothing comes.
func (s *EndpointList) nextWake() (at time.Time, ok bool) {
	at, ok = s.calls.nextCall()
	if ok && !s.recheckAt.IsZero() && s.recheckAt.Before(at) {
		at = s.recheckAt
	}
	if due, trusts := s.assessorDue(); trusts {
		if t := s.core.clock.Time(due); !ok || t.Before(at) {
			at, ok = t, true
		}
	}
	return at, ok
}

// pollFullListIfDue has the whole list asked for where something of an answer was not believed, and may be by now.
func (s *EndpointList) pollFullListIfDue(now time.Time) {
	if s.recheckAt.IsZero() || now.Before(s.recheckAt) {
		return
	}
	s.recheckAt = time.Time{}
	if !s.calls.current.fullListDue {
		s.calls.current.fullListDue = true
		s.calls.schedule.PollNow(now)
	}
}

// handleMessage takes a message.
func (s *EndpointList) handleMessage(ctx context.Context, m any) {
	switch m := m.(type) {
	case subscribe:
		s.calls.schedule.Start(time.Now())
	case changeDiscovery:
		// The new one is asked for its whole set: nobody says that both count revisions alike, and a change that the old
		// one had under way must not be lost. Until the answer the list as known holds, and what the old one still brings.
		s.log.Info("discovery moved", "open_calls", len(s.calls.open), "list_age", s.listAge())
		now := time.Now()
		s.calls.changeService(ctx, m.to, now)
		s.serviceChanged(now)
	case snapshotQuery:
		m.reply <- s.snapshot() // has room
	case endpointSignal:
		s.handleSignal(m)
	case callEnded:
		if c := s.calls.remove(m); c != nil {
			s.handleCallEnded(ctx, c, m)
		}
		if m.number == 1 {
			close(s.firstCallDone)
		}
	}
}

// snapshot gives the set as it is known.
func (s *EndpointList) snapshot() ListUpdate {
	u := ListUpdate{Revision: s.calls.current.revision, Complete: true}
	now := s.core.clock.Now()
	for _, d := range s.known {
		if at := s.incarnations.StartedAt(d.ID); at > 0 {
			d.Age = now - at
		}
		u.Endpoints = append(u.Endpoints, d)
	}
	return u
}

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
	core      *Core
	endpoints EndpointPool
	log       *slog.Logger
	mailbox   *Mailbox[any]

	// Owned by Run.
	calls   *listCalls
	members endpointstate.Table
	known   map[scheduler.WorkerID]Endpoint // as members has their states
	start   *CachedStart                    // nil unless this process started from a saved list and nobody told a newer one
	keeper  EndpointStore                   // nil for none
	source  atomic.Pointer[ListSource]

	starts incarnations.Tracker // of the workers, on the core's clock; known has them as discovery stamps them
	told   bool                 // a list of discovery's was taken in

	rules     func() polling.Rules
	answered  time.Time     // when discovery last answered; before, when this process began
	asOf      time.Time     // all that discovery had then is known
	first     chan struct{} // closed when the first call has ended, however
	failures  callFailures  // since a call succeeded
	reported  time.Time     // when a row of failures was last logged
	lagged    time.Time     // when an answer with a lower revision was last logged
	recheckAt time.Time     // when the whole list is to be asked for, as something was not believed; zero for never
}

// beforeStart is how long before the start of a process a change may have been made that counts as told in its time: the process
// before it has just ended, or it was killed.
const beforeStart = 2 * time.Second

type (
	subscribe struct{}
	move      struct{ to Discovery }
	ask       struct{ answer chan<- ListUpdate }
)

// NewEndpointList makes the actor with the set as it was known last, and tells the module of that.
func NewEndpointList(c *Core, e EndpointPool, d Discovery, saved ListUpdate, log *slog.Logger) *EndpointList {
	now := time.Now()
	s := &EndpointList{core: c, endpoints: e, log: log, mailbox: NewMailbox[any](), known: map[scheduler.WorkerID]Endpoint{},
		rules: func() polling.Rules { return polling.Rules{Dispatchers: 1} }, answered: now, first: make(chan struct{})}
	s.calls = &listCalls{schedule: polling.NewSchedule(now), rules: func() polling.Rules { return s.rules() },
		current: &service{discovery: d}, ended: func(m callEnded) { s.mailbox.Post(m) }, ledger: &c.ledger, log: log}
	s.asOf = now.Add(-beforeStart)
	s.calls.current.revision = saved.Revision
	s.begin(saved, now)
	return s
}

// Subscribe asks for all changes from now on. It does not block.
func (s *EndpointList) Subscribe() { s.mailbox.Post(subscribe{}) }

// ChangeDiscovery goes on with another discovery. It does not block.
func (s *EndpointList) ChangeDiscovery(to Discovery) { s.mailbox.Post(move{to}) }

// Snapshot gives the set as it is known, once the actor runs.
func (s *EndpointList) Snapshot(ctx context.Context) (ListUpdate, error) {
	answer := make(chan ListUpdate, 1)
	s.mailbox.Post(ask{answer})
	return await(ctx, answer)
}

// SetPollRules names who gives the rules that calls for the list go by, of the settings in force. Where lists are pushed to an agent
// the module does not ask for changes: the actor calls the agent from its start.
func (s *EndpointList) SetPollRules(rules func() polling.Rules) { s.rules = rules }

// FirstCallDone is closed when the first call has ended, however.
func (s *EndpointList) FirstCallDone() <-chan struct{} { return s.first }

// Run is the actor's life.
func (s *EndpointList) Run(ctx context.Context) {
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	if s.rules().ListsPushed {
		s.Subscribe()
	}
	s.trust(func(now scheduler.Clock) []cachetrust.Action { return s.start.Assessor.Check(now) })
	for {
		if at, ok := s.wakeAt(); ok {
			alarm.Reset(time.Until(at))
		}
		select {
		case <-ctx.Done():
			return
		case <-s.mailbox.Signal():
		case <-alarm.C:
		}
		for _, m := range s.mailbox.Take() {
			s.receive(ctx, m)
		}
		s.recheck(time.Now())
		s.calls.call(ctx, time.Now())
		s.trust(func(now scheduler.Clock) []cachetrust.Action { return s.start.Assessor.Check(now) })
		s.expire()
	}
}

// wakeAt gives when there is something to do if nothing comes.
func (s *EndpointList) wakeAt() (at time.Time, ok bool) {
	at, ok = s.calls.due()
	if ok && !s.recheckAt.IsZero() && s.recheckAt.Before(at) {
		at = s.recheckAt
	}
	if due, trusts := s.due(); trusts {
		if t := s.core.clock.Time(due); !ok || t.Before(at) {
			at, ok = t, true
		}
	}
	return at, ok
}

// recheck has the whole list asked for where something of an answer was not believed, and may be by now.
func (s *EndpointList) recheck(now time.Time) {
	if s.recheckAt.IsZero() || now.Before(s.recheckAt) {
		return
	}
	s.recheckAt = time.Time{}
	if !s.calls.current.recheck {
		s.calls.current.recheck = true
		s.calls.schedule.PollNow(now)
	}
}

// receive takes a message.
func (s *EndpointList) receive(ctx context.Context, m any) {
	switch m := m.(type) {
	case subscribe:
		s.calls.schedule.Start(time.Now())
	case move:
		// The new one is asked for its whole set: nobody says that both count revisions alike, and a change that the old
		// one had under way must not be lost. Until the answer the list as known holds, and what the old one still brings.
		s.log.Info("discovery moved", "open_calls", len(s.calls.open), "list_age", s.age())
		now := time.Now()
		s.calls.move(ctx, m.to, now)
		s.movedAt(now)
	case ask:
		m.answer <- s.whole() // has room
	case sign:
		s.heard(m)
	case callEnded:
		if c := s.calls.take(m); c != nil {
			s.take(ctx, c, m)
		}
		if m.number == 1 {
			close(s.first)
		}
	}
}

// whole gives the set as it is known.
func (s *EndpointList) whole() ListUpdate {
	u := ListUpdate{Revision: s.calls.current.revision, Complete: true}
	now := s.core.clock.Now()
	for _, d := range s.known {
		if at := s.starts.StartedAt(d.ID); at > 0 {
			d.Age = now - at
		}
		u.Endpoints = append(u.Endpoints, d)
	}
	return u
}

package routing

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"brassdale/internal/decisions/endpointstate"
	"brassdale/internal/decisions/polling"
)

// maxOpenCalls bounds the calls for the list that are open at a time: a watch, those made beside it, and those that a move
// of discovery found open.
const maxOpenCalls = 8

// maxPreviousServices bounds the services before moves that are still listened to.
const maxPreviousServices = 4

// discoveryService is a discovery discoveryService that is asked, or was before a move.
type discoveryService struct {
	discovery   Discovery
	revision    int64     // that is known of it; Whole for none
	answered    bool      // it has brought a list
	heard       time.Time // when it last did
	fullListDue bool      // the whole list is to be asked for: something of it was not believed
}

// listCall is a call for the list that has not ended.
type listCall struct {
	number    int
	service   *discoveryService
	kind      polling.Kind
	revision  int64
	startedAt time.Time
	cancel    context.CancelFunc
}

// callEnded is what became of a call.
type callEnded struct {
	number int
	update ListUpdate
	err    error
}

// listCalls makes the calls for the list when its schedule says so. They run beside each other, each on a connection of its
// own, and each lasts until it has ended by itself: one that is late may still be the first to bring a change. Behind a move
// of discovery the calls to the service before go on until the new one has answered. Owned by the actor of the destination
// set; call results reach it by its mailbox.
type listCalls struct {
	schedule   *polling.Schedule
	pollRules  func() polling.Rules
	current    *discoveryService
	previous   []*discoveryService // before moves, while the current one has not answered; the oldest first
	open       []*listCall         // the oldest first
	lastNumber int
	onEnded    func(callEnded)
	counters   *Counters
	log        *slog.Logger
}

// nextCall gives the time of the next call; not ok where none is to be made.
func (l *listCalls) nextCall() (at time.Time, ok bool) { return l.schedule.Next() }

// callIfDue makes the next callIfDue if its time has come.
func (l *listCalls) callIfDue(ctx context.Context, now time.Time) {
	at, ok := l.schedule.Next()
	if !ok || now.Before(at) {
		return
	}
	revisionKnown := l.current.revision != FullList && !l.current.fullListDue
	kind := l.schedule.CallStarted(now, l.lastNumber+1, revisionKnown, l.pollRules(), rand.Float64())
	l.startCall(ctx, now, l.current, kind)
}

// startCall makes a call, under the next number.
func (l *listCalls) startCall(ctx context.Context, now time.Time, to *discoveryService, kind polling.Kind) {
	if len(l.open) >= maxOpenCalls {
		l.cancel(l.open[0], "too many are open")
	}
	l.lastNumber++
	ctx, stop := context.WithCancel(ctx)
	c := &listCall{number: l.lastNumber, service: to, kind: kind, revision: to.revision, startedAt: now, cancel: stop}
	if kind == polling.FullList {
		c.revision = FullList
	}
	l.counters.countDiscoveryCall(len(l.open) > 0)
	l.open = append(l.open, c)
	go func() {
		update, err := to.discovery.Call(ctx, c.revision, kind)
		l.onEnded(callEnded{c.number, update, err})
	}()
}

// remove removes a call that has ended; nil where it was given up before.
func (l *listCalls) remove(m callEnded) *listCall {
	for i, c := range l.open {
		if c.number == m.number {
			l.open = append(l.open[:i], l.open[i+1:]...)
			c.cancel()
			l.logEnd(c, m)
			return c
		}
	}
	return nil
}

func (l *listCalls) logEnd(c *listCall, m callEnded) {
	l.log.Debug("discovery called", "call", c.number, "kind", c.kind.String(), "former", c.service != l.current, "revision", c.revision,
		"took", time.Since(c.startedAt), "got", m.update.Revision, "complete", m.update.Complete, "lines", len(m.update.Endpoints),
		"beside", len(l.open), "err", m.err)
}

// cancel ends a call that has not ended.
func (l *listCalls) cancel(c *listCall, why string) {
	l.log.Debug("discovery call given up", "call", c.number, "kind", c.kind.String(), "after", time.Since(c.startedAt), "why", why)
	l.remove(callEnded{number: c.number, err: context.Canceled})
}

// changeService goes on with another service. The calls to those before stay open until it has answered, and a watch there goes on that
// is between two calls.
func (l *listCalls) changeService(ctx context.Context, to Discovery, now time.Time) {
	if l.current.answered && l.schedule.BetweenWatches() {
		l.startCall(ctx, now, l.current, polling.Watch)
	}
	l.previous = append(l.previous, l.current)
	if len(l.previous) > maxPreviousServices {
		l.dropService(l.previous[0])
		l.previous = l.previous[1:]
	}
	l.current = &discoveryService{discovery: to, revision: FullList}
	l.schedule.ServiceMoved(now, rand.Float64())
}

// dropPrevious lets go of the services before a move.
func (l *listCalls) dropPrevious() {
	for _, s := range l.previous {
		l.dropService(s)
	}
	l.previous = nil
}

// dropService gives up what is open at a service and lets go of its connections.
func (l *listCalls) dropService(s *discoveryService) {
	for _, c := range slices.Clone(l.open) {
		if c.service == s {
			l.cancel(c, "discovery has moved")
		}
	}
	s.discovery.Close()
}

// response gives what a call brought in the terms of membership.
func (c *listCall) response(u ListUpdate, came time.Time) endpointstate.ListResponse {
	a := endpointstate.ListResponse{Service: c.service.discovery.Service(), Revision: u.Revision, Complete: u.Complete, CalledAt: c.startedAt, ReceivedAt: came,
		Endpoints: make([]endpointstate.Endpoint, len(u.Endpoints))}
	for i := range u.Endpoints {
		a.Endpoints[i] = u.Endpoints[i].listedState()
	}
	return a
}

// failure tells how a call failed, as far as that tells of the service's load.
func (c *listCall) failure(err error, now time.Time) polling.Failure {
	return polling.ClassifyFailure(errors.Is(err, ErrDiscoveryRejected), now.Sub(c.startedAt))
}

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

// mostOpenCalls bounds the calls for the list that are open at a time: a watch, those made beside it, and those that a move
// of discovery found open.
const mostOpenCalls = 8

// mostFormer bounds the services before moves that are still listened to.
const mostFormer = 4

// service is a discovery service that is asked, or was before a move.
type service struct {
	discovery Discovery
	revision  int64     // that is known of it; Whole for none
	answered  bool      // it has brought a list
	heard     time.Time // when it last did
	recheck   bool      // the whole list is to be asked for: something of it was not believed
}

// listCall is a call for the list that has not ended.
type listCall struct {
	number   int
	service  *service
	kind     polling.Kind
	revision int64
	begun    time.Time
	stop     context.CancelFunc
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
	schedule *polling.Schedule
	rules    func() polling.Rules
	current  *service
	former   []*service  // before moves, while the current one has not answered; the oldest first
	open     []*listCall // the oldest first
	made     int
	ended    func(callEnded)
	ledger   *Counters
	log      *slog.Logger
}

// due gives the time of the next call; not ok where none is to be made.
func (l *listCalls) due() (at time.Time, ok bool) { return l.schedule.Next() }

// call makes the next call if its time has come.
func (l *listCalls) call(ctx context.Context, now time.Time) {
	at, ok := l.schedule.Next()
	if !ok || now.Before(at) {
		return
	}
	revisionKnown := l.current.revision != FullList && !l.current.recheck
	kind := l.schedule.CallStarted(now, l.made+1, revisionKnown, l.rules(), rand.Float64())
	l.begin(ctx, now, l.current, kind)
}

// begin makes a call, under the next number.
func (l *listCalls) begin(ctx context.Context, now time.Time, to *service, kind polling.Kind) {
	if len(l.open) >= mostOpenCalls {
		l.giveUp(l.open[0], "too many are open")
	}
	l.made++
	ctx, stop := context.WithCancel(ctx)
	c := &listCall{number: l.made, service: to, kind: kind, revision: to.revision, begun: now, stop: stop}
	if kind == polling.FullList {
		c.revision = FullList
	}
	l.ledger.discoveryCalled(len(l.open) > 0)
	l.open = append(l.open, c)
	go func() {
		update, err := to.discovery.Call(ctx, c.revision, kind)
		l.ended(callEnded{c.number, update, err})
	}()
}

// take removes a call that has ended; nil where it was given up before.
func (l *listCalls) take(m callEnded) *listCall {
	for i, c := range l.open {
		if c.number == m.number {
			l.open = append(l.open[:i], l.open[i+1:]...)
			c.stop()
			l.logEnd(c, m)
			return c
		}
	}
	return nil
}

func (l *listCalls) logEnd(c *listCall, m callEnded) {
	l.log.Debug("discovery called", "call", c.number, "kind", c.kind.String(), "former", c.service != l.current, "revision", c.revision,
		"took", time.Since(c.begun), "got", m.update.Revision, "complete", m.update.Complete, "lines", len(m.update.Endpoints),
		"beside", len(l.open), "err", m.err)
}

// giveUp ends a call that has not ended.
func (l *listCalls) giveUp(c *listCall, why string) {
	l.log.Debug("discovery call given up", "call", c.number, "kind", c.kind.String(), "after", time.Since(c.begun), "why", why)
	l.take(callEnded{number: c.number, err: context.Canceled})
}

// move goes on with another service. The calls to those before stay open until it has answered, and a watch there goes on that
// is between two calls.
func (l *listCalls) move(ctx context.Context, to Discovery, now time.Time) {
	if l.current.answered && l.schedule.BetweenWatches() {
		l.begin(ctx, now, l.current, polling.Watch)
	}
	l.former = append(l.former, l.current)
	if len(l.former) > mostFormer {
		l.drop(l.former[0])
		l.former = l.former[1:]
	}
	l.current = &service{discovery: to, revision: FullList}
	l.schedule.ServiceMoved(now, rand.Float64())
}

// dropFormer lets go of the services before a move.
func (l *listCalls) dropFormer() {
	for _, s := range l.former {
		l.drop(s)
	}
	l.former = nil
}

// drop gives up what is open at a service and lets go of its connections.
func (l *listCalls) drop(s *service) {
	for _, c := range slices.Clone(l.open) {
		if c.service == s {
			l.giveUp(c, "discovery has moved")
		}
	}
	s.discovery.Close()
}

// answer gives what a call brought in the terms of membership.
func (c *listCall) answer(u ListUpdate, came time.Time) endpointstate.ListResponse {
	a := endpointstate.ListResponse{Service: c.service.discovery.Service(), Revision: u.Revision, Complete: u.Complete, CalledAt: c.begun, ReceivedAt: came,
		Endpoints: make([]endpointstate.Endpoint, len(u.Endpoints))}
	for i := range u.Endpoints {
		a.Endpoints[i] = u.Endpoints[i].member()
	}
	return a
}

// failure tells how a call failed, as far as that tells of the service's load.
func (c *listCall) failure(err error, now time.Time) polling.Failure {
	return polling.ClassifyFailure(errors.Is(err, ErrDiscoveryRejected), now.Sub(c.begun))
}

package routing

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"brassdale/internal/decisions/polling"
)

const (
	// maxOpenCalls bounds the calls for the list in flight: a watch, the calls made while it is open, and the calls that were in
	// flight when the discovery service changed.
	maxOpenCalls = 8

	// maxPreviousServices bounds the previous discovery services whose responses still count.
	maxPreviousServices = 4
)

// listCall is a call for the list that is in flight.
type listCall struct {
	number    int // counted from 1
	service   *discoveryService
	kind      polling.Kind
	revision  int64 // sent with the call
	startedAt time.Time
	cancel    context.CancelFunc
}

// failure classifies a failed call by what the failure shows about the load of the service.
func (c *listCall) failure(err error, now time.Time) polling.Failure {
	return polling.ClassifyFailure(errors.Is(err, ErrDiscoveryRejected), now.Sub(c.startedAt))
}

// callEnded is the message that a call has ended.
type callEnded struct {
	number int
	update ListUpdate
	err    error
}

// listCalls makes the calls for the list according to the schedule. Calls are in flight concurrently, each on its own connection.
// A late call is not cancelled, because it may still be the first to report a change. After a change of the discovery service the
// calls to the previous service continue until the new one has responded.
//
// It is part of EndpointList: the goroutine of EndpointList.Run owns it. onEnded is called from the goroutine of each call.
type listCalls struct {
	schedule   *polling.Schedule
	pollRules  func() polling.Rules
	current    *discoveryService
	previous   []*discoveryService // services before the current one, until the current one has responded; the oldest first
	open       []*listCall         // the oldest first
	lastNumber int                 // of the last call
	onEnded    func(callEnded)
	counters   *Counters
	log        *slog.Logger
}

// nextCall returns the time of the next call; ok is false if none is scheduled.
func (l *listCalls) nextCall() (at time.Time, ok bool) { return l.schedule.Next() }

// callIfDue makes the next call if its time has come.
func (l *listCalls) callIfDue(ctx context.Context, now time.Time) {
	at, ok := l.schedule.Next()
	if !ok || now.Before(at) {
		return
	}
	revisionKnown := l.current.revision != NoRevision && !l.current.fullListDue
	kind := l.schedule.CallStarted(now, l.lastNumber+1, revisionKnown, l.pollRules(), rand.Float64())
	l.startCall(ctx, now, l.current, kind)
}

// startCall starts a call with the next number. If maxOpenCalls are in flight, it first cancels the oldest one.
func (l *listCalls) startCall(ctx context.Context, now time.Time, to *discoveryService, kind polling.Kind) {
	if len(l.open) >= maxOpenCalls {
		l.cancel(l.open[0], "too many open calls")
	}
	l.lastNumber++
	ctx, cancel := context.WithCancel(ctx)
	call := &listCall{number: l.lastNumber, service: to, kind: kind, revision: to.revision, startedAt: now, cancel: cancel}
	if kind == polling.FullList {
		call.revision = NoRevision
	}
	l.counters.countDiscoveryCall(len(l.open) > 0)
	l.open = append(l.open, call)
	go func() {
		update, err := to.discovery.Call(ctx, call.revision, kind)
		l.onEnded(callEnded{call.number, update, err})
	}()
}

// remove removes a call that has ended and returns it; nil if it was cancelled before.
func (l *listCalls) remove(ended callEnded) *listCall {
	for i, call := range l.open {
		if call.number == ended.number {
			l.open = append(l.open[:i], l.open[i+1:]...)
			call.cancel()
			l.logEnd(call, ended)
			return call
		}
	}
	return nil
}

// logEnd logs at debug level how a call ended.
func (l *listCalls) logEnd(call *listCall, ended callEnded) {
	l.log.Debug("discovery call ended", "call", call.number, "kind", call.kind.String(), "previous_service", call.service != l.current,
		"revision", call.revision, "took", time.Since(call.startedAt), "received", ended.update.Revision,
		"complete", ended.update.Complete, "endpoints", len(ended.update.Endpoints), "open_calls", len(l.open), "err", ended.err)
}

// cancel cancels a call that is in flight. Its result is ignored.
func (l *listCalls) cancel(call *listCall, reason string) {
	l.log.Debug("discovery call cancelled", "call", call.number, "kind", call.kind.String(), "took", time.Since(call.startedAt),
		"reason", reason)
	l.remove(callEnded{number: call.number, err: context.Canceled})
}

// changeService switches to another service. The calls to previous services stay in flight until the new one has responded. If a
// watch at the current service is between two calls, its next call is made now.
func (l *listCalls) changeService(ctx context.Context, to Discovery, now time.Time) {
	if l.current.answered && l.schedule.BetweenWatches() {
		l.startCall(ctx, now, l.current, polling.Watch)
	}
	l.previous = append(l.previous, l.current)
	if len(l.previous) > maxPreviousServices {
		l.dropService(l.previous[0])
		l.previous = l.previous[1:]
	}
	l.current = &discoveryService{discovery: to, revision: NoRevision}
	l.schedule.ServiceMoved(now, rand.Float64())
}

// dropPrevious drops the previous services.
func (l *listCalls) dropPrevious() {
	for _, service := range l.previous {
		l.dropService(service)
	}
	l.previous = nil
}

// dropService cancels the calls to a service and closes its connections.
func (l *listCalls) dropService(service *discoveryService) {
	for _, call := range slices.Clone(l.open) {
		if call.service == service {
			l.cancel(call, "discovery service changed")
		}
	}
	service.discovery.Close()
}

package transport

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"brassdale/internal/protocol"
	"brassdale/internal/routing"
	"brassdale/scheduler"
)

// Sink receives the results and notifications of attempts and probes. Its methods may be called from any goroutine and must not
// block. Each routing.Attempt gets exactly one AttemptFinished, each probe one ProbeCompleted.
type Sink interface {
	// AttemptWaits says that an attempt has begun to wait for a connection, because the pool allows no more, or that its wait
	// has ended. AttemptFinished ends a wait too.
	AttemptWaits(attempt routing.AttemptID, waits bool)
	// AttemptSent says that the last byte of an attempt's request was written.
	AttemptSent()
	// AttemptStarted says that the worker has started an attempt.
	AttemptStarted(attempt routing.AttemptID)
	// AttemptProgressed reports the share of the job that is done, from 0 to 1.
	AttemptProgressed(attempt routing.AttemptID, share float64)
	// AttemptFinished reports the result of an attempt.
	AttemptFinished(attempt routing.AttemptID, result routing.AttemptResult)
	// ProbeCompleted reports the outcome of a probe, and the worker's load report if there was one.
	ProbeCompleted(worker scheduler.WorkerID, outcome scheduler.Outcome, report *scheduler.Report)
}

// EndpointPool passes attempts and probes to the actors of their endpoints, and limits how many connections they have
// open together. It is the routing.EndpointPool of the core. The actor of an endpoint that is gone stays: the worker may
// come back, and the scheduler remembers it too.
//
// Its methods may be called from any goroutine. They hold mu only briefly and do not block. mu may be held while a message is posted to
// an actor, so an actor must not hold a lock that the pool waits for.
//
// Invariant: connections, open or being opened, are counted in openConns by reserveConn and releaseConn. No more are opened
// while openConns >= maxConns; if SetWorkerConnLimit lowers the limit, open connections stay until they end.
type EndpointPool struct {
	settings *protocol.LiveSettings
	sink     Sink
	log      *slog.Logger
	stopped  <-chan struct{} // closed when the actors must end

	// RetriesAllowed reports whether attempts after a job's first may still be sent. If it is nil, they always may. It is set
	// before the first Send. The actors call it, so it must not block.
	RetriesAllowed func() bool

	mu               sync.Mutex // guards all below
	maxConns         int
	openConns        int
	endpoints        map[scheduler.WorkerID]*endpoint
	listed           map[scheduler.WorkerID]struct{}  // the workers of endpoints that are not gone
	detachedSince    map[scheduler.WorkerID]time.Time // of workers that the operator detached, listed or not
	waitingEndpoints []*endpoint                      // in order, one entry for each connection that an endpoint could not open
}

// NewEndpointPool returns a pool without endpoints. Its actors run until the context ends. The pool opens no connection before
// SetWorkerConnLimit is called.
func NewEndpointPool(ctx context.Context, settings *protocol.LiveSettings, sink Sink, log *slog.Logger) *EndpointPool {
	return &EndpointPool{
		settings:      settings,
		sink:          sink,
		log:           log,
		stopped:       ctx.Done(),
		endpoints:     map[scheduler.WorkerID]*endpoint{},
		listed:        map[scheduler.WorkerID]struct{}{},
		detachedSince: map[scheduler.WorkerID]time.Time{},
	}
}

// SetWorkerConnLimit sets how many connections all endpoints together may have open.
func (p *EndpointPool) SetWorkerConnLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConns = limit
	p.notifyWaitingLocked()
}

// OpenConnections returns how many connections all endpoints together have open, including those being opened.
func (p *EndpointPool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openConns
}

// Update passes a listed endpoint to its actor, and starts the actor if the endpoint is new.
func (p *EndpointPool) Update(listed routing.Endpoint) {
	p.mu.Lock()
	if p.listed[listed.ID] = struct{}{}; listed.State == scheduler.Gone {
		delete(p.listed, listed.ID)
	}
	e := p.endpoints[listed.ID]
	if e == nil && listed.State != scheduler.Gone {
		e = newEndpoint(p, listed)
		e.detachedSince = p.detachedSince[listed.ID]
		p.endpoints[listed.ID] = e
		go e.run(p.stopped)
	}
	p.mu.Unlock()
	if e != nil {
		e.mailbox.Post(listed)
	}
}

// Send starts an attempt. If its endpoint was never listed, the attempt ends as NeverSent.
func (p *EndpointPool) Send(attempt routing.Attempt) {
	if e := p.endpoint(attempt.Endpoint); e != nil {
		e.mailbox.Post(attempt)
		return
	}
	p.sink.AttemptFinished(attempt.ID, routing.AttemptResult{Outcome: scheduler.NeverSent})
}

// Cancel cancels an attempt. Its result is reported like any other.
func (p *EndpointPool) Cancel(worker scheduler.WorkerID, attempt routing.AttemptID) {
	if e := p.endpoint(worker); e != nil {
		e.mailbox.Post(cancelAttempt{attempt})
	}
}

// SetDetached records that the operator has detached a worker, and since when; since is zero if the worker is attached again. It
// applies regardless of the worker's state in the endpoint list, also to a worker that is listed later.
func (p *EndpointPool) SetDetached(worker scheduler.WorkerID, since time.Time) {
	p.mu.Lock()
	if p.detachedSince[worker] = since; since.IsZero() {
		delete(p.detachedSince, worker)
	}
	p.mu.Unlock()
	if e := p.endpoint(worker); e != nil {
		e.mailbox.Post(setDetached{since})
	}
}

// CloseIdle closes a worker's connections that have been idle for at least minIdle.
func (p *EndpointPool) CloseIdle(worker scheduler.WorkerID, minIdle time.Duration) {
	if e := p.endpoint(worker); e != nil {
		e.mailbox.Post(closeIdleConns{minIdle})
	}
}

// Probe probes a worker. If the worker was never listed, the probe ends as NeverSent.
func (p *EndpointPool) Probe(worker scheduler.WorkerID) {
	if e := p.endpoint(worker); e != nil {
		e.mailbox.Post(startProbe{})
		return
	}
	p.sink.ProbeCompleted(worker, scheduler.NeverSent, nil)
}

// endpoint returns a worker's actor, nil if the worker was never listed.
func (p *EndpointPool) endpoint(worker scheduler.WorkerID) *endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpoints[worker]
}

// connectionLimit returns how many connections all endpoints together may have open.
func (p *EndpointPool) connectionLimit() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.maxConns
}

// reserveConn reports whether an endpoint may open one more connection, and counts the connection if so. If not, all endpoints
// are asked to close their idle connections, and this endpoint gets a capacityFreed when its turn comes.
func (p *EndpointPool) reserveConn(e *endpoint) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openConns < p.maxConns {
		p.openConns++
		return true
	}
	if len(p.waitingEndpoints) == 0 {
		for _, other := range p.endpoints {
			other.mailbox.Post(closeIdleConns{minIdle: 0})
		}
	}
	p.waitingEndpoints = append(p.waitingEndpoints, e)
	return false
}

// releaseConn removes from the count a connection that is closed, or that was not opened after reserveConn.
func (p *EndpointPool) releaseConn() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openConns--
	p.notifyWaitingLocked()
}

// passOnCapacity notifies the next waiting endpoints of the capacity that is left after a notified endpoint has taken what it
// needs. It must be called after each capacityFreed: otherwise the other endpoints would wait until a connection is closed, and
// there may be none.
func (p *EndpointPool) passOnCapacity() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notifyWaitingLocked()
}

// notifyWaitingLocked notifies one waiting endpoint for each further connection that is allowed. mu is held. Nothing is reserved
// for an endpoint: if it finds the capacity taken, it waits again.
func (p *EndpointPool) notifyWaitingLocked() {
	for free := p.maxConns - p.openConns; free > 0 && len(p.waitingEndpoints) > 0; free-- {
		p.waitingEndpoints[0].mailbox.Post(capacityFreed{})
		p.waitingEndpoints = p.waitingEndpoints[1:]
	}
}

// maxIdleConns returns how many idle connections an endpoint may have: 0 while any endpoint waits for capacity, otherwise half
// the limit divided equally among the listed workers, at least 1.
func (p *EndpointPool) maxIdleConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waitingEndpoints) > 0 {
		return 0
	}
	return max(p.maxConns/(2*max(len(p.listed), 1)), 1)
}

// idleTimeoutPercent is the percentage of the workers' idle timeout (limits.connIdle) after which a connection is closed here, so
// that the worker does not close it just as it is used.
const idleTimeoutPercent = 85

// idleExpiry returns when a connection that has been idle since a point in time must be closed.
func (p *EndpointPool) idleExpiry(since time.Time) time.Time {
	return since.Add(p.settings.Current().Limits.ConnIdle.Duration() * idleTimeoutPercent / 100)
}

// Package transport has the sockets of the dispatcher: the listeners and frontends for clients, the connections to endpoints and the
// calls to discovery, the admin API, and the socket between a process and its successor.
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

// idleShare is the share of the settings' time, in percent, after which an idle connection is closed: before the endpoint closes it,
// as what is written to a connection that was closed ends as a reset.
const idleShare = 85

// RetrySettings are the operator's limits on retries.
type RetrySettings struct {
	RetryRatio float64 `hcl:"retry_budget"` // retries for each first attempt, over sliding windows
}

// Sink receives what endpoints return. No method blocks. routing.Core is one.
type Sink interface {
	AttemptSent() // the last byte of an attempt was written
	AttemptStarted(routing.AttemptID)
	AttemptProgressed(routing.AttemptID, float64)
	AttemptFinished(routing.AttemptID, routing.AttemptResult)
	ProbeCompleted(scheduler.WorkerID, scheduler.Outcome, *scheduler.Report)
}

// EndpointPool is the routing.EndpointPool of the program. It passes attempts and probes to the actors of the endpoints, and owns the
// number of connections that these may have open together. Its methods may be called from any goroutine and do not block. The actor
// of an endpoint that is gone stays, idle: the endpoint may be listed again.
type EndpointPool struct {
	ctx      context.Context //nolint:containedctx // the life of the program: actors of endpoints start when these are listed and end with it
	settings *protocol.LiveSettings
	sink     Sink
	log      *slog.Logger

	// RetriesAllowed reports whether an attempt after a request's first may still be sent; nil for always. It is set before the
	// first attempt.
	RetriesAllowed func() bool

	mu              sync.Mutex
	maxConnections  int // that all endpoints together may have open
	openConnections int // that they have open or are opening
	endpoints       map[scheduler.WorkerID]*endpoint
	detachedSince   map[scheduler.WorkerID]time.Time // of workers that are detached, listed or not
	waiting         []*endpoint                      // an entry for each connection that an endpoint waits to open
}

// NewEndpointPool returns an empty pool. It opens no connection before SetConnectionLimit. Its actors end with the context.
func NewEndpointPool(ctx context.Context, settings *protocol.LiveSettings, sink Sink, log *slog.Logger) *EndpointPool {
	return &EndpointPool{
		ctx: ctx, settings: settings, sink: sink, log: log,
		endpoints: map[scheduler.WorkerID]*endpoint{}, detachedSince: map[scheduler.WorkerID]time.Time{},
	}
}

// SetConnectionLimit sets how many connections all endpoints together may have open.
func (p *EndpointPool) SetConnectionLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConnections = limit
	p.notifyWaiting()
}

// connectionLimit returns how many connections all endpoints together may have open.
func (p *EndpointPool) connectionLimit() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.maxConnections
}

// OpenConnections returns how many connections endpoints have open or are opening.
func (p *EndpointPool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openConnections
}

// reserveConnection counts a connection that is to be opened and reports whether it may be. If not, the endpoint is posted
// capacityFreed when another is closed, and all endpoints close their idle connections.
func (p *EndpointPool) reserveConnection(waiter *endpoint) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openConnections < p.maxConnections {
		p.openConnections++
		return true
	}
	if len(p.waiting) == 0 {
		for _, other := range p.endpoints {
			other.mailbox.Post(closeIdleConnections{0})
		}
	}
	p.waiting = append(p.waiting, waiter)
	return false
}

// releaseConnection counts a connection that was closed, or could not be opened.
func (p *EndpointPool) releaseConnection() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openConnections--
	p.notifyWaiting()
}

// passOnCapacity notifies the next endpoint that waits, where one that was notified has no use for a connection any more.
func (p *EndpointPool) passOnCapacity() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notifyWaiting()
}

// notifyWaiting notifies as many endpoints that wait as connections may be opened, the longest waiting first. p.mu is held.
func (p *EndpointPool) notifyWaiting() {
	for free := p.maxConnections - p.openConnections; free > 0 && len(p.waiting) > 0; free-- {
		p.waiting[0].mailbox.Post(capacityFreed{})
		p.waiting = p.waiting[1:]
	}
}

// Update passes an endpoint's actor what the list says of it, and starts the actor of a new one.
func (p *EndpointPool) Update(listed routing.Endpoint) {
	p.mu.Lock()
	found := p.endpoints[listed.ID]
	if found == nil && listed.State != scheduler.Gone {
		found = newEndpoint(p, listed)
		found.detachedSince = p.detachedSince[listed.ID]
		p.endpoints[listed.ID] = found
		go found.run(p.ctx)
	}
	p.mu.Unlock()
	if found != nil {
		found.mailbox.Post(listed)
	}
}

// endpoint returns the actor of an endpoint; nil for one that was never listed.
func (p *EndpointPool) endpoint(id scheduler.WorkerID) *endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpoints[id]
}

// Send starts an attempt. To an endpoint that was never listed it ends as NeverSent.
func (p *EndpointPool) Send(attempt routing.Attempt) {
	if found := p.endpoint(attempt.Endpoint); found != nil {
		found.mailbox.Post(attempt)
		return
	}
	p.sink.AttemptFinished(attempt.ID, routing.AttemptResult{Outcome: scheduler.NeverSent})
}

// Cancel cancels an attempt. Its outcome follows.
func (p *EndpointPool) Cancel(id scheduler.WorkerID, attempt routing.AttemptID) {
	if found := p.endpoint(id); found != nil {
		found.mailbox.Post(cancelAttempt{attempt})
	}
}

// SetDetached marks a worker as detached by the operator since then; the zero time reattaches it. The mark is independent of the
// endpoint list.
func (p *EndpointPool) SetDetached(id scheduler.WorkerID, since time.Time) {
	p.mu.Lock()
	if p.detachedSince[id] = since; since.IsZero() {
		delete(p.detachedSince, id)
	}
	p.mu.Unlock()
	if found := p.endpoint(id); found != nil {
		found.mailbox.Post(setDetached{since})
	}
}

// CloseIdle closes the connections of an endpoint that have been idle for at least minIdle.
func (p *EndpointPool) CloseIdle(id scheduler.WorkerID, minIdle time.Duration) {
	if found := p.endpoint(id); found != nil {
		found.mailbox.Post(closeIdleConnections{minIdle})
	}
}

// Probe sends a probe to an endpoint. To one that was never listed it completes as NeverSent.
func (p *EndpointPool) Probe(id scheduler.WorkerID) {
	if found := p.endpoint(id); found != nil {
		found.mailbox.Post(startProbe{})
		return
	}
	p.sink.ProbeCompleted(id, scheduler.NeverSent, nil)
}

// maxIdleConnections returns how many idle connections an endpoint may have: half of all connections are divided among the endpoints.
// It is 0 while an endpoint waits to open one.
func (p *EndpointPool) maxIdleConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiting) > 0 {
		return 0
	}
	return max(p.maxConnections/(2*max(len(p.endpoints), 1)), 1)
}

// idleDeadline returns when a connection that is idle since then is to be closed.
func (p *EndpointPool) idleDeadline(since time.Time) time.Time {
	return since.Add(p.settings.Current().Limits.ConnIdle.Duration() * idleShare / 100)
}

// Package transport holds the sockets: the server for inbound requests, the front for server-sent
// events, the connections to endpoints and the calls to discovery.
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

// RetrySettings are the operator's, in a block fleet.
type RetrySettings struct {
	RetryRatio float64 `hcl:"retry_budget"` // further calls for each first one, over sliding windows
}

// Sink takes what comes back from endpoints. No method blocks.
type Sink interface {
	AttemptStarted(routing.AttemptID)
	AttemptProgressed(routing.AttemptID, float64)
	AttemptFinished(routing.AttemptID, routing.AttemptResult)
	ProbeCompleted(scheduler.WorkerID, scheduler.Outcome, *scheduler.Report)
	AttemptSent() // a call was written to its last byte
}

// EndpointPool hands calls to the endpoints' actors. It is the core's routing.Endpoints. The actor of an endpoint
// that is gone stays, idle: the module too remembers a worker for its life, and it may come back.
type EndpointPool struct {
	ctx             context.Context
	settings        *protocol.LiveSettings
	sink            Sink
	log             *slog.Logger
	mu              sync.Mutex
	maxConnections  int // connections that all endpoints together may have open
	openConnections int // and how many are
	endpoints       map[scheduler.WorkerID]*endpoint
	detachedSince   map[scheduler.WorkerID]time.Time // put out by hand, listed or not
	waiting         []*endpoint                      // wait for a connection that they may open

	// RetriesAllowed tells whether a call beyond a job's first may still leave; nil for always. It is set before the first call.
	RetriesAllowed func() bool
}

// NewEndpointPool makes an empty fleet. It opens no connection before Allow.
func NewEndpointPool(ctx context.Context, p *protocol.LiveSettings, sink Sink, log *slog.Logger) *EndpointPool {
	return &EndpointPool{ctx: ctx, settings: p, sink: sink, log: log, endpoints: map[scheduler.WorkerID]*endpoint{},
		detachedSince: map[scheduler.WorkerID]time.Time{}}
}

// SetConnectionLimit sets how many connections all endpoints together may have open.
func (f *EndpointPool) SetConnectionLimit(most int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maxConnections = most
	f.notifyWaiting()
}

func (f *EndpointPool) connectionLimit() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.maxConnections
}

// reserveConnection counts a connection that is to be opened, and tells whether it may be. If not, the endpoint hears of the next
// that is closed, and all close what stands idle.
func (f *EndpointPool) reserveConnection(e *endpoint) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.openConnections < f.maxConnections {
		f.openConnections++
		return true
	}
	if len(f.waiting) == 0 {
		for _, o := range f.endpoints {
			o.mailbox.Post(closeIdleConnections{0})
		}
	}
	f.waiting = append(f.waiting, e)
	return false
}

// passOnCapacity gives on what an endpoint that once waited has no more use for.
func (f *EndpointPool) passOnCapacity() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notifyWaiting()
}

// releaseConnection counts a connection that is closed.
func (f *EndpointPool) releaseConnection() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.openConnections--
	f.notifyWaiting()
}

// notifyWaiting tells those that wait as far as there is room; f.mu is held.
func (f *EndpointPool) notifyWaiting() {
	for n := f.maxConnections - f.openConnections; n > 0 && len(f.waiting) > 0; n-- {
		f.waiting[0].mailbox.Post(capacityFreed{})
		f.waiting = f.waiting[1:]
	}
}

// OpenConnections is how many they have.
func (f *EndpointPool) OpenConnections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.openConnections
}

// Update tells an endpoint's actor what the destination set says of it, and starts the actor of a new one.
func (f *EndpointPool) Update(d routing.Endpoint) {
	f.mu.Lock()
	e := f.endpoints[d.ID]
	if e == nil && d.State != scheduler.Gone {
		e = newEndpoint(f, d)
		e.detachedSince = f.detachedSince[d.ID]
		f.endpoints[d.ID] = e
		go e.run(f.ctx)
	}
	f.mu.Unlock()
	if e != nil {
		e.mailbox.Post(d)
	}
}

func (f *EndpointPool) endpoint(id scheduler.WorkerID) *endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.endpoints[id]
}

// Send starts a call.
func (f *EndpointPool) Send(c routing.Attempt) {
	if e := f.endpoint(c.Endpoint); e != nil {
		e.mailbox.Post(c)
		return
	}
	f.sink.AttemptFinished(c.ID, routing.AttemptResult{Outcome: scheduler.NeverSent})
}

// Cancel gives a call up.
func (f *EndpointPool) Cancel(id scheduler.WorkerID, c routing.AttemptID) {
	if e := f.endpoint(id); e != nil {
		e.mailbox.Post(cancelAttempt{c})
	}
}

// Bar puts an endpoint out by hand, or back. That stands beside what the destination set says of it.
func (f *EndpointPool) SetDetached(id scheduler.WorkerID, since time.Time) {
	f.mu.Lock()
	if f.detachedSince[id] = since; since.IsZero() {
		delete(f.detachedSince, id)
	}
	f.mu.Unlock()
	if e := f.endpoint(id); e != nil {
		e.mailbox.Post(setDetached{since})
	}
}

// Drop closes an endpoint's connections that have stood idle for so long.
func (f *EndpointPool) CloseIdle(id scheduler.WorkerID, idle time.Duration) {
	if e := f.endpoint(id); e != nil {
		e.mailbox.Post(closeIdleConnections{idle})
	}
}

// Probe asks an endpoint for a sign of life.
func (f *EndpointPool) Probe(id scheduler.WorkerID) {
	if e := f.endpoint(id); e != nil {
		e.mailbox.Post(startProbe{})
		return
	}
	f.sink.ProbeCompleted(id, scheduler.NeverSent, nil)
}

// maxIdleConnections is how many idle connections an endpoint may keep, so that all together stay within bounds.
func (f *EndpointPool) maxIdleConnections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.waiting) > 0 {
		return 0
	}
	return max(f.maxConnections/(2*max(len(f.endpoints), 1)), 1)
}

func (f *EndpointPool) idleDeadline(since time.Time) time.Time {
	return since.Add(f.settings.Current().Limits.ConnIdle.Duration() * 85 / 100)
}

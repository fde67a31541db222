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
	ctx     context.Context
	params  *protocol.LiveSettings
	sink    Sink
	log     *slog.Logger
	mu      sync.Mutex
	most    int // connections that all endpoints together may have open
	open    int // and how many are
	members map[scheduler.WorkerID]*endpoint
	barred  map[scheduler.WorkerID]time.Time // put out by hand, listed or not
	starved []*endpoint                      // wait for a connection that they may open

	// RetriesAllowed tells whether a call beyond a job's first may still leave; nil for always. It is set before the first call.
	RetriesAllowed func() bool
}

// NewEndpointPool makes an empty fleet. It opens no connection before Allow.
func NewEndpointPool(ctx context.Context, p *protocol.LiveSettings, sink Sink, log *slog.Logger) *EndpointPool {
	return &EndpointPool{ctx: ctx, params: p, sink: sink, log: log, members: map[scheduler.WorkerID]*endpoint{},
		barred: map[scheduler.WorkerID]time.Time{}}
}

// SetConnectionLimit sets how many connections all endpoints together may have open.
func (f *EndpointPool) SetConnectionLimit(most int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.most = most
	f.feed()
}

func (f *EndpointPool) allowed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.most
}

// take counts a connection that is to be opened, and tells whether it may be. If not, the endpoint hears of the next
// that is closed, and all close what stands idle.
func (f *EndpointPool) take(e *endpoint) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.open < f.most {
		f.open++
		return true
	}
	if len(f.starved) == 0 {
		for _, o := range f.members {
			o.box.Post(drop{0})
		}
	}
	f.starved = append(f.starved, e)
	return false
}

// pass gives on what an endpoint that once waited has no more use for.
func (f *EndpointPool) pass() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.feed()
}

// give counts a connection that is closed.
func (f *EndpointPool) give() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open--
	f.feed()
}

// feed tells those that wait as far as there is room; f.mu is held.
func (f *EndpointPool) feed() {
	for n := f.most - f.open; n > 0 && len(f.starved) > 0; n-- {
		f.starved[0].box.Post(room{})
		f.starved = f.starved[1:]
	}
}

// OpenConnections is how many they have.
func (f *EndpointPool) OpenConnections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.open
}

// Update tells an endpoint's actor what the destination set says of it, and starts the actor of a new one.
func (f *EndpointPool) Update(d routing.Endpoint) {
	f.mu.Lock()
	e := f.members[d.ID]
	if e == nil && d.State != scheduler.Gone {
		e = newEndpoint(f, d)
		e.barred = f.barred[d.ID]
		f.members[d.ID] = e
		go e.run(f.ctx)
	}
	f.mu.Unlock()
	if e != nil {
		e.box.Post(d)
	}
}

func (f *EndpointPool) member(id scheduler.WorkerID) *endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members[id]
}

// Send starts a call.
func (f *EndpointPool) Send(c routing.Attempt) {
	if e := f.member(c.Endpoint); e != nil {
		e.box.Post(c)
		return
	}
	f.sink.AttemptFinished(c.ID, routing.AttemptResult{Outcome: scheduler.NeverSent})
}

// Cancel gives a call up.
func (f *EndpointPool) Cancel(id scheduler.WorkerID, c routing.AttemptID) {
	if e := f.member(id); e != nil {
		e.box.Post(cancel{c})
	}
}

// Bar puts an endpoint out by hand, or back. That stands beside what the destination set says of it.
func (f *EndpointPool) SetDetached(id scheduler.WorkerID, since time.Time) {
	f.mu.Lock()
	if f.barred[id] = since; since.IsZero() {
		delete(f.barred, id)
	}
	f.mu.Unlock()
	if e := f.member(id); e != nil {
		e.box.Post(bar{since})
	}
}

// Drop closes an endpoint's connections that have stood idle for so long.
func (f *EndpointPool) CloseIdle(id scheduler.WorkerID, idle time.Duration) {
	if e := f.member(id); e != nil {
		e.box.Post(drop{idle})
	}
}

// Probe asks an endpoint for a sign of life.
func (f *EndpointPool) Probe(id scheduler.WorkerID) {
	if e := f.member(id); e != nil {
		e.box.Post(probe{})
		return
	}
	f.sink.ProbeCompleted(id, scheduler.NeverSent, nil)
}

// idleMost is how many idle connections an endpoint may keep, so that all together stay within bounds.
func (f *EndpointPool) idleMost() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.starved) > 0 {
		return 0
	}
	return max(f.most/(2*max(len(f.members), 1)), 1)
}

func (f *EndpointPool) idleUntil(since time.Time) time.Time {
	return since.Add(f.params.Current().Limits.ConnIdle.Duration() * 85 / 100)
}

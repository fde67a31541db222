package transport

import (
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"brassdale/internal/protocol"
	"brassdale/internal/routing"
	"brassdale/scheduler"
)

// Core is what the frontends hand requests to. Its methods may be called from any goroutine and do not block.
type Core interface {
	// Submit hands over a request, whose client gets one final answer.
	Submit(request routing.Request) scheduler.RequestID
	// ClientLeft says that a request's client has gone and no answer is needed.
	ClientLeft(id scheduler.RequestID)
	// Counters returns the counters of answers.
	Counters() *routing.Counters
}

// Authorize reports as an error, a *protocol.RequestError, that the sender of a request may not submit its job.
type Authorize func(*http.Request, *protocol.Job) error

// frontend is what all frontends share: it admits requests, or rejects them without asking the core, and writes answers. The
// HTTP server calls it from a goroutine for each request. All fields but the atomic ones are set before the first request and
// do not change.
type frontend struct {
	core               Core
	settings           *protocol.LiveSettings
	listener           *Listener
	ids                *InFlightIDs
	idempotencyTable   *IdempotencyTable // nil where each request is a job of its own
	quotas             *AccountQuotas    // nil where accounts have none
	authorize          Authorize         // nil where every client may submit any job
	dedicatedToControl bool              // this dispatcher takes no jobs
	log                *slog.Logger

	shutdownStartedAt atomic.Pointer[time.Time] // nil before the shutdown
	successorServes   atomic.Bool               // a successor listens at the same address, and clients should go there
}

// StartShutdown makes the readiness page say 503, unless a successor serves at the same address. The frontend goes on serving.
func (f *frontend) StartShutdown() {
	now := time.Now()
	f.shutdownStartedAt.Store(&now)
}

// PassToSuccessor starts or stops sending clients to a successor at the same address: each connection is closed after its next answer.
// To close it between requests could cross the next request, which would get no answer.
func (f *frontend) PassToSuccessor(on bool) { f.successorServes.Store(on) }

// DedicateToControl makes the readiness page say 503 for good: this dispatcher is in the fleet, but takes no jobs. It must be called
// before the first request.
func (f *frontend) DedicateToControl() { f.dedicatedToControl = true }

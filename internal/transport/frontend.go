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

// Core takes the requests of the frontends. Its methods may be called from any goroutine and do not block.
type Core interface {
	// Submit passes a request to the core. Its client gets exactly one final answer.
	Submit(request routing.Request) scheduler.RequestID
	// ClientLeft says that a request's client has gone and no answer is needed.
	ClientLeft(id scheduler.RequestID)
	// Counters returns the counters of answers.
	Counters() *routing.Counters
}

// Authorize returns a *protocol.RequestError if the sender of a request may not submit its job.
type Authorize func(*http.Request, *protocol.Job) error

// frontend is the common part of all frontends: it admits requests, or rejects them without asking the core, and writes answers. The
// HTTP server calls it from a goroutine for each request. All fields except the atomic fields are set before the first request and
// do not change.
type frontend struct {
	core               Core
	settings           *protocol.LiveSettings
	listener           *Listener
	ids                *InFlightIDs
	idempotencyTable   *IdempotencyTable // nil if each request starts a job of its own
	quotas             *AccountQuotas    // nil if accounts have no quotas
	authorize          Authorize         // nil if every client may submit any job
	dedicatedToControl bool              // this dispatcher takes no jobs
	log                *slog.Logger

	shutdownStartedAt atomic.Pointer[time.Time] // nil before the shutdown
	successorServes   atomic.Bool               // a successor listens at the same address, and clients should connect to it
}

// StartShutdown makes the readiness page respond with 503, unless a successor serves at the same address. The frontend goes on
// serving.
func (f *frontend) StartShutdown() {
	now := time.Now()
	f.shutdownStartedAt.Store(&now)
}

// PassToSuccessor starts or stops sending clients to a successor at the same address: each connection is closed after its next
// answer. If it were closed between requests, the client might be sending the next request, which would get no answer.
func (f *frontend) PassToSuccessor(on bool) { f.successorServes.Store(on) }

// DedicateToControl makes the readiness page respond with 503 permanently: this dispatcher is in the fleet, but takes no jobs. It
// must be called before the first request.
func (f *frontend) DedicateToControl() { f.dedicatedToControl = true }

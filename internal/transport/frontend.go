package transport

import (
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"brassdale/internal/protocol"
	"brassdale/internal/routing"
	"brassdale/scheduler"
)

// A reader that takes nothing for so long is cut off; from the front for progress it may come for the rest.
const clientReadTimeout = 5 * time.Second

// Core is what the fronts hand requests to.
type Core interface {
	Submit(routing.Request) scheduler.RequestID
	ClientLeft(scheduler.RequestID)
	Counters() *routing.Counters
}

// front is what both fronts share: they let requests in and count connections.
type front struct {
	core               Core
	settings           *protocol.LiveSettings
	listener           *Listener
	ids                *InFlightIDs
	shutdownStartedAt  atomic.Pointer[time.Time] // since when; nil while it is not
	successorServes    atomic.Bool               // a successor serves here too: clients are to go there
	idempotencyTable   *IdempotencyTable         // nil where each request is a job of its own
	quotas             *AccountQuotas            // nil where accounts have none
	authorize          Authorize                 // nil where whoever comes may hand in any job
	dedicatedToControl bool                      // this dispatcher wants no jobs
	log                *slog.Logger
}

// Authorize tells whether who sent a request may hand in its job; an error is a protocol.Reject.
type Authorize func(*http.Request, *protocol.Job) error

// closeAfterAnswer has the connection end behind the present answer. Where other streams share it, they end in their own
// time, and only new ones have to come on another.
func closeAfterAnswer(w http.ResponseWriter) { w.Header().Set("Connection", "close") }

// closeAfterInvalidRequest has the connection end behind the answer to a request that was not as it should be: the rest of it is not
// worth reading, nor is what may follow. Over HTTP/2 that is a matter of its stream alone.
func closeAfterInvalidRequest(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor < 2 {
		closeAfterAnswer(w)
	}
}

// StartShutdown turns the ready page to 503.
func (f *front) StartShutdown() {
	now := time.Now()
	f.shutdownStartedAt.Store(&now)
}

// PassToSuccessor has clients go to a successor, each behind its next answer: a connection that is closed between requests
// may cross one that is turned back unheard then.
func (f *front) PassToSuccessor(on bool) { f.successorServes.Store(on) }

// newConnectionGrace is how long after SIGTERM the platform's front goes on bringing new connections at least.
const newConnectionGrace = 250 * time.Millisecond

// nearlyFullAtShutdown tells whether one more job would leave clients no free connection here while no new one comes: who then
// wants one is told that nobody is here, and all that this process could still serve goes unasked.
func (f *front) nearlyFullAtShutdown() bool {
	since := f.shutdownStartedAt.Load()
	return since != nil && !f.successorServes.Load() && time.Since(*since) > newConnectionGrace && f.listener.NearlyFull()
}

// admit reads a request. It gives nil where it has answered itself: to what is no job, and to one more than there
// are descriptors or memory for, past which this process would die with all that it holds. done must be called when
// the request is over.
func (f *front) admit(w http.ResponseWriter, r *http.Request) (job *protocol.Job, done func()) {
	done = func() {}
	params := f.settings.Current() // the rules that the job begins with
	if !r.ProtoAtLeast(1, 1) || len(r.TransferEncoding) > 0 {
		// Where the next request would begin is for net/http alone to say: the framing was not followed.
		closeAfterAnswer(w)
	}
	if r.ProtoMajor < 2 {
		// A client that never reads its answer must not keep its connection and goroutine for ever. Over HTTP/2 it could
		// keep a stream, see withWriteTimeout.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(params.LongestDeadline() + clientReadTimeout))
	}
	if f.successorServes.Load() || r.ProtoMajor >= 2 && f.shutdownStartedAt.Load() != nil {
		closeAfterAnswer(w)
	}
	if r.URL.Path == "/health/ready" || r.URL.Path == "/health/live" {
		serveHealth(w, r, f.dedicatedToControl || f.shutdownStartedAt.Load() != nil && !f.successorServes.Load())
		return nil, done
	}
	size := r.ContentLength
	if size < 0 || size > protocol.MaxBodyBytes { // not told, or cut off at the limit
		size = protocol.MaxBodyBytes
	}
	if !f.listener.reserveBody(size) {
		f.rejectAndClose(w, r, protocol.ClassOf(r), "out of room for bodies")
		return nil, done
	}
	letGo := func() { f.listener.releaseBody(size) }
	done = letGo
	job, err := readJob(w, r, params)
	if err == nil && f.authorize != nil {
		err = f.authorize(r, job)
	}
	if err != nil {
		f.respondInvalid(w, r, err)
		if class := protocol.ClassOf(r); !params.HasClass(class) {
			f.core.Counters().CountAnsweredByFrontend(class, routing.Failed) // perhaps of a class that was dropped
		}
		return nil, done
	}
	if kept := int64(len(job.Body)); kept < size { // its length was not told
		f.listener.releaseBody(size - kept)
		size = kept
	}
	switch {
	case f.listener.Full():
		f.rejectAndClose(w, r, job.ClassName, "out of connections")
		return nil, done
	case f.nearlyFullAtShutdown():
		f.reject(w, r, job.ClassName, "leaving, the last free connections")
		return nil, done
	case !admitJob(r):
		f.reject(w, r, job.ClassName, "the connection has its part of the streams")
		return nil, done
	}
	done = func() { letGo(); releaseJob(r) }
	free, ok := f.quotas.admit(job.Account)
	if !ok {
		f.reject(w, r, job.ClassName, "the account has its share")
		return nil, done
	}
	done = func() { free(); releaseJob(r); letGo() }
	return job, done
}

// withTimeout has a stream's deadline pass if what the caller does takes longer; the caller must call over when it is done.
// Over HTTP/2 each word to a stream's deadlines goes through the one goroutine that serves the connection, and one that
// comes there behind the stream's end resets it all the same: so it is said only where it is needed, and not too late.
func withTimeout(span time.Duration, pass func(time.Time) error) (over func()) {
	var mu sync.Mutex
	done := false
	late := time.AfterFunc(span, func() {
		mu.Lock()
		defer mu.Unlock()
		if !done {
			_ = pass(time.Now())
		}
	})
	return func() {
		late.Stop()
		mu.Lock()
		defer mu.Unlock()
		done = true
	}
}

// withWriteTimeout bounds how long a reader may take with an answer; sent must be called when it is written. Over HTTP/2 one
// with its window shut holds a stream, and what is to be sent on it.
func withWriteTimeout(w http.ResponseWriter, r *http.Request) (sent func()) {
	if r.ProtoMajor < 2 {
		return func() {}
	}
	c := http.NewResponseController(w)
	over := withTimeout(requestReadTimeout, c.SetWriteDeadline)
	return func() {
		_ = c.Flush() // what is written behind the handler's end has no bound
		over()
	}
}

// rejectAndClose is a fail-fast for want of room: the connection gives up its own.
func (f *front) rejectAndClose(w http.ResponseWriter, r *http.Request, class, why string) {
	closeAfterInvalidRequest(w, r)
	f.reject(w, r, class, why)
}

// reject is a refusal by the front itself, before the module has seen the request.
func (f *front) reject(w http.ResponseWriter, r *http.Request, class, why string) {
	f.log.Warn("fail-fast", "why", why, "id", r.Header.Get("Req-Id"))
	f.core.Counters().CountAnsweredByFrontend(class, routing.Rejected)
	defer withWriteTimeout(w, r)()
	writeAnswer(w, routing.Answer{Verdict: routing.Rejected, RetryAfter: f.settings.Current().Limits.MaxRetryAfter.Duration()})
}

// DedicateToControl has the front say that this dispatcher wants no jobs: it is there for the fleet. It is called before the front serves.
func (f *front) DedicateToControl() { f.dedicatedToControl = true }

// serveHealth answers the pages that tell whether this process runs and wants work.
func serveHealth(w http.ResponseWriter, r *http.Request, wantsNone bool) {
	defer withWriteTimeout(w, r)()
	switch {
	case r.Method != http.MethodGet && r.Method != http.MethodHead:
		w.Header().Set("Allow", "GET, HEAD")
		w.WriteHeader(http.StatusMethodNotAllowed)
	case wantsNone && r.URL.Path == "/health/ready":
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

var errIDInUse = &protocol.RequestError{Status: http.StatusConflict, Reason: "Req-Id is of a request that is open"}

// readJob reads and decodes a request. A body that does not come whole in time ends in an error; after that
// the server must be free to notice that the client leaves.
func readJob(w http.ResponseWriter, r *http.Request, p *protocol.Settings) (*protocol.Job, error) {
	now := time.Now()
	c := http.NewResponseController(w)
	if r.ProtoMajor >= 2 {
		defer withTimeout(time.Until(requestReadDeadline(r)), c.SetReadDeadline)()
		return protocol.DecodeInbound(r, p, now)
	}
	_ = c.SetReadDeadline(requestReadDeadline(r))
	job, err := protocol.DecodeInbound(r, p, now)
	if err == nil {
		_ = c.SetReadDeadline(time.Time{})
		job.Deadline = job.Deadline.Add(-unreadDuration(r, now)) // its client's time ran while it waited behind another
	}
	return job, err
}

func (f *front) respondInvalid(w http.ResponseWriter, r *http.Request, err error) {
	status := http.StatusBadRequest
	if why := (*protocol.RequestError)(nil); errors.As(err, &why) {
		status = why.Status
	}
	if status == http.StatusMethodNotAllowed {
		w.Header().Set("Allow", http.MethodPost)
	}
	closeAfterInvalidRequest(w, r)
	defer withWriteTimeout(w, r)()
	f.log.Debug("inbound rejected", "status", status, "err", err, "id", r.Header.Get("Req-Id"))
	http.Error(w, err.Error(), status)
}

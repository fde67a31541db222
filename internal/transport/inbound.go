package transport

import (
	"errors"
	"log/slog"
	"maps"
	"math"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"brassdale/brain"
	"brassdale/internal/protocol"
	"brassdale/internal/routing"
)

// A reader that takes nothing for so long is cut off; from the front for progress it may come for the rest.
const readerWithin = 5 * time.Second

// Core is what the fronts hand requests to.
type Core interface {
	Submit(routing.Inbound) brain.RequestID
	Leave(brain.RequestID)
	Ledger() *routing.Ledger
}

// front is what both fronts share: they let requests in and count connections.
type front struct {
	core    Core
	params  *protocol.Live
	gate    *Gate
	ids     *OpenIDs
	leaving atomic.Pointer[time.Time] // since when; nil while it is not
	passing atomic.Bool               // a successor serves here too: clients are to go there
	log     *slog.Logger
}

// OpenIDs holds the Req-Id of each job that is open, at whichever front. A second job under the id of an open
// one is not let in: endpoints would take it for a copy of the first, whose client has done no wrong.
//
// While one process replaces another, the predecessor's table decides for both.
type OpenIDs struct {
	mu   sync.Mutex
	open map[string]*Kin // by whom: nil for this process
	pred *Kin
}

// kinAnswers is how long a predecessor has to say whether an id is free. One that is stuck for longer is taken to
// have none open that matter: its clients hear nothing either.
const kinAnswers = 250 * time.Millisecond

// Follow has the ids asked of a predecessor too, until it is gone.
func (o *OpenIDs) Follow(pred *Kin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pred = pred
}

// Take takes an id for the process that asks, nil for this one, and tells whether it was free here.
func (o *OpenIDs) Take(id string, by *Kin) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, taken := o.open[id]; taken {
		return false
	}
	if o.open == nil {
		o.open = map[string]*Kin{}
	}
	o.open[id] = by
	return true
}

// Free gives back what the same process took.
func (o *OpenIDs) Free(id string, by *Kin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if owner, taken := o.open[id]; taken && owner == by {
		delete(o.open, id)
	}
}

// Forget gives back all that a process had taken which is gone.
func (o *OpenIDs) Forget(by *Kin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	maps.DeleteFunc(o.open, func(_ string, owner *Kin) bool { return owner == by })
}

func (o *OpenIDs) predecessor() *Kin {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pred
}

func (o *OpenIDs) take(id string) bool {
	if !o.Take(id, nil) {
		return false
	}
	if pred := o.predecessor(); pred != nil {
		yes, heard := pred.Ask(protocol.Note{Take: id}, time.Now().Add(kinAnswers))
		switch {
		case !heard: // nor will it answer for the next
			o.Follow(nil)
		case !yes:
			o.Free(id, nil)
			return false
		}
	}
	return true
}

func (o *OpenIDs) free(id string) {
	o.Free(id, nil)
	if pred := o.predecessor(); pred != nil {
		pred.Tell(protocol.Note{Free: id})
	}
}

// Leaving turns the ready page to 503.
func (f *front) Leaving() {
	now := time.Now()
	f.leaving.Store(&now)
}

// Passing has clients go to a successor, each behind its next answer: a connection that is closed between requests
// may cross one that is turned back unheard then.
func (f *front) Passing(on bool) { f.passing.Store(on) }

// frontLeaves is how long after SIGTERM the platform's front goes on bringing new connections at least.
const frontLeaves = 250 * time.Millisecond

// tight tells whether one more job would leave clients no free connection here while no new one comes: who then
// wants one is told that nobody is here, and all that this process could still serve goes unasked.
func (f *front) tight() bool {
	since := f.leaving.Load()
	return since != nil && !f.passing.Load() && time.Since(*since) > frontLeaves && f.gate.Tight()
}

// admit reads a request. It gives nil where it has answered itself: to what is no job, and to one more than there
// are descriptors or memory for, past which this process would die with all that it holds. done must be called when
// the request is over.
func (f *front) admit(w http.ResponseWriter, r *http.Request) (job *protocol.Job, done func()) {
	done = func() {}
	params := f.params.Now() // the rules that the job begins with
	if !r.ProtoAtLeast(1, 1) || len(r.TransferEncoding) > 0 {
		// Where the next request would begin is for net/http alone to say: the framing was not followed.
		w.Header().Set("Connection", "close")
	}
	// A client that never reads its answer must not keep its connection and goroutine for ever.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(params.LongestDeadline() + readerWithin))
	if f.passing.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/health/ready" || r.URL.Path == "/health/live" {
		serveHealth(w, r, f.leaving.Load() != nil && !f.passing.Load())
		return nil, done
	}
	size := r.ContentLength
	if size < 0 || size > protocol.MaxBody { // not told, or cut off at the limit
		size = protocol.MaxBody
	}
	if !f.gate.hold(size) {
		f.refuse(w, protocol.ClassOf(r), "out of room for bodies")
		return nil, done
	}
	done = func() { f.gate.letGo(size) }
	job, err := readJob(w, r, params)
	if err != nil {
		f.rejectJob(w, err)
		if class := protocol.ClassOf(r); !params.Has(class) {
			f.core.Ledger().Unheard(class, routing.Failed) // perhaps of a class that was dropped
		}
		return nil, done
	}
	switch {
	case f.gate.Full():
		f.refuse(w, job.ClassName, "out of connections")
		return nil, done
	case f.tight():
		f.failFast(w, job.ClassName, "leaving, the last free connections")
		return nil, done
	}
	enter(r, serving)
	return job, done
}

// refuse is a fail-fast for want of room: the connection gives up its own.
func (f *front) refuse(w http.ResponseWriter, class, why string) {
	w.Header().Set("Connection", "close")
	f.failFast(w, class, why)
}

// failFast is a refusal by the front itself, before the module has seen the request.
func (f *front) failFast(w http.ResponseWriter, class, why string) {
	f.log.Warn("fail-fast", "why", why)
	f.core.Ledger().Unheard(class, routing.Refused)
	writeAnswer(w, routing.Answer{Verdict: routing.Refused, RetryAfter: f.params.Now().Limits.MaxRetryAfter.Span()})
}

// Inbound is the front for the platform's protocol.
type Inbound struct{ front }

// NewInbound makes the front.
func NewInbound(c Core, p *protocol.Live, g *Gate, ids *OpenIDs, log *slog.Logger) *Inbound {
	return &Inbound{front{core: c, params: p, gate: g, ids: ids, log: log}}
}

// Server makes the server for a front's handler. A connection that brings no whole head in time is closed, and
// one that brings too much of it; bodies are bounded in readJob.
func Server(h http.Handler, log *slog.Logger) *http.Server {
	return &http.Server{Handler: h, ConnState: watch, ConnContext: note, MaxHeaderBytes: 8 << 10, ReadHeaderTimeout: wholeWithin,
		IdleTimeout: 2 * time.Minute, DisableGeneralOptionsHandler: true, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
}

func (f *Inbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	job, done := f.admit(w, r)
	defer done()
	if job == nil {
		return
	}
	if !f.ids.take(job.ID) {
		f.rejectJob(w, errIDInUse)
		return
	}
	defer f.ids.free(job.ID)
	client := make(single, 1)
	id := f.core.Submit(inboundOf(job, client))
	select {
	case a := <-client:
		writeAnswer(w, a)
	case <-r.Context().Done():
		f.core.Leave(id)
	}
}

// inboundOf gives a job in the core's terms.
func inboundOf(j *protocol.Job, c routing.Client) routing.Inbound {
	return routing.Inbound{Class: j.Class, ClassName: j.ClassName, Rules: j.Rules, Slots: j.Slots, Key: j.Subject, Deadline: j.Deadline, Job: j, Client: c}
}

// serveHealth answers the pages that tell whether this process runs and wants work.
func serveHealth(w http.ResponseWriter, r *http.Request, leaving bool) {
	switch {
	case r.Method != http.MethodGet && r.Method != http.MethodHead:
		w.Header().Set("Allow", "GET, HEAD")
		w.WriteHeader(http.StatusMethodNotAllowed)
	case leaving && r.URL.Path == "/health/ready":
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

var errIDInUse = &protocol.Reject{Status: http.StatusConflict, Why: "Req-Id is of a request that is open"}

// readJob reads and decodes a request. A body that does not come whole in time ends in an error; after that
// the server must be free to notice that the client leaves.
func readJob(w http.ResponseWriter, r *http.Request, p *protocol.Params) (*protocol.Job, error) {
	now := time.Now()
	c := http.NewResponseController(w)
	_ = c.SetReadDeadline(wholeBy(r))
	job, err := protocol.DecodeInbound(r, p, now)
	if err == nil {
		_ = c.SetReadDeadline(time.Time{})
	}
	return job, err
}

func (f *front) rejectJob(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	if why := (*protocol.Reject)(nil); errors.As(err, &why) {
		status = why.Status
	}
	if status == http.StatusMethodNotAllowed {
		w.Header().Set("Allow", http.MethodPost)
	}
	w.Header().Set("Connection", "close") // the rest of its body is not worth reading, nor is what may follow
	f.log.Debug("inbound rejected", "status", status, "err", err)
	http.Error(w, err.Error(), status)
}

// single is a client that waits for its answer alone.
type single chan routing.Answer

func (single) Began(int)                   {}
func (single) Progressed(int, float64)     {}
func (s single) Answered(a routing.Answer) { s <- a } // has room: the core answers once

// status maps an answer to HTTP. 429 and 503 tell a client that trying again is harmless, so nothing but
// a refusal may get one.
func status(a routing.Answer) int {
	switch {
	case a.Verdict == routing.Served:
		return http.StatusOK
	case a.Verdict == routing.Refused:
		return http.StatusServiceUnavailable
	case a.Expired:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

func writeAnswer(w http.ResponseWriter, a routing.Answer) {
	h := w.Header()
	if a.Verdict == routing.Refused && a.RetryAfter > 0 {
		h.Set("Retry-After", retryAfter(a.RetryAfter))
	}
	h.Set("Content-Type", "application/octet-stream")
	h.Set("Content-Length", strconv.Itoa(len(a.Result)))
	w.WriteHeader(status(a))
	_, _ = w.Write(a.Result) // a client that has left is no fault
}

// retryAfter writes seconds, whole where they are.
func retryAfter(d time.Duration) string {
	return strconv.FormatFloat(math.Ceil(d.Seconds()*1000)/1000, 'f', -1, 64)
}

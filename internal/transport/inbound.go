package transport

import (
	"errors"
	"log/slog"
	"math"
	"net"
	"net/http"
	"strconv"
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
}

// front is what both fronts share: they let requests in and count connections.
type front struct {
	core    Core
	params  *protocol.Params
	most    int64 // connections that it holds; on one more a request is refused
	open    atomic.Int64
	leaving atomic.Bool
	log     *slog.Logger
}

// Leaving turns the ready page to 503.
func (f *front) Leaving() { f.leaving.Store(true) }

// Watch counts connections, as an http.Server's ConnState.
func (f *front) Watch(_ net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		f.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		f.open.Add(-1)
	}
}

// admit reads a request. It gives nil where it has answered itself: to what is no job, and to one more
// than there are descriptors for, past which this process would die with all that it holds.
func (f *front) admit(w http.ResponseWriter, r *http.Request) *protocol.Job {
	// A client that never reads its answer must not keep its connection and goroutine for ever.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(f.params.LongestDeadline() + readerWithin))
	if r.URL.Path == "/health/ready" || r.URL.Path == "/health/live" {
		serveHealth(w, r, f.leaving.Load())
		return nil
	}
	job, err := readJob(w, r, f.params)
	if err != nil {
		rejectJob(w, err, f.log)
		return nil
	}
	if f.open.Load() > f.most {
		f.refuse(w, "out of connections")
		return nil
	}
	return job
}

// refuse is a fail-fast of the front itself, before the module has seen the request.
func (f *front) refuse(w http.ResponseWriter, why string) {
	f.log.Warn("fail-fast", "why", why, "open", f.open.Load())
	w.Header().Set("Connection", "close")
	writeAnswer(w, routing.Answer{Verdict: routing.Refused, RetryAfter: f.params.Limits.MaxRetryAfter.Span()})
}

// Inbound is the front for the platform's protocol.
type Inbound struct{ front }

// NewInbound makes the front.
func NewInbound(c Core, p *protocol.Params, most int, log *slog.Logger) *Inbound {
	return &Inbound{front{core: c, params: p, most: int64(most), log: log}}
}

// Server makes the server for a front's handler. A connection that brings no whole header for long is
// closed; bodies are bounded in readJob.
func Server(h http.Handler, state func(net.Conn, http.ConnState), log *slog.Logger) *http.Server {
	return &http.Server{Handler: h, ConnState: state, MaxHeaderBytes: 32 << 10, ReadHeaderTimeout: 20 * time.Second,
		IdleTimeout: 2 * time.Minute, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
}

func (f *Inbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	job := f.admit(w, r)
	if job == nil {
		return
	}
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
	return routing.Inbound{Class: j.Class, Slots: j.Slots, Key: j.Subject, Deadline: j.Deadline, Job: j, Client: c}
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

// readJob reads and decodes a request. A body that does not come whole until the class's deadline ends
// the connection; after that the server must be free to notice that the client leaves.
func readJob(w http.ResponseWriter, r *http.Request, p *protocol.Params) (*protocol.Job, error) {
	now := time.Now()
	c := http.NewResponseController(w)
	_ = c.SetReadDeadline(now.Add(p.LongestDeadline()))
	job, err := protocol.DecodeInbound(r, p, now)
	if err == nil {
		_ = c.SetReadDeadline(time.Time{})
	}
	return job, err
}

func rejectJob(w http.ResponseWriter, err error, log *slog.Logger) {
	status := http.StatusBadRequest
	if r := (*protocol.Reject)(nil); errors.As(err, &r) {
		status = r.Status
	}
	if status == http.StatusMethodNotAllowed {
		w.Header().Set("Allow", http.MethodPost)
	}
	if status == http.StatusRequestEntityTooLarge {
		w.Header().Set("Connection", "close") // the rest of the body is not worth reading
	}
	log.Debug("inbound rejected", "status", status, "err", err)
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

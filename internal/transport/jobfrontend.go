package transport

import (
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"time"

	"brassdale/internal/protocol"
	"brassdale/internal/routing"
)

// JobFrontend is the front for the platform's protocol.
type JobFrontend struct{ front }

// NewJobFrontend makes the front. keys, shares and vet may be nil.
func NewJobFrontend(c Core, p *protocol.LiveSettings, g *Listener, ids *InFlightIDs, keys *IdempotencyTable, shares *AccountQuotas, vet Authorize, log *slog.Logger) *JobFrontend {
	return &JobFrontend{front{core: c, params: p, gate: g, ids: ids, keys: keys, shares: shares, vet: vet, log: log}}
}

// Server makes the server for a front's handler. A connection that brings no whole head in time is closed, and
// one that brings too much of it; bodies are bounded in readJob.
func Server(h http.Handler, log *slog.Logger) *http.Server {
	return &http.Server{Handler: h, ConnState: trackConnState, ConnContext: withConn, MaxHeaderBytes: 8 << 10, ReadHeaderTimeout: wholeWithin,
		IdleTimeout: 2 * time.Minute, DisableGeneralOptionsHandler: true, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
}

func (f *JobFrontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	job, done := f.admit(w, r)
	defer done()
	if job == nil {
		return
	}
	if f.keys != nil && job.IdempotencyKey != "" {
		f.serveKeyedJob(w, r, job)
		return
	}
	if !f.ids.reserveEverywhere(job.ID) {
		f.rejectJob(w, r, errIDInUse)
		return
	}
	defer f.ids.releaseEverywhere(job.ID)
	client := make(answerChannel, 1)
	in := coreRequest(job, client)
	in.ClientGone = clientGoneFunc(r)
	id := f.core.Submit(in)
	select {
	case a := <-client:
		f.respond(w, r, a)
	case <-r.Context().Done():
		f.core.ClientLeft(id)
		f.respondToDepartedClient(w, r)
	}
}

// respondToDepartedClient answers a client that has gone: one that has shut only its own side still reads, and net/http would have it
// take nothing for a job that was served.
func (f *front) respondToDepartedClient(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor < 2 { // else its stream is reset already, and the connection has others
		closeBehind(w)
		f.respond(w, r, routing.Answer{Verdict: routing.Failed})
	}
}

// respond writes an answer.
func (f *front) respond(w http.ResponseWriter, r *http.Request, a routing.Answer) {
	defer boundReader(w, r)()
	if f.gate.Closing() {
		closeBehind(w)
	}
	writeAnswer(w, a)
}

// coreRequest gives a job in the core's terms.
func coreRequest(j *protocol.Job, c routing.Client) routing.Request {
	return routing.Request{Class: j.Class, ClassName: j.ClassName, Account: j.Account, LogName: j.ID, Limits: j.Limits, Slots: j.Slots,
		EstimatedWork: j.EstimatedWork, AffinityKey: j.AffinityKey, IdempotencyKey: j.IdempotencyKey, Deadline: j.Deadline, Job: j, Client: c}
}

// answerChannel is a client that waits for its answer alone.
type answerChannel chan routing.Answer

func (answerChannel) AttemptStarted(int)             {}
func (answerChannel) AttemptProgressed(int, float64) {}
func (s answerChannel) Answered(a routing.Answer)    { s <- a } // has room: the core answers once

// statusOf maps an answer to HTTP. 429 and 503 tell a client that trying again is harmless, so nothing but
// a refusal may get one.
func statusOf(a routing.Answer) int {
	switch {
	case a.Verdict == routing.Served:
		return http.StatusOK
	case a.Verdict == routing.Rejected:
		return http.StatusServiceUnavailable
	case a.DeadlinePassed:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

func writeAnswer(w http.ResponseWriter, a routing.Answer) {
	h := w.Header()
	if a.Verdict == routing.Rejected && a.RetryAfter > 0 {
		h.Set("Retry-After", formatRetryAfter(a.RetryAfter))
	}
	h.Set("Content-Type", "application/octet-stream")
	h.Set("Content-Length", strconv.Itoa(len(a.Result)))
	w.WriteHeader(statusOf(a))
	_, _ = w.Write(a.Result) // a client that has left is no fault
}

// formatRetryAfter writes seconds, whole where they are.
func formatRetryAfter(d time.Duration) string {
	return strconv.FormatFloat(math.Ceil(d.Seconds()*1000)/1000, 'f', -1, 64)
}

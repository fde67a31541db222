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

// JobFrontend is the frontend for the platform's protocol: POST /<class>, answered in one piece.
type JobFrontend struct{ front }

// NewJobFrontend returns the frontend behind a listener. keys, quotas and authorize may be nil: then each request is a job of its
// own, accounts have no quotas, and every client may submit any job.
func NewJobFrontend(core Core, settings *protocol.LiveSettings, listener *Listener, ids *InFlightIDs, keys *IdempotencyTable, quotas *AccountQuotas, authorize Authorize, log *slog.Logger) *JobFrontend {
	return &JobFrontend{front{core: core, params: settings, gate: listener, ids: ids, keys: keys, shares: quotas, vet: authorize, log: log}}
}

const (
	maxRequestHeaderBytes = 8 << 10
	idleClientTimeout     = 2 * time.Minute // of a connection between requests
)

// Server returns the server for a frontend's handler. It closes a connection whose request head is too large, or not complete
// within wholeWithin. Bodies are limited where they are read.
func Server(handler http.Handler, log *slog.Logger) *http.Server {
	return &http.Server{
		Handler:                      handler,
		ConnState:                    trackConnState,
		ConnContext:                  withConn,
		MaxHeaderBytes:               maxRequestHeaderBytes,
		ReadHeaderTimeout:            wholeWithin,
		IdleTimeout:                  idleClientTimeout,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
}

// ServeHTTP implements http.Handler. It returns when the request is answered or its client has left.
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
	request := coreRequest(job, client)
	request.ClientGone = clientGoneFunc(r)
	id := f.core.Submit(request)
	select {
	case answer := <-client:
		f.respond(w, r, answer)
	case <-r.Context().Done():
		f.core.ClientLeft(id)
		f.respondToDepartedClient(w, r)
	}
}

// respondToDepartedClient answers a client that has gone. One that has only shut its own side still reads, and would take the
// empty 200 of net/http for an answer to its job. Over HTTP/2 the stream is reset already, and the connection has others.
func (f *front) respondToDepartedClient(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor < 2 {
		closeBehind(w)
		f.respond(w, r, routing.Answer{Verdict: routing.Failed})
	}
}

// respond writes an answer. It blocks while the client takes it, for a bounded time.
func (f *front) respond(w http.ResponseWriter, r *http.Request, answer routing.Answer) {
	defer boundReader(w, r)()
	if f.gate.Closing() {
		closeBehind(w)
	}
	writeAnswer(w, answer)
}

// coreRequest returns the core's request for a job, whose answer goes to client.
func coreRequest(job *protocol.Job, client routing.Client) routing.Request {
	return routing.Request{
		Class:          job.Class,
		ClassName:      job.ClassName,
		Account:        job.Account,
		LogName:        job.ID,
		Limits:         job.Limits,
		Slots:          job.Slots,
		EstimatedWork:  job.EstimatedWork,
		AffinityKey:    job.AffinityKey,
		IdempotencyKey: job.IdempotencyKey,
		Deadline:       job.Deadline,
		Job:            job,
		Client:         client,
	}
}

// answerChannel is a routing.Client that wants the final answer only. It must have capacity for one, so that the core, which
// answers once, does not block.
type answerChannel chan routing.Answer

// AttemptStarted does nothing.
func (answerChannel) AttemptStarted(int) {}

// AttemptProgressed does nothing.
func (answerChannel) AttemptProgressed(int, float64) {}

// Answered sends the answer.
func (c answerChannel) Answered(answer routing.Answer) { c <- answer }

// statusOf returns the HTTP status of an answer. Clients take 429 and 503 to mean that the job did not run and may be
// submitted again, so nothing but a rejection gets one.
func statusOf(answer routing.Answer) int {
	switch {
	case answer.Verdict == routing.Served:
		return http.StatusOK
	case answer.Verdict == routing.Rejected:
		return http.StatusServiceUnavailable
	case answer.DeadlinePassed:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

func writeAnswer(w http.ResponseWriter, answer routing.Answer) {
	header := w.Header()
	if answer.Verdict == routing.Rejected && answer.RetryAfter > 0 {
		header.Set("Retry-After", formatRetryAfter(answer.RetryAfter))
	}
	header.Set("Content-Type", "application/octet-stream")
	header.Set("Content-Length", strconv.Itoa(len(answer.Result)))
	w.WriteHeader(statusOf(answer))
	_, _ = w.Write(answer.Result) // fails if the client has left, which is no fault here
}

// formatRetryAfter formats a duration as the value of Retry-After: seconds, rounded up to a millisecond.
func formatRetryAfter(d time.Duration) string {
	return strconv.FormatFloat(math.Ceil(d.Seconds()*1000)/1000, 'f', -1, 64)
}

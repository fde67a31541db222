package transport

import (
	"log/slog"
	"net/http"
	"time"

	"brassdale/internal/protocol"
	"brassdale/internal/routing"
)

// JobFrontend is the frontend for the platform's protocol: POST /<class>, answered with a single response.
type JobFrontend struct{ frontend }

// NewJobFrontend returns the frontend of a listener. idempotencyTable, quotas and authorize may be nil: then each request starts
// a job of its own, accounts have no quotas, and every client may submit any job.
func NewJobFrontend(core Core, settings *protocol.LiveSettings, listener *Listener, ids *InFlightIDs, idempotencyTable *IdempotencyTable, quotas *AccountQuotas, authorize Authorize, log *slog.Logger) *JobFrontend {
	return &JobFrontend{frontend{core: core, settings: settings, listener: listener, ids: ids, idempotencyTable: idempotencyTable, quotas: quotas, authorize: authorize, log: log}}
}

const maxRequestHeaderBytes = 8 << 10

// IdleClientTimeout is how long a client's connection may be idle between requests.
const IdleClientTimeout = 2 * time.Minute

// Server returns the server for a frontend's handler. It closes a connection whose request head is too large, or not complete
// within requestReadTimeout. Bodies are limited where they are read.
func Server(handler http.Handler, log *slog.Logger) *http.Server {
	return &http.Server{
		Handler:                      handler,
		ConnState:                    trackConnState,
		ConnContext:                  withConn,
		MaxHeaderBytes:               maxRequestHeaderBytes,
		ReadHeaderTimeout:            requestReadTimeout,
		IdleTimeout:                  IdleClientTimeout,
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
	if f.idempotencyTable != nil && job.IdempotencyKey != "" {
		f.serveKeyedJob(w, r, job)
		return
	}
	if err := f.ids.reserveEverywhere(job.ID); err != nil {
		f.respondNotReserved(w, r, job, err)
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

// answerChannel is a routing.Client that receives only the final answer. The channel must have a capacity of one, so that the
// core, which answers once, does not block.
type answerChannel chan routing.Answer

// AttemptStarted does nothing.
func (answerChannel) AttemptStarted(int) {}

// AttemptProgressed does nothing.
func (answerChannel) AttemptProgressed(int, float64) {}

// Answered sends the answer.
func (c answerChannel) Answered(answer routing.Answer) { c <- answer }

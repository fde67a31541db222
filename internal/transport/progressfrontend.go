package transport

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"brassdale/internal/protocol"
	"brassdale/internal/routing"
)

// ProgressSettings is the block front "progress" of the operator's file.
type ProgressSettings struct {
	Listen    string `hcl:"listen"`             // an address of its own
	Cleartext bool   `hcl:"cleartext,optional"` // the address may be off loopback
	Upstream  string `hcl:"upstream,optional"`  // how workers are asked to report progress: upstreamLines or upstreamEvents
}

// The values of ProgressSettings.Upstream: JSON lines or server-sent events.
const (
	upstreamLines  = "lines"
	upstreamEvents = "events"
)

// DefaultProgress returns the settings used for what the operator's file leaves out.
func DefaultProgress() ProgressSettings {
	return ProgressSettings{Upstream: upstreamLines}
}

// ProgressFrontend is the frontend that streams the progress of jobs as server-sent events. A job with an idempotency key does not
// belong to a connection: it runs on until its deadline when its client's stream breaks off, and a request with the same
// key and a Last-Event-ID resumes the stream.
type ProgressFrontend struct {
	front
	settings *ProgressSettings
}

// NewProgressFrontend returns the frontend behind a listener. quotas may be nil: then accounts have none.
func NewProgressFrontend(core Core, settings *protocol.LiveSettings, progress *ProgressSettings, listener *Listener, ids *InFlightIDs, keys *IdempotencyTable, quotas *AccountQuotas, log *slog.Logger) *ProgressFrontend {
	return &ProgressFrontend{
		front:    front{core: core, params: settings, gate: listener, ids: ids, keys: keys, shares: quotas, log: log},
		settings: progress,
	}
}

// The deadline of a job is earlier than its client's by finalAnswerMargin, or by 1/finalAnswerDivisor of the time left if that
// is less, so that the final answer reaches the client in time.
const (
	finalAnswerMargin  = 100 * time.Millisecond
	finalAnswerDivisor = 20
)

// ServeHTTP implements http.Handler. It returns when the stream has ended or its client has left.
func (f *ProgressFrontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	job, done := f.admit(w, r)
	defer done()
	if job == nil {
		return
	}
	lastEventID := r.Header.Get("Last-Event-ID")
	seen, err := eventsSeen(lastEventID)
	if err != nil {
		http.Error(w, err.Error(), errBadLastEventID.Status)
		return
	}
	job.Events = f.settings.Upstream == upstreamEvents
	timeLeft := time.Until(job.Deadline)
	job.Deadline = job.Deadline.Add(-min(finalAnswerMargin, timeLeft/finalAnswerDivisor))
	if f.relayToPeer(w, r, job, "") {
		return
	}
	stream, started, ok := f.joinOrStart(w, r, job, lastEventID != "", true)
	if !ok {
		return
	}
	if started {
		f.keys.setRequestID(stream, f.core.Submit(coreRequest(job, stream)))
	}
	ended, responded := streamEvents(r.Context(), w, stream, seen)
	if ended {
		return
	}
	if job.IdempotencyKey == "" { // no request could resume it
		f.abandonJob(stream)
	}
	if !responded {
		f.respondToDepartedClient(w, r)
	}
}

// errBadLastEventID rejects a Last-Event-ID that no job can have sent.
var errBadLastEventID = &protocol.RequestError{Status: http.StatusBadRequest, Reason: "Last-Event-ID is not one of ours"}

// eventsSeen returns how many events a client has seen, by its Last-Event-ID; empty if it resumes nothing.
func eventsSeen(lastEventID string) (int, error) {
	if lastEventID == "" {
		return 0, nil
	}
	seen, err := strconv.Atoi(lastEventID)
	if err != nil || seen < 0 {
		return 0, errBadLastEventID
	}
	return seen, nil
}

// streamEvents sends the events of a job after the first seen ones, until the job has ended or the client has left. As long as no
// event was sent, a job that ends without having been served is answered with a plain HTTP status instead. ended is
// false if the client left before the job's end; responded says whether anything was sent by then.
func streamEvents(ctx context.Context, w http.ResponseWriter, stream *jobStream, seen int) (ended, responded bool) {
	out := eventWriter{w: w, controller: http.NewResponseController(w)}
	for {
		events, answer, changed, ok := stream.eventsAfter(seen)
		switch {
		case !ok:
			http.Error(w, "Last-Event-ID is not of this job; nothing was started", http.StatusBadGateway)
			return true, true
		case len(events) == 0 && answer != nil && !out.begun: // the client has had the final answer
			w.WriteHeader(http.StatusNoContent)
			return true, true
		case len(events) == 1 && seen == 0 && !out.begun && answer != nil && answer.Verdict != routing.Served:
			writeAnswer(w, *answer)
			return true, true
		}
		if len(events) > 0 || seen > 0 && !out.begun { // the head shows a client that resumes that the job goes on
			if err := out.send(events); err != nil {
				return false, true
			}
			seen += len(events)
		}
		if answer != nil {
			return true, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false, out.begun
		}
	}
}

// eventWriter writes events to a client.
type eventWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	begun      bool // the head was written
}

// send writes events, and before the first ones the head, and flushes them. It blocks until the client has taken them, for
// readerWithin at most.
func (o *eventWriter) send(events []protocol.Event) error {
	if !o.begun {
		o.begun = true
		o.w.Header().Set("Content-Type", "text/event-stream")
		o.w.Header().Set("Cache-Control", "no-store")
	}
	_ = o.controller.SetWriteDeadline(time.Now().Add(readerWithin)) // fails only on a closed connection, as the write does
	for _, event := range events {
		if _, err := o.w.Write(event.Encode()); err != nil {
			return err
		}
	}
	return o.controller.Flush()
}

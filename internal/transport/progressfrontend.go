package transport

import (
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"brassdale/internal/protocol"
)

// ProgressSettings is the block "front" with the label "progress" of the operator's file.
type ProgressSettings struct {
	Listen    string `hcl:"listen"`             // the frontend's own address
	Cleartext bool   `hcl:"cleartext,optional"` // the address need not be a loopback address
	Upstream  string `hcl:"upstream,optional"`  // how workers are asked to report progress: upstreamLines or upstreamEvents
}

// The values of ProgressSettings.Upstream: JSON lines or server-sent events.
const (
	upstreamLines  = "lines"
	upstreamEvents = "events"
)

// DefaultProgress returns the settings that apply where the operator's file sets none.
func DefaultProgress() ProgressSettings {
	return ProgressSettings{Upstream: upstreamLines}
}

// ProgressFrontend is the frontend that streams the progress of jobs as server-sent events. A job with an idempotency key is not
// tied to a connection: if its client's stream breaks off, the job runs on until its deadline, and a request with the same key
// and a Last-Event-ID resumes the stream.
type ProgressFrontend struct {
	frontend
	settings *ProgressSettings
}

// NewProgressFrontend returns the frontend of a listener. quotas may be nil: then accounts have no quotas.
func NewProgressFrontend(core Core, settings *protocol.LiveSettings, progress *ProgressSettings, listener *Listener, ids *InFlightIDs, idempotencyTable *IdempotencyTable, quotas *AccountQuotas, log *slog.Logger) *ProgressFrontend {
	return &ProgressFrontend{
		frontend: frontend{core: core, settings: settings, listener: listener, ids: ids, idempotencyTable: idempotencyTable, quotas: quotas, log: log},
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
	if f.relayToPeer(w, r, job, relayEventStream) {
		return
	}
	stream, started, ok := f.joinOrStart(w, r, job, relayEventStream, lastEventID != "", true)
	if !ok {
		return
	}
	if started {
		f.idempotencyTable.setRequestID(stream, f.core.Submit(coreRequest(job, stream)))
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

// errBadLastEventID rejects a Last-Event-ID that cannot be the id of an event.
var errBadLastEventID = &protocol.RequestError{Status: http.StatusBadRequest, Reason: "Last-Event-ID is not one of ours"}

// eventsSeen returns how many events a client has seen, by its Last-Event-ID, which is empty if the client resumes no stream.
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

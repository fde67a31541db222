package transport

import (
	"errors"
	"net/http"

	"brassdale/internal/protocol"
	"brassdale/internal/routing"
)

// The reasons why a frontend rejects a valid request, as logged. The client gets 503 and may submit the job again.
const (
	rejectedClientConnLimit = "connection limit"                      // jobs use all connections; this connection is from the reserve
	rejectedBodyMemory      = "body memory limit"                     // request bodies use up the memory for them
	rejectedTableFull       = "idempotency table full"                // the table cannot add another key
	rejectedStreamLimit     = "stream limit of the connection"        // the connection has used up its share of the listener's streams
	rejectedConnClosing     = "connection closing"                    // the connection is closed, so that no answer could be written
	rejectedAccountQuota    = "account quota"                         // the account has used up its share of the open jobs
	rejectedPeerSilent      = "peer process does not answer"          // it may run a job with the same id or key
	rejectedAtShutdown      = "last free connections during shutdown" // reserved for clients that could open no other connection
)

// errIDInUse rejects a request that has the same id as another request in flight.
var errIDInUse = &protocol.RequestError{Status: http.StatusConflict, Reason: "Req-Id is of a request that is open"}

// respondNotReserved answers a request whose id or key could not be reserved, by the error of InFlightIDs.reserveEverywhere or
// IdempotencyTable.reserveJob.
func (f *frontend) respondNotReserved(w http.ResponseWriter, r *http.Request, job *protocol.Job, err error) {
	if errors.Is(err, errPeerSilent) || errors.Is(err, errStartsAtSuccessor) {
		f.reject(w, r, job.ClassName, rejectedPeerSilent)
		return
	}
	f.respondInvalid(w, r, err)
}

// closeAfterAnswer closes the connection after the current answer. Over HTTP/2 the other streams run to their end, and new
// requests must use another connection.
func closeAfterAnswer(w http.ResponseWriter) { w.Header().Set("Connection", "close") }

// closeAfterInvalidRequest closes the connection after the answer to a request that is not read to its end. Over HTTP/2 it does
// nothing, since other streams are not affected.
func closeAfterInvalidRequest(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor < 2 {
		closeAfterAnswer(w)
	}
}

// rejectAndClose rejects a request as reject does, and frees its connection.
func (f *frontend) rejectAndClose(w http.ResponseWriter, r *http.Request, class, reason string) {
	closeAfterInvalidRequest(w, r)
	f.reject(w, r, class, reason)
}

// reject answers a request with 503 before the core has seen it, so that its job has not run.
func (f *frontend) reject(w http.ResponseWriter, r *http.Request, class, reason string) {
	f.log.Warn("request rejected", "reason", reason, "id", r.Header.Get("Req-Id"))
	f.core.Counters().CountAnsweredByFrontend(class, routing.Rejected)
	defer withWriteTimeout(w, r)()
	writeAnswer(w, routing.Answer{Verdict: routing.Rejected, RetryAfter: f.settings.Current().Limits.MaxRetryAfter.Duration()})
}

// respondInvalid answers a request that has no valid job with the status of err if it is a *protocol.RequestError, else with 400.
func (f *frontend) respondInvalid(w http.ResponseWriter, r *http.Request, err error) {
	status := http.StatusBadRequest
	if invalid := (*protocol.RequestError)(nil); errors.As(err, &invalid) {
		status = invalid.Status
	}
	if status == http.StatusMethodNotAllowed {
		w.Header().Set("Allow", http.MethodPost)
	}
	closeAfterInvalidRequest(w, r)
	defer withWriteTimeout(w, r)()
	f.log.Debug("invalid request", "status", status, "err", err, "id", r.Header.Get("Req-Id"))
	http.Error(w, err.Error(), status)
}

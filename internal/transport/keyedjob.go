package transport

import (
	"errors"
	"net/http"
	"time"

	"brassdale/internal/decisions/idempotency"
	"brassdale/internal/protocol"
	"brassdale/internal/routing"
)

// errUnknownKey rejects a reader that resumes a job which is not in the table: another dispatcher knows it, or this one did
// before a restart. The job may run, or have run, elsewhere, so it must not be started here.
var errUnknownKey = &protocol.RequestError{Status: http.StatusBadGateway, Reason: "the job of this Idempotency-Key is not known here; nothing was started"}

// errKeyMismatch rejects a key that was used for another path, account or body.
var errKeyMismatch = &protocol.RequestError{Status: http.StatusUnprocessableEntity, Reason: "Idempotency-Key was used for another job"}

// errStartsAtSuccessor says that a successor began to serve while a request with a key was handled, and starts the key.
var errStartsAtSuccessor = errors.New("the successor starts the job of this Idempotency-Key")

// joinOrStart returns the job of a request's idempotency key, with the request as one of its readers. It is the known job or a new
// one. If it is new, started is true and the caller must submit it. If ok is false, the request was rejected and has its answer.
// resumes says that the client has seen events of the job; runsWithoutReaders says that the job goes on without readers.
// relayMode is the value of relayModeHeader if the request is relayed to a successor.
// joinOrStart blocks while it asks a predecessor process whether the request id is in use there.
func (f *frontend) joinOrStart(w http.ResponseWriter, r *http.Request, job *protocol.Job, relayMode string, resumes, runsWithoutReaders bool) (stream *jobStream, started, ok bool) {
	stream, decision, err := f.idempotencyTable.reserveJob(job, resumes, runsWithoutReaders)
	if errors.Is(err, errStartsAtSuccessor) {
		if f.relayToPeer(w, r, job, relayMode) {
			return nil, false, false
		}
		stream, decision, err = f.idempotencyTable.reserveJob(job, resumes, runsWithoutReaders) // the successor has ended meanwhile
	}
	if err == nil && decision == idempotency.Start {
		err = f.idempotencyTable.inFlightIDs.confirmWithPredecessor(job.ID)
		if err != nil {
			stream.finish(routing.Answer{Verdict: routing.Rejected}) // for requests that joined meanwhile: the job never ran
			stream.recordEnd()
		}
	}
	if err != nil {
		f.respondNotReserved(w, r, job, err)
		return nil, false, false
	}
	switch decision {
	case idempotency.TableFull:
		f.rejectAndClose(w, r, job.ClassName, rejectedTableFull)
	case idempotency.UnknownKey:
		f.respondInvalid(w, r, errUnknownKey)
	case idempotency.KeyMismatch:
		f.respondInvalid(w, r, errKeyMismatch)
	default:
		return stream, decision == idempotency.Start, true
	}
	return nil, false, false
}

// abandonJob records that a reader left before the job's end, and cancels the job if it may not run without readers.
func (f *frontend) abandonJob(stream *jobStream) {
	id, abandon := f.idempotencyTable.removeReader(stream)
	if !abandon {
		return
	}
	f.core.ClientLeft(id)
	f.idempotencyTable.remove(stream)
	stream.releaseID()
}

// serveKeyedJob answers a request that has an idempotency key with the final answer of the key's job, as a single response. It
// returns when the request is answered or its client has left.
func (f *frontend) serveKeyedJob(w http.ResponseWriter, r *http.Request, job *protocol.Job) {
	if f.relayToPeer(w, r, job, relaySingleResponse) {
		return
	}
	stream, started, ok := f.joinOrStart(w, r, job, relaySingleResponse, false, false)
	if !ok {
		return
	}
	if started {
		f.idempotencyTable.setRequestID(stream, f.core.Submit(coreRequest(job, stream)))
		f.respondWhenEnded(w, r, stream, nil) // the core answers by this request's deadline
		return
	}
	if err := f.ids.reserveEverywhere(job.ID); err != nil { // this fails also if the job that was joined has the same id
		f.abandonJob(stream)
		f.respondNotReserved(w, r, job, err)
		return
	}
	defer f.ids.releaseEverywhere(job.ID)
	timer := time.NewTimer(time.Until(job.Deadline)) // a request that joined may have an earlier deadline than the job
	defer timer.Stop()
	f.respondWhenEnded(w, r, stream, timer.C)
}

// respondWhenEnded responds when the job has ended, the client has left, or deadline delivers a value (nil for no deadline).
func (f *frontend) respondWhenEnded(w http.ResponseWriter, r *http.Request, stream *jobStream, deadline <-chan time.Time) {
	for {
		_, answer, changed, _ := stream.eventsAfter(0)
		if answer != nil {
			f.respond(w, r, *answer)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			f.abandonJob(stream)
			f.respondToDepartedClient(w, r)
			return
		case <-deadline:
			f.abandonJob(stream)
			f.respond(w, r, routing.Answer{Verdict: routing.Failed, DeadlinePassed: true})
			return
		}
	}
}

package transport

import (
	"net/http"
	"time"

	"brassdale/internal/protocol"
	"brassdale/internal/routing"
)

// admission records what a request has reserved. The goroutine that serves the request owns it.
type admission struct {
	listener     *Listener
	request      *http.Request
	bodyBytes    int64  // reserved from the listener's memory for bodies
	hasOpenJob   bool   // a job was recorded on the connection
	releaseQuota func() // nil if no quota was taken
}

// release releases everything that was reserved. It must be called once, after the answer was written.
func (a *admission) release() {
	if a.releaseQuota != nil {
		a.releaseQuota()
	}
	if a.hasOpenJob {
		releaseJob(a.request)
	}
	a.listener.releaseBody(a.bodyBytes)
}

// shrinkBody releases the bytes that were reserved beyond the body's size. There are some if the size was not declared.
func (a *admission) shrinkBody(size int64) {
	if size < a.bodyBytes {
		a.listener.releaseBody(a.bodyBytes - size)
		a.bodyBytes = size
	}
}

// admit reads a request and reserves what its job needs. If job is nil, the request has been answered: it is a health check, is
// invalid, or is rejected because of a limit. Beyond the limits this process would run out of descriptors or memory and lose all
// jobs in flight. done must be called when the request is answered. admit blocks until the request is read, for
// requestReadTimeout at most.
func (f *frontend) admit(w http.ResponseWriter, r *http.Request) (job *protocol.Job, done func()) {
	settings := f.settings.Current() // the job keeps the settings that it began with
	f.limitConnection(w, r, settings)
	if isHealthCheck(r) {
		f.serveHealth(w, r)
		return nil, func() {}
	}
	size := maxBodySize(r)
	if !f.listener.reserveBody(size) {
		f.rejectAndClose(w, r, protocol.ClassOf(r), rejectedBodyMemory)
		return nil, func() {}
	}
	reserved := &admission{listener: f.listener, request: r, bodyBytes: size}
	job = f.readAuthorizedJob(w, r, settings)
	if job == nil {
		return nil, reserved.release
	}
	reserved.shrinkBody(int64(len(job.Body)))
	if !f.reserveCapacity(w, r, job, reserved) {
		return nil, reserved.release
	}
	return job, reserved.release
}

// limitConnection limits how long a connection may be used: for the answer to this request, and for further requests.
func (f *frontend) limitConnection(w http.ResponseWriter, r *http.Request, settings *protocol.Settings) {
	if !r.ProtoAtLeast(1, 1) || len(r.TransferEncoding) > 0 {
		closeAfterAnswer(w) // requestFraming does not track such a request; only net/http knows where the next one begins
	}
	if r.ProtoMajor < 2 {
		// A client that never reads its answer must not occupy a connection and a goroutine forever. Over HTTP/2 see withWriteTimeout.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(settings.LongestDeadline() + clientReadTimeout)) // fails only on a closed connection
	}
	if f.successorServes.Load() || r.ProtoMajor >= 2 && f.shutdownStartedAt.Load() != nil {
		closeAfterAnswer(w)
	}
}

// maxBodySize returns how many bytes of a request's body may be read: the declared size, but at most protocol.MaxBodyBytes, where
// reading stops. If no size is declared, it is protocol.MaxBodyBytes.
func maxBodySize(r *http.Request) int64 {
	if r.ContentLength < 0 || r.ContentLength > protocol.MaxBodyBytes {
		return protocol.MaxBodyBytes
	}
	return r.ContentLength
}

// readAuthorizedJob reads a request and checks that its sender may submit the job. It returns nil if it has answered with an error.
func (f *frontend) readAuthorizedJob(w http.ResponseWriter, r *http.Request, settings *protocol.Settings) *protocol.Job {
	job, err := readJob(w, r, settings)
	if err == nil && f.authorize != nil {
		err = f.authorize(r, job)
	}
	if err == nil {
		return job
	}
	f.respondInvalid(w, r, err)
	if class := protocol.ClassOf(r); !settings.HasClass(class) {
		f.core.Counters().CountAnsweredByFrontend(class, routing.Failed) // counts only if the class was in the settings before a reload
	}
	return nil
}

// readJob reads and decodes a request, within requestReadTimeout. It moves the job's deadline earlier by the time for which the request was
// unread.
func readJob(w http.ResponseWriter, r *http.Request, settings *protocol.Settings) (*protocol.Job, error) {
	if r.ProtoMajor >= 2 {
		return readMultiplexedJob(w, r, settings)
	}
	now := time.Now()
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(requestReadDeadline(r)) // fails only on a closed connection, on which the read fails too
	job, err := protocol.DecodeInbound(r, settings, now)
	if err == nil {
		markServing(r)
		_ = controller.SetReadDeadline(time.Time{}) // the server goes on reading to notice that the client leaves
		job.Deadline = job.Deadline.Add(-unreadDuration(r, now))
	}
	return job, err
}

// readMultiplexedJob is readJob over HTTP/2.
func readMultiplexedJob(w http.ResponseWriter, r *http.Request, settings *protocol.Settings) (*protocol.Job, error) {
	now := time.Now()
	unread := unreadDuration(r, now)
	defer withTimeout(time.Until(requestReadDeadline(r)), http.NewResponseController(w).SetReadDeadline)()
	job, err := protocol.DecodeInbound(r, settings, now)
	if err == nil {
		job.Deadline = job.Deadline.Add(-unread)
	}
	return job, err
}

// reserveCapacity reserves what a job needs besides its body: a connection, one of the connection's streams and a part of the account's
// quota. It returns false if it has rejected the request.
func (f *frontend) reserveCapacity(w http.ResponseWriter, r *http.Request, job *protocol.Job, reserved *admission) bool {
	if f.listener.Full() {
		f.rejectAndClose(w, r, job.ClassName, rejectedClientConnLimit)
		return false
	}
	if f.nearlyFullAtShutdown() {
		f.reject(w, r, job.ClassName, rejectedAtShutdown)
		return false
	}
	if rejected := admitJob(r); rejected != "" {
		f.reject(w, r, job.ClassName, rejected)
		return false
	}
	reserved.hasOpenJob = true
	releaseQuota, ok := f.quotas.admit(job.Account)
	if !ok {
		f.reject(w, r, job.ClassName, rejectedAccountQuota)
		return false
	}
	reserved.releaseQuota = releaseQuota
	return true
}

// newConnsAfterSIGTERM is the minimum time after SIGTERM for which the platform still sends new connections.
const newConnsAfterSIGTERM = 250 * time.Millisecond

// nearlyFullAtShutdown reports whether one more job would take one of the last free connections during a shutdown, when new
// connections no longer arrive. If no connection were free, clients could not reach this process, though it can still answer.
func (f *frontend) nearlyFullAtShutdown() bool {
	since := f.shutdownStartedAt.Load()
	return since != nil && !f.successorServes.Load() && time.Since(*since) > newConnsAfterSIGTERM && f.listener.NearlyFull()
}

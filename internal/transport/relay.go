package transport

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
	"sync"
	"time"

	"brassdale/internal/protocol"
)

const (
	relayModeHeader     = "Brassdale-Relayed-As" // how the client of a relayed request wants its answer
	relaySingleResponse = "whole"                // as a single response
	relayEventStream    = ""                     // as a stream of events, as is any other value
)

// relayMargin is how long after its deadline a relayed request may be answered. The other process answers it by its deadline.
const relayMargin = 20 * time.Millisecond

// errRelayOverdue answers a relayed request that the other process, which is silent, has not answered by its deadline.
var errRelayOverdue = &protocol.RequestError{Status: http.StatusGatewayTimeout, Reason: "the process with the job of this Idempotency-Key does not answer"}

// peerTable is the idempotency table of the other process during a handover. The job of a key is in only one of the two
// tables. If a request with the key reaches the process without the job, the request is relayed through a Unix socket. Jobs that
// have ended at the predecessor are sent to the successor.
type peerTable struct {
	process       *PeerProcess
	isPredecessor bool
	proxy         *httputil.ReverseProxy
}

// newPeerTable returns the table of a process that accepts relayed requests on the Unix socket at path.
func newPeerTable(process *PeerProcess, path string, isPredecessor bool) *peerTable {
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", path)
	}
	return &peerTable{process: process, isPredecessor: isPredecessor, proxy: &httputil.ReverseProxy{
		Rewrite:       func(r *httputil.ProxyRequest) { r.SetURL(&url.URL{Scheme: "http", Host: r.In.Host}) },
		Transport:     &http.Transport{DialContext: dial, DisableKeepAlives: true},
		FlushInterval: -1, // each event at once
		ErrorHandler: func(w http.ResponseWriter, r *http.Request, _ error) {
			if errors.Is(context.Cause(r.Context()), errRelayOverdue) {
				http.Error(w, errRelayOverdue.Reason, errRelayOverdue.Status)
				return
			}
			http.Error(w, errUnknownKey.Reason, errUnknownKey.Status)
		},
	}}
}

// SetPeer makes the table share its jobs with another process, which accepts relayed requests on the Unix socket at path. With a
// nil process or an empty path, it ends the sharing. If the other process is the successor, the jobs that have ended here are
// sent to it.
func (t *IdempotencyTable) SetPeer(process *PeerProcess, path string, isPredecessor bool) {
	var peer *peerTable
	if process != nil && path != "" {
		peer = newPeerTable(process, path, isPredecessor)
	}
	t.mu.Lock()
	t.peer = peer
	var streams []*jobStream
	for _, stream := range t.jobs {
		streams = append(streams, stream)
	}
	t.mu.Unlock()
	for _, stream := range streams {
		t.sendToSuccessor(stream)
	}
}

// peerWithJob returns the other process's table if a request with the key must be relayed to it, else nil. A predecessor gets the
// request if it says that it knows the key. A successor gets every request whose key is not known here. peerWithJob may wait for
// a predecessor, for peerAnswerTimeout at most. If the predecessor is there and does not answer, the error is errPeerSilent.
func (t *IdempotencyTable) peerWithJob(key string) (*peerTable, error) {
	t.mu.Lock()
	peer, known := t.peer, t.knowsLocked(key)
	t.mu.Unlock()
	switch {
	case peer == nil || known || key == "":
		return nil, nil
	case !peer.isPredecessor:
		return peer, nil
	}
	yes, err := peer.process.Ask(protocol.HandoverMessage{Key: key}, time.Now().Add(peerAnswerTimeout))
	switch {
	case errors.Is(err, errPeerGone): // what it has sent before its end is in this table
		return nil, nil
	case err != nil:
		return nil, err
	case yes:
		return peer, nil
	}
	return nil, nil
}

// relayToPeer relays a request to the other process if peerWithJob returns that process, which then answers the request. It reports
// whether the request has its answer: it was relayed, or was rejected since the other process may know the key and does not answer.
// mode is the value of relayModeHeader.
func (f *frontend) relayToPeer(w http.ResponseWriter, r *http.Request, job *protocol.Job, mode string) bool {
	peer, err := f.idempotencyTable.peerWithJob(job.IdempotencyKey)
	if err != nil {
		f.reject(w, r, job.ClassName, rejectedPeerSilent)
		return true
	}
	if peer == nil {
		return false
	}
	r.Body, r.ContentLength, r.TransferEncoding = io.NopCloser(bytes.NewReader(job.Body)), int64(len(job.Body)), nil // admit has read the body
	r.Header.Set("Req-Deadline-Ms", strconv.FormatInt(max(time.Until(job.Deadline).Milliseconds(), 1), 10))
	r.Header.Set(relayModeHeader, mode)
	ctx, cancel := context.WithDeadlineCause(r.Context(), job.Deadline.Add(relayMargin), errRelayOverdue)
	defer cancel()
	peer.proxy.ServeHTTP(w, r.WithContext(ctx))
	return true
}

// RelayHandler handles the requests that the other process relays.
type RelayHandler struct {
	Jobs     *JobFrontend
	Progress *ProgressFrontend // nil if that frontend is off
}

// ServeHTTP implements http.Handler.
func (h RelayHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.Progress != nil && r.Header.Get(relayModeHeader) != relaySingleResponse {
		h.Progress.ServeHTTP(w, r)
		return
	}
	h.Jobs.ServeHTTP(w, r)
}

// sendToSuccessor sends an ended job to the successor, if there is one. It does not block.
func (t *IdempotencyTable) sendToSuccessor(stream *jobStream) {
	t.mu.Lock()
	peer := t.peer
	t.mu.Unlock()
	if peer == nil || peer.isPredecessor || stream.key == "" {
		return
	}
	stream.mu.Lock()
	defer stream.mu.Unlock()
	if stream.finalAnswer == nil {
		return
	}
	peer.process.NotifyBulk(protocol.HandoverMessage{Remembered: &protocol.RememberedJob{
		Key:      stream.key,
		ID:       stream.id,
		Digest:   stream.digest[:],
		Events:   stream.events,
		Answer:   *stream.finalAnswer,
		ForgetAt: stream.forgetAt,
		ForgetIn: time.Until(stream.forgetAt),
		Started:  stream.started,
	}})
}

// Remember adds an ended job of the predecessor for the rest of its window. It is dropped if its key is known here, or if the
// table is full.
func (t *IdempotencyTable) Remember(job *protocol.RememberedJob) {
	forgetAt := job.ForgottenAt(time.Now())
	timeLeft := time.Until(forgetAt)
	if timeLeft <= 0 || len(job.Digest) != sha256.Size {
		return
	}
	stream := &jobStream{
		table:       t,
		key:         job.Key,
		id:          job.ID,
		digest:      [sha256.Size]byte(job.Digest),
		releaseID:   sync.OnceFunc(func() {}),
		recordEnd:   func() {},
		events:      job.Events,
		started:     job.Started,
		finalAnswer: &job.Answer,
		forgetAt:    forgetAt,
		changed:     make(chan struct{}),
	}
	if t.addRemembered(stream) {
		t.forgetAfter(stream, timeLeft)
	}
}

// addRemembered adds an ended job, if its key is free and there is capacity.
func (t *IdempotencyTable) addRemembered(stream *jobStream) bool {
	size := int64(0)
	for _, event := range stream.events {
		size += int64(len(event.Data)) + eventOverheadBytes
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.jobs[stream.key] != nil || len(t.jobs) >= t.settings.Jobs || t.retainedBytes.Load()+size > t.maxRetainedBytes() {
		return false
	}
	stream.retainedBytes.Store(size)
	t.retainedBytes.Add(size)
	t.jobs[stream.key] = stream
	return true
}

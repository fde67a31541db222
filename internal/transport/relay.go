package transport

import (
	"bytes"
	"context"
	"crypto/sha256"
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

// The header by which one process tells the other how a relayed reader wants its answer.
const (
	relayModeHeader = "Brassdale-Relayed-As"
	relayWhole      = "whole"
)

// peerTable is the other process's table of keys. A job is at one of both: who comes to the other one for it is
// relayed, through a Unix socket, and what has ended at the predecessor goes to the successor's table.
type peerTable struct {
	process       *PeerProcess
	isPredecessor bool // it is the predecessor
	proxy         *httputil.ReverseProxy
}

// RunBeside goes on beside another process, whose front takes relayed readers at a path; with none, alone. older tells
// whether that one is the predecessor; else it is handed what is remembered here.
func (f *IdempotencyTable) RunBeside(sibling *PeerProcess, path string, older bool) {
	var p *peerTable
	if sibling != nil && path != "" {
		dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "unix", path)
		}
		p = &peerTable{process: sibling, isPredecessor: older, proxy: &httputil.ReverseProxy{
			Rewrite:       func(r *httputil.ProxyRequest) { r.SetURL(&url.URL{Scheme: "http", Host: r.In.Host}) },
			Transport:     &http.Transport{DialContext: dial, DisableKeepAlives: true},
			FlushInterval: -1, // each event at once
			ErrorHandler: func(w http.ResponseWriter, _ *http.Request, _ error) {
				http.Error(w, errUnknownKey.Reason, errUnknownKey.Status)
			},
		}}
	}
	f.mu.Lock()
	f.peer = p
	var known []*jobStream
	for _, j := range f.jobs {
		known = append(known, j)
	}
	f.mu.Unlock()
	for _, j := range known {
		f.sendToSuccessor(j)
	}
}

// peerWithJob gives the other process's front if that one has the job of a key: the predecessor if it knows the key,
// the successor for all keys that are not known here.
func (f *IdempotencyTable) peerWithJob(key string) *peerTable {
	f.mu.Lock()
	p, known := f.peer, f.jobs[key] != nil
	f.mu.Unlock()
	switch {
	case p == nil || known || key == "":
		return nil
	case !p.isPredecessor:
		return p
	}
	if yes, heard := p.process.Ask(protocol.HandoverMessage{Key: key}, time.Now().Add(peerAnswerTimeout)); heard && yes {
		return p
	}
	return nil
}

// relayToPeer has the other process answer a request whose job it has, and tells whether that is so.
func (f *front) relayToPeer(w http.ResponseWriter, r *http.Request, job *protocol.Job, as string) bool {
	p := f.keys.peerWithJob(job.IdempotencyKey)
	if p == nil {
		return false
	}
	r.Body, r.ContentLength, r.TransferEncoding = io.NopCloser(bytes.NewReader(job.Body)), int64(len(job.Body)), nil
	r.Header.Set("Req-Deadline-Ms", strconv.FormatInt(max(time.Until(job.Deadline).Milliseconds(), 1), 10))
	r.Header.Set(relayModeHeader, as)
	p.proxy.ServeHTTP(w, r)
	return true
}

// RelayHandler is the handler for the readers that the other process relays. Both ways of answering go by one table.
type RelayHandler struct {
	Whole  *JobFrontend
	Stream *ProgressFrontend // nil where that front is off
}

func (f RelayHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.Stream != nil && r.Header.Get(relayModeHeader) != relayWhole {
		f.Stream.ServeHTTP(w, r)
		return
	}
	f.Whole.ServeHTTP(w, r)
}

// sendToSuccessor gives an ended job to the successor.
func (f *IdempotencyTable) sendToSuccessor(j *jobStream) {
	f.mu.Lock()
	p := f.peer
	f.mu.Unlock()
	if p == nil || p.isPredecessor || j.key == "" {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.finalAnswer != nil {
		p.process.Notify(protocol.HandoverMessage{Remembered: &protocol.RememberedJob{Key: j.key, ID: j.id, Digest: j.digest[:],
			Events: j.events, Answer: *j.finalAnswer, ForgetAt: j.forgetAt, ForgetIn: time.Until(j.forgetAt), Started: j.started}})
	}
}

// Remember takes an ended job over from the predecessor.
func (f *IdempotencyTable) Remember(r *protocol.RememberedJob) {
	forget := r.ForgottenAt(time.Now())
	left := time.Until(forget)
	if left <= 0 || len(r.Digest) != sha256.Size {
		return
	}
	j := &jobStream{table: f, key: r.Key, id: r.ID, digest: [sha256.Size]byte(r.Digest), releaseID: sync.OnceFunc(func() {}),
		events: r.Events, started: r.Started, finalAnswer: &r.Answer, forgetAt: forget, changed: make(chan struct{})}
	size := int64(0)
	for _, ev := range r.Events {
		size += int64(len(ev.Data)) + eventOverheadBytes
	}
	f.mu.Lock()
	if f.jobs[r.Key] != nil || len(f.jobs) >= f.settings.Jobs || f.retainedBytes.Load()+size > int64(f.settings.KeepMB)<<20 {
		f.mu.Unlock()
		return
	}
	j.retainedBytes.Store(size)
	f.retainedBytes.Add(size)
	f.jobs[r.Key] = j
	f.mu.Unlock()
	f.forgetAfter(j, left)
}

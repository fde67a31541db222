// Package http2 is the front for clients that speak HTTP/2, on an address of its own. What a job is, how it is decoded,
// admitted and answered is transport.Inbound's, as for HTTP/1.1; net/http's server speaks the protocol. This package
// adds what only HTTP/2 needs: each connection's frames are followed by their heads, so that the module
// internal/decisions/streams can end it before a flood reaches net/http; GOAWAY when clients are to go elsewhere;
// TLS, whose files are replaced while the program runs; and certificates that stand for accounts.
package http2

import (
	"crypto/tls"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"brassdale/internal/decisions/http2limits"
	"brassdale/internal/protocol"
	"brassdale/internal/transport"
)

// Settings are the operator's, in a block front "http2".
type Settings struct {
	Listen    string   `hcl:"listen"`
	Cleartext bool     `hcl:"cleartext,optional"` // the address may be off loopback without TLS
	Streams   int      `hcl:"streams,optional"`   // concurrent on one connection
	TLS       *TLS     `hcl:"tls,block"`          // without it: cleartext with prior knowledge
	Clients   []Client `hcl:"client,block"`       // who may hand in whose jobs, where tls has a client_ca
}

// Default holds what an operator leaves out.
func Default() Settings { return Settings{Streams: 128} }

const (
	mostHeaders  = 8 << 10  // bytes of a request's header list
	streamWindow = 64 << 10 // bytes that a client may send ahead on a stream: a whole body
	connWindow   = 256 << 10
)

// Frontend is the front.
type Frontend struct {
	*transport.JobFrontend
	log  *slog.Logger
	gate *transport.Listener

	now atomic.Pointer[inForce]

	mu        sync.Mutex
	conns     map[*conn]struct{}
	leaving   bool
	warning   *time.Timer // of the certificate's end; nil where there is none to come
	calms     map[http2limits.CloseReason]int
	forbidden int
}

// inForce is what a SIGHUP may replace, whole.
type inForce struct {
	keys   *keys // nil in clear
	grants grants
	vets   bool // clients must show certificates
}

// New makes the front behind a multiplexed gate. Its files are read: an error names the one at fault.
func New(s *Settings, core transport.Core, p *protocol.LiveSettings, gate *transport.Listener, ids *transport.InFlightIDs, keys *transport.IdempotencyTable, accounts *transport.AccountQuotas, log *slog.Logger) (*Frontend, error) {
	f := &Frontend{log: log, gate: gate, conns: map[*conn]struct{}{}, calms: map[http2limits.CloseReason]int{}}
	f.JobFrontend = transport.NewJobFrontend(core, p, gate, ids, keys, accounts, f.vet, log)
	put, err := f.Prepare(s)
	if err != nil {
		return nil, err
	}
	put()
	return f, nil
}

// Prepare reads the files of new settings and gives what puts them in force, for the connections that come from then on;
// certificates' grants hold for all from then on. After an error all is as it was.
func (f *Frontend) Prepare(s *Settings) (put func(), err error) {
	next := &inForce{grants: grantsOf(s.Clients)}
	if s.TLS != nil {
		if next.keys, err = s.TLS.load(); err != nil {
			return nil, err
		}
		next.vets = s.TLS.ClientCA != ""
	}
	if old := f.now.Load(); old != nil && (old.keys == nil) != (next.keys == nil) {
		return nil, errNoKeys
	}
	return func() {
		f.now.Store(next)
		f.watch(next.keys)
	}, nil
}

// watch warns once of a certificate's end, when it is near.
func (f *Frontend) watch(k *keys) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.warning != nil {
		f.warning.Stop()
		f.warning = nil
	}
	if k == nil {
		return
	}
	f.warning = time.AfterFunc(max(time.Until(k.ends)-soon, 0), func() {
		f.log.Warn("certificate ends", "front", "http2", "at", k.ends.UTC().Format(time.RFC3339), "ended", time.Now().After(k.ends))
	})
}

// Server makes the front's server.
func (f *Frontend) Server(s *Settings) *http.Server {
	server := transport.Server(f, f.log)
	server.MaxHeaderBytes = mostHeaders
	server.Protocols = &http.Protocols{}
	server.Protocols.SetUnencryptedHTTP2(true) // TLS, where there is any, has been taken off below
	server.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: s.Streams, MaxDecoderHeaderTableSize: 4 << 10, MaxEncoderHeaderTableSize: 4 << 10,
		MaxReadFrameSize: 16 << 10, MaxReceiveBufferPerStream: streamWindow, MaxReceiveBufferPerConnection: connWindow}
	return server
}

// Listener gives the gate's connections to the server, followed.
func (f *Frontend) Listener() net.Listener { return listener{f.gate, f} }

type listener struct {
	*transport.Listener
	front *Frontend
}

func (l listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	var config *tls.Config
	if k := l.front.now.Load().keys; k != nil {
		config = k.config
	}
	c := newConn(l.front, accepted.(*transport.Conn), config)
	l.front.mu.Lock()
	l.front.conns[c] = struct{}{}
	leaving := l.front.leaving
	l.front.mu.Unlock()
	if leaving {
		c.out.put(goAwayFrame(lastOfAll, codeNone, "")) // goes out behind net/http's first frame
	}
	return c, nil
}

func (f *Frontend) forget(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, c)
}

// vet tells whether a client may hand in a job.
func (f *Frontend) vet(r *http.Request, job *protocol.Job) error {
	now := f.now.Load()
	if !now.vets {
		return nil
	}
	if c, ok := transport.ConnOf(r).(*conn); ok && c.tls != nil && now.grants.allow(c.tls.ConnectionState(), job.Account) {
		return nil
	}
	f.mu.Lock()
	f.forbidden++
	f.mu.Unlock()
	f.log.Debug("client may not hand in this account's jobs", "id", job.ID, "account", job.Account)
	return &protocol.RequestError{Status: http.StatusForbidden, Reason: "the certificate is not granted the account"}
}

// calmed notes a connection that was ended by its budgets.
func (f *Frontend) calmed(why http2limits.CloseReason, c *transport.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calms[why]++
	f.log.Debug("connection ended", "front", "http2", "why", string(why), "client", c.RemoteAddr().String())
}

// StartShutdown turns the ready page to 503 and tells all clients to come no more: what they have sent until they hear it is
// still served.
func (f *Frontend) StartShutdown() {
	f.JobFrontend.StartShutdown()
	f.goAway(true)
}

// PassToSuccessor has clients go to a successor at the same address.
func (f *Frontend) PassToSuccessor(on bool) {
	f.JobFrontend.PassToSuccessor(on)
	f.goAway(on)
}

func (f *Frontend) goAway(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = on
	if on {
		for c := range f.conns {
			c.out.put(goAwayFrame(lastOfAll, codeNone, ""))
		}
	}
}

// Metrics gives the front's numbers, a line each.
func (f *Frontend) Metrics() string {
	var b strings.Builder
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(&b, "front.http2.connections=%d\nfront.http2.streams=%d\nfront.http2.forbidden=%d\n", len(f.conns), f.gate.OpenStreams(), f.forbidden)
	for _, why := range []http2limits.CloseReason{http2limits.TooManyTinyDataFrames, http2limits.HeaderTooLong, http2limits.IncompleteInTime, http2limits.TooManyPings, http2limits.TooManyPriorities,
		http2limits.TooManyResets, http2limits.TooManySettings, http2limits.TooManyUnknownFrames, http2limits.TooManyWindowUpdates} {
		fmt.Fprintf(&b, "front.http2.ended.%s=%d\n", why, f.calms[why])
	}
	if k := f.now.Load().keys; k != nil {
		fmt.Fprintf(&b, "front.http2.certificate_days=%d\n", int(time.Until(k.ends).Hours()/24))
	}
	return b.String()
}

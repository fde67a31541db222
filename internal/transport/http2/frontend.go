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
	maxHeaderBytes    = 8 << 10  // bytes of a request's header list
	streamWindowBytes = 64 << 10 // bytes that a client may send ahead on a stream: a whole body
	connWindowBytes   = 256 << 10
)

// Frontend is the front.
type Frontend struct {
	*transport.JobFrontend
	log      *slog.Logger
	listener *transport.Listener

	current atomic.Pointer[reloadable]

	mu            sync.Mutex
	conns         map[*conn]struct{}
	goingAway     bool
	expiryTimer   *time.Timer // of the certificate's end; nil where there is none to come
	floodCloses   map[http2limits.CloseReason]int
	forbiddenJobs int
}

// reloadable is what a SIGHUP may replace, whole.
type reloadable struct {
	credentials               *credentials // nil in clear
	grants                    grants
	requiresClientCertificate bool // clients must show certificates
}

// New makes the front behind a multiplexed gate. Its files are read: an error names the one at fault.
func New(s *Settings, core transport.Core, p *protocol.LiveSettings, gate *transport.Listener, ids *transport.InFlightIDs, keys *transport.IdempotencyTable, accounts *transport.AccountQuotas, log *slog.Logger) (*Frontend, error) {
	f := &Frontend{log: log, listener: gate, conns: map[*conn]struct{}{}, floodCloses: map[http2limits.CloseReason]int{}}
	f.JobFrontend = transport.NewJobFrontend(core, p, gate, ids, keys, accounts, f.authorize, log)
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
	next := &reloadable{grants: newGrants(s.Clients)}
	if s.TLS != nil {
		if next.credentials, err = s.TLS.load(); err != nil {
			return nil, err
		}
		next.requiresClientCertificate = s.TLS.ClientCA != ""
	}
	if old := f.current.Load(); old != nil && (old.credentials == nil) != (next.credentials == nil) {
		return nil, errTLSToggled
	}
	return func() {
		f.current.Store(next)
		f.scheduleExpiryWarning(next.credentials)
	}, nil
}

// scheduleExpiryWarning warns once of a certificate's end, when it is near.
func (f *Frontend) scheduleExpiryWarning(k *credentials) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.expiryTimer != nil {
		f.expiryTimer.Stop()
		f.expiryTimer = nil
	}
	if k == nil {
		return
	}
	f.expiryTimer = time.AfterFunc(max(time.Until(k.expiresAt)-expiryWarningPeriod, 0), func() {
		f.log.Warn("certificate ends", "front", "http2", "at", k.expiresAt.UTC().Format(time.RFC3339), "ended", time.Now().After(k.expiresAt))
	})
}

// Server makes the front's server.
func (f *Frontend) Server(s *Settings) *http.Server {
	server := transport.Server(f, f.log)
	server.MaxHeaderBytes = maxHeaderBytes
	server.Protocols = &http.Protocols{}
	server.Protocols.SetUnencryptedHTTP2(true) // TLS, where there is any, has been taken off below
	server.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: s.Streams, MaxDecoderHeaderTableSize: 4 << 10, MaxEncoderHeaderTableSize: 4 << 10,
		MaxReadFrameSize: 16 << 10, MaxReceiveBufferPerStream: streamWindowBytes, MaxReceiveBufferPerConnection: connWindowBytes}
	return server
}

// Listener gives the gate's connections to the server, followed.
func (f *Frontend) Listener() net.Listener { return frameListener{f.listener, f} }

type frameListener struct {
	*transport.Listener
	frontend *Frontend
}

func (l frameListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	var config *tls.Config
	if k := l.frontend.current.Load().credentials; k != nil {
		config = k.config
	}
	c := newConn(l.frontend, accepted.(*transport.Conn), config)
	l.frontend.mu.Lock()
	l.frontend.conns[c] = struct{}{}
	leaving := l.frontend.goingAway
	l.frontend.mu.Unlock()
	if leaving {
		c.outbound.insertFrame(goAwayFrame(maxStreamID, errCodeNoError, "")) // goes out behind net/http's first frame
	}
	return c, nil
}

func (f *Frontend) removeConn(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, c)
}

// authorize tells whether a client may hand in a job.
func (f *Frontend) authorize(r *http.Request, job *protocol.Job) error {
	now := f.current.Load()
	if !now.requiresClientCertificate {
		return nil
	}
	if c, ok := transport.ConnOf(r).(*conn); ok && c.tls != nil && now.grants.permits(c.tls.ConnectionState(), job.Account) {
		return nil
	}
	f.mu.Lock()
	f.forbiddenJobs++
	f.mu.Unlock()
	f.log.Debug("client may not hand in this account's jobs", "id", job.ID, "account", job.Account)
	return &protocol.RequestError{Status: http.StatusForbidden, Reason: "the certificate is not granted the account"}
}

// recordFloodClose notes a connection that was ended by its budgets.
func (f *Frontend) recordFloodClose(why http2limits.CloseReason, c *transport.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.floodCloses[why]++
	f.log.Debug("connection ended", "front", "http2", "why", string(why), "client", c.RemoteAddr().String())
}

// StartShutdown turns the ready page to 503 and tells all clients to come no more: what they have sent until they hear it is
// still served.
func (f *Frontend) StartShutdown() {
	f.JobFrontend.StartShutdown()
	f.announceGoAway(true)
}

// PassToSuccessor has clients go to a successor at the same address.
func (f *Frontend) PassToSuccessor(on bool) {
	f.JobFrontend.PassToSuccessor(on)
	f.announceGoAway(on)
}

func (f *Frontend) announceGoAway(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.goingAway = on
	if on {
		for c := range f.conns {
			c.outbound.insertFrame(goAwayFrame(maxStreamID, errCodeNoError, ""))
		}
	}
}

// Metrics gives the front's numbers, a line each.
func (f *Frontend) Metrics() string {
	var b strings.Builder
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(&b, "front.http2.connections=%d\nfront.http2.streams=%d\nfront.http2.forbidden=%d\n", len(f.conns), f.listener.OpenStreams(), f.forbiddenJobs)
	for _, why := range []http2limits.CloseReason{http2limits.TooManyTinyDataFrames, http2limits.HeaderTooLong, http2limits.IncompleteInTime, http2limits.TooManyPings, http2limits.TooManyPriorities,
		http2limits.TooManyResets, http2limits.TooManySettings, http2limits.TooManyUnknownFrames, http2limits.TooManyWindowUpdates} {
		fmt.Fprintf(&b, "front.http2.ended.%s=%d\n", why, f.floodCloses[why])
	}
	if k := f.current.Load().credentials; k != nil {
		fmt.Fprintf(&b, "front.http2.certificate_days=%d\n", int(time.Until(k.expiresAt).Hours()/24))
	}
	return b.String()
}

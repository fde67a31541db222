// Package http2 is the frontend for clients that speak HTTP/2, on an address of its own. Jobs are decoded, admitted and answered by
// transport.JobFrontend, as for HTTP/1.1, and net/http's server implements the protocol. This package adds what only HTTP/2 needs:
//
//   - It passes the frame headers of each connection to internal/decisions/http2limits, and terminates the connection before a flood
//     reaches net/http.
//   - It sends GOAWAY when clients are to use another connection.
//   - It terminates TLS, and reloads the TLS files while the program runs.
//   - It grants accounts to client certificates.
package http2

import (
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"brassdale/internal/decisions/http2limits"
	"brassdale/internal/protocol"
	"brassdale/internal/transport"
)

// Settings is the block front "http2" of the operator's file.
type Settings struct {
	Listen    string   `hcl:"listen"`
	Cleartext bool     `hcl:"cleartext,optional"` // without TLS, the address need not be a loopback address
	Streams   int      `hcl:"streams,optional"`   // maximum of concurrent streams on one connection
	TLS       *TLS     `hcl:"tls,block"`          // nil: cleartext with prior knowledge
	Clients   []Client `hcl:"client,block"`       // used only if TLS has a ClientCA
}

// Default returns the settings that are used where the operator's file has none.
func Default() Settings { return Settings{Streams: 128} }

// Frontend is the HTTP/2 frontend. It is safe for concurrent use.
type Frontend struct {
	*transport.JobFrontend
	log         *slog.Logger
	listener    *transport.Listener
	idleTimeout time.Duration // of a connection without requests

	current atomic.Pointer[reloadable] // set by New

	mu            sync.Mutex
	conns         map[*conn]struct{}
	goingAway     bool        // clients are to use another connection
	expiryTimer   *time.Timer // of the warning before the certificate expires; nil in cleartext
	floodCloses   map[http2limits.CloseReason]int
	forbiddenJobs int // rejected with status 403
}

// reloadable is the part of the settings that Prepare replaces as a whole.
type reloadable struct {
	credentials               *credentials // nil in cleartext
	grants                    grants
	requiresClientCertificate bool
}

// New returns the frontend of a multiplexed listener. It reads the files that the settings name; quotas may be nil.
func New(settings *Settings, core transport.Core, live *protocol.LiveSettings, listener *transport.Listener, ids *transport.InFlightIDs, keys *transport.IdempotencyTable, quotas *transport.AccountQuotas, log *slog.Logger) (*Frontend, error) {
	f := &Frontend{log: log, listener: listener, idleTimeout: transport.IdleClientTimeout, conns: map[*conn]struct{}{}, floodCloses: map[http2limits.CloseReason]int{}}
	f.JobFrontend = transport.NewJobFrontend(core, live, listener, ids, keys, quotas, f.authorize, log)
	apply, err := f.Prepare(settings)
	if err != nil {
		return nil, err
	}
	apply()
	return f, nil
}

// Prepare reads the files that new settings name, and returns a function that applies the settings: grants to all connections,
// certificates and CA to connections that are accepted afterwards. If Prepare returns an error, nothing has changed.
func (f *Frontend) Prepare(settings *Settings) (apply func(), err error) {
	next := &reloadable{grants: newGrants(settings.Clients)}
	if settings.TLS != nil {
		if next.credentials, err = settings.TLS.load(); err != nil {
			return nil, err
		}
		next.requiresClientCertificate = settings.TLS.ClientCA != ""
	}
	if old := f.current.Load(); old != nil && (old.credentials == nil) != (next.credentials == nil) {
		return nil, errTLSToggled
	}
	return func() {
		f.current.Store(next)
		f.scheduleExpiryWarning(next.credentials)
	}, nil
}

// expiryWarningPeriod is how long before a certificate expires a warning is logged.
const expiryWarningPeriod = 14 * 24 * time.Hour

// scheduleExpiryWarning schedules one warning, expiryWarningPeriod before the certificate expires. It replaces an earlier schedule.
func (f *Frontend) scheduleExpiryWarning(credentials *credentials) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.expiryTimer != nil {
		f.expiryTimer.Stop()
		f.expiryTimer = nil
	}
	if credentials == nil {
		return
	}
	expiresAt := credentials.expiresAt
	f.expiryTimer = time.AfterFunc(max(time.Until(expiresAt)-expiryWarningPeriod, 0), func() {
		f.log.Warn("certificate expires", "front", "http2", "expires_at", expiresAt.UTC().Format(time.RFC3339), "expired", time.Now().After(expiresAt))
	})
}

const (
	maxHeaderBytes      = 8 << 10   // of a request's header list
	maxHeaderTableBytes = 4 << 10   // of the HPACK dynamic table, in each direction
	maxReadFrameBytes   = 16 << 10  // of a frame's payload
	streamWindowBytes   = 64 << 10  // flow control of a stream; enough for a whole body
	connWindowBytes     = 256 << 10 // flow control of a connection
)

// Server returns the frontend's server, which speaks only cleartext HTTP/2: the connections of Listener terminate TLS.
func (f *Frontend) Server(settings *Settings) *http.Server {
	server := transport.Server(f, f.log)
	server.MaxHeaderBytes = maxHeaderBytes
	server.IdleTimeout = 0 // see conn.closeIfIdle
	server.Protocols = &http.Protocols{}
	server.Protocols.SetUnencryptedHTTP2(true)
	server.HTTP2 = &http.HTTP2Config{
		MaxConcurrentStreams:          settings.Streams,
		MaxDecoderHeaderTableSize:     maxHeaderTableBytes,
		MaxEncoderHeaderTableSize:     maxHeaderTableBytes,
		MaxReadFrameSize:              maxReadFrameBytes,
		MaxReceiveBufferPerStream:     streamWindowBytes,
		MaxReceiveBufferPerConnection: connWindowBytes,
	}
	return server
}

// authorize is the transport.Authorize of the frontend: it rejects a job with status 403 if its account is not granted to the client's
// certificate.
func (f *Frontend) authorize(r *http.Request, job *protocol.Job) error {
	current := f.current.Load()
	if !current.requiresClientCertificate {
		return nil
	}
	if c, ok := transport.ConnOf(r).(*conn); ok && c.tls != nil && current.grants.permits(c.tls.ConnectionState(), job.Account) {
		return nil
	}
	f.mu.Lock()
	f.forbiddenJobs++
	f.mu.Unlock()
	f.log.Debug("account not granted to client certificate", "id", job.ID, "account", job.Account)
	return &protocol.RequestError{Status: http.StatusForbidden, Reason: "the certificate is not granted the account"}
}

// recordFloodClose counts and logs a connection that is terminated because its client exceeded a limit.
func (f *Frontend) recordFloodClose(reason http2limits.CloseReason, clientConn *transport.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.floodCloses[reason]++
	f.log.Debug("client connection terminated", "front", "http2", "reason", string(reason), "client", clientConn.RemoteAddr().String())
}

// StartShutdown makes the readiness page respond with status 503, and sends GOAWAY to all clients. Streams that they open before they
// read it are still served.
func (f *Frontend) StartShutdown() {
	f.JobFrontend.StartShutdown()
	f.setGoingAway(true)
}

// PassToSuccessor starts or stops sending clients to a successor at the same address.
func (f *Frontend) PassToSuccessor(on bool) {
	f.JobFrontend.PassToSuccessor(on)
	f.setGoingAway(on)
}

// setGoingAway(true) sends GOAWAY without an error to all clients, and to clients that connect before setGoingAway(false).
func (f *Frontend) setGoingAway(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.goingAway = on
	if !on {
		return
	}
	for c := range f.conns {
		c.outbound.insertFrame(goAwayFrame(maxStreamID, errCodeNoError, ""))
	}
}

// Metrics returns the metrics, one per line.
func (f *Frontend) Metrics() string {
	var text strings.Builder
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(&text, "front.http2.connections=%d\nfront.http2.streams=%d\nfront.http2.forbidden=%d\n", len(f.conns), f.listener.OpenStreams(), f.forbiddenJobs)
	for _, reason := range []http2limits.CloseReason{
		http2limits.TooManyTinyDataFrames, http2limits.HeaderTooLong, http2limits.IncompleteInTime,
		http2limits.TooManyPings, http2limits.TooManyPriorities, http2limits.TooManyResets,
		http2limits.TooManySettings, http2limits.TooManyUnknownFrames, http2limits.TooManyWindowUpdates,
	} {
		fmt.Fprintf(&text, "front.http2.ended.%s=%d\n", reason, f.floodCloses[reason])
	}
	if credentials := f.current.Load().credentials; credentials != nil {
		fmt.Fprintf(&text, "front.http2.certificate_days=%d\n", int(time.Until(credentials.expiresAt).Hours()/24))
	}
	return text.String()
}

package transport

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"brassdale/internal/listen"
)

// Listener is a frontend's listener with the table of its connections. It limits their number regardless of what clients do
// (eviction.go), and closes them at a shutdown (listenershutdown.go). It also limits the memory for the bodies of requests.
//
// Its methods may be called from any goroutine. They hold mu for one pass over the connections at most and do not block, except
// Accept, and RejectUnfinished, which blocks for rejectionWriteTimeout at most for each connection. mu also guards the state of
// each Conn.
//
// Invariants: conns has each connection that Accept returned, until Conn.Close or until it is evicted. The
// invariants of phase say which connections may be closed. conns has at most maxConns + maxConns/rejectionReserveDivisor entries, and
// evictedConns is at most maxEvictedConns + 1. So the memory of all connections is bounded even if clients connect without end: an evicted
// one has its buffers until the goroutine that serves it has ended.
type Listener struct {
	*net.TCPListener
	log         *slog.Logger
	accept      func() (*net.TCPConn, error) // AcceptTCP; replaced in tests
	failures    listen.Failures              // of accept
	multiplexed bool                         // a connection carries many requests at a time
	logsPhases  bool                         // see LogPhases
	pauses      pauseDetector                // runs while there are connections, if multiplexed

	maxBodyBytes      atomic.Int64 // for the bodies of all requests together
	reservedBodyBytes atomic.Int64 // of bodies that are being read, or whose jobs are in flight

	mu               sync.Mutex // guards all below
	maxConns         int        // without the reserve for rejections
	maxOpenJobs      int        // of all connections together, if multiplexed
	conns            map[*Conn]struct{}
	openJobs         int           // of all connections together, if multiplexed
	pendingRequests  int           // of all connections together, if multiplexed: requests that have begun, without an admitted job
	requestEnded     *sync.Cond    // signals that pendingRequests has become less, or that a connection is closing; its lock is mu
	evictedConns     int           // evicted connections whose server has not closed them yet
	connEnded        *sync.Cond    // signals that evictedConns has become less; its lock is mu
	unansweredConns  int           // see ClosedWithoutResponse
	closesIdle       bool          // connections are closed once no answer is pending
	resumed          chan struct{} // closed by Resume; nil while connections are accepted
	evictedSinceLog  int           // connections evicted since evictionLoggedAt
	evictionLoggedAt time.Time
}

// longQueueTime is how long a connection may wait to be accepted without a log line.
const longQueueTime = 100 * time.Millisecond

// Listen listens at a frontend's address. A process and its successor may both listen at it.
func Listen(address string) (*net.TCPListener, error) {
	shared := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) { optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
		return errors.Join(err, optionErr)
	}}
	listener, err := shared.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return listener.(*net.TCPListener), nil
}

// ListenExclusive listens at an address that no other process can listen at, so that each call reaches this process.
func ListenExclusive(address string) (*net.TCPListener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return listener.(*net.TCPListener), nil
}

// NewListener returns the listener of a frontend whose connections carry one request at a time. SetLimits must be called before Accept.
func NewListener(listener *net.TCPListener, log *slog.Logger) *Listener {
	l := &Listener{
		TCPListener: listener,
		log:         log,
		accept:      listener.AcceptTCP,
		failures:    listen.Failures{Log: log},
		conns:       map[*Conn]struct{}{},
	}
	l.connEnded, l.requestEnded = sync.NewCond(&l.mu), sync.NewCond(&l.mu)
	return l
}

// NewMultiplexedListener returns the listener of a frontend whose connections carry many requests at a time. Conn.Read returns their
// bytes as received; SetStreamLimit must be called as well as SetLimits.
func NewMultiplexedListener(listener *net.TCPListener, log *slog.Logger) *Listener {
	l := NewListener(listener, log)
	l.multiplexed = true
	return l
}

// LogPhases makes the listener log each change of a connection's phase at debug level. It must be called before Accept.
func (l *Listener) LogPhases() { l.logsPhases = true }

// SetLimits sets how many connections clients may have, without the reserve for rejections, and how many bytes the bodies of all
// requests may have together: each body is small, but a body on each connection would take more memory than the platform gives.
func (l *Listener) SetLimits(maxConns int, maxBodyBytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxConns = maxConns
	l.maxBodyBytes.Store(maxBodyBytes)
}

// Multiplexed reports whether a connection carries many requests at a time.
func (l *Listener) Multiplexed() bool { return l.multiplexed }

// SetStreamLimit sets how many jobs all connections of a multiplexed listener together may have open.
func (l *Listener) SetStreamLimit(maxOpenJobs int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxOpenJobs = maxOpenJobs
}

// OpenStreams returns how many jobs the connections of a multiplexed listener have open.
func (l *Listener) OpenStreams() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.openJobs
}

// Connections returns how many connections clients have.
func (l *Listener) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// ClosedWithoutResponse returns how many connections this process closed before it wrote anything to them, although their clients
// had not left.
func (l *Listener) ClosedWithoutResponse() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unansweredConns
}

// Accept implements net.Listener. It blocks while the listener is paused, or while many evicted connections have not ended, and closes
// connections for which even the reserve for rejections has no capacity. It returns an error only when the listener is closed, and retries after other errors (aborted
// connections, no descriptors, no memory).
func (l *Listener) Accept() (net.Conn, error) {
	for {
		l.awaitEvictedConns()
		accepted, err := listen.Next(l.accept, l.failures.Failed)
		if errors.Is(err, os.ErrDeadlineExceeded) { // Pause has set the deadline
			if resumed := l.resumedChan(); resumed != nil {
				<-resumed
			}
			continue
		}
		if err != nil {
			return nil, err
		}
		conn := l.newConn(accepted)
		if l.admitConn(conn) {
			if l.multiplexed {
				l.pauses.start(l.hasConnections)
			}
			return conn, nil
		}
		_ = accepted.Close() // nothing was written on it
	}
}

// newConn returns the Conn of a connection that has just been accepted. Its client may have waited for that in the listener's queue.
func (l *Listener) newConn(accepted *net.TCPConn) *Conn {
	now := time.Now()
	conn := &Conn{TCPConn: accepted, listener: l, phaseSince: now}
	queued := conn.age()
	if queued > longQueueTime {
		l.log.Debug("client connection accepted late", "queued_ms", queued.Milliseconds(), "client", conn.RemoteAddr())
	}
	establishedAt := now.Add(-queued)
	conn.firstRequestBeganAt = laterTime(establishedAt, now.Add(minReadTime-requestReadTimeout))
	conn.requestBeganAt = conn.firstRequestBeganAt
	conn.arrivals.notBefore = establishedAt
	return conn
}

// hasConnections reports whether clients have connections.
func (l *Listener) hasConnections() bool { return l.Connections() > 0 }

// Pause leaves new connections in the listener's queue, which a successor shares, until Resume or Close.
func (l *Listener) Pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.resumed == nil {
		l.resumed = make(chan struct{})
		_ = l.SetDeadline(time.Now()) // makes Accept return; fails only on a closed listener
	}
}

// Resume accepts new connections again.
func (l *Listener) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.resumed != nil {
		_ = l.SetDeadline(time.Time{}) // fails only on a closed listener
		close(l.resumed)
		l.resumed = nil
	}
}

// Close closes the listener. Its connections stay open.
func (l *Listener) Close() error {
	err := l.TCPListener.Close()
	l.Resume() // a paused Accept then finds the listener closed
	return err
}

// resumedChan returns the channel that Resume closes, nil if the listener is not paused.
func (l *Listener) resumedChan() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.resumed
}

// reserveBody reserves memory for the body of a request, and reports whether there was enough. If so, releaseBody must be called. A body may
// take half of the memory that is free, so that large bodies, which may be incomplete for long, leave memory for small ones.
func (l *Listener) reserveBody(size int64) bool {
	for {
		reserved := l.reservedBodyBytes.Load()
		if size > (l.maxBodyBytes.Load()-reserved)/2 {
			return false
		}
		if l.reservedBodyBytes.CompareAndSwap(reserved, reserved+size) {
			return true
		}
	}
}

// releaseBody releases the memory that reserveBody has reserved, or a part of it.
func (l *Listener) releaseBody(size int64) { l.reservedBodyBytes.Add(-size) }

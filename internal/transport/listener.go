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

const (
	// A client that means it sends with its connecting: one that has said nothing for this long is the first to go
	// for want of room, and a request that has not gone on for that long is more likely given up than slow.
	newConnGrace      = 20 * time.Millisecond
	stalledRequestAge = 500 * time.Millisecond

	minStreamsPerConn = 4 // a connection may have so many streams while there is any room

	rejectionReserveDivisor = 10 // of the connections, one in so many more to refuse on
)

// Listener is a front's listener and the table of its connections. It keeps them inside the front's part of the
// descriptors whatever clients do: past it, one that is ending goes, then one that has said nothing yet, the oldest
// first, then an idle one that never brought a job, one whose request has not gone on for long, one that is idle
// between jobs, one that has only just come and said nothing, one whose request still comes, and one that carries a
// job never. Where all carry jobs, the newcomer is served a refusal, up to a small reserve.
type Listener struct {
	*net.TCPListener
	maxBodyBytes      atomic.Int64 // for the bodies of all requests together, in bytes
	reservedBodyBytes atomic.Int64 // that are being read, or held for their jobs
	log               *slog.Logger
	accept            func() (*net.TCPConn, error) // AcceptTCP; tests put faults there

	failures listen.Failures // of accept

	multiplexed bool // a connection carries many requests at a time

	mu               sync.Mutex
	maxOpenJobs      int           // most jobs of all connections together, where they are multiplexed
	openJobs         int           // that are open now
	maxConns         int           // connections; a tenth more to refuse on
	unansweredConns  int           // connections ended here with nothing written
	closesIdle       bool          // connections end once they owe nothing
	resumed          chan struct{} // closed when connections are taken again; nil while they are
	conns            map[*Conn]struct{}
	evictedSinceLog  int // since the last line of the log
	evictionLoggedAt time.Time
}

// Listen listens at a front's address. While a program is replaced, two processes may do so.
func Listen(address string) (*net.TCPListener, error) {
	shared := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		if e := raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) }); e != nil {
			return e
		}
		return err
	}}
	l, err := shared.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

// ListenAlone listens at an address that no other process may have: a call must not reach whichever comes first.
func ListenAlone(address string) (*net.TCPListener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

// NewListener makes the gate of a front. It lets nothing in before Allow.
func NewListener(l *net.TCPListener, log *slog.Logger) *Listener {
	return &Listener{TCPListener: l, log: log, accept: l.AcceptTCP, failures: listen.Failures{Log: log}, conns: map[*Conn]struct{}{}}
}

// NewMultiplexedListener makes the gate of a front whose connections carry many requests at a time. It gives their bytes as
// they come: whoever knows the protocol follows them.
func NewMultiplexedListener(l *net.TCPListener, log *slog.Logger) *Listener {
	g := NewListener(l, log)
	g.multiplexed = true
	return g
}

// SetStreamLimit sets how many jobs all connections of a multiplexed gate may have open together.
func (g *Listener) SetStreamLimit(most int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.maxOpenJobs = most
}

// OpenStreams is how many jobs the connections of a multiplexed gate have open.
func (g *Listener) OpenStreams() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.openJobs
}

// SetLimits sets how many connections the front may hold, a tenth more to refuse on, and how many bytes of bodies:
// each is small, but one on every connection would be more than the memory that the platform gives.
func (g *Listener) SetLimits(most int, room int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.maxConns = most
	g.maxBodyBytes.Store(room)
}

// Pause leaves new connections in the listener's queue, which a successor shares, until Resume.
func (g *Listener) Pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resumed == nil {
		g.resumed = make(chan struct{})
		_ = g.SetDeadline(time.Now()) // wakes Accept; fails only on a closed listener
	}
}

// Resume takes new connections again.
func (g *Listener) Resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resumed != nil {
		_ = g.SetDeadline(time.Time{})
		close(g.resumed)
		g.resumed = nil
	}
}

// Close closes the listener.
func (g *Listener) Close() error {
	err := g.TCPListener.Close()
	g.Resume() // an Accept that pauses finds it closed
	return err
}

// resumedChan gives what to wait for while no connections are taken; nil while they are.
func (g *Listener) resumedChan() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.resumed
}

// Accept gives the next connection and makes room for it. Only closing the gate ends it: whatever else accept fails with
// (connections that were aborted, no descriptors, no memory, no room to poll one more) is over sooner or later.
func (g *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := listen.Next(g.accept, g.failures.Failed)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if paused := g.resumedChan(); paused != nil {
				<-paused
			}
			continue
		}
		if err != nil {
			return nil, err
		}
		now := time.Now()
		c := &Conn{TCPConn: conn, listener: g, phaseSince: now, requestBeganAt: now}
		if g.admitConn(c) {
			return c, nil
		}
		conn.Close()
	}
}

// admitConn enters a connection and tells whether there was room even for a refusal.
func (g *Listener) admitConn(c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.conns) >= g.maxConns {
		if old := g.leastUseful(c.phaseSince); old != nil {
			// The reading side of net/http notices and ends it; the descriptor is free at once.
			g.removeConnLocked(old)
			g.log.Debug("client's connection ended", "why", "room", "phase", old.phase.String(), "client", old.RemoteAddr())
			old.phase = phaseClosing // what its reader has in hand is of no request any more
			old.TCPConn.Close()
			g.evictedSinceLog++
			if c.phaseSince.Sub(g.evictionLoggedAt) > time.Second {
				g.log.Warn("clients' connections closed for want of room", "closed", g.evictedSinceLog, "most", g.maxConns)
				g.evictionLoggedAt, g.evictedSinceLog = c.phaseSince, 0
			}
		} else if len(g.conns) >= g.maxConns+g.maxConns/rejectionReserveDivisor {
			g.unansweredConns++
			g.log.Debug("client's connection ended", "why", "no room for a refusal", "client", c.RemoteAddr())
			return false
		}
	}
	g.conns[c] = struct{}{}
	return true
}

// removeConnLocked takes a connection out of the table; g is locked. One that ends with nothing written, though its client has not
// gone, is counted.
func (g *Listener) removeConnLocked(c *Conn) {
	if _, held := g.conns[c]; held && !c.responseStarted.Load() && !c.clientGone.Load() {
		g.unansweredConns++
	}
	delete(g.conns, c)
}

// Unanswered is how many connections were ended here before anything was written on them, and their clients had not gone.
func (g *Listener) Unanswered() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.unansweredConns
}

// leastUseful finds the connection that is missed least.
func (g *Listener) leastUseful(now time.Time) *Conn {
	rank := func(c *Conn) int {
		switch {
		case c.phase == phaseClosing:
			return 7
		case c.phase == phaseNew && now.Sub(c.phaseSince) > newConnGrace:
			return 6
		case c.phase == phaseIdle && !c.hasCarriedJob:
			return 5
		case c.phase == phaseReading && now.Sub(c.phaseSince) > stalledRequestAge:
			return 4
		case c.phase == phaseIdle: // while this process leaves, its client may have no other
			return 3
		case c.phase == phaseNew:
			return 2
		case c.phase == phaseReading:
			return 1
		}
		return 0
	}
	for {
		var worst *Conn
		for c := range g.conns {
			if r := rank(c); r > 0 && (worst == nil || r > rank(worst) || r == rank(worst) && c.phaseSince.Before(worst.phaseSince)) {
				worst = c
			}
		}
		if worst == nil || worst.phase == phaseReading || worst.phase == phaseClosing || !worst.hasUnreadBytes() {
			return worst
		}
		worst.noteRequestBytesLocked(now) // it has only not had its turn to be read
	}
}

// firstRequestTimeout is how long a client that has just connected has for its request while connections are dismissed.
const firstRequestTimeout = 300 * time.Millisecond

// CloseIdle ends the connections that owe nothing: those that are idle, and those that have brought nothing for a while. From
// then on each that comes to owe nothing ends too. A request that is half here is read on. Where connections are
// multiplexed it does nothing: their protocol has a word for it.
func (g *Listener) CloseIdle() {
	if g.multiplexed {
		return
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closesIdle = true
	for c := range g.conns {
		if c.phase == phaseIdle && c.pendingBytes.Load() == 0 || c.phase == phaseNew && now.Sub(c.phaseSince) > firstRequestTimeout {
			g.log.Debug("client's connection ended", "why", "leaving", "phase", c.phase.String(), "client", c.RemoteAddr())
			c.phase, c.phaseSince = phaseClosing, now
			// Whoever waits there to read finds it over, and lingers. A byte that comes in this very moment finds it so too.
			_ = c.TCPConn.SetReadDeadline(now)
		}
	}
}

// rejectionResponse is the whole answer to a request that will not be read to its end.
const rejectionResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// rejectionWriteTimeout is how long the answer may take that a refusal writes: it fits into any client's window.
const rejectionWriteTimeout = 10 * time.Millisecond

// RejectUnfinished answers the requests that are half here, and takes no further byte of them. The process is about to end: a
// client that went on writing would find its connection closed with no answer. Where connections are multiplexed it does nothing.
func (g *Listener) RejectUnfinished() {
	for _, c := range g.closeUnfinished() {
		_ = c.SetWriteDeadline(time.Now().Add(rejectionWriteTimeout)) // fails only on a closed connection, as does what follows
		_, _ = c.Write([]byte(rejectionResponse))
		_ = c.CloseWrite()
	}
}

// closeUnfinished takes the connections that have brought a part of a request, and lets no more of it in.
func (g *Listener) closeUnfinished() (all []*Conn) {
	if g.multiplexed {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		if c.phase == phaseReading && c.requestArrivedAt.Load() == nil && !c.responseStarted.Load() {
			c.phase, c.closeStarted = phaseClosing, true
			all = append(all, c)
			g.log.Debug("client's connection ended", "why", "leaving, half a request", "client", c.RemoteAddr())
		}
	}
	return all
}

// Closing tells whether connections end behind their answers.
func (g *Listener) Closing() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closesIdle
}

// PendingAnswers is how many answers are owed.
func (g *Listener) PendingAnswers() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	owed := g.openJobs
	for c := range g.conns {
		if !g.multiplexed && c.phase == phaseServing {
			owed++
		}
	}
	return owed
}

// Full tells whether jobs hold more than the front's part of the descriptors.
func (g *Listener) Full() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns) > g.maxConns
}

// reserveBody sets room aside for a request's body and tells whether there was any; what it gave must be let go of.
func (g *Listener) reserveBody(n int64) bool {
	if g.reservedBodyBytes.Add(n) > g.maxBodyBytes.Load() {
		g.reservedBodyBytes.Add(-n)
		return false
	}
	return true
}

func (g *Listener) releaseBody(n int64) { g.reservedBodyBytes.Add(-n) }

// Connections is how many connections clients hold.
func (g *Listener) Connections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// freeConnsDivisor is the part of the connections that is kept free while no new one can come.
const freeConnsDivisor = 16

// NearlyFull tells whether one more job would take of the last connections that are free for a next request.
func (g *Listener) NearlyFull() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	free := -1 // without the one that asks
	for c := range g.conns {
		if c.phase != phaseServing && c.phase != phaseClosing {
			free++
		}
	}
	return free < len(g.conns)/freeConnsDivisor
}

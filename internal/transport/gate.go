package transport

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"brassdale/internal/decisions/streams"
)

const (
	// A request must be here whole so long after its connection was taken, or after its first byte on a connection that
	// was used before. A client that means it may write for 2 s; one that never gets there is owed an error or a
	// close within 3 s.
	wholeWithin = 2600 * time.Millisecond

	// A client that means it sends with its connecting: one that has said nothing for this long is the first to go
	// for want of room, and a request that has not gone on for that long is more likely given up than slow.
	youngAge   = 20 * time.Millisecond
	stalledAge = 500 * time.Millisecond

	surelyStreams = 4 // a connection may have so many streams while there is any room

	reserveShare = 10 // of the connections, one in so many more to refuse on
)

// Gate is a front's listener and the table of its connections. It keeps them inside the front's part of the
// descriptors whatever clients do: past it, one that has said nothing yet goes, the oldest first, then an idle one that
// never brought a job, one whose request has not gone on for long, one that is idle between jobs, one that has only just
// come and said nothing, one whose request still comes, and one that carries a job never. Where all carry jobs, the
// newcomer is served a refusal, up to a small reserve.
type Gate struct {
	*net.TCPListener
	room   atomic.Int64 // for the bodies of all requests together, in bytes
	bodies atomic.Int64 // that are being read, or held for their jobs
	log    *slog.Logger

	multiplexed bool // a connection carries many requests at a time

	mu      sync.Mutex
	streams int           // most jobs of all connections together, where they are multiplexed
	jobs    int           // that are open now
	most    int           // connections; a tenth more to refuse on
	paused  chan struct{} // closed when connections are taken again; nil while they are
	conns   map[*Conn]struct{}
	evicted int // since the last line of the log
	said    time.Time
}

// phase is what a client's connection is at.
type phase uint8

const (
	silent  phase = iota // nothing has come yet
	idle                 // between requests
	reading              // a request has begun to come
	serving              // a job has been taken: its answer is owed
)

// Conn is a client's connection, as the gate knows it.
type Conn struct {
	*net.TCPConn
	gate    *Gate
	framing framing

	// Guarded by gate.mu.
	phase  phase
	since  time.Time // of the phase; while it is reading, of the last bytes
	client bool      // it has brought a job
	began  time.Time // when it was taken, or the first byte of the present request came
	jobs   int       // open on it, where it is multiplexed
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

// NewGate makes the gate of a front. It lets nothing in before Allow.
func NewGate(l *net.TCPListener, log *slog.Logger) *Gate {
	return &Gate{TCPListener: l, log: log, conns: map[*Conn]struct{}{}}
}

// NewMultiplexedGate makes the gate of a front whose connections carry many requests at a time. It gives their bytes as
// they come: whoever knows the protocol follows them.
func NewMultiplexedGate(l *net.TCPListener, log *slog.Logger) *Gate {
	g := NewGate(l, log)
	g.multiplexed = true
	return g
}

// AllowStreams sets how many jobs all connections of a multiplexed gate may have open together.
func (g *Gate) AllowStreams(most int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.streams = most
}

// Jobs is how many jobs the connections of a multiplexed gate have open.
func (g *Gate) Jobs() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.jobs
}

// Allow sets how many connections the front may hold, a tenth more to refuse on, and how many bytes of bodies:
// each is small, but one on every connection would be more than the memory that the platform gives.
func (g *Gate) Allow(most int, room int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.most = most
	g.room.Store(room)
}

// Pause leaves new connections in the listener's queue, which a successor shares, until Resume.
func (g *Gate) Pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.paused == nil {
		g.paused = make(chan struct{})
		_ = g.SetDeadline(time.Now()) // wakes Accept; fails only on a closed listener
	}
}

// Resume takes new connections again.
func (g *Gate) Resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.paused != nil {
		_ = g.SetDeadline(time.Time{})
		close(g.paused)
		g.paused = nil
	}
}

// Close closes the listener.
func (g *Gate) Close() error {
	err := g.TCPListener.Close()
	g.Resume() // an Accept that pauses finds it closed
	return err
}

// pausing gives what to wait for while no connections are taken; nil while they are.
func (g *Gate) pausing() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.paused
}

// Accept gives the next connection and makes room for it.
func (g *Gate) Accept() (net.Conn, error) {
	for {
		conn, err := g.AcceptTCP()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if paused := g.pausing(); paused != nil {
				<-paused
			}
			continue
		}
		if err != nil {
			return nil, err
		}
		now := time.Now()
		c := &Conn{TCPConn: conn, gate: g, since: now, began: now}
		if g.admit(c) {
			return c, nil
		}
		conn.Close()
	}
}

// admit enters a connection and tells whether there was room even for a refusal.
func (g *Gate) admit(c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.conns) >= g.most {
		if old := g.spare(c.since); old != nil {
			// The reading side of net/http notices and ends it; the descriptor is free at once.
			delete(g.conns, old)
			old.TCPConn.Close()
			g.evicted++
			if c.since.Sub(g.said) > time.Second {
				g.log.Warn("clients' connections closed for want of room", "closed", g.evicted, "most", g.most)
				g.said, g.evicted = c.since, 0
			}
		} else if len(g.conns) >= g.most+g.most/reserveShare {
			return false
		}
	}
	g.conns[c] = struct{}{}
	return true
}

// spare finds the connection that is missed least.
func (g *Gate) spare(now time.Time) *Conn {
	rank := func(c *Conn) int {
		switch {
		case c.phase == silent && now.Sub(c.since) > youngAge:
			return 6
		case c.phase == idle && !c.client:
			return 5
		case c.phase == reading && now.Sub(c.since) > stalledAge:
			return 4
		case c.phase == idle: // while this process leaves, its client may have no other
			return 3
		case c.phase == silent:
			return 2
		case c.phase == reading:
			return 1
		}
		return 0
	}
	for {
		var worst *Conn
		for c := range g.conns {
			if r := rank(c); r > 0 && (worst == nil || r > rank(worst) || r == rank(worst) && c.since.Before(worst.since)) {
				worst = c
			}
		}
		if worst == nil || worst.phase == reading || !worst.unread() {
			return worst
		}
		worst.heard(now) // it has only not had its turn to be read
	}
}

// unread tells whether bytes wait on the connection.
func (c *Conn) unread() bool {
	n := 0
	if raw, err := c.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	}
	return n > 0
}

// heard notes that bytes of a request came; the gate is locked.
func (c *Conn) heard(now time.Time) {
	if c.gate.multiplexed && c.phase != silent { // how far its requests are is not told by bytes
		return
	}
	switch c.phase {
	case idle:
		c.began = now
		fallthrough
	case silent:
		c.phase = reading
	}
	if c.phase == reading {
		c.since = now
	}
}

// Dismiss closes the connections that owe nothing: those that are idle, and those that have brought no whole request.
// Where connections are multiplexed it does nothing: their protocol has a word for it.
func (g *Gate) Dismiss() {
	if g.multiplexed {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		if c.phase != serving && !c.unread() {
			delete(g.conns, c)
			c.TCPConn.Close()
		}
	}
}

// Close forgets the connection.
func (c *Conn) Close() error {
	c.gate.mu.Lock()
	delete(c.gate.conns, c)
	c.gate.mu.Unlock()
	return c.TCPConn.Close()
}

// Read hands net/http what came, less what may not reach it.
func (c *Conn) Read(b []byte) (int, error) {
	for {
		if f := &c.framing; f.spoilt > 0 && len(b) > 0 {
			b[0] = spoiler[len(spoiler)-f.spoilt]
			f.spoilt--
			return 1, nil
		}
		n, err := c.TCPConn.Read(b)
		if n > 0 {
			c.gate.mu.Lock()
			c.heard(time.Now())
			c.gate.mu.Unlock()
		}
		if c.gate.multiplexed {
			return n, err
		}
		if n = c.framing.pass(b[:n]); n > 0 || err != nil || len(b) == 0 {
			return n, err
		}
	}
}

// enter notes what the connection is at.
func (c *Conn) enter(p phase) {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.phase, c.since, c.client = p, time.Now(), c.client || p == serving
}

// take enters a job that the connection brings, and tells whether it may have one more: where connections are
// multiplexed, one of them must not take all that there is room for.
func (c *Conn) take() bool {
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.multiplexed {
		if !streams.Fair(g.streams, g.jobs, c.jobs, surelyStreams) {
			return false
		}
		c.jobs++
		g.jobs++
	}
	c.phase, c.since, c.client = serving, time.Now(), true
	return true
}

// leave ends a job that was taken. Where the connection carries one at a time, net/http tells when it is idle again.
func (c *Conn) leave() {
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.multiplexed {
		return
	}
	g.jobs--
	if c.jobs--; c.jobs == 0 {
		c.phase, c.since = idle, time.Now()
	}
}

// Ready tells that a multiplexed connection can carry requests from now on.
func (c *Conn) Ready() { c.enter(idle) }

// Gated gives the connection: what is wrapped around it has the same method.
func (c *Conn) Gated() *Conn { return c }

// Full tells whether jobs hold more than the front's part of the descriptors.
func (g *Gate) Full() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns) > g.most
}

// hold sets room aside for a request's body and tells whether there was any; what it gave must be let go of.
func (g *Gate) hold(n int64) bool {
	if g.bodies.Add(n) > g.room.Load() {
		g.bodies.Add(-n)
		return false
	}
	return true
}

func (g *Gate) letGo(n int64) { g.bodies.Add(-n) }

// Held is how many connections clients hold.
func (g *Gate) Held() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// spareShare is the part of the connections that is kept free while no new one can come.
const spareShare = 16

// Tight tells whether one more job would take of the last connections that are free for a next request.
func (g *Gate) Tight() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	free := -1 // without the one that asks
	for c := range g.conns {
		if c.phase != serving {
			free++
		}
	}
	return free < len(g.conns)/spareShare
}

type connKey struct{}

// note is an http.Server's ConnContext: handlers find their connection by it.
func note(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnOf gives the connection of a request as its listener gave it; nil where there is none.
func ConnOf(r *http.Request) net.Conn {
	c, _ := r.Context().Value(connKey{}).(net.Conn)
	return c
}

// gated gives the connection of a request as its gate knows it; nil where it came through none.
func gated(r *http.Request) *Conn {
	if c, ok := ConnOf(r).(interface{ Gated() *Conn }); ok {
		return c.Gated()
	}
	return nil
}

// enter notes what a request's connection is at.
func enter(r *http.Request, p phase) {
	if c := gated(r); c != nil {
		c.enter(p)
	}
}

// take enters a request's job at its connection, and tells whether there was room; leave ends it.
func take(r *http.Request) bool {
	c := gated(r)
	return c == nil || c.take()
}

func leave(r *http.Request) {
	if c := gated(r); c != nil {
		c.leave()
	}
}

// wholeBy is when a request must be here whole.
func wholeBy(r *http.Request) time.Time {
	c := gated(r)
	if c == nil || c.gate.multiplexed { // its head had its own time, and is whole
		return time.Now().Add(wholeWithin)
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.began.Add(wholeWithin)
}

// watch is an http.Server's ConnState.
func watch(conn net.Conn, s http.ConnState) {
	if c, ok := conn.(*Conn); ok {
		if s == http.StateIdle {
			c.enter(idle)
		}
	}
}

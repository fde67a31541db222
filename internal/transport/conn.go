package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"brassdale/internal/decisions/http2limits"
)

const (
	// mostAhead is how many bytes behind a request that is not answered yet are kept for its connection's next one. What
	// comes beyond is discarded, and the connection ends behind the answer: its client sends that again on another one.
	mostAhead = 16 << 10

	// A connection that ends is read on for so long, or up to so many bytes: closed over unread bytes it would be reset,
	// and a reset takes with it what the client has not read of its answer.
	lingerFor  = time.Second
	lingerMost = 1 << 20
)

// phase is what a client's connection is at.
type phase uint8

const (
	silent  phase = iota // nothing has come yet
	idle                 // between requests
	reading              // a request has begun to come
	serving              // a job has been taken: its answer is owed
	closing              // it takes no further request and owes nothing
)

// String names a phase as the log does.
func (p phase) String() string {
	return [...]string{silent: "silent", idle: "idle", reading: "reading", serving: "serving", closing: "closing"}[p]
}

// Conn is a client's connection, as the gate knows it.
//
// Where it carries one request at a time, net/http gets the bytes of one request and no more until that is answered.
// What comes meanwhile is read all the same: it is kept for the next request, and shows when the client has gone, also
// behind bytes that nobody has asked for yet.
type Conn struct {
	*net.TCPConn
	gate *Listener

	// Owned by whoever reads, one at a time.
	framing framing
	whole   bool       // the present request has come whole and is not answered
	ahead   aheadQueue // what came behind it
	last    time.Time  // when the bytes had come that were read last, ...
	direct  bool       // ... which came from the system, and not from ahead

	arrived atomic.Pointer[time.Time] // when the last byte of the present request had come; nil where that is not known

	wrote  atomic.Bool  // something of an answer was written
	gone   atomic.Bool  // the client has closed its side, or the connection broke
	behind atomic.Int32 // ahead.size
	flood  atomic.Bool  // more than mostAhead came behind a request

	// Guarded by gate.mu.
	phase  phase
	since  time.Time // of the phase; while it is reading, of the last bytes
	client bool      // it has brought a job
	began  time.Time // when it was taken, or the first byte of the present request came
	jobs   int       // open on it, where it is multiplexed
	told   bool      // Close was called
}

// unread tells whether bytes wait on the connection.
func (c *Conn) unread() bool {
	if c.behind.Load() > 0 {
		return true
	}
	n := 0
	if raw, err := c.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	}
	return n > 0
}

// mostUnread bounds what is believed of the system's word on how long bytes lay unread.
const mostUnread = 5 * time.Second

// unreadFor asks the system how long ago the last bytes came on the connection; 0 where it does not say.
func (c *Conn) unreadFor() time.Duration {
	ago := time.Duration(c.info().Last_data_recv) * time.Millisecond
	if ago > mostUnread {
		return 0
	}
	return ago
}

// info asks the system about the connection; all zero where it does not say.
func (c *Conn) info() (info unix.TCPInfo) {
	raw, err := c.SyscallConn()
	if err != nil {
		return info
	}
	_ = raw.Control(func(fd uintptr) {
		if got, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			info = *got
		}
	})
	return info
}

// hasLeft tells whether the client has closed its side or the connection has broken, read to its end or not.
func (c *Conn) hasLeft() bool {
	if c.gone.Load() {
		return true
	}
	switch c.info().State {
	case unix.BPF_TCP_CLOSE_WAIT, unix.BPF_TCP_LAST_ACK, unix.BPF_TCP_CLOSE:
		return true
	}
	return false
}

// heard notes that bytes of a request came, and tells whether it may still come here; the gate is locked.
func (c *Conn) heard(now time.Time) bool {
	if c.phase == closing {
		return false
	}
	if c.gate.multiplexed && c.phase != silent { // how far its requests are is not told by bytes
		return true
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
	return true
}

// Read hands net/http what came, less what may not reach it. Behind the end of a request it gives nothing before that
// is answered: it only watches.
func (c *Conn) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	for {
		if f := &c.framing; f.spoilt > 0 {
			b[0] = spoiler[len(spoiler)-f.spoilt]
			f.spoilt--
			return 1, nil
		}
		if c.over() {
			return 0, io.EOF
		}
		if c.unanswered() {
			if err := c.readAhead(); err != nil {
				return 0, err
			}
			continue
		}
		n, err := c.next(b)
		if n > 0 && !c.came() {
			return 0, io.EOF // the connection was ended just now: these bytes are of no request that is taken here
		}
		if c.gate.multiplexed {
			return n, err
		}
		passed, whole := c.framing.pass(b[:n])
		if whole {
			c.whole = true
			last := c.last
			if c.direct { // else it was read ahead, as it came
				last = last.Add(-c.unreadFor())
			}
			c.arrived.Store(&last)
			c.ahead.putBack(b[passed:n], last)
			c.behind.Store(int32(c.ahead.size))
		}
		if passed > 0 || err != nil {
			return passed, err
		}
	}
}

// Write writes of an answer.
func (c *Conn) Write(b []byte) (int, error) {
	c.wrote.Store(true)
	return c.TCPConn.Write(b)
}

// next gives what was read ahead, then what comes.
func (c *Conn) next(b []byte) (n int, err error) {
	if c.ahead.size == 0 {
		n, err = c.TCPConn.Read(b)
		c.last, c.direct = time.Now(), true
		c.lost(err)
		return n, err
	}
	n, c.last = c.ahead.take(b)
	c.direct = false
	c.behind.Store(int32(c.ahead.size))
	return n, nil
}

// readAhead reads on behind a request that is not answered. An error is the client's leaving, or a deadline.
func (c *Conn) readAhead() error {
	var b [512]byte
	n, err := c.TCPConn.Read(b[:])
	if c.ahead.size+n > mostAhead {
		c.flood.Store(true)
		n = 0
	}
	c.ahead.push(b[:n], time.Now())
	c.behind.Store(int32(c.ahead.size))
	c.lost(err)
	return err
}

// lost notes that the client has gone, where an error tells it.
func (c *Conn) lost(err error) {
	if late, ok := err.(net.Error); err != nil && !(ok && late.Timeout()) {
		c.gone.Store(true)
	}
}

// unanswered tells whether the present request is here whole: what comes now is of a later one.
func (c *Conn) unanswered() bool {
	if c.gate.multiplexed {
		return false
	}
	if c.whole {
		return true
	}
	if c.framing.where != inRest { // where the end of a chunked request is, only the front knows
		return false
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.phase == serving
}

// over tells whether no request may come any more.
func (c *Conn) over() bool {
	if c.gate.multiplexed {
		return false
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.phase == closing || c.phase == idle && (c.gone.Load() || c.flood.Load())
}

// came notes bytes of a request, and tells whether it may still come here.
func (c *Conn) came() bool {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.heard(time.Now())
}

// Close ends the connection. The client is told, and what it still sends is read and discarded for a while; of a client
// that has gone nothing more can come.
func (c *Conn) Close() error {
	if !c.gate.multiplexed && !c.gone.Load() && c.hangUp() {
		c.linger()
	}
	c.gate.mu.Lock()
	c.gate.log.Debug("client's connection closed", "phase", c.phase.String(), "gone", c.gone.Load(), "wrote", c.wrote.Load(), "client", c.RemoteAddr())
	c.gate.ended(c)
	c.gate.mu.Unlock()
	return c.TCPConn.Close()
}

// hangUp takes no further request on the connection, and tells whether its client has still to be told.
func (c *Conn) hangUp() bool {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if c.told {
		return false
	}
	c.told, c.phase, c.since = true, closing, time.Now()
	return true
}

// linger shuts the sending side and reads until the client ends its own.
func (c *Conn) linger() {
	if c.TCPConn.CloseWrite() != nil {
		return
	}
	_ = c.TCPConn.SetReadDeadline(time.Now().Add(lingerFor)) // fails only on a closed connection, as does what follows
	var b [4096]byte
	for left := lingerMost; left > 0; {
		n, err := c.TCPConn.Read(b[:])
		if err != nil {
			return
		}
		left -= n
	}
}

// enter notes what the connection is at.
func (c *Conn) enter(p phase) {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if p == idle {
		c.whole = false
		c.arrived.Store(nil)
	}
	if c.phase != closing {
		c.phase, c.since, c.client = p, time.Now(), c.client || p == serving
	}
	if p == idle && c.gate.dismissed && c.behind.Load() == 0 {
		c.phase = closing // over tells net/http, which ends it
	}
}

// take enters a job that the connection brings, and tells whether it may have one more: where connections are
// multiplexed, one of them must not take all that there is room for.
func (c *Conn) take() bool {
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.multiplexed && c.phase == closing { // its client has been answered already
		return false
	}
	if g.multiplexed {
		if !http2limits.WithinDynamicThreshold(g.streams, g.jobs, c.jobs, surelyStreams) {
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

// gone tells, at any time, whether a request's client has left; it costs a system call.
func gone(r *http.Request) func() bool {
	ctx, c := r.Context(), gated(r)
	return func() bool { return ctx.Err() != nil || c != nil && c.hasLeft() }
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

// waitedUnread gives for how long a request had been here whole before now.
func waitedUnread(r *http.Request, now time.Time) time.Duration {
	c := gated(r)
	if c == nil {
		return 0
	}
	arrived := c.arrived.Load()
	if arrived == nil {
		return 0
	}
	return max(now.Sub(*arrived), 0)
}

// watch is an http.Server's ConnState.
func watch(conn net.Conn, s http.ConnState) {
	if c, ok := conn.(*Conn); ok {
		if s == http.StateIdle {
			c.enter(idle)
		}
	}
}

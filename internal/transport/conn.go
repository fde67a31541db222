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
	// maxReadAheadBytes is how many bytes behind a request that is not answered yet are kept for its connection's next one. What
	// comes beyond is discarded, and the connection ends behind the answer: its client sends that again on another one.
	maxReadAheadBytes = 16 << 10

	// A connection that ends is read on for so long, or up to so many bytes: closed over unread bytes it would be reset,
	// and a reset takes with it what the client has not read of its answer.
	lingeringCloseTimeout  = time.Second
	lingeringCloseMaxBytes = 1 << 20
)

// phase is what a client's connection is at.
type phase uint8

const (
	phaseNew     phase = iota // nothing has come yet
	phaseIdle                 // between requests
	phaseReading              // a request has begun to come
	phaseServing              // a job has been taken: its answer is owed
	phaseClosing              // it takes no further request and owes nothing
)

// String names a phase as the log does.
func (p phase) String() string {
	return [...]string{phaseNew: "silent", phaseIdle: "idle", phaseReading: "reading", phaseServing: "serving", phaseClosing: "closing"}[p]
}

// Conn is a client's connection, as the gate knows it.
//
// Where it carries one request at a time, net/http gets the bytes of one request and no more until that is answered.
// What comes meanwhile is read all the same: it is kept for the next request, and shows when the client has gone, also
// behind bytes that nobody has asked for yet.
type Conn struct {
	*net.TCPConn
	listener *Listener

	// Owned by whoever reads, one at a time.
	framing            requestFraming
	requestComplete    bool           // the present request has come whole and is not answered
	pending            readAheadQueue // what came behind it
	lastReadAt         time.Time      // when the bytes had come that were read last, ...
	lastReadFromSocket bool           // ... which came from the system, and not from ahead

	requestArrivedAt atomic.Pointer[time.Time] // when the last byte of the present request had come; nil where that is not known

	responseStarted   atomic.Bool  // something of an answer was written
	clientGone        atomic.Bool  // the client has closed its side, or the connection broke
	pendingBytes      atomic.Int32 // ahead.size
	pendingOverflowed atomic.Bool  // more than mostAhead came behind a request

	// Guarded by gate.mu.
	phase          phase
	phaseSince     time.Time // of the phase; while it is reading, of the last bytes
	hasCarriedJob  bool      // it has brought a job
	requestBeganAt time.Time // when it was taken, or the first byte of the present request came
	openJobs       int       // open on it, where it is multiplexed
	closeStarted   bool      // Close was called
}

// hasUnreadBytes tells whether bytes wait on the connection.
func (c *Conn) hasUnreadBytes() bool {
	if c.pendingBytes.Load() > 0 {
		return true
	}
	n := 0
	if raw, err := c.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	}
	return n > 0
}

// maxTrustedReceiveAge bounds what is believed of the system's word on how long bytes lay unread.
const maxTrustedReceiveAge = 5 * time.Second

// sinceLastReceive asks the system how long ago the last bytes came on the connection; 0 where it does not say.
func (c *Conn) sinceLastReceive() time.Duration {
	ago := time.Duration(c.tcpInfo().Last_data_recv) * time.Millisecond
	if ago > maxTrustedReceiveAge {
		return 0
	}
	return ago
}

// tcpInfo asks the system about the connection; all zero where it does not say.
func (c *Conn) tcpInfo() (info unix.TCPInfo) {
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

// clientHasLeft tells whether the client has closed its side or the connection has broken, read to its end or not.
func (c *Conn) clientHasLeft() bool {
	if c.clientGone.Load() {
		return true
	}
	switch c.tcpInfo().State {
	case unix.BPF_TCP_CLOSE_WAIT, unix.BPF_TCP_LAST_ACK, unix.BPF_TCP_CLOSE:
		return true
	}
	return false
}

// noteRequestBytesLocked notes that bytes of a request came, and tells whether it may still come here; the gate is locked.
func (c *Conn) noteRequestBytesLocked(now time.Time) bool {
	if c.phase == phaseClosing {
		return false
	}
	if c.listener.multiplexed && c.phase != phaseNew { // how far its requests are is not told by bytes
		return true
	}
	switch c.phase {
	case phaseIdle:
		c.requestBeganAt = now
		fallthrough
	case phaseNew:
		c.phase = phaseReading
	}
	if c.phase == phaseReading {
		c.phaseSince = now
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
		if f := &c.framing; f.malformedBytesLeft > 0 {
			b[0] = malformedLineEnd[len(malformedLineEnd)-f.malformedBytesLeft]
			f.malformedBytesLeft--
			return 1, nil
		}
		if c.mayNotContinue() {
			return 0, io.EOF
		}
		if c.awaitingAnswer() {
			if err := c.readAhead(); err != nil {
				return 0, err
			}
			continue
		}
		n, err := c.readNext(b)
		if n > 0 && !c.noteRequestBytes() {
			return 0, io.EOF // the connection was ended just now: these bytes are of no request that is taken here
		}
		if c.listener.multiplexed {
			return n, err
		}
		passed, whole := c.framing.scan(b[:n])
		if whole {
			c.requestComplete = true
			last := c.lastReadAt
			if c.lastReadFromSocket { // else it was read ahead, as it came
				last = last.Add(-c.sinceLastReceive())
			}
			c.requestArrivedAt.Store(&last)
			c.pending.pushFront(b[passed:n], last)
			c.pendingBytes.Store(int32(c.pending.size))
		}
		if passed > 0 || err != nil {
			return passed, err
		}
	}
}

// Write writes of an answer.
func (c *Conn) Write(b []byte) (int, error) {
	c.responseStarted.Store(true)
	return c.TCPConn.Write(b)
}

// readNext gives what was read ahead, then what comes.
func (c *Conn) readNext(b []byte) (n int, err error) {
	if c.pending.size == 0 {
		n, err = c.TCPConn.Read(b)
		c.lastReadAt, c.lastReadFromSocket = time.Now(), true
		c.noteReadError(err)
		return n, err
	}
	n, c.lastReadAt = c.pending.pop(b)
	c.lastReadFromSocket = false
	c.pendingBytes.Store(int32(c.pending.size))
	return n, nil
}

// readAhead reads on behind a request that is not answered. An error is the client's leaving, or a deadline.
func (c *Conn) readAhead() error {
	var b [512]byte
	n, err := c.TCPConn.Read(b[:])
	if c.pending.size+n > maxReadAheadBytes {
		c.pendingOverflowed.Store(true)
		n = 0
	}
	c.pending.push(b[:n], time.Now())
	c.pendingBytes.Store(int32(c.pending.size))
	c.noteReadError(err)
	return err
}

// noteReadError notes that the client has gone, where an error tells it.
func (c *Conn) noteReadError(err error) {
	if late, ok := err.(net.Error); err != nil && !(ok && late.Timeout()) {
		c.clientGone.Store(true)
	}
}

// awaitingAnswer tells whether the present request is here whole: what comes now is of a later one.
func (c *Conn) awaitingAnswer() bool {
	if c.listener.multiplexed {
		return false
	}
	if c.requestComplete {
		return true
	}
	if c.framing.position != inChunkedBody { // where the end of a chunked request is, only the front knows
		return false
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.phase == phaseServing
}

// mayNotContinue tells whether no request may come any more.
func (c *Conn) mayNotContinue() bool {
	if c.listener.multiplexed {
		return false
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.phase == phaseClosing || c.phase == phaseIdle && (c.clientGone.Load() || c.pendingOverflowed.Load())
}

// noteRequestBytes notes bytes of a request, and tells whether it may still come here.
func (c *Conn) noteRequestBytes() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.noteRequestBytesLocked(time.Now())
}

// Close ends the connection. The client is told, and what it still sends is read and discarded for a while; of a client
// that has gone nothing more can come.
func (c *Conn) Close() error {
	if !c.listener.multiplexed && !c.clientGone.Load() && c.beginClose() {
		c.lingeringClose()
	}
	c.listener.mu.Lock()
	c.listener.log.Debug("client's connection closed", "phase", c.phase.String(), "gone", c.clientGone.Load(), "wrote", c.responseStarted.Load(), "client", c.RemoteAddr())
	c.listener.ended(c)
	c.listener.mu.Unlock()
	return c.TCPConn.Close()
}

// beginClose takes no further request on the connection, and tells whether its client has still to be told.
func (c *Conn) beginClose() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.closeStarted {
		return false
	}
	c.closeStarted, c.phase, c.phaseSince = true, phaseClosing, time.Now()
	return true
}

// lingeringClose shuts the sending side and reads until the client ends its own.
func (c *Conn) lingeringClose() {
	if c.TCPConn.CloseWrite() != nil {
		return
	}
	_ = c.TCPConn.SetReadDeadline(time.Now().Add(lingeringCloseTimeout)) // fails only on a closed connection, as does what follows
	var b [4096]byte
	for left := lingeringCloseMaxBytes; left > 0; {
		n, err := c.TCPConn.Read(b[:])
		if err != nil {
			return
		}
		left -= n
	}
}

// enterPhase notes what the connection is at.
func (c *Conn) enterPhase(p phase) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if p == phaseIdle {
		c.requestComplete = false
		c.requestArrivedAt.Store(nil)
	}
	if c.phase != phaseClosing {
		c.phase, c.phaseSince, c.hasCarriedJob = p, time.Now(), c.hasCarriedJob || p == phaseServing
	}
	if p == phaseIdle && c.listener.dismissed && c.pendingBytes.Load() == 0 {
		c.phase = phaseClosing // over tells net/http, which ends it
	}
}

// admitJob enters a job that the connection brings, and tells whether it may have one more: where connections are
// multiplexed, one of them must not admitJob all that there is room for.
func (c *Conn) admitJob() bool {
	g := c.listener
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.multiplexed && c.phase == phaseClosing { // its client has been answered already
		return false
	}
	if g.multiplexed {
		if !http2limits.WithinDynamicThreshold(g.streams, g.jobs, c.openJobs, surelyStreams) {
			return false
		}
		c.openJobs++
		g.jobs++
	}
	c.phase, c.phaseSince, c.hasCarriedJob = phaseServing, time.Now(), true
	return true
}

// releaseJob ends a job that was taken. Where the connection carries one at a time, net/http tells when it is idle again.
func (c *Conn) releaseJob() {
	g := c.listener
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.multiplexed {
		return
	}
	g.jobs--
	if c.openJobs--; c.openJobs == 0 {
		c.phase, c.phaseSince = phaseIdle, time.Now()
	}
}

// Ready tells that a multiplexed connection can carry requests from now on.
func (c *Conn) Ready() { c.enterPhase(phaseIdle) }

// ClientConn gives the connection: what is wrapped around it has the same method.
func (c *Conn) ClientConn() *Conn { return c }

type connKey struct{}

// withConn is an http.Server's ConnContext: handlers find their connection by it.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnOf gives the connection of a request as its listener gave it; nil where there is none.
func ConnOf(r *http.Request) net.Conn {
	c, _ := r.Context().Value(connKey{}).(net.Conn)
	return c
}

// clientGoneFunc tells, at any time, whether a request's client has left; it costs a system call.
func clientGoneFunc(r *http.Request) func() bool {
	ctx, c := r.Context(), clientConnOf(r)
	return func() bool { return ctx.Err() != nil || c != nil && c.clientHasLeft() }
}

// clientConnOf gives the connection of a request as its gate knows it; nil where it came through none.
func clientConnOf(r *http.Request) *Conn {
	if c, ok := ConnOf(r).(interface{ ClientConn() *Conn }); ok {
		return c.ClientConn()
	}
	return nil
}

// enterPhase notes what a request's connection is at.
func enterPhase(r *http.Request, p phase) {
	if c := clientConnOf(r); c != nil {
		c.enterPhase(p)
	}
}

// admitJob enters a request's job at its connection, and tells whether there was room; leave ends it.
func admitJob(r *http.Request) bool {
	c := clientConnOf(r)
	return c == nil || c.admitJob()
}

func releaseJob(r *http.Request) {
	if c := clientConnOf(r); c != nil {
		c.releaseJob()
	}
}

// requestReadDeadline is when a request must be here whole.
func requestReadDeadline(r *http.Request) time.Time {
	c := clientConnOf(r)
	if c == nil || c.listener.multiplexed { // its head had its own time, and is whole
		return time.Now().Add(wholeWithin)
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.requestBeganAt.Add(wholeWithin)
}

// unreadDuration gives for how long a request had been here whole before now.
func unreadDuration(r *http.Request, now time.Time) time.Duration {
	c := clientConnOf(r)
	if c == nil {
		return 0
	}
	arrived := c.requestArrivedAt.Load()
	if arrived == nil {
		return 0
	}
	return max(now.Sub(*arrived), 0)
}

// trackConnState is an http.Server's ConnState.
func trackConnState(conn net.Conn, s http.ConnState) {
	if c, ok := conn.(*Conn); ok {
		if s == http.StateIdle {
			c.enterPhase(phaseIdle)
		}
	}
}

package http2

import (
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"brassdale/internal/decisions/streams"
	"brassdale/internal/transport"
)

const (
	preface   = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	frameHead = 9 // bytes

	// lingers is how long a connection that was told to end is still read, so that the word is not lost to a reset.
	lingers = 250 * time.Millisecond

	lastOfAll = 1<<31 - 1 // a GOAWAY with this one says that no new stream is wanted and none is turned away yet

	codeNone = 0x0
	codeCalm = 0xb // ENHANCE_YOUR_CALM
)

// conn is a client's connection. Both ways its frames are followed by their heads alone: net/http speaks the protocol,
// the judge says when it has been enough.
type conn struct {
	net.Conn // the gate's, or TLS over it
	gated    *transport.Conn
	tls      *tls.Conn // nil where the connection is in clear
	front    *Front
	taken    time.Time // the judge's times count from here

	checked bool // owned by Read: TLS agreed on the protocol
	in      follower

	mu    sync.Mutex
	judge *streams.Conn
	alarm *time.Timer // runs from when something is half there until it is found whole
	last  uint32      // the highest stream that a client opened

	writing sync.Mutex // guards what follows, and a frame from being cut by another
	out     follower
	pending []byte // frames of this package that wait for the end of one of net/http's

	ended atomic.Bool // told to end: nothing more goes on to net/http
}

// follower finds the heads of frames in a stream of bytes.
type follower struct {
	ahead int // bytes of the preface that are to come
	head  [frameHead]byte
	got   int    // of the head
	left  uint32 // of the frame behind its head
}

// step takes bytes up to the next event: the first byte of a frame, the end of its head, its end. A frame that has
// nothing behind its head ends with it.
func (f *follower) step(b []byte) (n int, ev event) {
	switch {
	case f.ahead > 0:
		n = min(f.ahead, len(b))
		if f.ahead -= n; f.ahead == 0 {
			ev = greeted
		}
	case f.left > 0:
		n = int(min(f.left, uint32(len(b))))
		if f.left -= uint32(n); f.left == 0 {
			ev = whole
		}
	case f.got == 0:
		f.head[0], f.got, n, ev = b[0], 1, 1, begun
	default:
		n = copy(f.head[f.got:], b)
		if f.got += n; f.got == frameHead {
			f.got, f.left = 0, uint32(f.head[0])<<16|uint32(f.head[1])<<8|uint32(f.head[2])
			ev = headed
		}
	}
	return n, ev
}

type event uint8

const (
	nothing event = iota
	greeted       // the preface is whole
	begun         // the first byte of a frame
	headed        // the head of a frame is whole; the frame is too if left is 0
	whole         // the frame is whole
)

func (f *follower) frame() streams.Frame {
	return streams.Frame{Kind: streams.Kind(f.head[3]), Flags: f.head[4], Stream: binary.BigEndian.Uint32(f.head[5:]) & lastOfAll, Length: f.left}
}

// between tells whether another frame may be put in here.
func (f *follower) between() bool { return f.got == 0 && f.left == 0 && f.ahead == 0 }

func newConn(front *Front, gated *transport.Conn, config *tls.Config) *conn {
	c := &conn{Conn: gated, gated: gated, front: front, taken: time.Now(), judge: streams.New(0), in: follower{ahead: len(preface)}}
	// The first frame out must be net/http's: until one has begun, this side is not between two.
	c.out.ahead = 1
	if config != nil {
		c.tls = tls.Server(gated, config)
		c.Conn = c.tls
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.alarm = time.AfterFunc(streams.Whole, c.look)
	return c
}

// Gated gives the connection as its gate knows it.
func (c *conn) Gated() *transport.Conn { return c.gated }

// Read hands net/http what came, unless it was too much.
func (c *conn) Read(b []byte) (int, error) {
	if c.tls != nil && !c.checked {
		if err := c.tls.Handshake(); err != nil { // within net/http's time for a first head
			return 0, err
		}
		if c.tls.ConnectionState().NegotiatedProtocol != "h2" {
			return 0, io.EOF
		}
		c.checked = true
	}
	for {
		n, err := c.Conn.Read(b)
		switch {
		case c.ended.Load():
			if err != nil {
				return 0, io.EOF
			}
			continue // so that the word is read before the end
		case n > 0 && !c.follow(b[:n]):
			continue
		}
		return n, err
	}
}

// follow has the judge see what came, and tells whether it may go on.
func (c *conn) follow(b []byte) bool {
	now := time.Since(c.taken)
	c.mu.Lock()
	why := streams.Why("")
	for len(b) > 0 && why == "" {
		n, ev := c.in.step(b)
		b = b[n:]
		switch ev {
		case greeted:
			c.judge.Preface()
			c.gated.Ready()
		case begun:
			c.judge.Begin(now)
		case headed:
			f := c.in.frame()
			if f.Kind == streams.Headers {
				c.last = max(c.last, f.Stream)
			}
			if why = c.judge.Came(now, f); f.Length == 0 {
				c.judge.End()
			}
		case whole:
			c.judge.End()
		}
	}
	if _, due := c.judge.Due(); due && why == "" && c.alarm == nil {
		c.alarm = time.AfterFunc(streams.Whole, c.look)
	}
	c.mu.Unlock()
	if why != "" {
		c.end(why)
	}
	return why == ""
}

// look ends what has stayed half there, and looks again while something is.
func (c *conn) look() {
	now := time.Since(c.taken)
	c.mu.Lock()
	why := c.judge.Tick(now)
	if at, due := c.judge.Due(); due && why == "" {
		c.alarm = time.AfterFunc(at-now, c.look)
	} else {
		c.alarm = nil
	}
	c.mu.Unlock()
	if why != "" {
		c.end(why)
	}
}

// Write takes net/http's frames. Those that this package has to send go between two of them.
func (c *conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.out.ahead > 0 && len(b) > 0 {
		c.out.ahead = 0
	}
	why := streams.Why("")
	done, seen := 0, 0
	for seen < len(b) {
		if c.pending != nil && c.out.between() && seen > 0 {
			n, err := c.Conn.Write(b[done:seen])
			if done += n; err != nil {
				return done, err
			}
			if err := c.flush(); err != nil {
				return done, err
			}
		}
		n, ev := c.out.step(b[seen:])
		seen += n
		if ev == headed {
			if w := c.sent(c.out.frame()); w != "" {
				why = w
			}
		}
	}
	n, err := c.Conn.Write(b[done:])
	done += n
	if err == nil && c.pending != nil && c.out.between() {
		err = c.flush()
	}
	if why != "" {
		go c.end(why)
	}
	return done, err
}

// sent has the judge see a frame that goes out.
func (c *conn) sent(f streams.Frame) streams.Why {
	answered := (f.Kind == streams.Data || f.Kind == streams.Headers) && f.Flags&streams.EndStream != 0
	if !answered && f.Kind != streams.Reset {
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if answered {
		c.judge.Answered()
	}
	return c.judge.Sent(time.Since(c.taken), f)
}

// flush writes what waits; c.writing is held.
func (c *conn) flush() error {
	b := c.pending
	c.pending = nil
	_, err := c.Conn.Write(b)
	return err
}

// goAway tells the client that streams above the last one are not served here. It waits while the client takes nothing.
func (c *conn) goAway(last, code uint32, debug string) {
	b := goAwayFrame(last, code, debug)
	c.writing.Lock()
	defer c.writing.Unlock()
	c.pending = append(c.pending, b...)
	if c.out.between() {
		_ = c.flush() // whoever reads notices that the connection is gone
	}
}

func goAwayFrame(last, code uint32, debug string) []byte {
	n := 8 + len(debug)
	b := []byte{byte(n >> 16), byte(n >> 8), byte(n), byte(streams.GoAway), 0, 0, 0, 0, 0}
	b = binary.BigEndian.AppendUint32(b, last)
	b = binary.BigEndian.AppendUint32(b, code)
	return append(b, debug...)
}

// end ends the connection for a reason: the client is told, and what it still sends is not looked at.
func (c *conn) end(why streams.Why) {
	if c.ended.Swap(true) {
		return
	}
	c.front.calmed(why, c.gated)
	c.mu.Lock()
	last := c.last
	c.mu.Unlock()
	_ = c.Conn.SetWriteDeadline(time.Now().Add(lingers))
	c.writing.Lock()
	if c.out.ahead > 0 { // net/http had no time for its first frame, which must be one of settings: an empty one will do
		c.out.ahead = 0
		c.pending = []byte{0, 0, 0, byte(streams.Settings), 0, 0, 0, 0, 0}
	}
	c.writing.Unlock()
	c.goAway(last, codeCalm, string(why))
	c.writing.Lock()
	told := c.pending == nil
	c.writing.Unlock()
	if told {
		c.finish()
	} else { // behind the rest of a frame of net/http's, which is on its way
		time.AfterFunc(lingers/2, c.finish)
	}
}

// finish ends this side of the connection, and in a while all of it.
func (c *conn) finish() {
	if c.tls != nil {
		_ = c.tls.CloseWrite()
	}
	_ = c.gated.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingers))
}

// Close ends the connection for good.
func (c *conn) Close() error {
	c.mu.Lock()
	if c.alarm != nil {
		c.alarm.Stop()
	}
	c.mu.Unlock()
	c.front.forget(c)
	if c.tls != nil {
		return c.tls.Close()
	}
	return c.gated.Close()
}

package http2

import (
	"crypto/tls"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"brassdale/internal/decisions/http2limits"
	"brassdale/internal/transport"
)

// lingers is how long a connection that was told to end is still read, so that the word is not lost to a reset.
const lingers = 250 * time.Millisecond

// conn is a client's connection. Both ways its frames are followed by their heads alone: net/http speaks the protocol,
// the judge says when it has been enough.
type conn struct {
	net.Conn // the gate's, or TLS over it
	gated    *transport.Conn
	tls      *tls.Conn // nil where the connection is in clear
	front    *Frontend
	taken    time.Time // the judge's times count from here

	checked bool // owned by Read: TLS agreed on the protocol
	in      follower

	mu    sync.Mutex
	judge *http2limits.Conn
	alarm *time.Timer // runs from when something is half there until it is found whole
	last  uint32      // the highest stream that a client opened

	out   writer
	ended atomic.Bool // told to end: nothing more goes on to net/http
}

func newConn(front *Frontend, gated *transport.Conn, config *tls.Config) *conn {
	c := &conn{Conn: gated, gated: gated, front: front, taken: time.Now(), judge: http2limits.New(0), in: follower{ahead: len(preface)}}
	if config != nil {
		c.tls = tls.Server(gated, config)
		c.Conn = c.tls
	}
	c.out.start(c.Conn, gated.Close, c.sent)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.alarm = time.AfterFunc(http2limits.CompletionTimeout, c.look)
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
	why := http2limits.CloseReason("")
	for len(b) > 0 && why == "" {
		n, ev := c.in.step(b)
		b = b[n:]
		switch ev {
		case greeted:
			c.judge.PrefaceCompleted()
			c.gated.Ready()
		case begun:
			c.judge.FrameStarted(now)
		case headed:
			f := c.in.frame()
			if f.Kind == http2limits.Headers {
				c.last = max(c.last, f.Stream)
			}
			if why = c.judge.FrameReceived(now, f); f.Length == 0 {
				c.judge.FrameCompleted()
			}
		case whole:
			c.judge.FrameCompleted()
		}
	}
	if _, due := c.judge.Deadline(); due && why == "" && c.alarm == nil {
		c.alarm = time.AfterFunc(http2limits.CompletionTimeout, c.look)
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
	why := c.judge.CheckDeadline(now)
	if at, due := c.judge.Deadline(); due && why == "" {
		c.alarm = time.AfterFunc(at-now, c.look)
	} else {
		c.alarm = nil
	}
	c.mu.Unlock()
	if why != "" {
		c.end(why)
	}
}

// end ends the connection for a reason: the client is told, and what it still sends is not looked at.
func (c *conn) end(why http2limits.CloseReason) {
	if c.ended.Swap(true) {
		return
	}
	c.front.calmed(why, c.gated)
	c.mu.Lock()
	last := c.last
	c.mu.Unlock()
	c.out.last(goAwayFrame(last, codeCalm, string(why)), time.Now().Add(lingers))
	if c.tls != nil {
		_ = c.tls.CloseWrite()
	}
	_ = c.gated.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingers))
}

// Write takes net/http's frames.
func (c *conn) Write(b []byte) (int, error) { return c.out.write(b) }

// SetWriteDeadline does nothing: how long a write may take is the writer's matter.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// SetDeadline sets the one for reading.
func (c *conn) SetDeadline(t time.Time) error { return c.Conn.SetReadDeadline(t) }

// sent has the judge see a frame that goes out.
func (c *conn) sent(f http2limits.Frame) {
	answered := (f.Kind == http2limits.Data || f.Kind == http2limits.Headers) && f.Flags&http2limits.EndStream != 0
	if !answered && f.Kind != http2limits.Reset {
		return
	}
	c.mu.Lock()
	if answered {
		c.judge.StreamAnswered()
	}
	why := c.judge.FrameSent(time.Since(c.taken), f)
	c.mu.Unlock()
	if why != "" {
		go c.end(why) // the writer is held here
	}
}

// Close ends the connection for good.
func (c *conn) Close() error {
	c.mu.Lock()
	if c.alarm != nil {
		c.alarm.Stop()
	}
	c.mu.Unlock()
	c.front.forget(c)
	c.out.last(nil, time.Now().Add(lingers))
	if c.tls != nil {
		return c.tls.Close()
	}
	return c.gated.Close()
}

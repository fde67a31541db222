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

// closeTimeout is how long a connection that was told to end is still read, so that the word is not lost to a reset.
const closeTimeout = 250 * time.Millisecond

// conn is a client's connection. Both ways its frames are followed by their heads alone: net/http speaks the protocol,
// the judge says when it has been enough.
type conn struct {
	net.Conn   // the gate's, or TLS over it
	clientConn *transport.Conn
	tls        *tls.Conn // nil where the connection is in clear
	frontend   *Frontend
	acceptedAt time.Time // the judge's times count from here

	protocolChecked bool // owned by Read: TLS agreed on the protocol
	inbound         frameScanner

	mu               sync.Mutex
	limits           *http2limits.Conn
	completionTimer  *time.Timer // runs from when something is half there until it is found whole
	lastClientStream uint32      // the highest stream that a client opened

	outbound   frameWriter
	terminated atomic.Bool // told to end: nothing more goes on to net/http
}

func newConn(front *Frontend, gated *transport.Conn, config *tls.Config) *conn {
	c := &conn{Conn: gated, clientConn: gated, frontend: front, acceptedAt: time.Now(), limits: http2limits.New(0), inbound: frameScanner{prefaceBytesLeft: len(preface)}}
	if config != nil {
		c.tls = tls.Server(gated, config)
		c.Conn = c.tls
	}
	c.outbound.start(c.Conn, gated.Close, c.frameSent)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.completionTimer = time.AfterFunc(http2limits.CompletionTimeout, c.checkCompletion)
	return c
}

// ClientConn gives the connection as its gate knows it.
func (c *conn) ClientConn() *transport.Conn { return c.clientConn }

// Read hands net/http what came, unless it was too much.
func (c *conn) Read(b []byte) (int, error) {
	if c.tls != nil && !c.protocolChecked {
		if err := c.tls.Handshake(); err != nil { // within net/http's time for a first head
			return 0, err
		}
		if c.tls.ConnectionState().NegotiatedProtocol != "h2" {
			return 0, io.EOF
		}
		c.protocolChecked = true
	}
	for {
		n, err := c.Conn.Read(b)
		switch {
		case c.terminated.Load():
			if err != nil {
				return 0, io.EOF
			}
			continue // so that the word is read before the end
		case n > 0 && !c.inspect(b[:n]):
			continue
		}
		return n, err
	}
}

// inspect has the judge see what came, and tells whether it may go on.
func (c *conn) inspect(b []byte) bool {
	now := time.Since(c.acceptedAt)
	c.mu.Lock()
	why := http2limits.CloseReason("")
	for len(b) > 0 && why == "" {
		n, ev := c.inbound.step(b)
		b = b[n:]
		switch ev {
		case prefaceRead:
			c.limits.PrefaceCompleted()
			c.clientConn.Ready()
		case frameBegun:
			c.limits.FrameStarted(now)
		case headRead:
			f := c.inbound.frame()
			if f.Kind == http2limits.Headers {
				c.lastClientStream = max(c.lastClientStream, f.Stream)
			}
			if why = c.limits.FrameReceived(now, f); f.Length == 0 {
				c.limits.FrameCompleted()
			}
		case frameRead:
			c.limits.FrameCompleted()
		}
	}
	if _, due := c.limits.Deadline(); due && why == "" && c.completionTimer == nil {
		c.completionTimer = time.AfterFunc(http2limits.CompletionTimeout, c.checkCompletion)
	}
	c.mu.Unlock()
	if why != "" {
		c.terminate(why)
	}
	return why == ""
}

// checkCompletion ends what has stayed half there, and looks again while something is.
func (c *conn) checkCompletion() {
	now := time.Since(c.acceptedAt)
	c.mu.Lock()
	why := c.limits.CheckDeadline(now)
	if at, due := c.limits.Deadline(); due && why == "" {
		c.completionTimer = time.AfterFunc(at-now, c.checkCompletion)
	} else {
		c.completionTimer = nil
	}
	c.mu.Unlock()
	if why != "" {
		c.terminate(why)
	}
}

// terminate ends the connection for a reason: the client is told, and what it still sends is not looked at.
func (c *conn) terminate(why http2limits.CloseReason) {
	if c.terminated.Swap(true) {
		return
	}
	c.frontend.recordFloodClose(why, c.clientConn)
	c.mu.Lock()
	last := c.lastClientStream
	c.mu.Unlock()
	c.outbound.finish(goAwayFrame(last, errCodeEnhanceYourCalm, string(why)), time.Now().Add(closeTimeout))
	if c.tls != nil {
		_ = c.tls.CloseWrite()
	}
	_ = c.clientConn.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(closeTimeout))
}

// Write takes net/http's frames.
func (c *conn) Write(b []byte) (int, error) { return c.outbound.write(b) }

// SetWriteDeadline does nothing: how long a write may take is the writer's matter.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// SetDeadline sets the one for reading.
func (c *conn) SetDeadline(t time.Time) error { return c.Conn.SetReadDeadline(t) }

// frameSent has the judge see a frame that goes out.
func (c *conn) frameSent(f http2limits.Frame) {
	answered := (f.Kind == http2limits.Data || f.Kind == http2limits.Headers) && f.Flags&http2limits.EndStream != 0
	if !answered && f.Kind != http2limits.Reset {
		return
	}
	c.mu.Lock()
	if answered {
		c.limits.StreamAnswered()
	}
	why := c.limits.FrameSent(time.Since(c.acceptedAt), f)
	c.mu.Unlock()
	if why != "" {
		go c.terminate(why) // the writer is held here
	}
}

// Close ends the connection for good.
func (c *conn) Close() error {
	c.mu.Lock()
	if c.completionTimer != nil {
		c.completionTimer.Stop()
	}
	c.mu.Unlock()
	c.frontend.removeConn(c)
	c.outbound.finish(nil, time.Now().Add(closeTimeout))
	if c.tls != nil {
		return c.tls.Close()
	}
	return c.clientConn.Close()
}

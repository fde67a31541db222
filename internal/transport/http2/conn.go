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

// closeTimeout is how long closing a connection may write what is queued, and how long a terminated connection is still read,
// so that a reset does not discard the GOAWAY.
const closeTimeout = 250 * time.Millisecond

// conn is a client's connection as net/http sees it. Frames in both directions are followed by their heads: net/http speaks the
// protocol, and http2limits.Conn says when the client exceeds a limit; then the connection is terminated.
//
// net/http's reader calls Read; Write, Close and the deadlines may be called from any goroutine.
type conn struct {
	net.Conn   // clientConn, or TLS over it
	clientConn *transport.Conn
	tls        *tls.Conn // nil in cleartext
	frontend   *Frontend
	acceptedAt time.Time // times are passed to limits as the duration since then

	protocolChecked bool         // owned by Read: the TLS handshake has agreed on h2
	inbound         frameScanner // owned by Read

	mu               sync.Mutex
	limits           *http2limits.Conn
	completionTimer  *time.Timer // runs checkCompletion while something is incomplete; else nil
	lastClientStream uint32      // the highest stream that the client opened

	outbound   frameWriter
	terminated atomic.Bool // by terminate: nothing more is passed to net/http
}

// newConn returns a connection that was accepted now; config is nil in cleartext.
func newConn(frontend *Frontend, clientConn *transport.Conn, config *tls.Config) *conn {
	client := &conn{
		Conn:       clientConn,
		clientConn: clientConn,
		frontend:   frontend,
		acceptedAt: time.Now(),
		limits:     http2limits.New(0),
		inbound:    frameScanner{prefaceBytesLeft: len(preface)},
	}
	if config != nil {
		client.tls = tls.Server(clientConn, config)
		client.Conn = client.tls
	}
	client.outbound.start(client.Conn, clientConn.Close, client.frameSent)
	client.mu.Lock()
	defer client.mu.Unlock()
	client.completionTimer = time.AfterFunc(http2limits.CompletionTimeout, client.checkCompletion)
	return client
}

// ClientConn returns the connection as its listener knows it.
func (c *conn) ClientConn() *transport.Conn { return c.clientConn }

// Read returns the received bytes to net/http, unless they exceed a limit. After terminate it reads on until the client ends the
// connection or closeTimeout has passed, and returns none.
func (c *conn) Read(buffer []byte) (int, error) {
	if err := c.checkProtocol(); err != nil {
		return 0, err
	}
	for {
		n, err := c.Conn.Read(buffer)
		switch {
		case c.terminated.Load():
			if err != nil {
				return 0, io.EOF
			}
			continue
		case n > 0 && !c.inspect(buffer[:n]):
			continue
		}
		return n, err
	}
}

// checkProtocol does the TLS handshake, once. It returns io.EOF if that did not agree on h2. The handshake is limited by
// net/http's read deadline for a first request.
func (c *conn) checkProtocol() error {
	if c.tls == nil || c.protocolChecked {
		return nil
	}
	if err := c.tls.Handshake(); err != nil {
		return err
	}
	if c.tls.ConnectionState().NegotiatedProtocol != "h2" {
		return io.EOF
	}
	c.protocolChecked = true
	return nil
}

// inspect applies the limits to received bytes, and reports whether they may be passed on. If not, it has terminated the
// connection.
func (c *conn) inspect(data []byte) bool {
	now := time.Since(c.acceptedAt)
	c.mu.Lock()
	reason := http2limits.CloseReason("")
	for len(data) > 0 && reason == "" {
		n, event := c.inbound.step(data)
		data = data[n:]
		switch event {
		case prefaceRead:
			c.limits.PrefaceCompleted()
			c.clientConn.PrefaceRead()
		case frameBegun:
			c.limits.FrameStarted(now)
		case headRead:
			reason = c.headReceivedLocked(now, c.inbound.frame())
		case frameRead:
			c.limits.FrameCompleted()
		}
	}
	if _, incomplete := c.limits.Deadline(); incomplete && reason == "" && c.completionTimer == nil {
		c.completionTimer = time.AfterFunc(http2limits.CompletionTimeout, c.checkCompletion)
	}
	c.mu.Unlock()
	if reason != "" {
		c.terminate(reason)
	}
	return reason == ""
}

// headReceivedLocked applies the limits to a frame whose head was received. c.mu is held.
func (c *conn) headReceivedLocked(now time.Duration, frame http2limits.Frame) http2limits.CloseReason {
	if frame.Kind == http2limits.Headers {
		c.lastClientStream = max(c.lastClientStream, frame.Stream)
	}
	reason := c.limits.FrameReceived(now, frame)
	if frame.Length == 0 {
		c.limits.FrameCompleted()
	}
	return reason
}

// checkCompletion terminates the connection if the preface, a frame or a header block has been incomplete for too long, and runs
// again while one is incomplete.
func (c *conn) checkCompletion() {
	now := time.Since(c.acceptedAt)
	c.mu.Lock()
	reason := c.limits.CheckDeadline(now)
	if at, incomplete := c.limits.Deadline(); incomplete && reason == "" {
		c.completionTimer = time.AfterFunc(at-now, c.checkCompletion)
	} else {
		c.completionTimer = nil
	}
	c.mu.Unlock()
	if reason != "" {
		c.terminate(reason)
	}
}

// terminate ends the connection for a reason, with a GOAWAY that names it. What the client still sends is discarded. It blocks
// until the GOAWAY is written, for closeTimeout at most. Further calls do nothing.
func (c *conn) terminate(reason http2limits.CloseReason) {
	if c.terminated.Swap(true) {
		return
	}
	c.frontend.recordFloodClose(reason, c.clientConn)
	c.mu.Lock()
	lastStream := c.lastClientStream
	c.mu.Unlock()
	c.outbound.finish(goAwayFrame(lastStream, errCodeEnhanceYourCalm, string(reason)), time.Now().Add(closeTimeout))
	// The following fail only on a connection that is closed already.
	if c.tls != nil {
		_ = c.tls.CloseWrite()
	}
	_ = c.clientConn.CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(closeTimeout))
}

// Write queues net/http's frames. It blocks while too much is queued.
func (c *conn) Write(data []byte) (int, error) { return c.outbound.write(data) }

// SetWriteDeadline does nothing: the frameWriter limits how long a write may take.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// SetDeadline sets the read deadline.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// frameSent applies the limits to a frame of net/http. The frameWriter calls it under its lock.
func (c *conn) frameSent(frame http2limits.Frame) {
	answered := (frame.Kind == http2limits.Data || frame.Kind == http2limits.Headers) && frame.Flags&http2limits.EndStream != 0
	if !answered && frame.Kind != http2limits.Reset {
		return
	}
	c.mu.Lock()
	if answered {
		c.limits.StreamAnswered()
	}
	reason := c.limits.FrameSent(time.Since(c.acceptedAt), frame)
	c.mu.Unlock()
	if reason != "" {
		go c.terminate(reason) // needs the frameWriter's lock
	}
}

// Close closes the connection, after what is queued was written, for closeTimeout at most.
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

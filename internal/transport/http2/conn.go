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

// closeTimeout is how long closing a connection may spend on writing queued bytes, and how long a terminated connection is still read.
// Without that reading, a reset could discard the GOAWAY.
const closeTimeout = 250 * time.Millisecond

// conn is a client's connection as net/http sees it. net/http implements the protocol. conn reads the frame headers in both directions
// and passes them to http2limits.Conn. If the client exceeds a limit, conn terminates the connection.
//
// net/http's reader calls Read; Write, Close and the deadlines may be called from any goroutine.
type conn struct {
	net.Conn   // clientConn, or TLS over it
	clientConn *transport.Conn
	tls        *tls.Conn // nil in cleartext
	frontend   *Frontend
	beganAt    time.Time // when the time for the preface began; times are passed to limits as the duration since then

	protocolChecked bool         // owned by Read: the TLS handshake has negotiated h2
	inbound         frameScanner // owned by Read
	prefaceEnds     bool         // owned by Read: the first frame has begun

	mu              sync.Mutex // locked after the frameWriter's, and before the listener's
	limits          *http2limits.Conn
	completionTimer *time.Timer             // runs checkCompletion while a preface, frame or header block is incomplete; else nil
	idleTimer       *time.Timer             // runs closeIfIdle
	closed          bool                    // Close was called: no timer is started any more
	requests        openRequests            // reported to clientConn at each change
	closesWhenDone  http2limits.CloseReason // why the connection is terminated once all requests that were read have ended; else empty

	outbound      frameWriter
	discardsInput atomic.Bool // nothing more is passed to net/http
	terminated    atomic.Bool // set by terminate
}

// newConn returns the conn of a connection that has just been accepted. config is nil in cleartext.
func newConn(frontend *Frontend, clientConn *transport.Conn, config *tls.Config) *conn {
	client := &conn{
		Conn:       clientConn,
		clientConn: clientConn,
		frontend:   frontend,
		beganAt:    clientConn.FirstRequestBeganAt(),
		limits:     http2limits.New(0),
		inbound:    frameScanner{prefaceBytesLeft: len(preface)},
	}
	if config != nil {
		client.tls = tls.Server(clientConn, config)
		client.Conn = client.tls
	}
	client.outbound.start(client.Conn, clientConn.Abort, client.frameSent, client.framesWritten)
	client.mu.Lock()
	defer client.mu.Unlock()
	client.completionTimer = time.AfterFunc(time.Until(client.beganAt.Add(http2limits.CompletionTimeout)), client.checkCompletion)
	client.idleTimer = time.AfterFunc(frontend.idleTimeout, client.closeIfIdle)
	return client
}

// ClientConn returns the connection that the transport.Listener accepted.
func (c *conn) ClientConn() *transport.Conn { return c.clientConn }

// Read returns the received bytes to net/http, unless they exceed a limit. Once discardsInput is set it discards received bytes until the
// client closes the connection or, after terminate, closeTimeout has passed; then it returns io.EOF.
func (c *conn) Read(buffer []byte) (int, error) {
	if err := c.checkProtocol(); err != nil {
		return 0, err
	}
	for {
		n, err := c.Conn.Read(buffer)
		switch {
		case c.discardsInput.Load():
			time.Sleep(transport.DiscardPause)
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

// checkProtocol does the TLS handshake, once. It returns io.EOF if the handshake did not negotiate h2. Its time is limited by
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
	now := time.Since(c.beganAt)
	c.mu.Lock()
	reason, begunBefore := http2limits.CloseReason(""), c.requests.begun
	for len(data) > 0 && reason == "" {
		n, event := c.inbound.step(data)
		data = data[n:]
		switch event {
		case prefaceRead:
			c.limits.PrefaceCompleted()
			c.clientConn.PrefaceRead()
		case frameStarted:
			c.limits.FrameStarted(c.frameStartTime(now))
		case headerRead:
			reason = c.headerReceivedLocked(now, c.inbound.frame())
		case frameRead:
			c.frameReadLocked(c.inbound.frame())
		}
	}
	c.reportRequestsLocked()
	if at, incomplete := c.limits.Deadline(); incomplete && reason == "" && c.completionTimer == nil && !c.closed {
		c.completionTimer = time.AfterFunc(at-now, c.checkCompletion)
	}
	begun := c.requests.begun - begunBefore
	c.mu.Unlock()
	if reason != "" {
		c.terminate(reason)
		return false
	}
	c.clientConn.RequestsBegun(begun, begun == 1 && c.clientConn.ReadIsLate(), c.onlyRequestUnread)
	return true
}

// maxPeekBytes is how many unread bytes are searched for frames.
const maxPeekBytes = 4 << 10

// onlyRequestUnread reports whether all bytes that were received and not read belong to the request that has just begun. It is false if that is not
// known.
func (c *conn) onlyRequestUnread() bool {
	if c.tls != nil {
		return false
	}
	var buffer [maxPeekBytes]byte
	unread := buffer[:c.clientConn.PeekUnread(buffer[:])]
	if len(unread) == len(buffer) {
		return false
	}
	stream := c.inbound.frame().Stream
	for scanner := c.inbound; len(unread) > 0; {
		n, event := scanner.step(unread)
		unread = unread[n:]
		if event == headerRead && scanner.frame().Stream != stream {
			return false
		}
	}
	return true
}

// frameStartTime returns from when the time for a frame counts that starts now. The first one ends the connection preface (RFC 9113, section
// 3.4), which counts as a whole: it may have waited to be read together with the bytes before it.
func (c *conn) frameStartTime(now time.Duration) time.Duration {
	if c.prefaceEnds {
		return now
	}
	c.prefaceEnds = true
	return 0
}

// headerReceivedLocked applies the limits to a frame whose header was received. c.mu is held.
func (c *conn) headerReceivedLocked(now time.Duration, frame http2limits.Frame) http2limits.CloseReason {
	c.requests.frameStarted(frame)
	reason := c.limits.FrameReceived(now, frame)
	if frame.Length == 0 {
		c.frameReadLocked(frame)
	}
	return reason
}

// frameReadLocked records that a frame was received to its end. c.mu is held.
func (c *conn) frameReadLocked(frame http2limits.Frame) {
	c.limits.FrameCompleted()
	c.requests.frameRead(frame)
}

// reportRequestsLocked tells the listener which requests are open, by which it decides whether it may close the connection. c.mu is held.
func (c *conn) reportRequestsLocked() {
	c.clientConn.SetOpenRequests(c.requests.incomplete(), c.requests.unanswered())
}

// checkCompletion ends the connection if the preface, a frame or a header block has been incomplete for too long. It schedules itself
// again while one of them is incomplete.
func (c *conn) checkCompletion() {
	now := time.Since(c.beganAt)
	c.mu.Lock()
	reason := c.limits.CheckDeadline(now)
	if at, incomplete := c.limits.Deadline(); incomplete && reason == "" && !c.closed {
		c.completionTimer = time.AfterFunc(at-now, c.checkCompletion)
	} else {
		c.completionTimer = nil
	}
	c.mu.Unlock()
	if reason != "" {
		c.terminateAfterAnswers(reason)
	}
}

// terminateAfterAnswers ends the connection of a client that has stopped in the middle of a frame, which violates no protocol: the requests
// that were read before are answered first. The client gets a GOAWAY at once, and nothing that it still sends is passed on. A request that is
// not complete gets its error from its handler, or is above the last stream that the GOAWAY names.
func (c *conn) terminateAfterAnswers(reason http2limits.CloseReason) {
	c.discardsInput.Store(true)
	c.mu.Lock()
	lastStream, answersPending := c.requests.lastBegun, c.requests.unanswered() > 0
	if answersPending {
		c.closesWhenDone = reason
	}
	c.mu.Unlock()
	if !answersPending {
		c.terminate(reason)
		return
	}
	c.outbound.insertFrame(goAwayFrame(lastStream, errCodeEnhanceYourCalm, string(reason)))
}

// terminateIfDoneLocked terminates the connection if terminateAfterAnswers waits only for this. It does not block. c.mu is held.
func (c *conn) terminateIfDoneLocked() {
	if c.closesWhenDone != "" && c.requests.unanswered() == 0 {
		go c.terminate(c.closesWhenDone) // not here, since terminate takes the frameWriter's lock
	}
}

// terminate ends the connection with a GOAWAY that names the reason. Bytes that the client still sends are discarded, and no job that was
// not admitted before is sent to a worker, since nothing is written after the GOAWAY. terminate blocks
// until the GOAWAY is written, for closeTimeout at most. Further calls do nothing.
func (c *conn) terminate(reason http2limits.CloseReason) {
	if c.terminated.Swap(true) {
		return
	}
	c.discardsInput.Store(true)
	c.clientConn.RefuseRequests()
	c.frontend.recordFloodClose(reason, c.clientConn)
	c.finish(errCodeEnhanceYourCalm, string(reason))
}

// closeIfIdle closes the connection if it has been idle for the frontend's idleTimeout; else it schedules itself for when it may have been.
// net/http's own idle timer is off: it is started again when a connection ends with open streams, and then holds the memory of the connection
// for its whole time.
func (c *conn) closeIfIdle() {
	wait, closing := c.clientConn.BeginCloseIfIdle(c.frontend.idleTimeout)
	if !closing {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.closed {
			c.idleTimer.Reset(wait)
		}
		return
	}
	if !c.terminated.Swap(true) {
		c.discardsInput.Store(true)
		c.finish(errCodeNoError, "")
	}
}

// finish sends a last GOAWAY, and closes the connection. It blocks until the GOAWAY is written, for closeTimeout at most.
func (c *conn) finish(code uint32, debugData string) {
	c.mu.Lock()
	lastStream := c.requests.lastBegun
	c.mu.Unlock()
	c.outbound.finish(goAwayFrame(lastStream, code, debugData), time.Now().Add(closeTimeout))
	// The following calls fail only if the connection is already closed.
	if c.tls != nil {
		_ = c.tls.CloseWrite()
	}
	_ = c.clientConn.CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(closeTimeout))
}

// Write queues net/http's frames. It blocks while more than maxQueuedBytes are queued.
func (c *conn) Write(data []byte) (int, error) { return c.outbound.write(data) }

// SetWriteDeadline does nothing: the frameWriter limits how long a write may take.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// SetDeadline sets the read deadline.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// frameSent applies the limits to a frame that net/http sends. The frameWriter calls it with its lock held.
func (c *conn) frameSent(frame http2limits.Frame) {
	answered := endsStream(frame)
	if !answered && frame.Kind != http2limits.Reset && frame.Kind != http2limits.GoAway {
		return
	}
	c.mu.Lock()
	if answered {
		c.limits.StreamAnswered()
	}
	reason := c.limits.FrameSent(time.Since(c.beganAt), frame)
	c.requests.frameSent(frame)
	c.reportRequestsLocked()
	waits := c.closesWhenDone != ""
	c.mu.Unlock()
	if reason != "" && !waits {
		go c.terminate(reason) // not here, since terminate takes the frameWriter's lock
	}
}

// framesWritten records that all frames of net/http were written. The frameWriter calls it with its lock held.
func (c *conn) framesWritten() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests.framesWritten()
	c.reportRequestsLocked()
	c.terminateIfDoneLocked()
}

// Close writes the queued bytes, for closeTimeout at most, and then closes the connection.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.idleTimer.Stop()
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

package transport

import "time"

// Before a connection is closed, it is read for lingeringCloseTimeout, or up to lingeringCloseMaxBytes. If it were closed with unread
// bytes, it would be reset, and a reset discards the part of the answer that the client has not read.
const (
	lingeringCloseTimeout  = time.Second
	lingeringCloseMaxBytes = 1 << 20
)

// Close closes the connection. If it is not multiplexed and its client has not left, Close first shuts the sending side, and
// reads and discards what the client still sends. This may block for lingeringCloseTimeout.
func (c *Conn) Close() error {
	if !c.listener.multiplexed && !c.clientGone.Load() && c.beginClose() {
		c.lingeringClose()
	}
	c.listener.mu.Lock()
	c.listener.log.Debug("client connection closed", "phase", c.phase.String(), "client_gone", c.clientGone.Load(),
		"response_started", c.responseStarted.Load(), "client", c.RemoteAddr())
	c.setPhaseLocked(phaseClosing, time.Now())
	c.listener.removeConnLocked(c)
	c.listener.evictedConnEndedLocked(c)
	c.serverClosed = true
	c.updatePendingLocked()
	c.listener.mu.Unlock()
	return c.TCPConn.Close()
}

// Abort closes the connection at once, so that the goroutine that reads it gets an error and calls Close.
func (c *Conn) Abort() error {
	c.listener.mu.Lock()
	c.setPhaseLocked(phaseClosing, time.Now())
	c.listener.mu.Unlock()
	return c.TCPConn.Close()
}

// BeginCloseIfIdle makes a multiplexed connection closing if it has had no request for the timeout, and reports whether it has. Else wait is the
// time until it may have had none.
func (c *Conn) BeginCloseIfIdle(timeout time.Duration) (wait time.Duration, closing bool) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	now := time.Now()
	if c.phase != phaseIdle && c.phase != phaseNew {
		return timeout, false
	}
	if idle := now.Sub(c.phaseSince); idle < timeout {
		return timeout - idle, false
	}
	c.closeStarted = true
	c.setPhaseLocked(phaseClosing, now)
	return 0, true
}

// RefuseRequests makes a multiplexed connection closing: from now on no job is admitted on it. Its caller closes it, and discards the bytes
// that Read goes on returning until then.
func (c *Conn) RefuseRequests() { c.beginClose() }

// beginClose enters phaseClosing. It reports false, and does nothing, if a close has begun before.
func (c *Conn) beginClose() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.closeStarted {
		return false
	}
	c.closeStarted = true
	c.setPhaseLocked(phaseClosing, time.Now())
	return true
}

// lingeringClose shuts the sending side, and reads until the client shuts its side or a limit is reached.
func (c *Conn) lingeringClose() {
	if c.CloseWrite() != nil {
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(lingeringCloseTimeout)) // fails only on a closed connection, on which the reads fail too
	var b [4096]byte
	for left := lingeringCloseMaxBytes; left > 0; {
		n, err := c.TCPConn.Read(b[:])
		if err != nil {
			return
		}
		left -= n
	}
}

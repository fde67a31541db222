package transport

import "time"

// At a shutdown the listener is closed, then CloseWhenIdle is called repeatedly until no connection is left, and RejectUnfinished shortly
// before the process ends; PendingAnswers says how many clients then get no answer. On a multiplexed listener CloseWhenIdle and
// RejectUnfinished do nothing, since its protocol has a message of its own (GOAWAY).

const (
	// firstRequestTimeout is how long a new connection may be open without having sent anything, once idle connections are
	// closed.
	firstRequestTimeout = 300 * time.Millisecond

	// rejectionWriteTimeout is how long writing rejectionResponse may take. The response fits into any client's receive window.
	rejectionWriteTimeout = 10 * time.Millisecond
)

// rejectionResponse is the answer to a request that is not read to its end. The client may submit the job again at once.
const rejectionResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// CloseWhenIdle closes the connections on which no answer is pending: idle connections, and new connections that have sent
// nothing for firstRequestTimeout. From then on each connection is closed once it is idle. An incomplete request is still read to
// its end.
func (l *Listener) CloseWhenIdle() {
	if l.multiplexed {
		return
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closesIdle = true
	for conn := range l.conns {
		if conn.isClosableAtShutdown(now) {
			l.log.Debug("client connection closing", "reason", "shutdown", "phase", conn.phase.String(), "client", conn.RemoteAddr())
			conn.setPhaseLocked(phaseClosing, now)
			// The goroutine that reads it gets an error and calls Conn.Close, even if a byte is received at this moment.
			_ = conn.TCPConn.SetReadDeadline(now) // fails only on a closed connection
		}
	}
}

// isClosableAtShutdown reports whether the connection is idle without pending bytes, or new for longer than firstRequestTimeout.
// listener.mu is held.
func (c *Conn) isClosableAtShutdown(now time.Time) bool {
	return c.phase == phaseIdle && c.pendingBytes.Load() == 0 || c.phase == phaseNew && now.Sub(c.phaseSince) > firstRequestTimeout
}

// RejectUnfinished answers incomplete requests with rejectionResponse and reads no further byte of them. It is for a process that
// is about to end: otherwise a client that still writes would find its connection closed without an answer. It covers only
// connections on which nothing has ever been written; a connection that carried an answer before is closed without a rejection.
func (l *Listener) RejectUnfinished() {
	for _, conn := range l.closeUnfinished() {
		_ = conn.SetWriteDeadline(time.Now().Add(rejectionWriteTimeout)) // fails only on a closed connection, on which the next calls fail too
		_, _ = conn.Write([]byte(rejectionResponse))
		_ = conn.CloseWrite()
	}
}

// closeUnfinished returns the connections whose first request is incomplete, after marking them as closing: no further byte is read.
func (l *Listener) closeUnfinished() []*Conn {
	if l.multiplexed {
		return nil
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var unfinished []*Conn
	for conn := range l.conns {
		if conn.phase == phaseReading && !conn.responseStarted.Load() {
			conn.setPhaseLocked(phaseClosing, now)
			conn.closeStarted = true
			unfinished = append(unfinished, conn)
			l.log.Debug("client connection closing", "reason", "shutdown, request incomplete", "client", conn.RemoteAddr())
		}
	}
	return unfinished
}

// Closing reports whether connections are closed after their next answer, because CloseWhenIdle was called.
func (l *Listener) Closing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closesIdle
}

// PendingAnswers returns how many requests were read and have not been answered; on a multiplexed listener, how many jobs were admitted and
// have not ended.
func (l *Listener) PendingAnswers() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	pending := l.openJobs
	for conn := range l.conns {
		if !l.multiplexed && conn.phase == phaseServing {
			pending++
		}
	}
	return pending
}

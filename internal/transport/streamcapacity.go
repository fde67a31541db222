package transport

import "time"

// The memory of the requests on a multiplexed listener. A request costs memory from the frame that opens its stream, long before its job is
// admitted and counted: its header, its goroutine and its buffers. So reading is limited by the pending requests: those that have begun, whose
// jobs are not admitted. They end when they are admitted or answered, or by the timeouts of requests.

const (
	// pendingRequestsDivisor sets the limit of pending requests on all connections together: 1/4 of the jobs that may be open.
	pendingRequestsDivisor = 4

	// maxPendingPerConn is how many requests may be pending on a connection that is read at the limit.
	maxPendingPerConn = 4

	// readBytesAtLimit is how much is read at a time at the limit: a read of the usual size can begin very many requests.
	readBytesAtLimit = 256
)

// awaitRequestCapacity blocks while a multiplexed connection may not begin further requests, and returns how many bytes may be read then. It
// ends when pending requests have ended, or when the connection is closing.
func (c *Conn) awaitRequestCapacity(size int) int {
	listener := c.listener
	listener.mu.Lock()
	defer listener.mu.Unlock()
	for listener.pendingRequests >= listener.maxOpenJobs/pendingRequestsDivisor && c.phase != phaseClosing {
		if c.pendingRequests <= maxPendingPerConn {
			return min(size, readBytesAtLimit)
		}
		listener.requestEnded.Wait()
	}
	return size
}

// RequestsBegun records that requests have begun on a multiplexed connection in the bytes that Read has returned, and pauses if there were many
// beside others that are pending. Only the goroutine that reads the connection may call it. If one has begun in bytes that are late, onlyUnread is
// called, and reports whether all unread bytes belong to it.
func (c *Conn) RequestsBegun(number int, oneIsLate bool, onlyUnread func() bool) {
	lastBytesAt := time.Time{}
	if oneIsLate {
		received := time.Now().Add(-c.sinceLastReceive())
		if onlyUnread() { // asked later: bytes that were received meanwhile are unread
			lastBytesAt = received
		}
	}
	c.arrivals.requestsBegun(number, lastBytesAt)
	if number > 0 && c.hasOtherPending(number) {
		c.paceRequests(number)
	}
}

// ReadIsLate reports whether the bytes that Read has returned last may have been unread for long. Only the goroutine that reads the connection may
// call it.
func (c *Conn) ReadIsLate() bool { return c.arrivals.lastReadIsLate() }

// PeekUnread copies bytes that follow those that Read has returned, as many as were received and fit into the buffer, and returns how many.
func (c *Conn) PeekUnread(buffer []byte) int { return c.peekUnread(buffer) }

// hasOtherPending reports whether more requests are pending than those that have just begun.
func (c *Conn) hasOtherPending(begun int) bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.incompleteRequests+c.unansweredRequests > begun
}

// updatePendingLocked records how many requests are pending on the connection. listener.mu is held.
func (c *Conn) updatePendingLocked() {
	pending := max(c.incompleteRequests+c.unansweredRequests-c.openJobs, 0)
	if c.serverClosed {
		pending = 0
	}
	c.listener.pendingRequests += pending - c.pendingRequests
	if pending < c.pendingRequests {
		c.listener.requestEnded.Broadcast()
	}
	c.pendingRequests = pending
}

package transport

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// Conn is a client's connection to a Listener.
//
// If the listener is not multiplexed, a connection carries one request at a time: Read returns the bytes of one request to
// net/http, and nothing more until that request is answered. Bytes received meanwhile are read from the socket and queued for the
// next request. So a disconnect is noticed while a request is served, even if the client sent further bytes before. If the listener
// is multiplexed, Read returns the bytes as received, and the implementation of the protocol (transport/http2) parses them before it
// calls Read again.
//
// Only one goroutine reads at a time. The fields guarded by listener.mu are the state of the connection. They and the atomic
// fields may be used from any goroutine, for example by the listener, which closes a connection to free capacity for another.
type Conn struct {
	*net.TCPConn
	listener            *Listener
	firstRequestBeganAt time.Time // see FirstRequestBeganAt

	// Owned by the goroutine that reads. No goroutine reads while net/http reports the connection idle, which resets
	// requestComplete.
	framing            requestFraming
	requestComplete    bool           // the current request was read to its end and is not answered
	pending            readAheadQueue // bytes received after the current request
	lastReadAt         time.Time      // when the bytes of the last read were received, ...
	lastReadFromSocket bool           // ... and whether they came from the socket, not from pending
	requestsUnpaced    int            // see paceRequests

	arrivals          arrivalTimes              // used only if multiplexed
	requestArrivedAt  atomic.Pointer[time.Time] // when the last byte of the current request was received; nil if not known. Not if multiplexed
	responseStarted   atomic.Bool               // at least one byte has been written on the connection
	clientGone        atomic.Bool               // the client has shut its side, or the connection broke
	pendingBytes      atomic.Int32              // pending.size
	pendingOverflowed atomic.Bool               // more than maxReadAheadBytes were received after a request

	// Guarded by listener.mu.
	phase          phase
	phaseSince     time.Time // when the phase was entered; in phaseReading, when the last bytes were received
	requestBeganAt time.Time // firstRequestBeganAt, or when the first byte of the current request was received
	hasCarriedJob  bool      // it carries or has carried a job
	serverClosed   bool      // Close was called
	evicted        bool      // the listener has evicted it, and Close has not been called since
	unreadSince    time.Time // when the listener found bytes that its reader had not read; zero once it reads
	closeStarted   bool      // Close, RefuseRequests or Listener.RejectUnfinished has begun to close it, so Close does not linger again

	// Guarded by listener.mu; used only if multiplexed.
	prefaceRead        bool      // the preface was read
	unparsed           bool      // Read has returned bytes, and was not called again, so that they may not be parsed
	hasBegunRequest    bool      // a request has begun on it
	incompleteRequests int       // requests of which a part was read
	unansweredRequests int       // requests that were read, and have not ended
	pendingRequests    int       // as counted in listener.pendingRequests
	openJobs           int       // jobs of requests; a job may outlive a request that its client cancels
	idleSince          time.Time // when its preface was read, or its last request or job ended
}

// Read implements net.Conn. On a connection that is not multiplexed it returns bytes of one request only, after the framing has
// been checked. After the end of a request it blocks until the request is answered, and reads ahead meanwhile. It returns io.EOF
// once the connection may not carry a further request.
func (c *Conn) Read(buffer []byte) (int, error) {
	if len(buffer) == 0 {
		return 0, nil
	}
	for {
		if c.framing.malformedBytesLeft > 0 {
			buffer[0] = c.framing.nextMalformedByte()
			return 1, nil
		}
		if c.listener.multiplexed {
			c.bytesParsed()
			return c.readMultiplexed(buffer[:c.awaitRequestCapacity(len(buffer))])
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
		if n, err := c.readRequest(buffer); n > 0 || err != nil {
			return n, err
		}
	}
}

// readMultiplexed reads once, and returns all bytes.
func (c *Conn) readMultiplexed(buffer []byte) (int, error) {
	c.arrivals.beginRead(time.Now(), c.unreadCount)
	n, err := c.readNext(buffer)
	if n == 0 {
		return 0, err
	}
	c.arrivals.endRead(c.lastReadAt, c.listener.pauses.delayedSince(c.lastReadAt), n)
	if !c.noteRequestBytes(false) {
		return 0, io.EOF // closed since Read began: these bytes belong to no request that is served here
	}
	return n, err
}

// readRequest reads once, and returns how many of the bytes belong to the current request; 0 without an error if the framing
// found the bytes malformed.
func (c *Conn) readRequest(buffer []byte) (int, error) {
	n, err := c.readNext(buffer)
	passed, complete := c.framing.scan(buffer[:n])
	if n > 0 && !c.noteRequestBytes(complete) {
		return 0, io.EOF // closed since Read began: these bytes belong to no request that is served here
	}
	if complete {
		c.completeRequest(buffer[passed:n])
	}
	return passed, err
}

// Write writes a part of an answer.
func (c *Conn) Write(b []byte) (int, error) {
	c.responseStarted.Store(true)
	return c.TCPConn.Write(b)
}

// readNext reads pending bytes, or from the socket if there are none.
func (c *Conn) readNext(b []byte) (n int, err error) {
	if c.pending.size == 0 {
		n, err = c.TCPConn.Read(b)
		c.lastReadAt, c.lastReadFromSocket = time.Now(), true
		c.noteReadError(err)
		return n, err
	}
	c.paceRequests(1)
	n, c.lastReadAt = c.pending.pop(b)
	c.lastReadFromSocket = false
	c.pendingBytes.Store(int32(c.pending.size))
	return n, nil
}

// completeRequest records that the current request was read to its end, and when its last byte was received. The parameter rest has
// the bytes that were read beyond the end.
func (c *Conn) completeRequest(rest []byte) {
	c.requestComplete = true
	receivedAt := c.lastReadAt
	if c.lastReadFromSocket { // otherwise it was read ahead, as soon as it was received
		receivedAt = receivedAt.Add(-c.sinceLastReceive())
	}
	c.requestArrivedAt.Store(&receivedAt)
	c.pending.pushFront(rest, receivedAt)
	c.pendingBytes.Store(int32(c.pending.size))
}

// maxReadAheadBytes is how many bytes received after an unanswered request are queued for the connection's next request. Further
// bytes are discarded, and the connection is closed after the answer: its client sends them again on another connection.
const maxReadAheadBytes = 16 << 10

// readAhead reads from the socket after an unanswered request. It blocks until something is received. It returns an error if the
// client has left or the read deadline has passed.
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

// noteReadError records that the client has gone, if a read error means that.
func (c *Conn) noteReadError(err error) {
	if err == nil {
		return
	}
	// net/http aborts its background read of each request by setting a deadline, and errors.As would allocate for each request.
	netErr, ok := err.(net.Error) //nolint:errorlint // hot path; errors of net.TCPConn are not wrapped
	if !ok || !netErr.Timeout() {
		c.clientGone.Store(true)
	}
}

// awaitingAnswer reports whether the current request is complete and unanswered, so that further bytes belong to a later one.
func (c *Conn) awaitingAnswer() bool {
	if c.requestComplete {
		return true
	}
	if c.framing.position != inChunkedBody { // only net/http, and so the frontend, knows where a chunked request ends
		return false
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.phase == phaseServing
}

// SetReadDeadline implements net.Conn. net/http sets the deadline of a first request when it begins to read it; its client may have been
// connected for long by then.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	if deadline.IsZero() || c.listener.multiplexed {
		return c.TCPConn.SetReadDeadline(deadline)
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if due := c.requestBeganAt.Add(requestReadTimeout); (c.phase == phaseNew || c.phase == phaseReading) && due.Before(deadline) {
		deadline = due
	}
	return c.TCPConn.SetReadDeadline(deadline)
}

// FirstRequestBeganAt returns from when the time for a first request counts: when the client connected, or later if the connection waited
// for so long that minReadTime would not be left.
func (c *Conn) FirstRequestBeganAt() time.Time { return c.firstRequestBeganAt }

// ClientConn returns the connection itself. Types that wrap a Conn have the same method.
func (c *Conn) ClientConn() *Conn { return c }

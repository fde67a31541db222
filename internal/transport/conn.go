package transport

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// Conn is a client's connection to a Listener.
//
// If the listener is not multiplexed, a connection carries one request at a time: Read returns to net/http the bytes of one request,
// and no more until it is answered. Bytes received meanwhile are read all the same and queued for the next request. So the
// client's leaving is noticed while its request is served, even if it left bytes unread. If the listener is multiplexed, Read
// returns the bytes as received, and whoever speaks the protocol (transport/http2) follows them.
//
// One goroutine at a time reads. The fields under listener.mu say what the connection is at; they, and the atomic ones, may be
// used from any goroutine, for example by the listener, which closes a connection to free capacity for another.
type Conn struct {
	*net.TCPConn
	listener *Listener

	// Owned by the goroutine that reads. net/http reports a connection idle, which resets requestComplete, while nobody reads.
	framing            requestFraming
	requestComplete    bool           // the present request was read to its end and is not answered
	pending            readAheadQueue // bytes received after the present request
	lastReadAt         time.Time      // when the bytes read last had been received, ...
	lastReadFromSocket bool           // ... and whether they came from the socket, not from pending

	requestArrivedAt  atomic.Pointer[time.Time] // when the last byte of the present request was received; nil if not known
	responseStarted   atomic.Bool               // at least one byte was written, ever
	clientGone        atomic.Bool               // the client has shut its side, or the connection broke
	pendingBytes      atomic.Int32              // pending.size
	pendingOverflowed atomic.Bool               // more than maxReadAheadBytes were received after a request

	// Guarded by listener.mu.
	phase          phase
	phaseSince     time.Time // when the phase was entered; in phaseReading, when the last bytes were received
	requestBeganAt time.Time // when the connection was accepted, or the first byte of the present request was received
	hasCarriedJob  bool      // it has carried a job at some time
	openJobs       int       // jobs on it now, if multiplexed
	closeStarted   bool      // Close or Listener.RejectUnfinished has begun to end it: Close does not linger again
}

// Read implements net.Conn. On a connection that is not multiplexed it returns bytes of one request only, after the framing
// has been checked. After the end of a request it blocks until that is answered, reading ahead meanwhile, and returns
// io.EOF once the connection may not carry a further request.
func (c *Conn) Read(buffer []byte) (int, error) {
	if len(buffer) == 0 {
		return 0, nil
	}
	for {
		if c.framing.malformedBytesLeft > 0 {
			buffer[0] = c.framing.nextMalformedByte()
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
		if n, err := c.readRequest(buffer); n > 0 || err != nil {
			return n, err
		}
	}
}

// readRequest reads once, and returns how many of the bytes belong to the present request; 0 without an error if the framing
// found the bytes malformed. On a multiplexed connection all bytes are returned.
func (c *Conn) readRequest(buffer []byte) (int, error) {
	n, err := c.readNext(buffer)
	if n > 0 && !c.noteRequestBytes() {
		return 0, io.EOF // closed since mayNotContinue was called: these bytes belong to no request that is served here
	}
	if c.listener.multiplexed {
		return n, err
	}
	passed, complete := c.framing.scan(buffer[:n])
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

// readNext reads what is pending, or else from the socket.
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

// completeRequest records that the present request was read to its end, and when its last byte was received. rest is what was
// read beyond it.
func (c *Conn) completeRequest(rest []byte) {
	c.requestComplete = true
	receivedAt := c.lastReadAt
	if c.lastReadFromSocket { // else it was read ahead, as soon as it was received
		receivedAt = receivedAt.Add(-c.sinceLastReceive())
	}
	c.requestArrivedAt.Store(&receivedAt)
	c.pending.pushFront(rest, receivedAt)
	c.pendingBytes.Store(int32(c.pending.size))
}

// maxReadAheadBytes is how many bytes received after an unanswered request are queued for the connection's next one. Further
// ones are discarded, and the connection is closed after the answer: its client sends them again on another connection.
const maxReadAheadBytes = 16 << 10

// readAhead reads from the socket after an unanswered request. It blocks until something is received. An error says that the
// client has left, or is a deadline.
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

// noteReadError records that the client has gone, if an error of a read says so.
func (c *Conn) noteReadError(err error) {
	if err == nil {
		return
	}
	// net/http aborts its background read of each request by a deadline, and errors.As would allocate for each of them.
	netErr, ok := err.(net.Error) //nolint:errorlint // hot path; errors of net.TCPConn are not wrapped
	if !ok || !netErr.Timeout() {
		c.clientGone.Store(true)
	}
}

// awaitingAnswer reports whether the present request is complete and unanswered, so that further bytes belong to a later one.
func (c *Conn) awaitingAnswer() bool {
	if c.listener.multiplexed {
		return false
	}
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

// ClientConn returns the connection itself. Types that wrap a Conn have the same method.
func (c *Conn) ClientConn() *Conn { return c }

package transport

import (
	"time"

	"brassdale/internal/decisions/http2limits"
)

// phase is the state of a client's connection. A request begins with its first byte, on HTTP/2 with the frame that opens its stream. It is
// taken once its last byte was read (a chunked one once the frontend has decoded it), and ends when its answer is written, on HTTP/2 also
// when its stream is reset.
//
//	new -> reading -> serving -> idle -> reading -> ...
//
// From any phase a connection may go to closing, which it never leaves. A multiplexed connection, which has many requests, has the phase of
// the one that is furthest: serving if one is taken; else reading if one has begun, or if bytes were received and not parsed; else idle, or
// new if none has ever begun. Before its preface was read it is new or reading.
//
// Invariants, for each protocol:
//
//  1. Bytes that were received are either seen in the phase (reading or serving) or found by Conn.hasUnreadBytes, which
//     Listener.leastUseful asks before it takes a connection for one that waits for a request. Not seen are a part of an HTTP/2 frame's
//     header and a part of a TLS record, once their reader waits for the rest: no request is taken by them.
//  2. A connection with a request that is taken is serving until the request ends. The listener does not close it: only its server may
//     (Conn.Close), when the client has left, has violated the protocol (a flood of frames included) or does not read. A client that only
//     stops in the middle of a frame does none of these.
//  3. The listener closes connections in every other phase (eviction, CloseWhenIdle, RejectUnfinished), and decides so in the same critical
//     section in which they enter closing.
//  4. On a closing connection no request is taken and no job is admitted: bytes that its reader still receives are dropped, and
//     Conn.admitJob rejects requests that were read before. So no job is sent whose answer could not be written.
//  5. Nothing that holds listener.mu waits for another goroutine to change a phase: each of its loops makes the change that it tests for.
type phase uint8

const (
	phaseNew     phase = iota // no request has begun
	phaseIdle                 // between requests
	phaseReading              // a request has begun
	phaseServing              // a request is taken; its answer is pending
	phaseClosing              // takes no further request
)

// String returns the phase as it is logged.
func (p phase) String() string {
	return [...]string{phaseNew: "new", phaseIdle: "idle", phaseReading: "reading", phaseServing: "serving", phaseClosing: "closing"}[p]
}

// setPhaseLocked changes the phase. Every change but that of beginning a connection goes through it, so that Listener.LogPhases shows the
// whole course of a connection. listener.mu is held.
func (c *Conn) setPhaseLocked(next phase, now time.Time) {
	if next != c.phase && c.listener.logsPhases {
		c.listener.log.Debug("client connection phase", "from", c.phase.String(), "to", next.String(), "open_jobs", c.openJobs, "client", c.RemoteAddr())
	}
	c.phase, c.phaseSince = next, now
	if next == phaseClosing {
		c.listener.requestEnded.Broadcast()
	}
}

// enterPhase changes the phase, unless the connection is closing. After Listener.CloseWhenIdle, a connection that becomes idle
// without pending bytes is closing at once, and its next Read returns io.EOF.
func (c *Conn) enterPhase(next phase) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if next == phaseIdle {
		c.requestComplete = false
		c.requestArrivedAt.Store(nil)
	}
	if c.phase == phaseClosing {
		return
	}
	now := time.Now()
	c.setPhaseLocked(next, now)
	if next == phaseIdle && c.listener.closesIdle && c.pendingBytes.Load() == 0 {
		c.setPhaseLocked(phaseClosing, now)
	}
}

// PrefaceRead records that the preface of a multiplexed connection was read: it can carry requests from now on.
func (c *Conn) PrefaceRead() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.prefaceRead, c.idleSince = true, time.Now()
}

// noteRequestBytes records that bytes of a request were read, up to the last one if complete is true. It reports whether the request may
// still be served.
func (c *Conn) noteRequestBytes(complete bool) bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.unparsed = c.listener.multiplexed
	c.unreadSince = time.Time{}
	now := time.Now()
	mayBeServed := c.noteRequestBytesLocked(now)
	if complete && mayBeServed {
		c.setPhaseLocked(phaseServing, now)
	}
	return mayBeServed
}

// noteRequestBytesLocked records that bytes were received: a connection that waits for a request is reading from then on. It reports
// whether a request of which they are may still be served. listener.mu is held.
func (c *Conn) noteRequestBytesLocked(now time.Time) bool {
	switch c.phase {
	case phaseClosing:
		return c.listener.multiplexed && c.closeStarted // RefuseRequests: its caller discards them
	case phaseIdle:
		c.requestBeganAt = now
		fallthrough
	case phaseNew:
		c.setPhaseLocked(phaseReading, now)
	case phaseReading:
		c.phaseSince = now
	}
	return true
}

// SetOpenRequests records how many requests are open on a multiplexed connection: incomplete ones, of which a part was read, and unanswered
// ones, which were read and have not ended.
func (c *Conn) SetOpenRequests(incomplete, unanswered int) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.incompleteRequests == incomplete && c.unansweredRequests == unanswered {
		return
	}
	c.incompleteRequests, c.unansweredRequests, c.hasBegunRequest = incomplete, unanswered, true
	c.updatePendingLocked()
	c.idleSince = time.Now()
	c.updateMultiplexedLocked(c.idleSince)
}

// bytesParsed records that all bytes which Read has returned on a multiplexed connection were parsed.
func (c *Conn) bytesParsed() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.unparsed = false
	c.updateMultiplexedLocked(time.Now())
}

// updateMultiplexedLocked sets the phase of a multiplexed connection whose preface was read, by what is open on it. Bytes that opened no
// request do not count for how long it has waited for one. listener.mu is held.
func (c *Conn) updateMultiplexedLocked(now time.Time) {
	if !c.prefaceRead || c.phase == phaseClosing {
		return
	}
	next := c.multiplexedPhase()
	if next != c.phase {
		c.setPhaseLocked(next, now)
	}
	if next == phaseIdle || next == phaseNew {
		c.phaseSince = c.idleSince
	}
}

// multiplexedPhase returns the phase of a multiplexed connection that is not closing. listener.mu is held.
func (c *Conn) multiplexedPhase() phase {
	switch {
	case c.openJobs > 0 || c.unansweredRequests > 0:
		return phaseServing
	case c.incompleteRequests > 0 || c.unparsed:
		return phaseReading
	case !c.hasBegunRequest:
		return phaseNew
	}
	return phaseIdle
}

// mayNotContinue reports whether the connection may carry no further request: it is closing, or idle after its client left or
// sent more than could be queued.
func (c *Conn) mayNotContinue() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.phase == phaseClosing || c.phase == phaseIdle && (c.clientGone.Load() || c.pendingOverflowed.Load())
}

// admitJob records a job on the connection. It returns why the connection may not carry it, or an empty string if it may. It may not if it
// is closing, since no answer could be written, or if it is multiplexed and has used up its share of the listener's streams.
func (c *Conn) admitJob() (rejected string) {
	listener := c.listener
	listener.mu.Lock()
	defer listener.mu.Unlock()
	if c.phase == phaseClosing {
		return rejectedConnClosing
	}
	if listener.multiplexed {
		if !http2limits.WithinDynamicThreshold(listener.maxOpenJobs, listener.openJobs, c.openJobs, minStreamsPerConn) {
			return rejectedStreamLimit
		}
		c.openJobs++
		listener.openJobs++
		c.updatePendingLocked()
	}
	c.setPhaseLocked(phaseServing, time.Now())
	c.hasCarriedJob = true
	return ""
}

// isClosing reports whether the connection is closing.
func (c *Conn) isClosing() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.phase == phaseClosing
}

// releaseJob ends a job that was admitted. On a connection that is not multiplexed it does nothing: net/http reports when the
// connection is idle again.
func (c *Conn) releaseJob() {
	listener := c.listener
	listener.mu.Lock()
	defer listener.mu.Unlock()
	if !listener.multiplexed {
		return
	}
	listener.openJobs--
	c.openJobs--
	c.updatePendingLocked()
	if c.openJobs == 0 {
		c.idleSince = time.Now()
		c.updateMultiplexedLocked(c.idleSince)
	}
}

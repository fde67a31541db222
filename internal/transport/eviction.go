package transport

import (
	"time"
)

const (
	// rejectionReserveDivisor sets the reserve of connections beyond Listener.maxConns: 1/10 of maxConns. When a request is taken
	// on each other connection, a connection of the reserve gets a rejection.
	rejectionReserveDivisor = 10

	// freeConnsDivisor sets when NearlyFull reports true: if fewer than 1/16 of the connections would be free.
	freeConnsDivisor = 16

	// minStreamsPerConn is how many jobs a multiplexed connection may always have open while the listener has any capacity.
	minStreamsPerConn = 4

	// newConnGrace is how long a new connection may be without a request before it counts as silent. A client that has a request
	// sends it as it connects, on HTTP/2 after its preface.
	newConnGrace = 20 * time.Millisecond

	// stalledRequestAge is how long after its last bytes an incomplete request counts as abandoned, not slow.
	stalledRequestAge = 500 * time.Millisecond

	// unreadGrace is how long a connection whose bytes this process has not read yet is not evicted for them: they may be a whole request.
	// readerPollInterval is the time between two looks for whether they were read.
	unreadGrace        = 100 * time.Millisecond
	readerPollInterval = time.Millisecond

	// maxEvictedConns is how many evicted connections may not have ended while Accept returns another one.
	maxEvictedConns = 8

	// evictionLogInterval is the minimum time between two log lines about evictions.
	evictionLogInterval = time.Second
)

// evictionRank orders connections by how little their clients lose if the connection is closed. A connection of the highest rank
// is closed first; among equal ranks it is the connection that has been in its phase longest.
type evictionRank uint8

const (
	neverEvicted   evictionRank = iota // a request is taken
	evictUnread                        // was received and is not read; it may be a whole request
	evictReading                       // a request is being received
	evictNew                           // has just connected
	evictIdle                          // between jobs; while this process shuts down, its client may have no other connection
	evictStalled                       // an incomplete request, of which nothing was received for stalledRequestAge
	evictNeverUsed                     // idle, and has never carried a job
	evictSilent                        // has sent no request for newConnGrace
	evictClosing                       // takes no further request
)

// evictionRank returns the connection's rank. listener.mu is held.
func (c *Conn) evictionRank(now time.Time) evictionRank {
	switch {
	case c.phase == phaseClosing:
		return evictClosing
	case c.awaitsReader(now):
		return evictUnread
	case c.phase == phaseNew && now.Sub(c.phaseSince) > newConnGrace:
		return evictSilent
	case c.phase == phaseIdle && !c.hasCarriedJob:
		return evictNeverUsed
	case c.phase == phaseReading && now.Sub(c.phaseSince) > stalledRequestAge:
		return evictStalled
	case c.phase == phaseIdle:
		return evictIdle
	case c.phase == phaseNew:
		return evictNew
	case c.phase == phaseReading:
		return evictReading
	}
	return neverEvicted
}

// awaitsReader reports whether bytes of the connection wait to be read for less than unreadGrace. listener.mu is held.
func (c *Conn) awaitsReader(now time.Time) bool {
	return c.phase == phaseReading && !c.unreadSince.IsZero() && now.Sub(c.unreadSince) < unreadGrace
}

// awaitEvictedConns waits until few evicted connections have not ended.
func (l *Listener) awaitEvictedConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.evictedConns > maxEvictedConns {
		l.connEnded.Wait()
	}
}

// evictedConnEndedLocked records that the server of an evicted connection has closed it. mu is held.
func (l *Listener) evictedConnEndedLocked(conn *Conn) {
	if conn.evicted {
		conn.evicted = false
		l.evictedConns--
		l.connEnded.Signal()
	}
}

// admitConn adds a connection to the table, and reports whether there is capacity for it. At the limit it evicts the least useful
// connection. It waits for connections whose bytes have not been read, since after that they are evictable or have a request that is taken. If
// a request is taken on each, the new connection is taken from the reserve for rejections.
func (l *Listener) admitConn(conn *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.conns) >= l.maxConns {
		now := time.Now()
		victim := l.leastUseful(now)
		if victim == nil {
			break
		}
		if !victim.awaitsReader(now) {
			l.evictLocked(victim, now)
			break
		}
		l.mu.Unlock()
		time.Sleep(readerPollInterval)
		l.mu.Lock()
	}
	if len(l.conns) >= l.maxConns+l.maxConns/rejectionReserveDivisor {
		l.unansweredConns++
		l.log.Debug("client connection rejected", "reason", "reserve for rejections used up", "client", conn.RemoteAddr())
		return false
	}
	l.conns[conn] = struct{}{}
	return true
}

// evictLocked closes a connection to free its descriptor at once. mu is held. The goroutine that reads it gets an error and ends.
func (l *Listener) evictLocked(victim *Conn, now time.Time) {
	l.removeConnLocked(victim)
	victim.evicted = true
	l.evictedConns++
	l.log.Debug("client connection evicted", "reason", "connection limit", "phase", victim.phase.String(), "client", victim.RemoteAddr())
	victim.setPhaseLocked(phaseClosing, now) // bytes that its reader has just received are not served
	_ = victim.TCPConn.Close()               // nothing is written on it any more; fails only if it is closed already
	l.evictedSinceLog++
	if now.Sub(l.evictionLoggedAt) > evictionLogInterval {
		l.log.Warn("client connections evicted", "evicted", l.evictedSinceLog, "limit", l.maxConns)
		l.evictionLoggedAt, l.evictedSinceLog = now, 0
	}
}

// leastUseful returns the connection to evict, nil if a request is taken on each. mu is held. A connection with unread bytes is not silent: it
// counts as reading, and is the last to be evicted before its reader could read them. Each turn of the loop but the last makes a connection one that awaits its
// reader, and none ceases to meanwhile, so there are at most as many turns as connections.
func (l *Listener) leastUseful(now time.Time) *Conn {
	for {
		var least *Conn
		for conn := range l.conns {
			if rank := conn.evictionRank(now); rank > neverEvicted && (least == nil || rank > least.evictionRank(now) ||
				rank == least.evictionRank(now) && conn.phaseSince.Before(least.phaseSince)) {
				least = conn
			}
		}
		if least == nil || least.phase == phaseClosing || !least.unreadSince.IsZero() || !least.hasUnreadBytes() {
			return least
		}
		least.noteRequestBytesLocked(now)
		least.unreadSince = now
	}
}

// EvictSilent closes connections that have sent no request, until the number of open connections is at most the parameter keep.
// Connections that carried a request stay.
func (l *Listener) EvictSilent(keep int) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.conns) > keep {
		victim := l.leastUseful(now)
		if victim == nil || victim.evictionRank(now) < evictSilent {
			return
		}
		l.evictLocked(victim, now)
	}
}

// EvictBeyond closes connections without a request that is taken, until the number of open connections is at most the parameter keep.
// Connections whose bytes were received and not read yet are left for a later call.
func (l *Listener) EvictBeyond(keep int) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.conns) > keep {
		victim := l.leastUseful(now)
		if victim == nil || victim.awaitsReader(now) {
			return
		}
		l.evictLocked(victim, now)
	}
}

// removeConnLocked removes a connection from the table, if it is there, and counts it for ClosedWithoutResponse. mu is held.
func (l *Listener) removeConnLocked(conn *Conn) {
	if _, present := l.conns[conn]; present && !conn.responseStarted.Load() && !conn.clientGone.Load() {
		l.unansweredConns++
	}
	delete(l.conns, conn)
}

// Full reports whether connections of the reserve for rejections are in use, so that the next request must be rejected.
func (l *Listener) Full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns) > l.maxConns
}

// NearlyFull reports whether fewer than 1/freeConnsDivisor of the connections are free for further requests. The caller's own is serving, and
// so not among these.
func (l *Listener) NearlyFull() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	free := 0
	for conn := range l.conns {
		if conn.phase != phaseServing && conn.phase != phaseClosing {
			free++
		}
	}
	return free < len(l.conns)/freeConnsDivisor
}

package transport

import (
	"sync"
	"time"
)

// A request's deadline counts from its arrival, not from when this process read it. The kernel tells when the last bytes of a connection
// arrived, which is enough for a connection that carries one request at a time. A multiplexed connection may have received any number of
// requests since its last read, and net/http does not tell a handler by which read its request came. arrivalTimes therefore keeps the earliest
// time that is possible: too early by the time for which reading was delayed at most, and never too late.

const (
	// promptReadTime is how long bytes may be unread without being late: the rules on deadlines allow for more.
	promptReadTime = 50 * time.Millisecond

	// minWaitTime is the duration from which on a read has waited for bytes.
	minWaitTime = time.Millisecond

	// checkpointInterval is the minimum time between two looks at how many bytes are unread.
	checkpointInterval = promptReadTime / 2

	// handlerStartTime is how long after a late read the handlers of the requests that came by it may start.
	handlerStartTime = 100 * time.Millisecond
)

// arrivalTimes knows when the requests of a multiplexed connection arrived. handlerStarts is called from any goroutine, the other methods by
// the one that reads the connection.
type arrivalTimes struct {
	beganAt      time.Time // when the last read began
	notBefore    time.Time // no unread byte arrived before it; at first when the client connected
	checkpointAt time.Time // when checkpointLeft was counted
	// checkpointLeft is how many of the bytes that were unread at checkpointAt are still unread. All others arrived later.
	checkpointLeft int
	read           readTimes

	mu         sync.Mutex
	earliestAt time.Time // the earliest time at which a request may have arrived whose handler has not started
	readAt     time.Time // when that request was read
	unstarted  int       // requests that have begun whose handlers have not started, as far as known
}

// readTimes are the times of a read that has returned bytes.
type readTimes struct {
	returnedAt time.Time
	arrivedAt  time.Time // the earliest time at which the bytes may have arrived
}

// isLate reports whether the bytes may have been unread for longer than promptReadTime.
func (r *readTimes) isLate() bool { return r.returnedAt.Sub(r.arrivedAt) > promptReadTime }

// beginRead records that a read begins. It calls unreadCount, for the number of unread bytes, if that was not known for checkpointInterval.
func (a *arrivalTimes) beginRead(now time.Time, unreadCount func() int) {
	a.beganAt = now
	if a.checkpointLeft > 0 || now.Sub(a.notBefore) < checkpointInterval {
		return
	}
	a.checkpointAt, a.checkpointLeft = now, unreadCount()
	if a.checkpointLeft == 0 {
		a.notBefore = now
	}
}

// endRead records that the read has returned a number of bytes. The parameter delayedSince is since when the process may have been paused, now if
// it was not.
func (a *arrivalTimes) endRead(now, delayedSince time.Time, number int) {
	if a.checkpointLeft == 0 && now.Sub(a.beganAt) >= minWaitTime {
		a.notBefore = laterTime(a.beganAt, delayedSince)
	}
	a.read = readTimes{returnedAt: now, arrivedAt: now}
	if now.Sub(a.notBefore) > promptReadTime {
		a.read.arrivedAt = a.notBefore
	}
	if a.checkpointLeft > 0 {
		a.passCheckpoint(number)
	}
}

// passCheckpoint counts bytes that were read. Once all that were unread at the checkpoint were read, the rest arrived after it.
func (a *arrivalTimes) passCheckpoint(number int) {
	a.checkpointLeft = max(a.checkpointLeft-number, 0)
	if a.checkpointLeft == 0 {
		a.notBefore = a.checkpointAt
	}
}

// lastReadIsLate reports whether bytes of the last read may have been unread for longer than promptReadTime.
func (a *arrivalTimes) lastReadIsLate() bool { return a.read.isLate() }

// requestsBegun records how many requests have begun in the bytes of the last read. If there is one, and all unread bytes belong to it,
// lastBytesAt is when the last bytes of the connection arrived; else it is zero.
func (a *arrivalTimes) requestsBegun(number int, lastBytesAt time.Time) {
	if number == 0 {
		return
	}
	arrivedAt := laterTime(a.read.arrivedAt, lastBytesAt)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.read.returnedAt.Sub(a.readAt) > handlerStartTime {
		a.unstarted = 0 // those that are missing were rejected without a handler
	}
	if a.unstarted == 0 || arrivedAt.Before(a.earliestAt) {
		a.earliestAt, a.readAt = arrivedAt, a.read.returnedAt
	}
	a.unstarted += number
}

// handlerStarts records that the handler of a request starts, and returns the earliest time at which the request may have arrived.
func (a *arrivalTimes) handlerStarts() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unstarted = max(a.unstarted-1, 0)
	return a.earliestAt
}

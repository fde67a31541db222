package transport

import (
	"bufio"
	"errors"
	"io"
	"net"
	"slices"
	"syscall"
	"time"

	"brassdale/scheduler"
)

// minIdleBeforeReuse is how long a connection is idle after a response before it carries another exchange: a second response may
// follow some milliseconds after the first, and would be taken for that of the next request.
const minIdleBeforeReuse = 20 * time.Millisecond

// connection is a connection to an endpoint.
type connection struct {
	conn      net.Conn
	address   string            // that it was opened to
	readLimit *io.LimitedReader // bounds what reader may read of conn
	reader    *bufio.Reader
	idleSince time.Time // set while it is idle
	used      bool      // it has carried an exchange
}

// keepIdle keeps a connection for another exchange, if the endpoint may have another idle one.
func (e *endpoint) keepIdle(free *connection) {
	if len(e.idle) >= e.pool.maxIdleConnections() || e.listed.State == scheduler.Gone {
		e.closeConnection(free)
		return
	}
	free.idleSince = time.Now()
	e.idle = append(e.idle, free)
}

// closeIdle closes the idle connections whose idle deadline has passed at a time; all for the zero time.
func (e *endpoint) closeIdle(at time.Time) {
	e.closeIdleWhere(func(c *connection) bool { return at.IsZero() || !at.Before(e.pool.idleDeadline(c.idleSince)) })
}

// closeIdleWhere closes the idle connections that match.
func (e *endpoint) closeIdleWhere(matches func(*connection) bool) {
	e.idle = slices.DeleteFunc(e.idle, func(c *connection) bool {
		if !matches(c) {
			return false
		}
		e.closeConnection(c)
		return true
	})
}

// closeConnection closes a connection, which another endpoint may open in its place.
func (e *endpoint) closeConnection(c *connection) {
	_ = c.conn.Close() // nothing is to be sent on it any more
	e.pool.releaseConnection()
}

// isAlive reports, without blocking, whether an idle connection is open and has nothing to read. What is written to one that the peer
// has closed would end as a reset, after which the request may have run.
func isAlive(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, err := syscall.Read(int(fd), buffer[:])
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

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

// reuseDelay is how long a connection is not used again after a response. A worker may send a second response some
// milliseconds after the first, which would be taken for the response to the next attempt.
const reuseDelay = 20 * time.Millisecond

// workerConn is a connection to a worker. While it is idle, its endpoint's actor owns it; while it is assigned, the goroutine of
// its exchange owns it. Only conn.Close may be called from other goroutines.
type workerConn struct {
	conn      net.Conn
	address   string            // that was dialed
	readLimit *io.LimitedReader // how much reader may still read from conn
	reader    *bufio.Reader
	idleSince time.Time // while it is idle
	wasUsed   bool      // an exchange was assigned to it
}

func newWorkerConn(conn net.Conn, address string) *workerConn {
	readLimit := &io.LimitedReader{R: conn}
	return &workerConn{conn: conn, address: address, readLimit: readLimit, reader: bufio.NewReader(readLimit)}
}

// takeIdle removes and returns the most recently used connection that has been idle for reuseDelay, nil if there is none. On the
// way it closes connections that have expired or that the worker has closed.
func (e *endpoint) takeIdle(now time.Time) *workerConn {
	for i := len(e.idleConns) - 1; i >= 0; i-- {
		conn := e.idleConns[i]
		if conn.wasUsed && now.Sub(conn.idleSince) < reuseDelay {
			continue
		}
		e.idleConns = slices.Delete(e.idleConns, i, i+1)
		if now.Before(e.pool.idleExpiry(conn.idleSince)) && isStillOpen(conn.conn) {
			return conn
		}
		e.closeConn(conn)
	}
	return nil
}

// addIdle adds a connection to the idle connections, or closes it if there are enough or the worker is gone.
func (e *endpoint) addIdle(conn *workerConn) {
	if len(e.idleConns) >= e.pool.maxIdleConns() || e.listed.State == scheduler.Gone {
		e.closeConn(conn)
		return
	}
	conn.idleSince = time.Now()
	e.idleConns = append(e.idleConns, conn)
}

// closeExpired closes the idle connections that have expired by now.
func (e *endpoint) closeExpired(now time.Time) {
	e.closeIdleIf(func(conn *workerConn) bool { return !now.Before(e.pool.idleExpiry(conn.idleSince)) })
}

// closeAllIdle closes all idle connections.
func (e *endpoint) closeAllIdle() {
	e.closeIdleIf(func(*workerConn) bool { return true })
}

// closeIdleIf closes the idle connections for which condition reports true.
func (e *endpoint) closeIdleIf(condition func(*workerConn) bool) {
	e.idleConns = slices.DeleteFunc(e.idleConns, func(conn *workerConn) bool {
		if !condition(conn) {
			return false
		}
		e.closeConn(conn)
		return true
	})
}

// closeConn closes a connection and returns its capacity to the pool.
func (e *endpoint) closeConn(conn *workerConn) {
	_ = conn.conn.Close() // nothing is written on it any more; fails only if cancel has closed it
	e.pool.releaseConn()
}

// isStillOpen reports whether an idle connection is open and has nothing to read. It does not block. A request written to a
// connection that the worker has closed would end in a reset, after which it may have been executed.
func isStillOpen(conn net.Conn) bool {
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

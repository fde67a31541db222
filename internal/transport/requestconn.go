package transport

import (
	"context"
	"net"
	"net/http"
	"time"
)

// connKey is the context key of a request's connection.
type connKey struct{}

// withConn is the ConnContext of an http.Server: it makes the connection known to handlers.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// ConnOf returns the connection of a request as its server's listener accepted it, nil if there is none.
func ConnOf(r *http.Request) net.Conn {
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	return conn
}

// clientConnOf returns the Conn below a request's connection. It is nil if the request did not come through a Listener, for example if
// the other process relayed it.
func clientConnOf(r *http.Request) *Conn {
	if wrapper, ok := ConnOf(r).(interface{ ClientConn() *Conn }); ok {
		return wrapper.ClientConn()
	}
	return nil
}

// clientGoneFunc returns a function that reports whether a request's client has left, or its connection is closing, so that it can get no
// answer. It may be called at any time from any goroutine, and costs a system call.
func clientGoneFunc(r *http.Request) func() bool {
	ctx, conn := r.Context(), clientConnOf(r)
	return func() bool { return ctx.Err() != nil || conn != nil && (conn.isClosing() || conn.clientHasLeft()) }
}

// markServing marks a request's connection as serving: the request was read to its end. A Conn does this by itself, except that it does not
// know the end of a chunked request. For a multiplexed connection it does nothing.
func markServing(r *http.Request) {
	if conn := clientConnOf(r); conn != nil && !conn.listener.multiplexed {
		conn.enterPhase(phaseServing)
	}
}

// admitJob records a request's job on its connection. It returns why the connection may not carry it, or an empty string if it may. Then
// releaseJob must be called when the job has ended.
func admitJob(r *http.Request) (rejected string) {
	conn := clientConnOf(r)
	if conn == nil {
		return ""
	}
	return conn.admitJob()
}

// releaseJob ends a job that admitJob admitted.
func releaseJob(r *http.Request) {
	if conn := clientConnOf(r); conn != nil {
		conn.releaseJob()
	}
}

// requestReadDeadline returns when a request must have been received completely: requestReadTimeout after its first byte. If the
// connection is multiplexed, requestReadTimeout counts from now: the head is complete by now, and had a timeout of its own.
func requestReadDeadline(r *http.Request) time.Time {
	conn := clientConnOf(r)
	if conn == nil || conn.listener.multiplexed {
		return time.Now().Add(requestReadTimeout)
	}
	conn.listener.mu.Lock()
	defer conn.listener.mu.Unlock()
	return conn.requestBeganAt.Add(requestReadTimeout)
}

// unreadDuration returns how long before now the last byte of a request was received, 0 if it is not known. On a multiplexed connection, where
// it must be called once, when the request's handler starts, it is the time since its head was received at the most.
func unreadDuration(r *http.Request, now time.Time) time.Duration {
	conn := clientConnOf(r)
	if conn == nil {
		return 0
	}
	if conn.listener.multiplexed {
		return max(now.Sub(conn.arrivals.handlerStarts()), 0)
	}
	arrivedAt := conn.requestArrivedAt.Load()
	if arrivedAt == nil {
		return 0
	}
	return max(now.Sub(*arrivedAt), 0)
}

// trackConnState is the ConnState of an http.Server: it records when a connection is idle again.
func trackConnState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*Conn); ok && state == http.StateIdle {
		c.enterPhase(phaseIdle)
	}
}

// Package listen makes listeners that survive errors of accept. Many of these pass: a connection that was aborted before it was
// accepted, no descriptors, no memory. The server of net/http takes some of them for lasting and ends.
package listen

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"
)

const (
	minBackoff  = time.Millisecond // after an error; doubled after each further one
	maxBackoff  = 100 * time.Millisecond
	logInterval = time.Second // between two log lines about errors, at least
)

// Next returns the next connection. It ends with an error only when the listener is closed or a deadline that was set on it is
// over, as both are the owner's own doing. It passes all other errors to failed, and blocks until an accept succeeds.
func Next[C any](accept func() (C, error), failed func(error)) (C, error) {
	backoff := minBackoff
	for {
		conn, err := accept()
		if err == nil || errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
		failed(err)
		time.Sleep(backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// Failures logs errors of accept, one line in logInterval at most. Its zero value needs only a Log. It may be used from any
// goroutine.
type Failures struct {
	Log *slog.Logger

	mu       sync.Mutex
	count    int // since the last log line
	loggedAt time.Time
}

// Failed notes an error.
func (f *Failures) Failed(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
	now := time.Now()
	if now.Sub(f.loggedAt) < logInterval {
		return
	}
	f.Log.Warn("accept failed, listener continues", "failures", f.count, "err", err)
	f.loggedAt = now
	f.count = 0
}

// Durable returns a listener whose Accept ends only when it is closed.
func Durable(listener net.Listener, log *slog.Logger) net.Listener {
	return &durableListener{Listener: listener, failures: Failures{Log: log}}
}

// durableListener is a listener that survives errors of accept.
type durableListener struct {
	net.Listener
	failures Failures
}

// Accept implements net.Listener.
func (l *durableListener) Accept() (net.Conn, error) {
	return Next(l.Listener.Accept, l.failures.Failed)
}

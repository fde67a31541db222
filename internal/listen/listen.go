// Package listen makes listeners that continue after errors of accept. Many of these errors are temporary: a connection was aborted
// before it was accepted, or there are no free descriptors, or there is no free memory. The server of net/http treats some of them as
// permanent and stops.
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
	minBackoff  = time.Millisecond // wait after an error; doubled after each further error
	maxBackoff  = 100 * time.Millisecond
	logInterval = time.Second // minimum time between two log lines about errors
)

// Next returns the next connection. It returns an error only if the listener is closed or its deadline has passed: the owner of the
// listener causes both. After any other error it calls failed with the error and then accept again, until an accept succeeds.
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

// Failures logs errors of accept, at most one line per logInterval. Log must be set before use. It is safe for concurrent use.
type Failures struct {
	Log *slog.Logger

	mu       sync.Mutex
	count    int // since the last log line
	loggedAt time.Time
}

// Failed counts an error, and logs it if a log line is due.
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

// Durable returns a listener whose Accept fails only if the listener is closed or its deadline has passed.
func Durable(listener net.Listener, log *slog.Logger) net.Listener {
	return &durableListener{Listener: listener, failures: Failures{Log: log}}
}

// durableListener is a listener that continues after errors of accept.
type durableListener struct {
	net.Listener
	failures Failures
}

// Accept implements net.Listener.
func (l *durableListener) Accept() (net.Conn, error) {
	return Next(l.Listener.Accept, l.failures.Failed)
}

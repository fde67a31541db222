// Package listen keeps listeners going. An accept may fail in many ways that pass: a connection that was aborted before it was
// taken, no descriptors, no memory, no room to poll one more. Of these net/http's server takes some for lasting and returns.
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
	firstPause = time.Millisecond       // behind an error, and twice as long behind each further one, ...
	mostPause  = 100 * time.Millisecond // ... up to this
	logEvery   = time.Second            // so often a row of errors is logged at the most
)

// Next gives the next connection. Only the listener's closing ends it, and a deadline that was set on it: both are errors of
// whoever owns it. All other errors are told to failed and outlived.
func Next[C any](accept func() (C, error), failed func(error)) (C, error) {
	pause := firstPause
	for {
		conn, err := accept()
		if err == nil || errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
		failed(err)
		time.Sleep(pause)
		pause = min(2*pause, mostPause)
	}
}

// Failures logs errors of accept, a line a second at the most. Its zero value needs only a Log.
type Failures struct {
	Log *slog.Logger

	mu    sync.Mutex
	count int
	said  time.Time
}

// Failed notes an error.
func (f *Failures) Failed(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
	if now := time.Now(); now.Sub(f.said) >= logEvery {
		f.Log.Warn("accept failed, the listener goes on", "failures", f.count, "err", err)
		f.said, f.count = now, 0
	}
}

// durable is a listener that outlives errors of accept.
type durable struct {
	net.Listener
	failures Failures
}

// Durable gives a listener whose Accept ends only when it is closed.
func Durable(l net.Listener, log *slog.Logger) net.Listener {
	return &durable{Listener: l, failures: Failures{Log: log}}
}

// Accept implements net.Listener.
func (d *durable) Accept() (net.Conn, error) { return Next(d.Listener.Accept, d.failures.Failed) }

package transport

import (
	"net/http"
	"sync"
	"time"
)

const (
	// requestReadTimeout is the time for a whole request, from when its client connected, or from its first byte on a
	// connection that was used before. A client may write for 2 s, and a client that never finishes must get an error
	// or a close within 3 s.
	requestReadTimeout = 2600 * time.Millisecond

	// minReadTime is how long a connection is read at least, even if it waited for longer than requestReadTimeout to be accepted: its
	// request may have arrived.
	minReadTime = 100 * time.Millisecond

	// clientReadTimeout is the time after which a client that reads nothing of its answer is disconnected. A client of the
	// progress frontend may connect again for the rest.
	clientReadTimeout = 5 * time.Second

	// streamWriteTimeout is the time for writing an answer over HTTP/2: a client with a closed flow-control window occupies a
	// stream and its data.
	streamWriteTimeout = requestReadTimeout
)

// withTimeout calls setDeadline with the current time if the caller takes longer than timeout, so that the stream's deadline
// passes. The caller must call stop when it is done; after that setDeadline is not called.
//
// It is for HTTP/2, where each change of a stream's deadline goes through the goroutine that serves the connection, and a change
// that takes effect after the stream's end resets the stream. So a deadline is changed only when the time is up.
func withTimeout(timeout time.Duration, setDeadline func(time.Time) error) (stop func()) {
	var mu sync.Mutex
	done := false
	timer := time.AfterFunc(timeout, func() {
		mu.Lock()
		defer mu.Unlock()
		if !done {
			_ = setDeadline(time.Now()) // fails only if the stream has ended
		}
	})
	return func() {
		timer.Stop()
		mu.Lock()
		defer mu.Unlock()
		done = true
	}
}

// withWriteTimeout limits the time in which a client must read an answer over HTTP/2 (over HTTP/1, admit has set a limit for the
// whole request). flush must be called when the answer is written; it blocks until the answer was sent or the time limit is
// reached.
func withWriteTimeout(w http.ResponseWriter, r *http.Request) (flush func()) {
	if r.ProtoMajor < 2 {
		return func() {}
	}
	controller := http.NewResponseController(w)
	stop := withTimeout(streamWriteTimeout, controller.SetWriteDeadline)
	return func() {
		_ = controller.Flush() // what is sent after the handler's end has no timeout; fails if the client has gone
		stop()
	}
}

// laterTime returns the later of two times.
func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

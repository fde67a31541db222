package http2

import (
	"encoding/binary"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"brassdale/internal/decisions/http2limits"
)

const (
	lastOfAll = 1<<31 - 1 // a GOAWAY with this one says that no new stream is wanted and none is turned away yet

	codeNone = 0x0
	codeCalm = 0xb // ENHANCE_YOUR_CALM

	mostKept    = 4 << 10                 // bytes of a buffer while nothing is written
	mostWaiting = 64 << 10                // bytes; past it net/http waits
	stuck       = 2500 * time.Millisecond // a connection that takes not one byte for so long is closed
)

// writer puts frames on a connection. It takes all that has come since the last call to the system in one: net/http
// makes a call for nearly each frame, which for small answers costs more than the answers. Frames of this package go
// between two of net/http's.
type writer struct {
	conn net.Conn
	cut  func() error            // ends the connection without a word
	sent func(http2limits.Frame) // sees the head of each frame of net/http's

	mu      sync.Mutex
	changed *sync.Cond
	follow  follower
	begun   bool   // a first frame has gone out, which must be one of settings
	waiting []byte // to be written
	spare   []byte // the buffer that was written last
	pending []byte // frames of this package that wait for the end of one of net/http's
	writing bool
	by      time.Time // nothing is written after it; zero while there is no end
	failed  error
}

func (w *writer) start(conn net.Conn, cut func() error, sent func(http2limits.Frame)) {
	w.conn, w.cut, w.sent = conn, cut, sent
	w.changed = sync.NewCond(&w.mu)
}

// write takes whole frames or parts of them, in their order.
func (w *writer) write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.waiting) > mostWaiting && w.failed == nil {
		w.changed.Wait()
	}
	if w.failed != nil {
		return 0, w.failed
	}
	if !w.by.IsZero() { // told to end: net/http's frames are of no use to anybody
		return len(b), nil
	}
	w.begun = true
	done, seen := 0, 0
	for seen < len(b) {
		n, ev := w.follow.step(b[seen:])
		seen += n
		if ev == headed {
			w.sent(w.follow.frame())
		}
		if w.pending != nil && w.follow.between() {
			w.waiting = append(append(w.waiting, b[done:seen]...), w.pending...)
			w.pending, done = nil, seen
		}
	}
	w.waiting = append(w.waiting, b[done:]...)
	w.run()
	return len(b), nil
}

// put takes a frame of this package.
func (w *writer) put(frame []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case !w.begun || !w.follow.between():
		w.pending = append(w.pending, frame...)
	case w.failed == nil:
		w.waiting = append(w.waiting, frame...)
		w.run()
	}
}

// last takes the last frame, nil for none, and returns when all is written, or by a time.
func (w *writer) last(frame []byte, by time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.by.IsZero() || by.Before(w.by) {
		w.by = by
	}
	_ = w.conn.SetWriteDeadline(w.by) // also for the call that goes on now
	if frame != nil && !w.begun {     // net/http had no time for its first frame: empty settings will do
		w.begun = true
		w.waiting = append(w.waiting, 0, 0, 0, byte(http2limits.Settings), 0, 0, 0, 0, 0)
	}
	if frame != nil && w.follow.between() { // else the rest of a frame is missing, which nobody will send now
		w.waiting = append(w.waiting, frame...)
		w.run()
	}
	for w.writing {
		w.changed.Wait()
	}
}

// run has what waits written; w.mu is held.
func (w *writer) run() {
	if !w.writing && len(w.waiting) > 0 {
		w.writing = true
		go w.drain()
	}
}

// drain writes until nothing waits.
func (w *writer) drain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.waiting) > 0 && w.failed == nil {
		b := w.waiting
		w.waiting, w.spare = w.spare[:0], nil
		err := w.writeOut(b)
		w.spare, w.failed = b, err
		w.changed.Broadcast()
	}
	if w.failed != nil {
		_ = w.cut() // whoever reads notices
	}
	if w.writing, w.spare = false, nil; cap(w.waiting) > mostKept {
		w.waiting = nil
	}
	w.changed.Broadcast()
}

// writeOut writes for as long as the client takes anything, and no longer than there is time. w.mu is held but while it
// writes.
func (w *writer) writeOut(b []byte) error {
	for len(b) > 0 {
		until := w.by
		if until.IsZero() {
			until = time.Now().Add(stuck)
		}
		_ = w.conn.SetWriteDeadline(until) // under the lock: last sets an earlier one
		w.mu.Unlock()
		n, err := w.conn.Write(b)
		w.mu.Lock()
		b = b[n:]
		if err != nil && (n == 0 || !w.by.IsZero() || !errors.Is(err, os.ErrDeadlineExceeded)) {
			return err
		}
	}
	return nil
}

func goAwayFrame(last, code uint32, debug string) []byte {
	n := 8 + len(debug)
	b := []byte{byte(n >> 16), byte(n >> 8), byte(n), byte(http2limits.GoAway), 0, 0, 0, 0, 0}
	b = binary.BigEndian.AppendUint32(b, last)
	b = binary.BigEndian.AppendUint32(b, code)
	return append(b, debug...)
}

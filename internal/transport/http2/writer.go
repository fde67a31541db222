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
	maxStreamID = 1<<31 - 1 // a GOAWAY with this one says that no new stream is wanted and none is turned away yet

	errCodeNoError         = 0x0
	errCodeEnhanceYourCalm = 0xb // ENHANCE_YOUR_CALM

	maxIdleBufferBytes = 4 << 10                 // bytes of a buffer while nothing is written
	maxQueuedBytes     = 64 << 10                // bytes; past it net/http waits
	writeStallTimeout  = 2500 * time.Millisecond // a connection that takes not one byte for so long is closed
)

// frameWriter puts frames on a connection. It takes all that has come since the last call to the system in one: net/http
// makes a call for nearly each frame, which for small answers costs more than the answers. Frames of this package go
// between two of net/http's.
type frameWriter struct {
	conn    net.Conn
	abort   func() error            // ends the connection without a word
	onFrame func(http2limits.Frame) // sees the head of each frame of net/http's

	mu               sync.Mutex
	stateChanged     *sync.Cond
	scanner          frameScanner
	firstFrameQueued bool   // a first frame has gone out, which must be one of settings
	queued           []byte // to be written
	spare            []byte // the buffer that was written last
	deferred         []byte // frames of this package that wait for the end of one of net/http's
	writing          bool
	deadline         time.Time // nothing is written after it; zero while there is no end
	err              error
}

func (w *frameWriter) start(conn net.Conn, cut func() error, sent func(http2limits.Frame)) {
	w.conn, w.abort, w.onFrame = conn, cut, sent
	w.stateChanged = sync.NewCond(&w.mu)
}

// write takes whole frames or parts of them, in their order.
func (w *frameWriter) write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.queued) > maxQueuedBytes && w.err == nil {
		w.stateChanged.Wait()
	}
	if w.err != nil {
		return 0, w.err
	}
	if !w.deadline.IsZero() { // told to end: net/http's frames are of no use to anybody
		return len(b), nil
	}
	w.firstFrameQueued = true
	done, seen := 0, 0
	for seen < len(b) {
		n, ev := w.scanner.step(b[seen:])
		seen += n
		if ev == headRead {
			w.onFrame(w.scanner.frame())
		}
		if w.deferred != nil && w.scanner.betweenFrames() {
			w.queued = append(append(w.queued, b[done:seen]...), w.deferred...)
			w.deferred, done = nil, seen
		}
	}
	w.queued = append(w.queued, b[done:]...)
	w.startDraining()
	return len(b), nil
}

// insertFrame takes a frame of this package.
func (w *frameWriter) insertFrame(frame []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case !w.firstFrameQueued || !w.scanner.betweenFrames():
		w.deferred = append(w.deferred, frame...)
	case w.err == nil:
		w.queued = append(w.queued, frame...)
		w.startDraining()
	}
}

// finish takes the finish frame, nil for none, and returns when all is written, or by a time.
func (w *frameWriter) finish(frame []byte, by time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.deadline.IsZero() || by.Before(w.deadline) {
		w.deadline = by
	}
	_ = w.conn.SetWriteDeadline(w.deadline)  // also for the call that goes on now
	if frame != nil && !w.firstFrameQueued { // net/http had no time for its first frame: empty settings will do
		w.firstFrameQueued = true
		w.queued = append(w.queued, 0, 0, 0, byte(http2limits.Settings), 0, 0, 0, 0, 0)
	}
	if frame != nil && w.scanner.betweenFrames() { // else the rest of a frame is missing, which nobody will send now
		w.queued = append(w.queued, frame...)
		w.startDraining()
	}
	for w.writing {
		w.stateChanged.Wait()
	}
}

// startDraining has what waits written; w.mu is held.
func (w *frameWriter) startDraining() {
	if !w.writing && len(w.queued) > 0 {
		w.writing = true
		go w.drain()
	}
}

// drain writes until nothing waits.
func (w *frameWriter) drain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.queued) > 0 && w.err == nil {
		b := w.queued
		w.queued, w.spare = w.spare[:0], nil
		err := w.writeOut(b)
		w.spare, w.err = b, err
		w.stateChanged.Broadcast()
	}
	if w.err != nil {
		_ = w.abort() // whoever reads notices
	}
	if w.writing, w.spare = false, nil; cap(w.queued) > maxIdleBufferBytes {
		w.queued = nil
	}
	w.stateChanged.Broadcast()
}

// writeOut writes for as long as the client takes anything, and no longer than there is time. w.mu is held but while it
// writes.
func (w *frameWriter) writeOut(b []byte) error {
	for len(b) > 0 {
		until := w.deadline
		if until.IsZero() {
			until = time.Now().Add(writeStallTimeout)
		}
		_ = w.conn.SetWriteDeadline(until) // under the lock: last sets an earlier one
		w.mu.Unlock()
		n, err := w.conn.Write(b)
		w.mu.Lock()
		b = b[n:]
		if err != nil && (n == 0 || !w.deadline.IsZero() || !errors.Is(err, os.ErrDeadlineExceeded)) {
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

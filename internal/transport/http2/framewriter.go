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
	maxIdleBufferBytes = 4 << 10                 // capacity of a buffer that is retained while nothing is written
	maxQueuedBytes     = 64 << 10                // beyond this, write blocks
	writeStallTimeout  = 2500 * time.Millisecond // a connection that takes not one byte for so long is closed
)

// frameWriter writes the frames of net/http, and between them frames of this package, to a connection. It writes all that was
// queued since its last system call with one: net/http writes nearly each frame by itself, which costs more than a small
// answer.
//
// Methods may be called from any goroutine. A goroutine runs drain while bytes are queued. Only write (while more than
// maxQueuedBytes are queued) and finish wait for the client.
type frameWriter struct {
	conn    net.Conn
	abort   func() error            // closes the connection at once
	onFrame func(http2limits.Frame) // is called with each frame of net/http, under mu; must not block or call the writer

	mu               sync.Mutex
	stateChanged     *sync.Cond   // of queued, err and writing
	scanner          frameScanner // of net/http's bytes
	firstFrameQueued bool         // the first frame, which must be SETTINGS, was queued
	queued           []byte       // bytes to write
	spare            []byte       // the buffer that was written last, to be used again
	deferred         []byte       // frames of this package that wait until a frame of net/http has ended
	writing          bool         // drain runs
	deadline         time.Time    // no byte is written after it; zero if there is none
	err              error        // of a write; nothing is written after it
}

func (w *frameWriter) start(conn net.Conn, abort func() error, onFrame func(http2limits.Frame)) {
	w.conn, w.abort, w.onFrame = conn, abort, onFrame
	w.stateChanged = sync.NewCond(&w.mu)
}

// write queues whole frames of net/http, or parts of them in their order. After finish they are dropped.
func (w *frameWriter) write(data []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.queued) > maxQueuedBytes && w.err == nil {
		w.stateChanged.Wait()
	}
	if w.err != nil {
		return 0, w.err
	}
	if !w.deadline.IsZero() {
		return len(data), nil
	}
	w.firstFrameQueued = true
	copied, scanned := 0, 0
	for scanned < len(data) {
		n, event := w.scanner.step(data[scanned:])
		scanned += n
		if event == headRead {
			w.onFrame(w.scanner.frame())
		}
		if w.deferred != nil && w.scanner.betweenFrames() {
			w.queued = append(append(w.queued, data[copied:scanned]...), w.deferred...)
			w.deferred, copied = nil, scanned
		}
	}
	w.queued = append(w.queued, data[copied:]...)
	w.startDraining()
	return len(data), nil
}

// insertFrame queues a frame of this package, after net/http's first and its present one.
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

// emptySettings is a SETTINGS frame without settings.
var emptySettings = [frameHeadBytes]byte{3: byte(http2limits.Settings)}

// finish queues a last frame, nil for none, and blocks until all bytes are written or the deadline has passed. The frame is dropped
// if net/http has written a part of a frame only, since the rest will not follow.
func (w *frameWriter) finish(lastFrame []byte, deadline time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.deadline.IsZero() || deadline.Before(w.deadline) {
		w.deadline = deadline
	}
	_ = w.conn.SetWriteDeadline(w.deadline) // also of a write in progress; fails only on a closed connection
	if lastFrame != nil && !w.firstFrameQueued {
		w.firstFrameQueued = true
		w.queued = append(w.queued, emptySettings[:]...)
	}
	if lastFrame != nil && w.scanner.betweenFrames() {
		w.queued = append(w.queued, lastFrame...)
		w.startDraining()
	}
	for w.writing {
		w.stateChanged.Wait()
	}
}

// startDraining has the queued bytes written. w.mu is held.
func (w *frameWriter) startDraining() {
	if !w.writing && len(w.queued) > 0 {
		w.writing = true
		go w.drain()
	}
}

// drain writes until nothing is queued or a write fails; then it aborts the connection, which its reader notices.
func (w *frameWriter) drain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.queued) > 0 && w.err == nil {
		batch := w.queued
		w.queued, w.spare = w.spare[:0], nil
		err := w.writeBatch(batch)
		w.spare, w.err = batch, err
		w.stateChanged.Broadcast()
	}
	if w.err != nil {
		_ = w.abort()
	}
	w.writing, w.spare = false, nil
	if cap(w.queued) > maxIdleBufferBytes {
		w.queued = nil
	}
	w.stateChanged.Broadcast()
}

// writeBatch writes bytes for as long as the client takes any within writeStallTimeout, and until the deadline at most.
// w.mu is held, except during the system call.
func (w *frameWriter) writeBatch(batch []byte) error {
	for len(batch) > 0 {
		until := w.deadline
		if until.IsZero() {
			until = time.Now().Add(writeStallTimeout)
		}
		_ = w.conn.SetWriteDeadline(until) // under the lock, as finish sets an earlier one; fails only on a closed connection
		w.mu.Unlock()
		n, err := w.conn.Write(batch)
		w.mu.Lock()
		batch = batch[n:]
		if err != nil && (n == 0 || !w.deadline.IsZero() || !errors.Is(err, os.ErrDeadlineExceeded)) {
			return err
		}
	}
	return nil
}

// maxStreamID is the highest stream id. A GOAWAY with it says that new streams should use another connection, while none that
// reaches this one is rejected yet.
const maxStreamID = 1<<31 - 1

// Error codes of GOAWAY (RFC 9113, section 7).
const (
	errCodeNoError         = 0x0
	errCodeEnhanceYourCalm = 0xb
)

// goAwayFixedBytes is the length of a GOAWAY payload before its debug data.
const goAwayFixedBytes = 8

// goAwayFrame returns a GOAWAY frame.
func goAwayFrame(lastStream, code uint32, debugData string) []byte {
	length := goAwayFixedBytes + len(debugData)
	frame := []byte{byte(length >> 16), byte(length >> 8), byte(length), byte(http2limits.GoAway), 0, 0, 0, 0, 0}
	frame = binary.BigEndian.AppendUint32(frame, lastStream)
	frame = binary.BigEndian.AppendUint32(frame, code)
	return append(frame, debugData...)
}

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
	writeStallTimeout  = 2500 * time.Millisecond // a connection that accepts no byte for this long is closed
)

// frameWriter writes the frames of net/http, and between them frames of this package, to a connection. It writes all bytes that were
// queued since its last system call with one system call: net/http writes nearly every frame separately, which costs more than a
// small answer itself.
//
// Methods may be called from any goroutine. A goroutine runs drain while bytes are queued. Only write (while more than
// maxQueuedBytes are queued) and finish wait for the client.
type frameWriter struct {
	conn      net.Conn
	abort     func() error            // closes the connection at once
	onFrame   func(http2limits.Frame) // is called with each frame of net/http, under mu; must not block or call the writer
	onWritten func()                  // is called when all frames of net/http were written, under mu; must not block or call the writer

	mu               sync.Mutex
	stateChanged     *sync.Cond   // signals changes of queued, err and writing
	scanner          frameScanner // scans net/http's bytes
	firstFrameQueued bool         // the first frame, which must be SETTINGS, has been queued
	queued           []byte       // bytes to write
	spare            []byte       // the buffer that was written last, for reuse
	deferred         []byte       // frames of this package that wait for the end of a frame of net/http
	writing          bool         // drain is running
	deadline         time.Time    // no byte is written after it; zero if there is none
	err              error        // error of a write; nothing is written after it
}

func (w *frameWriter) start(conn net.Conn, abort func() error, onFrame func(http2limits.Frame), onWritten func()) {
	w.conn, w.abort, w.onFrame, w.onWritten = conn, abort, onFrame, onWritten
	w.stateChanged = sync.NewCond(&w.mu)
}

// write queues bytes of net/http: complete frames, or parts of frames in order. After finish it drops them.
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
		if event == headerRead {
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

// insertFrame queues a frame of this package, after net/http's first frame and after its incomplete frame, if any.
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
var emptySettings = [frameHeaderBytes]byte{3: byte(http2limits.Settings)}

// finish queues lastFrame, unless it is nil, and blocks until all bytes are written or the deadline has passed. If net/http has
// written only a part of a frame, the last frame is dropped, since the rest of that frame will not follow.
func (w *frameWriter) finish(lastFrame []byte, deadline time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.deadline.IsZero() || deadline.Before(w.deadline) {
		w.deadline = deadline
	}
	_ = w.conn.SetWriteDeadline(w.deadline) // applies to a write in progress too; fails only on a closed connection
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

// startDraining starts drain if bytes are queued and it is not running. w.mu is held.
func (w *frameWriter) startDraining() {
	if !w.writing && len(w.queued) > 0 {
		w.writing = true
		go w.drain()
	}
}

// drain writes until nothing is queued or a write fails. After a failed write it aborts the connection, so that its reader gets an error.
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
	switch {
	case w.err != nil:
		_ = w.abort()
	case w.scanner.betweenFrames():
		w.onWritten()
	}
	w.writing, w.spare = false, nil
	if cap(w.queued) > maxIdleBufferBytes {
		w.queued = nil
	}
	w.stateChanged.Broadcast()
}

// writeBatch writes a batch of bytes. It fails if the client accepts no byte within writeStallTimeout, or at the deadline.
// w.mu is held, except during the system call.
func (w *frameWriter) writeBatch(batch []byte) error {
	for len(batch) > 0 {
		until := w.deadline
		if until.IsZero() {
			until = time.Now().Add(writeStallTimeout)
		}
		_ = w.conn.SetWriteDeadline(until) // under the lock, since finish sets an earlier one; fails only on a closed connection
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

// maxStreamID is the highest stream ID. A GOAWAY with it asks the client to open new streams on another connection; streams that still
// arrive on this connection are not rejected yet.
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

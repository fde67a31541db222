package http2

import "brassdale/internal/decisions/http2limits"

// openRequests follows the requests of a connection by the frames of both sides. A request begins with the header of the HEADERS frame
// that opens its stream. It is read once the last byte of its header block and of its body was received. It ends when the client resets
// its stream, or when the last frame of its answer, or the reset of its stream, was written to the connection.
//
// It is not safe for concurrent use. The zero value is the state of a new connection.
type openRequests struct {
	streams        map[uint32]bool // of requests without the last frame of this side; the value says whether the request was read
	read           int             // how many of them were read
	unwritten      int             // requests whose last frame of this side waits to be written
	begun          int             // requests since the connection's start
	lastOpened     uint32          // highest ID of a stream that the client opened
	lastBegun      uint32          // highest ID of a stream whose first header block was read
	endsWithHeader uint32          // stream whose request ends with the header block that is being received; 0 if there is none
	goingAway      bool            // net/http has sent GOAWAY and begins no further stream
}

// frameStarted records the header of a frame of the client. It is called before any part of the frame is passed on.
func (r *openRequests) frameStarted(frame http2limits.Frame) {
	if frame.Kind != http2limits.Headers || frame.Stream <= r.lastOpened {
		return
	}
	r.lastOpened = frame.Stream
	if r.goingAway {
		return
	}
	if r.streams == nil {
		r.streams = map[uint32]bool{}
	}
	r.streams[frame.Stream] = false
	r.begun++
}

// frameRead records that a frame of the client was read to its end.
func (r *openRequests) frameRead(frame http2limits.Frame) {
	switch frame.Kind {
	case http2limits.Headers:
		if frame.Flags&http2limits.EndStream != 0 {
			r.endsWithHeader = frame.Stream
		}
		r.headerRead(frame)
	case http2limits.Continuation:
		r.headerRead(frame)
	case http2limits.Data:
		if frame.Flags&http2limits.EndStream != 0 {
			r.requestRead(frame.Stream)
		}
	case http2limits.Reset:
		r.remove(frame.Stream)
	}
}

// headerRead records that a part of a header block was read, which may be its last.
func (r *openRequests) headerRead(frame http2limits.Frame) {
	if frame.Flags&http2limits.EndHeaders == 0 {
		return
	}
	r.lastBegun = max(r.lastBegun, frame.Stream)
	if r.endsWithHeader == frame.Stream {
		r.requestRead(frame.Stream)
	}
	r.endsWithHeader = 0
}

// requestRead records that the request of a stream was read.
func (r *openRequests) requestRead(stream uint32) {
	if read, open := r.streams[stream]; open && !read {
		r.streams[stream] = true
		r.read++
	}
}

// remove removes the request of a stream, and reports whether it was open.
func (r *openRequests) remove(stream uint32) bool {
	read, open := r.streams[stream]
	if read {
		r.read--
	}
	delete(r.streams, stream)
	return open
}

// frameSent records the header of a frame of net/http, which waits to be written.
func (r *openRequests) frameSent(frame http2limits.Frame) {
	switch {
	case frame.Kind == http2limits.GoAway:
		r.goingAway = true
	case frame.Kind == http2limits.Reset, endsStream(frame):
		if r.remove(frame.Stream) {
			r.unwritten++
		}
	}
}

// framesWritten records that all frames of net/http were written.
func (r *openRequests) framesWritten() { r.unwritten = 0 }

// endsStream reports whether a frame is the last of its side of a stream, if the stream is not reset.
func endsStream(frame http2limits.Frame) bool {
	return (frame.Kind == http2limits.Data || frame.Kind == http2limits.Headers) && frame.Flags&http2limits.EndStream != 0
}

// incomplete returns how many requests have not been read to their end.
func (r *openRequests) incomplete() int { return len(r.streams) - r.read }

// unanswered returns how many requests were read and have not ended, including those that are answered before they were read.
func (r *openRequests) unanswered() int { return r.read + r.unwritten }

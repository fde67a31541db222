package http2

import (
	"encoding/binary"

	"brassdale/internal/decisions/http2limits"
)

const (
	preface          = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" // RFC 9113, section 3.4
	frameHeaderBytes = 9                                  // RFC 9113, section 4.1
)

// frameScanner finds the frame headers in a stream of bytes. The zero value expects a frame; if prefaceBytesLeft is set, it expects that
// many bytes of the preface first. It is not safe for concurrent use.
type frameScanner struct {
	prefaceBytesLeft int
	header           [frameHeaderBytes]byte
	headerBytesRead  int    // bytes of the current header that were read; 0 after its last byte
	payloadBytesLeft uint32 // of the current frame
}

// scanEvent is what frameScanner.step found at the end of the bytes that it consumed.
type scanEvent uint8

const (
	noEvent      scanEvent = iota
	prefaceRead            // the last byte of the preface
	frameStarted           // the first byte of a frame
	headerRead             // the last byte of a frame header; if payloadBytesLeft is 0, also of the frame
	frameRead              // the last byte of a frame with a payload
)

// step consumes bytes up to the next event, and returns how many. data must not be empty.
func (s *frameScanner) step(data []byte) (consumed int, event scanEvent) {
	switch {
	case s.prefaceBytesLeft > 0:
		consumed = min(s.prefaceBytesLeft, len(data))
		if s.prefaceBytesLeft -= consumed; s.prefaceBytesLeft == 0 {
			event = prefaceRead
		}
	case s.payloadBytesLeft > 0:
		consumed = int(min(s.payloadBytesLeft, uint32(len(data))))
		if s.payloadBytesLeft -= uint32(consumed); s.payloadBytesLeft == 0 {
			event = frameRead
		}
	case s.headerBytesRead == 0:
		s.header[0], s.headerBytesRead, consumed, event = data[0], 1, 1, frameStarted
	default:
		consumed = copy(s.header[s.headerBytesRead:], data)
		if s.headerBytesRead += consumed; s.headerBytesRead == frameHeaderBytes {
			s.headerBytesRead = 0
			s.payloadBytesLeft = uint32(s.header[0])<<16 | uint32(s.header[1])<<8 | uint32(s.header[2])
			event = headerRead
		}
	}
	return consumed, event
}

// frame returns the frame whose header was read last. It must be called directly after headerRead.
func (s *frameScanner) frame() http2limits.Frame {
	return http2limits.Frame{
		Kind:   http2limits.Kind(s.header[3]),
		Flags:  s.header[4],
		Stream: binary.BigEndian.Uint32(s.header[5:]) & maxStreamID,
		Length: s.payloadBytesLeft,
	}
}

// betweenFrames reports whether a frame may be inserted at the current position.
func (s *frameScanner) betweenFrames() bool {
	return s.headerBytesRead == 0 && s.payloadBytesLeft == 0 && s.prefaceBytesLeft == 0
}

package http2

import (
	"encoding/binary"

	"brassdale/internal/decisions/http2limits"
)

const (
	preface        = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" // RFC 9113, section 3.4
	frameHeadBytes = 9                                  // RFC 9113, section 4.1
)

// frameScanner finds the heads of frames in a stream of bytes. The zero value awaits a frame; if prefaceBytesLeft is set, that
// much of the preface comes first. It is not safe for concurrent use.
type frameScanner struct {
	prefaceBytesLeft int
	head             [frameHeadBytes]byte
	headBytes        int    // bytes of the present head that were read; 0 after its last one
	payloadBytesLeft uint32 // of the present frame
}

// scanEvent is what frameScanner.step found at the end of the bytes that it took.
type scanEvent uint8

const (
	noEvent     scanEvent = iota
	prefaceRead           // the last byte of the preface
	frameBegun            // the first byte of a frame
	headRead              // the last byte of a head; also that of the frame, if payloadBytesLeft is 0
	frameRead             // the last byte of a frame with a payload
)

// step takes bytes up to the next event, and returns how many. data must not be empty.
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
	case s.headBytes == 0:
		s.head[0], s.headBytes, consumed, event = data[0], 1, 1, frameBegun
	default:
		consumed = copy(s.head[s.headBytes:], data)
		if s.headBytes += consumed; s.headBytes == frameHeadBytes {
			s.headBytes = 0
			s.payloadBytesLeft = uint32(s.head[0])<<16 | uint32(s.head[1])<<8 | uint32(s.head[2])
			event = headRead
		}
	}
	return consumed, event
}

// frame returns the frame whose head was read last. It must be called directly after headRead.
func (s *frameScanner) frame() http2limits.Frame {
	return http2limits.Frame{
		Kind:   http2limits.Kind(s.head[3]),
		Flags:  s.head[4],
		Stream: binary.BigEndian.Uint32(s.head[5:]) & maxStreamID,
		Length: s.payloadBytesLeft,
	}
}

// betweenFrames reports whether another frame may be inserted here.
func (s *frameScanner) betweenFrames() bool {
	return s.headBytes == 0 && s.payloadBytesLeft == 0 && s.prefaceBytesLeft == 0
}

package http2

import (
	"encoding/binary"

	"brassdale/internal/decisions/http2limits"
)

const (
	preface        = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	frameHeadBytes = 9 // bytes
)

// frameScanner finds the heads of frames in a stream of bytes.
type frameScanner struct {
	prefaceBytesLeft int // bytes of the preface that are to come
	head             [frameHeadBytes]byte
	headBytes        int    // of the head
	payloadBytesLeft uint32 // of the frame behind its head
}

// step takes bytes up to the next event: the first byte of a frame, the end of its head, its end. A frame that has
// nothing behind its head ends with it.
func (f *frameScanner) step(b []byte) (n int, ev scanEvent) {
	switch {
	case f.prefaceBytesLeft > 0:
		n = min(f.prefaceBytesLeft, len(b))
		if f.prefaceBytesLeft -= n; f.prefaceBytesLeft == 0 {
			ev = prefaceRead
		}
	case f.payloadBytesLeft > 0:
		n = int(min(f.payloadBytesLeft, uint32(len(b))))
		if f.payloadBytesLeft -= uint32(n); f.payloadBytesLeft == 0 {
			ev = frameRead
		}
	case f.headBytes == 0:
		f.head[0], f.headBytes, n, ev = b[0], 1, 1, frameBegun
	default:
		n = copy(f.head[f.headBytes:], b)
		if f.headBytes += n; f.headBytes == frameHeadBytes {
			f.headBytes, f.payloadBytesLeft = 0, uint32(f.head[0])<<16|uint32(f.head[1])<<8|uint32(f.head[2])
			ev = headRead
		}
	}
	return n, ev
}

type scanEvent uint8

const (
	noEvent     scanEvent = iota
	prefaceRead           // the preface is whole
	frameBegun            // the first byte of a frame
	headRead              // the head of a frame is whole; the frame is too if left is 0
	frameRead             // the frame is whole
)

func (f *frameScanner) frame() http2limits.Frame {
	return http2limits.Frame{Kind: http2limits.Kind(f.head[3]), Flags: f.head[4], Stream: binary.BigEndian.Uint32(f.head[5:]) & maxStreamID, Length: f.payloadBytesLeft}
}

// betweenFrames tells whether another frame may be put in here.
func (f *frameScanner) betweenFrames() bool {
	return f.headBytes == 0 && f.payloadBytesLeft == 0 && f.prefaceBytesLeft == 0
}

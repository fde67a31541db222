package http2

import (
	"encoding/binary"

	"brassdale/internal/decisions/http2limits"
)

const (
	preface   = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	frameHead = 9 // bytes
)

// follower finds the heads of frames in a stream of bytes.
type follower struct {
	ahead int // bytes of the preface that are to come
	head  [frameHead]byte
	got   int    // of the head
	left  uint32 // of the frame behind its head
}

// step takes bytes up to the next event: the first byte of a frame, the end of its head, its end. A frame that has
// nothing behind its head ends with it.
func (f *follower) step(b []byte) (n int, ev event) {
	switch {
	case f.ahead > 0:
		n = min(f.ahead, len(b))
		if f.ahead -= n; f.ahead == 0 {
			ev = greeted
		}
	case f.left > 0:
		n = int(min(f.left, uint32(len(b))))
		if f.left -= uint32(n); f.left == 0 {
			ev = whole
		}
	case f.got == 0:
		f.head[0], f.got, n, ev = b[0], 1, 1, begun
	default:
		n = copy(f.head[f.got:], b)
		if f.got += n; f.got == frameHead {
			f.got, f.left = 0, uint32(f.head[0])<<16|uint32(f.head[1])<<8|uint32(f.head[2])
			ev = headed
		}
	}
	return n, ev
}

type event uint8

const (
	nothing event = iota
	greeted       // the preface is whole
	begun         // the first byte of a frame
	headed        // the head of a frame is whole; the frame is too if left is 0
	whole         // the frame is whole
)

func (f *follower) frame() http2limits.Frame {
	return http2limits.Frame{Kind: http2limits.Kind(f.head[3]), Flags: f.head[4], Stream: binary.BigEndian.Uint32(f.head[5:]) & lastOfAll, Length: f.left}
}

// between tells whether another frame may be put in here.
func (f *follower) between() bool { return f.got == 0 && f.left == 0 && f.ahead == 0 }

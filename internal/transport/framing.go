package transport

import (
	"strconv"
	"strings"
)

// requestFraming follows a client's bytes from request to request and looks for a head that has both Content-Length
// and Transfer-Encoding. net/http drops the one and goes by the other, unseen by any handler, so what another
// reader takes for a body would be a request here. At the colon of the second of the two the line is spoilt:
// net/http answers 400 to it and closes, in its turn behind what was pipelined before. The same befalls what
// would leave a doubt where the next request begins: folded lines and lengths that are no number.
type requestFraming struct {
	position            framingPosition
	linePrefix          []byte // how the present line of the head begins
	hasContentLength    bool   // Content-Length was in this head
	hasTransferEncoding bool   // Transfer-Encoding was
	bodyBytesLeft       int64  // of the body
	malformedBytesLeft  int    // bytes that net/http must still read of a spoilt line
}

type framingPosition uint8

const (
	inRequestLine framingPosition = iota
	inHead
	inBody
	inChunkedBody     // of a chunked request: the front closes behind its answer, nothing further is read
	inRejectedRequest // refused: nothing more gets through
)

const (
	contentLengthName, transferEncodingName = "content-length", "transfer-encoding"

	maxLinePrefix    = len(contentLengthName) + 1 + 40 // what must be seen of a line: the longer name, or a length with spaces
	malformedLineEnd = "\n\n"                          // behind a byte that no header has, it ends line and head
)

// scan tells how much of what came may go on, up to the end of a request, and whether that is its end. It may change the
// last byte of that.
func (f *requestFraming) scan(b []byte) (n int, whole bool) {
	for i := 0; i < len(b); i++ {
		switch f.position {
		case inBody:
			skip := min(f.bodyBytesLeft, int64(len(b)-i))
			f.bodyBytesLeft -= skip
			i += int(skip) - 1
			if f.bodyBytesLeft == 0 {
				f.beginRequest()
				return i + 1, true
			}
		case inChunkedBody:
			return len(b), false
		case inRejectedRequest:
			return i, false
		case inRequestLine:
			if b[i] == '\n' {
				f.position = inHead
			}
		case inHead:
			if !f.scanHeadByte(b[i]) {
				b[i], f.position, f.malformedBytesLeft = 0, inRejectedRequest, len(malformedLineEnd)
				return i + 1, false
			}
			if f.position == inRequestLine { // a head without a body
				return i + 1, true
			}
		}
	}
	return len(b), false
}

// scanHeadByte takes a byte of a scanHeadByte and tells whether it may stand.
func (f *requestFraming) scanHeadByte(c byte) bool {
	if c != '\n' {
		if len(f.linePrefix) == maxLinePrefix {
			return true
		}
		f.linePrefix = append(f.linePrefix, c)
		switch {
		case len(f.linePrefix) == 1:
			return c != ' ' && c != '\t'
		case c != ':':
			return true
		case strings.EqualFold(string(f.linePrefix), contentLengthName+":"):
			f.hasContentLength = true
		case strings.EqualFold(string(f.linePrefix), transferEncodingName+":"):
			f.hasTransferEncoding = true
		}
		return !f.hasContentLength || !f.hasTransferEncoding
	}
	line, whole := strings.TrimSuffix(string(f.linePrefix), "\r"), len(f.linePrefix) < maxLinePrefix
	f.linePrefix = f.linePrefix[:0]
	switch name, value, _ := strings.Cut(line, ":"); {
	case line == "":
		f.endHead()
	case strings.EqualFold(name, contentLengthName):
		n, err := strconv.ParseUint(strings.Trim(value, " \t"), 10, 63)
		f.bodyBytesLeft = int64(n)
		return err == nil && whole // of a longer one, padded with zeros, only a part was seen
	}
	return true
}

// endHead ends a head.
func (f *requestFraming) endHead() {
	switch {
	case f.hasTransferEncoding:
		f.position = inChunkedBody
	case f.bodyBytesLeft > 0:
		f.position = inBody
	default:
		f.beginRequest()
	}
}

// beginRequest awaits the next request.
func (f *requestFraming) beginRequest() { *f = requestFraming{linePrefix: f.linePrefix[:0]} }

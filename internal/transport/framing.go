package transport

import (
	"strconv"
	"strings"
)

// framing follows a client's bytes from request to request and looks for a head that has both Content-Length
// and Transfer-Encoding. net/http drops the one and goes by the other, unseen by any handler, so what another
// reader takes for a body would be a request here. At the colon of the second of the two the line is spoilt:
// net/http answers 400 to it and closes, in its turn behind what was pipelined before. The same befalls what
// would leave a doubt where the next request begins: folded lines and lengths that are no number.
type framing struct {
	where  part
	line   []byte // how the present line of the head begins
	length bool   // Content-Length was in this head
	coded  bool   // Transfer-Encoding was
	left   int64  // of the body
	spoilt int    // bytes that net/http must still read of a spoilt line
}

type part uint8

const (
	inRequestLine part = iota
	inHead
	inBody
	inRest // of a chunked request: the front closes behind its answer, nothing further is read
	inVoid // refused: nothing more gets through
)

const (
	nameLength, nameCoding = "content-length", "transfer-encoding"

	mostLine = len(nameLength) + 1 + 40 // what must be seen of a line: the longer name, or a length with spaces
	spoiler  = "\n\n"                   // behind a byte that no header has, it ends line and head
)

// pass tells how much of what came may go on, up to the end of a request, and whether that is its end. It may change the
// last byte of that.
func (f *framing) pass(b []byte) (n int, whole bool) {
	for i := 0; i < len(b); i++ {
		switch f.where {
		case inBody:
			skip := min(f.left, int64(len(b)-i))
			f.left -= skip
			i += int(skip) - 1
			if f.left == 0 {
				f.begin()
				return i + 1, true
			}
		case inRest:
			return len(b), false
		case inVoid:
			return i, false
		case inRequestLine:
			if b[i] == '\n' {
				f.where = inHead
			}
		case inHead:
			if !f.head(b[i]) {
				b[i], f.where, f.spoilt = 0, inVoid, len(spoiler)
				return i + 1, false
			}
			if f.where == inRequestLine { // a head without a body
				return i + 1, true
			}
		}
	}
	return len(b), false
}

// head takes a byte of a head and tells whether it may stand.
func (f *framing) head(c byte) bool {
	if c != '\n' {
		if len(f.line) == mostLine {
			return true
		}
		f.line = append(f.line, c)
		switch {
		case len(f.line) == 1:
			return c != ' ' && c != '\t'
		case c != ':':
			return true
		case strings.EqualFold(string(f.line), nameLength+":"):
			f.length = true
		case strings.EqualFold(string(f.line), nameCoding+":"):
			f.coded = true
		}
		return !f.length || !f.coded
	}
	line, whole := strings.TrimSuffix(string(f.line), "\r"), len(f.line) < mostLine
	f.line = f.line[:0]
	switch name, value, _ := strings.Cut(line, ":"); {
	case line == "":
		f.end()
	case strings.EqualFold(name, nameLength):
		n, err := strconv.ParseUint(strings.Trim(value, " \t"), 10, 63)
		f.left = int64(n)
		return err == nil && whole // of a longer one, padded with zeros, only a part was seen
	}
	return true
}

// end ends a head.
func (f *framing) end() {
	switch {
	case f.coded:
		f.where = inRest
	case f.left > 0:
		f.where = inBody
	default:
		f.begin()
	}
}

// begin awaits the next request.
func (f *framing) begin() { *f = framing{line: f.line[:0]} }

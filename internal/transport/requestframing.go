package transport

import (
	"strconv"
	"strings"
)

// requestFraming follows the bytes of a connection from request to request. It rejects heads that make the start of the next
// request ambiguous (request smuggling, RFC 9112, section 11.2): heads with both Content-Length and Transfer-Encoding (net/http
// silently drops Content-Length), with folded lines, or with a length that is not a number. It also rejects heads whose fields take more than
// maxHeadBytes of memory: net/http limits only the bytes of a head, of which very many short fields cost a multiple. The line of a rejected head is made
// malformed, so that net/http answers it with 400 and closes the connection, after the answers to earlier requests. requestFraming
// is owned by the goroutine that reads the connection; the zero value awaits a first request.
type requestFraming struct {
	position            framingPosition
	linePrefix          []byte // the current line of the head, up to maxLinePrefix bytes
	hasContentLength    bool   // in the current head
	hasTransferEncoding bool   // in the current head
	headBytes           int    // memory of the current head's fields so far
	bodyBytesLeft       int64
	malformedBytesLeft  int // bytes of malformedLineEnd that net/http has not read yet
}

// framingPosition is the part of a request that the next byte belongs to.
type framingPosition uint8

const (
	inRequestLine framingPosition = iota
	inHead
	inBody
	inChunkedBody     // its end is not searched for: the frontend closes the connection after the answer
	inRejectedRequest // no further byte is passed on
)

const (
	contentLengthName    = "content-length"
	transferEncodingName = "transfer-encoding"

	// headFieldBytes is what a field costs in net/http's header besides its text: an entry of a map, a slice and two strings.
	headFieldBytes = 128
	maxHeadBytes   = 24 << 10

	// maxLinePrefix is how many bytes of a line are kept: enough for the longer of the two header names with its colon, or for
	// Content-Length with its value and spaces.
	maxLinePrefix = len(contentLengthName) + 1 + 40

	// malformedLineEnd ends the line and the head, after a byte that is invalid in a header.
	malformedLineEnd = "\n\n"
)

// scan returns how many of the bytes may be passed on, at most up to the end of a request, and whether that end was reached.
// If the head is rejected, it replaces the last byte that is passed on by a byte that is invalid in a header; nextMalformedByte
// returns the bytes that follow.
func (f *requestFraming) scan(data []byte) (n int, complete bool) {
	for pos := 0; pos < len(data); pos++ {
		switch f.position {
		case inBody:
			skip := min(f.bodyBytesLeft, int64(len(data)-pos))
			f.bodyBytesLeft -= skip
			pos += int(skip) - 1
			if f.bodyBytesLeft == 0 {
				f.beginRequest()
				return pos + 1, true
			}
		case inChunkedBody:
			return len(data), false
		case inRejectedRequest:
			return pos, false
		case inRequestLine:
			if data[pos] == '\n' {
				f.position = inHead
			}
		case inHead:
			if !f.scanHeadByte(data[pos]) {
				data[pos], f.position, f.malformedBytesLeft = 0, inRejectedRequest, len(malformedLineEnd)
				return pos + 1, false
			}
			if f.position == inRequestLine { // the request has no body
				return pos + 1, true
			}
		}
	}
	return len(data), false
}

// nextMalformedByte returns the next byte of malformedLineEnd. malformedBytesLeft must be above 0.
func (f *requestFraming) nextMalformedByte() byte {
	next := malformedLineEnd[len(malformedLineEnd)-f.malformedBytesLeft]
	f.malformedBytesLeft--
	return next
}

// scanHeadByte scans a byte of a head, and reports whether the head is acceptable so far.
func (f *requestFraming) scanHeadByte(char byte) bool {
	f.headBytes++
	if char == '\n' {
		f.headBytes += headFieldBytes
		return f.scanLineEnd() && f.headBytes <= maxHeadBytes
	}
	if len(f.linePrefix) == maxLinePrefix {
		return true
	}
	f.linePrefix = append(f.linePrefix, char)
	switch {
	case len(f.linePrefix) == 1: // a space or tab makes the line a continuation of the line before
		return char != ' ' && char != '\t'
	case char != ':':
		return true
	case strings.EqualFold(string(f.linePrefix), contentLengthName+":"):
		f.hasContentLength = true
	case strings.EqualFold(string(f.linePrefix), transferEncodingName+":"):
		f.hasTransferEncoding = true
	}
	return !f.hasContentLength || !f.hasTransferEncoding
}

// scanLineEnd ends a line of a head, and reports whether the line is acceptable.
func (f *requestFraming) scanLineEnd() bool {
	line, isWholeLine := strings.TrimSuffix(string(f.linePrefix), "\r"), len(f.linePrefix) < maxLinePrefix
	f.linePrefix = f.linePrefix[:0]
	if line == "" {
		f.endHead()
		return true
	}
	name, value, _ := strings.Cut(line, ":")
	if !strings.EqualFold(name, contentLengthName) {
		return true
	}
	length, err := strconv.ParseUint(strings.Trim(value, " \t"), 10, 63)
	f.bodyBytesLeft = int64(length)
	return err == nil && isWholeLine // a length padded with zeros beyond the prefix is rejected
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

// beginRequest resets the state for the next request. The buffer of the line is reused.
func (f *requestFraming) beginRequest() { *f = requestFraming{linePrefix: f.linePrefix[:0]} }

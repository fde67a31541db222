package protocol

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// Event is one server-sent event.
type Event struct {
	ID    string
	Name  string
	Data  string
	Retry time.Duration // 0 for no advice
}

// Encode writes the event as a block.
func (e Event) Encode() []byte {
	var b bytes.Buffer
	if e.ID != "" {
		fmt.Fprintf(&b, "id: %s\n", e.ID)
	}
	if e.Name != "" {
		fmt.Fprintf(&b, "event: %s\n", e.Name)
	}
	if e.Retry > 0 {
		fmt.Fprintf(&b, "retry: %d\n", e.Retry.Milliseconds())
	}
	for line := range strings.SplitSeq(strings.ReplaceAll(strings.ReplaceAll(e.Data, "\r\n", "\n"), "\r", "\n"), "\n") {
		fmt.Fprintf(&b, "data: %s\n", line)
	}
	b.WriteByte('\n')
	return b.Bytes()
}

// EventReader parses a stream by the standard: lines end in CR, LF or CRLF, comments are skipped, several
// data lines make one event, and an event that the stream's end cuts short is dropped.
type EventReader struct {
	r     *bufio.Reader
	begun bool
	skip  bool // the last line ended in CR: an LF that follows belongs to it
	last  string
}

// NewEventReader parses the stream.
func NewEventReader(r io.Reader) *EventReader { return &EventReader{r: bufio.NewReader(r)} }

// Next gives the next event that has data.
func (e *EventReader) Next() (Event, error) {
	var ev Event
	var data []byte
	some := false
	for size := 0; ; {
		line, err := e.line()
		if err != nil {
			return Event{}, err
		}
		if size += len(line); size > maxLine {
			return Event{}, fmt.Errorf("%w: event too long", errMalformed)
		}
		if len(line) == 0 {
			if some {
				ev.ID, ev.Data = e.last, string(data)
				return ev, nil
			}
			ev = Event{}
			continue
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) { // "" is a comment; any other name that is unknown is skipped
		case "data":
			if some {
				data = append(data, '\n')
			}
			data, some = append(data, value...), true
		case "event":
			ev.Name = string(value)
		case "id":
			if !bytes.Contains(value, []byte{0}) {
				e.last = string(value)
			}
		case "retry":
			if ms, err := strconv.ParseUint(string(value), 10, 31); err == nil {
				ev.Retry = time.Duration(ms) * time.Millisecond
			}
		}
	}
}

// line reads up to the next line end. After a CR it does not wait for an LF, which may never come: the
// event that the CR ended would be held back.
func (e *EventReader) line() ([]byte, error) {
	if !e.begun {
		e.begun = true
		if bom, err := e.r.Peek(3); err == nil && string(bom) == "\xef\xbb\xbf" {
			_, _ = e.r.Discard(3)
		}
	}
	var line []byte
	for {
		c, err := e.r.ReadByte()
		if err != nil {
			return nil, err
		}
		if e.skip {
			e.skip = false
			if c == '\n' {
				continue
			}
		}
		switch c {
		case '\r':
			e.skip = true
			return line, nil
		case '\n':
			return line, nil
		}
		if line = append(line, c); len(line) > maxLine {
			return nil, fmt.Errorf("%w: line too long", errMalformed)
		}
	}
}

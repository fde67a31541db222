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

// Event is one server-sent event. It is stored and sent between processes under its field names.
type Event struct {
	ID    string
	Name  string
	Data  string
	Retry time.Duration // delay before a reconnection; 0 for unspecified
}

// Encode returns the event as a block of a stream.
func (e Event) Encode() []byte {
	var block bytes.Buffer
	if e.ID != "" {
		fmt.Fprintf(&block, "id: %s\n", e.ID)
	}
	if e.Name != "" {
		fmt.Fprintf(&block, "event: %s\n", e.Name)
	}
	if e.Retry > 0 {
		fmt.Fprintf(&block, "retry: %d\n", e.Retry.Milliseconds())
	}
	for line := range strings.SplitSeq(strings.ReplaceAll(strings.ReplaceAll(e.Data, "\r\n", "\n"), "\r", "\n"), "\n") {
		fmt.Fprintf(&block, "data: %s\n", line)
	}
	block.WriteByte('\n')
	return block.Bytes()
}

// EventReader parses a stream of server-sent events by the standard: lines end in CR, LF or CRLF, comments are skipped, several data
// lines make one event, and an event that the end of the stream cuts short is dropped.
type EventReader struct {
	reader       *bufio.Reader
	startChecked bool   // for a byte order mark
	skipLF       bool   // the last line ended in CR: an LF that follows belongs to it
	lastID       string // the last ID received; events without an ID have it too
}

// NewEventReader returns a reader of a stream.
func NewEventReader(stream io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReader(stream)}
}

// Next returns the next event that has data. It blocks until the event is complete.
func (e *EventReader) Next() (Event, error) {
	var event Event
	var data []byte
	hasData := false
	for size := 0; ; {
		line, err := e.line()
		if err != nil {
			return Event{}, err
		}
		if size += len(line); size > maxLine {
			return Event{}, fmt.Errorf("%w: event too long", errMalformed)
		}
		if len(line) == 0 {
			if hasData {
				event.ID, event.Data = e.lastID, string(data)
				return event, nil
			}
			event = Event{}
			continue
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) { // an empty field is a comment; unknown fields are ignored
		case "data":
			if hasData {
				data = append(data, '\n')
			}
			data, hasData = append(data, value...), true
		case "event":
			event.Name = string(value)
		case "id":
			if !bytes.Contains(value, []byte{0}) {
				e.lastID = string(value)
			}
		case "retry":
			if milliseconds, err := strconv.ParseUint(string(value), 10, 31); err == nil {
				event.Retry = time.Duration(milliseconds) * time.Millisecond
			}
		}
	}
}

// line reads up to the next line end. After a CR it does not wait for an LF, which may never follow: that would delay the event that
// the CR completes.
func (e *EventReader) line() ([]byte, error) {
	if !e.startChecked {
		e.startChecked = true
		if mark, err := e.reader.Peek(3); err == nil && string(mark) == "\xef\xbb\xbf" {
			_, _ = e.reader.Discard(3) // Peek has buffered them
		}
	}
	var line []byte
	for {
		char, err := e.reader.ReadByte()
		if err != nil {
			return nil, err
		}
		if e.skipLF {
			e.skipLF = false
			if char == '\n' {
				continue
			}
		}
		switch char {
		case '\r':
			e.skipLF = true
			return line, nil
		case '\n':
			return line, nil
		}
		if line = append(line, char); len(line) > maxLine {
			return nil, fmt.Errorf("%w: line too long", errMalformed)
		}
	}
}

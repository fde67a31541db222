package protocol

import (
	"fmt"
	"strings"
	"testing"
	"testing/iotest"
	"time"
)

// TestEventReader_standardSyntax checks that a stream that returns one byte per read is parsed as the standard specifies, that an
// encoded event can be parsed, and that a line longer than maxLine is rejected.
func TestEventReader_standardSyntax(t *testing.T) {
	for text, want := range map[string]string{
		"data: a\n\n":             "|a|",
		"data:a\r\n\r\n":          "|a|",
		"data:  a\r\r":            "| a|",
		"\xef\xbb\xbfdata: a\n\n": "|a|",
		": note\nevent: x\nid: 7\ndata: a\ndata\ndata: b\n\ndata: c\n\n": "7x|a\n\nb| 7|c|",
		"event: x\n\ndata: a\n\n":                 "|a|", // without data there is no event, and its name is dropped
		"retry: 250\nodd: 1\ndata: a\n\n":         "|a|250ms",
		"retry: -1\nid: a\x00b\ndata: a\n\n":      "|a|",
		"data: a\n\ndata: cut short":              "|a|",
		"data: a\n\ndata: no end\n":               "|a|",
		"data: {\"x\":\r\ndata: 1}\r\n\r\n: \r\n": "|{\"x\":\n1}|",
	} {
		reader := NewEventReader(iotest.OneByteReader(strings.NewReader(text)))
		var got []string
		for {
			event, err := reader.Next()
			if err != nil {
				break
			}
			retry := ""
			if event.Retry > 0 {
				retry = event.Retry.String()
			}
			got = append(got, fmt.Sprintf("%s%s|%s|%s", event.ID, event.Name, event.Data, retry))
		}
		if strings.Join(got, " ") != want {
			t.Errorf("%q: got %q, want %q", text, got, want)
		}
	}
	event := Event{ID: "3", Name: "refused", Data: "a\r\nb", Retry: 2 * time.Second}
	if parsed, err := NewEventReader(strings.NewReader(string(event.Encode()))).Next(); err != nil || parsed.Data != "a\nb" || parsed.Retry != event.Retry || parsed.ID != "3" {
		t.Errorf("encoded and parsed: %+v, error %v", parsed, err)
	}
	if _, err := NewEventReader(strings.NewReader("data: " + strings.Repeat("x", maxLine+1))).Next(); err == nil {
		t.Error("a line over the limit was accepted")
	}
}

package protocol

import (
	"fmt"
	"strings"
	"testing"
	"testing/iotest"
	"time"
)

// A stream is parsed by the standard, however its bytes are split among reads.
func TestEventReader(t *testing.T) {
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
		r := NewEventReader(iotest.OneByteReader(strings.NewReader(text)))
		var got []string
		for {
			ev, err := r.Next()
			if err != nil {
				break
			}
			retry := ""
			if ev.Retry > 0 {
				retry = ev.Retry.String()
			}
			got = append(got, fmt.Sprintf("%s%s|%s|%s", ev.ID, ev.Name, ev.Data, retry))
		}
		if strings.Join(got, " ") != want {
			t.Errorf("%q: got %q, want %q", text, got, want)
		}
	}
	ev := Event{ID: "3", Name: "refused", Data: "a\r\nb", Retry: 2 * time.Second}
	if back, err := NewEventReader(strings.NewReader(string(ev.Encode()))).Next(); err != nil || back.Data != "a\nb" || back.Retry != ev.Retry || back.ID != "3" {
		t.Errorf("encoded and parsed: %+v %v", back, err)
	}
	if _, err := NewEventReader(strings.NewReader("data: " + strings.Repeat("x", maxLine+1))).Next(); err == nil {
		t.Error("a line over the limit was accepted")
	}
}

package listen

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
)

// TestNext survives errors, but not the owner's closing of the listener nor its deadline.
func TestNext(t *testing.T) {
	for _, last := range []error{nil, net.ErrClosed, os.ErrDeadlineExceeded} {
		results := []error{syscall.ENOBUFS, errors.New("unheard of"), syscall.EMFILE, last}
		failures := 0
		_, err := Next(func() (int, error) {
			next := results[0]
			results = results[1:]
			return 0, next
		}, func(error) { failures++ })
		if !errors.Is(err, last) || failures != 3 {
			t.Errorf("%v: ended with %v behind %d failures", last, err, failures)
		}
	}
}

// TestFailures_oneLogLineASecond logs many errors as one line.
func TestFailures_oneLogLineASecond(t *testing.T) {
	var mu sync.Mutex
	var text strings.Builder
	f := Failures{Log: slog.New(slog.NewTextHandler(writer(func(p []byte) {
		mu.Lock()
		defer mu.Unlock()
		text.Write(p)
	}), nil))}
	for range 100 {
		f.Failed(syscall.ENOBUFS)
	}
	if lines := strings.Count(text.String(), "accept failed"); lines != 1 {
		t.Errorf("%d lines", lines)
	}
}

type writer func([]byte)

func (w writer) Write(p []byte) (int, error) { w(p); return len(p), nil }

var _ io.Writer = writer(nil)

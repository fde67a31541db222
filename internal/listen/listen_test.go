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

// TestNext_retriesAccept checks that Next returns on success, if the listener is closed, or if its deadline has passed, and calls accept
// again after all other errors.
func TestNext_retriesAccept(t *testing.T) {
	for _, last := range []error{nil, net.ErrClosed, os.ErrDeadlineExceeded} {
		results := []error{syscall.ENOBUFS, errors.New("unknown"), syscall.EMFILE, last}
		failures := 0
		_, err := Next(func() (int, error) {
			next := results[0]
			results = results[1:]
			return 0, next
		}, func(error) { failures++ })
		if !errors.Is(err, last) || failures != 3 {
			t.Errorf("%v: returned error %v after %d failures, want 3", last, err, failures)
		}
	}
}

// TestFailures_oneLogLineASecond checks that 100 errors within a second are logged as one line.
func TestFailures_oneLogLineASecond(t *testing.T) {
	var mu sync.Mutex
	var text strings.Builder
	failures := Failures{Log: slog.New(slog.NewTextHandler(writer(func(p []byte) {
		mu.Lock()
		defer mu.Unlock()
		text.Write(p)
	}), nil))}
	for range 100 {
		failures.Failed(syscall.ENOBUFS)
	}
	if lines := strings.Count(text.String(), "accept failed"); lines != 1 {
		t.Errorf("%d log lines, want 1", lines)
	}
}

// writer is a function that implements io.Writer.
type writer func([]byte)

// Write calls the function.
func (w writer) Write(p []byte) (int, error) { w(p); return len(p), nil }

var _ io.Writer = writer(nil)

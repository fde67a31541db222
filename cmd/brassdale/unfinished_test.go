package main

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"
)

// A process had been told to end. A client wrote its request in pieces, and wrote the last byte 76 ms behind the end of the process
// ("shutdown complete" open_requests=0): its connection had been closed with no answer. A request that is half here when the
// process ends is refused with a whole answer, so that its client knows that nothing ran, and the last byte is nobody's.
func TestShutdown_rejectsUnfinishedRequests(t *testing.T) {
	t.Parallel()
	b := startWorker(t, "a", completeJob)
	n := startDispatcherWith(t, "", func(config string) string {
		return strings.Replace(config, `"deadline":5000000`, `"deadline":600000`, 1)
	}, b)
	for _, part := range []int{10, -1} { // in its head, and before its last byte
		c := n.dial()
		defer c.Close()
		var text bytes.Buffer
		newRequest(n.http1URL, "half", "Req-Deadline-Ms", "600").Write(&text)
		if part < 0 {
			part += text.Len()
		}
		answered := make(chan error, 1)
		go func() {
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err == nil && resp.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("a request of %d bytes, %d of them sent, is answered %d", text.Len(), part, resp.StatusCode)
			}
			answered <- err
		}()
		go func() { // it goes on until shortly before the kill
			for i, left := 0, text.Bytes()[:part]; i < part; i++ {
				c.Write(left[i : i+1])
				time.Sleep(5 * time.Millisecond)
			}
		}()
		defer func() {
			if err := <-answered; err != nil {
				t.Errorf("%d bytes sent: %v", part, err)
			}
		}()
	}
	time.Sleep(200 * time.Millisecond)
	n.terminate()
	n.waitForExit(time.Now().Add(1300 * time.Millisecond))
	if _, jobs := b.count(); jobs != 0 {
		t.Errorf("%d jobs reached the worker", jobs)
	}
}

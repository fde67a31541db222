package transport

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"
)

// servedLater sends a request on a connection that nobody accepts for a while, and has it served then. It gives what the handler
// finds.
func servedLater[T any](t *testing.T, text string, leave func(*net.TCPConn), unread time.Duration, find func(*http.Request) T) T {
	t.Helper()
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gate := NewListener(l, quiet)
	gate.SetLimits(10, 1<<20)
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	io.WriteString(client, text)
	leave(client.(*net.TCPConn))
	time.Sleep(unread)
	found := make(chan T, 1)
	server := Server(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		select {
		case found <- find(r):
		default:
		}
	}), quiet)
	go server.Serve(gate)
	defer server.Close()
	return <-found
}

// A request that lay unread for a while, as its process had no time for it, has used its client's time: when its last byte came
// is asked of the system, not of the clock at the reading.
func TestRequestThatLayUnread(t *testing.T) {
	const unread = 300 * time.Millisecond
	got := servedLater(t, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", func(*net.TCPConn) {}, unread,
		func(r *http.Request) time.Duration { return unreadDuration(r, time.Now()) })
	if got < unread-50*time.Millisecond || got > unread+200*time.Millisecond {
		t.Errorf("it waited for %v, seen as %v", unread, got)
	}
}

// A client that closed, shut its side or broke its connection while its request lay unread has gone from the first moment on, not
// only once a reader has come to the end of its bytes.
func TestClientGoneBeforeItsRequestIsRead(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn){
		"closes":     func(c *net.TCPConn) { c.Close() },
		"half-close": func(c *net.TCPConn) { c.CloseWrite() },
		"stays":      func(*net.TCPConn) {},
	} {
		got := servedLater(t, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx", leave, 50*time.Millisecond,
			func(r *http.Request) bool { return clientGoneFunc(r)() })
		if got != (name != "stays") {
			t.Errorf("%s: seen as gone %v", name, got)
		}
	}
}

package transport

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"
)

// serveAfter sends a request on a connection that is accepted only after the duration unread. It returns what find returns in
// the handler.
func serveAfter[T any](t *testing.T, text string, leave func(*net.TCPConn), unread time.Duration, find func(*http.Request) T) T {
	t.Helper()
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := NewListener(l, quiet)
	listener.SetLimits(10, 1<<20)
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
	go server.Serve(listener)
	defer server.Close()
	return <-found
}

// The time for which a request lay unread, for example as its process was paused, counts towards its deadline: the kernel is asked
// when its last byte was received, not the clock when it is read.
func TestRequestThatLayUnread(t *testing.T) {
	const unread = 300 * time.Millisecond
	got := serveAfter(t, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", func(*net.TCPConn) {}, unread,
		func(r *http.Request) time.Duration { return unreadDuration(r, time.Now()) })
	if got < unread-50*time.Millisecond || got > unread+200*time.Millisecond {
		t.Errorf("unread for %v, measured as %v", unread, got)
	}
}

// A client that closed, or shut its side, while its request lay unread counts as gone from the start, not only once its bytes
// were read to the end.
func TestClientGoneBeforeItsRequestIsRead(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn){
		"closes":     func(c *net.TCPConn) { c.Close() },
		"half-close": func(c *net.TCPConn) { c.CloseWrite() },
		"stays":      func(*net.TCPConn) {},
	} {
		got := serveAfter(t, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx", leave, 50*time.Millisecond,
			func(r *http.Request) bool { return clientGoneFunc(r)() })
		if got != (name != "stays") {
			t.Errorf("%s: gone = %v", name, got)
		}
	}
}

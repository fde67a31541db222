package transport

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"
)

// serveAfter sends a request, calls disconnect with the client's connection, and accepts that connection only after acceptDelay. It
// returns what measure returned in the handler.
func serveAfter[T any](t *testing.T, request string, disconnect func(*net.TCPConn), acceptDelay time.Duration, measure func(*http.Request) T) T {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	socket, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := NewListener(socket, log)
	listener.SetLimits(10, 1<<20)
	client, err := net.Dial("tcp", socket.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	io.WriteString(client, request)
	disconnect(client.(*net.TCPConn))
	time.Sleep(acceptDelay)
	measured := make(chan T, 1)
	server := Server(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		select {
		case measured <- measure(r):
		default:
		}
	}), log)
	go server.Serve(listener)
	defer server.Close()
	return <-measured
}

// TestUnreadDuration_requestReceivedBeforeAccept checks that the time between the receipt of a request and its read, for example while the
// process was paused, counts towards its deadline: unreadDuration is within -50 ms and +200 ms of the true time, since it takes the time
// of receipt from the kernel.
func TestUnreadDuration_requestReceivedBeforeAccept(t *testing.T) {
	const unread = 300 * time.Millisecond
	got := serveAfter(t, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", func(*net.TCPConn) {}, unread,
		func(r *http.Request) time.Duration { return unreadDuration(r, time.Now()) })
	if got < unread-50*time.Millisecond || got > unread+200*time.Millisecond {
		t.Errorf("request read %v after its receipt, unreadDuration returned %v", unread, got)
	}
}

// TestClientGoneFunc_disconnectBeforeRequestIsRead checks that a client that closed or half-closed its connection before its request was
// read counts as gone from the start, not only once its bytes are read to the end.
func TestClientGoneFunc_disconnectBeforeRequestIsRead(t *testing.T) {
	for name, disconnect := range map[string]func(*net.TCPConn){
		"closes":     func(c *net.TCPConn) { c.Close() },
		"half-close": func(c *net.TCPConn) { c.CloseWrite() },
		"stays":      func(*net.TCPConn) {},
	} {
		got := serveAfter(t, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx", disconnect, 50*time.Millisecond,
			func(r *http.Request) bool { return clientGoneFunc(r)() })
		if got != (name != "stays") {
			t.Errorf("%s: client counts as gone: %v", name, got)
		}
	}
}

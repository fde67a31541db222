package transport

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"
)

// A request that lay unread for a while, as its process had no time for it, has used its client's time: when its last byte came
// is asked of the system, not of the clock at the reading.
func TestRequestThatLayUnread(t *testing.T) {
	const unread = 300 * time.Millisecond
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gate := NewGate(l, slog.New(slog.NewTextHandler(io.Discard, nil)))
	gate.Allow(10, 1<<20)
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	io.WriteString(client, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(unread) // nobody accepts
	waited := make(chan time.Duration, 1)
	server := Server(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { waited <- waitedUnread(r, time.Now()) }), slog.New(slog.NewTextHandler(io.Discard, nil)))
	go server.Serve(gate)
	defer server.Close()
	if got := <-waited; got < unread-50*time.Millisecond || got > unread+200*time.Millisecond {
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
		l, err := Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		gate := NewGate(l, slog.New(slog.NewTextHandler(io.Discard, nil)))
		gate.Allow(10, 1<<20)
		client, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(client, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx")
		leave(client.(*net.TCPConn))
		time.Sleep(50 * time.Millisecond) // nobody accepts
		seen := make(chan bool, 1)
		server := Server(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			select {
			case seen <- gone(r)():
			default:
			}
		}), slog.New(slog.NewTextHandler(io.Discard, nil)))
		go server.Serve(gate)
		if got := <-seen; got != (name != "stays") {
			t.Errorf("%s: seen as gone %v", name, got)
		}
		server.Close()
		client.Close()
	}
}

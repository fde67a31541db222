package transport

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// listenerFor serves a handler on a listener, and returns it with a function that connects to it.
func listenerFor(t *testing.T, h http.HandlerFunc) (*Listener, func() net.Conn) {
	t.Helper()
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	listener := NewListener(l, log)
	listener.SetLimits(100, 1<<20)
	go Server(h, log).Serve(listener)
	t.Cleanup(func() { listener.Close() })
	return listener, func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		return c
	}
}

const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// waitUntil waits for what another goroutine does.
func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not seen within 10 s: %s", what)
		}
	}
}

// A client's leaving is noticed while its request is served, whatever it sent after the request and however it leaves.
func TestLeavingShowsBehindUnreadBytes(t *testing.T) {
	for name, behind := range map[string]int{"nothing": 0, "a byte": 1, "a request": len(get), "more than is queued": 3 * maxReadAheadBytes} {
		for how, leave := range map[string]func(*net.TCPConn){
			"closes":      func(c *net.TCPConn) { c.Close() },
			"half-closes": func(c *net.TCPConn) { c.CloseWrite() },
			"resets":      func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
		} {
			began, left := make(chan struct{}), make(chan struct{})
			_, dial := listenerFor(t, func(_ http.ResponseWriter, r *http.Request) {
				is := clientGoneFunc(r)
				markServing(r)
				close(began)
				<-r.Context().Done()
				if is() {
					close(left)
				}
			})
			c := dial().(*net.TCPConn)
			io.WriteString(c, get)
			<-began
			c.Write(make([]byte, behind))
			leave(c)
			select {
			case <-left:
			case <-time.After(5 * time.Second):
				t.Errorf("a client that %s after sending %s is not noticed", how, name)
			}
		}
	}
}

// Bytes received after an unanswered request belong to the next one, which is served complete and in its turn.
func TestWhatComesBehindIsKept(t *testing.T) {
	release := make(chan struct{})
	served := 0
	_, dial := listenerFor(t, func(w http.ResponseWriter, r *http.Request) {
		markServing(r)
		body, _ := io.ReadAll(r.Body)
		if served++; served == 1 {
			<-release
		}
		fmt.Fprint(w, served, string(body))
	})
	c := dial()
	io.WriteString(c, get)
	for _, part := range []string{"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 7\r\n\r\ndra", "wing", get} {
		io.WriteString(c, part)
	}
	in := bufio.NewReader(c)
	close(release)
	for _, want := range []string{"1", "2drawing", "3"} {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, _ := io.ReadAll(resp.Body); string(body) != want {
			t.Errorf("%q, want %q", body, want)
		}
	}
}

// A connection that is closed with unread bytes is not reset: its client reads the answer and then EOF.
func TestLingeringClose(t *testing.T) {
	_, dial := listenerFor(t, func(w http.ResponseWriter, r *http.Request) {
		markServing(r)
		closeAfterAnswer(w)
		fmt.Fprint(w, "answer")
	})
	for range 20 {
		c := dial()
		io.WriteString(c, get+get+get)
		c.Write(make([]byte, 2*maxReadAheadBytes))
		in := bufio.NewReader(c)
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(resp.Body); string(body) != "answer" || err != nil {
			t.Fatalf("%q, %v", body, err)
		}
		c.Write([]byte("and more"))
		if _, err := in.ReadByte(); !errors.Is(err, io.EOF) {
			t.Fatalf("after the answer: %v", err)
		}
	}
}

// A request that is received on an idle connection while CloseIdle closes it is answered, or it is not read and its client
// sees EOF: none is handled and left without an answer, and no connection is reset.
func TestRequestAsItsConnectionIsDismissed(t *testing.T) {
	outcomes := [2]int{}
	for round := range 200 {
		var handled atomic.Int32
		listener, dial := listenerFor(t, func(w http.ResponseWriter, r *http.Request) {
			handled.Add(1)
			markServing(r)
			fmt.Fprint(w, "answer")
		})
		c := dial()
		in := bufio.NewReader(c)
		readAnswer := func() error {
			resp, err := http.ReadResponse(in, nil)
			if err == nil {
				_, err = io.ReadAll(resp.Body)
			}
			return err
		}
		io.WriteString(c, get)
		if err := readAnswer(); err != nil {
			t.Fatal(err)
		}
		waitUntil(t, "the connection idle", func() bool {
			listener.mu.Lock()
			defer listener.mu.Unlock()
			for c := range listener.conns {
				return c.phase == phaseIdle
			}
			return false
		})
		start := make(chan struct{})
		done := make(chan struct{})
		go func() { <-start; listener.CloseWhenIdle(); close(done) }()
		if round%2 == 0 { // before the request, or at the same time
			close(start)
			<-done
			io.WriteString(c, get)
		} else {
			close(start)
			io.WriteString(c, get)
		}
		err := readAnswer()
		answered := handled.Load() == 2
		if answered != (err == nil) || err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) || round%2 == 0 && answered {
			t.Fatalf("round %d: handled %v, its client saw %v", round, answered, err)
		}
		if answered {
			outcomes[0]++
		} else {
			outcomes[1]++
		}
		c.Close()
		listener.Close()
	}
	t.Logf("%d answered, %d not read", outcomes[0], outcomes[1])
}

// Requests that fill more than one read of net/http, queued after an unanswered one, are served in order, each with its own body.
// What was left of a read was once queued after what had been received later.
func TestManyBehindKeepTheirOrder(t *testing.T) {
	const behind = 200
	release := make(chan struct{})
	listener, dial := listenerFor(t, func(w http.ResponseWriter, r *http.Request) {
		markServing(r)
		body, _ := io.ReadAll(r.Body)
		if r.URL.Path == "/0" {
			<-release
		}
		fmt.Fprint(w, r.URL.Path, string(body))
	})
	c := dial()
	send := func(i int) int {
		n, _ := fmt.Fprintf(c, "POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n%05d", i, i)
		return n
	}
	send(0)
	sentAhead := 0
	for i := 1; i <= behind; i++ {
		sentAhead += send(i)
	}
	if sentAhead < 2*4096 || sentAhead > maxReadAheadBytes {
		t.Fatalf("%d bytes: too few for several reads, or too many to be queued", sentAhead)
	}
	waitUntil(t, "all bytes queued", func() bool {
		listener.mu.Lock()
		defer listener.mu.Unlock()
		for c := range listener.conns {
			return int(c.pendingBytes.Load()) == sentAhead
		}
		return false
	})
	close(release)
	in := bufio.NewReader(c)
	for i := 0; i <= behind; i++ {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		if body, err := io.ReadAll(resp.Body); string(body) != fmt.Sprintf("/%d%05d", i, i) || err != nil {
			t.Fatalf("request %d: %d %q, %v", i, resp.StatusCode, body, err)
		}
	}
}

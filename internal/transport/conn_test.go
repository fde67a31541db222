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

// gateFor serves a handler behind a gate, and gives how to connect.
func gateFor(t *testing.T, h http.HandlerFunc) (*Listener, func() net.Conn) {
	t.Helper()
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	g := NewListener(l, log)
	g.SetLimits(100, 1<<20)
	go Server(h, log).Serve(g)
	t.Cleanup(func() { g.Close() })
	return g, func() net.Conn {
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

// until waits for what another goroutine does.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never seen: %s", what)
		}
	}
}

// A client's leaving shows while its request is served, whatever it has sent behind that, and however it leaves.
func TestLeavingShowsBehindUnreadBytes(t *testing.T) {
	for name, behind := range map[string]int{"nothing": 0, "a byte": 1, "a request": len(get), "more than is kept": 3 * maxReadAheadBytes} {
		for how, leave := range map[string]func(*net.TCPConn){
			"closes":      func(c *net.TCPConn) { c.Close() },
			"half-closes": func(c *net.TCPConn) { c.CloseWrite() },
			"resets":      func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
		} {
			began, left := make(chan struct{}), make(chan struct{})
			_, dial := gateFor(t, func(_ http.ResponseWriter, r *http.Request) {
				is := clientGoneFunc(r)
				enterPhase(r, phaseServing)
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
				t.Errorf("a client that %s behind %s is not seen", how, name)
			}
		}
	}
}

// What came behind a request is the next one's, whole, in its turn.
func TestWhatComesBehindIsKept(t *testing.T) {
	release := make(chan struct{})
	served := 0
	_, dial := gateFor(t, func(w http.ResponseWriter, r *http.Request) {
		enterPhase(r, phaseServing)
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

// A connection that ends over unread bytes is not reset: its client reads the answer and then the end.
func TestLingeringClose(t *testing.T) {
	_, dial := gateFor(t, func(w http.ResponseWriter, r *http.Request) {
		enterPhase(r, phaseServing)
		closeBehind(w)
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
			t.Fatalf("behind the answer: %v", err)
		}
	}
}

// A request that comes on a resting connection in the moment in which that is dismissed is answered, or it is not read and
// its client sees the end: none is begun and left without an answer, and no connection is reset.
func TestRequestAsItsConnectionIsDismissed(t *testing.T) {
	both := [2]int{}
	for round := range 200 {
		var begun atomic.Int32
		g, dial := gateFor(t, func(w http.ResponseWriter, r *http.Request) {
			begun.Add(1)
			enterPhase(r, phaseServing)
			fmt.Fprint(w, "answer")
		})
		c := dial()
		in := bufio.NewReader(c)
		ask := func() error {
			resp, err := http.ReadResponse(in, nil)
			if err == nil {
				_, err = io.ReadAll(resp.Body)
			}
			return err
		}
		io.WriteString(c, get)
		if err := ask(); err != nil {
			t.Fatal(err)
		}
		until(t, "the connection at rest", func() bool {
			g.mu.Lock()
			defer g.mu.Unlock()
			for c := range g.conns {
				return c.phase == phaseIdle
			}
			return false
		})
		start := make(chan struct{})
		done := make(chan struct{})
		go func() { <-start; g.CloseIdle(); close(done) }()
		if round%2 == 0 { // for sure before the request, or in the same moment
			close(start)
			<-done
			io.WriteString(c, get)
		} else {
			close(start)
			io.WriteString(c, get)
		}
		err := ask()
		answered := begun.Load() == 2
		if answered != (err == nil) || err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) || round%2 == 0 && answered {
			t.Fatalf("round %d: begun %v, its client saw %v", round, answered, err)
		}
		if answered {
			both[0]++
		} else {
			both[1]++
		}
		c.Close()
		g.Close()
	}
	t.Logf("%d answered, %d not read", both[0], both[1])
}

// More came behind a request than net/http reads at a time: each is served in its turn, with the body that is its own. What
// was left of a read once went behind what had come later.
func TestManyBehindKeepTheirOrder(t *testing.T) {
	const behind = 200
	release := make(chan struct{})
	g, dial := gateFor(t, func(w http.ResponseWriter, r *http.Request) {
		enterPhase(r, phaseServing)
		body, _ := io.ReadAll(r.Body)
		if r.URL.Path == "/0" {
			<-release
		}
		fmt.Fprint(w, r.URL.Path, string(body))
	})
	c := dial()
	ask := func(i int) int {
		n, _ := fmt.Fprintf(c, "POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n%05d", i, i)
		return n
	}
	ask(0)
	kept := 0
	for i := 1; i <= behind; i++ {
		kept += ask(i)
	}
	if kept < 2*4096 || kept > maxReadAheadBytes {
		t.Fatalf("%d bytes are no test", kept)
	}
	until(t, "all of it kept", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		for c := range g.conns {
			return int(c.pendingBytes.Load()) == kept
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

package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// A request waits for its first attempt, and its client goes: closes, half-closes or resets, alone or in a burst, with bytes
// behind the request or none. When a worker comes it gets none of them, and who still reads is served nothing.
func TestClientDisconnect_beforeFirstAttempt(t *testing.T) {
	t.Parallel()
	leave := map[string]func(*net.TCPConn){
		"closes":      func(c *net.TCPConn) { c.Close() },
		"half-closes": func(c *net.TCPConn) { c.CloseWrite() },
		"resets":      func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	}
	for how, go_ := range leave {
		for _, behind := range []string{"", "P", "POST /price-part HTTP/1.1\r\nHost: h\r\n\r\n"} {
			t.Run(fmt.Sprint(how, len(behind)), func(t *testing.T) {
				t.Parallel()
				n := startDispatcher(t, "")
				b := startWorker(t, "late", completeJob)
				const burst = 8
				var conns []*net.TCPConn
				for i := range burst {
					c := n.dial().(*net.TCPConn)
					newRequest(n.http1URL, fmt.Sprint("gone-", i)).Write(c)
					conns = append(conns, c)
				}
				n.waitFor("all waiting", func() bool { return n.metric("concurrent") == burst })
				for _, c := range conns {
					io.WriteString(c, behind)
				}
				for _, c := range conns {
					go_(c)
				}
				began := time.Now()
				n.waitFor("nobody waiting", func() bool { return n.metric("concurrent") == 0 })
				if took := time.Since(began); took > time.Second {
					t.Errorf("clients that had gone were seen after %v", took)
				}
				n.discovery.update(func() { n.discovery.workers = append(n.discovery.workers, b) })
				if status, _, _ := n.send(newRequest(n.http1URL, "stays")); status != 200 {
					t.Errorf("a client that stays: %d", status)
				}
				if _, jobs := b.count(); jobs != 1 {
					t.Errorf("%d jobs of clients that had gone came to the worker: %v", jobs-1, b.runsPerKey())
				}
				if how == "half-closes" {
					for _, c := range conns {
						if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil && resp.StatusCode == 200 {
							t.Fatal("a client that shut its side was served what no worker made")
						}
					}
				}
			})
		}
	}
}

// A client goes while its call waits for a connection to come up: nothing is written when it does.
func TestClientDisconnect_whileConnecting(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	var wrote bytes.Buffer
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	full, release := fillBacklog(t, ln), make(chan struct{})
	if !full {
		t.Skip("the backlog of this machine's listeners cannot be filled")
	}
	go func() {
		<-release
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				var b [4096]byte
				for n := 0; err == nil; {
					n, err = c.Read(b[:])
					mu.Lock()
					wrote.Write(b[:n])
					mu.Unlock()
				}
			}()
		}
	}()
	b := startWorker(t, "slow", completeJob)
	b.listener.Close()
	b.listener = ln
	n := startDispatcherWith(t, "", func(c string) string {
		return strings.Replace(c, `"connectTimeout":200000`, `"connectTimeout":5000000`, 1)
	}, b)
	c := n.dial()
	newRequest(n.http1URL, "gone").Write(c)
	n.waitFor("the job waiting", func() bool { return n.metric("concurrent") == 1 })
	c.Close()
	n.waitFor("nobody waiting", func() bool { return n.metric("concurrent") == 0 })
	close(release)
	newRequest(n.http1URL, "stays").Write(n.dial())
	has := func(id string) bool { mu.Lock(); defer mu.Unlock(); return bytes.Contains(wrote.Bytes(), []byte(id)) }
	n.waitFor("a job behind it", func() bool { return has("id-stays") })
	if has("id-gone") {
		t.Error("the job of a client that had gone was written")
	}
}

// fillBacklog makes connections until the listener's queue takes no more, so that a further one does not come up.
func fillBacklog(t *testing.T, ln net.Listener) bool {
	t.Helper()
	raw, err := ln.(*net.TCPListener).SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) })
	if err != nil {
		return false
	}
	for range 16 {
		c, err := net.DialTimeout("tcp", ln.Addr().String(), 50*time.Millisecond)
		if err != nil {
			return true
		}
		t.Cleanup(func() { c.Close() })
	}
	return false
}

// A connection rests behind an answer: a worker's second answer, some milliseconds late, is not taken for the next job's.
// Here the worker says it in the very moment in which a job would come too early on the same connection.
func TestWorkerConnection_secondAnswerDiscarded(t *testing.T) {
	t.Parallel()
	const rest = 20 * time.Millisecond
	var mu sync.Mutex
	answered := map[string]time.Time{} // by the connection's other end
	b := startWorker(t, "a", func(b *testWorker, c net.Conn, r *http.Request) {
		mu.Lock()
		last, again := answered[c.RemoteAddr().String()]
		mu.Unlock()
		if again && time.Since(last) < rest { // the second answer of the job before
			io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
			return
		}
		mu.Lock()
		answered[c.RemoteAddr().String()] = time.Now()
		mu.Unlock()
		completeJob(b, c, r)
	})
	n := startDispatcher(t, "", b)
	for i := range 20 {
		if status, _, _ := n.send(newRequest(n.http1URL, fmt.Sprint(i))); status != 200 {
			t.Fatalf("job %d, right behind another's answer: %d", i, status)
		}
	}
}

// Where deadlines are short, the door stays open for a part of the time that is left, and all that comes is answered.
func TestShutdown_shortDeadlines(t *testing.T) {
	t.Parallel()
	b := startWorker(t, "a", completeJob)
	n := startDispatcherWith(t, "", func(c string) string {
		return strings.Replace(c, `"deadline":5000000`, `"deadline":400000`, 1)
	}, b)
	n.send(newRequest(n.http1URL, "before"))
	n.terminate()
	for i, begin := 0, time.Now(); time.Since(begin) < 400*time.Millisecond; i++ {
		c, err := net.Dial("tcp", strings.TrimPrefix(n.http1URL, "http://"))
		if err != nil {
			t.Fatalf("%v behind SIGTERM: %v", time.Since(begin), err)
		}
		newRequest(n.http1URL, fmt.Sprint("k-", i)).Write(c)
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 200 {
			t.Fatalf("%v behind SIGTERM: %v", time.Since(begin), err)
		}
		c.Close()
		time.Sleep(20 * time.Millisecond)
	}
	n.waitForExit(time.Now().Add(3 * time.Second))
}

// SIGTERM with a job out, one whose body is half here, one that waits behind another on its connection, and a client that
// rests and sends on until its connection ends; with SIGHUP and a second SIGTERM in between, and a worker that hangs. Each
// whole request that was read is answered, and no connection is reset.
func TestShutdown_requestsInEachState(t *testing.T) {
	t.Parallel()
	b := startWorker(t, "a", stallOnStuckKeys)
	n := startDispatcher(t, "", b)
	hung, half, piped, rests := n.dial(), n.dial(), n.dial(), n.dial()
	newRequest(n.http1URL, "stuck-1").Write(hung)
	var text bytes.Buffer
	newRequest(n.http1URL, "half").Write(&text)
	half.Write(text.Bytes()[:text.Len()-3])
	newRequest(n.http1URL, "stuck-2").Write(piped)
	newRequest(n.http1URL, "behind").Write(piped)
	n.waitFor("the jobs at the worker", func() bool { _, jobs := b.count(); return jobs >= 2 })
	resting := bufio.NewReader(rests)
	ask := func(i int) (*http.Response, error) {
		newRequest(n.http1URL, fmt.Sprint("rests-", i)).Write(rests)
		resp, err := http.ReadResponse(resting, nil)
		if err == nil {
			io.Copy(io.Discard, resp.Body)
		}
		return resp, err
	}
	if resp, err := ask(0); err != nil || resp.StatusCode != 200 {
		t.Fatal(resp, err)
	}
	n.terminate()
	n.reload(n.config)
	n.terminate()
	half.Write(text.Bytes()[text.Len()-3:])
	answer := func(name string, in *bufio.Reader) int {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			return 0
		}
		io.Copy(io.Discard, resp.Body)
		return resp.StatusCode
	}
	if got := answer("half read at SIGTERM", bufio.NewReader(half)); got != 200 {
		t.Errorf("half read at SIGTERM: %d", got)
	}
	var err error
	for i := 1; err == nil; i++ {
		var resp *http.Response
		if resp, err = ask(i); err == nil && resp.StatusCode != 200 && resp.StatusCode != 503 {
			t.Errorf("on a resting connection: %d", resp.StatusCode)
		}
		time.Sleep(5 * time.Millisecond)
	}
	if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("a resting connection ended with %v", err)
	}
	for name, c := range map[string]net.Conn{"hung": hung, "hung, one behind it": piped} {
		if got := answer(name, bufio.NewReader(c)); got != 502 && got != 504 {
			t.Errorf("%s: %d", name, got)
		}
	}
	n.waitForExit(time.Now().Add(5 * time.Second))
}

// A watch that has fallen silent from the first second on, as one of three hundred dispatchers sees it: what drains right
// after it began is told within six seconds, whatever the chance drawn, and gets nothing later.
func TestDiscovery_watchSilentFromStart(t *testing.T) {
	t.Parallel()
	a, b := startWorker(t, "a", completeJob), startWorker(t, "b", completeJob)
	n := startDispatcherWith(t, "", func(c string) string {
		return strings.Replace(c, `"replicasOfMe":1`, `"replicasOfMe":300`, 1)
	}, a, b)
	g := n.discovery
	n.waitFor("a watch", func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return len(g.pollWaits) > 0 && g.pollWaits[len(g.pollWaits)-1] > 0
	})
	g.mu.Lock()
	g.silentCalls = len(g.polledRevisions) // all that are open hang for ever
	g.mu.Unlock()
	begin := time.Now()
	g.update(func() { a.phase = "leaving" })
	n.waitFor("the drain told", func() bool { return strings.Contains(n.log(), "revision=2") })
	if took := time.Since(begin); took > 6*time.Second {
		t.Errorf("told after %v", took)
	}
}

// While discovery is down idle clients open more connections than there are descriptors. Room that is kept for discovery,
// workers and the operators' door stays free: the door answers, a job that is out is not lost, further ones are served, and
// when discovery is back its list is read.
func TestDiscovery_downWhileDescriptorsAreExhausted(t *testing.T) {
	t.Parallel()
	const sockets = 128
	release := make(chan struct{})
	b := startWorker(t, "a", func(b *testWorker, c net.Conn, r *http.Request) {
		if r.Header.Get("Idempotency-Key") == "out" {
			<-release
		}
		completeJob(b, c, r)
	})
	n := &testDispatcher{t: t, discovery: &testDiscovery{revision: 1, workers: []*testWorker{b}, changed: make(chan struct{})}, exited: make(chan struct{}), descriptorLimit: sockets}
	n.start("", func(c string) string {
		return strings.Replace(c, `"sockets":1024`, fmt.Sprint(`"sockets":`, sockets), 1)
	})
	out := n.sendInBackground(b, "out")
	n.discovery.update(func() { n.discovery.failing = true })
	n.waitFor("a failed call", func() bool { return strings.Contains(n.log(), "discovery call failed") })
	for range 3 * sockets {
		n.dial()
	}
	n.waitFor("evicted client connections", func() bool { return strings.Contains(n.log(), "client connections evicted") })
	if got := n.metric("concurrent"); got != 1 {
		t.Errorf("at the door: %d jobs open", got)
	}
	if status, _, _ := n.send(newRequest(n.http1URL, "further")); status != 200 {
		t.Errorf("a further job: %d", status)
	}
	n.discovery.update(func() { n.discovery.failing = false })
	begin := time.Now()
	n.waitFor("the list", func() bool { return strings.Contains(n.log(), "discovery recovered") })
	if took := time.Since(begin); took > 2*time.Second {
		t.Errorf("the list was read %v behind discovery's return", took)
	}
	close(release)
	if status := <-out; status != 200 {
		t.Errorf("the job that was out: %d", status)
	}
	if strings.Contains(n.log(), "too many open files") {
		t.Error("out of descriptors")
	}
}

// What counts as refused at the platform without being a refusal is counted at the door: a job that failed and was never sent
// on, and a connection that was closed with nothing written.
func TestMetrics_unansweredConnections(t *testing.T) {
	t.Parallel()
	n := startDispatcherWith(t, "", func(c string) string { return strings.Replace(c, `"sockets":1024`, `"sockets":128`, 1) })
	if got, also := n.metric("failed_unsent"), n.metric("connections_unanswered"); got != 0 || also != 0 {
		t.Errorf("at first %d, %d", got, also)
	}
	n.dial().Close()
	for range 100 { // more than may be held: some are closed again
		n.dial()
	}
	n.waitFor("closed connections in the figures", func() bool { return n.metric("connections_unanswered") > 0 })
}

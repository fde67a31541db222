package main

import (
	"bufio"
	"bytes"
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

// The body is read whole before a job goes on, or the server would not notice that its client leaves.
func TestClientDisconnect_afterStart(t *testing.T) {
	t.Parallel()
	b := startWorker(t, "a", respondThenStall(`"state":"started"`))
	n := startDispatcher(t, "", b)
	c, err := net.Dial("tcp", strings.TrimPrefix(n.http1URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	if err := newRequest(n.http1URL, "k").Write(c); err != nil {
		t.Fatal(err)
	}
	n.waitFor("the job at the endpoint", func() bool { _, jobs := b.count(); return jobs == 1 })
	c.Close()
	select {
	case <-b.abandoned:
	case <-time.After(3 * time.Second):
		t.Error("the call was not given up when its client left")
	}
}

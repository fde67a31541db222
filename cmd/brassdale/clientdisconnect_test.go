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
		"closes":      func(conn *net.TCPConn) { conn.Close() },
		"half-closes": func(conn *net.TCPConn) { conn.CloseWrite() },
		"resets":      func(conn *net.TCPConn) { conn.SetLinger(0); conn.Close() },
	}
	for how, go_ := range leave {
		for _, behind := range []string{"", "P", "POST /price-part HTTP/1.1\r\nHost: h\r\n\r\n"} {
			t.Run(fmt.Sprint(how, len(behind)), func(t *testing.T) {
				t.Parallel()
				dispatcher := startDispatcher(t, "")
				worker := startWorker(t, "late", completeJob)
				const burst = 8
				var conns []*net.TCPConn
				for i := range burst {
					conn := dispatcher.dial().(*net.TCPConn)
					newRequest(dispatcher.http1URL, fmt.Sprint("gone-", i)).Write(conn)
					conns = append(conns, conn)
				}
				dispatcher.waitFor("all waiting", func() bool { return dispatcher.metric("concurrent") == burst })
				for _, conn := range conns {
					io.WriteString(conn, behind)
				}
				for _, conn := range conns {
					go_(conn)
				}
				began := time.Now()
				dispatcher.waitFor("nobody waiting", func() bool { return dispatcher.metric("concurrent") == 0 })
				if took := time.Since(began); took > time.Second {
					t.Errorf("clients that had gone were seen after %v", took)
				}
				dispatcher.discovery.update(func() { dispatcher.discovery.workers = append(dispatcher.discovery.workers, worker) })
				if status, _, _ := dispatcher.send(newRequest(dispatcher.http1URL, "stays")); status != 200 {
					t.Errorf("a client that stays: %d", status)
				}
				if _, jobs := worker.count(); jobs != 1 {
					t.Errorf("%d jobs of clients that had gone came to the worker: %v", jobs-1, worker.runsPerKey())
				}
				if how == "half-closes" {
					for _, conn := range conns {
						if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil && resp.StatusCode == 200 {
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
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	full, release := fillBacklog(t, listener), make(chan struct{})
	if !full {
		t.Skip("the backlog of this machine's listeners cannot be filled")
	}
	go func() {
		<-release
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				var b [4096]byte
				for n := 0; err == nil; {
					n, err = conn.Read(b[:])
					mu.Lock()
					wrote.Write(b[:n])
					mu.Unlock()
				}
			}()
		}
	}()
	worker := startWorker(t, "slow", completeJob)
	worker.listener.Close()
	worker.listener = listener
	dispatcher := startDispatcherWith(t, "", func(config string) string {
		return strings.Replace(config, `"connectTimeout":200000`, `"connectTimeout":5000000`, 1)
	}, worker)
	conn := dispatcher.dial()
	newRequest(dispatcher.http1URL, "gone").Write(conn)
	dispatcher.waitFor("the job waiting", func() bool { return dispatcher.metric("concurrent") == 1 })
	conn.Close()
	dispatcher.waitFor("nobody waiting", func() bool { return dispatcher.metric("concurrent") == 0 })
	close(release)
	newRequest(dispatcher.http1URL, "stays").Write(dispatcher.dial())
	has := func(id string) bool { mu.Lock(); defer mu.Unlock(); return bytes.Contains(wrote.Bytes(), []byte(id)) }
	dispatcher.waitFor("a job behind it", func() bool { return has("id-stays") })
	if has("id-gone") {
		t.Error("the job of a client that had gone was written")
	}
}

// fillBacklog makes connections until the listener's queue takes no more, so that a further one does not come up.
func fillBacklog(t *testing.T, listener net.Listener) bool {
	t.Helper()
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) })
	if err != nil {
		return false
	}
	for range 16 {
		conn, err := net.DialTimeout("tcp", listener.Addr().String(), 50*time.Millisecond)
		if err != nil {
			return true
		}
		t.Cleanup(func() { conn.Close() })
	}
	return false
}

// The body is read whole before a job goes on, or the server would not notice that its client leaves.
func TestClientDisconnect_afterStart(t *testing.T) {
	t.Parallel()
	worker := startWorker(t, "a", respondThenStall(`"state":"started"`))
	dispatcher := startDispatcher(t, "", worker)
	conn, err := net.Dial("tcp", strings.TrimPrefix(dispatcher.http1URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	if err := newRequest(dispatcher.http1URL, "k").Write(conn); err != nil {
		t.Fatal(err)
	}
	dispatcher.waitFor("the job at the endpoint", func() bool { _, jobs := worker.count(); return jobs == 1 })
	conn.Close()
	select {
	case <-worker.abandoned:
	case <-time.After(3 * time.Second):
		t.Error("the call was not given up when its client left")
	}
}

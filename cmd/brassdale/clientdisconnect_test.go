package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestClientDisconnect_beforeFirstAttempt checks requests that wait for their first attempt when their clients close, half-close or
// reset the connections, with or without further bytes after the request. The process notices the disconnects within 1 s, a worker that
// joins later gets none of these requests, and a half-closed client, which can still read, gets no status 200.
func TestClientDisconnect_beforeFirstAttempt(t *testing.T) {
	t.Parallel()
	disconnects := map[string]func(*net.TCPConn){
		"closes":      func(conn *net.TCPConn) { conn.Close() },
		"half-closes": func(conn *net.TCPConn) { conn.CloseWrite() },
		"resets":      func(conn *net.TCPConn) { conn.SetLinger(0); conn.Close() },
	}
	for how, disconnect := range disconnects {
		for _, further := range []string{"", "P", "POST /price-part HTTP/1.1\r\nHost: h\r\n\r\n"} {
			t.Run(fmt.Sprint(how, len(further)), func(t *testing.T) {
				t.Parallel()
				dispatcher := startDispatcher(t, "")
				worker := startWorker(t, "late", completeJob)
				const clients = 8
				var conns []*net.TCPConn
				for i := range clients {
					conn := dispatcher.dial().(*net.TCPConn)
					newRequest(dispatcher.http1URL, fmt.Sprint("gone-", i)).Write(conn)
					conns = append(conns, conn)
				}
				dispatcher.waitForMetric("concurrent", clients)
				for _, conn := range conns {
					io.WriteString(conn, further)
				}
				for _, conn := range conns {
					disconnect(conn)
				}
				disconnectedAt := time.Now()
				dispatcher.waitForMetric("concurrent", 0)
				if took := time.Since(disconnectedAt); took > time.Second {
					t.Errorf("the disconnects were noticed after %v, more than 1 s", took)
				}
				discovery := dispatcher.discovery
				discovery.update(func() { discovery.workers = append(discovery.workers, worker) })
				if status, _, _ := dispatcher.sendKey("stays"); status != 200 {
					t.Errorf("a client that stays: status %d, want 200", status)
				}
				if jobs := worker.jobCount(); jobs != 1 {
					t.Errorf("%d requests of disconnected clients at the worker, want 0; jobs by key: %v", jobs-1, worker.runsPerKey())
				}
				if how == "half-closes" {
					for _, conn := range conns {
						if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil && resp.StatusCode == 200 {
							t.Fatal("a half-closed client got status 200 although no worker ran its job")
						}
					}
				}
			})
		}
	}
}

// receivedBytes records what connections receive.
type receivedBytes struct {
	mu   sync.Mutex
	data bytes.Buffer
}

// readAll reads from all connections of a listener until it is closed.
func (b *receivedBytes) readAll(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			var buffer [4096]byte
			for length := 0; err == nil; {
				length, err = conn.Read(buffer[:])
				b.mu.Lock()
				b.data.Write(buffer[:length])
				b.mu.Unlock()
			}
		}()
	}
}

// has reports whether the received data contains a text.
func (b *receivedBytes) has(text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Contains(b.data.Bytes(), []byte(text))
}

// TestClientDisconnect_whileConnecting checks that nothing is written to a worker whose connection is established only after the client
// has disconnected.
func TestClientDisconnect_whileConnecting(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	full, release := fillBacklog(t, listener), make(chan struct{})
	if !full {
		t.Skip("the backlog of this machine's listeners cannot be filled")
	}
	var atWorker receivedBytes
	go func() {
		<-release
		atWorker.readAll(listener)
	}()
	worker := startWorker(t, "slow", completeJob)
	worker.listener.Close()
	worker.listener = listener
	dispatcher := startDispatcherWith(t, "", withSetting(`"connectTimeout":200000`, `"connectTimeout":5000000`), worker)
	conn := dispatcher.dial()
	newRequest(dispatcher.http1URL, "gone").Write(conn)
	dispatcher.waitForMetric("concurrent", 1)
	conn.Close()
	dispatcher.waitForMetric("concurrent", 0)
	close(release)
	newRequest(dispatcher.http1URL, "stays").Write(dispatcher.dial())
	dispatcher.waitFor("a later request at the worker", func() bool { return atWorker.has("id-stays") })
	if atWorker.has("id-gone") {
		t.Error("the request of a disconnected client was sent to the worker")
	}
}

// fillBacklog connects until the listener's backlog is full, so that a further connection is not established. It returns false if the
// backlog cannot be filled.
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

// TestClientDisconnect_afterStart checks that the attempt of a started job is cancelled within 3 s when its client closes the connection.
// The server can notice the close only after it has read the complete body.
func TestClientDisconnect_afterStart(t *testing.T) {
	t.Parallel()
	worker := startWorker(t, "a", respondThenStall(`"state":"started"`))
	dispatcher := startDispatcher(t, "", worker)
	conn := dispatcher.dial()
	if err := newRequest(dispatcher.http1URL, "k").Write(conn); err != nil {
		t.Fatal(err)
	}
	dispatcher.waitFor("one job at the worker", func() bool { return worker.jobCount() == 1 })
	conn.Close()
	select {
	case <-worker.abandoned:
	case <-time.After(3 * time.Second):
		t.Error("the attempt was not cancelled within 3 s")
	}
}

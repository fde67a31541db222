package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// sendText sends a text at once or byte by byte, and stops if the connection is closed.
func sendText(conn net.Conn, text string, byteByByte bool) {
	size := len(text)
	if byteByByte {
		size = 1
	}
	for ; len(text) > 0; text = text[size:] {
		if _, err := io.WriteString(conn, text[:size]); err != nil {
			return
		}
	}
}

// TestHTTP1_conflictingLengths guards against request smuggling: net/http alone would silently use one of two conflicting lengths of a
// request. Such a request is answered 400, whether its bytes arrive at once or one by one, and a request hidden in its body never runs.
// Earlier requests on the connection are answered.
func TestHTTP1_conflictingLengths(t *testing.T) {
	t.Parallel()
	worker := startWorker(t, "a", completeJob)
	dispatcher := startDispatcher(t, "", worker)
	hidden := requestHead("hidden", "Content-Length: 0\r\n")
	good := requestHead("ID", "Content-Length: 2\r\n") + "ok"
	chunked := requestHead("ID", "Transfer-Encoding: chunked\r\n") + "2\r\nok\r\n0\r\n\r\n"
	for i, test := range []struct{ text, want string }{
		{requestHead("ID", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n" + hidden, "400"},
		{requestHead("ID", "TRANSFER-encoding:chunked\r\ncontent-LENGTH:5\r\n") + "0\r\n\r\n" + hidden, "400"},
		{strings.ReplaceAll(requestHead("ID", "Transfer-Encoding: chunked\r\nX: y\r\nContent-Length: 5\r\n"), "\r\n", "\n") + "0\r\n\r\n" + hidden, "400"},
		{strings.Replace(requestHead("ID", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n"), "1.1", "1.0", 1) + hidden, "400"},
		{requestHead("ID", "Content-Length:\r\n 5\r\n") + hidden, "400"},
		{requestHead("ID", "Content-Length: 5x\r\n") + hidden, "400"},
		// A server that reads only the first digits of the length takes it for 0. It then takes the body for a head, which hides the real
		// next head.
		{requestHead("ID", "Content-Length: "+strings.Repeat("0", 40)+"24\r\n") + "A\nContent-Length: 9999\n\n" +
			requestHead("ID-2", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n" + hidden, "400"},
		{requestHead("ID", "Content-Length: 5\r\nContent-Length: 6\r\n") + "0\r\n\r\n" + hidden, "400"},
		{good + requestHead("ID-2", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n" + hidden, "200 400"},
		{good + good, "200 200"},
		{chunked + hidden, "200"}, // nothing after it is read, so nothing can be misread
		{strings.Replace(good, "1.1\r\n", "1.0\r\nConnection: keep-alive\r\n", 1) + hidden, "200"},
	} {
		for _, byteByByte := range []bool{false, true} {
			conn := dispatcher.dial()
			text := strings.ReplaceAll(test.text, "ID", fmt.Sprintf("id-%d-%v", i, byteByByte))
			sendText(conn, text, byteByByte) // the connection may be closed after an answer, before all is sent
			var statuses []string
			for reader := bufio.NewReader(conn); len(statuses) < strings.Count(test.want, " ")+1; {
				resp, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Fatalf("case %d, byte by byte %v: error %v after statuses %v", i, byteByByte, err, statuses)
				}
				io.Copy(io.Discard, resp.Body)
				statuses = append(statuses, fmt.Sprint(resp.StatusCode))
			}
			if strings.Join(statuses, " ") != test.want {
				t.Errorf("case %d, byte by byte %v: statuses %v, want %s", i, byteByByte, statuses, test.want)
			}
		}
	}
	if runs := worker.runsOf("hidden"); runs != 0 {
		t.Errorf("%d hidden requests ran, want 0", runs)
	}
}

// TestHTTP1_silentClients checks that 800 clients which never finish a request, far more than the connection limit, each get an answer or
// a close within 3 s, and that other clients are served meanwhile.
func TestHTTP1_silentClients(t *testing.T) {
	t.Parallel()
	dispatcher := startDispatcher(t, "", startWorker(t, "a", completeJob))
	var all sync.WaitGroup
	for i := range 800 {
		conn := dispatcher.dial()
		connectedAt := time.Now()
		switch i % 4 {
		case 1:
			io.WriteString(conn, "POST /price-part HTTP/1.1\r\nReq-")
		case 2:
			io.WriteString(conn, requestHead(fmt.Sprint("half-", i), "Content-Length: 100\r\n")+"half")
		case 3:
			io.WriteString(conn, "POST /price-part HTTP/1.1\r\nHost: h\r\nContent-Length: 60000000\r\n\r\n")
		}
		all.Go(func() {
			conn.SetReadDeadline(connectedAt.Add(3 * time.Second))
			_, err := io.Copy(io.Discard, conn)
			if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
				t.Errorf("connection %d got neither an answer nor a close within 3 s", i)
			}
		})
		if i%40 == 0 {
			if status, _, _ := dispatcher.sendKey(fmt.Sprint(i)); status != 200 {
				t.Errorf("with %d silent clients: status %d, want 200", i, status)
			}
		}
	}
	all.Wait()
	if !strings.Contains(dispatcher.log(), "client connections evicted") {
		t.Error("no connection was evicted: the test has too few clients")
	}
}

// TestHTTP1_bodyMemoryLimit checks that a request is rejected with advice to retry while the small bodies of many connections together
// exceed the memory limit for bodies, and that requests are served again once these connections are closed.
func TestHTTP1_bodyMemoryLimit(t *testing.T) {
	t.Parallel()
	dispatcher := startDispatcher(t, "", startWorker(t, "a", completeJob))
	for i := range 400 { // 25 MB of the process's 192 MB; each body lacks its last byte
		conn := dispatcher.dial()
		io.WriteString(conn, requestHead(fmt.Sprint("big-", i), "Content-Length: 65536\r\n")+strings.Repeat("x", 65535))
	}
	dispatcher.waitForLog("body memory limit")
	large := newRequest(dispatcher.http1URL, "k")
	setBody(large, 1<<16, 1<<16)
	status, _, after := dispatcher.send(large)
	if status != 503 || after == "" {
		t.Errorf("beyond the limit: status %d, Retry-After %q, want 503 with Retry-After", status, after)
	}
	sent := 0
	dispatcher.waitFor("a served request", func() bool {
		sent++
		again := newRequest(dispatcher.http1URL, fmt.Sprint("k-", sent))
		setBody(again, 1<<16, 1<<16)
		status, _, _ := dispatcher.send(again)
		return status == 200
	})
}

// TestHTTP1_slowClientAmongMany checks that with 128 sockets a client that takes 1.9 s to write its request is served, and so are new
// clients. Meanwhile many other clients connect and send nothing, send one request and stay connected, or stop within a request.
func TestHTTP1_slowClientAmongMany(t *testing.T) {
	t.Parallel()
	dispatcher := startDispatcherWith(t, "", withSetting(`"sockets":1024`, `"sockets":128`),
		startWorker(t, "a", completeJob))
	text := requestHead("slow", "Content-Length: 4\r\n") + "slow"
	slow, beganAt, sent, unfinished := dispatcher.dial(), time.Now(), 10, 0
	io.WriteString(slow, text[:sent])
	for i := 0; time.Since(beganAt) < 1900*time.Millisecond; i++ {
		if part := int(time.Since(beganAt)*12/(2*time.Second)) * len(text) / 12; part > sent {
			if _, err := io.WriteString(slow, text[sent:part]); err != nil {
				t.Fatalf("the slow client's connection was closed after %v: %v", time.Since(beganAt), err)
			}
			sent = part
		}
		conn := dispatcher.dial()
		switch i % 3 {
		case 1:
			io.WriteString(conn, "GET /health/live HTTP/1.1\r\nHost: h\r\n\r\n")
		case 2:
			if unfinished < 15 { // connections with an unfinished request are kept until their time limit
				unfinished++
				io.WriteString(conn, requestHead(fmt.Sprint("half-", i), "Content-Length: 100\r\n")+"half")
			}
		}
		if i%20 == 0 {
			r := newRequest(dispatcher.http1URL, fmt.Sprint(i))
			r.Close = true
			if status, _, _ := dispatcher.send(r); status != 200 {
				t.Errorf("a new client: status %d, want 200", status)
			}
		}
	}
	text = text[sent:]
	io.WriteString(slow, text)
	resp, err := http.ReadResponse(bufio.NewReader(slow), nil)
	if err != nil || resp.StatusCode != 200 {
		t.Errorf("the slow client: answer %v, error %v, want status 200", resp, err)
	}
	if !strings.Contains(dispatcher.log(), "client connections evicted") {
		t.Error("no connection was evicted: the test has too few clients")
	}
}

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

// What has both lengths is refused, however its bytes come, and what stands in its body never runs; what was
// asked before on that connection is answered. net/http alone would go by one length and say nothing.
func TestHTTP1_conflictingLengths(t *testing.T) {
	t.Parallel()
	worker := startWorker(t, "a", completeJob)
	dispatcher := startDispatcher(t, "", worker)
	hidden := requestHead("hidden", "Content-Length: 0\r\n")
	good := requestHead("ID", "Content-Length: 2\r\n") + "ok"
	coded := requestHead("ID", "Transfer-Encoding: chunked\r\n") + "2\r\nok\r\n0\r\n\r\n"
	for i, test := range []struct{ text, want string }{
		{requestHead("ID", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n" + hidden, "400"},
		{requestHead("ID", "TRANSFER-encoding:chunked\r\ncontent-LENGTH:5\r\n") + "0\r\n\r\n" + hidden, "400"},
		{strings.ReplaceAll(requestHead("ID", "Transfer-Encoding: chunked\r\nX: y\r\nContent-Length: 5\r\n"), "\r\n", "\n") + "0\r\n\r\n" + hidden, "400"},
		{strings.Replace(requestHead("ID", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n"), "1.1", "1.0", 1) + hidden, "400"},
		{requestHead("ID", "Content-Length:\r\n 5\r\n") + hidden, "400"},
		{requestHead("ID", "Content-Length: 5x\r\n") + hidden, "400"},
		// Seen in part only, it was taken for 0, and what its body feigned for a head hid the next one.
		{requestHead("ID", "Content-Length: "+strings.Repeat("0", 40)+"24\r\n") + "A\nContent-Length: 9999\n\n" +
			requestHead("ID-2", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n" + hidden, "400"},
		{requestHead("ID", "Content-Length: 5\r\nContent-Length: 6\r\n") + "0\r\n\r\n" + hidden, "400"},
		{good + requestHead("ID-2", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n" + hidden, "200 400"},
		{good + good, "200 200"},
		{coded + hidden, "200"}, // nothing is read behind it, so nothing of it can be misread
		{strings.Replace(good, "1.1\r\n", "1.0\r\nConnection: keep-alive\r\n", 1) + hidden, "200"},
	} {
		for _, split := range []bool{false, true} {
			conn := dispatcher.dial().(*net.TCPConn)
			text := strings.ReplaceAll(test.text, "ID", fmt.Sprintf("id-%d-%v", i, split))
			for len(text) > 0 {
				k := len(text)
				if split {
					k = 1
				}
				if _, err := io.WriteString(conn, text[:k]); err != nil {
					break // it has answered and closed
				}
				text = text[k:]
			}
			var got []string
			for reader := bufio.NewReader(conn); len(got) < strings.Count(test.want, " ")+1; {
				resp, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Fatalf("%d split %v: %v after %v", i, split, err, got)
				}
				io.Copy(io.Discard, resp.Body)
				got = append(got, fmt.Sprint(resp.StatusCode))
			}
			if strings.Join(got, " ") != test.want {
				t.Errorf("%d split %v: answered %v, want %s", i, split, got, test.want)
			}
		}
	}
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if worker.runs["hidden"] != 0 {
		t.Errorf("%d hidden requests ran", worker.runs["hidden"])
	}
}

// Clients that never finish a request, far more of them than there is room for: each gets an error or a close
// inside 3 s, the descriptors hold out, and a client that means it is served on.
func TestHTTP1_silentClients(t *testing.T) {
	t.Parallel()
	dispatcher := startDispatcher(t, "", startWorker(t, "a", completeJob))
	var all sync.WaitGroup
	for i := range 800 {
		conn := dispatcher.dial()
		begin := time.Now()
		switch i % 4 {
		case 1:
			io.WriteString(conn, "POST /price-part HTTP/1.1\r\nReq-")
		case 2:
			io.WriteString(conn, requestHead(fmt.Sprint("half-", i), "Content-Length: 100\r\n")+"half")
		case 3:
			io.WriteString(conn, "POST /price-part HTTP/1.1\r\nHost: h\r\nContent-Length: 60000000\r\n\r\n")
		}
		all.Go(func() {
			conn.SetReadDeadline(begin.Add(3 * time.Second))
			_, err := io.Copy(io.Discard, conn)
			if wait, ok := err.(net.Error); ok && wait.Timeout() {
				t.Errorf("connection %d got neither an error nor a close", i)
			}
		})
		if i%40 == 0 {
			if status, _, _ := dispatcher.send(newRequest(dispatcher.http1URL, fmt.Sprint(i))); status != 200 {
				t.Errorf("among %d silent clients: %d", i, status)
			}
		}
	}
	all.Wait()
	if !strings.Contains(dispatcher.log(), "client connections evicted") {
		t.Error("there was room for all: the test is too small")
	}
}

// Bodies are small one by one; one on every connection would be more than the memory. Past their part a request is
// refused with advice, and once they are gone all is served again.
func TestHTTP1_bodyMemoryLimit(t *testing.T) {
	t.Parallel()
	dispatcher := startDispatcher(t, "", startWorker(t, "a", completeJob))
	for i := range 400 { // 25 MB of 192: they send all but the last byte
		conn := dispatcher.dial()
		io.WriteString(conn, requestHead(fmt.Sprint("big-", i), "Content-Length: 65536\r\n")+strings.Repeat("x", 65535))
	}
	dispatcher.waitFor("a refusal", func() bool { return strings.Contains(dispatcher.log(), "body memory limit") })
	large := newRequest(dispatcher.http1URL, "k")
	large.Body, large.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 1<<16))), 1<<16
	status, _, after := dispatcher.send(large)
	if status != 503 || after == "" {
		t.Errorf("past the room: %d, Retry-After %q", status, after)
	}
	i := 0
	dispatcher.waitFor("room again", func() bool {
		i++
		again := newRequest(dispatcher.http1URL, fmt.Sprint("k-", i))
		again.Body, again.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 1<<16))), 1<<16
		status, _, _ := dispatcher.send(again)
		return status == 200
	})
}

// With few descriptors, a client that takes 1.9 s to write its job is served among crowds that connect and say
// nothing, that ask once and stay, and that stop half way; so is one that has just come. A head once had 1.5 s, and
// whoever had waited the longest went first, whether anything came of it or not.
func TestHTTP1_slowClientAmongMany(t *testing.T) {
	t.Parallel()
	dispatcher := startDispatcherWith(t, "", func(config string) string { return strings.Replace(config, `"sockets":1024`, `"sockets":128`, 1) },
		startWorker(t, "a", completeJob))
	text := requestHead("slow", "Content-Length: 4\r\n") + "slow"
	slow, begin, sent, halves := dispatcher.dial(), time.Now(), 10, 0
	io.WriteString(slow, text[:sent])
	for i := 0; time.Since(begin) < 1900*time.Millisecond; i++ {
		if part := int(time.Since(begin)*12/(2*time.Second)) * len(text) / 12; part > sent {
			if _, err := io.WriteString(slow, text[sent:part]); err != nil {
				t.Fatalf("cut off after %v: %v", time.Since(begin), err)
			}
			sent = part
		}
		conn := dispatcher.dial()
		switch i % 3 {
		case 1:
			io.WriteString(conn, "GET /health/live HTTP/1.1\r\nHost: h\r\n\r\n")
		case 2:
			if halves < 15 { // they hold their places until they are due
				halves++
				io.WriteString(conn, requestHead(fmt.Sprint("half-", i), "Content-Length: 100\r\n")+"half")
			}
		}
		if i%20 == 0 {
			r := newRequest(dispatcher.http1URL, fmt.Sprint(i))
			r.Close = true
			if status, _, _ := dispatcher.send(r); status != 200 {
				t.Errorf("one that has just come: %d", status)
			}
		}
	}
	text = text[sent:]
	io.WriteString(slow, text)
	resp, err := http.ReadResponse(bufio.NewReader(slow), nil)
	if err != nil || resp.StatusCode != 200 {
		t.Errorf("the slow client: %v, %v", resp, err)
	}
	if !strings.Contains(dispatcher.log(), "client connections evicted") {
		t.Error("no crowd")
	}
}

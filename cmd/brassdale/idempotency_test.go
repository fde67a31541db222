package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	h2 "golang.org/x/net/http2"
)

// A key is one job at whichever port it comes: at the same moment, and until its window has passed.
func TestIdempotencyKey_atBothFrontends(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	holds := func(b *testWorker, c net.Conn, r *http.Request) {
		if strings.HasPrefix(r.Header.Get("Idempotency-Key"), "both") {
			<-release
		}
		if r.Header.Get("Idempotency-Key") == "refused" && b.runsOf("refused") < 2 {
			respondRaw("HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")(b, c, r)
			return
		}
		completeJob(b, c, r)
	}
	// Two bays: an endpoint of the one does not know what the other runs.
	a, other := startWorker(t, "a", holds), startWorker(t, "b", holds)
	other.cell = "2"
	const window = time.Second
	n := startDispatcherWith(t, http2Frontend, func(config string) string {
		return strings.Replace(config, `"window":7500000`, `"window":1000000`, 1)
	}, a, other)
	ran := func(key string) int { return a.runsOf(key) + other.runsOf(key) }
	second := newHTTP2Client(t)

	// At the same moment, twice at each port.
	answers := make(chan string, 4)
	for i := range 4 {
		url, client := n.http1URL, http.DefaultClient
		if i%2 == 1 {
			url, client = n.http2URL, second
		}
		go func() {
			status, body, _ := trySend(client, newRequest(url, "both", "Req-Id", fmt.Sprint("both-", i)))
			answers <- fmt.Sprint(status, " ", body)
		}()
	}
	n.waitFor("all four", func() bool { return n.metric("front.http2.streams") == 2 && ran("both") == 1 })
	close(release)
	for range 4 {
		if got := <-answers; got != "200 priced" {
			t.Errorf("the same key: %s", got)
		}
	}
	// For another job, and as the same request again.
	other1 := newRequest(n.http2URL, "both", "Req-Id", "both-x", "Req-Owner", "another")
	if status, _, _ := trySend(second, other1); status != 422 {
		t.Errorf("the key for another account's job: %d", status)
	}
	// Until the window has passed it is answered as before, at either port; then it is a new job.
	began := time.Now()
	answered := 0
	n.waitFor("a second run", func() bool {
		for i, url := range []string{n.http1URL, n.http2URL} {
			if status, body, _ := trySend([]*http.Client{http.DefaultClient, second}[i], newRequest(url, "both", "Req-Id", fmt.Sprint("again-", i, answered))); status != 200 || body != "priced" {
				t.Errorf("a repeat: %d %s", status, body)
			}
		}
		answered++
		return ran("both") > 1
	})
	if took := time.Since(began); ran("both") != 2 || answered < 2 || took < window-500*time.Millisecond {
		t.Errorf("%d runs, %d rounds of repeats in %v", ran("both"), answered, took)
	}
	// What was refused never ran: the key begins anew.
	for _, want := range []int{503, 200} {
		got := 0
		n.waitFor("the answer", func() bool {
			got, _, _ = trySend(second, newRequest(n.http2URL, "refused", "Req-Deadline-Ms", "300"))
			return got == 503 || got == 200
		})
		if got == 200 {
			break // the module tried again by itself
		}
		if got != want {
			t.Errorf("after a refusal: %d, want %d", got, want)
		}
	}
}

// A job that two wait for goes on when one of them leaves, and is cancelled with the last.
func TestIdempotencyKey_cancelledWithLastClient(t *testing.T) {
	t.Parallel()
	b := startWorker(t, "a", respondThenStall(`"state":"started"`))
	n := startDispatcher(t, http2Frontend, b)
	p, q := n.connectHTTP2(), n.connectHTTP2()
	p.sendRequest(1, "k")
	n.waitFor("the job", func() bool { return b.runsOf("k") == 1 })
	q.sendRequest(1, "k", "req-id", "second")
	q.sendRequest(3, "k", "req-id", "id-k") // the id of the first: that is open
	n.waitFor("409 for the same id", func() bool { return q.received("HEADERS 3 409") })
	n.waitFor("both", func() bool { return n.metric("front.http2.streams") == 2 })
	p.WriteRSTStream(1, h2.ErrCodeCancel)
	n.waitFor("one", func() bool { return n.metric("front.http2.streams") == 1 })
	if got := n.metric("concurrent"); got != 1 {
		t.Errorf("%d jobs with one reader left", got)
	}
	q.WriteRSTStream(1, h2.ErrCodeCancel)
	if id := <-b.abandoned; id != "id-k" {
		t.Errorf("cancelled %s", id)
	}
	n.waitFor("none", func() bool { return n.metric("concurrent") == 0 && n.metric("front.http2.streams") == 0 })
	if b.runsOf("k") != 1 {
		t.Errorf("%d runs", b.runsOf("k"))
	}
}

// While one process replaces the other, a key goes on having one job, at whichever port and process it comes.
func TestIdempotencyKey_handover(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	b := startWorker(t, "a", func(b *testWorker, c net.Conn, r *http.Request) { <-release; completeJob(b, c, r) })
	n := startDispatcher(t, http2Frontend, b)
	answers := make(chan int, 2)
	go func() {
		status, _, _ := trySend(newHTTP2Client(t), newRequest(n.http2URL, "k"))
		answers <- status
	}()
	n.waitFor("the job", func() bool { return b.runsOf("k") == 1 })
	m := n.startSuccessor(http2Frontend)
	n.waitForHandovers(1)
	go func() {
		status, _, _ := trySend(&http.Client{Transport: &http.Transport{}}, newRequest(m.http1URL, "k", "Req-Id", "second"))
		answers <- status
	}()
	m.waitFor("the reader that is relayed", func() bool { return strings.Contains(m.log(), "msg=ready") && m.metric("concurrent") == 0 })
	close(release)
	for range 2 {
		if status := <-answers; status != 200 {
			t.Errorf("a reader of the job: %d", status)
		}
	}
	n.terminate()
	n.waitForExit(time.Now().Add(5 * time.Second))
	if status, body, _ := trySend(newHTTP2Client(t), newRequest(m.http2URL, "k", "Req-Id", "third")); status != 200 || body != "priced" || b.runsOf("k") != 1 {
		t.Errorf("at the successor: %d %s, %d runs", status, body, b.runsOf("k"))
	}
}

package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// On SIGTERM a connection hears GOAWAY at once, what it has open is answered, and a new stream is either answered or
// told by the last GOAWAY's number that it was not begun.
func TestHTTP2_shutdown(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	b := startWorker(t, "a", func(b *testWorker, c net.Conn, r *http.Request) { <-release; completeJob(b, c, r) })
	n := startDispatcher(t, http2Frontend, b)
	p := n.connectHTTP2()
	p.sendRequest(1, "open")
	n.waitFor("the job", func() bool { b.mu.Lock(); defer b.mu.Unlock(); return b.runs["open"] == 1 })
	n.terminate()
	n.waitFor("the first GOAWAY", func() bool { return p.received("GOAWAY 0 2147483647 NO_ERROR") })
	p.sendRequest(3, "crossing") // as one that was on its way
	n.waitFor("the job that crossed", func() bool { b.mu.Lock(); defer b.mu.Unlock(); return b.runs["crossing"] == 1 })
	n.waitFor("the last GOAWAY", func() bool { return p.received("GOAWAY 0 3 NO_ERROR") })
	p.sendRequest(5, "late")
	close(release)
	n.waitFor("both answers", func() bool { return p.received("HEADERS 1 200") && p.received("HEADERS 3 200") })
	n.waitForExit(time.Now().Add(5 * time.Second))
	<-p.closed
	if p.received("HEADERS 5") || b.runs["late"] != 0 {
		t.Error("the late stream was begun")
	}
	if strings.Contains(n.log(), "unanswered") {
		t.Error("clients were left unanswered")
	}
}

// A successor takes the port over: the connections of the old process hear GOAWAY, new ones are the successor's, ids
// are open once, and no job is lost while clients go on.
func TestHTTP2_handover(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	b := startWorker(t, "a", func(b *testWorker, c net.Conn, r *http.Request) {
		if r.Header.Get("Idempotency-Key") == "held" {
			<-release
		}
		completeJob(b, c, r)
	})
	const manyKeys = http2Frontend + "keys { jobs = 200000 }\n" // clients go on for as long as the machine takes
	n := startDispatcher(t, manyKeys, b)
	p := n.connectHTTP2()
	p.sendRequest(1, "held")
	n.waitFor("the job", func() bool { b.mu.Lock(); defer b.mu.Unlock(); return b.runs["held"] == 1 })
	ctx, stop := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for i := range 4 {
		client := newHTTP2Client(t)
		clients.Go(func() {
			for j := 0; ctx.Err() == nil; j++ {
				if status, body, _ := trySend(client, newRequest(n.http2URL, fmt.Sprint(i, "-", j))); status != 200 {
					t.Errorf("client %d, job %d: %d %s", i, j, status, body)
				}
			}
		})
	}
	m := n.startSuccessor(manyKeys)
	if m.http2URL != n.http2URL {
		t.Fatalf("serves at %s, not at %s", m.http2URL, n.http2URL)
	}
	n.waitForHandovers(1)
	n.waitFor("GOAWAY", func() bool { return p.received("GOAWAY 0 2147483647 NO_ERROR") })
	if status, _, _ := trySend(newHTTP2Client(t), newRequest(m.http2URL, "other", "Req-Id", "id-held")); status != 409 {
		t.Errorf("an id that is open at the predecessor: %d", status)
	}
	n.terminate()
	close(release)
	n.waitFor("the open job's answer", func() bool { return p.received("HEADERS 1 200") })
	n.waitForExit(time.Now().Add(5 * time.Second))
	before := m.metric("replies.price-part.success")
	n.waitFor("more jobs", func() bool { return m.metric("replies.price-part.success") > before+10 })
	stop()
	clients.Wait()
}

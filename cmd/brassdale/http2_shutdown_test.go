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
	worker := startWorker(t, "a", func(worker *testWorker, conn net.Conn, r *http.Request) { <-release; completeJob(worker, conn, r) })
	dispatcher := startDispatcher(t, http2Frontend, worker)
	client := dispatcher.connectHTTP2()
	client.sendRequest(1, "open")
	dispatcher.waitFor("the job", func() bool { worker.mu.Lock(); defer worker.mu.Unlock(); return worker.runs["open"] == 1 })
	dispatcher.terminate()
	dispatcher.waitFor("the first GOAWAY", func() bool { return client.received("GOAWAY 0 2147483647 NO_ERROR") })
	client.sendRequest(3, "crossing") // as one that was on its way
	dispatcher.waitFor("the job that crossed", func() bool { worker.mu.Lock(); defer worker.mu.Unlock(); return worker.runs["crossing"] == 1 })
	dispatcher.waitFor("the last GOAWAY", func() bool { return client.received("GOAWAY 0 3 NO_ERROR") })
	client.sendRequest(5, "late")
	close(release)
	dispatcher.waitFor("both answers", func() bool { return client.received("HEADERS 1 200") && client.received("HEADERS 3 200") })
	dispatcher.waitForExit(time.Now().Add(5 * time.Second))
	<-client.closed
	if client.received("HEADERS 5") || worker.runs["late"] != 0 {
		t.Error("the late stream was begun")
	}
	if strings.Contains(dispatcher.log(), "unanswered") {
		t.Error("clients were left unanswered")
	}
}

// A successor takes the port over: the connections of the old process hear GOAWAY, new ones are the successor's, ids
// are open once, and no job is lost while clients go on.
func TestHTTP2_handover(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	worker := startWorker(t, "a", func(worker *testWorker, conn net.Conn, r *http.Request) {
		if r.Header.Get("Idempotency-Key") == "held" {
			<-release
		}
		completeJob(worker, conn, r)
	})
	const manyKeys = http2Frontend + "keys { jobs = 200000 }\n" // clients go on for as long as the machine takes
	dispatcher := startDispatcher(t, manyKeys, worker)
	client := dispatcher.connectHTTP2()
	client.sendRequest(1, "held")
	dispatcher.waitFor("the job", func() bool { worker.mu.Lock(); defer worker.mu.Unlock(); return worker.runs["held"] == 1 })
	ctx, stop := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for i := range 4 {
		client := newHTTP2Client(t)
		clients.Go(func() {
			for j := 0; ctx.Err() == nil; j++ {
				if status, body, _ := trySend(client, newRequest(dispatcher.http2URL, fmt.Sprint(i, "-", j))); status != 200 {
					t.Errorf("client %d, job %d: %d %s", i, j, status, body)
				}
			}
		})
	}
	successor := dispatcher.startSuccessor(manyKeys)
	if successor.http2URL != dispatcher.http2URL {
		t.Fatalf("serves at %s, not at %s", successor.http2URL, dispatcher.http2URL)
	}
	dispatcher.waitForHandovers(1)
	dispatcher.waitFor("GOAWAY", func() bool { return client.received("GOAWAY 0 2147483647 NO_ERROR") })
	if status, _, _ := trySend(newHTTP2Client(t), newRequest(successor.http2URL, "other", "Req-Id", "id-held")); status != 409 {
		t.Errorf("an id that is open at the predecessor: %d", status)
	}
	dispatcher.terminate()
	close(release)
	dispatcher.waitFor("the open job's answer", func() bool { return client.received("HEADERS 1 200") })
	dispatcher.waitForExit(time.Now().Add(5 * time.Second))
	before := successor.metric("replies.price-part.success")
	dispatcher.waitFor("more jobs", func() bool { return successor.metric("replies.price-part.success") > before+10 })
	stop()
	clients.Wait()
}

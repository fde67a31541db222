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

// TestHTTP2_shutdown checks that after SIGTERM the process sends a GOAWAY at once, answers open streams, including one whose request was in
// flight at the time of the GOAWAY, and does not start a stream with a higher ID than the ID in the last GOAWAY.
func TestHTTP2_shutdown(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	worker := startWorker(t, "a", completeWhenReleased(release))
	dispatcher := startDispatcher(t, http2Frontend, worker)
	client := dispatcher.connectHTTP2()
	client.sendRequest(1, "open")
	dispatcher.waitForRun(worker, "open")
	dispatcher.terminate()
	dispatcher.waitFor("the first GOAWAY", func() bool { return client.received("GOAWAY 0 2147483647 NO_ERROR") })
	client.sendRequest(3, "crossing") // as if it was in flight at the time of the GOAWAY
	dispatcher.waitForRun(worker, "crossing")
	dispatcher.waitFor("the last GOAWAY", func() bool { return client.received("GOAWAY 0 3 NO_ERROR") })
	client.sendRequest(5, "late")
	close(release)
	dispatcher.waitFor("both answers", func() bool { return client.received("HEADERS 1 200") && client.received("HEADERS 3 200") })
	dispatcher.waitForExit(time.Now().Add(5 * time.Second))
	<-client.closed
	if client.received("HEADERS 5") || worker.runsOf("late") != 0 {
		t.Error("stream 5, opened after the last GOAWAY, was started")
	}
	if strings.Contains(dispatcher.log(), "unanswered") {
		t.Error("the log reports unanswered clients")
	}
}

// TestHTTP2_handover checks a handover while four clients send requests: connections of the predecessor get a GOAWAY, the successor accepts
// new ones, a request ID can be open at only one of the processes, and no request is lost.
func TestHTTP2_handover(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	worker := startWorker(t, "a", func(worker *testWorker, conn net.Conn, r *http.Request) {
		if r.Header.Get("Idempotency-Key") == "waits" {
			<-release
		}
		completeJob(worker, conn, r)
	})
	const operator = http2Frontend + "keys { jobs = 200000 }\n" // more keys than the clients can send during the test
	dispatcher := startDispatcher(t, operator, worker)
	client := dispatcher.connectHTTP2()
	client.sendRequest(1, "waits")
	dispatcher.waitForRun(worker, "waits")
	ctx, stop := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for i := range 4 {
		client := newHTTP2Client(t)
		clients.Go(func() {
			for sent := 0; ctx.Err() == nil; sent++ {
				if status, body, _ := trySend(client, newRequest(dispatcher.http2URL, fmt.Sprint(i, "-", sent))); status != 200 {
					t.Errorf("client %d, request %d: status %d %s, want 200", i, sent, status, body)
				}
			}
		})
	}
	successor := dispatcher.startSuccessor(operator)
	if successor.http2URL != dispatcher.http2URL {
		t.Fatalf("the successor serves at %s, want %s", successor.http2URL, dispatcher.http2URL)
	}
	dispatcher.waitForHandovers(1)
	dispatcher.waitFor("GOAWAY", func() bool { return client.received("GOAWAY 0 2147483647 NO_ERROR") })
	if status, _, _ := trySend(newHTTP2Client(t), newRequest(successor.http2URL, "other", "Req-Id", "id-waits")); status != 409 {
		t.Errorf("an ID that is open at the predecessor: status %d, want 409", status)
	}
	dispatcher.terminate()
	close(release)
	dispatcher.waitFor("the answer of the open stream", func() bool { return client.received("HEADERS 1 200") })
	dispatcher.waitForExit(time.Now().Add(5 * time.Second))
	before := successor.metric("replies.price-part.success")
	dispatcher.waitFor("more than ten requests at the successor", func() bool { return successor.metric("replies.price-part.success") > before+10 })
	stop()
	clients.Wait()
}

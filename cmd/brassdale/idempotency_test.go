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

// TestIdempotencyKey_atBothFrontends checks that a key runs once whichever frontend its requests come to: at the same time, and until its
// deduplication window has passed. A key for another account's request is rejected, and one whose request never ran may be used again.
func TestIdempotencyKey_atBothFrontends(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	handler := func(worker *testWorker, conn net.Conn, r *http.Request) {
		if strings.HasPrefix(r.Header.Get("Idempotency-Key"), "both") {
			<-release
		}
		if r.Header.Get("Idempotency-Key") == "declined" && worker.runsOf("declined") < 2 {
			respondRaw("HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")(worker, conn, r)
			return
		}
		completeJob(worker, conn, r)
	}
	// Workers in two cells do not know what the other runs.
	workers := startNamedWorkers(t, handler, "a", "b")
	workers[1].cell = "2"
	const window = time.Second
	dispatcher := startDispatcherWith(t, http2Frontend, withSetting(`"window":7500000`, `"window":1000000`), workers...)
	runs := func(key string) int { return workers[0].runsOf(key) + workers[1].runsOf(key) }
	clients := []*http.Client{http.DefaultClient, newHTTP2Client(t)}
	urls := []string{dispatcher.http1URL, dispatcher.http2URL}

	// At the same time, twice at each frontend.
	answers := make(chan string, 4)
	for i := range 4 {
		go func() {
			status, body, _ := trySend(clients[i%2], newRequest(urls[i%2], "both", "Req-Id", fmt.Sprint("both-", i)))
			answers <- fmt.Sprint(status, " ", body)
		}()
	}
	dispatcher.waitFor("two streams and one run", func() bool { return dispatcher.metric("front.http2.streams") == 2 && runs("both") == 1 })
	close(release)
	for range 4 {
		if answer := <-answers; answer != "200 priced" {
			t.Errorf("requests of one key at the same time: %s", answer)
		}
	}
	ofAnotherAccount := newRequest(urls[1], "both", "Req-Id", "both-x", "Req-Owner", "another")
	if status, _, _ := trySend(clients[1], ofAnotherAccount); status != 422 {
		t.Errorf("the key for another account's request: status %d", status)
	}
	// Until the window has passed the answer is the same at either frontend; then the key runs again.
	beganAt := time.Now()
	rounds := 0
	dispatcher.waitFor("a second run", func() bool {
		for i, url := range urls {
			if status, body, _ := trySend(clients[i], newRequest(url, "both", "Req-Id", fmt.Sprint("again-", i, rounds))); status != 200 || body != "priced" {
				t.Errorf("a repeated request: status %d %s", status, body)
			}
		}
		rounds++
		return runs("both") > 1
	})
	if took := time.Since(beganAt); runs("both") != 2 || rounds < 2 || took < window-500*time.Millisecond {
		t.Errorf("%d runs, %d rounds of repeated requests in %v", runs("both"), rounds, took)
	}
	// What was declined never ran: the key may be used again.
	for _, want := range []int{503, 200} {
		status := 0
		dispatcher.waitFor("status 503 or 200", func() bool {
			status, _, _ = trySend(clients[1], newRequest(urls[1], "declined", "Req-Deadline-Ms", "300"))
			return status == 503 || status == 200
		})
		if status == 200 {
			break // the scheduler retried by itself
		}
		if status != want {
			t.Errorf("after a declined job: status %d, want %d", status, want)
		}
	}
}

// TestIdempotencyKey_cancelledWithLastClient checks that a job for which two clients wait continues when one cancels, and is cancelled with
// the other.
func TestIdempotencyKey_cancelledWithLastClient(t *testing.T) {
	t.Parallel()
	worker := startWorker(t, "a", respondThenStall(`"state":"started"`))
	dispatcher := startDispatcher(t, http2Frontend, worker)
	first, second := dispatcher.connectHTTP2(), dispatcher.connectHTTP2()
	first.sendRequest(1, "k")
	dispatcher.waitForRun(worker, "k")
	second.sendRequest(1, "k", "req-id", "second")
	second.sendRequest(3, "k", "req-id", "id-k") // the ID of the first stream, which is open
	dispatcher.waitFor("status 409 for an open ID", func() bool { return second.received("HEADERS 3 409") })
	dispatcher.waitForMetric("front.http2.streams", 2)
	first.WriteRSTStream(1, h2.ErrCodeCancel)
	dispatcher.waitForMetric("front.http2.streams", 1)
	if requests := dispatcher.metric("concurrent"); requests != 1 {
		t.Errorf("%d open requests with one client left, want 1", requests)
	}
	second.WriteRSTStream(1, h2.ErrCodeCancel)
	if id := <-worker.abandoned; id != "id-k" {
		t.Errorf("cancelled %s, want id-k", id)
	}
	dispatcher.waitUntilIdle()
	if runs := worker.runsOf("k"); runs != 1 {
		t.Errorf("%d runs, want 1", runs)
	}
}

// TestIdempotencyKey_handover checks that a key runs once during and after a handover, whichever frontend and process its requests come
// to.
func TestIdempotencyKey_handover(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	worker := startWorker(t, "a", completeWhenReleased(release))
	dispatcher := startDispatcher(t, http2Frontend, worker)
	answers := make(chan int, 2)
	go func() {
		status, _, _ := trySend(newHTTP2Client(t), newRequest(dispatcher.http2URL, "k"))
		answers <- status
	}()
	dispatcher.waitForRun(worker, "k")
	successor := dispatcher.startSuccessor(http2Frontend)
	dispatcher.waitForHandovers(1)
	go func() {
		status, _, _ := trySend(newHTTP1Client(), newRequest(successor.http1URL, "k", "Req-Id", "second"))
		answers <- status
	}()
	successor.waitFor("a request that is relayed to the predecessor", func() bool {
		return strings.Contains(successor.log(), "msg=ready") && successor.metric("concurrent") == 0
	})
	close(release)
	for range 2 {
		if status := <-answers; status != 200 {
			t.Errorf("a request of the key: status %d", status)
		}
	}
	dispatcher.terminate()
	dispatcher.waitForExit(time.Now().Add(5 * time.Second))
	if status, body, _ := trySend(newHTTP2Client(t), newRequest(successor.http2URL, "k", "Req-Id", "third")); status != 200 || body != "priced" || worker.runsOf("k") != 1 {
		t.Errorf("at the successor: status %d %s, %d runs", status, body, worker.runsOf("k"))
	}
}

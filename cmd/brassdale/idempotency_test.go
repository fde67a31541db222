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

// bothFrontends sends requests to the HTTP/1.1 frontend (0) and to the HTTP/2 frontend (1) of a dispatcher with two workers.
type bothFrontends struct {
	*testDispatcher
	workers []*testWorker
	urls    [2]string
	clients [2]*http.Client
}

// sendTo sends a request to a frontend. Without an answer it returns status 0.
func (f *bothFrontends) sendTo(frontend int, key string, headers ...string) (status int, body string) {
	status, body, _ = trySend(f.clients[frontend], newRequest(f.urls[frontend], key, headers...))
	return status, body
}

// runs returns how often a key has run at both workers together.
func (f *bothFrontends) runs(key string) int {
	return f.workers[0].runsOf(key) + f.workers[1].runsOf(key)
}

// waitOrDeclineOnce returns a handler that lets jobs of key "both" wait for the release, and declines the first job of key "declined".
func waitOrDeclineOnce(release <-chan struct{}) jobHandler {
	return func(worker *testWorker, conn net.Conn, r *http.Request) {
		key := r.Header.Get("Idempotency-Key")
		if key == "both" {
			<-release
		}
		if key == "declined" && worker.runsOf(key) < 2 {
			respondRaw("HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")(worker, conn, r)
			return
		}
		completeJob(worker, conn, r)
	}
}

// TestIdempotencyKey_atBothFrontends checks that a key runs only once regardless of the frontends that receive its requests, both for
// concurrent requests and until the deduplication window has passed. The same key from another account is rejected, and a key whose
// request never ran may be used again.
func TestIdempotencyKey_atBothFrontends(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	// Workers in different cells do not deduplicate each other's jobs.
	workers := startNamedWorkers(t, waitOrDeclineOnce(release), "a", "b")
	workers[1].cell = "2"
	dispatcher := startDispatcherWith(t, http2Frontend, withSetting(`"window":7500000`, `"window":1000000`), workers...)
	frontends := &bothFrontends{
		testDispatcher: dispatcher,
		workers:        workers,
		urls:           [2]string{dispatcher.http1URL, dispatcher.http2URL},
		clients:        [2]*http.Client{http.DefaultClient, newHTTP2Client(t)},
	}

	answers := make(chan string, 4)
	for i := range 4 { // at the same time, two at each frontend
		go func() {
			status, body := frontends.sendTo(i%2, "both", "Req-Id", fmt.Sprint("both-", i))
			answers <- fmt.Sprint(status, " ", body)
		}()
	}
	dispatcher.waitFor("two streams and one run", func() bool {
		return dispatcher.metric("front.http2.streams") == 2 && frontends.runs("both") == 1
	})
	close(release)
	for range 4 {
		if answer := <-answers; answer != "200 priced" {
			t.Errorf("concurrent requests of one key: answered %s, want 200 priced", answer)
		}
	}
	if status, _ := frontends.sendTo(1, "both", "Req-Id", "both-x", "Req-Owner", "another"); status != 422 {
		t.Errorf("the same key from another account: status %d, want 422", status)
	}
	frontends.checkWindow(t, "both", time.Second)
	frontends.checkDeclinedKey(t, "declined")
}

// checkWindow checks that both frontends repeat the answer of a key that has run once until its deduplication window has passed, and that
// the key then runs again.
func (f *bothFrontends) checkWindow(t *testing.T, key string, window time.Duration) {
	t.Helper()
	beganAt, rounds := time.Now(), 0
	f.waitFor("a second run", func() bool {
		for frontend := range f.clients {
			status, body := f.sendTo(frontend, key, "Req-Id", fmt.Sprint("again-", frontend, rounds))
			if status != 200 || body != "priced" {
				t.Errorf("a repeated request: status %d %s, want 200 priced", status, body)
			}
		}
		rounds++
		return f.runs(key) > 1
	})
	if took := time.Since(beganAt); f.runs(key) != 2 || rounds < 2 || took < window-500*time.Millisecond {
		t.Errorf("%d runs, %d rounds of repeated requests in %v, want 2 runs, 2 rounds or more, and no second run within the window", f.runs(key), rounds, took)
	}
}

// checkDeclinedKey checks that a key may be used again if its first job was declined and so never ran.
func (f *bothFrontends) checkDeclinedKey(t *testing.T, key string) {
	t.Helper()
	for _, want := range []int{503, 200} {
		status := 0
		f.waitFor("status 503 or 200", func() bool {
			status, _ = f.sendTo(1, key, "Req-Deadline-Ms", "300")
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

// TestIdempotencyKey_cancelledWithLastClient checks that a job for which two clients wait continues when one client cancels, and is
// cancelled when the other does too.
func TestIdempotencyKey_cancelledWithLastClient(t *testing.T) {
	t.Parallel()
	worker := startWorker(t, "a", respondThenStall(`"state":"started"`))
	dispatcher := startDispatcher(t, http2Frontend, worker)
	first, second := dispatcher.connectHTTP2(), dispatcher.connectHTTP2()
	first.sendRequest(1, "k")
	dispatcher.waitForRun(worker, "k")
	second.sendRequest(1, "k", "req-id", "second")
	second.sendRequest(3, "k", "req-id", "id-k") // the ID of the first client's stream, which is open
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

// TestIdempotencyKey_handover checks that a key runs only once during and after a handover, regardless of the frontends and processes that
// receive its requests.
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
			t.Errorf("a request of the key: status %d, want 200", status)
		}
	}
	dispatcher.terminate()
	dispatcher.waitForExit(time.Now().Add(5 * time.Second))
	if status, body, _ := trySend(newHTTP2Client(t), newRequest(successor.http2URL, "k", "Req-Id", "third")); status != 200 || body != "priced" || worker.runsOf("k") != 1 {
		t.Errorf("at the successor: status %d %s, %d runs, want 200 priced and 1 run", status, body, worker.runsOf("k"))
	}
}

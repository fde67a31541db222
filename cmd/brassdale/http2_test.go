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

// TestHTTP2_sameAnswersAsHTTP1 checks that valid and invalid requests get the same answers at both frontends, and that an invalid stream
// does not end its connection.
func TestHTTP2_sameAnswersAsHTTP1(t *testing.T) {
	t.Parallel()
	dispatcher := startDispatcher(t, http2Frontend, startWorker(t, "a", completeJob))
	http2Client := newHTTP2Client(t)
	for i, test := range []struct {
		change func(*http.Request)
		want   int
	}{
		{func(*http.Request) {}, 200},
		{func(r *http.Request) { r.Header.Del("Req-Id") }, 400},
		{func(r *http.Request) { r.Header.Del("Idempotency-Key") }, 400},
		{func(r *http.Request) { r.Header.Add("Req-Id", "twice") }, 400},
		{func(r *http.Request) { r.Header.Set("Req-Deadline-Ms", "-1") }, 400},
		{func(r *http.Request) { r.Header.Set("Req-Extra", "slots") }, 400},
		{func(r *http.Request) { r.URL.Path = "/no-such" }, 404},
		{func(r *http.Request) { r.Method = "PUT" }, 405},
		{func(r *http.Request) { setBody(r, 70000, 70000) }, 413},
		{func(r *http.Request) { setBody(r, len("no length"), -1) }, 200},
		{func(r *http.Request) { r.Header.Set("Cookie", "user=7; other=8") }, 200},
	} {
		var answers [2]string
		for frontend, client := range []*http.Client{http.DefaultClient, http2Client} {
			r := newRequest([]string{dispatcher.http1URL, dispatcher.http2URL}[frontend], fmt.Sprint(frontend, "-", i))
			test.change(r)
			status, body, header := trySend(client, r)
			if status != test.want {
				t.Errorf("case %d at frontend %d: status %d %s, want %d", i, frontend, status, body, test.want)
			}
			answers[frontend] = fmt.Sprint(body, header.Get("Retry-After"), header.Get("Content-Type"), header.Get("Allow"))
		}
		if answers[0] != answers[1] {
			t.Errorf("case %d: %q over HTTP/1.1 and %q over HTTP/2, want the same answer", i, answers[0], answers[1])
		}
	}
	if status, _, _ := trySend(http2Client, must(http.NewRequest("GET", dispatcher.http2URL+"/health/ready", nil))); status != 200 {
		t.Errorf("readiness: status %d, want 200", status)
	}
	if connections := dispatcher.metric("front.http2.connections"); connections != 1 {
		t.Errorf("%d HTTP/2 connections, want 1", connections)
	}
}

// TestHTTP2_requestIDOpenAtOtherFrontend checks that a request ID that is open at one frontend is answered 409 at the other.
func TestHTTP2_requestIDOpenAtOtherFrontend(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	worker := startWorker(t, "a", completeWhenReleased(release))
	dispatcher := startDispatcher(t, http2Frontend, worker)
	first := dispatcher.sendInBackground(worker, "k")
	if status, _, _ := trySend(newHTTP2Client(t), newRequest(dispatcher.http2URL, "other", "Req-Id", "id-k")); status != 409 {
		t.Errorf("an ID that is open at the other frontend: status %d, want 409", status)
	}
	close(release)
	if status := <-first; status != 200 {
		t.Errorf("the first request: status %d, want 200", status)
	}
}

// stallByKey returns a handler that stalls at once for key "silent", and after the start message for key "started". Jobs of key "other" wait
// for the release.
func stallByKey(release <-chan struct{}) jobHandler {
	return func(worker *testWorker, conn net.Conn, r *http.Request) {
		switch r.Header.Get("Idempotency-Key") {
		case "started":
			respondThenStall(`"state":"started"`)(worker, conn, r)
		case "silent":
			respondThenStall()(worker, conn, r)
		case "other":
			completeWhenReleased(release)(worker, conn, r)
		default:
			completeJob(worker, conn, r)
		}
	}
}

// TestHTTP2_cancelledStreams checks the cancellation of streams at each stage of their requests: started attempts are cancelled, no key
// runs twice, and the other streams of the connection are served.
func TestHTTP2_cancelledStreams(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	worker := startWorker(t, "a", stallByKey(release))
	dispatcher := startDispatcher(t, http2Frontend, worker)
	client := dispatcher.connectHTTP2()
	client.sendRequest(1, "other")
	dispatcher.waitForRun(worker, "other")
	stream := uint32(3)
	for _, key := range []string{"silent", "started"} {
		client.sendRequest(stream, key)
		dispatcher.waitForRun(worker, key)
		client.WriteRSTStream(stream, h2.ErrCodeCancel)
		if id := <-worker.abandoned; id != "id-"+key { // the settings allow an attempt to be cancelled by closing its connection
			t.Errorf("cancelled %s, want id-%s", id, key)
		}
		stream += 2
	}
	// Cancelled before the body is complete or right after it: each request may or may not have been accepted.
	for i := range 50 {
		client.WriteHeaders(h2.HeadersFrameParam{StreamID: stream, BlockFragment: client.headerFields(fmt.Sprint("early-", i)), EndHeaders: true})
		if i%2 == 1 {
			client.WriteData(stream, true, []byte("drawing"))
		}
		client.WriteRSTStream(stream, h2.ErrCodeCancel)
		stream += 2
	}
	// Cancelled at the same time as the job ends.
	for i := range 50 {
		client.sendRequest(stream, fmt.Sprint("end-", i))
		if i%2 == 0 {
			dispatcher.waitForRun(worker, fmt.Sprint("end-", i))
		}
		client.WriteRSTStream(stream, h2.ErrCodeCancel)
		stream += 2
	}
	dispatcher.waitForMetric("concurrent", 1)
	client.sendRequest(stream, "last")
	dispatcher.waitFor("the answer of a further stream", func() bool { return client.received(fmt.Sprint("HEADERS ", stream, " 200")) })
	close(release)
	dispatcher.waitFor("the answer of the other stream", func() bool { return client.received("HEADERS 1 200") })
	dispatcher.waitUntilIdle()
	for key, runs := range worker.runsPerKey() {
		if runs != 1 {
			t.Errorf("%s ran %d times, want 1", key, runs)
		}
	}
}

// TestHTTP2_drain checks that requests which wait for capacity when a worker starts to drain are not sent to it after the drain grace
// period of 0.5 s, and that all are answered.
func TestHTTP2_drain(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	workers := startNamedWorkers(t, completeWhenReleased(release), "a", "b")
	draining, other := workers[0], workers[1]
	dispatcher := startDispatcher(t, http2Frontend, workers...)
	client := dispatcher.connectHTTP2()
	for i := range uint32(40) {
		client.sendRequest(2*i+1, fmt.Sprint("drain-", i))
	}
	dispatcher.waitFor("jobs at both workers", func() bool { return draining.jobCount() > 0 && other.jobCount() > 0 })
	dispatcher.discovery.update(func() { draining.phase = "leaving" })
	dispatcher.waitForLog("msg=\"endpoint list updated\" revision=2 ") // revision 1 is logged at the start
	dispatcher.waitFor("the end of the drain grace period", func() bool { return time.Since(dispatcher.lastListUpdate()) > 500*time.Millisecond })
	before := draining.jobCount()
	close(release)
	dispatcher.waitUntilIdle()
	if after := draining.jobCount(); after != before {
		t.Errorf("%d jobs at the draining worker, want 0", after-before)
	}
	dispatcher.waitFor("an answer of each stream", func() bool {
		for i := range 40 {
			if !client.received(fmt.Sprint("HEADERS ", 2*i+1, " ")) {
				return false
			}
		}
		return true
	})
}

// TestHTTP2_removedClass checks a reload that removes a class while a stream of the class is open: that stream is served, and new streams of
// the class are answered 404 on the same connection.
func TestHTTP2_removedClass(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	worker := startWorker(t, "a", completeWhenReleased(release))
	dispatcher := startDispatcher(t, http2Frontend, worker)
	client := dispatcher.connectHTTP2()
	client.sendRequest(1, "open")
	dispatcher.waitForRun(worker, "open")
	dispatcher.reload(strings.Replace(dispatcher.config, `"name":"price-part"`, `"name":"price-all"`, 1))
	dispatcher.waitForMetric("reload_success", 1)
	client.sendRequest(3, "removed")
	client.sendRequest(5, "new", ":path", "/price-all", "req-kind", "price-all")
	dispatcher.waitFor("status 404", func() bool { return client.received("HEADERS 3 404") })
	close(release)
	dispatcher.waitFor("both answers", func() bool { return client.received("HEADERS 1 200") && client.received("HEADERS 5 200") })
}

// TestHTTP2_streamLimitSharedAmongConnections checks that a connection which opens as many streams as it can gets only half of the limit,
// so that 40 streams of another connection are accepted.
func TestHTTP2_streamLimitSharedAmongConnections(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	workers := startWorkers(t, 60, completeWhenReleased(release))
	dispatcher := startDispatcherWith(t, "front \"http2\" {\n  listen = \"127.0.0.1:0\"\n  streams = 1000\n}\n", func(config string) string {
		return withSetting(`"memory_mb":192`, `"memory_mb":40`)(withLongDeadline(config)) // a limit of 284 streams
	}, workers...)
	first, second := dispatcher.connectHTTP2(), dispatcher.connectHTTP2()
	for i := range uint32(300) {
		first.sendRequest(2*i+1, fmt.Sprint("first-", i), "req-deadline-ms", "60000")
	}
	dispatcher.waitFor("a rejection on the first connection", func() bool {
		return first.received("HEADERS") && dispatcher.metric("front.http2.streams") >= 142
	})
	for i := range uint32(40) {
		second.sendRequest(2*i+1, fmt.Sprint("second-", i), "req-deadline-ms", "60000")
	}
	dispatcher.waitForMetric("front.http2.streams", 142+40)
	if second.received("HEADERS") {
		t.Error("a stream of the second connection was rejected: it was answered before the release")
	}
	close(release)
	dispatcher.waitForMetric("front.http2.streams", 0)
}

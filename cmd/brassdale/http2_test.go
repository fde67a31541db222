package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	h2 "golang.org/x/net/http2"
)

// The same jobs get the same answers at both ports.
func TestHTTP2_sameAnswersAsHTTP1(t *testing.T) {
	t.Parallel()
	dispatcher := startDispatcher(t, http2Frontend, startWorker(t, "a", completeJob))
	second := newHTTP2Client(t)
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
		{func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 70000))), 70000
		}, 413},
		{func(r *http.Request) { r.Body, r.ContentLength = io.NopCloser(strings.NewReader("no length")), -1 }, 200},
		{func(r *http.Request) { r.Header.Set("Cookie", "user=7; other=8") }, 200},
	} {
		var got [2]string
		for port, client := range []*http.Client{http.DefaultClient, second} {
			r := newRequest([]string{dispatcher.http1URL, dispatcher.http2URL}[port], fmt.Sprint(port, "-", i))
			test.change(r)
			status, body, header := trySend(client, r)
			if status != test.want {
				t.Errorf("case %d at port %d: %d %s, want %d", i, port, status, body, test.want)
			}
			got[port] = fmt.Sprint(body, header.Get("Retry-After"), header.Get("Content-Type"), header.Get("Allow"))
		}
		if got[0] != got[1] {
			t.Errorf("case %d: %q and %q", i, got[0], got[1])
		}
	}
	if status, _, _ := trySend(second, must(http.NewRequest("GET", dispatcher.http2URL+"/health/ready", nil))); status != 200 {
		t.Errorf("ready: %d", status)
	}
	// All of it went over one connection, on which a bad stream hurt no other.
	if got := dispatcher.metric("front.http2.connections"); got != 1 {
		t.Errorf("%d connections", got)
	}
}

// The id of an open job is taken at both ports.
func TestHTTP2_requestIDOpenAtOtherFrontend(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	worker := startWorker(t, "a", func(worker *testWorker, conn net.Conn, r *http.Request) { <-release; completeJob(worker, conn, r) })
	dispatcher := startDispatcher(t, http2Frontend, worker)
	first := dispatcher.sendInBackground(worker, "k")
	if status, _, _ := trySend(newHTTP2Client(t), newRequest(dispatcher.http2URL, "other", "Req-Id", "id-k")); status != 409 {
		t.Errorf("the id of a job that is open at the other port: %d", status)
	}
	close(release)
	if status := <-first; status != 200 {
		t.Errorf("the first: %d", status)
	}
}

// A client gives streams up at each stage of their jobs: one end each, and the other streams of the connection go on.
func TestHTTP2_cancelledStreams(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	worker := startWorker(t, "a", func(worker *testWorker, conn net.Conn, r *http.Request) {
		switch key := r.Header.Get("Idempotency-Key"); {
		case strings.HasPrefix(key, "started"):
			respondThenStall(`"state":"started"`)(worker, conn, r)
		case strings.HasPrefix(key, "silent"):
			respondThenStall()(worker, conn, r)
		case key == "other":
			<-release
			completeJob(worker, conn, r)
		default:
			completeJob(worker, conn, r)
		}
	})
	dispatcher := startDispatcher(t, http2Frontend, worker)
	client := dispatcher.connectHTTP2()
	client.sendRequest(1, "other")
	dispatcher.waitFor("the other stream's job", func() bool { worker.mu.Lock(); defer worker.mu.Unlock(); return worker.runs["other"] == 1 })
	stream := uint32(3)
	for _, key := range []string{"silent", "started"} {
		client.sendRequest(stream, key)
		dispatcher.waitFor("the job at the endpoint", func() bool { worker.mu.Lock(); defer worker.mu.Unlock(); return worker.runs[key] == 1 })
		client.WriteRSTStream(stream, h2.ErrCodeCancel)
		if id := <-worker.abandoned; id != "id-"+key { // the settings allow a cancel, which is the end of the call's connection
			t.Errorf("cancelled %s, not %s", id, key)
		}
		stream += 2
	}
	// Before its body is whole, and at once with it: each may have been taken or not.
	for i := range 50 {
		client.WriteHeaders(h2.HeadersFrameParam{StreamID: stream, BlockFragment: client.headerFields(fmt.Sprint("early-", i)), EndHeaders: true})
		if i%2 == 1 {
			client.WriteData(stream, true, []byte("drawing"))
		}
		client.WriteRSTStream(stream, h2.ErrCodeCancel)
		stream += 2
	}
	// In the same instant as the end of the job.
	for i := range 50 {
		client.sendRequest(stream, fmt.Sprint("end-", i))
		if i%2 == 0 {
			dispatcher.waitFor("the job at the endpoint", func() bool {
				worker.mu.Lock()
				defer worker.mu.Unlock()
				return worker.runs[fmt.Sprint("end-", i)] == 1
			})
		}
		client.WriteRSTStream(stream, h2.ErrCodeCancel)
		stream += 2
	}
	dispatcher.waitFor("the end of all but one", func() bool { return dispatcher.metric("concurrent") == 1 })
	client.sendRequest(stream, "last")
	dispatcher.waitFor("a further stream's answer", func() bool { return client.received(fmt.Sprint("HEADERS ", stream, " 200")) })
	close(release)
	dispatcher.waitFor("the other stream's answer", func() bool { return client.received("HEADERS 1 200") })
	dispatcher.waitFor("nothing open", func() bool {
		return dispatcher.metric("concurrent") == 0 && dispatcher.metric("front.http2.streams") == 0
	})
	worker.mu.Lock()
	defer worker.mu.Unlock()
	for key, runs := range worker.runs {
		if runs != 1 {
			t.Errorf("%s ran %d times", key, runs)
		}
	}
}

// A drain that is told while streams wait for room: none of them goes to that endpoint, and all are answered.
func TestHTTP2_drain(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	holds := func(worker *testWorker, conn net.Conn, r *http.Request) { <-release; completeJob(worker, conn, r) }
	worker, other := startWorker(t, "a", holds), startWorker(t, "b", holds)
	dispatcher := startDispatcher(t, http2Frontend, worker, other)
	client := dispatcher.connectHTTP2()
	for i := range uint32(40) {
		client.sendRequest(2*i+1, fmt.Sprint("drain-", i))
	}
	dispatcher.waitFor("jobs at both", func() bool { return totalJobs(worker) > 0 && totalJobs(other) > 0 })
	dispatcher.discovery.update(func() { worker.phase = "leaving" })
	dispatcher.waitFor("the news", func() bool { return strings.Count(dispatcher.log(), "endpoint list updated") >= 1 })
	dispatcher.waitFor("the end of the grace", func() bool { return time.Since(dispatcher.lastListUpdate()) > 500*time.Millisecond })
	had := totalJobs(worker)
	close(release)
	dispatcher.waitFor("all answers", func() bool {
		return dispatcher.metric("concurrent") == 0 && dispatcher.metric("front.http2.streams") == 0
	})
	if now := totalJobs(worker); now != had {
		t.Errorf("%d jobs reached the draining endpoint", now-had)
	}
	dispatcher.waitFor("a head for each", func() bool {
		for i := range 40 {
			if !client.received(fmt.Sprint("HEADERS ", 2*i+1, " ")) {
				return false
			}
		}
		return true
	})
}

// A class that is dropped at SIGHUP while streams of it are open: they end by the rules that they began with, and new
// ones are answered 404 on the same connection.
func TestHTTP2_removedClass(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	worker := startWorker(t, "a", func(worker *testWorker, conn net.Conn, r *http.Request) { <-release; completeJob(worker, conn, r) })
	dispatcher := startDispatcher(t, http2Frontend, worker)
	client := dispatcher.connectHTTP2()
	client.sendRequest(1, "open")
	dispatcher.waitFor("the job", func() bool { return worker.runsOf("open") == 1 })
	dispatcher.reload(strings.Replace(dispatcher.config, `"name":"price-part"`, `"name":"price-all"`, 1))
	dispatcher.waitFor("the reload", func() bool { return dispatcher.metric("reload_success") == 1 })
	client.sendRequest(3, "dropped")
	client.sendRequest(5, "new", ":path", "/price-all", "req-kind", "price-all")
	dispatcher.waitFor("404", func() bool { return client.received("HEADERS 3 404") })
	close(release)
	dispatcher.waitFor("both answers", func() bool { return client.received("HEADERS 1 200") && client.received("HEADERS 5 200") })
}

// The room for streams is shared among connections: one that takes all it can get leaves room for the next.
func TestHTTP2_streamLimitSharedAmongConnections(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	workers := startWorkers(t, 60, func(worker *testWorker, conn net.Conn, r *http.Request) { <-release; completeJob(worker, conn, r) })
	dispatcher := startDispatcherWith(t, "front \"http2\" {\n  listen = \"127.0.0.1:0\"\n  streams = 1000\n}\n", func(config string) string {
		config = strings.Replace(config, `"deadline":5000000`, `"deadline":60000000`, 1) // none ends by itself
		return strings.Replace(config, `"memory_mb":192`, `"memory_mb":40`, 1)           // a room of 284 streams
	}, workers...)
	client, second := dispatcher.connectHTTP2(), dispatcher.connectHTTP2()
	for i := range uint32(300) {
		client.sendRequest(2*i+1, fmt.Sprint("p-", i), "req-deadline-ms", "60000")
	}
	dispatcher.waitFor("a refusal on the first connection", func() bool { return client.received("HEADERS") && dispatcher.metric("front.http2.streams") >= 142 })
	for i := range uint32(40) {
		second.sendRequest(2*i+1, fmt.Sprint("q-", i), "req-deadline-ms", "60000")
	}
	dispatcher.waitFor("all of the second's", func() bool { return dispatcher.metric("front.http2.streams") == 142+40 })
	if second.received("HEADERS") {
		t.Error("the second connection was refused something")
	}
	close(release)
	dispatcher.waitFor("the end", func() bool { return dispatcher.metric("front.http2.streams") == 0 })
}

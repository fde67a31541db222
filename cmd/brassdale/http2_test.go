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
	n := startDispatcher(t, http2Frontend, startWorker(t, "a", completeJob))
	second := newHTTP2Client(t)
	for i, c := range []struct {
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
			r := newRequest([]string{n.http1URL, n.http2URL}[port], fmt.Sprint(port, "-", i))
			c.change(r)
			status, body, header := trySend(client, r)
			if status != c.want {
				t.Errorf("case %d at port %d: %d %s, want %d", i, port, status, body, c.want)
			}
			got[port] = fmt.Sprint(body, header.Get("Retry-After"), header.Get("Content-Type"), header.Get("Allow"))
		}
		if got[0] != got[1] {
			t.Errorf("case %d: %q and %q", i, got[0], got[1])
		}
	}
	if status, _, _ := trySend(second, must(http.NewRequest("GET", n.http2URL+"/health/ready", nil))); status != 200 {
		t.Errorf("ready: %d", status)
	}
	// All of it went over one connection, on which a bad stream hurt no other.
	if got := n.metric("front.http2.connections"); got != 1 {
		t.Errorf("%d connections", got)
	}
}

// The id of an open job is taken at both ports.
func TestHTTP2_requestIDOpenAtOtherFrontend(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	b := startWorker(t, "a", func(b *testWorker, c net.Conn, r *http.Request) { <-release; completeJob(b, c, r) })
	n := startDispatcher(t, http2Frontend, b)
	first := n.sendInBackground(b, "k")
	if status, _, _ := trySend(newHTTP2Client(t), newRequest(n.http2URL, "other", "Req-Id", "id-k")); status != 409 {
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
	b := startWorker(t, "a", func(b *testWorker, c net.Conn, r *http.Request) {
		switch key := r.Header.Get("Idempotency-Key"); {
		case strings.HasPrefix(key, "started"):
			respondThenStall(`"state":"started"`)(b, c, r)
		case strings.HasPrefix(key, "silent"):
			respondThenStall()(b, c, r)
		case key == "other":
			<-release
			completeJob(b, c, r)
		default:
			completeJob(b, c, r)
		}
	})
	n := startDispatcher(t, http2Frontend, b)
	p := n.connectHTTP2()
	p.sendRequest(1, "other")
	n.waitFor("the other stream's job", func() bool { b.mu.Lock(); defer b.mu.Unlock(); return b.runs["other"] == 1 })
	stream := uint32(3)
	for _, key := range []string{"silent", "started"} {
		p.sendRequest(stream, key)
		n.waitFor("the job at the endpoint", func() bool { b.mu.Lock(); defer b.mu.Unlock(); return b.runs[key] == 1 })
		p.WriteRSTStream(stream, h2.ErrCodeCancel)
		if id := <-b.abandoned; id != "id-"+key { // the settings allow a cancel, which is the end of the call's connection
			t.Errorf("cancelled %s, not %s", id, key)
		}
		stream += 2
	}
	// Before its body is whole, and at once with it: each may have been taken or not.
	for i := range 50 {
		p.WriteHeaders(h2.HeadersFrameParam{StreamID: stream, BlockFragment: p.headerFields(fmt.Sprint("early-", i)), EndHeaders: true})
		if i%2 == 1 {
			p.WriteData(stream, true, []byte("drawing"))
		}
		p.WriteRSTStream(stream, h2.ErrCodeCancel)
		stream += 2
	}
	// In the same instant as the end of the job.
	for i := range 50 {
		p.sendRequest(stream, fmt.Sprint("end-", i))
		if i%2 == 0 {
			n.waitFor("the job at the endpoint", func() bool { b.mu.Lock(); defer b.mu.Unlock(); return b.runs[fmt.Sprint("end-", i)] == 1 })
		}
		p.WriteRSTStream(stream, h2.ErrCodeCancel)
		stream += 2
	}
	n.waitFor("the end of all but one", func() bool { return n.metric("concurrent") == 1 })
	p.sendRequest(stream, "last")
	n.waitFor("a further stream's answer", func() bool { return p.received(fmt.Sprint("HEADERS ", stream, " 200")) })
	close(release)
	n.waitFor("the other stream's answer", func() bool { return p.received("HEADERS 1 200") })
	n.waitFor("nothing open", func() bool { return n.metric("concurrent") == 0 && n.metric("front.http2.streams") == 0 })
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, runs := range b.runs {
		if runs != 1 {
			t.Errorf("%s ran %d times", key, runs)
		}
	}
}

// A drain that is told while streams wait for room: none of them goes to that endpoint, and all are answered.
func TestHTTP2_drain(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	holds := func(b *testWorker, c net.Conn, r *http.Request) { <-release; completeJob(b, c, r) }
	a, other := startWorker(t, "a", holds), startWorker(t, "b", holds)
	n := startDispatcher(t, http2Frontend, a, other)
	p := n.connectHTTP2()
	for i := range uint32(40) {
		p.sendRequest(2*i+1, fmt.Sprint("drain-", i))
	}
	n.waitFor("jobs at both", func() bool { return totalJobs(a) > 0 && totalJobs(other) > 0 })
	n.discovery.update(func() { a.phase = "leaving" })
	n.waitFor("the news", func() bool { return strings.Count(n.log(), "endpoint list updated") >= 1 })
	n.waitFor("the end of the grace", func() bool { return time.Since(n.lastListUpdate()) > 500*time.Millisecond })
	had := totalJobs(a)
	close(release)
	n.waitFor("all answers", func() bool { return n.metric("concurrent") == 0 && n.metric("front.http2.streams") == 0 })
	if now := totalJobs(a); now != had {
		t.Errorf("%d jobs reached the draining endpoint", now-had)
	}
	n.waitFor("a head for each", func() bool {
		for i := range 40 {
			if !p.received(fmt.Sprint("HEADERS ", 2*i+1, " ")) {
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
	b := startWorker(t, "a", func(b *testWorker, c net.Conn, r *http.Request) { <-release; completeJob(b, c, r) })
	n := startDispatcher(t, http2Frontend, b)
	p := n.connectHTTP2()
	p.sendRequest(1, "open")
	n.waitFor("the job", func() bool { return b.runsOf("open") == 1 })
	n.reload(strings.Replace(n.config, `"name":"price-part"`, `"name":"price-all"`, 1))
	n.waitFor("the reload", func() bool { return n.metric("reload_success") == 1 })
	p.sendRequest(3, "dropped")
	p.sendRequest(5, "new", ":path", "/price-all", "req-kind", "price-all")
	n.waitFor("404", func() bool { return p.received("HEADERS 3 404") })
	close(release)
	n.waitFor("both answers", func() bool { return p.received("HEADERS 1 200") && p.received("HEADERS 5 200") })
}

// The room for streams is shared among connections: one that takes all it can get leaves room for the next.
func TestHTTP2_streamLimitSharedAmongConnections(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	workers := startWorkers(t, 60, func(b *testWorker, c net.Conn, r *http.Request) { <-release; completeJob(b, c, r) })
	n := startDispatcherWith(t, "front \"http2\" {\n  listen = \"127.0.0.1:0\"\n  streams = 1000\n}\n", func(config string) string {
		config = strings.Replace(config, `"deadline":5000000`, `"deadline":60000000`, 1) // none ends by itself
		return strings.Replace(config, `"memory_mb":192`, `"memory_mb":40`, 1)           // a room of 284 streams
	}, workers...)
	p, q := n.connectHTTP2(), n.connectHTTP2()
	for i := range uint32(300) {
		p.sendRequest(2*i+1, fmt.Sprint("p-", i), "req-deadline-ms", "60000")
	}
	n.waitFor("a refusal on the first connection", func() bool { return p.received("HEADERS") && n.metric("front.http2.streams") >= 142 })
	for i := range uint32(40) {
		q.sendRequest(2*i+1, fmt.Sprint("q-", i), "req-deadline-ms", "60000")
	}
	n.waitFor("all of the second's", func() bool { return n.metric("front.http2.streams") == 142+40 })
	if q.received("HEADERS") {
		t.Error("the second connection was refused something")
	}
	close(release)
	n.waitFor("the end", func() bool { return n.metric("front.http2.streams") == 0 })
}

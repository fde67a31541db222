package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	h2 "golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const http2Frontend = "front \"http2\" {\n  listen = \"127.0.0.1:0\"\n  streams = 100\n}\n"

// h2Client is a client that speaks HTTP/2 in clear, on one connection as long as it can.
func newHTTP2Client(t *testing.T) *http.Client {
	transport := &http.Transport{Protocols: &http.Protocols{}}
	transport.Protocols.SetUnencryptedHTTP2(true)
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// ask sends a request and gives status and body; 0 where there was no answer.
func trySend(c *http.Client, r *http.Request) (status int, body string, header http.Header) {
	resp, err := c.Do(r)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error(), nil
	}
	return resp.StatusCode, string(text), resp.Header
}

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

func must[T any](x T, err error) T {
	if err != nil {
		panic(err)
	}
	return x
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

// peer is a client that writes HTTP/2 frame by frame.
type frameClient struct {
	t    testing.TB
	conn net.Conn
	*h2.Framer
	encoder     *hpack.Encoder
	headerBlock bytes.Buffer

	mu     sync.Mutex
	frames []string // frames from the other side
	err    error    // that ended them
	closed chan struct{}
	goAway chan h2.ErrCode // of the first that ends the connection
}

// wire connects and says hello.
func (d *testDispatcher) connectHTTP2(settings ...h2.Setting) *frameClient {
	d.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(d.http2URL, "http://"))
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { conn.Close() })
	p := &frameClient{t: d.t, conn: conn, Framer: h2.NewFramer(conn, conn), closed: make(chan struct{}), goAway: make(chan h2.ErrCode, 1)}
	p.encoder = hpack.NewEncoder(&p.headerBlock)
	p.AllowIllegalWrites = true
	p.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	io.WriteString(conn, h2.ClientPreface)
	p.WriteSettings(settings...)
	go p.read()
	return p
}

func (c *frameClient) read() {
	defer close(c.closed)
	for {
		f, err := c.ReadFrame()
		if err != nil {
			c.mu.Lock()
			c.err = err
			c.mu.Unlock()
			return
		}
		text := fmt.Sprint(f.Header().Type, " ", f.Header().StreamID)
		switch f := f.(type) {
		case *h2.MetaHeadersFrame:
			text += " " + f.PseudoValue("status")
		case *h2.RSTStreamFrame:
			text += " " + f.ErrCode.String()
		case *h2.GoAwayFrame:
			text += fmt.Sprint(" ", f.LastStreamID, " ", f.ErrCode)
			if f.ErrCode != h2.ErrCodeNo {
				c.goAway <- f.ErrCode
			}
		}
		c.mu.Lock()
		c.frames = append(c.frames, text)
		c.mu.Unlock()
	}
}

// got tells whether a frame that begins so has come.
func (c *frameClient) received(text string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.frames {
		if strings.HasPrefix(s, text) {
			return true
		}
	}
	return false
}

// fields encodes a job's head; further names and values replace the usual ones or come behind them.
func (c *frameClient) headerFields(key string, more ...string) []byte {
	c.headerBlock.Reset()
	pairs := []string{":method", "POST", ":scheme", "http", ":authority", "api.internal", ":path", "/price-part",
		"req-id", "id-" + key, "req-kind", "price-part", "req-owner", "taff-marine", "idempotency-key", key, "req-deadline-ms", "5000"}
next:
	for i := 0; i < len(more); i += 2 {
		for j := 0; j < len(pairs); j += 2 {
			if pairs[j] == more[i] {
				pairs[j+1] = more[i+1]
				continue next
			}
		}
		pairs = append(pairs, more[i], more[i+1])
	}
	for i := 0; i < len(pairs); i += 2 {
		c.encoder.WriteField(hpack.HeaderField{Name: pairs[i], Value: pairs[i+1]})
	}
	return c.headerBlock.Bytes()
}

// job opens a stream with a whole job.
func (c *frameClient) sendRequest(stream uint32, key string, more ...string) {
	c.WriteHeaders(h2.HeadersFrameParam{StreamID: stream, BlockFragment: c.headerFields(key, append(more, "content-length", "7")...), EndHeaders: true})
	c.WriteData(stream, true, []byte("drawing"))
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

// What no good client does ends in a mapped answer, a stream's error or a close within 3 s, and good clients on other
// connections do not notice.
func TestHTTP2_misbehavingClients(t *testing.T) {
	t.Parallel()
	n := startDispatcher(t, http2Frontend, startWorker(t, "a", completeJob))
	head := func(p *frameClient, stream uint32, more ...string) {
		p.WriteHeaders(h2.HeadersFrameParam{StreamID: stream, BlockFragment: p.headerFields("k", more...), EndHeaders: true, EndStream: true})
	}
	calm := "ENHANCE_YOUR_CALM"
	for name, c := range map[string]struct {
		do   func(p *frameClient)
		want string // how a frame that comes begins; a GOAWAY's code; or a close
	}{
		"resets": {func(p *frameClient) {
			for i := range uint32(20000) {
				p.WriteHeaders(h2.HeadersFrameParam{StreamID: 2*i + 1, BlockFragment: p.headerFields(fmt.Sprint("r-", i)), EndHeaders: true})
				if p.WriteRSTStream(2*i+1, h2.ErrCodeCancel) != nil {
					return
				}
			}
		}, calm},
		"pings":    {func(p *frameClient) { flood(func() error { return p.WritePing(false, [8]byte{}) }) }, calm},
		"settings": {func(p *frameClient) { flood(func() error { return p.WriteSettings() }) }, calm},
		"priority": {func(p *frameClient) {
			flood(func() error { return p.WritePriority(1, h2.PriorityParam{StreamDep: 3, Weight: 7}) })
		}, calm},
		"windows": {func(p *frameClient) { flood(func() error { return p.WriteWindowUpdate(0, 1) }) }, calm},
		"unknown": {func(p *frameClient) { flood(func() error { return p.WriteRawFrame(0x42, 0, 0, []byte("x")) }) }, calm},
		"crumbs": {func(p *frameClient) {
			p.WriteHeaders(h2.HeadersFrameParam{StreamID: 1, BlockFragment: p.headerFields("k"), EndHeaders: true})
			flood(func() error { return p.WriteData(1, false, nil) })
		}, calm},
		"fragments": {func(p *frameClient) {
			text := bytes.Clone(p.headerFields("k"))
			p.WriteHeaders(h2.HeadersFrameParam{StreamID: 1, BlockFragment: text[:1]})
			for i := 1; i < len(text); i++ {
				p.WriteContinuation(1, i == len(text)-1, text[i:i+1])
			}
		}, calm},
		"half a head": {func(p *frameClient) {
			p.WriteHeaders(h2.HeadersFrameParam{StreamID: 1, BlockFragment: p.headerFields("k")[:9]})
		}, calm},
		"half a frame": {func(p *frameClient) { p.conn.Write([]byte{0, 0, 8, 6}) }, calm},
		"large headers": {func(p *frameClient) {
			var more []string
			for i := range 12 {
				more = append(more, fmt.Sprint("large-", i), strings.Repeat("x", 1000))
			}
			head(p, 1, more...)
		}, "HEADERS 1 431"},
		"large header": {func(p *frameClient) { head(p, 1, "large", strings.Repeat("x", 12000)) }, "COMPRESSION_ERROR"},
		"wrong length": {func(p *frameClient) {
			p.WriteHeaders(h2.HeadersFrameParam{StreamID: 1, BlockFragment: p.headerFields("k", "content-length", "3"), EndHeaders: true})
			p.WriteData(1, true, []byte("drawing"))
		}, "RST_STREAM 1 PROTOCOL_ERROR"},
		"short length": {func(p *frameClient) {
			p.WriteHeaders(h2.HeadersFrameParam{StreamID: 1, BlockFragment: p.headerFields("k", "content-length", "30"), EndHeaders: true})
			p.WriteData(1, true, []byte("drawing"))
		}, "HEADERS 1 400"},
		"half a body": {func(p *frameClient) {
			p.WriteHeaders(h2.HeadersFrameParam{StreamID: 1, BlockFragment: p.headerFields("k", "content-length", "30"), EndHeaders: true})
			p.WriteData(1, false, []byte("drawing"))
		}, "HEADERS 1 400"},
		"connection":        {func(p *frameClient) { head(p, 1, "connection", "close") }, "HEADERS 1 400"},
		"transfer-encoding": {func(p *frameClient) { head(p, 1, "transfer-encoding", "chunked") }, "HEADERS 1 400"},
		"uppercase":         {func(p *frameClient) { head(p, 1, "Req-Odd", "x") }, "RST_STREAM 1 PROTOCOL_ERROR"},
		"no class":          {func(p *frameClient) { head(p, 1, ":path", "/no-such") }, "HEADERS 1 404"},
		"no path":           {func(p *frameClient) { head(p, 1, ":path", "no-slash") }, "RST_STREAM 1 PROTOCOL_ERROR"},
		"trailers": {func(p *frameClient) {
			p.WriteHeaders(h2.HeadersFrameParam{StreamID: 1, BlockFragment: p.headerFields("trailed"), EndHeaders: true})
			p.WriteData(1, false, []byte("drawing"))
			p.headerBlock.Reset()
			p.encoder.WriteField(hpack.HeaderField{Name: "req-id", Value: "another"})
			p.WriteHeaders(h2.HeadersFrameParam{StreamID: 1, BlockFragment: p.headerBlock.Bytes(), EndHeaders: true, EndStream: true})
		}, "HEADERS 1 200"},
		"push":         {func(p *frameClient) { p.WriteRawFrame(h2.FramePushPromise, 4, 1, make([]byte, 8)) }, "PROTOCOL_ERROR"},
		"many streams": {func(p *frameClient) { openStreams(p, 150) }, "RST_STREAM"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := n.connectHTTP2()
			good := newHTTP2Client(t)
			begin := time.Now()
			go c.do(p)
			code := ""
			defer func() {
				if t.Failed() {
					p.mu.Lock()
					defer p.mu.Unlock()
					t.Logf("the last frames: %v, error %v", p.frames[max(len(p.frames)-5, 0):], p.err)
				}
			}()
			n := &testDispatcher{t: t, http2URL: n.http2URL} // waits fail this test, not the one around it
			n.waitFor(name, func() bool {
				if status, body, _ := trySend(good, newRequest(n.http2URL, fmt.Sprint(name, time.Now().UnixNano()))); status != 200 {
					t.Errorf("a good client: %d %s", status, body)
				}
				select {
				case got := <-p.goAway:
					code = got.String()
				default:
				}
				return code != "" || p.received(c.want)
			})
			if took := time.Since(begin); took > 3*time.Second {
				t.Errorf("took %v", took)
			}
			if code != "" {
				if code != c.want {
					t.Errorf("ended with %s, want %s", code, c.want)
				}
				n.waitFor("the close", func() bool {
					select {
					case <-p.closed:
						return true
					default:
						return false
					}
				})
			}
		})
	}
}

// flood sends one frame over and over, until the other side has had enough.
func flood(frame func() error) {
	for range 100000 {
		if frame() != nil {
			return
		}
	}
}

// manyStreams opens streams that never end by themselves.
func openStreams(p *frameClient, many uint32) {
	for i := range many {
		p.WriteHeaders(h2.HeadersFrameParam{StreamID: 2*i + 1, BlockFragment: p.headerFields(fmt.Sprint("m-", i)), EndHeaders: true})
	}
}

// Who never opens the window for its answer loses the stream, and who reads nothing at all the connection; a client
// beside them is served.
func TestHTTP2_closedFlowControlWindow(t *testing.T) {
	t.Parallel()
	big := strings.Repeat("x", 60000)
	n := startDispatcher(t, http2Frontend, startWorker(t, "a", respondWith(`"state":"started"`, `"state":"done","result":"`+big+`"`)))
	p := n.connectHTTP2(h2.Setting{ID: h2.SettingInitialWindowSize, Val: 0})
	p.sendRequest(1, "shut")
	p.WriteHeaders(h2.HeadersFrameParam{StreamID: 3, BlockFragment: p.headerFields("none", ":path", "/no-such"), EndHeaders: true, EndStream: true})
	n.waitFor("the heads of the answers", func() bool { return p.received("HEADERS 1 200") && p.received("HEADERS 3 404") })
	begin := time.Now()
	n.waitFor("the streams' ends", func() bool { return p.received("RST_STREAM 1") && p.received("RST_STREAM 3") })
	if took := time.Since(begin); took > 3*time.Second {
		t.Errorf("took %v", took)
	}
	if status, body, _ := trySend(newHTTP2Client(t), newRequest(n.http2URL, "good")); status != 200 || body != big {
		t.Errorf("a client beside it: %d", status)
	}
	n.waitFor("no stream", func() bool { return n.metric("front.http2.streams") == 0 })
}

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

// told returns when the program last logged an update of the endpoint list.
func (d *testDispatcher) lastListUpdate() time.Time {
	text := d.log()
	at := strings.LastIndex(text, "msg=\"endpoint list updated\"")
	text = text[:at]
	text = text[strings.LastIndex(text, "time=")+len("time="):]
	when, _, _ := strings.Cut(text, " ")
	return must(time.Parse(time.RFC3339Nano, when))
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

package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	h2 "golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

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

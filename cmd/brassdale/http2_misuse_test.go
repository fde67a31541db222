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
	dispatcher := startDispatcher(t, http2Frontend, startWorker(t, "a", completeJob))
	head := func(client *frameClient, stream uint32, more ...string) {
		client.WriteHeaders(h2.HeadersFrameParam{StreamID: stream, BlockFragment: client.headerFields("k", more...), EndHeaders: true, EndStream: true})
	}
	calm := "ENHANCE_YOUR_CALM"
	for name, test := range map[string]struct {
		do   func(client *frameClient)
		want string // how a frame that comes begins; a GOAWAY's code; or a close
	}{
		"resets": {func(client *frameClient) {
			for i := range uint32(20000) {
				client.WriteHeaders(h2.HeadersFrameParam{StreamID: 2*i + 1, BlockFragment: client.headerFields(fmt.Sprint("r-", i)), EndHeaders: true})
				if client.WriteRSTStream(2*i+1, h2.ErrCodeCancel) != nil {
					return
				}
			}
		}, calm},
		"pings":    {func(client *frameClient) { flood(func() error { return client.WritePing(false, [8]byte{}) }) }, calm},
		"settings": {func(client *frameClient) { flood(func() error { return client.WriteSettings() }) }, calm},
		"priority": {func(client *frameClient) {
			flood(func() error { return client.WritePriority(1, h2.PriorityParam{StreamDep: 3, Weight: 7}) })
		}, calm},
		"windows": {func(client *frameClient) { flood(func() error { return client.WriteWindowUpdate(0, 1) }) }, calm},
		"unknown": {func(client *frameClient) {
			flood(func() error { return client.WriteRawFrame(0x42, 0, 0, []byte("x")) })
		}, calm},
		"crumbs": {func(client *frameClient) {
			client.WriteHeaders(h2.HeadersFrameParam{StreamID: 1, BlockFragment: client.headerFields("k"), EndHeaders: true})
			flood(func() error { return client.WriteData(1, false, nil) })
		}, calm},
		"fragments": {func(client *frameClient) {
			text := bytes.Clone(client.headerFields("k"))
			client.WriteHeaders(h2.HeadersFrameParam{StreamID: 1, BlockFragment: text[:1]})
			for i := 1; i < len(text); i++ {
				client.WriteContinuation(1, i == len(text)-1, text[i:i+1])
			}
		}, calm},
		"half a head": {func(client *frameClient) {
			client.WriteHeaders(h2.HeadersFrameParam{StreamID: 1, BlockFragment: client.headerFields("k")[:9]})
		}, calm},
		"half a frame": {func(client *frameClient) { client.conn.Write([]byte{0, 0, 8, 6}) }, calm},
		"large headers": {func(client *frameClient) {
			var more []string
			for i := range 12 {
				more = append(more, fmt.Sprint("large-", i), strings.Repeat("x", 1000))
			}
			head(client, 1, more...)
		}, "HEADERS 1 431"},
		"large header": {func(client *frameClient) { head(client, 1, "large", strings.Repeat("x", 12000)) }, "COMPRESSION_ERROR"},
		"wrong length": {func(client *frameClient) {
			client.WriteHeaders(h2.HeadersFrameParam{StreamID: 1, BlockFragment: client.headerFields("k", "content-length", "3"), EndHeaders: true})
			client.WriteData(1, true, []byte("drawing"))
		}, "RST_STREAM 1 PROTOCOL_ERROR"},
		"short length": {func(client *frameClient) {
			client.WriteHeaders(h2.HeadersFrameParam{StreamID: 1, BlockFragment: client.headerFields("k", "content-length", "30"), EndHeaders: true})
			client.WriteData(1, true, []byte("drawing"))
		}, "HEADERS 1 400"},
		"half a body": {func(client *frameClient) {
			client.WriteHeaders(h2.HeadersFrameParam{StreamID: 1, BlockFragment: client.headerFields("k", "content-length", "30"), EndHeaders: true})
			client.WriteData(1, false, []byte("drawing"))
		}, "HEADERS 1 400"},
		"connection":        {func(client *frameClient) { head(client, 1, "connection", "close") }, "HEADERS 1 400"},
		"transfer-encoding": {func(client *frameClient) { head(client, 1, "transfer-encoding", "chunked") }, "HEADERS 1 400"},
		"uppercase":         {func(client *frameClient) { head(client, 1, "Req-Odd", "x") }, "RST_STREAM 1 PROTOCOL_ERROR"},
		"no class":          {func(client *frameClient) { head(client, 1, ":path", "/no-such") }, "HEADERS 1 404"},
		"no path":           {func(client *frameClient) { head(client, 1, ":path", "no-slash") }, "RST_STREAM 1 PROTOCOL_ERROR"},
		"trailers": {func(client *frameClient) {
			client.WriteHeaders(h2.HeadersFrameParam{StreamID: 1, BlockFragment: client.headerFields("trailed"), EndHeaders: true})
			client.WriteData(1, false, []byte("drawing"))
			client.headerBlock.Reset()
			client.encoder.WriteField(hpack.HeaderField{Name: "req-id", Value: "another"})
			client.WriteHeaders(h2.HeadersFrameParam{StreamID: 1, BlockFragment: client.headerBlock.Bytes(), EndHeaders: true, EndStream: true})
		}, "HEADERS 1 200"},
		"push":         {func(client *frameClient) { client.WriteRawFrame(h2.FramePushPromise, 4, 1, make([]byte, 8)) }, "PROTOCOL_ERROR"},
		"many streams": {func(client *frameClient) { openStreams(client, 150) }, "RST_STREAM"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client := dispatcher.connectHTTP2()
			good := newHTTP2Client(t)
			begin := time.Now()
			go test.do(client)
			code := ""
			defer func() {
				if t.Failed() {
					client.mu.Lock()
					defer client.mu.Unlock()
					t.Logf("the last frames: %v, error %v", client.frames[max(len(client.frames)-5, 0):], client.err)
				}
			}()
			dispatcher := &testDispatcher{t: t, http2URL: dispatcher.http2URL} // waits fail this test, not the one around it
			dispatcher.waitFor(name, func() bool {
				if status, body, _ := trySend(good, newRequest(dispatcher.http2URL, fmt.Sprint(name, time.Now().UnixNano()))); status != 200 {
					t.Errorf("a good client: %d %s", status, body)
				}
				select {
				case got := <-client.goAway:
					code = got.String()
				default:
				}
				return code != "" || client.received(test.want)
			})
			if took := time.Since(begin); took > 3*time.Second {
				t.Errorf("took %v", took)
			}
			if code != "" {
				if code != test.want {
					t.Errorf("ended with %s, want %s", code, test.want)
				}
				dispatcher.waitFor("the close", func() bool {
					select {
					case <-client.closed:
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
func openStreams(client *frameClient, many uint32) {
	for i := range many {
		client.WriteHeaders(h2.HeadersFrameParam{StreamID: 2*i + 1, BlockFragment: client.headerFields(fmt.Sprint("m-", i)), EndHeaders: true})
	}
}

// Who never opens the window for its answer loses the stream, and who reads nothing at all the connection; a client
// beside them is served.
func TestHTTP2_closedFlowControlWindow(t *testing.T) {
	t.Parallel()
	big := strings.Repeat("x", 60000)
	dispatcher := startDispatcher(t, http2Frontend, startWorker(t, "a", respondWith(`"state":"started"`, `"state":"done","result":"`+big+`"`)))
	client := dispatcher.connectHTTP2(h2.Setting{ID: h2.SettingInitialWindowSize, Val: 0})
	client.sendRequest(1, "shut")
	client.WriteHeaders(h2.HeadersFrameParam{StreamID: 3, BlockFragment: client.headerFields("none", ":path", "/no-such"), EndHeaders: true, EndStream: true})
	dispatcher.waitFor("the heads of the answers", func() bool { return client.received("HEADERS 1 200") && client.received("HEADERS 3 404") })
	begin := time.Now()
	dispatcher.waitFor("the streams' ends", func() bool { return client.received("RST_STREAM 1") && client.received("RST_STREAM 3") })
	if took := time.Since(begin); took > 3*time.Second {
		t.Errorf("took %v", took)
	}
	if status, body, _ := trySend(newHTTP2Client(t), newRequest(dispatcher.http2URL, "good")); status != 200 || body != big {
		t.Errorf("a client beside it: %d", status)
	}
	dispatcher.waitFor("no stream", func() bool { return dispatcher.metric("front.http2.streams") == 0 })
}

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

// http2Misuse is an action of a misbehaving client, and the required reaction.
type http2Misuse struct {
	send func(client *frameClient)
	want string // the start of a received frame, or the error code of a GOAWAY
}

// enhanceYourCalm is the HTTP/2 error code for a client that causes excessive work.
const enhanceYourCalm = "ENHANCE_YOUR_CALM"

// writeOnlyHeaders opens a stream with a request that has no body.
func writeOnlyHeaders(client *frameClient, stream uint32, more ...string) {
	client.WriteHeaders(h2.HeadersFrameParam{StreamID: stream, BlockFragment: client.headerFields("k", more...), EndHeaders: true, EndStream: true})
}

// floods are frames that are sent too often, in too small parts, or never completely.
var floods = map[string]http2Misuse{
	"resets": {func(client *frameClient) {
		for i := range uint32(20000) {
			client.WriteHeaders(h2.HeadersFrameParam{StreamID: 2*i + 1, BlockFragment: client.headerFields(fmt.Sprint("r-", i)), EndHeaders: true})
			if client.WriteRSTStream(2*i+1, h2.ErrCodeCancel) != nil {
				return
			}
		}
	}, enhanceYourCalm},
	"pings":    {func(client *frameClient) { flood(func() error { return client.WritePing(false, [8]byte{}) }) }, enhanceYourCalm},
	"settings": {func(client *frameClient) { flood(func() error { return client.WriteSettings() }) }, enhanceYourCalm},
	"priority": {func(client *frameClient) {
		flood(func() error { return client.WritePriority(1, h2.PriorityParam{StreamDep: 3, Weight: 7}) })
	}, enhanceYourCalm},
	"windows": {func(client *frameClient) { flood(func() error { return client.WriteWindowUpdate(0, 1) }) }, enhanceYourCalm},
	"unknown": {func(client *frameClient) {
		flood(func() error { return client.WriteRawFrame(0x42, 0, 0, []byte("x")) })
	}, enhanceYourCalm},
	"empty data": {func(client *frameClient) {
		client.WriteHeaders(h2.HeadersFrameParam{StreamID: 1, BlockFragment: client.headerFields("k"), EndHeaders: true})
		flood(func() error { return client.WriteData(1, false, nil) })
	}, enhanceYourCalm},
	"fragments": {func(client *frameClient) {
		text := bytes.Clone(client.headerFields("k"))
		client.WriteHeaders(h2.HeadersFrameParam{StreamID: 1, BlockFragment: text[:1]})
		for i := 1; i < len(text); i++ {
			client.WriteContinuation(1, i == len(text)-1, text[i:i+1])
		}
	}, enhanceYourCalm},
	"half a head": {func(client *frameClient) {
		client.WriteHeaders(h2.HeadersFrameParam{StreamID: 1, BlockFragment: client.headerFields("k")[:9]})
	}, enhanceYourCalm},
	"half a frame": {func(client *frameClient) { client.conn.Write([]byte{0, 0, 8, 6}) }, enhanceYourCalm},
}

// invalidFrames are invalid or unfinished requests and frames.
var invalidFrames = map[string]http2Misuse{
	"large headers": {func(client *frameClient) {
		var more []string
		for i := range 12 {
			more = append(more, fmt.Sprint("large-", i), strings.Repeat("x", 1000))
		}
		writeOnlyHeaders(client, 1, more...)
	}, "HEADERS 1 431"},
	"large header": {func(client *frameClient) { writeOnlyHeaders(client, 1, "large", strings.Repeat("x", 12000)) }, "COMPRESSION_ERROR"},
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
	"connection":        {func(client *frameClient) { writeOnlyHeaders(client, 1, "connection", "close") }, "HEADERS 1 400"},
	"transfer-encoding": {func(client *frameClient) { writeOnlyHeaders(client, 1, "transfer-encoding", "chunked") }, "HEADERS 1 400"},
	"uppercase":         {func(client *frameClient) { writeOnlyHeaders(client, 1, "Req-Odd", "x") }, "RST_STREAM 1 PROTOCOL_ERROR"},
	"no class":          {func(client *frameClient) { writeOnlyHeaders(client, 1, ":path", "/no-such") }, "HEADERS 1 404"},
	"no path":           {func(client *frameClient) { writeOnlyHeaders(client, 1, ":path", "no-slash") }, "RST_STREAM 1 PROTOCOL_ERROR"},
	"trailers": {func(client *frameClient) {
		client.WriteHeaders(h2.HeadersFrameParam{StreamID: 1, BlockFragment: client.headerFields("trailed"), EndHeaders: true})
		client.WriteData(1, false, []byte("drawing"))
		client.headerBlock.Reset()
		client.encoder.WriteField(hpack.HeaderField{Name: "req-id", Value: "another"})
		client.WriteHeaders(h2.HeadersFrameParam{StreamID: 1, BlockFragment: client.headerBlock.Bytes(), EndHeaders: true, EndStream: true})
	}, "HEADERS 1 200"},
	"push":         {func(client *frameClient) { client.WriteRawFrame(h2.FramePushPromise, 4, 1, make([]byte, 8)) }, "PROTOCOL_ERROR"},
	"many streams": {func(client *frameClient) { openStreams(client, 150) }, "RST_STREAM"},
}

// TestHTTP2_misbehavingClients checks that each misuse is answered by a status, a stream error or a connection error within 3 s, and that
// clients on other connections are served at the same time.
func TestHTTP2_misbehavingClients(t *testing.T) {
	t.Parallel()
	dispatcher := startDispatcher(t, http2Frontend, startWorker(t, "a", completeJob))
	for _, misuses := range []map[string]http2Misuse{floods, invalidFrames} {
		for name, misuse := range misuses {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				checkMisuse(t, dispatcher, name, misuse)
			})
		}
	}
}

// checkMisuse runs a misuse, and checks the reaction while another client sends requests.
func checkMisuse(t *testing.T, dispatcher *testDispatcher, name string, misuse http2Misuse) {
	t.Helper()
	client, other := dispatcher.connectHTTP2(), newHTTP2Client(t)
	defer func() {
		if t.Failed() {
			client.mu.Lock()
			defer client.mu.Unlock()
			t.Logf("the last frames: %v, error %v", client.frames[max(len(client.frames)-5, 0):], client.err)
		}
	}()
	beganAt := time.Now()
	go misuse.send(client)
	errorCode := ""
	waitWithin(t, 10*time.Second, 2*time.Millisecond, misuse.want, func() bool {
		if status, body, _ := trySend(other, newRequest(dispatcher.http2URL, fmt.Sprint(name, time.Now().UnixNano()))); status != 200 {
			t.Errorf("another client: status %d %s, want 200", status, body)
		}
		select {
		case code := <-client.goAway:
			errorCode = code.String()
		default:
		}
		return errorCode != "" || client.received(misuse.want)
	})
	if took := time.Since(beganAt); took > 3*time.Second {
		t.Errorf("the reaction came after %v, more than 3 s", took)
	}
	if errorCode == "" {
		return
	}
	if errorCode != misuse.want {
		t.Errorf("the connection ended with %s, want %s", errorCode, misuse.want)
	}
	waitWithin(t, 10*time.Second, 2*time.Millisecond, "a closed connection", func() bool {
		select {
		case <-client.closed:
			return true
		default:
			return false
		}
	})
}

// flood sends a frame repeatedly until the connection is closed, 100,000 times at most.
func flood(writeFrame func() error) {
	for range 100000 {
		if writeFrame() != nil {
			return
		}
	}
}

// openStreams opens streams with incomplete requests.
func openStreams(client *frameClient, count uint32) {
	for i := range count {
		client.WriteHeaders(h2.HeadersFrameParam{StreamID: 2*i + 1, BlockFragment: client.headerFields(fmt.Sprint("m-", i)), EndHeaders: true})
	}
}

// TestHTTP2_closedFlowControlWindow checks that streams whose client never opens the flow control window for their answers are reset within
// 3 s, while another client is served.
func TestHTTP2_closedFlowControlWindow(t *testing.T) {
	t.Parallel()
	result := strings.Repeat("x", 60000)
	dispatcher := startDispatcher(t, http2Frontend, startWorker(t, "a", respondWith(`"state":"started"`, `"state":"done","result":"`+result+`"`)))
	client := dispatcher.connectHTTP2(h2.Setting{ID: h2.SettingInitialWindowSize, Val: 0})
	client.sendRequest(1, "no-window")
	client.WriteHeaders(h2.HeadersFrameParam{StreamID: 3, BlockFragment: client.headerFields("none", ":path", "/no-such"), EndHeaders: true, EndStream: true})
	dispatcher.waitFor("the headers of both answers", func() bool { return client.received("HEADERS 1 200") && client.received("HEADERS 3 404") })
	answeredAt := time.Now()
	dispatcher.waitFor("a reset of both streams", func() bool { return client.received("RST_STREAM 1") && client.received("RST_STREAM 3") })
	if took := time.Since(answeredAt); took > 3*time.Second {
		t.Errorf("the streams were reset after %v, more than 3 s", took)
	}
	if status, body, _ := trySend(newHTTP2Client(t), newRequest(dispatcher.http2URL, "good")); status != 200 || body != result {
		t.Errorf("another client: status %d, want 200 and the complete result", status)
	}
	dispatcher.waitForMetric("front.http2.streams", 0)
}

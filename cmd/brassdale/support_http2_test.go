package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

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
	client := &frameClient{t: d.t, conn: conn, Framer: h2.NewFramer(conn, conn), closed: make(chan struct{}), goAway: make(chan h2.ErrCode, 1)}
	client.encoder = hpack.NewEncoder(&client.headerBlock)
	client.AllowIllegalWrites = true
	client.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	io.WriteString(conn, h2.ClientPreface)
	client.WriteSettings(settings...)
	go client.read()
	return client
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

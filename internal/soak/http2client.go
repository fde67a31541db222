package soak

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Clients of the HTTP/2 frontend. Each has a net/http client of its own, and so one connection as long as it may be used.

const (
	http2Clients     = 60 // clients that keep their connection
	http2ThinkTime   = 150 * time.Millisecond
	http2CrowdSize   = 100 // clients that connect at once, each with one request
	http2CrowdPause  = 300 * time.Millisecond
	operatorFileText = "front \"http2\" {\n  listen = %q\n}\n"
)

// useHTTP2 runs the clients that keep their connections, until the end or until the context ends.
func (c *clientGroup) useHTTP2(ctx context.Context, end time.Time) {
	var clients sync.WaitGroup
	for i := range http2Clients {
		random := rand.New(rand.NewPCG(c.plan.Seed, uint64(c.dispatcher.number*http2Clients+i)))
		clients.Go(func() { c.useHTTP2Connection(ctx, end, random) })
	}
	clients.Wait()
}

// useHTTP2Connection sends one request after the other. It opens a new connection when the process has asked for it by GOAWAY, or has ended.
func (c *clientGroup) useHTTP2Connection(ctx context.Context, end time.Time, random *rand.Rand) {
	transport := newHTTP2Transport()
	defer transport.CloseIdleConnections()
	for time.Now().Before(end) && ctx.Err() == nil {
		time.Sleep(time.Duration(random.Int64N(int64(http2ThinkTime))))
		c.sendHTTP2(ctx, transport)
	}
}

// sendHTTP2Crowds lets http2CrowdSize clients connect at once, each with one request on a new connection, repeatedly until a time.
func (c *clientGroup) sendHTTP2Crowds(ctx context.Context, until time.Time) {
	for time.Now().Before(until) {
		var clients sync.WaitGroup
		for range http2CrowdSize {
			clients.Go(func() {
				transport := newHTTP2Transport()
				defer transport.CloseIdleConnections()
				c.sendHTTP2(ctx, transport)
			})
		}
		clients.Wait()
		time.Sleep(http2CrowdPause)
	}
}

func newHTTP2Transport() *http.Transport {
	transport := &http.Transport{Protocols: &http.Protocols{}}
	transport.Protocols.SetUnencryptedHTTP2(true)
	return transport
}

// writeRecorder records when net/http has written a request, from its own goroutines.
type writeRecorder struct {
	mu        sync.Mutex
	writtenAt time.Time // zero if the request was not written to its end
	reused    bool      // its connection had carried another request before
}

// trace returns the hooks for a request. net/http may send it more than once, if the process has said by GOAWAY that it did not begin it.
func (r *writeRecorder) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.reused = info.Reused
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			r.mu.Lock()
			defer r.mu.Unlock()
			if info.Err == nil {
				r.writtenAt = time.Now()
			}
		},
	}
}

// sendHTTP2 sends a request to the process that was started last, and records the outcome. A request in progress is completed when the
// context ends.
func (c *clientGroup) sendHTTP2(ctx context.Context, transport *http.Transport) {
	run, _ := c.dispatcher.current()
	request, _ := c.newRequest(run.Number)
	request.HTTP2 = true
	written := &writeRecorder{}
	result, err := c.exchangeHTTP2(context.WithoutCancel(ctx), transport, written, request)
	request.AnsweredAt = time.Now()
	if request.Result = result; err != nil {
		request.Status, request.Error = 0, err.Error()
		timeout := net.Error(nil)
		request.ConnectionEnded = !errors.As(err, &timeout) || !timeout.Timeout()
	}
	written.mu.Lock()
	request.WrittenAt, request.ConnectionReused = written.writtenAt, written.reused
	written.mu.Unlock()
	c.record.addRequest(request)
}

// exchangeHTTP2 sends a request, sets its status, and returns the body of its answer.
func (c *clientGroup) exchangeHTTP2(ctx context.Context, transport *http.Transport, written *writeRecorder, request *Request) (string, error) {
	traced := httptrace.WithClientTrace(ctx, written.trace())
	r, err := http.NewRequestWithContext(traced, http.MethodPost, "http://"+c.dispatcher.http2Port.address+"/"+className, strings.NewReader("drawing"))
	if err != nil {
		return "", err
	}
	header := map[string]string{"Req-Id": request.ID, "Req-Kind": className, "Req-Owner": "acme", "Req-Deadline-Ms": strconv.FormatInt(c.plan.Deadline.Milliseconds(), 10)}
	if c.plan.Idempotency == IdempotentWithKey {
		header["Idempotency-Key"] = "k" + request.ID
	}
	for name, value := range header {
		r.Header.Set(name, value)
	}
	client := &http.Client{Transport: transport, Timeout: c.plan.Deadline + readTimeAfterDeadline}
	response, err := client.Do(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	request.Status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

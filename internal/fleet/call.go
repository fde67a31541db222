package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"brassdale/internal/traffic"
)

const (
	callTimeout         = 600 * time.Millisecond // of a call to another dispatcher
	maxBodyBytes        = 32 << 20
	maxIdleConnsPerHost = 4
	idleConnTimeout     = time.Minute
)

func newClient(meter *traffic.Meter) *http.Client {
	dialer := &net.Dialer{Timeout: callTimeout / 2}
	return &http.Client{Transport: &http.Transport{
		DialContext:         meter.Dial(dialer),
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}}
}

// Call posts a body to another dispatcher, or makes a GET request if the body is nil, and returns the status and the body of
// the response. It returns by the deadline.
func Call(ctx context.Context, client *http.Client, url string, body []byte, deadline time.Time) (status int, text []byte, err error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	method := http.MethodPost
	if body == nil {
		method = http.MethodGet
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("User-Agent", "") // omitted, because nobody reads it and each dispatcher makes several calls per second
	received, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = received.Body.Close() }() // the body has been read, or reading it has failed
	text, err = io.ReadAll(io.LimitReader(received.Body, maxBodyBytes))
	return received.StatusCode, text, err
}

// call calls another dispatcher: a POST request with the body as JSON, or a GET request if the body is nil. name is the name of
// the call with its query. call returns by the context's deadline, or after callTimeout if the context has none.
func (a *Agent) call(ctx context.Context, address, name string, body any) (got response, status int, err error) {
	var text []byte
	if body != nil {
		if text, err = json.Marshal(body); err != nil {
			return got, 0, err
		}
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(callTimeout)
	}
	path, _, _ := strings.Cut(name, "?")
	metered := a.options.Meter.Call(ctx, trafficKindOfCall(path))
	status, received, err := Call(metered, a.client, a.url(address, name), text, deadline)
	a.countCall()
	if err == nil {
		err = json.Unmarshal(received, &got)
	}
	return got, status, err
}

// url returns the URL of a call.
func (a *Agent) url(address, name string) string {
	return "http://" + a.settings.resolve(address) + "/council/" + name
}

func (a *Agent) countCall() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts.Calls++
}

func (a *Agent) countServed() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts.Served++
}

// trafficKind returns the traffic kind of a request to this dispatcher.
func trafficKind(r *http.Request) traffic.Kind {
	if r.URL.Path == "/members/stream" {
		return traffic.Gossip
	}
	return trafficKindOfCall(strings.TrimPrefix(r.URL.Path, "/council/"))
}

// trafficKindOfCall returns the traffic kind of a call by its name, without its query.
func trafficKindOfCall(name string) traffic.Kind {
	switch name {
	case "renew", "grant", "leave":
		return traffic.Renewal
	case "watch":
		return traffic.Record
	case "messages":
		return traffic.Raft
	}
	return traffic.Other
}

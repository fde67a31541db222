package load

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"brassdale/internal/protocol"
)

// Wire is the protocol between the generator and its targets.
type Wire string

// The protocols.
const (
	HTTP1  Wire = "http1"  // the platform's protocol
	HTTP2  Wire = "http2"  // the same over HTTP/2 without TLS
	Events Wire = "events" // the listener for progress events: a job ends with its stream's last event
)

// check returns an error for an unknown wire.
func (w Wire) check() error {
	switch w {
	case HTTP1, HTTP2, Events:
		return nil
	}
	return fmt.Errorf("unknown wire %q: expected %s, %s or %s", w, HTTP1, HTTP2, Events)
}

const (
	maxBodyBytes       = 1 << 20 // maximum that is read of a response
	maxIdleConnections = 4096    // to a target
	maxRetryAfter      = time.Hour
)

// Client is a Sender that sends attempts to dispatchers in turn.
type Client struct {
	wire       Wire
	class      string
	urls       []string
	http       http.Client
	nextTarget atomic.Uint64
	idPrefix   string // of request ids, so that two concurrent generators do not use the same ids
	ids        atomic.Uint64
	body       []byte
}

// NewClient returns a client for targets (host:port). The caller must close it.
func NewClient(wire Wire, class string, targets []string) (*Client, error) {
	if len(targets) == 0 {
		return nil, errors.New("no target")
	}
	if err := wire.check(); err != nil {
		return nil, err
	}
	var salt [5]byte
	_, _ = rand.Read(salt[:]) // never fails
	client := &Client{wire: wire, class: class, idPrefix: hex.EncodeToString(salt[:]), body: []byte("{}")}
	// The dialer needs no timeout: the context of the attempt ends it.
	transport := &http.Transport{DialContext: (&net.Dialer{KeepAlive: -1}).DialContext, MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true}
	if wire == HTTP2 {
		transport.Protocols = new(http.Protocols)
		transport.Protocols.SetUnencryptedHTTP2(true)
	}
	client.http.Transport = transport
	for _, target := range targets {
		if _, _, err := net.SplitHostPort(target); err != nil {
			return nil, fmt.Errorf("target: %w", err)
		}
		client.urls = append(client.urls, "http://"+target+"/"+class)
	}
	return client, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Send implements Sender.
func (c *Client) Send(ctx context.Context, job Job, attempt int, deadline time.Time) Answer {
	ctx, stop := context.WithDeadline(ctx, deadline)
	defer stop()
	request, err := c.newRequest(ctx, job, attempt, deadline)
	if err != nil {
		return Answer{Outcome: Unanswered}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Answer{Outcome: Unanswered}
	}
	defer func() { _ = response.Body.Close() }() // only the read content matters
	if c.wire == Events && response.StatusCode == http.StatusOK {
		return lastEvent(response.Body)
	}
	// An answer counts as received when its last byte is received.
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBodyBytes)); err != nil {
		return Answer{Outcome: Unanswered}
	}
	switch response.StatusCode {
	case http.StatusOK:
		return Answer{Outcome: Served}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return Answer{Outcome: Refused, RetryAfter: parseRetryAfter(response.Header.Get("Retry-After"))}
	}
	return Answer{Outcome: Failed}
}

// newRequest returns the request for an attempt, with an id of its own, to the next target.
func (c *Client) newRequest(ctx context.Context, job Job, attempt int, deadline time.Time) (*http.Request, error) {
	url := c.urls[c.nextTarget.Add(1)%uint64(len(c.urls))]
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(c.body))
	if err != nil {
		return nil, err
	}
	header := request.Header
	header.Set("Req-Id", c.idPrefix+strconv.FormatUint(c.ids.Add(1), 16))
	header.Set("Req-Kind", c.class)
	header.Set("Req-Owner", job.Account)
	header.Set("Req-Deadline-Ms", strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	header.Set("Idempotency-Key", job.Key)
	if job.Subject != "" {
		header.Set("Cookie", "user="+job.Subject)
	}
	if job.Extra != "" {
		header.Set("Req-Extra", job.Extra)
	}
	if attempt > 0 {
		header.Set("Req-Retry", "1")
	}
	return request, nil
}

// lastEvent reads a job's events to the last one and returns it as an answer.
func lastEvent(body io.Reader) Answer {
	events := protocol.NewEventReader(body)
	for {
		event, err := events.Next()
		switch {
		case err != nil:
			return Answer{Outcome: Unanswered}
		case event.Name == "done":
			return Answer{Outcome: Served}
		case event.Name == "refused":
			return Answer{Outcome: Refused, RetryAfter: event.Retry}
		case event.Name == "failed":
			return Answer{Outcome: Failed}
		}
	}
}

// parseRetryAfter parses a Retry-After header of whole or decimal seconds. Anything else, and more than maxRetryAfter, is 0.
func parseRetryAfter(text string) time.Duration {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || seconds < 0 || seconds > maxRetryAfter.Seconds() {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

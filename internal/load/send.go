package load

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"brassdale/internal/protocol"
)

// Wire is what a generator speaks to its targets.
type Wire string

const (
	HTTP1  Wire = "http1"  // the platform's protocol
	HTTP2  Wire = "http2"  // the same over HTTP/2 in clear
	Events Wire = "events" // the front for progress: a job ends with its stream's last event
)

const (
	maxBodyBytes       = 1 << 20
	maxIdleConnections = 4096 // connections kept for a target
)

// Client sends jobs to dispatchers, each try to the next in turn, as a front deals them out.
type Client struct {
	wire       Wire
	class      string
	urls       []string
	http       http.Client
	nextTarget atomic.Uint64
	idPrefix   string // of the ids: two generators at once must not use the same
	ids        atomic.Uint64
	body       []byte
}

// NewClient makes a client. targets are addresses (host:port).
func NewClient(wire Wire, class string, targets []string) (*Client, error) {
	if len(targets) == 0 {
		return nil, fmt.Errorf("no target")
	}
	var salt [5]byte
	if _, err := rand.Read(salt[:]); err != nil {
		return nil, err
	}
	client := &Client{wire: wire, class: class, idPrefix: hex.EncodeToString(salt[:]), body: []byte("{}")}
	// No dial outlives its try: the try's context ends it.
	transport := &http.Transport{DialContext: (&net.Dialer{KeepAlive: -1}).DialContext, MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true}
	switch wire {
	case HTTP1, Events:
	case HTTP2:
		transport.Protocols = new(http.Protocols)
		transport.Protocols.SetUnencryptedHTTP2(true)
	default:
		return nil, fmt.Errorf("there is no wire %q; there are %s, %s, %s", wire, HTTP1, HTTP2, Events)
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

// Close gives up the connections that stand idle.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Send makes one try. It is a Sender.
func (c *Client) Send(ctx context.Context, job Job, attempt int, deadline time.Time) Answer {
	ctx, stop := context.WithDeadline(ctx, deadline)
	defer stop()
	url := c.urls[c.nextTarget.Add(1)%uint64(len(c.urls))]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(c.body))
	if err != nil {
		return Answer{Outcome: Unanswered}
	}
	id := c.idPrefix + strconv.FormatUint(c.ids.Add(1), 16) // a new one for a retry too
	header := req.Header
	header.Set("Req-Id", id)
	header.Set("Req-Kind", c.class)
	header.Set("Req-Owner", job.Account)
	header.Set("Req-Deadline-Ms", strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	header.Set("Idempotency-Key", job.Key)
	if job.Subject != "" {
		header.Set("Cookie", "user="+job.Subject)
	}
	if job.Work != "" {
		header.Set("Req-Extra", job.Work)
	}
	if attempt > 0 {
		header.Set("Req-Retry", "1")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Answer{Outcome: Unanswered}
	}
	defer resp.Body.Close()
	if c.wire == Events && resp.StatusCode == http.StatusOK {
		return lastEvent(resp.Body)
	}
	// The time of an answer is that of its last byte.
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBodyBytes)); err != nil {
		return Answer{Outcome: Unanswered}
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return Answer{Outcome: Served}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return Answer{Outcome: Refused, RetryAfter: parseRetryAfter(resp.Header.Get("Retry-After"))}
	}
	return Answer{Outcome: Failed}
}

// lastEvent follows a job's stream to its end.
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

// parseRetryAfter reads seconds, whole or decimal; 0 for none.
func parseRetryAfter(text string) time.Duration {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || seconds < 0 || seconds > 3600 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

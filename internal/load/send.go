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
	maxBody   = 1 << 20
	idleHosts = 4096 // connections kept for a target
)

// Client sends jobs to dispatchers, each try to the next in turn, as a front deals them out.
type Client struct {
	wire   Wire
	class  string
	urls   []string
	client http.Client
	next   atomic.Uint64
	prefix string // of the ids: two generators at once must not use the same
	ids    atomic.Uint64
	body   []byte
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
	c := &Client{wire: wire, class: class, prefix: hex.EncodeToString(salt[:]), body: []byte("{}")}
	// No dial outlives its try: the try's context ends it.
	t := &http.Transport{DialContext: (&net.Dialer{KeepAlive: -1}).DialContext, MaxIdleConnsPerHost: idleHosts, DisableCompression: true}
	switch wire {
	case HTTP1, Events:
	case HTTP2:
		t.Protocols = new(http.Protocols)
		t.Protocols.SetUnencryptedHTTP2(true)
	default:
		return nil, fmt.Errorf("there is no wire %q; there are %s, %s, %s", wire, HTTP1, HTTP2, Events)
	}
	c.client.Transport = t
	for _, target := range targets {
		if _, _, err := net.SplitHostPort(target); err != nil {
			return nil, fmt.Errorf("target: %w", err)
		}
		c.urls = append(c.urls, "http://"+target+"/"+class)
	}
	return c, nil
}

// Close gives up the connections that stand idle.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// Send makes one try. It is a Sender.
func (c *Client) Send(ctx context.Context, j Job, try int, deadline time.Time) Answer {
	ctx, stop := context.WithDeadline(ctx, deadline)
	defer stop()
	url := c.urls[c.next.Add(1)%uint64(len(c.urls))]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(c.body))
	if err != nil {
		return Answer{Outcome: Unanswered}
	}
	id := c.prefix + strconv.FormatUint(c.ids.Add(1), 16) // a new one for a retry too
	h := req.Header
	h.Set("Req-Id", id)
	h.Set("Req-Kind", c.class)
	h.Set("Req-Owner", j.Account)
	h.Set("Req-Deadline-Ms", strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	h.Set("Idempotency-Key", j.Key)
	if j.Subject != "" {
		h.Set("Cookie", "user="+j.Subject)
	}
	if j.Work != "" {
		h.Set("Req-Extra", j.Work)
	}
	if try > 0 {
		h.Set("Req-Retry", "1")
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return Answer{Outcome: Unanswered}
	}
	defer resp.Body.Close()
	if c.wire == Events && resp.StatusCode == http.StatusOK {
		return lastEvent(resp.Body)
	}
	// The time of an answer is that of its last byte.
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBody)); err != nil {
		return Answer{Outcome: Unanswered}
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return Answer{Outcome: Served}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return Answer{Outcome: Refused, RetryAfter: after(resp.Header.Get("Retry-After"))}
	}
	return Answer{Outcome: Failed}
}

// lastEvent follows a job's stream to its end.
func lastEvent(body io.Reader) Answer {
	in := protocol.NewEventReader(body)
	for {
		ev, err := in.Next()
		switch {
		case err != nil:
			return Answer{Outcome: Unanswered}
		case ev.Name == "done":
			return Answer{Outcome: Served}
		case ev.Name == "refused":
			return Answer{Outcome: Refused, RetryAfter: ev.Retry}
		case ev.Name == "failed":
			return Answer{Outcome: Failed}
		}
	}
}

// after reads seconds, whole or decimal; 0 for none.
func after(text string) time.Duration {
	s, err := strconv.ParseFloat(text, 64)
	if err != nil || s < 0 || s > 3600 {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}

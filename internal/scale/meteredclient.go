package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"brassdale/internal/traffic"
)

// meteredClient is an HTTP client of the run itself. It counts its traffic, which goes over the same interface as the fleet's.
type meteredClient struct {
	http  *http.Client
	meter traffic.Meter
}

// pollTimeout bounds get, getJSON and postJSON.
const pollTimeout = 5 * time.Second

// newMeteredClient returns a client with connections of its own.
func newMeteredClient() *meteredClient {
	c := &meteredClient{}
	c.http = &http.Client{Transport: &http.Transport{DialContext: c.meter.Dial(&net.Dialer{}), MaxIdleConnsPerHost: 2}}
	return c
}

// total returns the traffic of all of the client's connections.
func (c *meteredClient) total() traffic.Count { return traffic.Total(c.meter.Counts()) }

// send sends a request and returns the response's status and whole body.
func (c *meteredClient) send(ctx context.Context, timeout time.Duration, method, url string, body []byte) (status int, text []byte, err error) {
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	resp, err := c.http.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }() // the body was read to its end, or reading failed
	text, err = io.ReadAll(resp.Body)
	return resp.StatusCode, text, err
}

// sendChecked calls send with pollTimeout as the timeout. A status other than the wanted one is an error.
func (c *meteredClient) sendChecked(ctx context.Context, method, url string, body []byte, want int) ([]byte, error) {
	status, text, err := c.send(ctx, pollTimeout, method, url, body)
	if err == nil && status != want {
		err = fmt.Errorf("%s: %d %s", url, status, http.StatusText(status))
	}
	return text, err
}

// get returns the body of a resource.
func (c *meteredClient) get(ctx context.Context, url string) ([]byte, error) {
	return c.sendChecked(ctx, http.MethodGet, url, nil, http.StatusOK)
}

// getJSON reads a resource into the target.
func (c *meteredClient) getJSON(ctx context.Context, url string, target any) error {
	text, err := c.get(ctx, url)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, target)
}

// postJSON posts a value to a resource that responds without a body.
func (c *meteredClient) postJSON(ctx context.Context, url string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	_, err = c.sendChecked(ctx, http.MethodPost, url, body, http.StatusNoContent)
	return err
}

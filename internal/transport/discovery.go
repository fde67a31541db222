package transport

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"brassdale/internal/decisions/pacing"
	"brassdale/internal/protocol"
	"brassdale/internal/routing"
)

const (
	// A watch waits so long for news, and its answer must be here so much later. What discovery has to tell counts
	// as told 2 s after the wait, even where the call hangs: both are short, so that there is time to ask again.
	watchFor      = 2500 * time.Millisecond
	watchWithin   = 750 * time.Millisecond
	connectWithin = 500 * time.Millisecond
	mostList      = 4 << 20
)

// Discovery asks for the destination set. It is the core's routing.Discovery.
type Discovery struct {
	Address string
	Params  *protocol.Live
	client  http.Client
}

// Close gives up the connection of a discovery that is asked no more.
func (d *Discovery) Close() { d.client.CloseIdleConnections() }

// NewDiscovery makes a client of its own: no proxy of the environment may come between.
func NewDiscovery(address string, p *protocol.Live) *Discovery {
	// A discovery that is cut off takes no connection: that shows long before a watch's end.
	dialer := &net.Dialer{Timeout: connectWithin}
	return &Discovery{Address: address, Params: p,
		client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DialContext: dialer.DialContext}}}
}

// Watch is one call. Its end is set beforehand: a discovery that was cut off keeps a connection open and
// silent, and what it had to tell counts as told 2 s after the wait.
func (d *Discovery) Watch(ctx context.Context, revision int64) (routing.Update, error) {
	wait, within := watchFor, watchWithin
	if p := d.Params.Now(); p.Pushed() {
		wait, within = pacing.Agent(p.Rules.DrainGrace.Span())
	}
	url, end := fmt.Sprintf("http://%s/registry/instances", d.Address), time.Now().Add(within)
	if revision != routing.Whole {
		url += fmt.Sprintf("?index=%d&wait=%d", revision, wait.Milliseconds())
		end = end.Add(wait)
	}
	ctx, stop := context.WithDeadline(ctx, end)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return routing.Update{}, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return routing.Update{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, mostList))
	if err != nil {
		return routing.Update{}, err
	}
	if resp.StatusCode != http.StatusOK {
		return routing.Update{}, fmt.Errorf("discovery answered %d", resp.StatusCode)
	}
	l, err := protocol.ParseList(text)
	if err != nil {
		return routing.Update{}, err
	}
	if revision == routing.Whole && !l.Complete {
		return routing.Update{}, fmt.Errorf("asked for the whole list, discovery gave changes")
	}
	u := Update(l, d.Params.Now())
	u.Early = time.Until(end) > within+wait/2
	return u, nil
}

// Update gives a list in the core's terms.
func Update(l *protocol.List, p *protocol.Params) routing.Update {
	return routing.Update{Revision: l.Revision, Complete: l.Complete, Destinations: l.Destinations(p)}
}

package transport

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"brassdale/internal/decisions/polling"
	"brassdale/internal/protocol"
	"brassdale/internal/routing"
	"brassdale/internal/traffic"
)

const (
	discoveryDialTimeout = 500 * time.Millisecond // one that is cut off takes no connection: that shows long before a watch's end
	maxListBytes         = 4 << 20
)

// Discovery asks for the destination set. It is the core's routing.Discovery.
type Discovery struct {
	Address string
	Params  *protocol.LiveSettings
	meter   *traffic.Meter
	client  http.Client
}

// Service names the service by its address.
func (d *Discovery) Service() string { return d.Address }

// Close gives up the connection of a discovery that is asked no more.
func (d *Discovery) Close() { d.client.CloseIdleConnections() }

// NewDiscovery makes a client of its own: no proxy of the environment may come between. The meter counts what its calls cost;
// nil for none.
func NewDiscovery(address string, p *protocol.LiveSettings, m *traffic.Meter) *Discovery {
	dialer := &net.Dialer{Timeout: discoveryDialTimeout}
	return &Discovery{Address: address, Params: p, meter: m,
		client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DialContext: m.Dial(dialer)}}}
}

// Call is one call. Its end is set beforehand: a discovery that was cut off keeps a connection open and silent, and
// what it had to tell counts as told for all that.
func (d *Discovery) Call(ctx context.Context, revision int64, kind polling.Kind) (routing.ListUpdate, error) {
	p := d.Params.Current()
	wait, within := PacingRules(p).Timeouts(kind)
	url, end := fmt.Sprintf("http://%s/registry/instances", d.Address), time.Now().Add(wait+within)
	if revision != routing.FullList {
		url += fmt.Sprintf("?index=%d&wait=%d", revision, wait.Milliseconds())
	}
	ctx, stop := context.WithDeadline(ctx, end)
	defer stop()
	req, err := http.NewRequestWithContext(d.meter.Call(ctx, traffic.Discovery), http.MethodGet, url, nil)
	if err != nil {
		return routing.ListUpdate{}, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return routing.ListUpdate{}, err
	}
	defer resp.Body.Close()
	came := time.Now() // what the answer tells counts from when it was written
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return routing.ListUpdate{}, err
	}
	if resp.StatusCode != http.StatusOK {
		return routing.ListUpdate{}, statusError(resp.StatusCode)
	}
	l, err := protocol.ParseList(text)
	if err != nil {
		return routing.ListUpdate{}, err
	}
	if revision == routing.FullList && !l.Complete {
		return routing.ListUpdate{}, fmt.Errorf("asked for the whole list, discovery gave changes")
	}
	u := Update(l, d.Params.Current())
	u.ReceivedAt = came
	u.BeforeWaitEnded = time.Until(end) > within+wait/2
	return u, nil
}

// statusError is an answer of discovery that is no list.
type statusError int

func (e statusError) Error() string { return fmt.Sprintf("discovery answered %d", int(e)) }

// Is has an answer that promises nothing for now count as routing.ErrRefused.
func (e statusError) Is(target error) bool {
	return target == routing.ErrDiscoveryRejected && (e == http.StatusServiceUnavailable || e == http.StatusTooManyRequests)
}

// PacingRules gives what calls for the list go by.
func PacingRules(p *protocol.Settings) polling.Rules {
	return polling.Rules{ListsPushed: p.ListsPushed(), DrainGrace: p.Rules.DrainGrace.Duration(), Dispatchers: p.ReplicasOfMe}
}

// Update gives a list in the core's terms.
func Update(l *protocol.List, p *protocol.Settings) routing.ListUpdate {
	return routing.ListUpdate{Revision: l.Revision, Complete: l.Complete, Endpoints: l.Destinations(p)}
}

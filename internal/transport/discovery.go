package transport

import (
	"context"
	"errors"
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
	// discoveryDialTimeout limits connecting, so that a partition is detected long before the end of a long poll.
	discoveryDialTimeout = 500 * time.Millisecond

	maxListBytes = 4 << 20
)

// Discovery is the client of a discovery service, and the core's routing.Discovery. It may be used from any goroutine.
type Discovery struct {
	Address  string
	Settings *protocol.LiveSettings
	meter    *traffic.Meter
	client   http.Client
}

// NewDiscovery returns a client of the service at an address. It ignores the proxy settings of the environment. The meter counts
// the bytes of its calls; if it is nil, they are not counted.
func NewDiscovery(address string, settings *protocol.LiveSettings, meter *traffic.Meter) *Discovery {
	dialer := &net.Dialer{Timeout: discoveryDialTimeout}
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DialContext: meter.Dial(dialer)}
	return &Discovery{Address: address, Settings: settings, meter: meter, client: http.Client{Transport: transport}}
}

// Service returns the address, which is the name of the service.
func (d *Discovery) Service() string { return d.Address }

// Close closes the idle connection of a service that is not called any more.
func (d *Discovery) Close() { d.client.CloseIdleConnections() }

// errNotFullList says that discovery responded with changes although the full list was requested.
var errNotFullList = errors.New("discovery responded with changes to a request for the full list")

// Call makes one call: for the changes since a revision, or for the full list if the revision is routing.NoRevision. It blocks
// until the response, or until the deadline for the kind of call. The deadline is set in advance: a partitioned service may leave
// a connection open without sending anything, while the platform still counts this dispatcher as notified of its changes.
func (d *Discovery) Call(ctx context.Context, revision int64, kind polling.Kind) (routing.ListUpdate, error) {
	wait, responseTimeout := PollRules(d.Settings.Current()).Timeouts(kind)
	deadline := time.Now().Add(wait + responseTimeout)
	ctx, stop := context.WithDeadline(ctx, deadline)
	defer stop()
	list, receivedAt, err := d.fetch(ctx, revision, wait)
	if err != nil {
		return routing.ListUpdate{}, err
	}
	if revision == routing.NoRevision && !list.Complete {
		return routing.ListUpdate{}, errNotFullList
	}
	update := NewListUpdate(list, d.Settings.Current())
	update.ReceivedAt = receivedAt
	update.BeforeWaitEnded = time.Until(deadline) > responseTimeout+wait/2
	return update, nil
}

// fetch requests and decodes a list. receivedAt is when the head of the response was received: the age of the list counts from
// then.
func (d *Discovery) fetch(ctx context.Context, revision int64, wait time.Duration) (list *protocol.List, receivedAt time.Time, err error) {
	url := fmt.Sprintf("http://%s/registry/instances", d.Address)
	if revision != routing.NoRevision {
		url += fmt.Sprintf("?index=%d&wait=%d", revision, wait.Milliseconds())
	}
	request, err := http.NewRequestWithContext(d.meter.Call(ctx, traffic.Discovery), http.MethodGet, url, nil)
	if err != nil {
		return nil, time.Time{}, err
	}
	response, err := d.client.Do(request)
	if err != nil {
		return nil, time.Time{}, err
	}
	defer closeQuietly(response.Body)
	receivedAt = time.Now()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes))
	if err != nil {
		return nil, time.Time{}, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, time.Time{}, statusError(response.StatusCode)
	}
	list, err = protocol.ParseList(text)
	return list, receivedAt, err
}

// statusError is a response of discovery with a status other than 200.
type statusError int

// Error implements error.
func (e statusError) Error() string { return fmt.Sprintf("discovery answered %d", int(e)) }

// Is reports whether the target is routing.ErrDiscoveryRejected and the status says that the service is overloaded.
func (e statusError) Is(target error) bool {
	return target == routing.ErrDiscoveryRejected && (e == http.StatusServiceUnavailable || e == http.StatusTooManyRequests)
}

// PollRules returns the rules of polling that follow from the settings.
func PollRules(settings *protocol.Settings) polling.Rules {
	return polling.Rules{ListsPushed: settings.ListsPushed(), DrainGrace: settings.Rules.DrainGrace.Duration(), Dispatchers: settings.ReplicasOfMe}
}

// NewListUpdate converts a list to the core's type.
func NewListUpdate(list *protocol.List, settings *protocol.Settings) routing.ListUpdate {
	return routing.ListUpdate{Revision: list.Revision, Complete: list.Complete, Endpoints: list.Endpoints(settings)}
}

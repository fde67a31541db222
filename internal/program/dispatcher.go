package program

import (
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"brassdale/internal/protocol"
	"brassdale/internal/routing"
	"brassdale/internal/traffic"
	"brassdale/internal/transport"
	"brassdale/internal/transport/http2"
	"brassdale/scheduler"
)

// dispatcher is the process, wired together. Its fields do not change once build has returned, but for those with a lock or an
// owner of their own.
type dispatcher struct {
	log              *slog.Logger
	settings         *protocol.LiveSettings
	core             *routing.Core
	endpoints        *transport.EndpointPool
	endpointList     *routing.EndpointList
	inFlightIDs      *transport.InFlightIDs
	idempotencyTable *transport.IdempotencyTable // nil where each request is a job of its own
	quotas           *transport.AccountQuotas    // nil where accounts have none
	frontends        []*frontend
	progress         *transport.ProgressFrontend // nil where that frontend is off
	http2            *http2.Frontend             // nil where that frontend is off
	cache            *endpointCache              // nil where the endpoint list is not cached
	retriesBounded   bool                        // a metric says how many retries were denied
	retryRatio       float64                     // of the operator's file; owned by the goroutine of reloader.run
	fleet            *fleetAgent                 // nil where this dispatcher is in no fleet
	relayServer      *http.Server                // for callers that the peer process relays; nil where nobody can
	relayPath        string                      // of its socket; empty for none
	meter            *traffic.Meter              // of control traffic
	reloader         *reloader
	operations       *operations
	socket           string      // where successors find this process
	serving          atomic.Bool // accepts clients
	handedOver       atomic.Bool // the successor accepts them

	mu        sync.Mutex // guards what is below
	limits    resourceLimits
	peer      *transport.PeerProcess  // the predecessor or successor; nil for none
	peerUsage *protocol.HandoverUsage // what it uses of the limits; nil for none
}

// frontend is a listener with its handler.
type frontend struct {
	name    string
	handler interface {
		http.Handler
		StartShutdown()
		PassToSuccessor(bool)
		DedicateToControl()
	}
	listener *transport.Listener
	served   net.Listener // the listener, or what wraps it
	server   *http.Server
}

// multiplexed reports whether a connection carries several requests at a time.
func (f *frontend) multiplexed() bool { return f.listener.Multiplexed() }

func newDispatcher(in *inputs, log *slog.Logger) *dispatcher {
	d := &dispatcher{
		log:         log,
		settings:    &protocol.LiveSettings{},
		inFlightIDs: &transport.InFlightIDs{},
		meter:       &traffic.Meter{},
		socket:      runtimeFile(in.env, in.config, ".sock"),
	}
	d.operations = &operations{
		dispatcher: d,
		detached:   &detachedWorkers{path: runtimeFile(in.env, in.config, ".detached"), dispatcher: in.config.Name},
	}
	return d
}

// registerClasses has the metrics of all classes exist from the start.
func (d *dispatcher) registerClasses(settings *protocol.Settings) {
	for i := range settings.Classes {
		d.core.Counters().AddClass(settings.Classes[i].Name)
	}
}

// detach detaches workers that were detached before.
func (d *dispatcher) detach(ids []string) {
	for _, id := range ids {
		d.core.SetDetached(scheduler.WorkerID(id), true)
	}
}

// setRetryRatio applies the operator's own limit of retries and hedged attempts for each first attempt.
func (d *dispatcher) setRetryRatio(ratio float64) {
	d.retryRatio = ratio
	if d.fleet == nil {
		d.core.SetRetryRatio(ratio)
		return
	}
	d.fleet.setLocalRetryRatio(ratio)
}

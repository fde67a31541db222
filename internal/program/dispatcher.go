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

// dispatcher holds the parts of the process. Its fields do not change once build has returned, with two exceptions: fields with a lock
// or an owner of their own, and relayServer and relayPath, which takeOver sets before serve is called.
type dispatcher struct {
	log              *slog.Logger
	settings         *protocol.LiveSettings
	core             *routing.Core
	endpoints        *transport.EndpointPool
	endpointList     *routing.EndpointList
	inFlightIDs      *transport.InFlightIDs
	idempotencyTable *transport.IdempotencyTable // nil if requests are not deduplicated
	quotas           *transport.AccountQuotas    // nil if accounts have no quotas
	frontends        []*frontend
	progress         *transport.ProgressFrontend // nil if that frontend is off
	http2            *http2.Frontend             // nil if that frontend is off
	cache            *endpointCache              // nil if the endpoint list is not cached
	retriesBounded   bool                        // retries may be denied by a limit; a metric counts the denied retries
	retryRatio       float64                     // limit in the operator's file; owned by the goroutine of reloader.run
	fleet            *fleetAgent                 // nil if this dispatcher is in no fleet
	relayServer      *http.Server                // for requests that the peer process relays; nil if it can relay none
	relayPath        string                      // path of relayServer's socket; empty if there is none
	meter            *traffic.Meter              // of control traffic
	reloader         *reloader
	operations       *operations
	socketPath       string      // path at which successors connect to this process
	serving          atomic.Bool // accepts clients
	handedOver       atomic.Bool // the successor accepts clients
	sharesMemory     atomic.Bool // a successor runs

	mu               sync.Mutex              // guards the fields below
	limits           resourceLimits          // of a process that runs alone
	limitsBesidePeer resourceLimits          // of a process that shares the memory with a peer process
	peer             *transport.PeerProcess  // the predecessor or successor; nil if neither runs
	peerUsage        *protocol.HandoverUsage // what peer uses of the limits; nil if there is no peer
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
	served   net.Listener // the listener, or a wrapper of it
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
		socketPath:  runtimeFile(in.env, in.config, ".sock"),
	}
	d.operations = &operations{
		dispatcher: d,
		detached:   &detachedWorkers{path: runtimeFile(in.env, in.config, ".detached"), dispatcher: in.config.Name},
	}
	return d
}

// registerClasses creates the metrics of all classes, so that they exist before the first request.
func (d *dispatcher) registerClasses(settings *protocol.Settings) {
	for i := range settings.Classes {
		d.core.Counters().AddClass(settings.Classes[i].Name)
	}
}

// detach detaches workers that were detached before this process started.
func (d *dispatcher) detach(ids []string) {
	for _, id := range ids {
		d.core.SetDetached(scheduler.WorkerID(id), true)
	}
}

// setRetryRatio applies the limit of the operator's file: ratio is the number of retries and hedged attempts per first attempt.
func (d *dispatcher) setRetryRatio(ratio float64) {
	d.retryRatio = ratio
	if d.fleet == nil {
		d.core.SetRetryRatio(ratio)
		return
	}
	d.fleet.setLocalRetryRatio(ratio)
}

package program

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"brassdale/internal/protocol"
	"brassdale/internal/transport"
	"brassdale/scheduler"
)

// operationTimeout is how long a call at the admin API may take. Callers wait for a second.
const operationTimeout = 600 * time.Millisecond

// operations is what the admin API does. It may be used from any goroutine.
type operations struct {
	dispatcher *dispatcher
	detached   *detachedWorkers

	mu sync.Mutex // held during a call that detaches a worker, and while a successor gets the list of these
}

// Ready reports whether this process accepts clients.
func (o *operations) Ready() bool { return o.dispatcher.serving.Load() }

// Metrics returns all metrics, a line each.
func (o *operations) Metrics() string {
	dispatcher := o.dispatcher
	counted := dispatcher.core.Counters().Metrics()
	var text strings.Builder
	text.WriteString(protocol.EncodeMetrics(counted))
	unanswered := 0
	for _, f := range dispatcher.frontends {
		unanswered += f.listener.ClosedWithoutResponse()
	}
	fmt.Fprintf(&text, "connections_unanswered=%d\n", unanswered)
	if !counted.ListAcceptedAt.IsZero() {
		fmt.Fprintf(&text, "list_age_ms=%d\n", time.Since(counted.ListAcceptedAt).Milliseconds())
	}
	if dispatcher.http2 != nil {
		text.WriteString(dispatcher.http2.Metrics())
	}
	if dispatcher.quotas != nil {
		text.WriteString(dispatcher.quotas.Metrics())
	}
	if dispatcher.retriesBounded {
		fmt.Fprintf(&text, "retries_denied=%d\n", counted.RetriesDenied)
	}
	if dispatcher.fleet != nil {
		fmt.Fprintf(&text, "repeats_denied=%d\n", counted.FleetRetriesDenied)
		text.WriteString(dispatcher.fleet.metrics())
	}
	if dispatcher.cache != nil {
		text.WriteString(dispatcher.cache.metrics())
	}
	return text.String()
}

// metrics returns the metrics of the fleet and of control traffic, a line each.
func (a *fleetAgent) metrics() string {
	var text strings.Builder
	effective := a.agent.Effective()
	newest := effective.Versions[len(effective.Versions)-1]
	fmt.Fprintf(&text, "fleet_version=%d\nfleet_lapsed=%t\n", newest, effective.LeaseExpired)
	control := a.dispatcher.meter.Counts()
	for _, kind := range slices.Sorted(maps.Keys(control)) {
		count := control[kind]
		fmt.Fprintf(&text, "control_%s_sent=%d\n", kind, count.Sent)
		fmt.Fprintf(&text, "control_%s_received=%d\n", kind, count.Received)
		fmt.Fprintf(&text, "control_%s_messages=%d\n", kind, count.Messages)
	}
	if a.zoneRouter != nil {
		fmt.Fprintf(&text, "zones_shed=%d\n", a.zoneRouter.ShedCount())
	}
	return text.String()
}

// Detach has a worker get no jobs.
func (o *operations) Detach(ctx context.Context, id string) error {
	return o.setDetached(ctx, id, true)
}

// Attach has a worker that was detached get jobs again.
func (o *operations) Attach(ctx context.Context, id string) error {
	return o.setDetached(ctx, id, false)
}

// setDetached detaches a worker, or attaches it again: in the peer process, if there is one, on file, and in the scheduler, in
// this order, so that a success is true of all three. A peer
// that does not answer is passed over; after an error the peer may have applied the change. Errors for the caller are a transport.OperationError.
func (o *operations) setDetached(ctx context.Context, id string, isDetached bool) error {
	deadline := time.Now().Add(operationTimeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	o.mu.Lock()
	defer o.mu.Unlock()
	known, err := o.dispatcher.core.KnowsWorker(ctx, scheduler.WorkerID(id))
	if err != nil {
		return err
	}
	if !known {
		return &transport.OperationError{Status: http.StatusNotFound, Reason: "no such worker was ever listed"}
	}
	if !isDetached && o.dispatcher.fleet.hasDetached(id) {
		return &transport.OperationError{Status: http.StatusConflict, Reason: "the fleet has it out: propose rules without it"}
	}
	if peer := o.dispatcher.peerProcess(); peer != nil {
		done, answered := peer.Ask(protocol.HandoverMessage{Worker: id, Detached: isDetached}, deadline)
		if answered && !done {
			return &transport.OperationError{Status: http.StatusConflict, Reason: "the other process could not do it"}
		}
	}
	return o.applyDetached(id, isDetached)
}

// handOver sends a successor what it begins with. No worker is detached between the list of these and the moment from which the
// successor is notified of each.
func (o *operations) handOver(peer *transport.PeerProcess, handover *protocol.Handover, listeners []*transport.Listener) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	handover.Detached = o.detached.list()
	o.dispatcher.setPeer(peer)
	return peer.HandOver(handover, listeners)
}

// applyDetached detaches a worker, or attaches it again, in this process alone.
func (o *operations) applyDetached(id string, isDetached bool) error {
	if err := o.detached.set(id, isDetached); err != nil {
		return err
	}
	o.dispatcher.core.SetDetached(scheduler.WorkerID(id), isDetached)
	if cache := o.dispatcher.cache; cache != nil {
		cache.writer.SetDetached(o.detached.list())
	}
	return nil
}

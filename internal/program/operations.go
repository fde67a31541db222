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

// operations implements the calls of the admin API. It may be used from any goroutine.
type operations struct {
	dispatcher *dispatcher
	detached   *detachedWorkers

	mu sync.Mutex // held while a worker is detached or reattached, and while a successor is sent the list of detached workers
}

// Ready reports whether this process accepts clients.
func (o *operations) Ready() bool { return o.dispatcher.serving.Load() }

// Metrics returns all metrics, one a line.
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

// metrics returns the metrics of the fleet and of control traffic, one a line.
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

// Detach stops sending jobs to a worker.
func (o *operations) Detach(ctx context.Context, id string) error {
	return o.setDetached(ctx, id, true)
}

// Attach resumes sending jobs to a detached worker.
func (o *operations) Attach(ctx context.Context, id string) error {
	return o.setDetached(ctx, id, false)
}

// setDetached detaches or reattaches a worker: first in the peer process, if there is one, then in the file, then in the scheduler.
// Success means that all three have applied the change, except for a peer process that does not answer. After an error the peer
// process may have applied the change. An error for the caller is a *transport.OperationError.
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
		done, err := peer.Ask(protocol.HandoverMessage{Worker: id, Detached: isDetached}, deadline)
		if err == nil && !done {
			return &transport.OperationError{Status: http.StatusConflict, Reason: "the other process could not do it"}
		}
	}
	return o.applyDetached(id, isDetached)
}

// handOver sends a successor its initial state. It holds o.mu, so that no worker is detached or reattached between two steps: the
// list of detached workers is made, and the successor becomes the peer process, which is notified of each later change.
func (o *operations) handOver(peer *transport.PeerProcess, handover *protocol.Handover, listeners []*transport.Listener) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	handover.Detached = o.detached.list()
	o.dispatcher.setPeer(peer)
	return peer.HandOver(handover, listeners)
}

// applyDetached detaches or reattaches a worker in this process only.
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

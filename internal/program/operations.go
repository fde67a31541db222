package program

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"brassdale/internal/protocol"
	"brassdale/internal/transport"
	"brassdale/scheduler"
)

// A caller at the admin endpoint waits for a second. By then it has its answer.
const answerCalls = 600 * time.Millisecond

// operations is what the admin endpoint opens on.
type operations struct {
	d    *dispatcher
	file *detached

	mu sync.Mutex // one call that changes something at a time
}

func (o *operations) Ready() bool { return o.d.serving.Load() }
func (o *operations) Metrics() string {
	counted := o.d.core.Counters().Metrics()
	figures := protocol.EncodeMetrics(counted)
	unanswered := 0
	for _, f := range o.d.fronts {
		unanswered += f.gate.Unanswered()
	}
	figures += fmt.Sprintf("connections_unanswered=%d\n", unanswered)
	if !counted.ListReceivedAt.IsZero() {
		figures += fmt.Sprintf("list_age_ms=%d\n", time.Since(counted.ListReceivedAt).Milliseconds())
	}
	if o.d.http2 != nil {
		figures += o.d.http2.Metrics()
	}
	if o.d.accounts != nil {
		figures += o.d.accounts.Metrics()
	}
	if o.d.budgeted {
		figures += fmt.Sprintf("retries_denied=%d\n", counted.RetriesDenied)
	}
	if o.d.agreed != nil {
		s := o.d.agreed.agent.Effective()
		figures += fmt.Sprintf("repeats_denied=%d\nfleet_version=%d\nfleet_lapsed=%t\n", counted.FleetRetriesDenied, s.Versions[len(s.Versions)-1], s.LeaseExpired)
		control := o.d.meter.Counts()
		for _, kind := range slices.Sorted(maps.Keys(control)) {
			c := control[kind]
			figures += fmt.Sprintf("control_%s_sent=%d\ncontrol_%s_received=%d\ncontrol_%s_messages=%d\n", kind, c.Sent, kind, c.Received, kind, c.Messages)
		}
		if g := o.d.agreed.guide; g != nil {
			figures += fmt.Sprintf("zones_shed=%d\n", g.ShedCount())
		}
	}
	if o.d.saved != nil {
		figures += o.d.saved.figures()
	}
	return figures
}

func (o *operations) Detach(ctx context.Context, id string) error { return o.put(ctx, id, true) }
func (o *operations) Attach(ctx context.Context, id string) error { return o.put(ctx, id, false) }

// put takes a worker out by hand, or puts it back: in the other process too while there is one, on file, and in the
// module, in this order, so that a yes is true of all three.
func (o *operations) put(ctx context.Context, id string, out bool) error {
	until := time.Now().Add(answerCalls)
	ctx, stop := context.WithDeadline(ctx, until)
	defer stop()
	o.mu.Lock()
	defer o.mu.Unlock()
	known, err := o.d.core.KnowsWorker(ctx, scheduler.WorkerID(id))
	if err != nil {
		return err
	}
	if !known {
		return &transport.OperationError{Status: http.StatusNotFound, Reason: "no such worker was ever listed"}
	}
	if !out && o.d.agreed.has(id) {
		return &transport.OperationError{Status: http.StatusConflict, Reason: "the fleet has it out: propose rules without it"}
	}
	if sibling := o.d.sibling(); sibling != nil {
		if yes, heard := sibling.Ask(protocol.HandoverMessage{Worker: id, Detached: out}, until); heard && !yes {
			return &transport.OperationError{Status: http.StatusConflict, Reason: "the other process could not do it"}
		}
	}
	return o.keep(id, out)
}

// hand gives a successor its beginning. No call comes between the list of who is out and the moment from which the
// successor is told of each call.
func (o *operations) hand(sibling *transport.PeerProcess, h *protocol.Handover, gates []*transport.Listener) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	h.Detached = o.file.list()
	o.d.setSibling(sibling)
	return sibling.HandOver(h, gates)
}

// keep does it in this process.
func (o *operations) keep(id string, out bool) error {
	if err := o.file.put(id, out); err != nil {
		return err
	}
	o.d.core.SetDetached(scheduler.WorkerID(id), out)
	if o.d.saved != nil {
		o.d.saved.keeper.SetDetached(o.file.list())
	}
	return nil
}

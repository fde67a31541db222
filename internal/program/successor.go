package program

import (
	"context"
	"net"
	"runtime/debug"
	"slices"
	"time"

	"brassdale/internal/listen"
	"brassdale/internal/protocol"
	"brassdale/internal/routing"
	"brassdale/internal/transport"
)

const (
	usageReportInterval = 50 * time.Millisecond
	// spareOutbound is the number of connections to endpoints that a process may still open after the handover, because not every
	// attempt finds an open connection.
	spareOutbound = 8
)

// listenForSuccessors accepts successors from now on, in a goroutine that ends when a successor takes over the socket.
func (d *dispatcher) listenForSuccessors(ctx context.Context) {
	socket, err := transport.ListenForSuccessor(d.socketPath)
	if err != nil {
		d.log.Warn("handover socket not available", "err", err)
		return
	}
	go d.acceptSuccessors(ctx, socket)
}

// acceptSuccessors serves one successor, and then returns. A process that connects while this one has a peer process is disconnected,
// and starts as if it had no predecessor.
func (d *dispatcher) acceptSuccessors(ctx context.Context, socket *net.UnixListener) {
	defer func() { _ = socket.Close() }() // no process connects to it any more
	failures := listen.Failures{Log: d.log}
	for {
		peer, err := transport.AcceptSuccessor(socket, failures.Failed, d.log)
		if err != nil {
			return
		}
		if d.peerProcess() != nil {
			peer.Close()
			continue
		}
		handover, err := d.newHandover(ctx)
		if err != nil { // the context has ended
			peer.Close()
			continue
		}
		d.serveSuccessor(ctx, peer, handover)
		return
	}
}

// serveSuccessor hands this process's state to a successor and serves its messages until either process ends. After that the
// socket's path belongs to the successor. If the successor ended first, the path belongs to a new socket of this process.
func (d *dispatcher) serveSuccessor(ctx context.Context, peer *transport.PeerProcess, handover *protocol.Handover) {
	defer peer.Close()
	d.sharesMemory.Store(true)
	d.applyResourceLimits()
	debug.FreeOSMemory() // what was in use until now is the successor's
	var listeners []*transport.Listener
	for _, f := range d.frontends {
		handover.Frontends = append(handover.Frontends, f.name)
		listeners = append(listeners, f.listener)
	}
	if err := d.operations.handOver(peer, handover, listeners); err != nil {
		d.log.Warn("handover failed", "err", err)
	} else {
		d.log.Info("handover started")
		d.announceKeyedRuns(ctx, peer)
		peer.Run(func(message protocol.HandoverMessage) { d.handleSuccessorMessage(peer, message) })
	}
	if d.serving.Load() { // else this process is shutting down
		d.resumeWithoutPeer(ctx, peer)
	}
}

// newHandover returns what a successor starts with, except the frontends and detached workers. It waits for the actors that own the
// state, and fails only when the context ends.
func (d *dispatcher) newHandover(ctx context.Context) (*protocol.Handover, error) {
	known, err := d.endpointList.Snapshot(ctx)
	if err != nil {
		return nil, err
	}
	learned, err := d.core.LearnedState(ctx)
	if err != nil {
		return nil, err
	}
	return &protocol.Handover{
		ListUnconfirmed: d.endpointList.Source().Name == routing.SourceCache,
		Discovery:       d.reloader.discoveryAddress(),
		Revision:        known.Revision,
		Relay:           d.relayPath,
		LearnedState:    learned,
		Classes:         d.settings.StatisticsByName(learned),
		Members:         protocol.KnownMembers(known.Endpoints, d.settings.Current()),
	}, nil
}

func (d *dispatcher) handleSuccessorMessage(peer *transport.PeerProcess, message protocol.HandoverMessage) {
	switch {
	case message.Serving:
		d.handOverClients(peer, message.Relay)
	case message.KeyedRuns != nil:
		d.core.AdoptKeyedRuns(message.KeyedRuns)
	case message.Key != "":
		known := d.idempotencyTable != nil && d.idempotencyTable.Has(message.Key)
		peer.Notify(protocol.HandoverMessage{AnswerTo: message.QuestionID, Yes: known})
	case message.ReserveID != "":
		reserved := d.inFlightIDs.Reserve(message.ReserveID, peer)
		peer.Notify(protocol.HandoverMessage{AnswerTo: message.QuestionID, Yes: reserved})
	case message.ReleaseID != "":
		d.inFlightIDs.Release(message.ReleaseID, peer)
	case message.Worker != "":
		d.handleDetachMessage(peer, message)
	}
}

// handOverClients leaves new clients to the successor, and starts to report this process's usage until either process ends.
func (d *dispatcher) handOverClients(peer *transport.PeerProcess, relayPath string) {
	d.handedOver.Store(true)
	d.shareIdempotencyKeys(peer, relayPath, false)
	for _, f := range d.frontends {
		f.listener.Pause()
		f.handler.PassToSuccessor(true)
	}
	d.log.Info("handover complete, listeners paused", "open_requests", d.core.OpenRequests())
	go d.reportUsage(peer)
}

// reportUsage reports to the successor how much this process uses of the limits that both processes share, whenever the usage has
// changed, and closes connections for it. It returns when the successor ends.
func (d *dispatcher) reportUsage(peer *transport.PeerProcess) {
	ticker := time.NewTicker(usageReportInterval)
	defer ticker.Stop()
	reported := protocol.HandoverUsage{}
	for {
		d.evictForSuccessor()
		usage := d.usage()
		d.endpoints.SetWorkerConnLimit(usage.Outbound)
		if !sameUsage(usage, reported) {
			peer.Notify(protocol.HandoverMessage{Usage: &usage})
			reported = usage
		}
		select {
		case <-ticker.C:
		case <-peer.Gone():
			return
		}
	}
}

// usage returns what this process uses of the limits.
func (d *dispatcher) usage() protocol.HandoverUsage {
	usage := protocol.HandoverUsage{Outbound: d.endpoints.OpenConnections() + spareOutbound}
	if d.quotas != nil {
		usage.OpenJobs = d.quotas.OpenJobs()
	}
	for _, f := range d.frontends {
		usage.Inbound = append(usage.Inbound, f.listener.Connections())
	}
	return usage
}

func sameUsage(a, b protocol.HandoverUsage) bool {
	return a.Outbound == b.Outbound && a.OpenJobs == b.OpenJobs && slices.Equal(a.Inbound, b.Inbound)
}

// resumeWithoutPeer makes this process accept clients again after its successor has ended, and accepts successors at a new socket,
// because the path leads to the socket of the ended successor.
func (d *dispatcher) resumeWithoutPeer(ctx context.Context, peer *transport.PeerProcess) {
	d.inFlightIDs.ReleaseAll(peer)
	d.setPeer(nil)
	d.handedOver.Store(false)
	d.sharesMemory.Store(false)
	for _, f := range d.frontends {
		f.handler.PassToSuccessor(false)
		f.listener.Resume()
	}
	d.applyResourceLimits()
	d.listenForSuccessors(ctx)
	d.log.Error("successor ended, continuing alone")
}

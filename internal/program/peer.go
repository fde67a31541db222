package program

import (
	"context"
	"fmt"
	"os"
	"slices"

	"brassdale/internal/listen"
	"brassdale/internal/protocol"
	"brassdale/internal/transport"
	"brassdale/scheduler"
)

// peerProcess returns the predecessor or successor that runs at the same time as this process; nil if there is none.
func (d *dispatcher) peerProcess() *transport.PeerProcess {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.peer
}

// setPeer sets the peer process, and with it how many processes act as this dispatcher. It ends the sharing of idempotency keys if
// the peer is nil.
func (d *dispatcher) setPeer(peer *transport.PeerProcess) {
	d.mu.Lock()
	d.peer = peer
	d.mu.Unlock()
	if peer != nil {
		d.core.SetProcessCount(2)
		return
	}
	d.core.SetProcessCount(1)
	d.core.AnnounceKeyedRuns(nil)
	d.shareIdempotencyKeys(nil, "", false)
}

// setPeerUsage sets what the peer process uses of the limits of both processes; nil if there is no peer process.
func (d *dispatcher) setPeerUsage(usage *protocol.HandoverUsage) {
	d.mu.Lock()
	d.peerUsage = usage
	d.mu.Unlock()
	d.applyResourceLimits()
}

// keyedRunsPerMessage bounds a message, so that answers are not delayed behind it.
const keyedRunsPerMessage = 128

// announceKeyedRuns sends a successor the idempotency keys that may have run here, and then each further one. It is called after the handover
// was sent, which must be the first message, and returns early if the context ends.
func (d *dispatcher) announceKeyedRuns(ctx context.Context, peer *transport.PeerProcess) {
	d.core.AnnounceKeyedRuns(func(run scheduler.KeyedRun) { notifyKeyedRuns(peer, []scheduler.KeyedRun{run}) })
	runs, err := d.core.KeyedRuns(ctx)
	if err != nil {
		return
	}
	for batch := range slices.Chunk(runs, keyedRunsPerMessage) {
		notifyKeyedRuns(peer, batch)
	}
}

func notifyKeyedRuns(peer *transport.PeerProcess, runs []scheduler.KeyedRun) {
	peer.Notify(protocol.HandoverMessage{KeyedRuns: runs})
}

// shareIdempotencyKeys connects the idempotency table, if there is one, to the table of a peer process; a nil peer disconnects it.
func (d *dispatcher) shareIdempotencyKeys(peer *transport.PeerProcess, relayPath string, peerIsOlder bool) {
	if d.idempotencyTable != nil {
		d.idempotencyTable.SetPeer(peer, relayPath, peerIsOlder)
	}
}

// handleDetachMessage applies in this process what an operator requested at the admin API of the peer process.
func (d *dispatcher) handleDetachMessage(peer *transport.PeerProcess, message protocol.HandoverMessage) {
	err := d.operations.applyDetached(message.Worker, message.Detached)
	peer.Notify(protocol.HandoverMessage{AnswerTo: message.QuestionID, Yes: err == nil})
}

// serveRelayed serves the requests that the peer process relays because a job in this process has their idempotency key. Only the
// peer process counts these requests against quotas.
func (d *dispatcher) serveRelayed() {
	if d.idempotencyTable == nil {
		return
	}
	path := fmt.Sprintf("%s.%d.progress", d.socketPath, os.Getpid())
	socket, err := transport.ListenPrivate(path)
	if err != nil {
		d.log.Warn("idempotency keys not shared with peer process", "err", err)
		return
	}
	jobs := transport.NewJobFrontend(d.core, d.settings, d.frontends[0].listener, d.inFlightIDs, d.idempotencyTable, nil, nil, d.log)
	handler := transport.RelayHandler{Jobs: jobs, Progress: d.progress}
	server := transport.Server(handler, d.log)
	d.relayPath = path
	d.relayServer = server
	go func() { _ = server.Serve(listen.Durable(socket, d.log)) }() // returns http.ErrServerClosed at the end
}

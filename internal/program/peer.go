package program

import (
	"fmt"
	"os"

	"brassdale/internal/listen"
	"brassdale/internal/protocol"
	"brassdale/internal/transport"
)

// peerProcess returns the predecessor or successor that runs at the same time as this process; nil for none.
func (d *dispatcher) peerProcess() *transport.PeerProcess {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.peer
}

// setPeer sets the process that runs at the same time as this one, nil for none, and how many act as this dispatcher.
func (d *dispatcher) setPeer(peer *transport.PeerProcess) {
	d.mu.Lock()
	d.peer = peer
	d.mu.Unlock()
	if peer != nil {
		d.core.SetProcessCount(2)
		return
	}
	d.core.SetProcessCount(1)
	d.shareIdempotencyKeys(nil, "", false)
}

// setPeerUsage sets what the peer process uses of the limits of both; nil for nothing.
func (d *dispatcher) setPeerUsage(usage *protocol.HandoverUsage) {
	d.mu.Lock()
	d.peerUsage = usage
	d.mu.Unlock()
	d.applyResourceLimits()
}

// shareIdempotencyKeys has the table of idempotency keys, if there is one, work together with that of a peer process; nil for none.
func (d *dispatcher) shareIdempotencyKeys(peer *transport.PeerProcess, relayPath string, peerIsOlder bool) {
	if d.idempotencyTable != nil {
		d.idempotencyTable.SetPeer(peer, relayPath, peerIsOlder)
	}
}

// handleDetachMessage does here what an operator asks for at the admin API of the peer process.
func (d *dispatcher) handleDetachMessage(peer *transport.PeerProcess, message protocol.HandoverMessage) {
	err := d.operations.applyDetached(message.Worker, message.Detached)
	peer.Notify(protocol.HandoverMessage{AnswerTo: message.QuestionID, Yes: err == nil})
}

// serveRelayed serves callers that come to the peer process with the idempotency key of a job of this one. Their quotas count
// where they came in.
func (d *dispatcher) serveRelayed() {
	if d.idempotencyTable == nil {
		return
	}
	path := fmt.Sprintf("%s.%d.progress", d.socket, os.Getpid())
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
	go func() { _ = server.Serve(listen.Durable(socket, d.log)) }() // ends with http.ErrServerClosed
}

package program

import (
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"brassdale/internal/protocol"
	"brassdale/internal/transport"
	"brassdale/scheduler"
)

// predecessorTimeout is how long a predecessor may take to hand over before this process starts without that. The platform expects this process
// to be ready within 6 s.
const predecessorTimeout = 3 * time.Second

// runtimeFile returns the path of a file in the temporary directory, which outlives the process but not a restart of the machine.
// The name contains the address for clients, as several dispatchers may share the directory.
func runtimeFile(env func(string) string, config *protocol.Config, extension string) string {
	directory := env("TMPDIR")
	if directory == "" {
		directory = os.TempDir()
	}
	replaceInvalid := func(char rune) rune {
		if char == '/' || char == 0 {
			return '_'
		}
		return char
	}
	return filepath.Join(directory, "brassdale-"+strings.Map(replaceInvalid, config.Listen)+extension)
}

// predecessor is the process that this one replaces, with the state that it handed over. The methods accept a nil receiver: there
// is then no predecessor.
type predecessor struct {
	peer      *transport.PeerProcess
	handover  *protocol.Handover
	listeners map[string]*net.TCPListener // by name of the frontend; only listeners that no frontend has taken yet
}

// findPredecessor connects to the predecessor. found is nil if there is none, if only its socket file is left, or if it does not answer; then
// silent is the process that does not answer.
func (d *dispatcher) findPredecessor() (found *predecessor, silent *transport.PeerProcess) {
	peer, handover, listeners, err := transport.ConnectToPredecessor(d.socketPath, time.Now().Add(predecessorTimeout), d.log)
	if errors.Is(err, transport.ErrPredecessorSilent) {
		d.log.Warn("predecessor does not answer, rejecting all requests until it ends")
		return nil, peer
	}
	if err != nil {
		if _, statErr := os.Lstat(d.socketPath); statErr == nil {
			d.log.Warn("predecessor not reached, starting alone", "err", err)
		}
		return nil, nil
	}
	found = &predecessor{peer: peer, handover: handover, listeners: map[string]*net.TCPListener{}}
	for i, name := range handover.Frontends {
		found.listeners[name] = listeners[i]
	}
	d.log.Info("predecessor found", "endpoints", len(handover.Members), "detached", len(handover.Detached), "listeners", len(listeners))
	return found, nil
}

// rejectUntilEndOf makes this process reject all jobs until a predecessor has ended that does not answer: what it runs is not known. The
// limits are shared as with any predecessor. The goroutine that it starts ends when the predecessor ends.
func (d *dispatcher) rejectUntilEndOf(silent *transport.PeerProcess) {
	d.setPeer(silent)
	d.inFlightIDs.DelegateTo(silent)
	d.setPeerUsage(&protocol.HandoverUsage{Outbound: d.limits.outbound / 2})
	go func() {
		silent.AwaitEnd()
		d.forgetPredecessor()
	}()
}

// forgetPredecessor ends the sharing with a predecessor that has ended.
func (d *dispatcher) forgetPredecessor() {
	d.inFlightIDs.DelegateTo(nil)
	d.setPeer(nil)
	d.setPeerUsage(nil)
	d.log.Info("predecessor ended")
}

// hasConfirmedList reports whether the predecessor handed over an endpoint list that discovery confirmed.
func (p *predecessor) hasConfirmedList() bool { return p != nil && !p.handover.ListUnconfirmed }

// listener returns the listener of a frontend. If the predecessor's listener has the address, it is used, with the clients that wait in
// its queue; otherwise a new one is opened.
func (p *predecessor) listener(name, address string) (*net.TCPListener, error) {
	if p == nil || p.listeners[name] == nil {
		return transport.Listen(address)
	}
	inherited := p.listeners[name]
	delete(p.listeners, name)
	if sameAddress(address, inherited.Addr().String()) {
		return inherited, nil
	}
	_ = inherited.Close() // the predecessor still has it open
	return transport.Listen(address)
}

// sameAddress reports whether a listener at the existing address can serve the wanted address, whose port may be 0 and whose host
// may be unspecified.
func sameAddress(wanted, existing string) bool {
	host, port, _ := net.SplitHostPort(wanted) // checked when the files were read
	existingHost, existingPort, _ := net.SplitHostPort(existing)
	samePort := port == existingPort || port == "0"
	return samePort && (host == existingHost || net.ParseIP(host).IsUnspecified())
}

// closeListeners closes the listeners of frontends that are off in this process: the clients that wait in their queues would not be
// accepted.
func (p *predecessor) closeListeners() {
	for _, listener := range p.listeners {
		_ = listener.Close() // the predecessor still has it open
	}
}

// followPredecessor takes over what the predecessor has learned, and shares limits, request IDs and idempotency keys with it until
// it ends. The goroutine that it starts ends when the predecessor ends.
func (d *dispatcher) followPredecessor(pred *predecessor) {
	d.setPeer(pred.peer)
	d.inFlightIDs.DelegateTo(pred.peer)
	d.adoptLearnedState(pred.handover)
	d.core.AnnounceKeyedRuns(func(run scheduler.KeyedRun) { notifyKeyedRuns(pred.peer, []scheduler.KeyedRun{run}) })
	d.setPeerUsage(&protocol.HandoverUsage{Outbound: d.limits.outbound / 2}) // until it reports its usage
	d.shareIdempotencyKeys(pred.peer, pred.handover.Relay, true)
	go func() {
		pred.peer.Run(func(message protocol.HandoverMessage) { d.handlePredecessorMessage(pred.peer, message) })
		d.forgetPredecessor()
	}()
}

// adoptLearnedState takes over what the predecessor has learned. It is called after the endpoint list was built, which
// converts the start times of workers to this process's clock.
func (d *dispatcher) adoptLearnedState(handover *protocol.Handover) {
	learned := handover.LearnedState
	learned.Classes = d.settings.StatisticsByNumber(handover.Classes)
	for id, worker := range learned.Workers {
		worker.StartedAt = d.endpointList.StartedAt(id)
		learned.Workers[id] = worker
	}
	d.core.AdoptLearnedState(learned)
}

func (d *dispatcher) handlePredecessorMessage(peer *transport.PeerProcess, message protocol.HandoverMessage) {
	switch {
	case message.Usage != nil:
		d.setPeerUsage(message.Usage)
	case message.KeyedRuns != nil:
		d.core.AdoptKeyedRuns(message.KeyedRuns)
	case message.Last:
		peer.Notify(protocol.HandoverMessage{AnswerTo: message.QuestionID, Yes: true})
	case message.Remembered != nil && d.idempotencyTable != nil:
		d.idempotencyTable.Remember(message.Remembered)
	case message.Worker != "":
		d.handleDetachMessage(peer, message)
	}
}

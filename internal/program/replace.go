package program

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"brassdale/internal/listen"
	"brassdale/internal/protocol"
	"brassdale/internal/transport"
	"brassdale/scheduler"
)

const (
	meetWithin  = 500 * time.Millisecond // a process that is to be replaced answers in this time, or it is taken for dead
	heldEvery   = 50 * time.Millisecond  // so often it tells what it still holds
	spareOfHeld = 8                      // connections to endpoints that it may still open: not every call finds one
)

// In $TMPDIR, which the platform keeps while it replaces a process. The names hold the clients' address: two
// dispatchers may share a folder.
func keptFile(env func(string) string, cfg *protocol.Config, kind string) string {
	dir := env("TMPDIR")
	if dir == "" {
		dir = os.TempDir()
	}
	return filepath.Join(dir, "brassdale-"+strings.Map(func(c rune) rune {
		if c == '/' || c == 0 {
			return '_'
		}
		return c
	}, cfg.Listen)+kind)
}

// predecessor is the process that this one replaces, with what it handed over; nil where there is none.
type predecessor struct {
	sibling   *transport.PeerProcess
	handover  *protocol.Handover
	listeners map[string]*net.TCPListener
}

// meet looks for a predecessor. With none, a dead one, its leftovers or one that hangs, this process starts alone.
func (d *dispatcher) meet() *predecessor {
	sibling, handover, listeners, err := transport.ConnectToPredecessor(d.socket, time.Now().Add(meetWithin))
	if err != nil {
		if _, none := os.Lstat(d.socket); none == nil {
			d.log.Warn("no predecessor answers: starting alone", "err", err)
		}
		return nil
	}
	p := &predecessor{sibling: sibling, handover: handover, listeners: map[string]*net.TCPListener{}}
	for i, name := range handover.Fronts {
		p.listeners[name] = listeners[i]
	}
	d.log.Info("replacing", "members", len(handover.Members), "out", len(handover.Detached), "listeners", len(listeners))
	return p
}

// listener gives a front's: the predecessor's own, with the queue of clients at it, if it has the address.
func (p *predecessor) listener(name, address string) (*net.TCPListener, error) {
	if p != nil {
		if l := p.listeners[name]; l != nil {
			delete(p.listeners, name)
			host, port, _ := net.SplitHostPort(address)
			hasHost, hasPort, _ := net.SplitHostPort(l.Addr().String())
			if (port == hasPort || port == "0") && (host == hasHost || net.ParseIP(host).IsUnspecified()) {
				return l, nil
			}
			l.Close()
		}
	}
	return transport.Listen(address)
}

// close lets go of the listeners of fronts that are off here: clients would wait there for nobody.
func (p *predecessor) close() {
	if p != nil {
		for _, l := range p.listeners {
			l.Close()
		}
	}
}

// follow lives with the predecessor until it is gone.
func (d *dispatcher) follow(p *predecessor) {
	d.setSibling(p.sibling)
	d.ids.DelegateTo(p.sibling)
	learned := p.handover.LearnedState
	learned.Classes = d.params.StatisticsByNumber(p.handover.Classes)
	for id, w := range learned.Workers { // its clock is not this process's, and the list that came with it names the same starts
		w.StartedAt = d.set.StartedAt(id)
		learned.Workers[id] = w
	}
	d.core.AdoptLearnedState(learned) // behind the list, which was told when it was made
	d.takeHeld(&protocol.HandoverUsage{Outbound: d.shares.outbound / 2})
	d.besideKeys(p.sibling, p.handover.Relay, true)
	go func() {
		p.sibling.Run(func(n protocol.HandoverMessage) {
			switch {
			case n.Usage != nil:
				d.takeHeld(n.Usage)
			case n.Last:
				p.sibling.Notify(protocol.HandoverMessage{AnswerTo: n.QuestionID, Yes: true})
			case n.Remembered != nil && d.keys != nil:
				d.keys.Remember(n.Remembered)
			case n.Worker != "":
				d.keepFor(p.sibling, n)
			}
		})
		d.ids.DelegateTo(nil)
		d.setSibling(nil)
		d.takeHeld(nil)
		d.log.Info("predecessor gone")
	}()
}

// takeHeld notes what the other process holds.
func (d *dispatcher) takeHeld(h *protocol.HandoverUsage) {
	d.mu.Lock()
	d.others = h
	d.mu.Unlock()
	d.deal()
}

// publish waits for successors from now on.
func (d *dispatcher) publish() {
	l, err := transport.Publish(d.socket)
	if err != nil {
		d.log.Warn("cannot be replaced while it serves", "err", err)
		return
	}
	failures := listen.Failures{Log: d.log}
	go func() {
		defer l.Close()
		for {
			sibling, err := transport.AcceptSuccessor(l, failures.Failed)
			if err != nil {
				return
			}
			if d.sibling() != nil { // one at a time
				sibling.Close()
				continue
			}
			if d.precede(sibling) {
				return // the successor has taken the name over, and this process is to end
			}
		}
	}()
}

// precede lives with a successor until one of both is gone. It tells whether the successor served to the end.
func (d *dispatcher) precede(sibling *transport.PeerProcess) (replaced bool) {
	defer sibling.Close()
	known, err := d.set.Snapshot(d.ctx)
	if err != nil {
		return false
	}
	learned, err := d.core.LearnedState(d.ctx)
	if err != nil {
		return false
	}
	h := &protocol.Handover{ListUnconfirmed: d.set.Source().Name == "saved", Discovery: d.reloader.address(), Revision: known.Revision, Relay: d.relay,
		LearnedState: learned, Classes: d.params.StatisticsByName(learned),
		Members: protocol.KnownMembers(known.Endpoints, d.params.Current())}
	var gates []*transport.Listener
	for _, f := range d.fronts {
		h.Fronts, gates = append(h.Fronts, f.name), append(gates, f.gate)
	}
	if err := d.operations.hand(sibling, h, gates); err != nil {
		d.log.Warn("a successor got nothing", "err", err)
	} else {
		d.log.Info("successor starts")
		sibling.Run(func(n protocol.HandoverMessage) {
			switch {
			case n.Serving:
				d.passOn(sibling, n.Relay)
			case n.Key != "":
				sibling.Notify(protocol.HandoverMessage{AnswerTo: n.QuestionID, Yes: d.keys != nil && d.keys.Has(n.Key)})
			case n.ReserveID != "":
				sibling.Notify(protocol.HandoverMessage{AnswerTo: n.QuestionID, Yes: d.ids.Reserve(n.ReserveID, sibling)})
			case n.ReleaseID != "":
				d.ids.Release(n.ReleaseID, sibling)
			case n.Worker != "":
				d.keepFor(sibling, n)
			}
		})
	}
	if !d.serving.Load() { // leaving
		return true
	}
	// The successor is gone first: this process is the dispatcher again.
	d.ids.ReleaseAll(sibling)
	d.setSibling(nil)
	d.passed.Store(false)
	for _, f := range d.fronts {
		f.handler.PassToSuccessor(false)
		f.gate.Resume()
	}
	d.deal()
	d.publish() // the name leads to the dead one
	d.log.Error("successor gone: serving on alone")
	return true
}

// passOn leaves new clients to the successor, and tells it what is still held here until the end.
func (d *dispatcher) passOn(sibling *transport.PeerProcess, relay string) {
	d.passed.Store(true)
	d.besideKeys(sibling, relay, false)
	for _, f := range d.fronts {
		f.gate.Pause()
		f.handler.PassToSuccessor(true)
	}
	d.log.Info("successor serves: taking no new clients", "open", d.core.OpenRequests())
	go func() {
		last := protocol.HandoverUsage{}
		for tick := time.NewTicker(heldEvery); ; {
			held := protocol.HandoverUsage{Outbound: d.fleet.OpenConnections() + spareOfHeld}
			d.fleet.SetConnectionLimit(held.Outbound)
			if d.accounts != nil {
				held.OpenJobs = d.accounts.OpenJobs()
			}
			for _, f := range d.fronts {
				held.Inbound = append(held.Inbound, f.gate.Connections())
			}
			if held.Outbound != last.Outbound || held.OpenJobs != last.OpenJobs || !slices.Equal(held.Inbound, last.Inbound) {
				sibling.Notify(protocol.HandoverMessage{Usage: &held})
				last = held
			}
			select {
			case <-tick.C:
			case <-sibling.Gone():
				tick.Stop()
				return
			}
		}
	}()
}

// takeRelayed serves those who come to the other process for a job of this one.
func (d *dispatcher) takeRelayed() {
	if d.keys == nil {
		return
	}
	path := fmt.Sprintf("%s.%d.progress", d.socket, os.Getpid())
	l, err := transport.ListenPrivate(path)
	if err != nil {
		d.log.Warn("jobs are not known by their keys beyond a replacement", "err", err)
		return
	}
	// Whoever is relayed was admitted where it came in: its account's share counts there.
	whole := transport.NewJobFrontend(d.core, d.params, d.fronts[0].gate, d.ids, d.keys, nil, nil, d.log)
	d.relay, d.relayed = path, transport.Server(transport.RelayHandler{Whole: whole, Stream: d.progress}, d.log)
	go func() { _ = d.relayed.Serve(listen.Durable(l, d.log)) }()
}

func (d *dispatcher) sibling() *transport.PeerProcess {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.other
}

// setSibling notes the other process, nil for none, and how many then act as this dispatcher.
func (d *dispatcher) setSibling(k *transport.PeerProcess) {
	d.mu.Lock()
	d.other = k
	d.mu.Unlock()
	if k != nil {
		d.core.SetProcessCount(2)
		return
	}
	d.core.SetProcessCount(1)
	d.besideKeys(nil, "", false)
}

// besideKeys has the table of keys, if there is one, go on beside another process's; nil for none.
func (d *dispatcher) besideKeys(sibling *transport.PeerProcess, relay string, older bool) {
	if d.keys != nil {
		d.keys.RunBeside(sibling, relay, older)
	}
}

// keepFor does here what an operator's call at the other process's admin endpoint asks for.
func (d *dispatcher) keepFor(sibling *transport.PeerProcess, n protocol.HandoverMessage) {
	err := d.operations.keep(n.Worker, n.Detached)
	sibling.Notify(protocol.HandoverMessage{AnswerTo: n.QuestionID, Yes: err == nil})
}

// putOut puts workers out that were out before.
func (d *dispatcher) putOut(ids []string) {
	for _, id := range ids {
		d.core.SetDetached(scheduler.WorkerID(id), true)
	}
}

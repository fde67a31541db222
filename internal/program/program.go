// Package program is the dispatcher process: it reads the configuration, wires the parts together, serves until it receives a
// signal, and shuts down. It also replaces a predecessor process and is replaced by a successor without losing a request.
package program

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"os"
	"time"

	"brassdale/internal/operator"
	"brassdale/internal/protocol"
	"brassdale/internal/transport"
)

// firstListTimeout is how long a start waits for the endpoint list of an agent on this machine.
const firstListTimeout = 200 * time.Millisecond

// Options are the options of the command line.
type Options struct {
	// Operator is the path of the operator's file; empty if there is none. A feature without a block in the file is off.
	Operator string
	// Level is the lowest level that is logged.
	Level slog.Level
	// Handler returns the handler of the log.
	Handler func(*slog.HandlerOptions) slog.Handler
}

// inputs are what a process starts with.
type inputs struct {
	env         func(string) string
	options     Options
	config      *protocol.Config // the platform's file
	operator    *operator.File   // empty if there is none
	predecessor *predecessor     // nil if there is none, or if it does not answer

	silentPredecessor *transport.PeerProcess // runs and does not answer; nil if there is none
}

// loadInputs reads the platform's file and the operator's.
func loadInputs(env func(string) string, options Options) (*inputs, error) {
	config, err := protocol.LoadConfig(env("GW_CONFIG"), env)
	if err != nil {
		return nil, err
	}
	loaded := &inputs{env: env, options: options, config: config, operator: &operator.File{}}
	if options.Operator == "" {
		return loaded, nil
	}
	loaded.operator, err = operator.Load(options.Operator)
	return loaded, err
}

// Run serves until it receives a signal, and returns when all requests are answered or the time for that is over. It reads the files
// again for each value of reloads. It returns an error if the process cannot serve.
func Run(env func(string) string, options Options, signals, reloads <-chan os.Signal) error {
	log := slog.New(options.Handler(&slog.HandlerOptions{Level: options.Level}))
	in, err := loadInputs(env, options)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	dispatcher := newDispatcher(in, log)
	in.predecessor, in.silentPredecessor = dispatcher.findPredecessor()
	if err := dispatcher.build(ctx, in); err != nil {
		return err
	}
	dispatcher.takeOver(ctx, in)
	failed, err := dispatcher.serve(ctx, in)
	if err != nil {
		return err
	}
	go dispatcher.reloader.run(ctx, reloads) // until the end: a SIGHUP during the shutdown may move discovery

	select {
	case err := <-failed:
		return fmt.Errorf("listen: %w", err)
	case received := <-signals:
		log.Info("shutdown started", "signal", received.String(), "open_requests", dispatcher.core.OpenRequests(), "handed_over", dispatcher.handedOver.Load())
	}
	end := dispatcher.shutDown()
	dispatcher.fleet.leave(end)
	log.Info("shutdown complete", "open_requests", dispatcher.core.OpenRequests())
	return nil
}

// serve starts all parts, and notifies the predecessor, which then leaves new clients to this process. The admin API is served
// first, so that a start that waits for its list can be observed. Clients are accepted only once the core and the endpoint list
// run. The channel failed gets the error of each server that ends; in a shutdown all servers end.
func (d *dispatcher) serve(ctx context.Context, in *inputs) (failed chan error, err error) {
	failed = make(chan error, len(d.frontends)+1)
	if err := d.serveAdmin(in.config.Admin, failed); err != nil {
		return nil, err
	}
	go d.core.Run(ctx)
	go d.endpointList.Run(ctx)
	d.awaitFirstList()
	if in.predecessor != nil { // before the first question, so that the predecessor starts no key that it has said not to know
		in.predecessor.peer.Notify(protocol.HandoverMessage{Serving: true, Relay: d.relayPath})
	}
	d.serveFrontends(failed)
	d.fleet.run(ctx)
	d.serving.Store(true)
	d.listenForSuccessors(ctx)
	// internal/emulator (dispatcherprocess.go) parses this line and the two "listening" lines, in which the attribute address must
	// directly follow the attribute front.
	d.log.Info("ready", "name", in.config.Name)
	return failed, nil
}

// takeOver starts writing the endpoint cache, restores which workers are detached, and takes over from the predecessor.
func (d *dispatcher) takeOver(ctx context.Context, in *inputs) {
	if d.cache != nil { // before an operator can detach a worker, here or at the predecessor
		d.cache.startWriting(ctx)
	}
	d.restoreDetached(in.predecessor)
	d.serveRelayed()
	if in.predecessor != nil {
		d.followPredecessor(in.predecessor)
	}
	if in.silentPredecessor != nil {
		d.rejectUntilEndOf(in.silentPredecessor)
	}
	d.applyResourceLimits()
}

// restoreDetached detaches the workers that the operators have detached. Their list is from the predecessor, else from the file in
// the temporary directory, else, if a restart of the machine has emptied that directory, from the endpoint cache.
func (d *dispatcher) restoreDetached(pred *predecessor) {
	workers := d.operations.detached
	if pred != nil {
		pred.closeListeners()
		workers.adopt(pred.handover.Detached)
	} else if err := workers.load(); err != nil {
		d.log.Warn("detached workers not read", "err", err)
	}
	if d.cache != nil && d.cache.loaded != nil && pred == nil && workers.fileMissing {
		workers.adopt(d.cache.loaded.Detached)
	}
	d.detach(workers.list())
}

// serveAdmin serves the admin API at an address. If the address is empty, there is no admin API. When it stops serving, failed gets
// the error.
func (d *dispatcher) serveAdmin(address string, failed chan<- error) error {
	if address == "" {
		return nil
	}
	socket, err := transport.ListenExclusive(address)
	if err != nil {
		return fmt.Errorf("admin: listen: %w", err)
	}
	listener := transport.NewListener(socket, d.log)
	listener.SetLimits(transport.MaxAdminConnections, math.MaxInt64)
	server := transport.AdminServer(transport.AdminHandler(d.operations, d.log), d.log)
	go func() { failed <- server.Serve(listener) }()
	d.log.Info("listening", "front", "admin", "address", listener.Addr().String())
	return nil
}

// awaitFirstList waits for the first endpoint list of an agent that pushes lists, so that the first requests are not routed by an
// old list. Clients wait meanwhile in the listeners' queues, so awaitFirstList waits for firstListTimeout at most.
func (d *dispatcher) awaitFirstList() {
	if !d.settings.Current().ListsPushed() {
		return
	}
	select {
	case <-d.endpointList.FirstCallDone():
	case <-time.After(firstListTimeout):
	}
}

// serveFrontends serves all frontends. When one stops serving, failed gets the error.
func (d *dispatcher) serveFrontends(failed chan<- error) {
	for _, f := range d.frontends {
		go func() { failed <- f.server.Serve(f.served) }()
		d.log.Info("listening", "front", f.name, "address", f.listener.Addr().String())
	}
}

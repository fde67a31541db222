// Package program puts the dispatcher together: configuration, wiring, signals and readiness.
package program

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"brassdale/internal/decisions/polling"
	"brassdale/internal/operator"
	"brassdale/internal/protocol"
	"brassdale/internal/routing"
	"brassdale/internal/traffic"
	"brassdale/internal/transport"
	"brassdale/internal/transport/http2"
	"brassdale/scheduler"
)

const (
	// After SIGTERM. The platform kills 0.7 s after the longest deadline, of which it counts so much at most.
	mostCounted = 3 * time.Second
	killSlack   = 700 * time.Millisecond
	stayOpen    = 500 * time.Millisecond  // so long the front may still bring clients for sure
	lastCall    = 1200 * time.Millisecond // before the end no connection brings a further request, ...
	lastPart    = 3                       // ... where deadlines are short, for this part of the time, ...
	lastAnswer  = 250 * time.Millisecond  // ... all are answered, ...
	lastMoment  = 100 * time.Millisecond  // ... and the process ends by itself
	heldLook    = 20 * time.Millisecond

	agentFirst = 200 * time.Millisecond // so long a start waits for the list of an agent
)

// dispatcher is the program, put together.
type dispatcher struct {
	ctx        context.Context
	log        *slog.Logger
	params     *protocol.LiveSettings
	core       *routing.Core
	fleet      *transport.EndpointPool
	set        *routing.EndpointList
	ids        *transport.InFlightIDs
	keys       *transport.IdempotencyTable // nil where each request is a job of its own
	accounts   *transport.AccountQuotas    // nil where accounts have none
	fronts     []*front
	progress   *transport.ProgressFrontend // nil where that front is off
	http2      *http2.Frontend             // the same
	saved      *saved                      // nil where no list is kept
	budgeted   bool                        // further calls have a budget
	retries    float64                     // its share
	agreed     *agreed                     // nil where the fleet agrees on nothing
	relayed    *http.Server                // takes readers that the other process relays
	relay      string                      // at this path; empty while nobody can
	meter      *traffic.Meter              // of what control costs
	reloader   *reloader
	operations *operations
	socket     string      // where successors find this process
	serving    atomic.Bool // takes clients
	passed     atomic.Bool // a successor does

	mu     sync.Mutex
	shares shares
	others *protocol.HandoverUsage // what another process holds that acts as the same dispatcher
	other  *transport.PeerProcess  // the connection to it
}

// front is a listener with its handler.
type front struct {
	name    string
	handler interface {
		http.Handler
		StartShutdown()
		PassToSuccessor(bool)
		DedicateToControl()
	}
	gate     *transport.Listener
	listener net.Listener // the gate, or what is around it
	server   *http.Server
}

// Options are what the command line tells.
type Options struct {
	Operator string // the operator's file; what it has no block for is off
	Level    slog.Level
	Handler  func(*slog.HandlerOptions) slog.Handler // of the log
}

// Run serves until a signal comes and all is answered. Each of reloads has the files read again.
func Run(env func(string) string, options Options, signals, reloads <-chan os.Signal) error {
	log := slog.New(options.Handler(&slog.HandlerOptions{Level: options.Level}))
	cfg, err := protocol.LoadConfig(env("GW_CONFIG"), env)
	if err != nil {
		return err
	}
	op := &operator.File{}
	if options.Operator != "" {
		if op, err = operator.Load(options.Operator); err != nil {
			return err
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	d := &dispatcher{ctx: ctx, log: log, params: &protocol.LiveSettings{}, meter: &traffic.Meter{}, ids: &transport.InFlightIDs{}, socket: keptFile(env, cfg, ".sock")}
	pred := d.meet()
	if err := d.build(env, options, cfg, op, pred); err != nil {
		return err
	}
	d.operations = &operations{d: d, file: &detached{path: keptFile(env, cfg, ".detached"), name: cfg.Name}}
	if d.saved != nil { // before anybody can call at an admin endpoint, this one's or the predecessor's
		d.saved.keep(ctx)
	}
	if pred != nil {
		pred.close()
		d.operations.file.take(pred.handover.Detached)
	} else if err := d.operations.file.load(); err != nil {
		log.Warn("workers that were out by hand are not known", "err", err)
	}
	if d.saved != nil && d.saved.loaded != nil && pred == nil && d.operations.file.none { // $TMPDIR does not outlast the machine
		d.operations.file.take(d.saved.loaded.Detached)
	}
	d.putOut(d.operations.file.list())
	d.takeRelayed()
	if pred != nil {
		d.follow(pred)
	}
	d.deal()

	failed := make(chan error, len(d.fronts)+1)
	if cfg.Admin != "" {
		l, err := transport.ListenAlone(cfg.Admin)
		if err != nil {
			return fmt.Errorf("admin: listen: %w", err)
		}
		gate := transport.NewListener(l, log)
		gate.SetLimits(transport.MostCallers, math.MaxInt64)
		go func() { failed <- transport.AdminServer(transport.AdminHandler(d.operations, log), log).Serve(gate) }()
		log.Info("listening", "front", "admin", "address", gate.Addr().String())
	}
	go d.core.Run(ctx)
	go d.set.Run(ctx)
	if d.params.Current().ListsPushed() {
		// What the agent has counts from the first moment on. Clients wait in the listeners' queues for it, but not for one
		// that is silent.
		select {
		case <-d.set.FirstCallDone():
		case <-time.After(agentFirst):
		}
	}
	for _, f := range d.fronts {
		go func() { failed <- f.server.Serve(f.listener) }()
		log.Info("listening", "front", f.name, "address", f.gate.Addr().String())
	}
	d.agreed.run(ctx)
	d.serving.Store(true)
	d.publish()
	if pred != nil {
		pred.sibling.Notify(protocol.HandoverMessage{Serving: true, Relay: d.relay})
	}
	log.Info("ready", "name", cfg.Name)
	// To the very end, also while leaving: open requests still need to know who drains.
	go d.reloader.run(ctx, reloads)

	select {
	case err := <-failed:
		return fmt.Errorf("listen: %w", err)
	case s := <-signals:
		log.Info("leaving", "signal", s.String(), "open", d.core.OpenRequests(), "replaced", d.passed.Load())
	}
	d.agreed.leave(d.leave())
	log.Info("left", "open", d.core.OpenRequests())
	return nil
}

// build makes all parts, none of which runs yet.
func (d *dispatcher) build(env func(string) string, options Options, cfg *protocol.Config, op *operator.File, pred *predecessor) error {
	p, log, clock := d.params, d.log, routing.NewClock()
	p.Replace(&cfg.Settings, func(s scheduler.Settings) {
		d.core = routing.NewCore(scheduler.New(s, cfg.SeedNumber()), clock, log)
	})
	d.register(&cfg.Settings)
	d.fleet = transport.NewEndpointPool(d.ctx, p, d.core, log)
	known, source := routing.ListUpdate{}, routing.ListSource{Name: "none"}
	if cfg.Known != nil {
		known, source.Name = transport.Update(cfg.Known, p.Current()), "known"
	}
	if op.EndpointCache != nil {
		d.saved = d.openSaved(op.EndpointCache, cfg.Name, p.Current())
	}
	var from *routing.CachedStart
	if pred != nil && !pred.handover.ListUnconfirmed { // it knows the list as of now
		if u, err := pred.handover.Update(cfg.Discovery, p.Current()); err == nil {
			known, source = u, routing.ListSource{Name: "predecessor", ConfirmedAt: time.Now()}
		} else {
			log.Warn("the predecessor's list is of no use", "err", err)
		}
	} else if d.saved != nil {
		if from = d.saved.from(clock); from != nil && !from.Assessor.Usable() {
			age, _ := from.Assessor.Age()
			log.Warn("endpoint cache too old", "age", age)
			from = nil
		}
	}
	if from != nil {
		known = routing.ListUpdate{}
	}
	discovery := transport.NewDiscovery(cfg.Discovery, p, d.meter)
	d.set = routing.NewEndpointList(d.core, d.fleet, discovery, known, log)
	d.set.SetSource(source)
	d.set.SetPollRules(func() polling.Rules { return transport.PacingRules(p.Current()) })
	if from != nil {
		d.set.StartFromCache(from)
		age, ok := from.Assessor.Age()
		log.Info("started from endpoint cache", "workers", len(from.Endpoints), "age", age, "age_known", ok)
	}
	d.core.SetEndpoints(d.fleet, d.set.Subscribe)
	d.reloader = &reloader{d: d, env: env, discovery: discovery, cfg: cfg, path: options.Operator, op: op}

	if s := op.IdempotencySettings(); s != nil {
		d.keys = transport.NewIdempotencyTable(s, d.ids, op.Progress != nil)
	}
	if op.Retries != nil {
		d.limit(op.Retries.RetryRatio)
		d.budgeted = true
	}
	if op.Fleet == nil && (op.Failover != nil || op.Overload != nil) {
		return fmt.Errorf("blocks failover and overload need a block council")
	}
	if op.Fleet != nil {
		if err := d.agree(op.Fleet, op.Failover, op.Overload, cfg); err != nil {
			return fmt.Errorf("council: %w", err)
		}
	}
	if op.Quotas != nil {
		d.accounts = transport.NewAccountQuotas(op.Quotas)
	}
	add := func(name, address string, handler func(*net.TCPListener) (*front, error)) error {
		l, err := pred.listener(name, address)
		if err != nil {
			return fmt.Errorf("%s: listen: %w", name, err)
		}
		f, err := handler(l)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		f.name = name
		if f.server == nil {
			f.listener, f.server = f.gate, transport.Server(f.handler, log)
		}
		d.fronts = append(d.fronts, f)
		return nil
	}
	if err := add("inbound", cfg.Listen, func(l *net.TCPListener) (*front, error) {
		g := transport.NewListener(l, log)
		return &front{gate: g, handler: transport.NewJobFrontend(d.core, p, g, d.ids, d.keys, d.accounts, nil, log)}, nil
	}); err != nil {
		return err
	}
	if s := op.Progress; s != nil {
		if err := add("progress", s.Listen, func(l *net.TCPListener) (*front, error) {
			g := transport.NewListener(l, log)
			d.progress = transport.NewProgressFrontend(d.core, p, s, g, d.ids, d.keys, d.accounts, log)
			return &front{gate: g, handler: d.progress}, nil
		}); err != nil {
			return err
		}
	}
	if s := op.HTTP2; s != nil {
		if err := add("http2", s.Listen, func(l *net.TCPListener) (f *front, err error) {
			g := transport.NewMultiplexedListener(l, log)
			if d.http2, err = http2.New(s, d.core, p, g, d.ids, d.keys, d.accounts, log); err != nil {
				return nil, err
			}
			return &front{gate: g, handler: d.http2, listener: d.http2.Listener(), server: d.http2.Server(s)}, nil
		}); err != nil {
			return err
		}
	}
	if op.Fleet != nil && op.Fleet.DedicatedToControl {
		for _, f := range d.fronts {
			f.handler.DedicateToControl()
		}
	}
	d.shares = sharesOf(cfg.Limits, len(d.fronts))
	return nil
}

// register has the figures of all classes stand from the start.
func (d *dispatcher) register(p *protocol.Settings) {
	for i := range p.Classes {
		d.core.Counters().AddClass(p.Classes[i].Name)
	}
}

// leave answers all that was taken, and gives the time by which the process has to have ended.
func (d *dispatcher) leave() time.Time {
	d.serving.Store(false)
	leave := time.Now()
	end := leave.Add(min(d.params.Current().LongestDeadline(), mostCounted) + killSlack)
	d.core.StartShutdown(end.Add(-lastAnswer))
	passed := d.passed.Load()
	for _, f := range d.fronts {
		f.handler.StartShutdown()
		if passed { // the successor has the same listener: what waits there is its
			f.gate.Close()
		}
	}
	ending, cancel := context.WithDeadline(context.Background(), end.Add(-lastMoment))
	defer cancel()
	var wait sync.WaitGroup
	var single []*front // whose connections carry one request at a time
	for _, f := range d.fronts {
		if f.listener == f.gate {
			single = append(single, f)
			continue
		}
		wait.Go(func() { // clients were told to go, and that what they have sent is served: now up to which stream
			time.Sleep(time.Until(leave.Add(stayOpen)))
			_ = f.server.Shutdown(ending) // a client may keep a connection on which it is owed nothing
		})
	}
	// The front brings no client for long, but clients go on using the connections that they have, and perhaps have
	// nobody else while another dispatcher restarts: then one connection that is refused makes the front give this
	// one up with all that it could still serve. So the listener stays open for as long as answers can be in time.
	held := func(f *front) bool { return f.gate.Connections() > 0 }
	last := end.Add(-min(lastCall, max(end.Sub(leave)/lastPart, lastAnswer)))
	for now := leave; now.Before(last) &&
		(!passed && now.Before(leave.Add(stayOpen)) || slices.ContainsFunc(d.fronts, held)); now = time.Now() {
		time.Sleep(heldLook)
	}
	// From here on connections end: each behind its answer, those that owe none at once, and what is half read may still
	// come whole. No connection is closed over bytes that its client would be reset for.
	for _, f := range single {
		f.gate.Close()
	}
	if d.relayed != nil {
		wait.Go(func() { _ = d.relayed.Shutdown(ending) })
	}
	for now := time.Now(); now.Before(end.Add(-lastMoment)); now = time.Now() {
		for _, f := range single {
			f.gate.CloseIdle()
		}
		if !slices.ContainsFunc(single, held) {
			break
		}
		time.Sleep(heldLook)
	}
	for _, f := range single {
		f.gate.RejectUnfinished()
	}
	wait.Wait()
	for _, f := range d.fronts {
		if n := f.gate.PendingAnswers(); n > 0 {
			d.log.Error("clients left unanswered", "front", f.name, "jobs", n)
		}
	}
	if sibling := d.sibling(); sibling != nil && passed {
		sibling.Ask(protocol.HandoverMessage{Last: true}, end.Add(-lastMoment/2))
	}
	return end.Add(-lastMoment / 2)
}

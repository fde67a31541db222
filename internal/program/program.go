// Package program puts the dispatcher together: configuration, wiring, signals and readiness.
package program

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"brassdale/brain"
	"brassdale/internal/protocol"
	"brassdale/internal/routing"
	"brassdale/internal/transport"
)

const (
	// After SIGTERM. The platform kills 0.7 s after the longest deadline, of which it counts so much at most.
	mostCounted = 3 * time.Second
	killSlack   = 700 * time.Millisecond
	stayOpen    = 500 * time.Millisecond  // so long the front may still bring clients for sure
	lastCall    = 1200 * time.Millisecond // before the end no connection brings a further request, ...
	lastAnswer  = 250 * time.Millisecond  // ... all are answered, ...
	lastMoment  = 100 * time.Millisecond  // ... and the process ends by itself
	heldLook    = 20 * time.Millisecond

	bodiesPart = 10 // of the memory, so much for requests' bodies at each front
	ownSockets = 24 // descriptors for what is neither inbound nor to an endpoint
)

// Run serves until a signal comes and all is answered. Logs go to out. An operator's file, if one is
// named, switches the front for progress on. Each of reloads has the platform's file read again.
func Run(env func(string) string, operator string, out io.Writer, signals, reloads <-chan os.Signal) error {
	level := slog.LevelInfo
	if env("BRASSDALE_DEBUG") != "" {
		level = slog.LevelDebug
	}
	log := slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: level}))
	cfg, err := protocol.LoadConfig(env("GW_CONFIG"), env)
	if err != nil {
		return err
	}
	var op *protocol.Operator
	if operator != "" {
		if op, err = protocol.LoadOperator(operator); err != nil {
			return err
		}
	}
	limit(cfg)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()

	p := &cfg.Settings
	sockets := cfg.Limits.Sockets
	if sockets == 0 {
		sockets = 1024
	}
	core := routing.NewCore(brain.New(p.Module(), cfg.SeedNumber()), routing.NewClock(),
		routing.Options{MaxAttempts: p.Limits.MaxAttempts, AnswerSlack: p.Rules.AnswerSlack.Span()}, log)
	fleet := transport.NewFleet(ctx, p, core, sockets*35/100, log)
	saved := routing.Update{}
	if cfg.Known != nil {
		saved = transport.Update(cfg.Known, p)
	}
	discovery := transport.NewDiscovery(cfg.Discovery, p)
	set := routing.NewDestinations(core, fleet, discovery, saved, log)
	core.Attach(fleet, set.Subscribe)

	most := (sockets - ownSockets) * 55 / 100
	if op != nil {
		most /= 2
	}
	room := int64(math.MaxInt64)
	if cfg.Limits.MemoryMB > 0 {
		room = int64(cfg.Limits.MemoryMB) << 20 / bodiesPart
	}
	ids := &transport.OpenIDs{}
	gate, err := transport.NewGate(cfg.Listen, most, room, log)
	if err != nil {
		return fmt.Errorf("inbound: listen: %w", err)
	}
	inbound := transport.NewInbound(core, p, gate, ids, log)
	fronts := []*front{{handler: inbound, server: transport.Server(inbound, log), gate: gate, name: "inbound"}}
	if op != nil {
		gate, err := transport.NewGate(op.Listen, most, room, log)
		if err != nil {
			return fmt.Errorf("progress: listen: %w", err)
		}
		progress := transport.NewProgress(core, p, op, gate, ids, log)
		fronts = append(fronts, &front{handler: progress, server: transport.Server(progress, log), gate: gate, name: "progress"})
	}
	failed := make(chan error, len(fronts))
	for _, f := range fronts {
		go func() { failed <- f.server.Serve(f.gate) }()
		log.Info("listening", "front", f.name, "address", f.gate.Addr().String())
	}
	go core.Run(ctx)
	go set.Run(ctx)
	log.Info("ready", "name", cfg.Name, "endpoints", len(saved.Destinations))
	// To the very end, also while leaving: open requests still need to know who drains.
	go (&reloader{env: env, set: set, discovery: discovery, cfg: cfg, log: log}).run(ctx, reloads)

	select {
	case err := <-failed:
		return fmt.Errorf("listen: %w", err)
	case s := <-signals:
		log.Info("leaving", "signal", s.String(), "open", core.Open())
	}
	leave := time.Now()
	end := leave.Add(min(p.LongestDeadline(), mostCounted) + killSlack)
	core.Ending(end.Add(-lastAnswer))
	for _, f := range fronts {
		f.handler.Leaving()
	}
	// The front brings no client for long, but clients go on using the connections that they have, and perhaps have
	// nobody else while another dispatcher restarts: then one connection that is refused makes the front give this
	// one up with all that it could still serve. So the door stays open for as long as answers can be in time.
	held := func(f *front) bool { return f.gate.Held() > 0 }
	for now := leave; now.Before(end.Add(-lastCall)) &&
		(now.Before(leave.Add(stayOpen)) || slices.ContainsFunc(fronts, held)); now = time.Now() {
		time.Sleep(heldLook)
	}
	ending, cancel := context.WithDeadline(context.Background(), end.Add(-lastMoment))
	defer cancel()
	var wait sync.WaitGroup
	for _, f := range fronts {
		wait.Go(func() {
			if err := f.server.Shutdown(ending); err != nil {
				log.Error("clients left unanswered", "front", f.name, "err", err)
			}
		})
	}
	wait.Wait()
	log.Info("left", "open", core.Open())
	return nil
}

// front is a listener with its handler.
type front struct {
	name    string
	handler interface{ Leaving() }
	gate    *transport.Gate
	server  *http.Server
}

// limit keeps the runtime inside what the platform gives: threads by cores, and a collector that works
// harder well before the limit on memory, at which the platform kills.
func limit(c *protocol.Config) {
	if c.Limits.Cores > 0 {
		runtime.GOMAXPROCS(max(int(math.Ceil(c.Limits.Cores)), 1))
	}
	if c.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(c.Limits.MemoryMB) << 20 * 6 / 10)
	}
}

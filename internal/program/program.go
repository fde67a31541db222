// Package program puts the dispatcher together: configuration, wiring, signals and readiness.
package program

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"brassdale/brain"
	"brassdale/internal/protocol"
	"brassdale/internal/routing"
	"brassdale/internal/transport"
)

const (
	stayOpen = 500 * time.Millisecond // after SIGTERM, as long as the front may still bring clients
	leastEnd = 3 * time.Second        // the platform counts shorter deadlines as this long, ...
	endSlack = 600 * time.Millisecond // ... and kills 0.7 s after the longest

	ownSockets = 24 // descriptors for what is neither inbound nor to an endpoint
)

// Run serves until a signal comes and all is answered. Logs go to out.
func Run(env func(string) string, out io.Writer, signals <-chan os.Signal) error {
	level := slog.LevelInfo
	if env("BRASSDALE_DEBUG") != "" {
		level = slog.LevelDebug
	}
	log := slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: level}))
	cfg, err := protocol.LoadConfig(env("GW_CONFIG"), env)
	if err != nil {
		return err
	}
	limit(cfg)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()

	p := &cfg.Settings
	sockets := cfg.Limits.Sockets
	if sockets == 0 {
		sockets = 1024
	}
	inboundMost := (sockets - ownSockets) * 55 / 100
	core := routing.NewCore(brain.New(p.Module(), cfg.SeedNumber()), routing.NewClock(),
		routing.Options{MaxAttempts: p.Limits.MaxAttempts, AnswerSlack: p.Rules.AnswerSlack.Span()}, log)
	fleet := transport.NewFleet(ctx, p, core, sockets*35/100, log)
	saved := routing.Update{}
	if cfg.Known != nil {
		saved = transport.Update(cfg.Known, p)
	}
	set := routing.NewDestinations(core, fleet, transport.NewDiscovery(cfg.Discovery, p), saved, log)
	core.Attach(fleet, set.Subscribe)

	front := transport.NewInbound(core, p, inboundMost, log)
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	go core.Run(ctx)
	go set.Run(ctx)
	server := transport.Server(front, front.Watch, log)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	log.Info("ready", "name", cfg.Name, "listen", listener.Addr().String(), "endpoints", len(saved.Destinations))

	select {
	case err := <-failed:
		return fmt.Errorf("listen: %w", err)
	case s := <-signals:
		log.Info("leaving", "signal", s.String(), "open", core.Open())
	}
	longest := leastEnd
	for i := range p.Classes {
		longest = max(longest, p.ClassDeadline(i))
	}
	end := time.Now().Add(longest + endSlack)
	front.Leaving()
	time.Sleep(stayOpen)
	ending, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := server.Shutdown(ending); err != nil && !errors.Is(err, http.ErrServerClosed) {
		log.Error("left unanswered", "open", core.Open(), "err", err)
		return nil
	}
	log.Info("left", "open", core.Open())
	return nil
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

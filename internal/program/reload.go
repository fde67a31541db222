package program

import (
	"context"
	"log/slog"
	"os"
	"reflect"

	"brassdale/internal/protocol"
	"brassdale/internal/routing"
	"brassdale/internal/transport"
)

// reloader puts a new version of the platform's file in force, or none of it.
type reloader struct {
	env       func(string) string
	set       *routing.Destinations
	discovery *transport.Discovery // in use
	cfg       *protocol.Config     // in force; only run touches it
	log       *slog.Logger
}

func (r *reloader) run(ctx context.Context, reloads <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloads:
			r.reload()
		}
	}
}

// reload reads and checks the whole file before anything is swapped: half a file, as one that is being
// written, leaves the old one in force. Requests, connections and the list as known stay as they are.
func (r *reloader) reload() {
	cfg, err := protocol.LoadConfig(r.env("GW_CONFIG"), r.env)
	if err != nil {
		r.log.Error("reload refused, the old file stays in force", "err", err)
		return
	}
	old := r.cfg
	r.cfg = cfg
	limit(cfg)
	if cfg.Discovery != old.Discovery {
		next := transport.NewDiscovery(cfg.Discovery, r.discovery.Params)
		r.set.Move(next)
		r.discovery.Close()
		r.discovery = next
	}
	var later []string // what is built in at the start
	for _, f := range []struct {
		field     string
		now, then any
	}{{"name", old.Name, cfg.Name}, {"listen", old.Listen, cfg.Listen}, {"limits.sockets", old.Limits.Sockets, cfg.Limits.Sockets},
		{"settings", old.Settings, cfg.Settings}} {
		if !reflect.DeepEqual(f.now, f.then) {
			later = append(later, f.field)
		}
	}
	r.log.Info("reloaded", "discovery", cfg.Discovery, "from_next_start", later)
}

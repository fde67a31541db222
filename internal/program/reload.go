package program

import (
	"context"
	"os"
	"slices"
	"sync"

	"brassdale/internal/operator"
	"brassdale/internal/protocol"
	"brassdale/internal/transport"
)

// reloader puts a new version of the platform's file in force, or none of it.
type reloader struct {
	d         *dispatcher
	env       func(string) string
	discovery *transport.Discovery // in use
	mu        sync.Mutex
	cfg       *protocol.Config // in force
	path      string           // of the operator's file; empty for none
	op        *operator.File   // in force, as far as it can be before the next start
}

// address is that of discovery now.
func (r *reloader) address() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cfg.Discovery
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
	if err == nil {
		err = cfg.Follows(r.cfg)
	}
	op, put := r.op, func() {}
	if err == nil && r.path != "" {
		if op, err = operator.Load(r.path); err == nil {
			put, err = r.prepare(op)
		}
	}
	if err != nil {
		r.d.log.Error("reload refused, the old file stays in force", "err", err) // first: who sees the figure finds the reason
		r.d.core.Counters().CountReload(false)
		return
	}
	put()
	r.mu.Lock()
	old := r.cfg
	r.cfg = cfg
	r.mu.Unlock()
	r.d.mu.Lock()
	r.d.shares = sharesOf(cfg.Limits, len(r.d.fronts))
	r.d.mu.Unlock()
	r.d.deal()
	// The module hears first, by the same mailbox that brings it the jobs: none comes under rules that it does not know.
	r.d.params.Replace(&cfg.Settings, r.d.core.ApplySettings)
	r.d.register(&cfg.Settings)
	if cfg.Discovery != old.Discovery || !slices.Equal(cfg.Settings.Zones, old.Settings.Zones) || !slices.Equal(cfg.Settings.Flavors, old.Settings.Flavors) {
		next := transport.NewDiscovery(cfg.Discovery, r.discovery.Params, r.d.meter)
		r.d.set.ChangeDiscovery(next)
		r.discovery = next
	}
	later := r.op.NeedsRestart(op) // what is built in at the start
	r.op = op
	for _, f := range []struct {
		field     string
		now, then string
	}{{"name", old.Name, cfg.Name}, {"listen", old.Listen, cfg.Listen}, {"admin", old.Admin, cfg.Admin}} {
		if f.now != f.then {
			later = append(later, f.field)
		}
	}
	r.d.agreed.reloaded()
	r.d.log.Info("reloaded", "discovery", cfg.Discovery, "classes", len(cfg.Settings.Classes), "from_next_start", later)
	r.d.core.Counters().CountReload(true)
}

// prepare reads what the operator's file names, and gives what puts it in force.
func (r *reloader) prepare(op *operator.File) (put func(), err error) {
	keys := func() {}
	if r.d.http2 != nil && op.HTTP2 != nil {
		if keys, err = r.d.http2.Prepare(op.HTTP2); err != nil {
			return nil, err
		}
	}
	return func() {
		keys()
		if r.d.budgeted && op.Retries != nil {
			r.d.limit(op.Retries.RetryRatio)
		}
		if r.d.accounts != nil && op.Quotas != nil {
			r.d.accounts.SetQuotas(op.Quotas)
		}
	}, nil
}

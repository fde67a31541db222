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

// reloader applies new versions of the platform's file and the operator's, both or neither. The goroutine of run owns
// all fields; other goroutines read config with mu held.
type reloader struct {
	dispatcher   *dispatcher
	env          func(string) string
	discovery    *transport.Discovery
	operatorPath string         // empty if there is no operator's file
	operator     *operator.File // last accepted file; settings in it that need a restart may not be applied yet

	mu     sync.Mutex
	config *protocol.Config // the current file; written with mu held
}

func newReloader(d *dispatcher, in *inputs, discovery *transport.Discovery) *reloader {
	return &reloader{
		dispatcher:   d,
		env:          in.env,
		discovery:    discovery,
		operatorPath: in.options.Operator,
		operator:     in.operator,
		config:       in.config,
	}
}

// discoveryAddress returns the address of discovery. It may be called from any goroutine.
func (r *reloader) discoveryAddress() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.config.Discovery
}

// run reloads the files for each value of reloads, until the context ends.
func (r *reloader) run(ctx context.Context, reloads <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloads:
			r.reload(ctx)
		}
	}
}

// reload reads and checks both files before it applies anything, so that a partly written file changes nothing. Requests,
// connections and the endpoint list are not affected.
func (r *reloader) reload(ctx context.Context) {
	counters := r.dispatcher.core.Counters()
	config, op, applyOperator, err := r.load()
	if err != nil {
		r.dispatcher.log.Error("reload failed, settings unchanged", "err", err) // before the metric changes, so that the reason is in the log by then
		counters.CountReload(false)
		return
	}
	applyOperator()
	old := r.applyConfig(config)
	restartRequired := r.operator.NeedsRestart(op)
	restartRequired = append(restartRequired, changedRestartFields(old, config)...)
	r.operator = op
	r.dispatcher.fleet.proposeRules(ctx)
	r.dispatcher.log.Info("settings reloaded", "discovery", config.Discovery, "classes", len(config.Settings.Classes),
		"restart_required", restartRequired)
	counters.CountReload(true)
}

// load reads and checks both files. applyOperator applies the operator's.
func (r *reloader) load() (config *protocol.Config, op *operator.File, applyOperator func(), err error) {
	config, err = protocol.LoadConfig(r.env("GW_CONFIG"), r.env)
	if err != nil {
		return nil, nil, nil, err
	}
	if err := config.CheckReplaces(r.config); err != nil {
		return nil, nil, nil, err
	}
	if r.operatorPath == "" {
		return config, r.operator, func() {}, nil
	}
	op, err = operator.Load(r.operatorPath)
	if err != nil {
		return nil, nil, nil, err
	}
	applyOperator, err = r.prepare(op)
	return config, op, applyOperator, err
}

// prepare reads the files that the operator's file names, and returns a function that applies it.
func (r *reloader) prepare(op *operator.File) (apply func(), err error) {
	dispatcher := r.dispatcher
	applyCertificates := func() {}
	if dispatcher.http2 != nil && op.HTTP2 != nil {
		if applyCertificates, err = dispatcher.http2.Prepare(op.HTTP2); err != nil {
			return nil, err
		}
	}
	return func() {
		applyCertificates()
		if dispatcher.retriesBounded && op.Retries != nil {
			dispatcher.setRetryRatio(op.Retries.RetryRatio)
		}
		if dispatcher.quotas != nil && op.Quotas != nil {
			dispatcher.quotas.SetQuotas(op.Quotas)
		}
	}, nil
}

// applyConfig applies the platform's file and returns the previous one.
func (r *reloader) applyConfig(config *protocol.Config) (old *protocol.Config) {
	dispatcher := r.dispatcher
	r.mu.Lock()
	old = r.config
	r.config = config
	r.mu.Unlock()
	dispatcher.setResourceLimits(config.Limits)
	dispatcher.applyResourceLimits()
	// The scheduler receives settings and jobs through one queue, so it gets the settings before any job that was decoded with
	// them.
	dispatcher.settings.Replace(&config.Settings, dispatcher.core.ApplySettings)
	dispatcher.registerClasses(&config.Settings)
	if discoveryChanged(old, config) {
		r.discovery = transport.NewDiscovery(config.Discovery, r.discovery.Settings, dispatcher.meter)
		dispatcher.endpointList.MoveDiscovery(r.discovery)
	}
	return old
}

// discoveryChanged reports whether discovery is at another address, or its answers must be decoded differently.
func discoveryChanged(old, config *protocol.Config) bool {
	return config.Discovery != old.Discovery ||
		!slices.Equal(config.Settings.Zones, old.Settings.Zones) ||
		!slices.Equal(config.Settings.Flavors, old.Settings.Flavors)
}

// changedRestartFields returns the fields of the platform's file that have changed and take effect only after a restart.
func changedRestartFields(old, config *protocol.Config) (fields []string) {
	if config.Name != old.Name {
		fields = append(fields, "name")
	}
	if config.Listen != old.Listen {
		fields = append(fields, "listen")
	}
	if config.Admin != old.Admin {
		fields = append(fields, "admin")
	}
	return fields
}

package program

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"

	"brassdale/internal/decisions/polling"
	"brassdale/internal/operator"
	"brassdale/internal/routing"
	"brassdale/internal/transport"
	"brassdale/internal/transport/http2"
	"brassdale/scheduler"
)

// errNeedsFleet rejects an operator's file with blocks that have no effect without a fleet.
var errNeedsFleet = errors.New("blocks failover and overload need a block council")

// build creates all parts and starts none of them.
func (d *dispatcher) build(ctx context.Context, in *inputs) error {
	clock := routing.NewClock()
	d.settings.Replace(&in.config.Settings, func(settings scheduler.Settings) {
		d.core = routing.NewCore(scheduler.New(settings, in.config.SeedNumber()), clock, d.log)
	})
	d.registerClasses(&in.config.Settings)
	d.endpoints = transport.NewEndpointPool(ctx, d.settings, d.core, d.log)
	if in.operator.EndpointCache != nil {
		d.cache = d.openEndpointCache(in.operator.EndpointCache, in.config.Name, d.settings.Current())
	}
	discovery := transport.NewDiscovery(in.config.Discovery, d.settings, d.meter)
	d.buildEndpointList(in, clock, discovery)
	d.reloader = newReloader(d, in, discovery)
	if err := d.buildLimits(in); err != nil {
		return err
	}
	if err := d.buildFrontends(in); err != nil { //nolint:contextcheck // to listen at an address does not block
		return err
	}
	d.setResourceLimits(in.config.Limits)
	return nil
}

// buildEndpointList creates the endpoint list, which starts with what is known before discovery answers.
func (d *dispatcher) buildEndpointList(in *inputs, clock routing.Clock, discovery *transport.Discovery) {
	first := d.chooseFirstList(in, clock)
	d.endpointList = routing.NewEndpointList(d.core, d.endpoints, discovery, first.known, d.log)
	d.endpointList.SetSource(first.source)
	d.endpointList.SetPollRules(func() polling.Rules { return transport.PollRules(d.settings.Current()) })
	if first.cached != nil {
		d.endpointList.StartFromCache(first.cached)
		age, ok := first.cached.Assessor.Age()
		d.log.Info("started from endpoint cache", "workers", len(first.cached.Endpoints), "age", age, "age_known", ok)
	}
	d.core.SetEndpoints(d.endpoints, d.endpointList.Subscribe)
}

// keysMemoryDivisor bounds the table of idempotency keys to 1/keysMemoryDivisor of the memory, unless the operator's file sets its size.
const keysMemoryDivisor = 8

// buildLimits creates the parts that limit requests: idempotency, the retry budget, the fleet and quotas.
func (d *dispatcher) buildLimits(in *inputs) error {
	op := in.operator
	if settings := op.IdempotencySettings(); settings != nil {
		if op.Keys == nil && in.config.Limits.MemoryMB > 0 { // a block "keys" says what the operator wants
			settings.KeepMB = min(settings.KeepMB, max(in.config.Limits.MemoryMB/keysMemoryDivisor, 1))
		}
		d.idempotencyTable = transport.NewIdempotencyTable(settings, d.inFlightIDs, op.Progress != nil)
	}
	if op.Retries != nil {
		d.setRetryRatio(op.Retries.RetryRatio)
		d.retriesBounded = true
	}
	if op.Fleet == nil && (op.Failover != nil || op.Overload != nil) {
		return errNeedsFleet
	}
	if op.Fleet != nil {
		if err := d.buildFleetAgent(op, in.config); err != nil {
			return fmt.Errorf("council: %w", err)
		}
	}
	if op.Quotas != nil {
		d.quotas = transport.NewAccountQuotas(op.Quotas)
	}
	return nil
}

// buildFrontends creates the job frontend, and each other frontend for which the operator's file has a block.
func (d *dispatcher) buildFrontends(in *inputs) error {
	op := in.operator
	if err := d.addFrontend(in, "inbound", in.config.Listen, d.newJobFrontend); err != nil {
		return err
	}
	if op.Progress != nil {
		if err := d.addFrontend(in, "progress", op.Progress.Listen, d.newProgressFrontend(op)); err != nil {
			return err
		}
	}
	if op.HTTP2 != nil {
		if err := d.addFrontend(in, "http2", op.HTTP2.Listen, d.newHTTP2Frontend(op)); err != nil {
			return err
		}
	}
	if op.Fleet != nil && op.Fleet.DedicatedToControl {
		for _, f := range d.frontends {
			f.handler.DedicateToControl()
		}
	}
	return nil
}

// addFrontend adds a frontend at an address, with the predecessor's listener if there is one.
func (d *dispatcher) addFrontend(in *inputs, name, address string, build func(*net.TCPListener) (*frontend, error)) error {
	socket, err := in.predecessor.listener(name, address)
	if err != nil {
		return fmt.Errorf("%s: listen: %w", name, err)
	}
	added, err := build(socket)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	added.name = name
	if in.options.Level <= slog.LevelDebug { // otherwise each change would cost its arguments
		added.listener.LogPhases()
	}
	if added.server == nil {
		added.served = added.listener
		added.server = transport.Server(added.handler, d.log)
	}
	d.frontends = append(d.frontends, added)
	return nil
}

func (d *dispatcher) newJobFrontend(socket *net.TCPListener) (*frontend, error) {
	listener := transport.NewListener(socket, d.log)
	handler := transport.NewJobFrontend(d.core, d.settings, listener, d.inFlightIDs, d.idempotencyTable, d.quotas, nil, d.log)
	return &frontend{listener: listener, handler: handler}, nil
}

func (d *dispatcher) newProgressFrontend(op *operator.File) func(*net.TCPListener) (*frontend, error) {
	return func(socket *net.TCPListener) (*frontend, error) {
		listener := transport.NewListener(socket, d.log)
		d.progress = transport.NewProgressFrontend(d.core, d.settings, op.Progress, listener, d.inFlightIDs, d.idempotencyTable, d.quotas, d.log)
		return &frontend{listener: listener, handler: d.progress}, nil
	}
}

func (d *dispatcher) newHTTP2Frontend(op *operator.File) func(*net.TCPListener) (*frontend, error) {
	return func(socket *net.TCPListener) (*frontend, error) {
		listener := transport.NewMultiplexedListener(socket, d.log)
		handler, err := http2.New(op.HTTP2, d.core, d.settings, listener, d.inFlightIDs, d.idempotencyTable, d.quotas, d.log)
		if err != nil {
			return nil, err
		}
		d.http2 = handler
		return &frontend{listener: listener, handler: handler, served: handler.Listener(), server: handler.Server(op.HTTP2)}, nil
	}
}

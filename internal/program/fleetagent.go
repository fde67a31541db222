package program

import (
	"context"
	"slices"
	"sync"
	"time"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/fleet"
	"brassdale/internal/operator"
	"brassdale/internal/protocol"
	"brassdale/internal/zonerouting"
	"brassdale/scheduler"
)

// noRetryBound is the retry ratio that means no bound.
const noRetryBound = -1

// fleetAgent runs the fleet's agent and applies the fleet's rules to this dispatcher. If its own operators have set a limit too,
// the stricter one applies. The methods run, leave, proposeRules and hasDetached accept a nil receiver: the dispatcher is then in
// no fleet. The fields above mu do not change once run is called; mu guards those below it.
type fleetAgent struct {
	dispatcher *dispatcher
	agent      *fleet.Agent
	zoneRouter *zonerouting.Router // nil if failover is not planned
	rulesFile  string              // the rules in it are proposed at SIGHUP; empty if there is no such file
	cancel     func()              // ends agent.Run
	ended      chan struct{}       // closed when agent.Run has returned

	mu              sync.Mutex
	detached        map[string]bool // workers that the fleet has detached
	localRetryRatio float64         // of the operator's file; below 0 if it sets no bound
	fleetRetryRatio float64         // of the fleet's rules; below 0 if they set no bound
}

// buildFleetAgent creates the fleet agent, which does nothing before run.
func (d *dispatcher) buildFleetAgent(op *operator.File, config *protocol.Config) (err error) {
	built := &fleetAgent{
		dispatcher:      d,
		rulesFile:       op.Fleet.Rules,
		localRetryRatio: noRetryBound,
		fleetRetryRatio: noRetryBound,
	}
	if d.retriesBounded {
		built.localRetryRatio = d.retryRatio
	}
	if built.agent, err = fleet.New(built.options(op, config)); err != nil {
		return err
	}
	d.fleet = built
	d.retriesBounded = true
	if op.Overload != nil {
		d.core.SetFleetBudget(fleetBudget{built.agent})
	}
	retriesAllowed := func() bool { return built.agent.Effective().Rules.RetriesAllowed }
	d.core.SetRetryPermission(retriesAllowed)
	d.endpoints.RetriesAllowed = retriesAllowed
	return nil
}

// options returns the options of the agent, and creates the zone router if failover is planned.
func (a *fleetAgent) options(op *operator.File, config *protocol.Config) fleet.Options {
	dispatcher := a.dispatcher
	options := fleet.Options{
		Settings:       op.Fleet,
		Name:           config.Name,
		Zone:           zoneOf(&config.Settings),
		ApplyEffective: a.apply,
		JobCounts:      a.jobCounts,
		Meter:          dispatcher.meter,
		Log:            dispatcher.log,
	}
	if op.Failover != nil {
		a.zoneRouter = zonerouting.New(config.Name, dispatcher.settings)
		dispatcher.core.SetZoneRouter(a.zoneRouter)
		options.Failover = op.Failover
		options.Report = a.zoneRouter.Report
		options.HasUrgentChange = a.zoneRouter.HasUrgentChange
		options.PlanChanged = a.zoneRouter.ApplyPlan
	}
	if op.Overload != nil {
		options.Overload = op.Overload
		options.FirstAttempts = dispatcher.core.FirstAttempts
		options.MaxDispatchers = func() int { return dispatcher.settings.Current().ReplicasOfMe }
	}
	return options
}

// zoneOf returns the zone of this dispatcher according to the platform; empty if the platform gives no zone.
func zoneOf(settings *protocol.Settings) string {
	if settings.Locality < 0 || settings.Locality >= len(settings.Zones) {
		return ""
	}
	return settings.Zones[settings.Locality]
}

// run runs the agent in a goroutine until the context ends or leave is called.
func (a *fleetAgent) run(ctx context.Context) {
	if a == nil {
		return
	}
	ctx, a.cancel = context.WithCancel(ctx)
	a.ended = make(chan struct{})
	go func() {
		defer close(a.ended)
		a.agent.Run(ctx)
	}()
}

// leave makes the agent release its lease and notify the fleet. It waits for this until the deadline. If the agent is done by then,
// neither a successor of the same name nor a change has to wait for the lease to expire.
func (a *fleetAgent) leave(deadline time.Time) {
	if a == nil {
		return
	}
	a.cancel()
	select {
	case <-a.ended:
	case <-time.After(time.Until(deadline)):
	}
}

// fleetBudget takes uses of the fleet's budgets.
type fleetBudget struct{ agent *fleet.Agent }

// AllowRetry takes one use of the retry budget, if there is one.
func (b fleetBudget) AllowRetry() bool { return b.agent.AllowUse(fleet.RetryBudget) }

// AllowProbe takes one use of the probe budget, if there is one.
func (b fleetBudget) AllowProbe() bool { return b.agent.AllowUse(fleet.ProbeBudget) }

// jobCounts returns how many jobs have ended since the start, and how many of them were rejected or failed.
func (a *fleetAgent) jobCounts() (ended, failed uint64) {
	for _, class := range a.dispatcher.core.Counters().Metrics().Classes {
		ended += uint64(class.Served + class.Rejected + class.Failed)
		failed += uint64(class.Rejected + class.Failed)
	}
	return ended, failed
}

// proposeRules proposes the rules in rulesFile, in a goroutine that gives up when the context ends.
func (a *fleetAgent) proposeRules(ctx context.Context) {
	if a == nil {
		return
	}
	if a.rulesFile == "" {
		a.dispatcher.log.Info("no rules file to propose")
		return
	}
	rules, err := fleet.LoadRules(a.rulesFile)
	if err != nil {
		a.dispatcher.log.Error("rules file not proposed", "err", err)
		return
	}
	go a.agent.ProposeFile(ctx, *rules)
}

// apply applies the effective rules. The agent calls it with its lock held, so it must not block. Whether retries are allowed is
// not applied here, but checked for each retry.
func (a *fleetAgent) apply(effective configversions.Effective) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fleetRetryRatio = effective.Rules.RetryRatio
	a.applyRetryRatioLocked()
	if quotas := a.dispatcher.quotas; quotas != nil {
		quotas.CapQuotas(effective.Rules.QuotaCaps)
	}
	a.applyDetachedLocked(effective.Rules.DetachedWorkers)
}

// applyDetachedLocked detaches the workers that the fleet has detached. It reattaches the workers that are no longer detached by
// the fleet, unless this dispatcher's own operators have detached them. a.mu is held.
func (a *fleetAgent) applyDetachedLocked(ids []string) {
	core := a.dispatcher.core
	detachedLocally := a.dispatcher.operations.detached.list()
	detached := make(map[string]bool, len(ids))
	for _, id := range ids {
		detached[id] = true
		if !a.detached[id] {
			core.SetDetached(scheduler.WorkerID(id), true)
		}
	}
	for id := range a.detached {
		if !detached[id] && !slices.Contains(detachedLocally, id) {
			core.SetDetached(scheduler.WorkerID(id), false)
		}
	}
	a.detached = detached
}

// setLocalRetryRatio sets the limit of the operator's file: ratio is the number of retries and hedged attempts per first attempt.
func (a *fleetAgent) setLocalRetryRatio(ratio float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.localRetryRatio = ratio
	a.applyRetryRatioLocked()
}

// applyRetryRatioLocked applies the stricter of the two bounds. a.mu is held.
func (a *fleetAgent) applyRetryRatioLocked() {
	a.dispatcher.core.SetRetryRatio(configversions.StricterRetryRatio(a.localRetryRatio, a.fleetRetryRatio))
}

// hasDetached reports whether the fleet has detached a worker.
func (a *fleetAgent) hasDetached(id string) bool {
	if a == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.detached[id]
}

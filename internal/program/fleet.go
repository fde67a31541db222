package program

import (
	"context"
	"slices"
	"sync"
	"time"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/fleet"
	"brassdale/internal/protocol"
	"brassdale/internal/zonerouting"
	"brassdale/scheduler"
)

// agreed is what the fleet's rules are put in force by.
type agreed struct {
	d     *dispatcher
	agent *fleet.Agent

	mu    sync.Mutex
	out   map[string]bool     // boxes that the fleet has out
	own   float64             // the operator's own bound on further calls; below 0 for none
	fleet float64             // and the fleet's
	guide *zonerouting.Router // nil where nobody plans zones
	rules string              // the file that is proposed at SIGHUP; empty for none
	stop  func()              // ends the agent's life
	ended chan struct{}       // closed behind it
}

// run begins the agent's life.
func (a *agreed) run(ctx context.Context) {
	if a == nil {
		return
	}
	ctx, a.stop = context.WithCancel(ctx)
	a.ended = make(chan struct{})
	go func() {
		defer close(a.ended)
		a.agent.Run(ctx)
	}()
}

// leave has the agent drop its lease and tell the fleet that it leaves, as far as that can be done by then: a successor of the
// same name need not wait for the lease's end, and no change does.
func (a *agreed) leave(by time.Time) {
	if a == nil {
		return
	}
	a.stop()
	select {
	case <-a.ended:
	case <-time.After(time.Until(by)):
	}
}

// spend asks the fleet's budgets.
type spend struct{ agent *fleet.Agent }

func (s spend) AllowRetry() bool { return s.agent.AllowUse(fleet.RetryBudget) }
func (s spend) AllowProbe() bool { return s.agent.AllowUse(fleet.ProbeBudget) }

// jobs counts those that ended since the start, and those of them that were refused or failed.
func (a *agreed) jobs() (ended, bad uint64) {
	for _, t := range a.d.core.Counters().Metrics().Classes {
		ended += uint64(t.Served + t.Rejected + t.Failed)
		bad += uint64(t.Rejected + t.Failed)
	}
	return ended, bad
}

// reloaded proposes the rules in the file that the council's block names, where they are not in force, or says that nothing
// of the fleet's is read at SIGHUP.
func (a *agreed) reloaded() {
	if a == nil {
		return
	}
	if a.rules == "" {
		a.d.log.Info("the fleet's rules are not read at SIGHUP: 'brassdale fleet propose' changes them")
		return
	}
	r, err := fleet.LoadRules(a.rules)
	if err != nil {
		a.d.log.Error("the fleet's rules are not proposed", "err", err)
		return
	}
	go a.agent.ProposeFile(a.d.ctx, *r)
}

// agree makes the dispatcher's part in the fleet. It does nothing yet.
func (d *dispatcher) agree(s *fleet.Settings, zones *fleet.Failover, load *fleet.Overload, cfg *protocol.Config) (err error) {
	a := &agreed{d: d, own: -1, fleet: -1, rules: s.Rules}
	if d.budgeted {
		a.own = d.retries
	}
	zone := ""
	if p := &cfg.Settings; p.Locality >= 0 && p.Locality < len(p.Zones) {
		zone = p.Zones[p.Locality]
	}
	o := fleet.Options{Settings: s, Name: cfg.Name, Zone: zone, ApplyEffective: a.apply, JobCounts: a.jobs, Meter: d.meter, Log: d.log}
	if zones != nil {
		a.guide = zonerouting.New(cfg.Name, d.params)
		d.core.SetZoneRouter(a.guide)
		o.Failover, o.Report, o.HasUrgentChange, o.PlanChanged = zones, a.guide.Report, a.guide.HasUrgentChange, a.guide.ApplyPlan
	}
	if load != nil {
		o.Overload, o.FirstAttempts, o.MaxDispatchers = load, d.core.FirstAttempts, func() int { return d.params.Current().ReplicasOfMe }
	}
	if a.agent, err = fleet.New(o); err != nil {
		return err
	}
	d.agreed, d.budgeted = a, true
	if load != nil {
		d.core.SetFleetBudget(spend{a.agent})
	}
	may := func() bool { return a.agent.Effective().Rules.RetriesAllowed }
	d.core.SetRetryPermission(may)
	d.fleet.RetriesAllowed = may
	return nil
}

// apply puts what may be acted on in force: the stricter of it and of what operators said to this dispatcher alone. What is
// sent a second time is asked for at each call.
func (a *agreed) apply(s configversions.Effective) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fleet = s.Rules.RetryRatio
	a.limit()
	if a.d.accounts != nil {
		a.d.accounts.CapQuotas(s.Rules.Quotas)
	}
	own := a.d.operations.file.list()
	out := make(map[string]bool, len(s.Rules.DetachedWorkers))
	for _, id := range s.Rules.DetachedWorkers {
		if out[id] = true; !a.out[id] {
			a.d.core.SetDetached(scheduler.WorkerID(id), true)
		}
	}
	for id := range a.out {
		if !out[id] && !slices.Contains(own, id) {
			a.d.core.SetDetached(scheduler.WorkerID(id), false)
		}
	}
	a.out = out
}

// limit puts the smaller bound in force; a.mu is held.
func (a *agreed) limit() {
	share := a.own
	if a.fleet >= 0 && (share < 0 || a.fleet < share) {
		share = a.fleet
	}
	a.d.core.SetRetryRatio(share)
}

// has tells whether the fleet has a box out.
func (a *agreed) has(id string) bool {
	if a == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.out[id]
}

// limit puts the operator's own bound on further calls in force.
func (d *dispatcher) limit(share float64) {
	if d.retries = share; d.agreed == nil {
		d.core.SetRetryRatio(share)
		return
	}
	d.agreed.mu.Lock()
	defer d.agreed.mu.Unlock()
	d.agreed.own = share
	d.agreed.limit()
}

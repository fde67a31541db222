package scale

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/decisions/failover"
	"brassdale/internal/decisions/polling"
	"brassdale/internal/effectivestate"
	"brassdale/internal/fleet"
	"brassdale/internal/labsupport"
	"brassdale/internal/protocol"
	"brassdale/internal/routing"
	"brassdale/internal/traffic"
	"brassdale/internal/transport"
)

// hollowDispatcher is a dispatcher without jobs and without connections to workers. It runs a real fleet agent and calls discovery as a real
// dispatcher does. It simulates the job counts and probe results that the agent reports. A baseline one only calls discovery.
type hollowDispatcher struct {
	name      string
	agent     *fleet.Agent // nil for a baseline dispatcher
	meter     *traffic.Meter
	discovery *transport.Discovery
	startedAt time.Time

	mu              sync.Mutex
	effectiveStates []effectivestate.State
	raftState       raftState
	recorder        *failover.Recorder
	random          *rand.Rand
	reportedAt      time.Time // of the last report
	reportedJobs    uint64    // simulated jobs reported since the start
}

// randomStream is the random stream of a process's first hollow dispatcher; the others use the streams after it.
const randomStream = 1000

// newDispatcher returns a dispatcher that does not run yet. index is its index in the process.
func (s *hollowServer) newDispatcher(spec HollowDispatcherSpec, index uint64, log *slog.Logger) (*hollowDispatcher, error) {
	meter := &traffic.Meter{}
	d := &hollowDispatcher{name: spec.Name, meter: meter, discovery: transport.NewDiscovery(s.discoveryAddress, s.settings, meter)}
	if s.spec.Baseline {
		return d, nil
	}
	d.random = rand.New(rand.NewPCG(s.spec.Seed, randomStream+index))
	d.startedAt = time.Now()
	d.reportedAt = d.startedAt
	d.recorder = failover.NewRecorder(spec.Name, s.spec.Zone, 0)
	var err error
	d.agent, err = fleet.New(s.agentOptions(d, spec.Address, log))
	return d, err
}

// agentOptions returns the options of a dispatcher's agent.
func (s *hollowServer) agentOptions(dispatcher *hollowDispatcher, address string, log *slog.Logger) fleet.Options {
	settings := fleet.Default()
	settings.Name, settings.Listen = s.spec.Fleet, address
	settings.Voters, settings.AddressOverrides = s.spec.Voters, s.spec.AddressOverrides
	settings.Directory = filepath.Join(s.spec.Directory, dispatcher.name)
	settings.LeaseDuration, settings.ReplaceAfter = s.spec.LeaseDuration, s.spec.ReplaceAfter
	settings.Region, settings.Zone = s.spec.Region, s.spec.Zone
	options := fleet.Options{
		Settings:       &settings,
		Name:           dispatcher.name,
		Zone:           s.spec.Zone,
		ApplyEffective: dispatcher.applyEffective,
		JobCounts:      dispatcher.jobCounts,
		Meter:          dispatcher.meter,
		Log:            slog.New(raftStateHandler{log.With("hollow", dispatcher.name).Handler(), dispatcher}),
	}
	if s.spec.Failover != nil {
		options.Failover = s.spec.Failover
		options.PlanChanged = func(*failover.Plan, bool) {} // there are no jobs to route by the plan
		options.Report = func() *failover.Report { return dispatcher.report(&s.spec, s.settings.Current()) }
		options.HasUrgentChange = dispatcher.hasUrgentChange
	}
	if s.spec.Overload != nil {
		options.Overload = s.spec.Overload
		options.MaxDispatchers = func() int { return s.spec.FleetSize }
		options.FirstAttempts = func() uint64 {
			jobs, _ := dispatcher.jobCounts()
			return jobs
		}
	}
	return options
}

// run starts the dispatcher's goroutines, which run until the context ends.
func (d *hollowDispatcher) run(ctx context.Context, server *hollowServer) {
	go d.watchEndpoints(ctx, server.settings)
	if d.agent != nil {
		go d.agent.Run(ctx)
		go d.probeWorkers(ctx, server)
	}
}

// applyEffective records the state that the agent applies from now on.
func (d *hollowDispatcher) applyEffective(effective configversions.Effective) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.UnixMilli(time.Now().UnixMilli()) // to the millisecond, as real dispatchers log it: equally rounded times keep their order
	if last := len(d.effectiveStates) - 1; last >= 0 {
		d.effectiveStates[last].To = now
	}
	applied := effectivestate.State{From: now, Versions: slices.Clone(effective.Versions), Lapsed: effective.LeaseExpired}
	d.effectiveStates = append(d.effectiveStates, applied)
}

// appliedStates returns the states that the agent has applied until now.
func (d *hollowDispatcher) appliedStates() []effectivestate.State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.effectiveStates)
}

// currentRaftState returns the dispatcher's state in the raft group.
func (d *hollowDispatcher) currentRaftState() raftState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.raftState
}

// jobCounts returns the number of simulated jobs that were reported. The number of bad ones is always 0.
func (d *hollowDispatcher) jobCounts() (ended, bad uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reportedJobs, 0
}

// The probe rate of a hollow dispatcher, which is approximately that of package scheduler: each worker gets one probe a second from each of
// probersPerWorker dispatchers (maxProbers and probeInterval there). If there are more workers than allProbedWorkers, a dispatcher probes
// maxProbedWorkers of them once a second. A real dispatcher's subset depends on its jobs (chooseSubset), which a hollow one does not have.
const (
	allProbedWorkers   = 512
	maxProbedWorkers   = 32
	probersPerWorker   = 2
	budgetPollInterval = 250 * time.Millisecond // interval at which due probes are taken from the budget
)

// probesPerSecondOf returns how many probes a second a dispatcher of the spec would send.
func probesPerSecondOf(spec *HollowSpec) float64 {
	if spec.Workers <= allProbedWorkers {
		return float64(spec.Workers) / max(float64(spec.FleetSize)/probersPerWorker, 1)
	}
	return float64(min(spec.Workers, maxProbedWorkers))
}

// probeWorkers takes from the fleet's budget as many probes as a real dispatcher would send, until the context ends. For each probe it records
// whether a random zone answered.
func (d *hollowDispatcher) probeWorkers(ctx context.Context, server *hollowServer) {
	rate := probesPerSecondOf(&server.spec)
	zones := slices.Sorted(maps.Keys(server.spec.Capacity))
	for due := 0.0; ; due += rate * budgetPollInterval.Seconds() {
		for ; due >= 1; due-- {
			if d.agent.AllowUse(fleet.ProbeBudget) {
				d.recordProbe(zones, server.observed())
			}
		}
		if !labsupport.WaitUntil(ctx, time.Now().Add(budgetPollInterval)) {
			return
		}
	}
}

// recordProbe records a probe of a random zone. The probe counts as answered if the zone is observed.
func (d *hollowDispatcher) recordProbe(zones, observed []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	zone := zones[d.random.IntN(len(zones))]
	if slices.Contains(observed, zone) {
		d.recorder.ResponseReceived(zone, time.Since(d.startedAt))
	} else {
		d.recorder.AttemptUnanswered(zone, time.Since(d.startedAt))
	}
}

// hasUrgentChange reports whether a report should be sent to the leader at once.
func (d *hollowDispatcher) hasUrgentChange() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.recorder.HasUrgentChange(time.Since(d.startedAt))
}

// meanJobDuration is the mean execution time of simulated jobs and of the emulator's jobs.
const meanJobDuration = 200 * time.Millisecond

// report returns a report of the size of a real dispatcher's: on the zones that it probed, and on simulated jobs in its own zone.
func (d *hollowDispatcher) report(spec *HollowSpec, settings *protocol.Settings) *failover.Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	at := now.Sub(d.startedAt)
	class := settings.Classes[0]
	due := now.Sub(d.reportedAt).Seconds() * spec.Rate
	for d.reportedAt = now; due > 0 && d.random.Float64() < due; due-- {
		d.reportedJobs++
		d.recorder.JobArrived(class.Name, class.Credit)
		ran := time.Duration(d.random.ExpFloat64() * float64(meanJobDuration))
		d.recorder.AttemptEnded(spec.Zone, class.Name, false, true, ran, at)
	}
	report := d.recorder.Report(at, maps.Clone(spec.Capacity)) // the report keeps the map and rounds its values
	return &report
}

// Delays of calls to discovery. They are simpler than a real dispatcher's: package polling schedules its calls (polling.Schedule), and its
// scheduler decides when to poll the list again (pollDelay in package scheduler). maxFirstCallDelay and maxRetryDelay are equal to
// maxFirstPollDelay and MaxListRetryDelay there.
const (
	firstCallSpread   = 50 * time.Millisecond // the first calls are spread over this time multiplied by the number of the fleet's dispatchers
	maxFirstCallDelay = 3 * time.Second
	maxRetryDelay     = 900 * time.Millisecond // after a failed call
)

// watchEndpoints calls discovery until the context ends, and discards the endpoints. Between calls that succeed it waits as a real dispatcher
// does (polling.RewatchDelay).
func (d *hollowDispatcher) watchEndpoints(ctx context.Context, settings *protocol.LiveSettings) {
	first := rand.Float64() * float64(settings.Current().ReplicasOfMe) * firstCallSpread.Seconds()
	delay, revision, kind := time.Duration(first*float64(time.Second)), int64(routing.NoRevision), polling.FullList
	for {
		if !labsupport.WaitUntil(ctx, time.Now().Add(min(delay, maxFirstCallDelay))) {
			return
		}
		update, err := d.discovery.Call(ctx, revision, kind)
		if err != nil { // a real dispatcher's schedule would set the delay
			delay, kind = time.Duration(rand.Float64()*float64(maxRetryDelay)), polling.Poll
			continue
		}
		changed := update.Revision != revision || len(update.Endpoints) > 0
		revision, kind = update.Revision, polling.Watch
		delay = polling.RewatchDelay(changed, update.BeforeWaitEnded, settings.Current().ReplicasOfMe, rand.Float64())
	}
}

package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"brassdale/internal/decisions/configversions"
	planning "brassdale/internal/decisions/failover"
	"brassdale/internal/decisions/polling"
	"brassdale/internal/faults"
	"brassdale/internal/fleet"
	"brassdale/internal/protocol"
	"brassdale/internal/routing"
	"brassdale/internal/traffic"
	"brassdale/internal/transport"
	"brassdale/scheduler"
)

// Spec is what a process of hollow dispatchers is told. All of them are of one zone.
type HollowSpec struct {
	ConfigPath       string                 `json:"config"` // the platform's file, for discovery and the settings
	Directory        string                 `json:"directory"`
	Fleet            string                 `json:"fleet"`
	Zone             string                 `json:"zone"`
	Region           string                 `json:"region"`
	LeaseDuration    string                 `json:"bound"`
	ReplaceAfter     string                 `json:"replace"`
	Voters           []string               `json:"voters"`
	FleetSize        int                    `json:"among"`
	Capacity         map[string]float64     `json:"capacity"` // slots by zone, as reports have them
	Workers          int                    `json:"workers"`
	Rate             float64                `json:"rate"` // jobs a second of one dispatcher, as reports have them
	Failover         *fleet.Failover        `json:"failover"`
	Overload         *fleet.Overload        `json:"overload"`
	AddressOverrides map[string]string      `json:"reach,omitempty"`
	Seed             uint64                 `json:"seed"`
	Bare             bool                   `json:"bare"` // they agree on nothing: there are calls to discovery alone
	Dispatchers      []HollowDispatcherSpec `json:"each"`
}

// HollowSpec is one of them.
type HollowDispatcherSpec struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// LoadSpec reads one from a file.
func LoadHollowSpec(path string) (s HollowSpec, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(text, &s)
}

// Hollow is a process's hollow dispatchers.
type hollowServer struct {
	spec             HollowSpec
	settings         *protocol.LiveSettings
	discoveryAddress string // discovery
	stalls           stallDetector
	dispatchers      []*hollowDispatcher

	mu            sync.Mutex
	observedZones []string // zones of which there are answers
}

// hollow is a dispatcher without jobs and endpoints.
type hollowDispatcher struct {
	name      string
	agent     *fleet.Agent // nil for a bare one
	meter     *traffic.Meter
	discovery *transport.Discovery

	mu              sync.Mutex
	effectiveStates []faults.EffectiveState
	recorder        *planning.Recorder
	rng             *rand.Rand
	startedAt       time.Time
	reportedAt      time.Time // of the last report
	claimedJobs     uint64    // that it claims since its start
	raftRole        RaftRole
}

// Role is what a hollow dispatcher is in the council.
type RaftRole struct {
	Voter       bool      `json:"seated,omitempty"`
	LeaderSince time.Time `json:"leads,omitzero"` // since then
}

// roles has a hollow dispatcher's role follow what its agent logs.
type raftRoleHandler struct {
	slog.Handler
	dispatcher *hollowDispatcher
}

func (h raftRoleHandler) Handle(ctx context.Context, r slog.Record) error {
	x := h.dispatcher
	x.mu.Lock()
	switch r.Message {
	case "became voter":
		x.raftRole.Voter = true
	case "no longer a voter":
		x.raftRole = RaftRole{}
	case "leadership changed":
		x.raftRole.LeaderSince = time.Time{}
		r.Attrs(func(a slog.Attr) bool {
			if a.Key == "leads" && a.Value.Bool() {
				x.raftRole.LeaderSince = r.Time
			}
			return true
		})
	}
	x.mu.Unlock()
	return h.Handler.Handle(ctx, r)
}

// Counts are what a process of hollow dispatchers has counted.
type hollowCounts struct {
	LateTicks []lateTick                          `json:"late"`
	Control   map[string]map[string]traffic.Count `json:"each"`  // by dispatcher and kind
	Roles     map[string]RaftRole                 `json:"roles"` // of those that have a seat
}

// Serve holds the hollow dispatchers of a spec until the reader ends, and tells the writer where it is asked for counts.
func ServeHollow(ctx context.Context, spec HollowSpec, until io.Reader, status io.Writer, log *slog.Logger) error {
	cfg, err := protocol.LoadConfig(spec.ConfigPath, os.Getenv)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	h := &hollowServer{spec: spec, settings: &protocol.LiveSettings{}, discoveryAddress: cfg.Discovery, observedZones: slices.Sorted(maps.Keys(spec.Capacity))}
	h.settings.Replace(&cfg.Settings, func(scheduler.Settings) {})
	for i, e := range spec.Dispatchers {
		x, err := h.newDispatcher(e, uint64(i), log)
		if err != nil {
			return fmt.Errorf("%s: %w", e.Name, err)
		}
		h.dispatchers = append(h.dispatchers, x)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(h.counts()) })
	mux.HandleFunc("GET /stands", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(h.effectiveStates()) })
	mux.HandleFunc("POST /hears", h.handleObservedZones)
	server := &http.Server{Handler: mux}
	go server.Serve(l)
	defer server.Close()
	go h.stalls.run(ctx)
	for _, x := range h.dispatchers {
		go x.watchEndpoints(ctx, h.settings)
		if x.agent != nil {
			go x.agent.Run(ctx)
			go x.probeWorkers(ctx, h)
		}
	}
	if _, err := fmt.Fprintln(status, l.Addr()); err != nil {
		return err
	}
	// They end with the process: no leave is said that a killed one would not say.
	ended := make(chan struct{})
	go func() { defer close(ended); _, _ = io.Copy(io.Discard, until) }()
	select {
	case <-ended:
	case <-ctx.Done():
	}
	return nil
}

func (h *hollowServer) newDispatcher(e HollowDispatcherSpec, n uint64, log *slog.Logger) (*hollowDispatcher, error) {
	s := fleet.Default()
	s.Name, s.Listen, s.Voters, s.Directory = h.spec.Fleet, e.Address, h.spec.Voters, filepath.Join(h.spec.Directory, e.Name)
	s.LeaseDuration, s.ReplaceAfter, s.Region, s.Zone, s.AddressOverrides = h.spec.LeaseDuration, h.spec.ReplaceAfter, h.spec.Region, h.spec.Zone, h.spec.AddressOverrides
	meter := &traffic.Meter{}
	if h.spec.Bare {
		return &hollowDispatcher{name: e.Name, meter: meter, discovery: transport.NewDiscovery(h.discoveryAddress, h.settings, meter)}, nil
	}
	x := &hollowDispatcher{name: e.Name, meter: meter, rng: rand.New(rand.NewPCG(h.spec.Seed, 1000+n)), startedAt: time.Now(), reportedAt: time.Now(),
		recorder: planning.NewRecorder(e.Name, h.spec.Zone, 0)}
	o := fleet.Options{Settings: &s, Name: e.Name, Zone: h.spec.Zone, ApplyEffective: x.apply, JobCounts: x.jobCounts, Meter: x.meter,
		Log: slog.New(raftRoleHandler{log.With("hollow", e.Name).Handler(), x})}
	if h.spec.Failover != nil {
		o.Failover, o.PlanChanged = h.spec.Failover, func(*planning.Plan, bool) {}
		o.Report = func() *planning.Report { return x.report(&h.spec, h.settings.Current()) }
		o.HasUrgentChange = x.hasUrgentChange
	}
	if h.spec.Overload != nil {
		o.Overload, o.MaxDispatchers = h.spec.Overload, func() int { return h.spec.FleetSize }
		o.FirstAttempts = func() uint64 { n, _ := x.jobCounts(); return n }
	}
	var err error
	if x.agent, err = fleet.New(o); err != nil {
		return nil, err
	}
	x.discovery = transport.NewDiscovery(h.discoveryAddress, h.settings, x.meter)
	return x, nil
}

// apply notes what is acted on from now on.
func (x *hollowDispatcher) apply(s configversions.Effective) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.UnixMilli(time.Now().UnixMilli()) // as real ones log it: rounded alike, what came later is not earlier
	if n := len(x.effectiveStates); n > 0 {
		x.effectiveStates[n-1].To = now
	}
	x.effectiveStates = append(x.effectiveStates, faults.EffectiveState{From: now, Versions: slices.Clone(s.Versions), Lapsed: s.LeaseExpired})
}

// counted are the jobs that it claims to have ended.
func (x *hollowDispatcher) jobCounts() (ended, bad uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.claimedJobs, 0
}

// hollowWork is how long a claimed job ran.
const claimedJobDuration = 200 * time.Millisecond

// probe asks for as many probes as the module would, and hears of a worker's zone by each that the fleet's budget allows.
func (x *hollowDispatcher) probeWorkers(ctx context.Context, h *hollowServer) {
	rate := float64(min(h.spec.Workers, maxProbedWorkers))
	if h.spec.Workers <= allProbedWorkers {
		rate = float64(h.spec.Workers) / max(float64(h.spec.FleetSize)/probersPerWorker, 1)
	}
	zones := slices.Sorted(maps.Keys(h.spec.Capacity))
	for due := 0.0; ; due += rate * probeInterval.Seconds() {
		for ; due >= 1; due-- {
			if !x.agent.AllowUse(fleet.ProbeBudget) {
				continue
			}
			hears := h.currentlyObserved()
			x.mu.Lock()
			if zone := zones[x.rng.IntN(len(zones))]; slices.Contains(hears, zone) {
				x.recorder.ResponseReceived(zone, time.Since(x.startedAt))
			} else {
				x.recorder.AttemptUnanswered(zone, time.Since(x.startedAt))
			}
			x.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(probeInterval):
		}
	}
}

// What the module does about probes: each worker has two dispatchers' worth a second, and past some a dispatcher looks at a
// few of them alone, once a second.
const (
	allProbedWorkers = 512
	maxProbedWorkers = 32
	probersPerWorker = 2
	probeInterval    = 250 * time.Millisecond
)

// urgent is as a real dispatcher's guide has it.
func (x *hollowDispatcher) hasUrgentChange() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.recorder.HasUrgentChange(time.Since(x.startedAt))
}

// report is of the shape that a real dispatcher's has: its probes tell it of zones, and its jobs of its own.
func (x *hollowDispatcher) report(spec *HollowSpec, p *protocol.Settings) *planning.Report {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	at := now.Sub(x.startedAt)
	class := p.Classes[0]
	due := now.Sub(x.reportedAt).Seconds() * spec.Rate
	for x.reportedAt = now; due > 0 && x.rng.Float64() < due; due-- {
		x.claimedJobs++
		x.recorder.JobArrived(class.Name, class.Credit)
		x.recorder.AttemptEnded(spec.Zone, class.Name, false, true, time.Duration(x.rng.ExpFloat64()*float64(claimedJobDuration)), at)
	}
	r := x.recorder.Report(at, maps.Clone(spec.Capacity)) // it keeps the map, and rounds what is in it
	return &r
}

// watch calls discovery as routing.EndpointList does, and retains nothing of its responses.
func (x *hollowDispatcher) watchEndpoints(ctx context.Context, params *protocol.LiveSettings) {
	first := rand.Float64() * float64(params.Current().ReplicasOfMe) * firstCallSpread.Seconds()
	wait, revision, kind := time.Duration(first*float64(time.Second)), int64(routing.FullList), polling.FullList
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(min(wait, maxFirstCallDelay)):
		}
		u, err := x.discovery.Call(ctx, revision, kind)
		if err != nil { // the module would decide when
			wait, kind = time.Duration(rand.Float64()*float64(maxRetryDelay)), polling.Poll
			continue
		}
		fresh := u.Revision != revision || len(u.Endpoints) > 0
		revision, kind = u.Revision, polling.Watch
		wait = polling.RewatchDelay(fresh, u.BeforeWaitEnded, params.Current().ReplicasOfMe, rand.Float64())
	}
}

// What the module does about the first call, and about one that failed.
const (
	firstCallSpread   = 50 * time.Millisecond
	maxFirstCallDelay = 3 * time.Second
	maxRetryDelay     = 900 * time.Millisecond
)

func (h *hollowServer) counts() hollowCounts {
	c := hollowCounts{LateTicks: h.stalls.all(), Control: map[string]map[string]traffic.Count{}, Roles: map[string]RaftRole{}}
	for _, x := range h.dispatchers {
		c.Control[x.name] = x.meter.Counts()
		x.mu.Lock()
		if x.raftRole != (RaftRole{}) {
			c.Roles[x.name] = x.raftRole
		}
		x.mu.Unlock()
	}
	return c
}

// hear takes the zones of which there are answers from now on.
func (h *hollowServer) handleObservedZones(w http.ResponseWriter, r *http.Request) {
	var zones []string
	if err := json.NewDecoder(r.Body).Decode(&zones); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.mu.Lock()
	h.observedZones = zones
	h.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (h *hollowServer) currentlyObserved() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.observedZones
}

func (h *hollowServer) effectiveStates() map[string][]faults.EffectiveState {
	all := map[string][]faults.EffectiveState{}
	for _, x := range h.dispatchers {
		x.mu.Lock()
		all[x.name] = slices.Clone(x.effectiveStates)
		x.mu.Unlock()
	}
	return all
}

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
type Spec struct {
	Config    string             `json:"config"` // the platform's file, for discovery and the settings
	Directory string             `json:"directory"`
	Fleet     string             `json:"fleet"`
	Zone      string             `json:"zone"`
	Region    string             `json:"region"`
	Bound     string             `json:"bound"`
	Replace   string             `json:"replace"`
	Voters    []string           `json:"voters"`
	Among     int                `json:"among"`
	Capacity  map[string]float64 `json:"capacity"` // slots by zone, as reports have them
	Workers   int                `json:"workers"`
	Rate      float64            `json:"rate"` // jobs a second of one dispatcher, as reports have them
	Failover  *fleet.Failover    `json:"failover"`
	Overload  *fleet.Overload    `json:"overload"`
	Reach     map[string]string  `json:"reach,omitempty"`
	Seed      uint64             `json:"seed"`
	Bare      bool               `json:"bare"` // they agree on nothing: there are calls to discovery alone
	Each      []HollowSpec       `json:"each"`
}

// HollowSpec is one of them.
type HollowSpec struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// LoadSpec reads one from a file.
func LoadSpec(path string) (s Spec, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(text, &s)
}

// Hollow is a process's hollow dispatchers.
type Hollow struct {
	spec   Spec
	params *protocol.LiveSettings
	at     string // discovery
	late   ticker
	all    []*hollow

	mu        sync.Mutex
	observers []string // zones of which there are answers
}

// hollow is a dispatcher without jobs and endpoints.
type hollow struct {
	name  string
	agent *fleet.Agent // nil for a bare one
	meter *traffic.Meter
	find  *transport.Discovery

	mu              sync.Mutex
	effectiveStates []faults.EffectiveState
	watcher         *planning.Recorder
	rng             *rand.Rand
	begin           time.Time
	said            time.Time // of the last report
	jobs            uint64    // that it claims since its start
	role            Role
}

// Role is what a hollow dispatcher is in the council.
type Role struct {
	Seated bool      `json:"seated,omitempty"`
	Leads  time.Time `json:"leads,omitzero"` // since then
}

// roles has a hollow dispatcher's role follow what its agent logs.
type roles struct {
	slog.Handler
	of *hollow
}

func (h roles) Handle(ctx context.Context, r slog.Record) error {
	x := h.of
	x.mu.Lock()
	switch r.Message {
	case "became voter":
		x.role.Seated = true
	case "no longer a voter":
		x.role = Role{}
	case "leadership changed":
		x.role.Leads = time.Time{}
		r.Attrs(func(a slog.Attr) bool {
			if a.Key == "leads" && a.Value.Bool() {
				x.role.Leads = r.Time
			}
			return true
		})
	}
	x.mu.Unlock()
	return h.Handler.Handle(ctx, r)
}

// Counts are what a process of hollow dispatchers has counted.
type Counts struct {
	Late  []Late                              `json:"late"`
	Each  map[string]map[string]traffic.Count `json:"each"`  // by dispatcher and kind
	Roles map[string]Role                     `json:"roles"` // of those that have a seat
}

// Serve holds the hollow dispatchers of a spec until the reader ends, and tells the writer where it is asked for counts.
func Serve(ctx context.Context, spec Spec, until io.Reader, status io.Writer, log *slog.Logger) error {
	cfg, err := protocol.LoadConfig(spec.Config, os.Getenv)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	h := &Hollow{spec: spec, params: &protocol.LiveSettings{}, at: cfg.Discovery, observers: slices.Sorted(maps.Keys(spec.Capacity))}
	h.params.Replace(&cfg.Settings, func(scheduler.Settings) {})
	for i, e := range spec.Each {
		x, err := h.make(e, uint64(i), log)
		if err != nil {
			return fmt.Errorf("%s: %w", e.Name, err)
		}
		h.all = append(h.all, x)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(h.counts()) })
	mux.HandleFunc("GET /stands", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(h.effectiveStates()) })
	mux.HandleFunc("POST /hears", h.hear)
	server := &http.Server{Handler: mux}
	go server.Serve(l)
	defer server.Close()
	go h.late.run(ctx)
	for _, x := range h.all {
		go x.watch(ctx, h.params)
		if x.agent != nil {
			go x.agent.Run(ctx)
			go x.probe(ctx, h)
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

func (h *Hollow) make(e HollowSpec, n uint64, log *slog.Logger) (*hollow, error) {
	s := fleet.Default()
	s.Name, s.Listen, s.Voters, s.Directory = h.spec.Fleet, e.Address, h.spec.Voters, filepath.Join(h.spec.Directory, e.Name)
	s.LeaseDuration, s.ReplaceAfter, s.Region, s.Zone, s.AddressOverrides = h.spec.Bound, h.spec.Replace, h.spec.Region, h.spec.Zone, h.spec.Reach
	meter := &traffic.Meter{}
	if h.spec.Bare {
		return &hollow{name: e.Name, meter: meter, find: transport.NewDiscovery(h.at, h.params, meter)}, nil
	}
	x := &hollow{name: e.Name, meter: meter, rng: rand.New(rand.NewPCG(h.spec.Seed, 1000+n)), begin: time.Now(), said: time.Now(),
		watcher: planning.NewRecorder(e.Name, h.spec.Zone, 0)}
	o := fleet.Options{Settings: &s, Name: e.Name, Zone: h.spec.Zone, ApplyEffective: x.apply, JobCounts: x.counted, Meter: x.meter,
		Log: slog.New(roles{log.With("hollow", e.Name).Handler(), x})}
	if h.spec.Failover != nil {
		o.Failover, o.PlanChanged = h.spec.Failover, func(*planning.Plan, bool) {}
		o.Report = func() *planning.Report { return x.report(&h.spec, h.params.Current()) }
		o.HasUrgentChange = x.urgent
	}
	if h.spec.Overload != nil {
		o.Overload, o.MaxDispatchers = h.spec.Overload, func() int { return h.spec.Among }
		o.FirstAttempts = func() uint64 { n, _ := x.counted(); return n }
	}
	var err error
	if x.agent, err = fleet.New(o); err != nil {
		return nil, err
	}
	x.find = transport.NewDiscovery(h.at, h.params, x.meter)
	return x, nil
}

// apply notes what is acted on from now on.
func (x *hollow) apply(s configversions.Effective) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.UnixMilli(time.Now().UnixMilli()) // as real ones log it: rounded alike, what came later is not earlier
	if n := len(x.effectiveStates); n > 0 {
		x.effectiveStates[n-1].To = now
	}
	x.effectiveStates = append(x.effectiveStates, faults.EffectiveState{From: now, Versions: slices.Clone(s.Versions), Lapsed: s.LeaseExpired})
}

// counted are the jobs that it claims to have ended.
func (x *hollow) counted() (ended, bad uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.jobs, 0
}

// hollowWork is how long a claimed job ran.
const hollowWork = 200 * time.Millisecond

// probe asks for as many probes as the module would, and hears of a worker's zone by each that the fleet's budget allows.
func (x *hollow) probe(ctx context.Context, h *Hollow) {
	rate := float64(min(h.spec.Workers, maxProbed))
	if h.spec.Workers <= probedAll {
		rate = float64(h.spec.Workers) / max(float64(h.spec.Among)/maxProbers, 1)
	}
	zones := slices.Sorted(maps.Keys(h.spec.Capacity))
	for due := 0.0; ; due += rate * probeEvery.Seconds() {
		for ; due >= 1; due-- {
			if !x.agent.AllowUse(fleet.ProbeBudget) {
				continue
			}
			hears := h.observed()
			x.mu.Lock()
			if zone := zones[x.rng.IntN(len(zones))]; slices.Contains(hears, zone) {
				x.watcher.ResponseReceived(zone, time.Since(x.begin))
			} else {
				x.watcher.AttemptUnanswered(zone, time.Since(x.begin))
			}
			x.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(probeEvery):
		}
	}
}

// What the module does about probes: each worker has two dispatchers' worth a second, and past some a dispatcher looks at a
// few of them alone, once a second.
const (
	probedAll  = 512
	maxProbed  = 32
	maxProbers = 2
	probeEvery = 250 * time.Millisecond
)

// urgent is as a real dispatcher's guide has it.
func (x *hollow) urgent() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.watcher.HasUrgentChange(time.Since(x.begin))
}

// report is of the shape that a real dispatcher's has: its probes tell it of zones, and its jobs of its own.
func (x *hollow) report(spec *Spec, p *protocol.Settings) *planning.Report {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	at := now.Sub(x.begin)
	class := p.Classes[0]
	due := now.Sub(x.said).Seconds() * spec.Rate
	for x.said = now; due > 0 && x.rng.Float64() < due; due-- {
		x.jobs++
		x.watcher.JobArrived(class.Name, class.Credit)
		x.watcher.AttemptEnded(spec.Zone, class.Name, false, true, time.Duration(x.rng.ExpFloat64()*float64(hollowWork)), at)
	}
	r := x.watcher.Report(at, maps.Clone(spec.Capacity)) // it keeps the map, and rounds what is in it
	return &r
}

// watch calls discovery as routing.EndpointList does, and retains nothing of its responses.
func (x *hollow) watch(ctx context.Context, params *protocol.LiveSettings) {
	first := rand.Float64() * float64(params.Current().ReplicasOfMe) * firstEach.Seconds()
	wait, revision, kind := time.Duration(first*float64(time.Second)), int64(routing.FullList), polling.FullList
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(min(wait, maxFirst)):
		}
		u, err := x.find.Call(ctx, revision, kind)
		if err != nil { // the module would decide when
			wait, kind = time.Duration(rand.Float64()*float64(maxAgain)), polling.Poll
			continue
		}
		fresh := u.Revision != revision || len(u.Endpoints) > 0
		revision, kind = u.Revision, polling.Watch
		wait = polling.RewatchDelay(fresh, u.BeforeWaitEnded, params.Current().ReplicasOfMe, rand.Float64())
	}
}

// What the module does about the first call, and about one that failed.
const (
	firstEach = 50 * time.Millisecond
	maxFirst  = 3 * time.Second
	maxAgain  = 900 * time.Millisecond
)

func (h *Hollow) counts() Counts {
	c := Counts{Late: h.late.all(), Each: map[string]map[string]traffic.Count{}, Roles: map[string]Role{}}
	for _, x := range h.all {
		c.Each[x.name] = x.meter.Counts()
		x.mu.Lock()
		if x.role != (Role{}) {
			c.Roles[x.name] = x.role
		}
		x.mu.Unlock()
	}
	return c
}

// hear takes the zones of which there are answers from now on.
func (h *Hollow) hear(w http.ResponseWriter, r *http.Request) {
	var zones []string
	if err := json.NewDecoder(r.Body).Decode(&zones); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.mu.Lock()
	h.observers = zones
	h.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (h *Hollow) observed() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.observers
}

func (h *Hollow) effectiveStates() map[string][]faults.EffectiveState {
	all := map[string][]faults.EffectiveState{}
	for _, x := range h.all {
		x.mu.Lock()
		all[x.name] = slices.Clone(x.effectiveStates)
		x.mu.Unlock()
	}
	return all
}

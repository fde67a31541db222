package faults

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"brassdale/internal/emulator"
)

// Plan is a fleet and what befalls it.
type Plan struct {
	Seed              uint64
	Processes, Voters int
	Bound             time.Duration
	Span              time.Duration
	Every, Longest    time.Duration // between faults, and of one
	Kinds             []Kind
	Rate              float64       // jobs a second
	Proposals         time.Duration // between them
	Release           *Release      // nil for none
	Replace           time.Duration // a silent seat's
	Events            []Event       // in place of drawn ones
	Zones             *ZonePlan     // nil for one zone
	Overload          *Overload     // nil for none
	Older             int           // of the processes, the last ones, are of an older build
}

// Result is what came of it. The names of its figures are kept.
type Result struct {
	Seed             uint64             `json:"seed"`
	Processes        int                `json:"processes"`
	Faults           map[string]int     `json:"faults"`
	ContradictionMS  float64            `json:"contradiction_max_ms"`
	LapsedApartMS    float64            `json:"lapsed_apart_max_ms"` // one of the two held no lease, and sent nothing twice
	BoundMS          float64            `json:"bound_ms"`
	Jobs             int                `json:"jobs"`
	AnsweredOnce     int                `json:"answered_once"`
	AnsweredNever    int                `json:"answered_never"`
	AnsweredTwice    int                `json:"answered_twice"`
	LostWithProcess  int                `json:"lost_with_process"` // their process was killed or stood still meanwhile
	Refused          int                `json:"refused"`           // of those answered once
	RulesBroken      int                `json:"rules_broken"`
	Breaches         []string           `json:"breaches,omitempty"`
	Versions         uint64             `json:"versions"` // that came in force
	Withdrawn        int                `json:"withdrawn,omitempty"`
	Cost             *Cost              `json:"cost,omitempty"`  // of the fleet's own calls, without faults
	Voters           []uint64           `json:"seats,omitempty"` // of the council at the end
	Zones            *ZonesResult       `json:"failover,omitempty"`
	Overload         *OverloadResult    `json:"overload,omitempty"`
	RefusedOlder     int                `json:"refused_older,omitempty"` // proposals that older builds could not have read
	InForceP50MS     float64            `json:"in_force_p50_ms"`
	InForceP99MS     float64            `json:"in_force_p99_ms"`
	SettledMS        float64            `json:"settled_ms"` // behind the last fault, until all acted on one version with leases
	Restarted        int                `json:"restarted,omitempty"`
	ListCalls        int                `json:"list_calls,omitempty"`
	MaxListCalls     int                `json:"list_calls_most_s,omitempty"` // of all processes in any second
	ListRefused      int                `json:"list_refused,omitempty"`
	WatchGapMS       float64            `json:"watch_gap_max_ms,omitempty"` // that a process which was there had no call open
	EffectiveStates  [][]EffectiveState `json:"-"`
	Absences         [][]Absence        `json:"-"`
	Events           []Event            `json:"-"`
	Begin            time.Time          `json:"-"`
	Logs             []string           `json:"-"` // of the processes
	announced, force map[uint64]time.Time
}

// Bad tells whether a rule or the bound was broken.
func (r *Result) Bad() bool {
	return r.RulesBroken > 0 || r.ContradictionMS > r.BoundMS || r.AnsweredNever > 0 || r.AnsweredTwice > 0
}

// process is a dispatcher over its starts.
type process struct {
	node     *emulator.Node
	dir      string // its disk
	logs     string // of its earlier starts
	absences []Absence
	gone     bool
	lost     bool       // it does not come back
	env      []string   // beside the usual
	files    sync.Mutex // held while it is started or told of a new file
	state    State      // of its links: To is what it says
}

// play is a plan being played.
type play struct {
	Plan
	ctx      context.Context
	cluster  *emulator.Cluster
	scenario emulator.Scenario
	binary   string
	dir      string
	voters   []string
	ats      []string         // the processes' councils' addresses
	links    map[[2]int]*Link // from a process to another
	split    map[int]bool     // who is on one side of a split
	client   *http.Client

	mu  sync.Mutex
	all []*process
	r   *Result
}

// Play starts the fleet's processes with links between them, and plays.
func Play(ctx context.Context, p Plan, binary, dir string) (*Result, error) {
	s := emulator.LlanelliWorks(p.Seed)
	s.Span, s.Dispatchers, s.Traffic.Rate = p.Span, p.Processes, p.Rate
	if p.Release != nil {
		p.Release.cluster(&s)
	}
	if p.Overload != nil {
		p.Overload.cluster(&s)
	}
	if p.Zones != nil {
		p.Zones.cluster(&s)
		p.Rate = s.Traffic.Rate
	}
	cluster, err := emulator.Open(s)
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	f := &play{Plan: p, scenario: s, ctx: ctx, cluster: cluster, binary: binary, dir: dir, links: map[[2]int]*Link{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		r: &Result{Seed: p.Seed, Processes: p.Processes, Faults: map[string]int{}, BoundMS: float64(p.Bound.Milliseconds()),
			announced: map[uint64]time.Time{}, force: map[uint64]time.Time{}}}
	defer f.client.CloseIdleConnections()
	for i := range p.Processes {
		// Addresses of this run alone: the port of a voter that was killed was given to another's connection before it was back.
		l, err := net.Listen("tcp", fmt.Sprintf("127.88.%d.%d:0", os.Getpid()%250+1, i%250+1))
		if err != nil {
			return nil, err
		}
		f.ats = append(f.ats, l.Addr().String())
		l.Close()
	}
	f.voters = f.ats[:p.Voters]
	defer func() {
		for _, l := range f.links {
			l.Close()
		}
		for _, x := range f.all {
			if x.node != nil {
				_ = x.node.Signal(syscall.SIGCONT)
				x.node.Kill()
			}
		}
	}()
	for i := range p.Processes {
		x := &process{dir: filepath.Join(dir, fmt.Sprintf("disk-%d", i))}
		f.all = append(f.all, x)
		for v := range p.Processes {
			if v == i || p.Voters == 0 || len(p.Kinds)+len(p.Events) == 0 { // nothing befalls a link
				continue
			}
			if f.links[[2]int{i, v}], err = NewLink(f.ats[v], p.Seed+uint64(100*i+v)); err != nil {
				return nil, err
			}
		}
	}
	for i := range f.all {
		if err := f.start(i); err != nil {
			return nil, err
		}
	}
	return f.run()
}

// run plays the schedule, the jobs and the proposals beside each other.
func (f *play) run() (*Result, error) {
	if f.r.Events = f.Events; len(f.Kinds) > 0 {
		f.r.Events = Draw(f.Seed, f.Kinds, f.Processes, f.Voters, f.Span, f.Every, f.Longest)
	}
	f.r.Begin = time.Now()
	begin, end := f.r.Begin, f.r.Begin.Add(f.Span)
	before := f.cost()
	if f.Zones != nil || f.Overload != nil {
		f.cluster.StartFaults()
	}
	var wait sync.WaitGroup
	var failed error
	for _, e := range f.r.Events {
		f.r.Faults[string(e.Kind)]++
		wait.Go(func() {
			if !until(f.ctx, begin.Add(e.At)) {
				return
			}
			if err := f.applyFault(e, begin.Add(e.At+e.For)); err != nil {
				f.mu.Lock()
				failed = cmp.Or(failed, err)
				f.mu.Unlock()
			}
		})
	}
	wait.Go(func() { f.jobs(end) })
	if f.Voters > 0 {
		wait.Go(func() { f.proposals(end) })
	}
	if f.Release != nil {
		wait.Go(func() {
			if err := f.release(begin); err != nil {
				f.mu.Lock()
				failed = cmp.Or(failed, err)
				f.mu.Unlock()
			}
		})
	}
	wait.Wait()
	if failed != nil || f.ctx.Err() != nil {
		return nil, cmp.Or(failed, f.ctx.Err())
	}
	if f.Voters > 0 {
		f.settle()
	}
	if len(f.r.Events) == 0 && f.Release == nil {
		f.r.Cost = f.cost().since(before)
	}
	f.account()
	return f.r, nil
}

func until(ctx context.Context, at time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(at)):
		return true
	}
}

// jobs sends them, open loop, to processes that are there.
func (f *play) jobs(end time.Time) {
	rng := rand.New(rand.NewPCG(f.Seed, 3))
	var wait sync.WaitGroup
	for n, at := 0, time.Now(); at.Before(end); n++ {
		if !until(f.ctx, at) {
			break
		}
		at = at.Add(time.Duration(rng.ExpFloat64() / f.Rate * float64(time.Second)))
		f.mu.Lock()
		var there []*process
		for _, x := range f.all {
			if !x.gone {
				there = append(there, x)
			}
		}
		f.mu.Unlock()
		if len(there) == 0 {
			continue
		}
		x := there[rng.IntN(len(there))]
		wait.Go(func() { f.job(n, x) })
	}
	wait.Wait()
}

// jobWithin is how long a client waits.
const jobWithin = 5 * time.Second

func (f *play) job(n int, x *process) {
	sent := time.Now()
	f.mu.Lock()
	node := x.node
	f.mu.Unlock()
	ctx, stop := context.WithDeadline(f.ctx, sent.Add(jobWithin+500*time.Millisecond))
	defer stop()
	status, result := 0, ""
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/%s", node.Address, emulator.ClassName), strings.NewReader("drawing"))
	if err == nil {
		id := fmt.Sprintf("%016x%016x", f.Seed, n)
		for name, v := range map[string]string{"Req-Id": id, "Req-Kind": emulator.ClassName, "Req-Owner": "deeside-aero", "Idempotency-Key": id,
			"Req-Deadline-Ms": fmt.Sprint(jobWithin.Milliseconds())} {
			r.Header.Set(name, v)
		}
		var resp *http.Response
		if resp, err = f.client.Do(r); err == nil {
			var text []byte
			text, err = io.ReadAll(resp.Body)
			resp.Body.Close()
			status, result = resp.StatusCode, string(text)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.r.Jobs++
	f.count(sent, err == nil && status == http.StatusOK && f.scenario.InTime(result, time.Since(sent)))
	switch {
	case err == nil:
		f.r.AnsweredOnce++
		if status != http.StatusOK {
			f.r.Refused++
		}
	case slices.ContainsFunc(x.absences, func(a Absence) bool { return a.To.IsZero() || a.To.After(sent.Add(-time.Second)) }):
		f.r.LostWithProcess++
	default:
		f.r.AnsweredNever++
	}
}

// settle waits until all act on one version, with leases.
func (f *play) settle() {
	begin := time.Now()
	for time.Since(begin) < 20*time.Second && f.ctx.Err() == nil {
		all := f.effectiveStates()
		one := true
		for i, s := range all {
			if f.all[i].lost {
				continue
			}
			last := EffectiveState{Lapsed: true}
			if len(s) > 0 {
				last = s[len(s)-1]
			}
			one = one && !last.Lapsed && len(last.Versions) == 1 && last.Versions[0] == f.versionOf(all)
		}
		if one {
			f.r.SettledMS = float64(time.Since(begin).Milliseconds())
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	for _, x := range f.all { // their stacks are in the logs then
		if !x.lost && x.node.Signal(syscall.SIGQUIT) == nil {
			<-x.node.Ended()
		}
	}
	f.r.RulesBroken++
	f.r.Breaches = append(f.r.Breaches, "the fleet did not come to one version within 20 s of the last fault")
}

// versionOf is what the first process that is there acts on.
func (f *play) versionOf(all [][]EffectiveState) uint64 {
	for i, s := range all {
		if !f.all[i].lost && len(s) > 0 {
			return s[len(s)-1].Versions[0]
		}
	}
	return 0
}

func (f *play) effectiveStates() (all [][]EffectiveState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, x := range f.all {
		log := x.logs
		if !x.lost { // else it is in there already
			log += x.node.Log()
		}
		all = append(all, EffectiveStates(log, time.Now(), x.absences))
	}
	return all
}

// account draws the figures together.
func (f *play) account() {
	r := f.r
	r.EffectiveStates = f.effectiveStates()
	for _, x := range f.all {
		r.Absences, r.Logs = append(r.Absences, x.absences), append(r.Logs, x.logs+x.node.Log())
	}
	f.known()
	f.checkZones()
	f.overload()
	contradiction, lapsed := ContradictionTime(r.EffectiveStates)
	r.ContradictionMS, r.LapsedApartMS = float64(contradiction.Milliseconds()), float64(lapsed.Milliseconds())
	requested := f.cluster.DiscoveryCalls()
	r.ListCalls, r.MaxListCalls, r.ListRefused, r.WatchGapMS = requested.Calls, requested.Max, requested.Refused, float64(requested.Longest.Milliseconds())
	for _, b := range f.cluster.Breaches() {
		r.RulesBroken++
		r.Breaches = append(r.Breaches, b.String())
	}
	for _, all := range r.EffectiveStates {
		for _, s := range all {
			if v := s.Versions[0]; len(s.Versions) == 1 && !s.Lapsed {
				if at, ok := r.force[v]; !ok || s.From.Before(at) {
					r.force[v] = s.From
				}
				r.Versions = max(r.Versions, v)
			}
		}
	}
	var took []float64
	for v, at := range r.announced {
		if force, ok := r.force[v]; ok {
			took = append(took, float64(force.Sub(at).Milliseconds()))
		}
	}
	if slices.Sort(took); len(took) > 0 {
		r.InForceP50MS, r.InForceP99MS = took[len(took)/2], took[min(len(took)*99/100, len(took)-1)]
	}
}

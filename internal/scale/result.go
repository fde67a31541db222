package scale

import (
	"fmt"
	"runtime"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	"brassdale/internal/faults"
	"brassdale/internal/traffic"
)

// Result is what a plan came to. The names of its figures are kept.
type Result struct {
	Title           string    `json:"title"`
	Commit          string    `json:"commit"` // of the build
	Command         string    `json:"command"`
	Seed            uint64    `json:"seed"`
	At              time.Time `json:"at"`
	SpanS           float64   `json:"span_s"`
	LeaseDurationMS float64   `json:"bound_ms"`
	Packing         float64   `json:"packing"` // how much faster changes came than on a day of the plan
	Dispatchers     int       `json:"dispatchers"`
	Hollow          int       `json:"hollow"`
	Processes       int       `json:"processes"`
	Real            int       `json:"real"`
	Bare            int       `json:"bare"`
	Workers         int       `json:"workers"`
	Accelerators    int       `json:"accelerators"`
	Zones           int       `json:"zones"`
	Regions         int       `json:"regions"`
	Teams           int       `json:"teams"`
	Voters          int       `json:"seats"`
	SetAside        int       `json:"set_aside"`
	Changes         int       `json:"changes"`

	BytesP50        float64 `json:"control_bytes_s_p50"` // both ways, over dispatchers that are not set aside
	BytesP99        float64 `json:"control_bytes_s_p99"`
	BytesMean       float64 `json:"control_bytes_s_mean"`
	Messages        float64 `json:"control_messages_s"`
	CPU             float64 `json:"control_cpu_ms_s"`  // of a real one, less a bare one's
	Memory          float64 `json:"control_memory_mb"` // the same
	HollowCPU       float64 `json:"hollow_cpu_ms_s"`
	VoterBytesMax   float64 `json:"seat_bytes_s_most"`
	VoterCPUMax     float64 `json:"seat_cpu_ms_s_most"`
	LeaderBytes     float64 `json:"leader_bytes_s"`
	LeaderCPU       float64 `json:"leader_cpu_ms_s"`
	VoterMemoryMax  float64 `json:"seat_memory_mb_most"`
	RealCPU         float64 `json:"real_cpu_ms_s"` // whole, as that of the others
	BareCPU         float64 `json:"bare_cpu_ms_s"`
	HollowBareCPU   float64 `json:"hollow_bare_cpu_ms_s,omitempty"`
	RealMemory      float64 `json:"real_memory_mb"`
	BareMemory      float64 `json:"bare_memory_mb"`
	HollowBytesMean float64 `json:"hollow_bytes_s_mean"`
	RealBytesMean   float64 `json:"real_bytes_s_mean"`
	HollowMessages  float64 `json:"hollow_messages_s"`
	RealMessages    float64 `json:"real_messages_s"`

	BytesByKind       map[string]float64 `json:"bytes_by_kind"` // a dispatcher, a second
	MessagesByKind    map[string]float64 `json:"messages_by_kind"`
	LeaderBytesByKind map[string]float64 `json:"leader_bytes_by_kind"`
	VoterBytesByKind  map[string]float64 `json:"seat_bytes_by_kind"` // of those that do not lead, on average
	HollowBytesByKind map[string]float64 `json:"hollow_bytes_by_kind"`
	RealBytesByKind   map[string]float64 `json:"real_bytes_by_kind"`
	DiscoveryCalls    float64            `json:"discovery_calls_s"` // of all
	DiscoveryBytes    float64            `json:"discovery_bytes_s"`

	InForceP50MS      float64   `json:"in_force_p50_ms"` // over changes and dispatchers
	InForceP99MS      float64   `json:"in_force_p99_ms"`
	InForceP999MS     float64   `json:"in_force_p999_ms"`
	InForceMissing    int       `json:"in_force_missing"`     // changes at dispatchers that were there and never acted on them
	ReturnedInForceMS []float64 `json:"returned_in_force_ms"` // from their return until they acted on the newest
	ContradictionMS   float64   `json:"contradiction_max_ms"`
	RulesBroken       int       `json:"rules_broken"`
	Breaches          []string  `json:"breaches,omitempty"`
	WorkerProbes      int       `json:"worker_probes"` // of real dispatchers, since the start
	Jobs              int       `json:"jobs"`
	AnsweredOnce      int       `json:"answered_once"`
	AnsweredNever     int       `json:"answered_never"`
	LostWithProcess   int       `json:"lost_with_process"` // their dispatcher was killed meanwhile

	FellBehind    bool      `json:"fell_behind"` // the machine, not the fleet, was the limit: the run does not count
	FellBehindWhy string    `json:"fell_behind_why,omitempty"`
	MachineBusy   float64   `json:"machine_busy"` // of all cores
	Interface     Interface `json:"interface"`
	Rest          *Rest     `json:"rest,omitempty"`
	Change        *Change   `json:"change,omitempty"`
	Failures      []Failure `json:"failures,omitempty"`
}

// Interface sets the loopback interface's bytes, without what the kernel adds and the runner asks, beside those counted; what
// links carry is in it once, where that is counted. It is
// empty in runs with a fault: dispatchers take their counts with them.
type Interface struct {
	Bytes        float64 `json:"bytes_s"`
	Counted      float64 `json:"counted_bytes_s"`
	CountedShare float64 `json:"ratio"` // of the second to the first
	Links        float64 `json:"links_bytes_s,omitempty"`
}

// Rest is a dispatcher's cost without any change.
type Rest struct {
	SpanS       float64            `json:"span_s"`
	Bytes       float64            `json:"bytes_s"`
	Messages    float64            `json:"messages_s"`
	BytesByKind map[string]float64 `json:"bytes_by_kind"`
}

// Change is what one change costs a dispatcher.
type Change struct {
	Bytes float64 `json:"bytes"`
}

// Bad tells whether a rule or the bound was broken.
func (r *Result) Violated() bool {
	return r.RulesBroken > 0 || r.ContradictionMS > 0 || r.AnsweredNever > 0 || r.InForceMissing > 0
}

// Err tells why a run does not count, or what was broken in it.
func (r *Result) Err() error {
	switch {
	case r.FellBehind:
		return fmt.Errorf("the machine fell behind, the run does not count: %s", r.FellBehindWhy)
	case r.Violated():
		return fmt.Errorf("%d rules broken, contradiction %.1f ms, %d jobs never answered, %d changes not acted on", r.RulesBroken, r.ContradictionMS, r.AnsweredNever, r.InForceMissing)
	}
	return nil
}

func total(m *traffic.Meter) traffic.Count { return traffic.Total(m.Counts()) }

// account draws the figures together.
func (f *run) result(before, rested, after snapshot) *Result {
	r := &Result{Title: f.Title, Seed: f.Seed, At: f.beganAt.UTC(), LeaseDurationMS: float64(f.LeaseDuration.Milliseconds()), Packing: f.Packing(),
		Dispatchers: f.Dispatchers, Hollow: f.Hollow, Processes: f.Processes, Real: f.Real(), Bare: f.Bare, Workers: f.Workers, Accelerators: f.Accelerators,
		Zones: f.Zones, Regions: f.Regions, Teams: f.Teams, Voters: f.Voters, SetAside: f.SetAside,
		Jobs: f.jobCounts.sent, AnsweredOnce: f.jobCounts.answered, AnsweredNever: f.jobCounts.unanswered, LostWithProcess: f.jobCounts.lost, ReturnedInForceMS: []float64{}}
	for _, c := range f.changes {
		if c.at.Before(after.at) {
			r.Changes++
		}
	}
	f.addTraffic(r, before, after)
	f.addUsage(r, before, after)
	f.checkMachine(r, before, after)
	r.WorkerProbes = len(f.cluster.Spent().Probes)
	if f.Fault == nil {
		f.addInterface(r, before, after)
	}
	if !rested.at.IsZero() {
		x := &Rest{SpanS: rested.at.Sub(before.at).Seconds()}
		each := f.ratesOf(before, rested, f.servingDispatchers(func(*fleetDispatcher) bool { return true }))
		x.Bytes, x.Messages, x.BytesByKind = mean(each.bytes), mean(each.messages), each.bytesByKind
		if r.Rest = x; r.Changes > 0 {
			r.Change = &Change{(r.BytesMean - x.Bytes) * r.SpanS / float64(r.Changes)}
		}
	}
	all := f.histories()
	f.addReturns(r, all)
	f.addInForce(r, all, after.lateTicks)
	var states [][]faults.EffectiveState
	for _, h := range all {
		states = append(states, h.effectiveStates)
	}
	contradiction, _ := faults.ContradictionTime(states)
	r.ContradictionMS = float64(contradiction.Microseconds()) / 1000
	if f.Fault != nil {
		r.Failures = []Failure{f.failure(all)}
	}
	for _, b := range f.cluster.Breaches() {
		r.RulesBroken++
		r.Breaches = append(r.Breaches, b.String())
	}
	return r
}

// serving gives the dispatchers that are not set aside, as far as they are wanted.
func (f *run) servingDispatchers(want func(*fleetDispatcher) bool) (all []*fleetDispatcher) {
	for _, m := range f.dispatchers {
		if m.role == roleServing && want(m) {
			all = append(all, m)
		}
	}
	return all
}

// costs are some dispatchers', a second.
type controlRates struct {
	bytes, messages             []float64 // each one's
	bytesByKind, messagesByKind map[string]float64
}

func (f *run) ratesOf(before, after snapshot, who []*fleetDispatcher) controlRates {
	c := controlRates{bytesByKind: map[string]float64{}, messagesByKind: map[string]float64{}}
	seconds := after.at.Sub(before.at).Seconds()
	for _, m := range who {
		spent, ok := controlBetween(before, after, m.name)
		if !ok {
			continue
		}
		all := traffic.Total(spent)
		c.bytes, c.messages = append(c.bytes, float64(all.Bytes())/seconds), append(c.messages, float64(all.Messages)/seconds)
		for kind, x := range spent {
			c.bytesByKind[kind] += float64(x.Bytes()) / seconds
			c.messagesByKind[kind] += float64(x.Messages) / seconds
		}
	}
	for kind := range c.bytesByKind {
		c.bytesByKind[kind] /= float64(len(c.bytes))
		c.messagesByKind[kind] /= float64(len(c.bytes))
	}
	slices.Sort(c.bytes)
	return c
}

// quantile of sorted figures; 0 of none.
func quantile(p float64, sorted []float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return stat.Quantile(p, stat.Empirical, sorted, nil)
}

func mean(x []float64) float64 {
	if len(x) == 0 {
		return 0
	}
	return stat.Mean(x, nil)
}

// bytes are the counts' figures.
func (f *run) addTraffic(r *Result, before, after snapshot) {
	r.SpanS = after.at.Sub(before.at).Seconds()
	all := f.ratesOf(before, after, f.servingDispatchers(func(*fleetDispatcher) bool { return true }))
	r.BytesP50, r.BytesP99, r.BytesMean = quantile(0.5, all.bytes), quantile(0.99, all.bytes), mean(all.bytes)
	r.Messages, r.BytesByKind, r.MessagesByKind = mean(all.messages), all.bytesByKind, all.messagesByKind
	hollow := f.ratesOf(before, after, f.servingDispatchers(func(m *fleetDispatcher) bool { return m.hollow }))
	real := f.ratesOf(before, after, f.servingDispatchers(func(m *fleetDispatcher) bool { return !m.hollow && m.voterNumber == 0 }))
	r.HollowBytesMean, r.RealBytesMean, r.HollowBytesByKind, r.RealBytesByKind = mean(hollow.bytes), mean(real.bytes), hollow.bytesByKind, real.bytesByKind
	r.HollowMessages, r.RealMessages = mean(hollow.messages), mean(real.messages)
	var seats, leads []*fleetDispatcher
	for _, m := range f.dispatchers {
		switch {
		case m.name == after.leader:
			leads = append(leads, m)
		case after.voters[m.name]:
			seats = append(seats, m)
		}
	}
	for _, m := range append(slices.Clone(seats), leads...) {
		r.VoterBytesMax = max(r.VoterBytesMax, mean(f.ratesOf(before, after, []*fleetDispatcher{m}).bytes))
	}
	r.VoterBytesByKind = f.ratesOf(before, after, seats).bytesByKind
	x := f.ratesOf(before, after, leads)
	r.LeaderBytes, r.LeaderBytesByKind = mean(x.bytes), x.bytesByKind
	for name := range after.control {
		spent, _ := controlBetween(before, after, name)
		d := spent[traffic.Discovery.String()]
		r.DiscoveryCalls += float64(d.Messages) / r.SpanS
		r.DiscoveryBytes += float64(d.Bytes()) / r.SpanS
	}
}

// usage are the figures of processor and memory.
func (f *run) addUsage(r *Result, before, after snapshot) {
	used := map[dispatcherRole][2][]float64{} // milliseconds a second, and MB
	for _, m := range f.dispatchers {
		ms, mb := cpuBetween(before, after, m.name)/r.SpanS, after.usage[after.pids[m.name]].memoryMB
		if after.voters[m.name] {
			r.VoterCPUMax, r.VoterMemoryMax = max(r.VoterCPUMax, ms), max(r.VoterMemoryMax, mb)
		}
		if m.name == after.leader {
			r.LeaderCPU = ms
		}
		kind := m.role
		if m.hollow {
			kind = "hollow " + m.role
		}
		if _, same := controlBetween(before, after, m.name); same && !after.voters[m.name] {
			x := used[kind]
			x[0], x[1] = append(x[0], ms), append(x[1], mb)
			used[kind] = x
		}
	}
	r.RealCPU, r.RealMemory, r.HollowCPU = mean(used[roleServing][0]), mean(used[roleServing][1]), mean(used["hollow "+roleServing][0])
	r.HollowBareCPU = mean(used["hollow "+roleBare][0])
	if r.BareCPU, r.BareMemory = mean(used[roleBare][0]), mean(used[roleBare][1]); f.Bare > 0 && len(used[roleServing][0]) > 0 {
		r.CPU, r.Memory = r.RealCPU-r.BareCPU, r.RealMemory-r.BareMemory
	}
}

// fellBehind tells whether the machine was the limit.
func (f *run) checkMachine(r *Result, before, after snapshot) {
	r.MachineBusy = (after.machine.busyTicks - before.machine.busyTicks) / max(after.machine.totalTicks-before.machine.totalTicks, 1)
	late := len(after.lateTicks) - len(before.lateTicks)
	switch {
	case late > maxLateTicks:
		r.FellBehind, r.FellBehindWhy = true, fmt.Sprintf("%d ticks of %v were late by more than %v", late, tickInterval, tickTolerance)
	case r.MachineBusy > maxBusyShare:
		r.FellBehind, r.FellBehindWhy = true, fmt.Sprintf("%.0f%% of %d cores were busy", 100*r.MachineBusy, runtime.NumCPU())
	}
}

// compareInterface sets what was counted beside what the interface carried. What one end alone counts, as discovery's
// calls, is counted there both ways; all else where it is sent.
func (f *run) addInterface(r *Result, before, after snapshot) {
	links := after.linkTraffic.Bytes() - before.linkTraffic.Bytes()
	own := after.pollTraffic.Bytes() - before.pollTraffic.Bytes() + extraProxyTransits*links
	counted := float64(after.proposalTraffic.Sent - before.proposalTraffic.Sent)
	for name := range after.control {
		all, _ := controlBetween(before, after, name)
		for kind, x := range all {
			if counted += float64(x.Sent); kind == traffic.Discovery.String() {
				counted += float64(x.Received)
			}
		}
	}
	x := Interface{Bytes: (loopbackPayload(before.machine, after.machine) - float64(own)) / r.SpanS, Counted: counted / r.SpanS, Links: float64(links) / r.SpanS}
	if x.Bytes > 0 {
		x.CountedShare = x.Counted / x.Bytes
	}
	r.Interface = x
}

// String gives the most important figures in a few lines.
func (r *Result) String() string {
	text := fmt.Sprintf("seed %d: %d dispatchers (%d hollow), %d workers, %d zones\n"+
		"control at a dispatcher: %.0f B/s p50, %.0f p99, %.1f messages/s; CPU %.1f ms/s (hollow %.1f), %.1f MB\n"+
		"most at a seat: %.0f B/s, %.1f ms/s, %.1f MB; the leader %.0f B/s, %.1f ms/s\n"+
		"%d changes in force after %.0f ms p50, %.0f p99, %.0f p99.9; contradiction %.1f ms, %d rules broken; %d jobs, %d answered once, %d never, %d lost with their dispatcher\n"+
		"machine %.0f%% busy; counted %.2f of what the interface carried",
		r.Seed, r.Dispatchers, r.Hollow, r.Workers, r.Zones, r.BytesP50, r.BytesP99, r.Messages, r.CPU, r.HollowCPU, r.Memory,
		r.VoterBytesMax, r.VoterCPUMax, r.VoterMemoryMax, r.LeaderBytes, r.LeaderCPU,
		r.Changes, r.InForceP50MS, r.InForceP99MS, r.InForceP999MS, r.ContradictionMS, r.RulesBroken, r.Jobs, r.AnsweredOnce, r.AnsweredNever, r.LostWithProcess,
		100*r.MachineBusy, r.Interface.CountedShare)
	for _, x := range r.Failures {
		whole := "never"
		if x.RecoveredAfterS != nil {
			whole = fmt.Sprintf("after %.1f s", *x.RecoveredAfterS)
		}
		text += fmt.Sprintf("\n%s at %.0f s for %.0f s: %d befallen; whole again %s; %d changes in force after %.0f ms p50, %.0f p99.9; back in force after %.0f ms p50, %.0f most\n"+
			"most over 10 s, before and from then on, B/s: %v, %v; ms/s: %v, %v",
			x.Kind, x.AtS, x.ForS, x.Affected, whole, x.Changes, x.InForceP50MS, x.InForceP999MS, quantile(0.5, x.ReturnedInForceMS), quantile(1, x.ReturnedInForceMS),
			rounded(x.UsualBytes), rounded(x.PeakBytes), rounded(x.UsualCPU), rounded(x.PeakCPU))
	}
	return text
}

// rounded gives figures by role, whole.
func rounded(of map[dispatcherRole]float64) map[dispatcherRole]int {
	all := map[dispatcherRole]int{}
	for r, x := range of {
		all[r] = int(x + 0.5)
	}
	return all
}

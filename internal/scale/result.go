package scale

import (
	"fmt"
	"time"
)

// Result is the result of a run. Result files contain it as JSON, in this order.
type Result struct {
	Title            string    `json:"title"`
	Commit           string    `json:"commit"` // of the build
	Command          string    `json:"command"`
	Seed             uint64    `json:"seed"`
	At               time.Time `json:"at"`
	SpanS            float64   `json:"span_s"`
	LeaseDurationMS  float64   `json:"bound_ms"`
	ChangeRateFactor float64   `json:"packing"` // as Plan.ChangeRateFactor
	Dispatchers      int       `json:"dispatchers"`
	Hollow           int       `json:"hollow"`
	Processes        int       `json:"processes"`
	Real             int       `json:"real"`
	Baseline         int       `json:"bare"`
	Workers          int       `json:"workers"`
	Accelerators     int       `json:"accelerators"`
	Zones            int       `json:"zones"`
	Regions          int       `json:"regions"`
	Teams            int       `json:"teams"`
	Voters           int       `json:"seats"`
	Dedicated        int       `json:"set_aside"`
	Changes          int       `json:"changes"`

	// Units: bytes of control a second in both directions, messages of control a second, milliseconds of processor time a second, MiB of
	// resident memory. Only CPU and Memory are the cost of control alone: each is the difference to a baseline dispatcher. All other
	// figures of processor time and memory are of the whole process; for a hollow dispatcher, its share of its process. Figures of
	// dispatchers cover only dispatchers that serve jobs.
	BytesP50          float64 `json:"control_bytes_s_p50"`
	BytesP99          float64 `json:"control_bytes_s_p99"`
	BytesMean         float64 `json:"control_bytes_s_mean"`
	Messages          float64 `json:"control_messages_s"`
	CPU               float64 `json:"control_cpu_ms_s"`  // RealCPU - BaselineCPU
	Memory            float64 `json:"control_memory_mb"` // RealMemory - BaselineMemory
	HollowCPU         float64 `json:"hollow_cpu_ms_s"`
	VoterBytesMax     float64 `json:"seat_bytes_s_most"`
	VoterCPUMax       float64 `json:"seat_cpu_ms_s_most"`
	LeaderBytes       float64 `json:"leader_bytes_s"`
	LeaderCPU         float64 `json:"leader_cpu_ms_s"`
	VoterMemoryMax    float64 `json:"seat_memory_mb_most"`
	RealCPU           float64 `json:"real_cpu_ms_s"`
	BaselineCPU       float64 `json:"bare_cpu_ms_s"`
	HollowBaselineCPU float64 `json:"hollow_bare_cpu_ms_s,omitempty"`
	RealMemory        float64 `json:"real_memory_mb"`
	BaselineMemory    float64 `json:"bare_memory_mb"`
	HollowBytesMean   float64 `json:"hollow_bytes_s_mean"`
	RealBytesMean     float64 `json:"real_bytes_s_mean"` // of real dispatchers that were not voters at the start
	HollowMessages    float64 `json:"hollow_messages_s"`
	RealMessages      float64 `json:"real_messages_s"` // of the same dispatchers

	BytesByKind       map[string]float64 `json:"bytes_by_kind"` // of a dispatcher, per second
	MessagesByKind    map[string]float64 `json:"messages_by_kind"`
	LeaderBytesByKind map[string]float64 `json:"leader_bytes_by_kind"`
	VoterBytesByKind  map[string]float64 `json:"seat_bytes_by_kind"` // mean of the voters that do not lead
	HollowBytesByKind map[string]float64 `json:"hollow_bytes_by_kind"`
	RealBytesByKind   map[string]float64 `json:"real_bytes_by_kind"` // of real dispatchers that were not voters at the start
	DiscoveryCalls    float64            `json:"discovery_calls_s"`  // of all dispatchers together
	DiscoveryBytes    float64            `json:"discovery_bytes_s"`

	InForceP50MS      float64   `json:"in_force_p50_ms"` // over all changes, at all dispatchers that they could reach
	InForceP99MS      float64   `json:"in_force_p99_ms"`
	InForceP999MS     float64   `json:"in_force_p999_ms"`
	InForceMissing    int       `json:"in_force_missing"`     // changes that a running dispatcher never applied, plus returns of dispatchers that then never applied the newest version
	ReturnedInForceMS []float64 `json:"returned_in_force_ms"` // from a dispatcher's return until it had applied the newest version
	ContradictionMS   float64   `json:"contradiction_max_ms"`
	RulesBroken       int       `json:"rules_broken"`
	Breaches          []string  `json:"breaches,omitempty"`
	WorkerProbes      int       `json:"worker_probes"` // of real dispatchers, since the start
	Jobs              int       `json:"jobs"`
	AnsweredOnce      int       `json:"answered_once"`
	AnsweredNever     int       `json:"answered_never"`
	LostWithProcess   int       `json:"lost_with_process"` // unanswered because their dispatcher was killed

	FellBehind     bool                `json:"fell_behind"` // the machine, and not the fleet, was the limit: the run does not count
	FellBehindWhy  string              `json:"fell_behind_why,omitempty"`
	MachineBusy    float64             `json:"machine_busy"` // share of all cores' time that was busy
	Interface      Interface           `json:"interface"`
	WithoutChanges *CostWithoutChanges `json:"rest,omitempty"`
	ChangeCost     *ChangeCost         `json:"change,omitempty"`
	FaultCosts     []FaultCost         `json:"failures,omitempty"`
}

// Interface compares the bytes a second that the loopback interface carried with the counted ones. Packet headers and the run's own polls are left
// out, and bytes on links count once. It is empty for a run with a fault, as killed dispatchers lose their counts.
type Interface struct {
	Bytes        float64 `json:"bytes_s"`
	Counted      float64 `json:"counted_bytes_s"`
	CountedShare float64 `json:"ratio"` // of Bytes
	Links        float64 `json:"links_bytes_s,omitempty"`
}

// CostWithoutChanges is the cost of control at a dispatcher while there are no config changes.
type CostWithoutChanges struct {
	SpanS       float64            `json:"span_s"`
	Bytes       float64            `json:"bytes_s"`
	Messages    float64            `json:"messages_s"`
	BytesByKind map[string]float64 `json:"bytes_by_kind"`
}

// ChangeCost is the cost of a config change at a dispatcher, in bytes in both directions.
type ChangeCost struct {
	Bytes float64 `json:"bytes"`
}

// Violated reports whether a rule was broken, dispatchers contradicted each other, a change was not in force everywhere, or a job was not answered.
func (r *Result) Violated() bool {
	return r.RulesBroken > 0 || r.ContradictionMS > 0 || r.AnsweredNever > 0 || r.InForceMissing > 0
}

// Err returns an error that says why the run does not count, or what was violated in it.
func (r *Result) Err() error {
	switch {
	case r.FellBehind:
		return fmt.Errorf("the machine fell behind, the run does not count: %s", r.FellBehindWhy)
	case r.Violated():
		return fmt.Errorf("%d rules broken, contradiction %.1f ms, %d jobs never answered, %d changes not in force", r.RulesBroken, r.ContradictionMS, r.AnsweredNever, r.InForceMissing)
	}
	return nil
}

// setFellBehind records why the machine was the limit. It keeps the first reason.
func (r *Result) setFellBehind(format string, args ...any) {
	if !r.FellBehind {
		r.FellBehind, r.FellBehindWhy = true, fmt.Sprintf(format, args...)
	}
}

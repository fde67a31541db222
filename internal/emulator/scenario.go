// Package emulator is a model of the systems around the dispatcher: workers, discovery, clients, the network between them,
// and their faults. It runs in virtual time, in one goroutine, with a separate random source for each component that
// draws: the same scenario gives the same events on any machine. The same model of workers and discovery also runs on loopback
// sockets, by the real clock, for real dispatchers.
//
// It is a model, not a measurement of real workers. Each part's comment says what it leaves out. Package soak and the tests of
// cmd/brassdale have fakes of workers and discovery of their own: soak breaks connections and answers on purpose, and the tests choose
// each answer.
package emulator

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"brassdale/scheduler"
)

// Scenario is a cluster, its traffic and its faults.
type Scenario struct {
	Seed        uint64
	Span        time.Duration // in which jobs arrive; the run then goes on until all are answered
	Dispatchers int
	Traffic     Traffic
	Kinds       []WorkerKind
	Cells       int // workers are spread over the cells; each cell deduplicates by key
	Network     Network
	Discovery   time.Duration // mean delay of an endpoint update
	PollLimits  PollLimits    // limits of polls, on sockets only
	Reports     Reports
	SlowStart   SlowStart
	Store       Store
	Faults      []Fault
	Rules       Rules

	Queue          float64 // maximum of queued jobs at a worker, per slot; 0 for no limit
	KeepsCancelled bool    // workers run queued jobs that were cancelled
	LiveWeights    bool    // the endpoint list's weights fall with the load
	ListPushed     bool    // endpoint updates are pushed: dispatchers need not poll
	Failover       Failover
}

// Traffic is what clients send.
type Traffic struct {
	Rate                float64 // jobs a second, over all clients
	Work                float64 // mean, in seconds at a slot of speed 1
	WorkLogStdDev       float64 // standard deviation of the logarithm of a job's work; 0 for exponentially distributed work
	LatencyObjective    time.Duration
	ObjectiveStretch    float64 // an answer is in time within LatencyObjective + ObjectiveStretch x the job's work
	Deadline            time.Duration
	Idempotency         scheduler.Idempotency
	DeduplicationWindow time.Duration // in which a cell deduplicates by key
	Subjects            int           // number of subjects: data that jobs need and workers cache; 0 if jobs need none
	Accounts            []Account
	Users               int     // clients, each with at most one job in flight; 0 for no limit
	Classes             []Class // replace the settings of a job's work, objective and idempotency; Deadline is then the longest of the classes
	WorkEstimates       bool    // clients send work estimates
	Memory              float64 // mean units of memory that a job needs for each slot; 0 if jobs need none
	Retries             float64 // share of rejected jobs whose client retries once
}

// Account is a customer.
type Account struct {
	Name  string
	Share float64 // of the jobs, relative to the other accounts
}

// WorkerKind is a kind of worker.
type WorkerKind struct {
	Name     string
	Count    int
	Slots    int
	SpeedMin float64 // of a slot; each worker's speed is drawn evenly from SpeedMin to SpeedMax
	SpeedMax float64
	Sharing  bool // processor sharing: the speed is the whole worker's, which runs up to Slots jobs at once and rejects further jobs
}

// Network is the network between dispatchers and workers.
type Network struct {
	Delay time.Duration // mean one-way delay within a zone: half fixed, half exponentially distributed

	Regions        int           // number of regions: zones are spread over them in order; 0 counts as one
	Zones          int           // number of zones: workers and dispatchers are spread over them; 0 counts as one
	Cross          time.Duration // mean one-way delay between zones
	CrossPrice     float64       // of an attempt between zones, in units of merit
	Handshake      float64       // round trips to open a connection; 0 if connections are not modelled
	Idle           time.Duration // after which an idle connection is closed
	MaxConnections int           // connections that a worker accepts; 0 for no limit
}

// Reports is how workers report their load.
type Reports struct {
	Every time.Duration // mean interval between a worker's reports
	Push  bool          // workers with processor sharing push a report at each change
	Cost  time.Duration // time of a slot that each probe takes

	InAnswers bool          // answers to attempts carry reports
	Delay     time.Duration // age of a report when a dispatcher receives it
}

// SlowStart is how a worker warms up after its start.
type SlowStart struct {
	Capacity         float64       // share of its speed at the start
	Duration         time.Duration // until it has its full speed
	OverloadMultiple float64       // the worker goes down if it receives more than this multiple of the work that it can do in OverloadWindow
	OverloadWindow   time.Duration // see OverloadMultiple
}

// Store is where workers fetch the subjects of jobs.
type Store struct {
	Fetch    float64       // mean duration in seconds, exponentially distributed; 0 if nothing is fetched
	Slots    int           // fetches at a time, over all workers; 0 for no limit
	CacheFor time.Duration // a worker caches a subject for this long after its last use
}

// FaultKind is a kind of fault.
type FaultKind uint8

// The kinds of faults. Share applies only to faults of workers, Size, Zone and From only to kinds that mention them. To add a kind:
//   - A fault of workers: beginFault and endFault in faultinjection.go, and Faulty of Status. A kind without a case has no effect,
//     and no check reports it: applyFault treats each kind that it does not name as a fault of workers.
//   - Any other: applyFault; isZoneFault and applyZoneFault for zones; check if it needs a Size; needsVirtualTime if it is not modelled
//     on sockets.
//   - Its name in files: faultKindNames of package experiment, zoneFaults of package faults.
//
// A fault's random draws depend only on its index in the scenario, so a new kind changes no draw.
const (
	Freeze         FaultKind = iota // accepts jobs and probes and answers nothing; continues afterwards
	Silent                          // answers probes and starts no job
	Slow                            // a third of the speed
	Restart                         // loses its jobs and is back, warming up, after a second
	Drain                           // is listed as draining, finishes jobs, and is gone when the fault ends
	DelayedReports                  // dispatchers receive reports three seconds late
	Reset                           // loses its connections and jobs once
	Partition                       // no message arrives or leaves; attempts are reset when the fault ends
	DiscoveryDown                   // discovery ends its watches and rejects polls
	DiscoveryHung                   // discovery accepts polls and answers none
	Burst                           // the arrival rate is multiplied by Size
	HeavyTail                       // a few jobs' work is multiplied by Size
	ZoneLost                        // all workers of Zone are partitioned, and warming up afterwards
	ZonePartition                   // no message passes between the dispatchers of zone From and the workers of Zone
	ZoneDelay                       // delays to and from the workers of Zone are multiplied by Size

	faultKindCount = iota
)

// Fault is a fault of workers, discovery, traffic or a zone.
type Fault struct {
	At    time.Duration // since the start
	For   time.Duration
	Kind  FaultKind
	Share float64 // of the workers, at least one
	Size  float64
	Zone  int // counted from 1; 0 if the fault has none
	From  int // counted from 1; 0 if the fault has none
}

// Rules are limits that dispatchers are configured with and that the auditor checks.
type Rules struct {
	MaxAttempts int
	AnswerSlack time.Duration // an answer this long after the client's deadline still counts
	DrainGrace  time.Duration // attempts may still be sent this long after the notification of a drain
	MayHedge    bool          // hedging is permitted
	MayCancel   bool
}

// ReferenceScenario returns the scenario that experiments start from: thirteen workers of two kinds and two dispatchers, without faults.
func ReferenceScenario(seed uint64) Scenario {
	return Scenario{
		Seed: seed, Span: time.Minute, Dispatchers: 2, Cells: 3,
		Traffic: Traffic{Rate: 170, Work: 0.2, WorkLogStdDev: 0.7, LatencyObjective: 200 * time.Millisecond, ObjectiveStretch: 2.5, Deadline: 5 * time.Second,
			Idempotency: scheduler.IdempotentWithKey, DeduplicationWindow: 7500 * time.Millisecond, Subjects: 400, Retries: 0.5,
			Accounts: []Account{
				{"deeside-aero", 0.23}, {"gwent-pumps", 0.19}, {"taff-marine", 0.18},
				{"cwm-trailers", 0.18}, {"bryn-fixtures", 0.14}, {"ogwen-tools", 0.08},
			}},
		Kinds:     []WorkerKind{{"new-box", 9, 5, 0.85, 1.1, false}, {"old-box", 4, 4, 0.64, 0.86, false}},
		Network:   Network{Delay: 500 * time.Microsecond, Cross: 15 * time.Millisecond, Idle: 5 * time.Second},
		Discovery: time.Second,
		Reports:   Reports{Every: 700 * time.Millisecond, Cost: time.Millisecond},
		SlowStart: SlowStart{Capacity: 0.14, Duration: 24 * time.Second, OverloadMultiple: 3, OverloadWindow: 1500 * time.Millisecond},
		Store:     Store{Fetch: 0.05, Slots: 40, CacheFor: 30 * time.Second},
		Rules:     Rules{MaxAttempts: 4, AnswerSlack: 8 * time.Millisecond, DrainGrace: 500 * time.Millisecond, MayHedge: true, MayCancel: true},
	}
}

// Check returns an error for the first invalid setting.
func (s *Scenario) Check() error {
	workers := 0
	for i, kind := range s.Kinds {
		if kind.Count < 0 || kind.Slots < 1 || kind.SpeedMin <= 0 || kind.SpeedMax < kind.SpeedMin {
			return fmt.Errorf("kinds[%d]: count must not be below 0, slots must be 1 or more, and speeds must be above 0, the lower first", i)
		}
		workers += kind.Count
	}
	for i, fault := range s.Faults {
		if err := fault.check(s.Network.Zones); err != nil {
			return fmt.Errorf("faults[%d]: %w", i, err)
		}
	}
	for i := range s.Traffic.Classes {
		class := &s.Traffic.Classes[i]
		if class.Share <= 0 || class.Work <= 0 || class.LatencyObjective <= 0 || class.Deadline <= 0 || class.Deadline > s.Traffic.Deadline || class.PriorityWeight <= 0 {
			return fmt.Errorf("classes[%d]: share, work, aim, give_up and worth must be above 0, and give_up at most the traffic's", i)
		}
	}
	switch {
	case workers == 0:
		return errors.New("there must be at least one worker")
	case s.Dispatchers < 1:
		return errors.New("dispatchers must be 1 or more")
	case s.Span <= 0 || s.Traffic.Rate <= 0 || s.Traffic.Work <= 0 || s.Traffic.Deadline <= 0:
		return errors.New("span, rate, work and give_up must be above 0")
	case s.Cells < 1:
		return errors.New("bays must be 1 or more")
	case s.Rules.MaxAttempts < 1:
		return errors.New("attempts must be 1 or more")
	}
	return nil
}

// check returns an error if the fault is invalid in a scenario with the given number of zones.
func (f *Fault) check(zones int) error {
	sized, zoned := f.Kind == Burst || f.Kind == HeavyTail || f.Kind == ZoneDelay, isZoneFault(f.Kind)
	switch {
	case sized && f.Size <= 0:
		return errors.New("size must be above 0")
	case zoned && (f.Zone < 1 || f.Zone > zones):
		return errors.New("zone must be from 1 to the number of zones")
	case f.At < 0 || f.For <= 0 || f.Share <= 0 || f.Share > 1 || f.Kind >= faultKindCount:
		return errors.New("kind must be known, at must not be below 0, for must be above 0, and share must be above 0 and at most 1")
	}
	return nil
}

// isZoneFault reports whether a kind is a fault of a zone.
func isZoneFault(kind FaultKind) bool {
	return kind == ZoneLost || kind == ZonePartition || kind == ZoneDelay
}

// needsVirtualTime reports whether the scenario uses a feature that is modelled in virtual time only.
func (s *Scenario) needsVirtualTime() bool {
	hasTrafficFault := slices.ContainsFunc(s.Faults, func(f Fault) bool { return f.Kind == Burst || f.Kind == HeavyTail })
	return hasTrafficFault || len(s.Traffic.Classes) > 0 || s.Traffic.WorkEstimates || s.Traffic.Memory > 0 || s.Network.Handshake > 0 ||
		s.LiveWeights || s.Queue > 0 || s.ListPushed || s.KeepsCancelled || s.Reports.InAnswers
}

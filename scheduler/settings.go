package scheduler

import "time"

// Idempotency says whether a request may execute more than once. The zero value is the most permissive one.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota // may execute any number of times, so it may always be repeated or rejected
	IdempotentWithKey                    // carries a key; workers of one scope drop repeats for Class.DeduplicationWindow
	NonIdempotent                        // must never execute twice
)

// DeduplicationScope is the group of workers within which repeats of a request with an idempotency key are dropped.
type DeduplicationScope uint8

// The scopes: all workers, the workers of one zone, the workers of one cell.
const (
	ScopeAll DeduplicationScope = iota
	ScopeZone
	ScopeCell
)

// Class describes one kind of request. The zero value is idempotent and runs on machine kind 0 only.
type Class struct {
	LatencyObjective    time.Duration // an answer within LatencyObjective + ObjectiveStretch x own work counts in full
	ObjectiveStretch    float64
	Deadline            time.Duration // how long a client waits, its retries included
	PriorityWeight      float64       // value of an answer in time
	LateWeight          float64       // value of a later answer, as a share of PriorityWeight
	Idempotency         Idempotency
	DeduplicationScope  DeduplicationScope // for IdempotentWithKey
	DeduplicationWindow time.Duration      // how long workers remember a key
	Streamed            bool               // the answer is streamed to the client; no rule reads it
	MachineKind         int                // the only machine kind that runs it, or -1 for any
}

// Settings configure a Scheduler. The zero value is usable; probes, cancellation, hedges and retry advice are permitted only if their
// May field is set.
type Settings struct {
	DispatcherIndex int // own number among the dispatchers, from 0
	Dispatchers     int // number of dispatchers that share the workers; at least 1 is assumed
	Zone            int // own zone
	Classes         []Class

	ListPolled       bool          // the endpoint list is sent only when Subscribe asks for it
	ReportsPulled    bool          // load reports come with probes only
	ReportsStart     bool          // workers report when a job starts
	ProgressInterval time.Duration // time between progress reports of a running job; 0 for no reports

	MayProbe       bool
	MayCancel      bool
	MayHedge       bool          // a further attempt may be sent while one is in flight; hedging needs MayCancel too
	MayAdviseRetry bool          // Reject may carry RetryAfter
	MaxAttempts    int           // of one request; 0 for defaultMaxAttempts, unlike in routing.RequestLimits, where 0 means no limit
	MaxRetryAfter  time.Duration // the advice that Reject carries

	MaxPollInterval   time.Duration // with ListPolled: after this time without a poll the dispatcher counts as notified of all changes; no rule reads it
	ListValidity      time.Duration // how long a worker may be sent requests after its state was confirmed; 0 for no bound
	AnswerSlack       time.Duration // how long after its deadline a final answer still counts
	SlowStartDuration time.Duration // age at which a started worker has its full capacity
	SlowStartCapacity float64       // capacity of a worker that has just started, as a share of its full one
	OverloadMultiple  float64       // a warming worker fails if it is sent more than this multiple of its capacity for OverloadWindow
	OverloadWindow    time.Duration // see OverloadMultiple

	CrossZoneCost float64 // cost of sending across zones, as a share of a request's priority weight
	WeightByWork  bool    // priority weights are per unit of a request's work
}

// defaultMaxAttempts applies if Settings.MaxAttempts is 0 or negative.
const defaultMaxAttempts = 16

// normalized returns the settings with defaults for absent and invalid values.
func (s Settings) normalized() *Settings {
	s.Dispatchers, s.DispatcherIndex = max(s.Dispatchers, s.DispatcherIndex+1, 1), max(s.DispatcherIndex, 0)
	if len(s.Classes) == 0 {
		s.Classes = []Class{{Idempotency: NonIdempotent, MachineKind: -1}}
	}
	if !s.MayAdviseRetry {
		s.MaxRetryAfter = 0
	}
	if s.MaxAttempts <= 0 {
		s.MaxAttempts = defaultMaxAttempts
	}
	return &s
}

// onSettingsChanged applies new settings. Open requests keep the settings that they arrived under (request.settings).
func (s *Scheduler) onSettingsChanged(event SettingsChanged) {
	s.settings = event.Settings.normalized()
	added := max(len(s.settings.Classes)-len(s.classes), 0)
	s.classes = append(s.classes, make([]classState, added)...)
	for _, worker := range s.workers {
		worker.classEjections = append(worker.classEjections, make([]ejectionState, added)...)
	}
}

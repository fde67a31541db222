// Package scheduler makes the decisions of a dispatcher: which worker gets a request, when an attempt is
// retried or hedged, what is rejected and when a request is given up. It is pure: no I/O, clock or
// goroutine.
//
// # Model
//
// The mechanism is Least Used with Degradation. Each worker has a load value, from 0 (idle) to 1 (full) and
// beyond. A request goes to the worker with the lowest value, round robin among ties; each send raises the
// worker's value by an increment, the share of the worker that the request takes; each load report of the
// worker resets the value. Where another rule departs from this, the comment at its function says when and
// why.
//
// # Life of a request
//
// RequestArrived admits a request to the queue. After each event, queued requests are sent as far as workers
// have capacity; each Send starts an attempt. AttemptStarted says that the attempt runs. If MayCancel is set,
// the request's other attempts that have not started are then cancelled (Cancel). AttemptFinished brings the
// outcome. If the attempt was served, the client has its answer. Otherwise the request queues again for a
// retry, if its idempotency permits one. A periodic review (SetTimer, TimerFired) hedges attempts that have
// not started in time and gives up requests that are too late. A request ends with a served attempt, Reject
// (sending it again is harmless) or Fail, or when its client has left (ClientLeft).
//
// # Invariants
//
//   - Each request gets at most one final answer, by its deadline plus Settings.AnswerSlack if timers fire
//     in time, and no attempt is sent after it.
//   - A non-idempotent request has at most one attempt that may have executed. One with an idempotency key
//     is sent again only inside its deduplication scope and window. No request has more than MaxAttempts
//     attempts.
//   - Reject is given only if repeating the request is harmless.
//   - No request is sent to a worker that the operator has detached, or that is not listed as ready. Only if
//     no ready worker may run the request, it may go to one whose return is unconfirmed.
//   - A warming worker gets no more than this dispatcher's share of its slow-start budget, or one request.
//   - The same settings, seed and events give the same actions.
//
// # What the caller must do
//
// Only one goroutine at a time calls the methods of a Scheduler. It passes each event with the time, which
// never goes back, and executes the returned actions in order before the next call: the result of Handle is
// valid only until then. Each Send gets exactly one AttemptFinished, each Probe one ProbeCompleted, and
// each SetTimer one TimerFired, which may be late but not early.
//
// # Where the rules are
//
//   - Which worker gets a request, and why: pickWorker, lowestScore and score (placement.go), loadValue
//     (loadvalue.go), hasCapacity (overcommit.go), affinityRank (affinity.go), chooseSubset (subset.go)
//   - Which requests queue, and in which order they are sent: onRequestArrived, compareQueued (queue.go)
//   - When an attempt is retried: continueRequest and permitted (retries.go), after learnFromOutcome
//     (attempts.go); when it is hedged: needsHedge (hedging.go)
//   - What is rejected, failed or given up, and when: rejectOrFail (retries.go), reviewRequest (review.go),
//     tooLate (deadlines.go)
//   - How a starting worker is protected from overload: withinSlowStartBudget (slowstart.go)
//   - When a worker is ejected and readmitted: eject, healthy and recordSignal (outlier.go)
//   - What the age of the endpoint list changes: freshUntil (freshness.go), pickWorker (placement.go); list
//     updates, detached workers and polls: endpoints.go
//   - When workers are probed: probeSubset (probing.go), probeBeforeUse (freshness.go)
//   - Means and counts that the rules share: statistics.go; what a successor takes over: learnedstate.go
//   - The interface: settings.go, events.go, actions.go; the state: worker.go, request.go, Scheduler below
package scheduler

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Scheduler is the decision state of one dispatcher. Make it with New. It is not safe for concurrent use.
type Scheduler struct {
	settings *Settings // the current settings; replaced as a whole
	random   *rand.Rand
	now      Instant  // time of the current event
	actions  []Action // of the current event

	// The workers.
	workers                []*worker // all that a list ever named, by id; none is removed
	workersByID            map[WorkerID]*worker
	detached               map[WorkerID]bool // by the operator, whether or not a list has named them
	listAsOf               Instant           // the endpoint list includes all changes up to this time
	availableCount         int               // number of ready workers that are not detached
	totalWeight            float64           // sum of their weights
	reportAttemptsInFlight int               // number of attempts in flight with forOverdueReport

	// The candidates.
	subset            []*worker // workers to send to, by id or in this dispatcher's order; see usesSubset
	subsetChosenAt    Instant
	loadsKnown        bool // the fleet is so small that all loads are known
	affinityInUse     bool // a request with an affinity key has arrived
	rotationCursor    int  // round robin among ties: index of the first candidate
	hashRing          []*worker
	hashRingSum       uint64    // sum of the hashes of its members
	warmingCandidates []*worker // warming workers of which this dispatcher has a slow-start share
	candidateBuffer   []*worker // reused by candidatesForKey

	// The requests.
	requests          map[RequestID]*request
	requestsByArrival []*request
	queued            []*request // requests that wait for a worker
	lastSequence      int
	keyedRuns         keyedRuns

	// What was learned.
	overcommit          float64 // how far a worker may be filled beyond its slots, as a share of them
	congestion          float64 // share of the recent attempts whose start was delayed
	arrivalRate         float64 // requests a second that arrive here
	meanAttemptDuration float64 // mean seconds from a served attempt's send to its outcome
	meanWork            float64 // of a job, in slot-seconds
	meanOthersLoad      float64 // of other dispatchers, as a share of a worker
	servedJobs          int
	classes             []classState
	recentSends         decayingCounter
	recentHedges        decayingCounter
	recentKeys          keyCounter
	cancellations       cancellationEstimate
	logSlownessByKind   map[int]float64       // mean logSlowness of a machine kind
	slotsByKind         map[int]float64       // the most slots seen at a worker of a machine kind
	roundTripTimes      map[int]time.Duration // by zone: the least time from send to start
	shortestIdleLoss    time.Duration         // least idle time of recently lost connections; 0 if none
	idleLossAt          Instant               // when an idle connection was last lost
	firstEventAt        Instant
	lastArrivalAt       Instant
	resumedAt           Instant // the event time at which the last stall of this process was detected
	reviewScheduled     bool
	nextReviewAt        Instant

	// The process.
	processes        int     // number of processes that act as this dispatcher
	tookOver         bool    // has the learned state of a predecessor, which had its own slow-start share
	shutdownDeadline Instant // when this process ends; 0 while unknown
}

// New makes a Scheduler. The seed decides the random draws.
func New(settings Settings, seed uint64) *Scheduler {
	normalized := settings.normalized()
	return &Scheduler{
		settings:          normalized,
		random:            rand.New(rand.NewPCG(seed, uint64(normalized.DispatcherIndex))),
		workersByID:       map[WorkerID]*worker{},
		detached:          map[WorkerID]bool{},
		rotationCursor:    normalized.DispatcherIndex,
		requests:          map[RequestID]*request{},
		overcommit:        initialOvercommit,
		classes:           make([]classState, len(normalized.Classes)),
		recentKeys:        keyCounter{counts: map[uint64]float64{}},
		logSlownessByKind: map[int]float64{},
		slotsByKind:       map[int]float64{},
		roundTripTimes:    map[int]time.Duration{},
		processes:         1,
	}
}

// Handle processes one event at the time now and returns the actions that follow, to be executed in order.
// If now is before the time of an earlier event, that time is used instead. The result is valid until the
// next call.
func (s *Scheduler) Handle(now Instant, event Event) []Action {
	s.now = max(s.now, now)
	s.actions = s.actions[:0]
	s.firstEventAt = cmp.Or(s.firstEventAt, s.now)
	s.detectStall()
	s.dispatch(event)
	s.sendQueued()
	s.scheduleReview()
	return s.actions
}

// dispatch calls the event's handler.
func (s *Scheduler) dispatch(event Event) {
	switch event := event.(type) {
	case EndpointsUpdated:
		s.onEndpointsUpdated(event)
	case RequestArrived:
		s.onRequestArrived(event)
	case AttemptFinished:
		s.onAttemptFinished(event)
	case ProbeCompleted:
		s.onProbeCompleted(event)
	case AttemptWaits:
		s.onAttemptWaits(event)
	case AttemptStarted:
		s.onAttemptStarted(event)
	case AttemptProgressed:
		s.onAttemptProgressed(event)
	case ClientLeft:
		s.onClientLeft(event)
	case ShutdownStarted:
		s.onShutdownStarted(event)
	case WorkerDetached:
		s.setDetached(event.Worker, true)
	case WorkerReattached:
		s.setDetached(event.Worker, false)
	case LearnedStateReceived:
		s.onLearnedStateReceived(event)
	case SettingsChanged:
		s.onSettingsChanged(event)
	case ProcessCountChanged:
		s.processes = max(event.Processes, 1)
		s.keyedRuns.announce = s.processes > 1
	case KeyedRunsReceived:
		s.onKeyedRunsReceived(event)
	case TimerFired:
		s.onTimerFired(event)
	}
}

// emit adds an action to the actions of the current event.
func (s *Scheduler) emit(action Action) { s.actions = append(s.actions, action) }

package scheduler

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"
)

// The state that the decisions of brain.go are made on; nothing is decided here.

// worker is what this dispatcher knows of one worker.
type worker struct {
	WorkerInfo
	listed         bool
	detached       bool   // put out by hand
	detachedAt     Clock  // when it was
	reattached     bool   // it was put back, and no job of its was heard of since
	idHash         uint64 // of its id
	ejectionState         // of all classes: can it be reached
	classEjections []ejectionState

	lastProbeReport           Report  // of the last probe
	othersLoad, reportedLoad  float64 // others' jobs and all jobs, as a share of the worker, by the last report
	reportedAt                Clock   // when that was
	ownSlots                  float64 // slots of own jobs that are out
	meanOwnSlots              float64 // the same, averaged over ownMemory, as of ownAt
	meanOwnSlotsAt            Clock
	runningSlots              float64         // slots of own jobs known to run
	observedSlots             float64         // estimated slots; 0 until a figure comes
	increment                 float64         // per slot until then
	sendsSinceFull            int             // without a 'full'
	meanOthersLoad            float64         // mean of base
	weightedSends             float64         // pushes by weight: ties go round robin, a worker of twice the size twice as often
	recentSends               decayingCounter // pushes by size
	cancelledWaits            decayingCounter // jobs that waited here until they were called off
	fullUntil                 Clock           // it turned a job away; its value is 1 until then or a report
	recentFailures            decayingCounter // jobs that it failed, ...
	recentSuccesses           decayingCounter // ... and served
	cancelledSlots            decayingCounter // slots of own jobs that were called off before they began
	delayedStarts             int             // own jobs not started within startGrace
	slownessSum, slownessJobs float64         // decayed sum over jobs of log(time here / usual time), and their number
	runningSlownessSum        float64         // the same over jobs that run for longer than usual now ...
	runningSlownessJobs       float64         // ... and their number
	lastSignal                Clock           // last sign of life, or first push after nothing was out
	lastUsed                  Clock           // last push or answer
	nextProbeAt               Clock
	probeInFlight             bool
	probeSentAt               Clock             // when the last probe was begun
	probePassedAt             Clock             // when the last was that it answered as one that takes requests
	nextHealthCheckAt         Clock             // behind a probe that failed: no check before
	slowStartCharges          []slowStartCharge // work pushed while cold
}

type request struct {
	id                     RequestID
	settings               *Settings // as it began
	class, sequence        int
	slots                  float64
	affinityKey            uint64
	estimatedWork          time.Duration
	firstAskedAt, deadline Clock  // born: when its client first asked
	allowedZones           uint64 // zones, a bit for each number; 0 for all
	attempts               []attempt
	finished, streamed     bool // done: final answer given, or nothing owed
}

// excludesZone tells whether a zone is none of those that the request may be sent to.
func (r *request) excludesZone(zone int) bool {
	return r.allowedZones != 0 && r.allowedZones>>uint(zone&63)&1 == 0
}

// Scheduler is the decision state of one dispatcher. Make it with New.
type Scheduler struct {
	settings                     *Settings // in force; replaced as a whole
	now                          Clock
	random                       *rand.Rand
	actions                      []Action
	workers, subset              []*worker // all, and those that jobs are drawn to; by id
	hashRing, warmingCandidates  []*worker // listed ones by hash, where they are many, and the cold ones of them that it owns
	candidateBuffer              []*worker // room for a window
	hashRingSum                  uint64    // a sum over the ring's: another where it changed
	workersByID                  map[WorkerID]*worker
	detached                     map[WorkerID]bool // put out by hand, known or not
	classes                      []classState
	requests                     map[RequestID]*request
	requestsByArrival, queued    []*request // open ones by arrival; those that wait here
	rotationCursor, lastSequence int        // round robin; number of the last request
	trialsInFlight               int        // trial attempts that are out
	reviewScheduled              bool
	tookOver                     bool                 // goes on in the place of another, whose parts were halved
	loadsKnown                   bool                 // all workers are drawn from, and known well
	affinityInUse                bool                 // jobs have keys
	servedJobs                   int                  // that were served
	cancellations                cancellationEstimate // of what is called off, in the reports
	congestion                   float64              // part of the recent jobs that waited for their start
	nextReviewAt                 Clock                // when the next look is due

	listAsOf                                    Clock                 // the list tells all that discovery had then
	firstEventAt, lastArrivalAt, subsetChosenAt Clock                 // first event, last arrival, last choice of near
	processes                                   int                   // that act as this dispatcher
	shutdownDeadline                            Clock                 // when this process ends; 0 while nobody says so
	resumedAt                                   Clock                 // the turn in which this process found that it had stood still
	arrivalRate, meanWork                       float64               // own jobs a second; mean work of a job in slot-seconds
	recentSends, recentHedges                   decayingCounter       // pushes, and those that were copies
	recentKeys                                  keyCounter            // own jobs by key
	totalWeight                                 float64               // of all listed workers together, ...
	listedCount                                 int                   // and their number
	overcommit                                  float64               // how far over its slots a worker may be filled now
	meanStay, meanOthersLoad                    float64               // mean seconds from push to answer; mean share that others use
	safeIdle                                    time.Duration         // connections idle for less were not lost; 0 for all
	idleLossAt                                  Clock                 // when one was last lost
	slownessByKind                              map[int]float64       // how much longer jobs take on a kind, as a mean logarithm
	roundTripTimes                              map[int]time.Duration // the shortest time from push to start in a zone
	slotsByKind                                 map[int]float64       // most slots seen on a kind of machine
}

// New makes a dispatcher. The same settings, seed and events give the same actions.
func New(s Settings, seed uint64) *Scheduler {
	set := s.normalized()
	return &Scheduler{
		settings: set, random: rand.New(rand.NewPCG(seed, uint64(set.DispatcherIndex))), rotationCursor: set.DispatcherIndex, overcommit: initialOvercommit,
		workersByID: map[WorkerID]*worker{}, detached: map[WorkerID]bool{}, processes: 1, requests: map[RequestID]*request{},
		recentKeys: keyCounter{counts: map[uint64]float64{}}, roundTripTimes: map[int]time.Duration{},
		slotsByKind: map[int]float64{}, slownessByKind: map[int]float64{}, classes: make([]classState, len(set.Classes)),
	}
}

// LearnedState is what a dispatcher has learned and what holds as well for one that goes on in its place.
type LearnedState struct {
	Overcommit float64                       `json:"Allow"`
	MeanStay   float64                       `json:"Stay"`
	MeanWork   float64                       `json:"Mean"`
	Classes    []ClassStatistics             `json:"Classes"` // by number
	Workers    map[WorkerID]WorkerStatistics `json:"Workers"`
}

// ClassStatistics is how long jobs of a class take.
type ClassStatistics struct {
	WorkScale      float64 `json:"Scale"`
	MeanLogRuntime float64 `json:"Usual"`
	Jobs           int     `json:"Jobs"`
}

// WorkerStatistics is of a worker's process that started then.
type WorkerStatistics struct {
	StartedAt    Clock   `json:"Since"`
	Slots        float64 `json:"Total"`
	Increment    float64 `json:"Increment"`
	Slowness     float64 `json:"Lag"`
	SlownessJobs float64 `json:"JobsOf"`
	LastSignal   Clock   `json:"Heard"` // the last sign of life
}

// LearnedState gives what was learned so far.
func (s *Scheduler) LearnedState() LearnedState {
	e := LearnedState{Overcommit: s.overcommit, MeanStay: s.meanStay, MeanWork: s.meanWork, Workers: map[WorkerID]WorkerStatistics{}}
	for _, c := range s.classes {
		e.Classes = append(e.Classes, ClassStatistics{c.workScale, c.meanLogRuntime, c.jobs})
	}
	for _, w := range s.workers {
		if w.State != Gone {
			e.Workers[w.ID] = WorkerStatistics{w.StartedAt, w.observedSlots, w.increment, w.slownessSum, w.slownessJobs, w.lastSignal}
		}
	}
	return e
}

// adoptLearnedState begins with what another has learned, of the workers that are listed and have not started anew since.
func (s *Scheduler) adoptLearnedState(e LearnedState) {
	if len(e.Classes) > 0 { // else it tells of workers alone
		s.tookOver = true
		s.overcommit, s.meanStay, s.meanWork = e.Overcommit, e.MeanStay, e.MeanWork
	}
	for i, c := range e.Classes {
		if i < len(s.classes) {
			s.servedJobs += c.Jobs
			s.classes[i] = classState{workScale: c.WorkScale, meanLogRuntime: c.MeanLogRuntime, jobs: c.Jobs}
		}
	}
	for id, was := range e.Workers {
		if w := s.workersByID[id]; w != nil && w.StartedAt <= was.StartedAt {
			w.StartedAt, w.increment, w.slownessSum, w.slownessJobs = was.StartedAt, was.Increment, was.Slowness, was.SlownessJobs
			s.recordSlots(w, was.Slots)
		}
	}
}

// ---- Helpers ----

// normalized gives settings as the decisions take them.
func (s Settings) normalized() *Settings {
	s.Dispatchers, s.DispatcherIndex = max(s.Dispatchers, s.DispatcherIndex+1, 1), max(s.DispatcherIndex, 0)
	if len(s.Classes) == 0 {
		s.Classes = []Class{{Idempotency: NonIdempotent, MachineKind: -1}}
	}
	if !s.MayAdviseRetry {
		s.MaxRetryAfter = 0
	}
	if s.MaxAttempts <= 0 {
		s.MaxAttempts = 16
	}
	return &s
}

// applySettings puts new settings in force for what comes from now on.
func (s *Scheduler) applySettings(settings Settings) {
	s.settings = settings.normalized()
	grow := max(len(s.settings.Classes)-len(s.classes), 0)
	s.classes = append(s.classes, make([]classState, grow)...)
	for _, w := range s.workers {
		w.classEjections = append(w.classEjections, make([]ejectionState, grow)...)
	}
}

// hashWorkerID scatters workers, the same way at every dispatcher.
func hashWorkerID(id WorkerID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return mixBits(h.Sum64())
}

func mixBits(x uint64) uint64 {
	x = (x ^ x>>32) * 0x9e3779b97f4a7c15
	return x ^ x>>29
}

const (
	// keyCandidates is how many workers are looked at for a job with a key, beside the cold ones that this dispatcher owns, ...
	keyCandidates = 32
	// ... where more than these are listed; of so many each key's homes are by all. A hot key is a seventh of the jobs and
	// needs a third of the workers: in a window it crowds out the keys beside it, and copies find two workers of a bay
	// where there are eight. To look at all 512 costs 0.3 ms a job: at the cpuUsPerS of 500 ms, 1,700 jobs a second.
	maxFullScanWorkers = 512
)

// rebuildHashRing brings the index of listed workers by their hashes up to date: a ring, on which a key has its place. It is empty
// where all are looked at.
func (s *Scheduler) rebuildHashRing() {
	on := func(w *worker) bool { return w.listed && !w.detached }
	count, members := 0, uint64(0)
	s.warmingCandidates = s.warmingCandidates[:0]
	for _, w := range s.subset {
		if on(w) {
			count, members = count+1, members+mixBits(w.idHash)
			if s.warmupFactor(w) < 1 && s.slowStartShare(w) > 0 {
				s.warmingCandidates = append(s.warmingCandidates, w)
			}
		}
	}
	switch {
	case count <= maxFullScanWorkers:
		s.hashRing = s.hashRing[:0]
		return
	case members == s.hashRingSum && len(s.hashRing) > 0:
		return // the ring as it is
	}
	s.hashRing, s.hashRingSum = s.hashRing[:0], members
	for _, w := range s.subset {
		if on(w) {
			s.hashRing = append(s.hashRing, w)
		}
	}
	slices.SortFunc(s.hashRing, func(a, b *worker) int { return cmp.Compare(a.idHash, b.idHash) })
	s.hashRing = append(s.hashRing, s.hashRing[:keyCandidates]...) // so that no window has a gap
}

// candidatesForKey gives those of near that a job of a key is drawn to: a window of the ring from the key's place, the same at every
// dispatcher. One that joins or leaves moves windows by one, so few keys change their homes, and those by one worker.
func (s *Scheduler) candidatesForKey(key uint64) []*worker {
	if key == 0 || len(s.hashRing) == 0 {
		return s.subset
	}
	whole := s.hashRing[:len(s.hashRing)-keyCandidates]
	at, _ := slices.BinarySearchFunc(whole, mixBits(key^hashRingSalt), func(w *worker, h uint64) int { return cmp.Compare(w.idHash, h) })
	s.candidateBuffer = append(append(s.candidateBuffer[:0], s.hashRing[at%len(whole):][:keyCandidates]...), s.warmingCandidates...)
	return s.candidateBuffer
}

const hashRingSalt = 0x5bd1e995 // a key's place on the ring is not by what ranks its homes

// weight is a worker's weight as it was registered.
func (w *worker) weight() float64 { return max(figureOrMissing(w.Weight), 1e-3) }

// updateWorker takes a line of the list in.
func (s *Scheduler) updateWorker(in WorkerInfo) {
	w := s.workersByID[in.ID]
	if w == nil {
		w = &worker{increment: initialIncrement, idHash: hashWorkerID(in.ID), detached: s.detached[in.ID]}
		w.classEjections = make([]ejectionState, len(s.classes))
		s.workersByID[in.ID] = w
		at, _ := slices.BinarySearchFunc(s.workers, in.ID,
			func(w *worker, id WorkerID) int { return cmp.Compare(w.ID, id) })
		s.workers = slices.Insert(s.workers, at, w)
	} else if in.StartedAt > w.StartedAt { // restarted
		s.resetStatistics(w)
	}
	in.StartedAt = w.startTime(in) // an older list does not make it older
	w.WorkerInfo = in
	w.listed = in.State == Ready
}

// resetStatistics forgets what was known of a worker's old process.
func (s *Scheduler) resetStatistics(w *worker) {
	w.othersLoad, w.meanOthersLoad, w.reportedAt, w.fullUntil, w.slownessSum, w.slownessJobs, w.lastProbeReport = 0, 0, 0, 0, 0, 0, Report{}
	w.ejectionState, w.classEjections = ejectionState{}, make([]ejectionState, len(s.classes))
}

// startTime gives when a worker started, by what a list says: the latest start that was told, unless this list is sure and
// operators have not put the worker back startTime.
func (w *worker) startTime(in WorkerInfo) Clock {
	if in.StartConfirmed && !w.reattached {
		return in.StartedAt
	}
	return max(in.StartedAt, w.StartedAt)
}

// KnowsWorker tells whether the list ever named the worker, or it is out by hand.
func (s *Scheduler) KnowsWorker(id WorkerID) bool { return s.workersByID[id] != nil || s.detached[id] }

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

package scheduler

import "hash/fnv"

// worker is what a scheduler knows of one worker. WorkerInfo, including State, is from the last list that named the worker. A full
// list that does not name it clears only listed, ready and ReturnUnconfirmed.
type worker struct {
	WorkerInfo
	idHash     uint64 // hash of the id, the same at every dispatcher
	listed     bool   // as ready or draining in the last list
	ready      bool   // as ready in the endpoint list
	detached   bool   // by the operator
	detachedAt Instant
	reattached bool // by the operator, and no own attempt has started since

	ejectionState                   // of the worker as a whole
	classEjections  []ejectionState // by class
	recentFailures  decayingCounter // own jobs that failed
	recentSuccesses decayingCounter // own jobs that were served

	// The load according to the last report, as a share of the worker.
	reportedAt      Instant // 0 for never
	reportedLoad    float64
	othersLoad      float64 // of other dispatchers: the reported load minus the own slots of that time
	meanOthersLoad  float64 // over othersLoadWindow
	lastProbeReport Report
	fullUntil       Instant // it rejected an attempt as full: until then its load value is at least 1

	// The slots of this dispatcher's own attempts there.
	ownSlots       float64 // of attempts in flight
	meanOwnSlots   float64 // over reportLookback, as of meanOwnSlotsAt
	meanOwnSlotsAt Instant
	runningSlots   float64         // of attempts that have started
	cancelledSlots decayingCounter // of attempts that were cancelled before their start
	cancelledWaits decayingCounter // number of attempts that were cancelled after waiting long enough to be hedged
	delayedStarts  int             // number of attempts that have not started in time, as of the last review

	// Its size.
	observedSlots  float64 // the most slots seen; 0 while unknown
	increment      float64 // load of one slot while observedSlots is unknown
	sendsSinceFull int

	// The sends to it.
	weightedSends       float64         // 1/weight for each send: among ties a worker of twice the weight is sent twice as many
	recentWeightedSends decayingCounter // the same, decaying
	slowStartCharges    []slowStartCharge

	// Its speed: sums of logSlowness over jobs, and the numbers of these jobs.
	logSlownessSum      float64 // over served jobs, decaying
	slownessJobs        float64
	runningSlownessSum  float64 // over jobs that run for longer than usual, as of the last review
	runningSlownessJobs float64

	lastSignal           Instant // last sign of life, or first send while nothing was in flight
	lastUsed             Instant // last send or sign of life
	nextProbeAt          Instant // of the regular probes; 0 for not yet chosen
	probeInFlight        bool
	probeSentAt          Instant
	probePassedAt        Instant // when the last probe that passed was sent
	nextProbeBeforeUseAt Instant // no probe before use until then
}

// available reports whether the worker is listed as ready and not detached.
func (w *worker) available() bool { return w.ready && !w.detached }

// canRun reports whether the worker is of the machine kind of a request's class and in a zone that the request allows.
func (w *worker) canRun(request *request) bool {
	kind := request.settings.Classes[request.class].MachineKind
	return (kind < 0 || kind == w.MachineKind) && !request.excludesZone(w.Zone)
}

// weight returns the worker's registered weight, at least 0.001.
func (w *worker) weight() float64 { return max(figureOrMissing(w.Weight), 1e-3) }

// resetStatistics discards what was learned of a worker's process before its restart.
func (s *Scheduler) resetStatistics(worker *worker) {
	worker.reportedAt, worker.lastProbeReport, worker.fullUntil = 0, Report{}, 0
	worker.othersLoad, worker.meanOthersLoad = 0, 0
	worker.logSlownessSum, worker.slownessJobs = 0, 0
	worker.ejectionState, worker.classEjections = ejectionState{}, make([]ejectionState, len(s.classes))
}

// hashWorkerID returns a hash of a worker id, the same at every dispatcher.
func hashWorkerID(id WorkerID) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(id)) // a hash never returns an error
	return mixBits(hash.Sum64())
}

// mixBits mixes the bits of a hash, so that sums and exclusive ors of hashes are well distributed too.
func mixBits(hash uint64) uint64 {
	hash = (hash ^ hash>>32) * 0x9e3779b97f4a7c15
	return hash ^ hash>>29
}

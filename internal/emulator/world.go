package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"brassdale/scheduler"
)

// simulation is a run of a scenario.
type simulation struct {
	engine
	scenario                     *Scenario
	workers                      []*worker
	byID                         map[scheduler.WorkerID]*worker
	fetches                      *fetchQueue
	dispatchers                  []*dispatcher
	userQueues                   [][]*job                     // of the users
	discoveryDown, discoveryHung int                          // faults of discovery
	outageListeners              []func()                     // hear of them
	workerListeners              []func(scheduler.WorkerInfo) // hear of a change of the list, beside the dispatchers of the model
	audit                        *auditor
	lastRequestID                scheduler.RequestID
	clientRandom                 *rand.Rand
	classRandom                  *rand.Rand // what classes and memory are drawn from
	classes                      []Class    // of jobs
	statsByClass                 []jobStats
	rateFactor, tailFactor       float64

	planning      *zonePlanning
	partitions    map[[2]int]int // faults between a zone's dispatchers and another's boxes
	delayFactor   map[int]float64
	zoneLoads     []zoneLoad
	statsBySecond []secondStats

	attemptsSent, probesSent, crossings int
	workDone, workWasted                float64
	speedSum                            float64    // sum over served jobs of work by time
	statsByAccount                      []jobStats // by account
	responseTimes                       []float64
	notes                               []string
}

// job is what a client wants, over its tries.
type job struct {
	account          int
	work             float64
	class            int
	slots            int
	memory           float64
	workEstimate     time.Duration
	subject          int
	user             int
	firstRequestedAt time.Duration
	requests         int
	finished         bool
}

type clientOutcome uint8

const (
	outcomeServed clientOutcome = iota
	outcomeRejected
	outcomeFailed
)

type jobStats struct {
	jobs                           int
	workRequested, workInTime      float64 // work
	served, late, rejected, failed int
}

// countRequest enters a job that its client wants done.
func (t *jobStats) countRequest(work float64) {
	t.jobs++
	t.workRequested += work
}

// clockStart is how long before the start clocks began.
const clockStart = time.Hour

// Run plays a scenario with a policy for each dispatcher. It ends when all is answered and every box is idle, or Settle
// after the last job came.
func Run(scenario Scenario, policy func(scheduler.Settings, uint64) Policy) (*Result, error) {
	sim, err := newSimulation(&scenario)
	if err != nil {
		return nil, err
	}
	for index := range scenario.Dispatchers {
		dispatcher := &dispatcher{sim: sim, index: index, zone: index % max(scenario.Network.Zones, 1), idleSince: map[scheduler.WorkerID][]time.Duration{}, subscribed: scenario.Pushed, requests: map[scheduler.RequestID]*openRequest{}, knownStarts: map[scheduler.WorkerID]time.Duration{}, random: sim.randomSource(uint64(100 + index))}
		dispatcher.policy = policy(sim.schedulerSettings(index), dispatcher.random.Uint64())
		sim.dispatchers = append(sim.dispatchers, dispatcher)
		sim.after(0, func() { dispatcher.updateEndpoints(scheduler.ListCached, sim.endpoints()) })
	}
	sim.scheduleFaults()
	sim.startPlanning()
	sim.after(dispatcherLeadTime, sim.jobArrives)
	if scenario.LiveWeights {
		sim.after(weightInterval, sim.publishWeights)
	}
	sim.run(clockStart + dispatcherLeadTime + scenario.Span + scenario.Traffic.GiveUp + Settle)
	return sim.result(), nil
}

// newSimulation makes a works with its boxes, at rest.
func newSimulation(scenario *Scenario) (*simulation, error) {
	if err := scenario.Check(); err != nil {
		return nil, err
	}
	sim := &simulation{scenario: scenario, byID: map[scheduler.WorkerID]*worker{}, statsByAccount: make([]jobStats, max(len(scenario.Traffic.Accounts), 1))}
	sim.now = clockStart
	sim.audit = newAuditor(scenario, clockStart)
	sim.userQueues = make([][]*job, scenario.Traffic.Users)
	sim.clientRandom, sim.classRandom, sim.rateFactor = sim.randomSource(1), sim.randomSource(3), 1
	sim.classes = scenario.Traffic.effectiveClasses()
	sim.partitions, sim.delayFactor, sim.zoneLoads = map[[2]int]int{}, map[int]float64{}, make([]zoneLoad, max(scenario.Network.Zones, 1))
	sim.statsByClass = make([]jobStats, len(sim.classes))
	sim.fetches = &fetchQueue{sim: sim, maxActive: scenario.Store.Slots}
	random := sim.randomSource(2)
	for kindIndex, kind := range scenario.Kinds {
		for range kind.Count {
			index := len(sim.workers)
			worker := &worker{sim: sim, id: scheduler.WorkerID(fmt.Sprintf("s-%06x", random.Uint32()>>8)), kind: kindIndex, cell: index % scenario.Bays, zone: index % max(scenario.Network.Zones, 1), slots: kind.Slots, sharing: kind.Sharing,
				speed: kind.SpeedMin + (kind.SpeedMax-kind.SpeedMin)*random.Float64(), subjectUsedAt: map[int]time.Duration{}, random: sim.randomSource(uint64(1000 + index))}
			for sim.byID[worker.id] != nil {
				worker.id += "x"
			}
			sim.workers = append(sim.workers, worker)
			sim.byID[worker.id] = worker
			for i := range worker.reports {
				worker.reports[i] = scheduler.Report{Requests: -1, FreeSlots: float64(worker.slots)}
			}
			if scenario.Reports.Every > 0 {
				worker.recordReport()
			}
		}
	}
	return sim, nil
}

// scheduleFaults sees to the scheduleFaults.
func (sim *simulation) scheduleFaults() {
	for i, fault := range sim.scenario.Faults {
		sim.after(fault.At, func() { sim.applyFault(fault, sim.randomSource(uint64(10+i))) })
	}
}

const (
	// Settle is how long a run goes on behind the last client's give-up.
	Settle = 2 * time.Second

	dispatcherLeadTime = 100 * time.Millisecond // in which dispatchers hear of the boxes
)

// randomSource gives a randomSource of chance of its own to each thing that has any, so that one more draw of the one changes
// nothing for the others.
func (sim *simulation) randomSource(of uint64) *rand.Rand {
	return rand.New(rand.NewPCG(sim.scenario.Seed, of))
}

// schedulerSettings are what a dispatcher is told.
func (sim *simulation) schedulerSettings(dispatcher int) scheduler.Settings {
	traffic, rules := &sim.scenario.Traffic, &sim.scenario.Rules
	settings := scheduler.Settings{DispatcherIndex: dispatcher, Dispatchers: sim.scenario.Dispatchers, ListPolled: !sim.scenario.Pushed, ReportsPulled: !sim.scenario.Reports.Answers, ReportsStart: true, MayProbe: !sim.scenario.Reports.Push,
		MayCancel: rules.MayCancel, MayHedge: rules.MayCopy, MayAdviseRetry: true, MaxAttempts: rules.MaxAttempts, MaxRetryAfter: 2 * time.Second,
		AnswerSlack: rules.Slack, MaxPollInterval: maxPollInterval, SlowStartDuration: sim.scenario.SlowStart.For, SlowStartCapacity: sim.scenario.SlowStart.Capacity, OverloadMultiple: sim.scenario.SlowStart.Tip,
		OverloadWindow: sim.scenario.SlowStart.Fall, WeightByWork: true, Zone: dispatcher % max(sim.scenario.Network.Zones, 1), CrossZoneCost: sim.scenario.Network.CrossPrice}
	for _, class := range traffic.effectiveClasses() {
		settings.Classes = append(settings.Classes, scheduler.Class{LatencyObjective: class.Aim, ObjectiveStretch: class.Stretch, Deadline: class.GiveUp, PriorityWeight: class.PriorityWeight, Idempotency: class.Effect,
			DeduplicationScope: class.Scope, DeduplicationWindow: class.Window, MachineKind: -1})
	}
	return settings
}

// endpoints is the endpoints of boxes as it is now.
func (sim *simulation) endpoints() (endpoints []scheduler.WorkerInfo) {
	for _, worker := range sim.workers {
		endpoints = append(endpoints, worker.endpoint())
	}
	return endpoints
}

func (w *worker) endpoint() scheduler.WorkerInfo {
	return scheduler.WorkerInfo{ID: w.id, State: w.state, Cell: w.cell, Zone: w.zone, MachineKind: w.kind, Weight: w.listedWeight(), StartedAt: w.startedAt}
}

// changeDiscoveryFaults begins a fault of discovery, or ends it. A dispatcher's watch ends at once where it is down; where it hangs, once
// the dispatcher has waited for long enough. What changes meanwhile comes with the whole list, behind the next call.
func (sim *simulation) changeDiscoveryFaults(kind FaultKind, by int) {
	if kind == ListDown {
		sim.discoveryDown += by
	} else {
		sim.discoveryHung += by
	}
	for _, dispatcher := range sim.dispatchers {
		if by > 0 && dispatcher.subscribed {
			dispatcher.subscribed = false
			dispatcher.failPoll()
		}
	}
	for _, notify := range sim.outageListeners {
		notify()
	}
}

// publishWorker tells all dispatchers of a box, late.
func (sim *simulation) publishWorker(worker *worker) {
	endpoint := worker.endpoint()
	for _, dispatcher := range sim.dispatchers {
		sim.after(sim.updateDelay(dispatcher.random), func() {
			if dispatcher.subscribed { // else it gets the whole list when it is again
				dispatcher.updateEndpoints(scheduler.ListDelta, []scheduler.WorkerInfo{endpoint})
			}
		})
	}
	for _, notify := range sim.workerListeners {
		notify(endpoint)
	}
}

// localDelay is a way through the network.
func (sim *simulation) localDelay(random *rand.Rand) time.Duration {
	half := float64(sim.scenario.Network.Delay) / 2
	return time.Duration(half + random.ExpFloat64()*half)
}

// updateDelay is how updateDelay the list tells something.
func (sim *simulation) updateDelay(random *rand.Rand) time.Duration {
	return time.Duration((0.5 + random.Float64()) * float64(sim.scenario.Discovery))
}

func (sim *simulation) workerByAttempt(attempt *attemptRun) *worker { return sim.byID[attempt.worker] }

// reportOutcome tells a dispatcher how an attempt ended.
func (sim *simulation) reportOutcome(attempt *attemptRun, outcome scheduler.Outcome) {
	worker := sim.workerByAttempt(attempt)
	if worker.partitioned > 0 { // the other side hears of it once the box is back
		worker.unreachedAttempts = append(worker.unreachedAttempts, attempt)
		return
	}
	if sim.scenario.Reports.Answers {
		attempt.report = worker.reportedState()
	}
	sim.after(sim.oneWayDelay(attempt.zone, worker, attempt.source.delayRandom()), func() { attempt.source.attemptOver(attempt, outcome) })
}

// reportStarted tells a dispatcher that a job has started.
func (sim *simulation) reportStarted(attempt *attemptRun) {
	worker := sim.workerByAttempt(attempt)
	if worker.partitioned > 0 {
		return
	}
	sim.after(sim.oneWayDelay(attempt.zone, worker, attempt.source.delayRandom()), func() { attempt.source.attemptStarted(attempt) })
}

// newJob makes one of so many means of work, where that is exponentially distributed, and draws the rest.
func (t *Traffic) newJob(means float64, random *rand.Rand) *job {
	job := &job{work: t.Work * means, slots: 1}
	if t.Spread > 0 { // of the same mean
		job.work = t.Work * math.Exp(t.Spread*random.NormFloat64()-t.Spread*t.Spread/2)
	}
	if t.Subjects > 0 {
		job.subject = 1 + random.IntN(t.Subjects)
	}
	return job
}

// jobArrives brings a job and sees to the next.
func (sim *simulation) jobArrives() {
	traffic := &sim.scenario.Traffic
	work := sim.clientRandom.ExpFloat64()
	sim.clientRandom.Uint64() // was a key once; without it every seed of the kept results would play other traffic
	job := traffic.newJob(work, sim.clientRandom)
	job.firstRequestedAt = sim.now
	pick, sum := sim.clientRandom.Float64(), 0.0
	for _, account := range traffic.Accounts {
		sum += account.Share
	}
	for i, a := range traffic.Accounts {
		if pick -= a.Share / sum; pick < 0 {
			job.account = i
			break
		}
	}
	sim.drawClass(job)
	sim.statsByAccount[job.account].countRequest(sim.weightedWork(job))
	sim.statsByClass[job.class].countRequest(sim.weightedWork(job))
	if traffic.Users > 0 {
		sim.enqueueForUser(job)
	} else {
		sim.submit(job)
	}
	if next := time.Duration(sim.clientRandom.ExpFloat64() / (traffic.Rate * sim.rateFactor) * float64(time.Second)); sim.now+next < clockStart+dispatcherLeadTime+sim.scenario.Span {
		sim.after(next, sim.jobArrives)
	}
}

// submit hands a job to some dispatcher.
func (sim *simulation) submit(job *job) {
	sim.lastRequestID++
	giveUp := sim.classOf(job).GiveUp
	id, expires := sim.lastRequestID, sim.now+giveUp
	job.requests++
	dispatcher := sim.dispatchers[sim.clientRandom.IntN(len(sim.dispatchers))]
	sim.after(giveUp+sim.scenario.Rules.Slack, func() {
		if request := dispatcher.requests[id]; request != nil && !request.answered {
			sim.audit.clientGaveUp(sim.now, uint64(id))
			request.answered = true
			sim.finishJob(job, outcomeFailed)
			dispatcher.handle(scheduler.ClientLeft{ID: id})
			dispatcher.forget(id)
		}
	})
	dispatcher.requestArrived(job, id, expires)
}

// handleAnswer takes a client's final answer to one try.
func (sim *simulation) handleAnswer(job *job, _ scheduler.RequestID, outcome clientOutcome, retryAfter time.Duration) {
	if outcome == outcomeRejected && job.requests == 1 && sim.clientRandom.Float64() < sim.scenario.Traffic.Retries {
		sim.after(max(retryAfter, 100*time.Millisecond), func() { sim.submit(job) })
		return
	}
	sim.finishJob(job, outcome)
}

// finishJob ends a job for its client.
func (sim *simulation) finishJob(job *job, outcome clientOutcome) {
	if job.finished {
		return
	}
	job.finished = true
	if sim.scenario.Traffic.Users > 0 {
		defer sim.startNextOfUser(job)
	}
	sim.recordOutcome(&sim.statsByAccount[job.account], outcome, job, sim.now-job.firstRequestedAt)
	sim.recordBySecond(job, outcome)
	if outcome == outcomeServed && sim.withinObjective(job, sim.now-job.firstRequestedAt) {
		sim.statsByClass[job.class].workInTime += sim.weightedWork(job)
	}
}

// withinObjective tells whether an answer so long after the client asked counts.
func (sim *simulation) withinObjective(job *job, responseTime time.Duration) bool {
	class := sim.classOf(job)
	return responseTime.Seconds() <= class.Aim.Seconds()+class.Stretch*job.work
}

// recordOutcome enters a job's end for its client into its account's tally.
func (sim *simulation) recordOutcome(stats *jobStats, outcome clientOutcome, job *job, responseTime time.Duration) {
	switch outcome {
	case outcomeServed:
		seconds := responseTime.Seconds()
		stats.served++
		sim.responseTimes = append(sim.responseTimes, seconds)
		sim.speedSum += job.work / max(seconds, 1e-9)
		if sim.withinObjective(job, responseTime) {
			stats.workInTime += sim.weightedWork(job)
		} else {
			stats.late++
		}
	case outcomeRejected:
		stats.rejected++
	default:
		stats.failed++
	}
}

// applyFault has a fault come over some boxes, and go.
func (sim *simulation) applyFault(fault Fault, random *rand.Rand) {
	switch fault.Kind {
	case Burst:
		sim.rateFactor *= fault.Size
		sim.after(fault.For, func() { sim.rateFactor /= fault.Size })
		return
	case HeavyTail:
		sim.tailFactor = fault.Size
		sim.after(fault.For, func() { sim.tailFactor = 0 })
		return
	}
	if fault.Kind >= ZoneLost {
		sim.applyZoneFault(fault)
		return
	}
	if fault.Kind == ListDown || fault.Kind == ListHung {
		sim.changeDiscoveryFaults(fault.Kind, 1)
		sim.after(fault.For, func() { sim.changeDiscoveryFaults(fault.Kind, -1) })
		return
	}
	affected := slices.Clone(sim.workers)
	random.Shuffle(len(affected), func(i, j int) { affected[i], affected[j] = affected[j], affected[i] })
	for _, worker := range affected[:max(int(fault.Share*float64(len(affected))), 1)] {
		worker.beginFault(fault.Kind)
		sim.after(fault.For, func() { worker.endFault(fault.Kind) })
	}
}

func (w *worker) beginFault(kind FaultKind) {
	switch kind {
	case Freeze:
		w.frozen++
	case Silent:
		w.silent++
	case Slow:
		w.slow++
	case Unreported:
		w.delayedReports++
	case Reset:
		w.dropAll()
	case Partition:
		w.partitioned++
	case Drain:
		w.state = scheduler.Draining
		w.sim.publishWorker(w)
	case Restart:
		w.dropAll()
		w.down = true
		w.sim.after(time.Second, func() {
			w.down, w.startedAt, w.recentArrivals = false, w.sim.now, nil
			w.sim.publishWorker(w)
		})
	}
}

func (w *worker) endFault(kind FaultKind) {
	switch kind {
	case Freeze:
		if w.frozen--; w.frozen == 0 {
			deferred := w.deferredFinishes
			w.deferredFinishes = nil
			for _, finish := range deferred {
				finish()
			}
		}
	case Silent:
		w.silent--
	case Slow:
		w.slow--
	case Unreported:
		w.delayedReports--
	case Partition:
		if w.partitioned--; w.partitioned == 0 {
			for _, r := range w.unreachedAttempts {
				r.over = true
				w.sim.reportOutcome(r, scheduler.Reset)
			}
			w.unreachedAttempts = nil
			w.dropAll()
		}
	case Drain: // it goes, whatever it still has
		w.dropAll()
		w.state, w.down = scheduler.Gone, true
		w.sim.publishWorker(w)
	}
	w.startQueued()
}

func (sim *simulation) addNote(format string, a ...any) {
	sim.notes = append(sim.notes, fmt.Sprintf(format, a...))
}

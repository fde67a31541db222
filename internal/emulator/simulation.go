package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"brassdale/scheduler"
)

// simulation is one run of a scenario. All of its state belongs to the goroutine that runs the engine.
type simulation struct {
	engine
	scenario        *Scenario
	workers         []*worker
	byID            map[scheduler.WorkerID]*worker
	fetches         *fetchQueue // the store that workers fetch subjects from
	dispatchers     []*dispatcher
	userQueues      [][]*job // by user: the job in flight, then the jobs that wait for it
	workerListeners []func(scheduler.WorkerInfo)
	outageListeners []func()
	audit           *auditor
	lastRequestID   scheduler.RequestID
	clientRandom    *rand.Rand
	classRandom     *rand.Rand // for classes, memory and work estimates
	classes         []Class
	planning        *zonePlanning // nil unless zones are planned

	// Faults in force.
	discoveryDown, discoveryHung int
	rateFactor                   float64        // of the arrival rate
	tailFactor                   float64        // of a heavy job's work; 0 without the fault
	partitions                   map[[2]int]int // number of faults, by the zone of the dispatchers and the zone of the workers that they separate
	delayFactor                  map[int]float64

	// Measurements.
	statsByAccount                      []jobStats
	statsByClass                        []jobStats
	statsBySecond                       []secondStats
	zoneLoads                           []zoneLoad
	attemptsSent, probesSent, crossings int
	workDone, workWasted                float64
	speedSum                            float64   // sum of work / response time over served jobs
	responseTimes                       []float64 // of served jobs, in seconds
	notes                               []string
}

const (
	// clockStart is the virtual clock's time at the start of a run.
	clockStart = time.Hour

	// Settle is how long a run goes on after the last client's deadline, so that late answers and cancellations are seen.
	Settle = 2 * time.Second

	// dispatcherLeadTime is the time between the dispatchers' start and the first job.
	dispatcherLeadTime = 100 * time.Millisecond
)

// Identifiers of the random sources. Each component has its own source, so that an additional draw of one component does not change
// the draws of the others. All stored results depend on these numbers.
const (
	clientSource          = 1
	workerPlacementSource = 2
	classSource           = 3
	plannerSource         = 4
	firstFaultSource      = 10   // plus the fault's index
	firstDispatcherSource = 100  // plus the dispatcher's index
	firstWorkerSource     = 1000 // plus the worker's index
)

// randomSource returns the random source with the given identifier for the scenario's seed.
func (sim *simulation) randomSource(id uint64) *rand.Rand {
	return rand.New(rand.NewPCG(sim.scenario.Seed, id))
}

// Run runs a scenario in virtual time with a policy for each dispatcher, made from its settings and a seed. It returns when no task
// is left, or Settle after the deadline of the last job that could arrive.
func Run(scenario Scenario, policy func(scheduler.Settings, uint64) Policy) (*Result, error) {
	sim, err := newSimulation(&scenario)
	if err != nil {
		return nil, err
	}
	for index := range scenario.Dispatchers {
		sim.addDispatcher(index, policy)
	}
	sim.scheduleFaults()
	sim.startPlanning()
	sim.after(dispatcherLeadTime, sim.jobArrives)
	if scenario.LiveWeights {
		sim.after(weightInterval, sim.publishWeights)
	}
	sim.run(clockStart + dispatcherLeadTime + scenario.Span + scenario.Traffic.Deadline + Settle)
	return sim.result(), nil
}

// newSimulation checks a scenario and returns a simulation with its workers idle and without dispatchers.
func newSimulation(scenario *Scenario) (*simulation, error) {
	if err := scenario.Check(); err != nil {
		return nil, err
	}
	sim := &simulation{
		scenario:       scenario,
		byID:           map[scheduler.WorkerID]*worker{},
		statsByAccount: make([]jobStats, max(len(scenario.Traffic.Accounts), 1)),
		userQueues:     make([][]*job, scenario.Traffic.Users),
		classes:        scenario.Traffic.effectiveClasses(),
		rateFactor:     1,
		partitions:     map[[2]int]int{},
		delayFactor:    map[int]float64{},
		zoneLoads:      make([]zoneLoad, max(scenario.Network.Zones, 1)),
	}
	sim.now = clockStart
	sim.audit = newAuditor(scenario, clockStart)
	sim.clientRandom, sim.classRandom = sim.randomSource(clientSource), sim.randomSource(classSource)
	sim.statsByClass = make([]jobStats, len(sim.classes))
	sim.fetches = &fetchQueue{sim: sim, maxActive: scenario.Store.Slots}
	random := sim.randomSource(workerPlacementSource)
	for kindIndex, kind := range scenario.Kinds {
		for range kind.Count {
			sim.addWorker(kindIndex, &kind, random)
		}
	}
	return sim, nil
}

// addWorker adds a worker of a kind; its id and speed are drawn from random, in this order.
func (sim *simulation) addWorker(kindIndex int, kind *WorkerKind, random *rand.Rand) {
	index := len(sim.workers)
	worker := &worker{
		sim:           sim,
		id:            scheduler.WorkerID(fmt.Sprintf("s-%06x", random.Uint32()>>8)),
		kind:          kindIndex,
		cell:          index % sim.scenario.Cells,
		zone:          index % max(sim.scenario.Network.Zones, 1),
		slots:         kind.Slots,
		sharing:       kind.Sharing,
		speed:         kind.SpeedMin + (kind.SpeedMax-kind.SpeedMin)*random.Float64(),
		subjectUsedAt: map[int]time.Duration{},
		random:        sim.randomSource(uint64(firstWorkerSource + index)),
	}
	for sim.byID[worker.id] != nil {
		worker.id += "x"
	}
	sim.workers = append(sim.workers, worker)
	sim.byID[worker.id] = worker
	for i := range worker.reports {
		worker.reports[i] = scheduler.Report{Requests: -1, FreeSlots: float64(worker.slots)}
	}
	if sim.scenario.Reports.Every > 0 {
		worker.recordReport()
	}
}

// addDispatcher adds a dispatcher with its policy, which receives the endpoint list as its first event.
func (sim *simulation) addDispatcher(index int, policy func(scheduler.Settings, uint64) Policy) {
	dispatcher := &dispatcher{
		sim:         sim,
		index:       index,
		zone:        index % max(sim.scenario.Network.Zones, 1),
		idleSince:   map[scheduler.WorkerID][]time.Duration{},
		subscribed:  sim.scenario.ListPushed,
		requests:    map[scheduler.RequestID]*openRequest{},
		knownStarts: map[scheduler.WorkerID]time.Duration{},
		random:      sim.randomSource(uint64(firstDispatcherSource + index)),
	}
	dispatcher.policy = policy(sim.schedulerSettings(index), dispatcher.random.Uint64())
	sim.dispatchers = append(sim.dispatchers, dispatcher)
	sim.after(0, func() { dispatcher.updateEndpoints(scheduler.ListCached, sim.endpoints()) })
}

// schedulerSettings returns the settings of the dispatcher with the given index.
func (sim *simulation) schedulerSettings(dispatcher int) scheduler.Settings {
	scenario := sim.scenario
	rules, slowStart := &scenario.Rules, &scenario.SlowStart
	settings := scheduler.Settings{
		DispatcherIndex:   dispatcher,
		Dispatchers:       scenario.Dispatchers,
		ListPolled:        !scenario.ListPushed,
		ReportsPulled:     !scenario.Reports.InAnswers,
		ReportsStart:      true,
		MayProbe:          !scenario.Reports.Push,
		MayCancel:         rules.MayCancel,
		MayHedge:          rules.MayHedge,
		MayAdviseRetry:    true,
		MaxAttempts:       rules.MaxAttempts,
		MaxRetryAfter:     maxRetryAfter,
		AnswerSlack:       rules.AnswerSlack,
		MaxPollInterval:   maxPollInterval,
		SlowStartDuration: slowStart.Duration,
		SlowStartCapacity: slowStart.Capacity,
		OverloadMultiple:  slowStart.OverloadMultiple,
		OverloadWindow:    slowStart.OverloadWindow,
		WeightByWork:      true,
		Zone:              dispatcher % max(scenario.Network.Zones, 1),
		CrossZoneCost:     scenario.Network.CrossPrice,
	}
	for _, class := range scenario.Traffic.effectiveClasses() {
		settings.Classes = append(settings.Classes, scheduler.Class{
			LatencyObjective:    class.LatencyObjective,
			ObjectiveStretch:    class.ObjectiveStretch,
			Deadline:            class.Deadline,
			PriorityWeight:      class.PriorityWeight,
			Idempotency:         class.Idempotency,
			DeduplicationScope:  class.DeduplicationScope,
			DeduplicationWindow: class.DeduplicationWindow,
			MachineKind:         -1,
		})
	}
	return settings
}

// maxRetryAfter is the longest wait that a dispatcher may advise a rejected client.
const maxRetryAfter = 2 * time.Second

// addNote adds a line to the result's notes.
func (sim *simulation) addNote(format string, a ...any) {
	sim.notes = append(sim.notes, fmt.Sprintf(format, a...))
}

package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// warmingFleet describes a random fleet with one worker that has just started.
type warmingFleet struct {
	settings              Settings
	dispatchers           int
	slots                 float64
	work                  float64 // mean work of a job, in seconds
	requestRate           float64 // requests a second at all dispatchers together
	firstDispatcherFactor float64 // requests at the first dispatcher, as a multiple of an even share
	killedAt              Instant // when seven in ten dispatchers are killed and restarted; 0 for never
	restartDuration       Instant // how long a restart takes
	seed                  uint64
}

const (
	fleetStep       = 10 * ms
	fleetSpan       = 9 * time.Second
	workerStartedAt = start + 5*time.Second // of the warming worker
)

// warmingFleetRun is the state of one simulation of a warmingFleet.
type warmingFleetRun struct {
	*warmingFleet
	random      *rand.Rand
	now         Instant
	list        []WorkerInfo
	schedulers  []*Scheduler
	restartsAt  []Instant // by dispatcher, for those that are down; 0 for the others
	jobs        []fleetJob
	lastID      RequestID
	runningJobs float64   // at the warming worker
	arrivedAt   []Instant // of requests at the warming worker
}

// fleetJob is a job in progress.
type fleetJob struct {
	from    *Scheduler
	id      RequestID // 0 for a job that runs at another worker
	runtime time.Duration
	endsAt  Instant
	started bool // at the warming worker
}

// arrivals simulates the fleet and returns when requests arrived at the warming worker, in order. The runtimes are random. A
// request that is not sent to the warming worker runs at another one, and its dispatcher learns its runtime. Dispatchers share
// nothing.
func (f *warmingFleet) arrivals() []Instant {
	run := &warmingFleetRun{
		warmingFleet: f, random: rand.New(rand.NewPCG(f.seed, 1)), now: start,
		list:       []WorkerInfo{{ID: WorkerID(fmt.Sprint("cold-", f.seed)), StartedAt: workerStartedAt, Weight: 1}},
		schedulers: make([]*Scheduler, f.dispatchers), restartsAt: make([]Instant, f.dispatchers),
	}
	for dispatcher := range run.schedulers {
		run.startDispatcher(dispatcher)
	}
	for ; run.now < start+fleetSpan; run.now += fleetStep {
		run.endJobs()
		for dispatcher := range run.schedulers {
			if run.updateDispatcher(dispatcher) {
				run.submitJobs(dispatcher)
			}
		}
	}
	slices.Sort(run.arrivedAt)
	return run.arrivedAt
}

// startDispatcher starts a dispatcher without learned state.
func (r *warmingFleetRun) startDispatcher(dispatcher int) {
	settings := r.settings
	settings.DispatcherIndex, settings.Dispatchers = dispatcher, r.dispatchers
	r.schedulers[dispatcher] = New(settings, r.random.Uint64())
	r.schedulers[dispatcher].Handle(r.now, TimerFired{})
}

// endJobs ends the jobs whose runtime is over. A dispatcher also learns the runtimes of the jobs that ran at other workers.
func (r *warmingFleetRun) endJobs() {
	r.jobs = slices.DeleteFunc(r.jobs, func(job fleetJob) bool {
		if r.now < job.endsAt {
			return false
		}
		if job.started {
			r.runningJobs--
		}
		if scheduler := job.from; job.id > 0 {
			scheduler.Handle(r.now, AttemptFinished{ID: job.id, Outcome: Served, Final: true})
		} else { // as recordRuntime does
			class := &scheduler.classes[0]
			scheduler.servedJobs, class.jobs = scheduler.servedJobs+1, class.jobs+1
			updateMean(&scheduler.meanWork, scheduler.servedJobs, job.runtime.Seconds())
			updateMean(&class.workScale, class.jobs, job.runtime.Seconds())
		}
		return true
	})
}

// updateDispatcher kills or restarts a dispatcher, or passes it its first list, if that is due. It reports whether the dispatcher
// is up.
func (r *warmingFleetRun) updateDispatcher(dispatcher int) bool {
	if r.killedAt > 0 && r.now >= r.killedAt && r.now < r.killedAt+fleetStep && dispatcher%10 < 7 {
		r.restartsAt[dispatcher] = r.now + r.restartDuration
	}
	if r.now < r.restartsAt[dispatcher] {
		return false
	}
	if r.restartsAt[dispatcher] > 0 {
		r.restartsAt[dispatcher] = 0
		r.startDispatcher(dispatcher)
	}
	if scheduler := r.schedulers[dispatcher]; r.now >= workerStartedAt && len(scheduler.workers) == 0 {
		scheduler.Handle(r.now, EndpointsUpdated{ListKind: ListFull, Workers: r.list})
		if r.random.IntN(2) == 0 { // as a report of a probe may do
			scheduler.recordSlots(scheduler.workers[0], r.slots)
		}
	}
	return true
}

// submitJobs submits the requests of a dispatcher in one step.
func (r *warmingFleetRun) submitJobs(dispatcher int) {
	rate := r.requestRate / float64(r.dispatchers)
	if dispatcher == 0 {
		rate *= r.firstDispatcherFactor
	}
	jobs := int(rate * fleetStep.Seconds())
	jobs += oneIf(r.random.Float64() < rate*fleetStep.Seconds()-float64(jobs))
	for range jobs {
		r.submitJob(r.schedulers[dispatcher])
	}
}

// submitJob submits a request, whose job runs at the warming worker if the request is sent there.
func (r *warmingFleetRun) submitJob(scheduler *Scheduler) {
	r.lastID++
	id, runtime := r.lastID, durationOf(r.work*r.random.ExpFloat64())
	if countActions[Send](scheduler.Handle(r.now, RequestArrived{ID: id, Slots: 1, Deadline: r.now + 2*time.Second})) == 0 {
		scheduler.Handle(r.now, ClientLeft{ID: id}) // it runs at another worker
		r.jobs = append(r.jobs, fleetJob{from: scheduler, runtime: runtime, endsAt: r.now + runtime})
		return
	}
	r.arrivedAt = append(r.arrivedAt, r.now+Instant(r.random.Int64N(int64(maxSendDelay)))) // after the connection is established
	started := r.runningJobs < r.slots
	if started { // otherwise the job waits at the worker
		r.runningJobs++
		scheduler.Handle(r.now, AttemptStarted{ID: id})
	}
	r.jobs = append(r.jobs, fleetJob{from: scheduler, id: id, runtime: runtime, endsAt: r.now + runtime, started: started})
}

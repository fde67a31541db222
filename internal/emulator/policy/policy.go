// Package policy has textbook load balancing policies to compare the scheduler with. They implement emulator.Policy.
//
// They send each request to one worker that is listed as ready. If the worker rejects it, they pick a worker again; if the attempt
// fails, they fail the request. None of them considers slow start, affinity keys or missing responses.
package policy

import (
	"math/rand/v2"
	"slices"
	"time"

	"brassdale/scheduler"
)

// Names returns the names of the policies.
func Names() []string {
	return []string{"random", "round-robin", "least-outstanding", "two-choices", "lu", "lud"}
}

// New returns the policy of the given name, or nil if there is none. It draws from a random source with the given seed.
func New(name string, settings scheduler.Settings, seed uint64) *Plain {
	pick, ok := map[string]func(*Plain) *worker{
		"random":            (*Plain).random,
		"round-robin":       (*Plain).roundRobin,
		"least-outstanding": func(p *Plain) *worker { return p.least(func(w *worker) float64 { return float64(w.inFlight) }) },
		"two-choices":       (*Plain).twoChoices,
		"lu":                func(p *Plain) *worker { return p.least(func(w *worker) float64 { return w.reportedLoad }) },
		"lud":               func(p *Plain) *worker { return p.least(func(w *worker) float64 { return w.estimatedLoad }) },
	}[name]
	if !ok {
		return nil
	}
	return &Plain{
		pick:        pick,
		rng:         rand.New(rand.NewPCG(seed, 0)),
		workers:     map[scheduler.WorkerID]*worker{},
		mayProbe:    settings.MayProbe,
		maxAttempts: settings.MaxAttempts,
	}
}

// Plain is a policy that picks a worker by one rule. It is not safe for use by several goroutines.
type Plain struct {
	pick        func(*Plain) *worker
	rng         *rand.Rand
	workers     map[scheduler.WorkerID]*worker
	ready       []*worker // by id
	nextIndex   int       // in ready, for round robin
	subscribed  bool
	mayProbe    bool
	maxAttempts int // for a request
}

// worker is a policy's view of a worker. Loads are shares of its slots that are busy.
type worker struct {
	id            scheduler.WorkerID
	slots         float64
	inFlight      int     // attempts
	reportedLoad  float64 // of the latest report
	estimatedLoad float64 // reportedLoad, and a slot for each attempt sent since
}

// probeInterval is the time between probes of a worker, where probes are permitted.
const probeInterval = time.Second

// Handle implements emulator.Policy.
func (p *Plain) Handle(_ scheduler.Instant, event scheduler.Event) []scheduler.Action {
	switch event := event.(type) {
	case scheduler.EndpointsUpdated:
		p.updateEndpoints(event)
		if !p.subscribed {
			p.subscribed = true
			return []scheduler.Action{scheduler.Subscribe{}, scheduler.SetTimer{After: probeInterval}}
		}
	case scheduler.TimerFired:
		return p.probe()
	case scheduler.ProbeCompleted:
		p.recordReport(p.workers[event.Worker], event.Report)
	case scheduler.RequestArrived:
		if len(p.ready) == 0 {
			return []scheduler.Action{scheduler.Reject{ID: event.ID}}
		}
		return p.send(event.ID)
	case scheduler.AttemptFinished:
		return p.finishAttempt(event)
	}
	return nil
}

// probe probes all ready workers and sets the timer for the next probes.
func (p *Plain) probe() (actions []scheduler.Action) {
	if !p.mayProbe {
		return nil
	}
	for _, worker := range p.ready {
		actions = append(actions, scheduler.Probe{Worker: worker.id})
	}
	return append(actions, scheduler.SetTimer{After: probeInterval})
}

// recordReport sets a worker's load from a report, if the report has a load.
func (p *Plain) recordReport(worker *worker, report *scheduler.Report) {
	if worker != nil && report != nil && report.Busy >= 0 {
		worker.reportedLoad, worker.estimatedLoad = report.Busy, report.Busy
	}
}

// finishAttempt ends a request that has no final answer. If a worker rejected the request and attempts are left, it sends the request
// again instead.
func (p *Plain) finishAttempt(event scheduler.AttemptFinished) []scheduler.Action {
	if worker := p.workers[event.Worker]; worker != nil {
		worker.inFlight--
		p.recordReport(worker, event.Report)
	}
	switch {
	case event.Final:
		return nil
	case event.Outcome == scheduler.Full && len(p.ready) > 0 && event.Attempt+1 < p.maxAttempts:
		return p.send(event.ID)
	case event.Outcome == scheduler.Full || event.Outcome == scheduler.NoConnect || event.Outcome == scheduler.NeverSent:
		return []scheduler.Action{scheduler.Reject{ID: event.ID}}
	default:
		return []scheduler.Action{scheduler.Fail{ID: event.ID}}
	}
}

// send sends a request to the worker that the policy picks.
func (p *Plain) send(id scheduler.RequestID) []scheduler.Action {
	worker := p.pick(p)
	worker.inFlight++
	worker.estimatedLoad += 1 / max(worker.slots, 1)
	return []scheduler.Action{scheduler.Send{ID: id, Worker: worker.id}}
}

// updateEndpoints takes a full endpoint list or a change of it.
func (p *Plain) updateEndpoints(update scheduler.EndpointsUpdated) {
	if update.ListKind == scheduler.ListFailed {
		return
	}
	if update.ListKind != scheduler.ListDelta {
		p.ready = nil
	}
	for _, endpoint := range update.Workers {
		known := p.workers[endpoint.ID]
		if known == nil {
			known = &worker{id: endpoint.ID, slots: endpoint.Weight}
			p.workers[endpoint.ID] = known
		}
		p.ready = slices.DeleteFunc(p.ready, func(other *worker) bool { return other == known })
		if endpoint.State == scheduler.Ready {
			p.ready = append(p.ready, known)
		}
	}
	slices.SortFunc(p.ready, func(a, b *worker) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
}

// random picks a worker at random.
func (p *Plain) random() *worker { return p.ready[p.rng.IntN(len(p.ready))] }

// roundRobin picks the workers in turn.
func (p *Plain) roundRobin() *worker {
	p.nextIndex++
	return p.ready[p.nextIndex%len(p.ready)]
}

// twoChoices picks the worker with fewer attempts in flight of two picked at random (M. Mitzenmacher, "The Power of Two Choices
// in Randomized Load Balancing", 1996).
func (p *Plain) twoChoices() *worker {
	first, second := p.random(), p.random()
	if second.inFlight < first.inFlight {
		return second
	}
	return first
}

// least picks the worker with the least value; ties go to the workers in turn.
func (p *Plain) least(value func(*worker) float64) *worker {
	p.nextIndex++
	best := p.ready[p.nextIndex%len(p.ready)]
	for i := range p.ready {
		if worker := p.ready[(p.nextIndex+i)%len(p.ready)]; value(worker) < value(best) {
			best = worker
		}
	}
	return best
}

// Package policy holds plain ways to pick a worker, to compare the module with. Each has the module's interface. Only the
// emulator links them.
//
// They send each request once, to a worker that is listed as ready, and fail what does not come back; none looks at cold
// workers, keys or silence. What they know is what a textbook lets them know.
package policy

import (
	"math/rand/v2"
	"slices"

	"brassdale/scheduler"
)

// Names are the policies that there are.
func Names() []string {
	return []string{"random", "round-robin", "least-outstanding", "two-choices", "lu", "lud"}
}

// New makes a policy by its name; nil where there is none of the name.
func New(name string, settings scheduler.Settings, seed uint64) *Plain {
	plain := &Plain{maxAttempts: settings.MaxAttempts, mayProbe: settings.MayProbe, rng: rand.New(rand.NewPCG(seed, 0)), workers: map[scheduler.WorkerID]*worker{}}
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
	plain.pick = pick
	return plain
}

// Plain is a policy.
type Plain struct {
	pick        func(*Plain) *worker
	rng         *rand.Rand
	workers     map[scheduler.WorkerID]*worker
	ready       []*worker // by id
	nextIndex   int
	subscribed  bool
	mayProbe    bool
	maxAttempts int // attempts for a request
}

type worker struct {
	id            scheduler.WorkerID
	slots         float64
	inFlight      int
	reportedLoad  float64 // LU: the load that it told of last
	estimatedLoad float64 // LUD: the load that it told of last, and what was pushed since
}

const probeInterval = 1e9 // of each worker, where reports come by probes

// Handle is the module's.
func (p *Plain) Handle(_ scheduler.Clock, event scheduler.Event) (actions []scheduler.Action) {
	switch event := event.(type) {
	case scheduler.EndpointsUpdated:
		p.updateEndpoints(event)
		if !p.subscribed {
			p.subscribed = true
			actions = append(actions, scheduler.Subscribe{}, scheduler.SetTimer{After: probeInterval})
		}
	case scheduler.TimerFired:
		if !p.mayProbe {
			return nil
		}
		for _, worker := range p.ready {
			actions = append(actions, scheduler.Probe{Worker: worker.id})
		}
		actions = append(actions, scheduler.SetTimer{After: probeInterval})
	case scheduler.ProbeCompleted:
		// Least Used with Degradation: a report sets the value, each push raises it by what one job takes.
		if w := p.workers[event.Worker]; w != nil && event.Report != nil && event.Report.Busy >= 0 {
			w.reportedLoad, w.estimatedLoad = event.Report.Busy, event.Report.Busy
		}
	case scheduler.RequestArrived:
		if len(p.ready) == 0 {
			return []scheduler.Action{scheduler.Reject{ID: event.ID}}
		}
		return p.send(event.ID)
	case scheduler.AttemptFinished:
		if w := p.workers[event.Worker]; w != nil {
			if w.inFlight--; event.Report != nil && event.Report.Busy >= 0 {
				w.reportedLoad, w.estimatedLoad = event.Report.Busy, event.Report.Busy
			}
		}
		switch {
		case event.Final:
		case event.Outcome == scheduler.Full && len(p.ready) > 0 && event.Attempt+1 < p.maxAttempts: // turned away: on to the next
			return p.send(event.ID)
		case event.Outcome == scheduler.Full || event.Outcome == scheduler.NoConnect || event.Outcome == scheduler.NeverSent:
			return []scheduler.Action{scheduler.Reject{ID: event.ID}}
		default:
			return []scheduler.Action{scheduler.Fail{ID: event.ID}}
		}
	}
	return actions
}

// send picks a worker and sends a request there.
func (p *Plain) send(id scheduler.RequestID) []scheduler.Action {
	worker := p.pick(p)
	worker.inFlight++
	worker.estimatedLoad += 1 / max(worker.slots, 1)
	return []scheduler.Action{scheduler.Send{ID: id, Worker: worker.id}}
}

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

func (p *Plain) random() *worker { return p.ready[p.rng.IntN(len(p.ready))] }

func (p *Plain) roundRobin() *worker {
	p.nextIndex++
	return p.ready[p.nextIndex%len(p.ready)]
}

// twoChoices is the better of twoChoices drawn at random (M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing",
// 1996).
func (p *Plain) twoChoices() *worker {
	first, second := p.random(), p.random()
	if second.inFlight < first.inFlight {
		return second
	}
	return first
}

// least gives the worker of the least value; ties go round robin.
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

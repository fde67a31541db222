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
func New(name string, s scheduler.Settings, seed uint64) *Plain {
	p := &Plain{maximum: s.MaxAttempts, probes: s.MayProbe, rng: rand.New(rand.NewPCG(seed, 0)), workers: map[scheduler.WorkerID]*worker{}}
	pick, ok := map[string]func(*Plain) *worker{
		"random":            (*Plain).random,
		"round-robin":       (*Plain).robin,
		"least-outstanding": func(p *Plain) *worker { return p.leastLoaded(func(w *worker) float64 { return float64(w.inFlight) }) },
		"two-choices":       (*Plain).two,
		"lu":                func(p *Plain) *worker { return p.leastLoaded(func(w *worker) float64 { return w.notified }) },
		"lud":               func(p *Plain) *worker { return p.leastLoaded(func(w *worker) float64 { return w.value }) },
	}[name]
	if !ok {
		return nil
	}
	p.pick = pick
	return p
}

// Plain is a policy.
type Plain struct {
	pick     func(*Plain) *worker
	rng      *rand.Rand
	workers  map[scheduler.WorkerID]*worker
	ready    []*worker // by id
	nextTurn int
	polledAt bool
	probes   bool
	maximum  int // attempts for a request
}

type worker struct {
	id       scheduler.WorkerID
	size     float64
	inFlight int
	notified float64 // LU: the load that it told of last
	value    float64 // LUD: the load that it told of last, and what was pushed since
}

const probeEvery = 1e9 // of each worker, where reports come by probes

// Handle is the module's.
func (p *Plain) Handle(_ scheduler.Clock, ev scheduler.Event) (acts []scheduler.Action) {
	switch e := ev.(type) {
	case scheduler.EndpointsUpdated:
		p.listed(e)
		if !p.polledAt {
			p.polledAt = true
			acts = append(acts, scheduler.Subscribe{}, scheduler.SetTimer{After: probeEvery})
		}
	case scheduler.TimerFired:
		if !p.probes {
			return nil
		}
		for _, w := range p.ready {
			acts = append(acts, scheduler.Probe{Worker: w.id})
		}
		acts = append(acts, scheduler.SetTimer{After: probeEvery})
	case scheduler.ProbeCompleted:
		// Least Used with Degradation: a report sets the value, each push raises it by what one job takes.
		if w := p.workers[e.Worker]; w != nil && e.Report != nil && e.Report.Busy >= 0 {
			w.notified, w.value = e.Report.Busy, e.Report.Busy
		}
	case scheduler.RequestArrived:
		if len(p.ready) == 0 {
			return []scheduler.Action{scheduler.Reject{ID: e.ID}}
		}
		return p.send(e.ID)
	case scheduler.AttemptFinished:
		if w := p.workers[e.Worker]; w != nil {
			if w.inFlight--; e.Report != nil && e.Report.Busy >= 0 {
				w.notified, w.value = e.Report.Busy, e.Report.Busy
			}
		}
		switch {
		case e.Final:
		case e.Outcome == scheduler.Full && len(p.ready) > 0 && e.Attempt+1 < p.maximum: // turned away: on to the next
			return p.send(e.ID)
		case e.Outcome == scheduler.Full || e.Outcome == scheduler.NoConnect || e.Outcome == scheduler.NeverSent:
			return []scheduler.Action{scheduler.Reject{ID: e.ID}}
		default:
			return []scheduler.Action{scheduler.Fail{ID: e.ID}}
		}
	}
	return acts
}

// send picks a worker and sends a request there.
func (p *Plain) send(id scheduler.RequestID) []scheduler.Action {
	w := p.pick(p)
	w.inFlight++
	w.value += 1 / max(w.size, 1)
	return []scheduler.Action{scheduler.Send{ID: id, Worker: w.id}}
}

func (p *Plain) listed(e scheduler.EndpointsUpdated) {
	if e.ListKind == scheduler.ListFailed {
		return
	}
	if e.ListKind != scheduler.ListDelta {
		p.ready = nil
	}
	for _, in := range e.Workers {
		w := p.workers[in.ID]
		if w == nil {
			w = &worker{id: in.ID, size: in.Weight}
			p.workers[in.ID] = w
		}
		p.ready = slices.DeleteFunc(p.ready, func(o *worker) bool { return o == w })
		if in.State == scheduler.Ready {
			p.ready = append(p.ready, w)
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

func (p *Plain) robin() *worker {
	p.nextTurn++
	return p.ready[p.nextTurn%len(p.ready)]
}

// two is the better of two drawn at random (M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing",
// 1996).
func (p *Plain) two() *worker {
	a, b := p.random(), p.random()
	if b.inFlight < a.inFlight {
		return b
	}
	return a
}

// leastLoaded gives the worker of the leastLoaded value; ties go round robin.
func (p *Plain) leastLoaded(value func(*worker) float64) *worker {
	p.nextTurn++
	best := p.ready[p.nextTurn%len(p.ready)]
	for i := range p.ready {
		if w := p.ready[(p.nextTurn+i)%len(p.ready)]; value(w) < value(best) {
			best = w
		}
	}
	return best
}

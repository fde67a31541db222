package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

// Result is what became of a run.
type Result struct {
	Plan     Plan
	Record   *Record
	Breaches []Breach
	Logs     string // the folder of the dispatchers' logs
}

// ByRule counts the breaches.
func (r *Result) ByRule() map[string]int {
	counts := map[string]int{}
	for _, b := range r.Breaches {
		counts[b.Rule]++
	}
	return counts
}

// run is a run while it plays.
type run struct {
	plan    Plan
	record  *Record
	find    *discovery
	fleet   []*dispatcher
	clients []*clients

	mu      sync.Mutex
	workers map[int]*worker
	errs    []error
}

// Play plays a plan in a folder, in real time.
func Play(ctx context.Context, p Plan, programs Programs, dir string) (*Result, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	record := &Record{}
	r := &run{plan: p, record: record, find: newDiscovery(record, p), workers: map[int]*worker{}}
	defer r.find.close()
	for i := range p.Workers {
		if err := r.join(i, false); err != nil {
			return nil, err
		}
	}
	defer r.stopWorkers()
	var starting sync.WaitGroup
	for i := range p.Dispatchers {
		d, err := newDispatcher(i, p, programs, dir, record, r.find)
		if err != nil {
			return nil, err
		}
		defer d.logs.Close()
		r.fleet = append(r.fleet, d)
		r.clients = append(r.clients, &clients{d: d, record: record, plan: p, rng: rand.New(rand.NewPCG(p.Seed, uint64(i)))})
		starting.Go(func() { r.failed(d.start()) })
	}
	starting.Wait()
	record.add(func() { record.Begun = time.Now() })
	end := record.Begun.Add(p.Span)
	var sending, happening sync.WaitGroup
	for _, c := range r.clients {
		sending.Go(func() { c.run(end) })
	}
	for _, e := range p.Events {
		happening.Go(func() {
			select {
			case <-time.After(time.Until(record.Begun.Add(e.At))):
				r.note(e)
				r.failed(r.happen(e, time.Now().Add(e.For)))
			case <-ctx.Done():
			}
		})
	}
	happening.Wait()
	sending.Wait()
	for _, d := range r.fleet {
		d.end()
	}
	if err := errors.Join(append(r.errs, ctx.Err())...); err != nil {
		return nil, err
	}
	return &Result{Plan: p, Record: record, Breaches: Audit(p, record), Logs: dir}, nil
}

func (r *run) failed(err error) {
	if err == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errs = append(r.errs, err)
}

func (r *run) note(e Event) {
	r.record.add(func() {
		r.record.Events = append(r.record.Events, fmt.Sprintf("%.3f %s", time.Since(r.record.Begun).Seconds(), e))
	})
}

// join starts a worker and lists it.
func (r *run) join(number int, cold bool) error {
	w, err := newWorker(number, r.plan.Dispatchers, r.record)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.workers[number] = w
	r.mu.Unlock()
	r.find.set(w, active, cold)
	return nil
}

func (r *run) stopWorkers() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range r.workers {
		w.stop()
	}
}

func (r *run) worker(number int) *worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.workers[number]
}

const (
	crowdSize   = 800
	restartTime = 300 * time.Millisecond
	mostDrained = 2 // part of the workers, one in so many, that may drain at a time
)

// happen plays an event to its end.
func (r *run) happen(e Event, until time.Time) error {
	switch e.Kind {
	case Drain:
		r.drain(e.Target)
	case Join:
		return r.join(e.Target, true)
	case Restart:
		w := r.worker(e.Target)
		w.stop()
		time.Sleep(restartTime)
		if err := w.start(); err != nil {
			return err
		}
		r.find.set(w, active, true)
	case WorkerHangs, WorkerResets, WorkerLate:
		r.worker(e.Target).trouble(e.Kind, until)
	case FaultyCalls:
		r.find.failCalls(r.plan.Dispatchers, e.Calls)
	case SilentWatches:
		r.find.silence()
	case DiscoveryDown:
		return r.outage(until)
	case Move, Reload:
		return r.fleet[e.Target].reload(e.Kind == Move)
	case Holdups:
		r.fleet[e.Target].holdUp(until)
	case Term:
		return r.fleet[e.Target].restart()
	case Kill:
		return r.fleet[e.Target].kill(time.Until(until) / 4)
	case Crowd:
		r.clients[e.Target].crowd(crowdSize, until)
	case ClientsLeave:
		r.clients[e.Target].leaveUntil(until)
	case ClockStep:
		r.find.stepClock(e.Step)
	case Lag:
		r.find.view(e.Target).trouble(e.Step, 0, e.Flaps, until)
	case SlowAnswers:
		r.find.view(e.Target).trouble(0, e.Step, false, until)
	case LaggingMove:
		r.drain(e.Worker)
		time.Sleep(e.For / 4)
		return r.fleet[e.Target].moveTo(e.Step, time.Now().Add(e.For))
	case Moves:
		return r.moves(e)
	}
	return nil
}

// drain has a worker drain, unless half of them do.
func (r *run) drain(number int) {
	r.find.mu.Lock()
	up := 0
	for _, m := range r.find.members {
		if m.phase == active {
			up++
		}
	}
	r.find.mu.Unlock()
	if up > max(r.plan.Workers/mostDrained, 1) {
		r.find.set(r.worker(number), leaving, false)
	}
}

// mostMoves is how many new configurations come in a row.
const mostMoves = 4

// moves brings several new configurations, each of which moves discovery, and has a worker drain in the middle.
func (r *run) moves(e Event) error {
	for i := range mostMoves {
		if i == mostMoves/2 {
			r.drain(e.Worker)
		}
		if err := r.fleet[e.Target].reload(true); err != nil {
			return err
		}
		time.Sleep(e.For / mostMoves)
	}
	return nil
}

// outage has discovery refuse all calls for a while.
func (r *run) outage(until time.Time) error {
	from := time.Now()
	r.find.setDown(true)
	time.Sleep(time.Until(until))
	r.find.setDown(false)
	r.record.add(func() { r.record.Outages = append(r.record.Outages, Outage{from, time.Now()}) })
	return nil
}

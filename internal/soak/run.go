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
	LogDir   string // the folder of the dispatchers' logs
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
	plan        Plan
	record      *Record
	discovery   *discovery
	dispatchers []*dispatcherProcess
	clients     []*clientGroup

	mu      sync.Mutex
	workers map[int]*worker
	errors  []error
}

// Play plays a plan in a folder, in real time.
func Play(ctx context.Context, p Plan, programs Programs, dir string) (*Result, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	record := &Record{}
	r := &run{plan: p, record: record, discovery: newDiscovery(record, p), workers: map[int]*worker{}}
	defer r.discovery.close()
	for i := range p.Workers {
		if err := r.startWorker(i, false); err != nil {
			return nil, err
		}
	}
	defer r.stopWorkers()
	var starting sync.WaitGroup
	for i := range p.Dispatchers {
		d, err := newDispatcherProcess(i, p, programs, dir, record, r.discovery)
		if err != nil {
			return nil, err
		}
		defer d.logs.Close()
		r.dispatchers = append(r.dispatchers, d)
		r.clients = append(r.clients, &clientGroup{dispatcher: d, record: record, plan: p, rng: rand.New(rand.NewPCG(p.Seed, uint64(i)))})
		starting.Go(func() { r.addError(d.start()) })
	}
	starting.Wait()
	record.locked(func() { record.StartedAt = time.Now() })
	end := record.StartedAt.Add(p.Span)
	var sending, happening sync.WaitGroup
	for _, c := range r.clients {
		sending.Go(func() { c.run(end) })
	}
	for _, e := range p.Events {
		happening.Go(func() {
			select {
			case <-time.After(time.Until(record.StartedAt.Add(e.At))):
				r.recordEvent(e)
				r.addError(r.playEvent(e, time.Now().Add(e.Duration)))
			case <-ctx.Done():
			}
		})
	}
	happening.Wait()
	sending.Wait()
	for _, d := range r.dispatchers {
		d.kill()
	}
	if err := errors.Join(append(r.errors, ctx.Err())...); err != nil {
		return nil, err
	}
	return &Result{Plan: p, Record: record, Breaches: Audit(p, record), LogDir: dir}, nil
}

func (r *run) addError(err error) {
	if err == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errors = append(r.errors, err)
}

func (r *run) recordEvent(e Event) {
	r.record.locked(func() {
		r.record.Events = append(r.record.Events, fmt.Sprintf("%.3f %s", time.Since(r.record.StartedAt).Seconds(), e))
	})
}

// startWorker starts a worker and lists it.
func (r *run) startWorker(number int, cold bool) error {
	w, err := newWorker(number, r.plan.Dispatchers, r.record)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.workers[number] = w
	r.mu.Unlock()
	r.discovery.setPhase(w, phaseActive, cold)
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
	idleClientCount   = 800
	workerRestartTime = 300 * time.Millisecond
	minReadyShare     = 2 // part of the workers, one in so many, that may drain at a time
)

// playEvent plays an event to its end.
func (r *run) playEvent(e Event, until time.Time) error {
	switch e.Kind {
	case Drain:
		r.drainWorker(e.Target)
	case Join:
		return r.startWorker(e.Target, true)
	case Restart:
		w := r.worker(e.Target)
		w.stop()
		time.Sleep(workerRestartTime)
		if err := w.start(); err != nil {
			return err
		}
		r.discovery.setPhase(w, phaseActive, true)
	case WorkerHangs, WorkerResets, WorkerReadsLate:
		r.worker(e.Target).injectFault(e.Kind, until)
	case FaultyCalls:
		r.discovery.failCalls(r.plan.Dispatchers, e.Calls)
	case SilentWatches:
		r.discovery.silenceWatches()
	case DiscoveryDown:
		return r.stopDiscovery(until)
	case DiscoveryMove, Reload:
		return r.dispatchers[e.Target].reload(e.Kind == DiscoveryMove)
	case ProcessPauses:
		r.dispatchers[e.Target].pauseRepeatedly(until)
	case Terminate:
		return r.dispatchers[e.Target].terminateAndRestart()
	case Kill:
		return r.dispatchers[e.Target].killAndRestart(time.Until(until) / 4)
	case IdleClients:
		r.clients[e.Target].openIdleConnections(idleClientCount, until)
	case ClientsLeave:
		r.clients[e.Target].setLeaveEarly(until)
	case ClockStep:
		r.discovery.stepClock(e.Step)
	case ReplicaLag:
		r.discovery.replicaView(e.Target).injectFault(e.Step, 0, e.Flaps, until)
	case DelayedAnswers:
		r.discovery.replicaView(e.Target).injectFault(0, e.Step, false, until)
	case MoveToLaggingReplica:
		r.drainWorker(e.Worker)
		time.Sleep(e.Duration / 4)
		return r.dispatchers[e.Target].moveTo(e.Step, time.Now().Add(e.Duration))
	case DiscoveryMoves:
		return r.moveDiscoveryRepeatedly(e)
	}
	return nil
}

// drainWorker has a worker drainWorker, unless half of them do.
func (r *run) drainWorker(number int) {
	r.discovery.mu.Lock()
	up := 0
	for _, m := range r.discovery.members {
		if m.phase == phaseActive {
			up++
		}
	}
	r.discovery.mu.Unlock()
	if up > max(r.plan.Workers/minReadyShare, 1) {
		r.discovery.setPhase(r.worker(number), phaseLeaving, false)
	}
}

// movesInARow is how many new configurations come in a row.
const movesInARow = 4

// moveDiscoveryRepeatedly brings several new configurations, each of which moveDiscoveryRepeatedly discovery, and has a worker drain in the middle.
func (r *run) moveDiscoveryRepeatedly(e Event) error {
	for i := range movesInARow {
		if i == movesInARow/2 {
			r.drainWorker(e.Worker)
		}
		if err := r.dispatchers[e.Target].reload(true); err != nil {
			return err
		}
		time.Sleep(e.Duration / movesInARow)
	}
	return nil
}

// stopDiscovery has discovery refuse all calls for a while.
func (r *run) stopDiscovery(until time.Time) error {
	from := time.Now()
	r.discovery.setDown(true)
	time.Sleep(time.Until(until))
	r.discovery.setDown(false)
	r.record.locked(func() { r.record.Outages = append(r.record.Outages, DiscoveryOutage{from, time.Now()}) })
	return nil
}

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

// Result is the outcome of a run.
type Result struct {
	Plan     Plan
	Record   *Record
	Breaches []Breach
	LogDir   string // where the dispatchers' logs are
}

// ByRule returns the number of breaches of each rule.
func (r *Result) ByRule() map[string]int {
	counts := map[string]int{}
	for _, breach := range r.Breaches {
		counts[breach.Rule]++
	}
	return counts
}

// run is a run in progress.
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

// Run runs a plan in real time and returns its audited record. It writes logs and configuration to dir, and ends all processes that it
// started. It returns an error if the run did not complete. A broken rule is not an error.
func Run(ctx context.Context, plan Plan, programs Programs, dir string) (*Result, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	record := &Record{}
	current := &run{plan: plan, record: record, discovery: newDiscovery(record, plan), workers: map[int]*worker{}}
	defer current.discovery.close()
	for i := range plan.Workers {
		if err := current.startWorker(i, false); err != nil {
			return nil, err
		}
	}
	defer current.stopWorkers()
	defer current.closeLogs()
	defer current.killAll()
	var starting sync.WaitGroup
	for i := range plan.Dispatchers {
		process, err := newDispatcherProcess(i, plan, programs, dir, record, current.discovery)
		if err != nil {
			return nil, err
		}
		current.dispatchers = append(current.dispatchers, process)
		current.clients = append(current.clients, &clientGroup{dispatcher: process, record: record, plan: plan, rng: rand.New(rand.NewPCG(plan.Seed, uint64(i)))})
		starting.Go(func() { current.addError(process.start()) })
	}
	starting.Wait()
	if err := errors.Join(current.errors...); err != nil {
		return nil, err
	}
	record.locked(func() { record.StartedAt = time.Now() })
	current.runEvents(ctx)
	if err := errors.Join(append(current.errors, ctx.Err())...); err != nil {
		return nil, err
	}
	return &Result{Plan: plan, Record: record, Breaches: Audit(plan, record), LogDir: dir}, nil
}

// runEvents runs the clients and the events to the end of the plan, and then kills the dispatchers. If the context ends, events that have
// not begun are dropped and the clients send no more requests. Events and requests in progress are completed.
func (r *run) runEvents(ctx context.Context) {
	end := r.record.StartedAt.Add(r.plan.Span)
	var clients, events sync.WaitGroup
	for _, group := range r.clients {
		clients.Go(func() { group.run(ctx, end) })
		if r.plan.HTTP2 {
			clients.Go(func() { group.useHTTP2(ctx, end) })
		}
	}
	for _, event := range r.plan.Events {
		events.Go(func() {
			select {
			case <-time.After(time.Until(r.record.StartedAt.Add(event.At))):
				r.recordEvent(event)
				r.addError(r.runEvent(ctx, event, time.Now().Add(event.Duration)))
			case <-ctx.Done():
			}
		})
	}
	events.Wait()
	clients.Wait()
	r.killAll()
}

// killAll kills the dispatchers that were started.
func (r *run) killAll() {
	for _, process := range r.dispatchers {
		if run, _ := process.current(); run != nil {
			process.kill()
		}
	}
}

// closeLogs closes the dispatchers' logs, and releases their ports.
func (r *run) closeLogs() {
	for _, process := range r.dispatchers {
		_ = process.logs.Close() // a lost line would be missing only in timelines
		process.port.release()
		if process.http2Port != nil {
			process.http2Port.release()
		}
	}
}

// addError adds an error of the run itself, unless it is nil.
func (r *run) addError(err error) {
	if err == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errors = append(r.errors, err)
}

// recordEvent records that an event begins now.
func (r *run) recordEvent(event Event) {
	r.record.locked(func() {
		r.record.Events = append(r.record.Events, fmt.Sprintf("%.3f %s", time.Since(r.record.StartedAt).Seconds(), event))
	})
}

// startWorker starts a worker and lists it as active. If justStarted is set, its start is set to now, so that it warms up.
func (r *run) startWorker(number int, justStarted bool) error {
	started, err := newWorker(number, r.plan, r.record)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.workers[number] = started
	r.mu.Unlock()
	r.discovery.setPhase(started, phaseActive, justStarted)
	return nil
}

// stopWorkers stops all workers, and releases their ports.
func (r *run) stopWorkers() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, started := range r.workers {
		started.stop()
		for _, port := range started.ports {
			port.release()
		}
	}
}

// worker returns a worker by its number.
func (r *run) worker(number int) *worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.workers[number]
}

const (
	idleConnectionCount = 800 // connections of IdleClients
	workerRestartTime   = 300 * time.Millisecond
	minReadyDivisor     = 2 // at least the plan's workers divided by this must stay ready
)

// runEvent runs an event until it is over.
func (r *run) runEvent(ctx context.Context, event Event, until time.Time) error {
	switch event.Kind {
	case Drain, Join, Restart, WorkerHangs, WorkerResets, WorkerReadsLate:
		return r.runWorkerEvent(event, until)
	case FaultyCalls, SilentWatches, DiscoveryDown, ClockStep, ReplicaLag, DelayedAnswers:
		r.runDiscoveryEvent(event, until)
	case IdleClients:
		r.clients[event.Target].openIdleConnections(idleConnectionCount, until)
	case HTTP2Crowd:
		r.clients[event.Target].sendHTTP2Crowds(ctx, until)
	case SlowCrowd:
		r.clients[event.Target].joinSlowCrowd(ctx, until)
	case Flood:
		r.clients[event.Target].flood(ctx, until)
	case KeysReturn:
		r.clients[event.Target].returnKeys(ctx, until, event.At)
	case SilentPredecessor:
		return r.dispatchers[event.Target].handOverSilently()
	case ClientsLeave:
		r.clients[event.Target].setLeaveEarly(until)
	case IdleClientsAtDrain, IdleClientsAtOutage, MoveAfterReturn, MoveAfterRestart, MoveAfterSecondEnd:
		return r.runHistoryEvent(event, until)
	case UseUntilKill, ReloadsThenTerm, TermTwice, BadReload, TermAtStart, TermAtHandover:
		return r.runSignalEvent(event)
	default:
		return r.runDispatcherEvent(event, until)
	}
	return nil
}

// runWorkerEvent runs an event of a worker.
func (r *run) runWorkerEvent(event Event, until time.Time) error {
	switch event.Kind {
	case Drain:
		r.drainWorker(event.Target)
	case Join:
		return r.startWorker(event.Target, true)
	case Restart:
		return r.restartWorker(event.Target)
	case WorkerHangs, WorkerResets, WorkerReadsLate:
		r.worker(event.Target).injectFault(event.Kind, until)
	}
	return nil
}

// restartWorker ends a worker and starts it again. It does nothing while another restart of the worker is in progress.
func (r *run) restartWorker(number int) error {
	restarted := r.worker(number)
	if !restarted.restarting.TryLock() {
		return nil
	}
	defer restarted.restarting.Unlock()
	restarted.stop()
	time.Sleep(workerRestartTime)
	if err := restarted.start(); err != nil {
		return err
	}
	r.discovery.setPhase(restarted, phaseActive, true)
	return nil
}

// runDiscoveryEvent runs an event of discovery.
func (r *run) runDiscoveryEvent(event Event, until time.Time) {
	switch event.Kind {
	case FaultyCalls:
		r.discovery.failCalls(r.plan.Dispatchers, event.Calls)
	case SilentWatches:
		r.discovery.silenceWatches()
	case DiscoveryDown:
		r.runDiscoveryOutage(until)
	case ClockStep:
		r.discovery.stepClock(event.Step)
	case ReplicaLag:
		r.discovery.replicaView(event.Target).injectFault(event.Step, 0, event.Flaps, until)
	case DelayedAnswers:
		r.discovery.replicaView(event.Target).injectFault(0, event.Step, false, until)
	}
}

// runDispatcherEvent runs an event of a dispatcher's process or configuration.
func (r *run) runDispatcherEvent(event Event, until time.Time) error {
	process := r.dispatchers[event.Target]
	switch event.Kind {
	case DiscoveryMove:
		return process.moveDiscovery()
	case Reload:
		return process.reload()
	case ProcessPauses:
		process.pauseRepeatedly(until)
	case Terminate:
		return process.terminateAndRestart()
	case Kill:
		return process.killAndRestart(time.Until(until) / 4)
	case MoveToLaggingReplica:
		r.drainWorker(event.Worker)
		time.Sleep(event.Duration / 4)
		return process.moveToReplica(event.Step, time.Now().Add(event.Duration))
	case DiscoveryMoveSeries:
		return r.moveDiscoveryRepeatedly(event)
	}
	return nil
}

// drainWorker makes a worker drain, unless too few would stay ready, and reports whether it did.
func (r *run) drainWorker(number int) bool {
	r.discovery.mu.Lock()
	ready := 0
	for _, member := range r.discovery.members {
		if member.phase == phaseActive {
			ready++
		}
	}
	r.discovery.mu.Unlock()
	if ready <= max(r.plan.Workers/minReadyDivisor, 1) {
		return false
	}
	r.discovery.setPhase(r.worker(number), phaseLeaving, false)
	return true
}

// movesInSeries is the number of configurations that a DiscoveryMoveSeries reloads.
const movesInSeries = 4

// moveDiscoveryRepeatedly reloads several configurations, each with another address of discovery. A worker starts draining halfway.
func (r *run) moveDiscoveryRepeatedly(event Event) error {
	for i := range movesInSeries {
		if i == movesInSeries/2 {
			r.drainWorker(event.Worker)
		}
		if err := r.dispatchers[event.Target].moveDiscovery(); err != nil {
			return err
		}
		time.Sleep(event.Duration / movesInSeries)
	}
	return nil
}

// runDiscoveryOutage makes discovery reject all calls until a time, and records the outage.
func (r *run) runDiscoveryOutage(until time.Time) {
	from := time.Now()
	r.discovery.setDown(true)
	time.Sleep(time.Until(until))
	r.discovery.setDown(false)
	r.record.locked(func() { r.record.Outages = append(r.record.Outages, DiscoveryOutage{from, time.Now()}) })
}

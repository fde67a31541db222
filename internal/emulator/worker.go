package emulator

import (
	"math/rand/v2"
	"slices"
	"time"

	"brassdale/scheduler"
)

// worker is a model of a worker: slots that run jobs in the order of their arrival, each at the worker's speed. Not modelled:
// backfilling, the cost of a new connection to the worker, and the deduplication of repeats within a cell (a repeat takes a
// slot and is answered like the first). Whether a repeat was permitted is checked by the auditor.
type worker struct {
	sim         *simulation
	id          scheduler.WorkerID
	kind        int // index in Scenario.Kinds
	cell        int
	zone        int
	memoryInUse float64 // in units; a worker has one unit per slot
	connections int     // open connections to the worker
	slots       int
	speed       float64
	startedAt   time.Duration // 0 for long ago: not warming up
	state       scheduler.WorkerState
	down        bool // overloaded, restarting or gone: connections are refused
	incarnation int  // attempts of an earlier incarnation never finish

	frozen, silent, slow, delayedReports, partitioned int           // number of faults of the kind in force
	unreachedAttempts                                 []*attemptRun // sent or finished during a partition; reset when it ends

	busySlots        int
	queue            []*attemptRun
	running          []*attemptRun
	deferredFinishes []func()              // of attempts that finish while the worker is frozen
	subjectUsedAt    map[int]time.Duration // last use of the subjects that are cached
	reports          [8]scheduler.Report   // the newest last
	reportedAt       [8]time.Duration
	recentArrivals   []recentArrival // within the overload window, while warming up
	random           *rand.Rand

	// Used only if the worker's jobs share its speed.
	sharing         bool
	progressAt      time.Duration // workLeft of the running attempts is as of this time
	completionTimer int           // number of the newest timer; older timers have no effect
}

// recentArrival is work that a warming worker received.
type recentArrival struct {
	at         time.Duration
	work       float64 // seconds at speed 1
	startKnown bool    // its dispatcher had been notified of the worker's start
}

// attemptSource is the sender of an attempt: a dispatcher of the model, or a real one that is connected by a socket.
type attemptSource interface {
	attemptStarted(*attemptRun)                  // is called when the attempt's job has started
	attemptOver(*attemptRun, scheduler.Outcome)  // is called when the attempt has ended
	knownStart(scheduler.WorkerID) time.Duration // returns the latest start of a worker of which the sender was notified
	delayRandom() *rand.Rand                     // returns the random source for network delays
}

// attemptRun is an attempt at a worker.
type attemptRun struct {
	job         *job
	id          scheduler.RequestID
	index       int // among the request's attempts
	worker      scheduler.WorkerID
	source      attemptSource
	incarnation int     // of the worker
	work        float64 // seconds at speed 1
	workLeft    float64 // remaining work, at a worker whose jobs share its speed
	over        bool    // ended or cancelled
	zone        int     // of the dispatcher
	report      *scheduler.Report

	startNotifiedAt   time.Duration // when the dispatcher was notified that the job started; 0 if it was not
	sentAt            time.Duration
	countedUnanswered bool // the dispatcher's zone recorder has counted it as unanswered
	hasConnection     bool
}

// warmupFactor returns the share of its full speed that the worker has now: below 1 during slow start.
func (w *worker) warmupFactor() float64 {
	slowStart := &w.sim.scenario.SlowStart
	if w.startedAt == 0 || slowStart.Duration <= 0 {
		return 1
	}
	age := float64(w.sim.now-w.startedAt) / float64(slowStart.Duration)
	return min(slowStart.Capacity+(1-slowStart.Capacity)*age, 1)
}

// receive takes an attempt that has arrived; a rejection is reported at once.
func (w *worker) receive(attempt *attemptRun) {
	if w.partitioned > 0 {
		w.unreachedAttempts = append(w.unreachedAttempts, attempt)
		return
	}
	w.chargeSlowStart(attempt)
	if w.down {
		w.sim.reportOutcome(attempt, scheduler.NoConnect)
		return
	}
	attempt.incarnation = w.incarnation
	if w.sharing {
		w.receiveShared(attempt)
		return
	}
	if w.rejects(attempt.job) {
		attempt.over = true
		w.sim.reportOutcome(attempt, scheduler.Full)
		return
	}
	w.queue = append(w.queue, attempt)
	w.startQueued()
}

// canStart reports whether the worker has the slots and the memory to start the job now.
func (w *worker) canStart(job *job) bool {
	return w.busySlots+job.slots <= w.slots && w.memoryInUse+job.memory <= float64(w.slots)
}

// rejects reports whether the worker rejects the job: it could never run it, or its queue is full.
func (w *worker) rejects(job *job) bool {
	maxQueued := w.sim.scenario.Queue * float64(w.slots)
	return job.slots > w.slots || job.memory > float64(w.slots) || maxQueued > 0 && float64(len(w.queue)) >= maxQueued && !w.canStart(job)
}

// chargeSlowStart counts an attempt against a warming worker's overload limit. The worker goes down if the work it received
// within the overload window exceeds OverloadMultiple times what it can do in the window. The auditor is notified only
// if at least two thirds of the work came from dispatchers that knew of the start.
func (w *worker) chargeSlowStart(attempt *attemptRun) {
	slowStart := &w.sim.scenario.SlowStart
	if w.startedAt == 0 || slowStart.OverloadMultiple <= 0 || w.warmupFactor() >= 1 {
		return
	}
	w.recentArrivals = append(w.recentArrivals, recentArrival{w.sim.now, attempt.work, attempt.source.knownStart(w.id) >= w.startedAt})
	for len(w.recentArrivals) > 0 && w.recentArrivals[0].at < w.sim.now-slowStart.OverloadWindow {
		w.recentArrivals = w.recentArrivals[1:]
	}
	sum, startKnown := 0.0, 0.0
	for _, arrival := range w.recentArrivals {
		if sum += arrival.work; arrival.startKnown {
			startKnown += arrival.work
		}
	}
	load := sum / (float64(w.slots) * w.speed * w.warmupFactor() * slowStart.OverloadWindow.Seconds())
	if !w.down && startKnown >= sum*2/3 { // otherwise the senders could not know that it is warming up
		w.sim.audit.slowStartLoad(w.sim.now, w.id, uint64(attempt.id), load, slowStart.OverloadMultiple)
	}
	if load > slowStart.OverloadMultiple && !w.down {
		w.sim.addNote("%v worker %s goes down: received %.2f times the work that it can do", w.sim.now, w.id, load)
		w.dropAll()
		w.down = true
	}
}

// startQueued starts queued attempts in order while the worker has capacity. Cancelled attempts are dropped
// unless KeepsCancelled is set.
func (w *worker) startQueued() {
	keepsCancelled := w.sim.scenario.KeepsCancelled
	for len(w.queue) > 0 && w.silent == 0 && w.frozen == 0 && !w.down {
		attempt := w.queue[0]
		dropped := attempt.over && !keepsCancelled
		if !dropped && !w.canStart(attempt.job) {
			return
		}
		w.queue = w.queue[1:]
		if dropped {
			continue
		}
		w.busySlots += attempt.job.slots
		w.memoryInUse += attempt.job.memory
		w.running = append(w.running, attempt)
		w.sim.reportStarted(attempt)
		w.fetch(attempt.job.subject, func() { w.execute(attempt) })
	}
}

// fetch calls done once the job's subject is cached. It fetches a subject that is not cached from the store.
func (w *worker) fetch(subject int, done func()) {
	store := &w.sim.scenario.Store
	if subject == 0 || store.Fetch <= 0 {
		done()
		return
	}
	if usedAt, ok := w.subjectUsedAt[subject]; ok && w.sim.now-usedAt < store.CacheFor {
		w.subjectUsedAt[subject] = w.sim.now
		done()
		return
	}
	w.sim.fetches.enqueue(time.Duration(w.random.ExpFloat64()*store.Fetch*float64(time.Second)), func() {
		w.subjectUsedAt[subject] = w.sim.now
		done()
	})
}

// execute finishes the attempt after the time that its work takes at the current speed.
func (w *worker) execute(attempt *attemptRun) {
	w.sim.after(time.Duration(attempt.work/w.currentSpeed()*float64(time.Second)), func() { w.finish(attempt) })
}

// finish ends a running attempt and frees its slots; while the worker is frozen this is deferred.
func (w *worker) finish(attempt *attemptRun) {
	if attempt.incarnation != w.incarnation {
		return
	}
	if w.frozen > 0 {
		w.deferredFinishes = append(w.deferredFinishes, func() { w.finish(attempt) })
		return
	}
	w.busySlots -= attempt.job.slots
	w.memoryInUse = max(w.memoryInUse-attempt.job.memory, 0)
	if i := slices.Index(w.running, attempt); i >= 0 {
		w.running = append(w.running[:i], w.running[i+1:]...)
	}
	w.sim.workDone += attempt.work * float64(attempt.job.slots)
	if !attempt.over {
		attempt.over = true
		w.sim.reportOutcome(attempt, scheduler.Served)
	} else {
		w.sim.workWasted += attempt.work * float64(attempt.job.slots)
	}
	w.startQueued()
}

// cancel cancels an attempt. A queued attempt is dropped unless KeepsCancelled is set. A running attempt continues, and its result is
// dropped.
func (w *worker) cancel(attempt *attemptRun) { attempt.over = true }

// dropAll resets all attempts and clears the cache: a new incarnation begins.
func (w *worker) dropAll() {
	w.incarnation++
	for _, attempt := range append(w.running, w.queue...) {
		if !attempt.over {
			attempt.over = true
			w.sim.reportOutcome(attempt, scheduler.Reset)
		}
	}
	w.memoryInUse = 0
	w.running, w.queue, w.deferredFinishes, w.busySlots, w.subjectUsedAt = nil, nil, nil, 0, map[int]time.Duration{}
}

// currentSpeed returns the current speed of a slot, or of the whole worker if its jobs share its speed.
func (w *worker) currentSpeed() float64 {
	speed := w.speed * w.warmupFactor()
	if w.slow > 0 {
		speed /= slowFaultDivisor
	}
	return speed
}

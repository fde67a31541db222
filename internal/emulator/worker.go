package emulator

import (
	"math/rand/v2"
	"time"

	"brassdale/scheduler"
)

// worker is a costing worker: slots that work jobs off in the order they came, each at the worker's speed. What it leaves out: the
// backfilling, and that a new connection costs it work. That a bay saves a repeat's quote only once is not seen
// here: a copy takes its slot and answers as the first does. Whether a copy was allowed is the auditor's matter.
type worker struct {
	sim         *simulation
	id          scheduler.WorkerID
	kind        int
	cell        int
	zone        int
	memoryInUse float64 // in use
	connections int     // connections to it
	slots       int
	speed       float64
	startedAt   time.Duration // 0 for long ago
	state       scheduler.WorkerState
	down        bool // it has fallen over, is starting or is gone
	incarnation int  // a restart begins another: what was under way in the one before never ends

	frozen, silent, slow, delayedReports, partitioned int           // how many faults of the kind it has now
	unreachedAttempts                                 []*attemptRun // attempts that did not reach it, while it was cut off

	busySlots        int
	queue            []*attemptRun
	deferredFinishes []func()              // what would have been said while it is frozen
	subjectUsedAt    map[int]time.Duration // what it keeps of a subject, and when that was used last
	running          []*attemptRun         // started
	reports          [8]scheduler.Report   // reports as they were, the newest last
	reportedAt       [8]time.Duration      // and since when
	recentArrivals   []recentArrival       // work sent to it lately, while cold
	random           *rand.Rand

	sharing         bool          // works on all its jobs at once
	progressAt      time.Duration // as of when their work is known
	completionTimer int           // of the plan for the next end
}

type recentArrival struct {
	at         time.Duration
	work       float64
	startKnown bool // by a dispatcher that had been told of the box's start
}

// attemptSource is where attempts come from: a dispatcher of the model, or a real one behind a socket.
type attemptSource interface {
	attemptStarted(*attemptRun)                  // its job has
	attemptOver(*attemptRun, scheduler.Outcome)  // it has ended
	knownStart(scheduler.WorkerID) time.Duration // of which start of the box it was told
	delayRandom() *rand.Rand                     // the chance in how long its way takes
}

// attemptRun is an attempt at a box.
type attemptRun struct {
	job         *job
	id          scheduler.RequestID
	index       int
	worker      scheduler.WorkerID
	source      attemptSource
	incarnation int
	work        float64 // seconds at speed 1
	workLeft    float64 // of it, at a box that shares
	running     bool
	over        bool // ended, or called off
	zone        int  // of the dispatcher
	report      *scheduler.Report

	startHeardAt      time.Duration // when its dispatcher heard so
	sentAt            time.Duration
	countedUnanswered bool // counted as one that nobody has answered
	hasConnection     bool // it has a connection
}

// warmupFactor is the share of its speed that the box has now.
func (w *worker) warmupFactor() float64 {
	slowStart := &w.sim.scenario.SlowStart
	if w.startedAt == 0 || slowStart.For <= 0 {
		return 1
	}
	age := float64(w.sim.now-w.startedAt) / float64(slowStart.For)
	return min(slowStart.Capacity+(1-slowStart.Capacity)*age, 1)
}

// receive takes an attempt. What is refused or dropped is said at once.
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

// chargeSlowStart counts what is sent to a cold box, and has it fall over if that was too much.
func (w *worker) chargeSlowStart(attempt *attemptRun) {
	slowStart := &w.sim.scenario.SlowStart
	if w.startedAt == 0 || slowStart.Tip <= 0 || w.warmupFactor() >= 1 {
		return
	}
	w.recentArrivals = append(w.recentArrivals, recentArrival{w.sim.now, attempt.work, attempt.source.knownStart(w.id) >= w.startedAt})
	for len(w.recentArrivals) > 0 && w.recentArrivals[0].at < w.sim.now-slowStart.Fall {
		w.recentArrivals = w.recentArrivals[1:]
	}
	sum, startKnown := 0.0, 0.0
	for _, arrival := range w.recentArrivals {
		if sum += arrival.work; arrival.startKnown {
			startKnown += arrival.work
		}
	}
	load := sum / (float64(w.slots) * w.speed * w.warmupFactor() * slowStart.Fall.Seconds())
	if !w.down && startKnown >= sum*2/3 { // else nobody could know
		w.sim.audit.slowStartLoad(w.sim.now, w.id, uint64(attempt.id), load, slowStart.Tip)
	}
	if load > slowStart.Tip && !w.down {
		w.sim.addNote("%v %s falls over at %.2f times what it can do", w.sim.now, w.id, load)
		w.dropAll()
		w.down = true
	}
}

// startQueued starts what there are slots for.
func (w *worker) startQueued() {
	for len(w.queue) > 0 && (w.canStart(w.queue[0].job) || w.queue[0].over && !w.sim.scenario.Keeps) && w.silent == 0 && w.frozen == 0 && !w.down {
		attempt := w.queue[0]
		w.queue = w.queue[1:]
		if attempt.over && !w.sim.scenario.Keeps {
			continue
		}
		w.busySlots += attempt.job.slots
		w.memoryInUse += attempt.job.memory
		attempt.running = true
		w.running = append(w.running, attempt)
		w.sim.reportStarted(attempt)
		w.fetch(attempt.job.subject, func() { w.execute(attempt) })
	}
}

// fetch gets what a job is about, if the box does not have it, and goes on.
func (w *worker) fetch(subject int, then func()) {
	store := &w.sim.scenario.Store
	if subject == 0 || store.Fetch <= 0 {
		then()
		return
	}
	if usedAt, ok := w.subjectUsedAt[subject]; ok && w.sim.now-usedAt < store.Keep {
		w.subjectUsedAt[subject] = w.sim.now
		then()
		return
	}
	w.sim.fetches.enter(time.Duration(w.random.ExpFloat64()*store.Fetch*float64(time.Second)), func() {
		w.subjectUsedAt[subject] = w.sim.now
		then()
	})
}

// execute runs a job to its end.
func (w *worker) execute(attempt *attemptRun) {
	w.sim.after(time.Duration(attempt.work/w.currentSpeed()*float64(time.Second)), func() { w.finish(attempt) })
}

// finish ends a job, or, while the box stands still, has that wait until it goes on.
func (w *worker) finish(attempt *attemptRun) {
	if attempt.incarnation != w.incarnation {
		return // of a life that is over
	}
	if w.frozen > 0 {
		w.deferredFinishes = append(w.deferredFinishes, func() { w.finish(attempt) })
		return
	}
	w.busySlots -= attempt.job.slots
	w.memoryInUse = max(w.memoryInUse-attempt.job.memory, 0)
	for i, other := range w.running {
		if other == attempt {
			w.running = append(w.running[:i], w.running[i+1:]...)
			break
		}
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

// cancel calls an attempt off: one that waits is dropped, unless boxes keep it, one that runs goes on to its end for nobody.
func (w *worker) cancel(attempt *attemptRun) { attempt.over = true }

// dropAll loses all that the box has.
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

// currentSpeed is the speed that a slot has now, or where jobs share, all of them together.
func (w *worker) currentSpeed() float64 {
	speed := w.speed * w.warmupFactor()
	if w.slow > 0 {
		speed /= 3
	}
	return speed
}

// currentReport is what the box has to tell of itself.
func (w *worker) currentReport() scheduler.Report {
	return scheduler.Report{Busy: float64(w.busySlots) / float64(w.slots), Requests: -1, FreeSlots: float64(w.slots - w.busySlots),
		Queue: float64(len(w.queue))}
}

// recordReport has the box's figures made anew, now and then.
func (w *worker) recordReport() {
	copy(w.reports[:], w.reports[1:])
	copy(w.reportedAt[:], w.reportedAt[1:])
	last := len(w.reportedAt) - 1
	w.reports[last] = w.currentReport()
	w.reportedAt[last] = w.sim.now
	every := w.sim.scenario.Reports.Every
	w.sim.after(every/2+time.Duration(w.random.Int64N(int64(every)+1)), w.recordReport)
}

// reportedState gives the figures as a probe finds them.
func (w *worker) reportedState() *scheduler.Report {
	newest := w.sim.now - w.sim.scenario.Reports.Delay
	if w.delayedReports > 0 {
		newest -= 3 * time.Second
	}
	for i := len(w.reportedAt) - 1; i >= 0; i-- {
		if w.reportedAt[i] <= newest {
			report := w.reports[i]
			return &report
		}
	}
	r := w.reports[0]
	return &r
}

// answerProbe answers a answerProbe, as far as the box is there.
func (w *worker) answerProbe(answer func(scheduler.Outcome, *scheduler.Report)) {
	switch {
	case w.down:
		answer(scheduler.NoConnect, nil)
	case w.frozen > 0 || w.partitioned > 0: // nobody hears anything: the dispatcher's own time runs out
	default:
		answer(scheduler.Served, w.reportedState())
	}
}

// fetchQueue is a place where so many are served at a time, in the order they came.
type fetchQueue struct {
	sim       *simulation
	maxActive int // 0 for any number
	active    int
	waiting   []func()
}

func (q *fetchQueue) enter(span time.Duration, then func()) {
	start := func() {
		q.active++
		q.sim.after(span, func() {
			q.active--
			if len(q.waiting) > 0 {
				next := q.waiting[0]
				q.waiting = q.waiting[1:]
				next()
			}
			then()
		})
	}
	if q.maxActive > 0 && q.active >= q.maxActive {
		q.waiting = append(q.waiting, start)
		return
	}
	start()
}

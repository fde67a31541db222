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
	w       *world
	id      scheduler.WorkerID
	kind    int
	bay     int
	zone    int
	memory  float64 // in use
	conns   int     // connections to it
	slots   int
	speed   float64
	started time.Duration // 0 for long ago
	state   scheduler.WorkerState
	down    bool // it has fallen over, is starting or is gone
	life    int  // a restart begins another: what was under way in the one before never ends

	frozen, silent, slow, late, cut int    // how many faults of the kind it has now
	unreported                      []*run // attempts that did not reach it, while it was cut off

	busy     int
	queue    []*run
	inFlight []func()              // what would have been said while it is frozen
	has      map[int]time.Duration // what it keeps of a subject, and when that was used last
	pending  []*run                // started
	figures  [8]scheduler.Report   // reports as they were, the newest last
	when     [8]time.Duration      // and since when
	pushed   []push                // work sent to it lately, while cold
	chance   *rand.Rand

	sharing    bool          // works on all its jobs at once
	settled    time.Duration // as of when their work is known
	turnNumber int           // of the plan for the next end
}

type push struct {
	at       time.Duration
	work     float64
	notified bool // by a dispatcher that had been told of the box's start
}

// origin is where attempts come from: a dispatcher of the model, or a real one behind a socket.
type origin interface {
	started(*run)                           // its job has
	over(*run, scheduler.Outcome)           // it has ended
	knows(scheduler.WorkerID) time.Duration // of which start of the box it was told
	oneWayDelay() *rand.Rand                // the chance in how long its way takes
}

// run is an attempt at a box.
type run struct {
	job     *job
	id      scheduler.RequestID
	attempt int
	worker  scheduler.WorkerID
	from    origin
	life    int
	work    float64 // seconds at speed 1
	left    float64 // of it, at a box that shares
	began   bool
	over    bool // ended, or called off
	zone    int  // of the dispatcher
	report  *scheduler.Report

	beganAt   time.Duration // when its dispatcher heard so
	sentAt    time.Duration
	silent    bool // counted as one that nobody has answered
	connected bool // it has a connection
}

// warmupFactor is the share of its speed that the box has now.
func (b *worker) warmupFactor() float64 {
	c := &b.w.s.SlowStart
	if b.started == 0 || c.For <= 0 {
		return 1
	}
	age := float64(b.w.now-b.started) / float64(c.For)
	return min(c.Capacity+(1-c.Capacity)*age, 1)
}

// take takes an attempt. What is refused or dropped is said at once.
func (b *worker) take(r *run) {
	if b.cut > 0 {
		b.unreported = append(b.unreported, r)
		return
	}
	b.weigh(r)
	if b.down {
		b.w.reply(r, scheduler.NoConnect)
		return
	}
	r.life = b.life
	if b.sharing {
		b.share(r)
		return
	}
	if b.full(r.job) {
		r.over = true
		b.w.reply(r, scheduler.Full)
		return
	}
	b.queue = append(b.queue, r)
	b.next()
}

// weigh counts what is sent to a cold box, and has it fall over if that was too much.
func (b *worker) weigh(r *run) {
	c := &b.w.s.SlowStart
	if b.started == 0 || c.Tip <= 0 || b.warmupFactor() >= 1 {
		return
	}
	b.pushed = append(b.pushed, push{b.w.now, r.work, r.from.knows(b.id) >= b.started})
	for len(b.pushed) > 0 && b.pushed[0].at < b.w.now-c.Fall {
		b.pushed = b.pushed[1:]
	}
	sum, notified := 0.0, 0.0
	for _, p := range b.pushed {
		if sum += p.work; p.notified {
			notified += p.work
		}
	}
	load := sum / (float64(b.slots) * b.speed * b.warmupFactor() * c.Fall.Seconds())
	if !b.down && notified >= sum*2/3 { // else nobody could know
		b.w.audit.pushed(b.w.now, b.id, uint64(r.id), load, c.Tip)
	}
	if load > c.Tip && !b.down {
		b.w.note("%v %s falls over at %.2f times what it can do", b.w.now, b.id, load)
		b.lose()
		b.down = true
	}
}

// next starts what there are slots for.
func (b *worker) next() {
	for len(b.queue) > 0 && (b.fits(b.queue[0].job) || b.queue[0].over && !b.w.s.Keeps) && b.silent == 0 && b.frozen == 0 && !b.down {
		r := b.queue[0]
		b.queue = b.queue[1:]
		if r.over && !b.w.s.Keeps {
			continue
		}
		b.busy += r.job.slots
		b.memory += r.job.memory
		r.began = true
		b.pending = append(b.pending, r)
		b.w.began(r)
		b.fetch(r.job.subject, func() { b.work(r) })
	}
}

// fetch gets what a job is about, if the box does not have it, and goes on.
func (b *worker) fetch(subject int, then func()) {
	s := &b.w.s.Store
	if subject == 0 || s.Fetch <= 0 {
		then()
		return
	}
	if used, ok := b.has[subject]; ok && b.w.now-used < s.Keep {
		b.has[subject] = b.w.now
		then()
		return
	}
	b.w.store.enter(time.Duration(b.chance.ExpFloat64()*s.Fetch*float64(time.Second)), func() {
		b.has[subject] = b.w.now
		then()
	})
}

// work runs a job to its end.
func (b *worker) work(r *run) {
	b.w.after(time.Duration(r.work/b.pace()*float64(time.Second)), func() { b.finish(r) })
}

// finish ends a job, or, while the box stands still, has that wait until it goes on.
func (b *worker) finish(r *run) {
	if r.life != b.life {
		return // of a life that is over
	}
	if b.frozen > 0 {
		b.inFlight = append(b.inFlight, func() { b.finish(r) })
		return
	}
	b.busy -= r.job.slots
	b.memory = max(b.memory-r.job.memory, 0)
	for i, p := range b.pending {
		if p == r {
			b.pending = append(b.pending[:i], b.pending[i+1:]...)
			break
		}
	}
	b.w.worked += r.work * float64(r.job.slots)
	if !r.over {
		r.over = true
		b.w.reply(r, scheduler.Served)
	} else {
		b.w.wasted += r.work * float64(r.job.slots)
	}
	b.next()
}

// cancel calls an attempt off: one that waits is dropped, unless boxes keep it, one that runs goes on to its end for nobody.
func (b *worker) cancel(r *run) { r.over = true }

// lose loses all that the box has.
func (b *worker) lose() {
	b.life++
	for _, r := range append(b.pending, b.queue...) {
		if !r.over {
			r.over = true
			b.w.reply(r, scheduler.Reset)
		}
	}
	b.memory = 0
	b.pending, b.queue, b.inFlight, b.busy, b.has = nil, nil, nil, 0, map[int]time.Duration{}
}

// pace is the speed that a slot has now, or where jobs share, all of them together.
func (b *worker) pace() float64 {
	speed := b.speed * b.warmupFactor()
	if b.slow > 0 {
		speed /= 3
	}
	return speed
}

// load is what the box has to tell of itself.
func (b *worker) load() scheduler.Report {
	return scheduler.Report{Busy: float64(b.busy) / float64(b.slots), Requests: -1, FreeSlots: float64(b.slots - b.busy),
		Queue: float64(len(b.queue))}
}

// refresh has the box's figures made anew, now and then.
func (b *worker) refresh() {
	copy(b.figures[:], b.figures[1:])
	copy(b.when[:], b.when[1:])
	last := len(b.when) - 1
	b.figures[last] = b.load()
	b.when[last] = b.w.now
	every := b.w.s.Reports.Every
	b.w.after(every/2+time.Duration(b.chance.Int64N(int64(every)+1)), b.refresh)
}

// report gives the figures as a probe finds them.
func (b *worker) report() *scheduler.Report {
	from := b.w.now - b.w.s.Reports.Delay
	if b.late > 0 {
		from -= 3 * time.Second
	}
	for i := len(b.when) - 1; i >= 0; i-- {
		if b.when[i] <= from {
			r := b.figures[i]
			return &r
		}
	}
	r := b.figures[0]
	return &r
}

// probe answers a probe, as far as the box is there.
func (b *worker) probe(answer func(scheduler.Outcome, *scheduler.Report)) {
	switch {
	case b.down:
		answer(scheduler.NoConnect, nil)
	case b.frozen > 0 || b.cut > 0: // nobody hears anything: the dispatcher's own time runs out
	default:
		answer(scheduler.Served, b.report())
	}
}

// queueOf is a place where so many are served at a time, in the order they came.
type queueOf struct {
	w     *world
	slots int // 0 for any number
	busy  int
	wait  []func()
}

func (q *queueOf) enter(span time.Duration, then func()) {
	start := func() {
		q.busy++
		q.w.after(span, func() {
			q.busy--
			if len(q.wait) > 0 {
				next := q.wait[0]
				q.wait = q.wait[1:]
				next()
			}
			then()
		})
	}
	if q.slots > 0 && q.busy >= q.slots {
		q.wait = append(q.wait, start)
		return
	}
	start()
}

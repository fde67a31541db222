package scheduler

import (
	"cmp"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The state that the decisions of brain.go are made on; nothing is decided here.

const (
	jamMemory  = 10 // jobs
	faultDoubt = 4  // jobs

	faultChance = 0.1 // share of the jobs
	keyMemory   = 4   // jobs for each worker: a key that fills one is seen a few times

	tickToken, askToken, endToken = 1, 2, 3 // of the timers
)

// health tells whether jobs may go to a worker, or those of one class.
type health struct {
	fails   float64
	strikes int
	until   Clock // nothing before this while strikes > 0, then one trial
}

// eased takes a success in: one among failures clears half of them, else a worker that fails every second job is never
// shunned.
func (h *health) eased() { h.fails, h.strikes = h.fails/2, h.strikes/2 }

// worker is what this dispatcher knows of one worker.
type worker struct {
	WorkerInfo
	listed  bool
	out     bool   // put out by hand
	outAt   Clock  // when it was
	back    bool   // it was put back, and no job of its was heard of since
	hash    uint64 // of its id
	health         // of all classes: can it be reached
	classes []health

	last       Report  // of the last probe
	base, load float64 // others' jobs and all jobs, as a share of the worker, by the last report
	reported   Clock   // when that was
	own        float64 // slots of own jobs that are out
	ownMean    float64 // the same, averaged over ownMemory, as of ownAt
	ownAt      Clock
	running    float64 // slots of own jobs known to run
	total      float64 // estimated slots; 0 until a figure comes
	increment  float64 // per slot until then
	pushes     int     // without a 'full'
	usual      float64 // mean of base
	turn       float64 // pushes by weight: ties go round robin, a worker of twice the size twice as often
	recent     fading  // pushes by size
	passed     fading  // jobs that waited here until they were called off
	full       Clock   // it turned a job away; its value is 1 until then or a report
	failures   fading  // jobs that it failed, ...
	successes  fading  // ... and served
	calledOff  fading  // slots of own jobs that were called off before they began
	waiting    int     // own jobs not started within startGrace
	lag, jobs  float64 // decayed sum over jobs of log(time here / usual time), and their number
	lagOut     float64 // the same over jobs that run for longer than usual now ...
	jobsOut    float64 // ... and their number
	heard      Clock   // last sign of life, or first push after nothing was out
	used       Clock   // last push or answer
	nextProbe  Clock
	probing    bool
	probedAt   Clock   // when the last probe was begun
	passedAt   Clock   // when the last was that it answered as one that takes requests
	checkFrom  Clock   // behind a probe that failed: no check before
	sent       []spend // work pushed while cold
}

type spend struct {
	at   Clock
	work float64
}

type attempt struct {
	w                    *worker
	sent, began          Clock
	out, maybe, canceled bool
	trial                bool          // sent to hear of a worker (see hasRoom)
	lost                 bool          // it holds no slot there
	idle                 time.Duration // how long the worker had not been used before
}

type request struct {
	id             RequestID
	set            *Settings // as it began
	class, seq     int
	slots          float64
	key            uint64
	hint           time.Duration
	born, expires  Clock  // born: when its client first asked
	within         uint64 // zones, a bit for each number; 0 for all
	attempts       []attempt
	done, streamed bool // done: final answer given, or nothing owed
}

// away tells whether a zone is none of those that the request may be sent to.
func (r *request) away(zone int) bool { return r.within != 0 && r.within>>uint(zone&63)&1 == 0 }

type classState struct {
	scale float64 // mean run time, per unit of hint or in seconds
	usual float64 // the same as a mean of logarithms, which few long jobs do not sway
	jobs  int
	span  time.Duration // longest time that a try of this class had left on arrival
}

// Scheduler is the decision state of one dispatcher. Make it with New.
type Scheduler struct {
	set           *Settings // in force; replaced as a whole
	now           Clock
	rng           *rand.Rand
	acts          []Action
	workers, near []*worker // all, and those that jobs are drawn to; by id
	ring, cold    []*worker // listed ones by hash, where they are many, and the cold ones of them that it owns
	some          []*worker // room for a window
	members       uint64    // a sum over the ring's: another where it changed
	byID          map[WorkerID]*worker
	out           map[WorkerID]bool // put out by hand, known or not
	classes       []classState
	open          map[RequestID]*request
	order, held   []*request // open ones by arrival; those that wait here
	cursor, seq   int        // round robin; number of the last request
	trials        int        // trial attempts that are out
	ticking       bool
	succeeds      bool    // goes on in the place of another, whose parts were halved
	small         bool    // all workers are drawn from, and known well
	keyed         bool    // jobs have keys
	jobs          int     // that were served
	traces        traces  // of what is called off, in the reports
	jam           float64 // part of the recent jobs that waited for their start
	tickAt        Clock   // when the next look is due

	listAsOf            Clock                 // the list tells all that discovery had then
	first, last, chosen Clock                 // first event, last arrival, last choice of near
	processes           int                   // that act as this dispatcher
	ends                Clock                 // when this process ends; 0 while nobody says so
	stalled             Clock                 // the turn in which this process found that it had stood still
	rate, mean          float64               // own jobs a second; mean work of a job in slot-seconds
	recent, copies      fading                // pushes, and those that were copies
	keys                tally                 // own jobs by key
	size                float64               // of all listed workers together, ...
	all                 int                   // and their number
	allow               float64               // how far over its slots a worker may be filled now
	stay, others        float64               // mean seconds from push to answer; mean share that others use
	idleSafe            time.Duration         // connections idle for less were not lost; 0 for all
	idleLost            Clock                 // when one was last lost
	kindLag             map[int]float64       // how much longer jobs take on a kind, as a mean logarithm
	ways                map[int]time.Duration // the shortest time from push to start in a zone
	kindTop             map[int]float64       // most slots seen on a kind of machine
}

// New makes a dispatcher. The same settings, seed and events give the same actions.
func New(s Settings, seed uint64) *Scheduler {
	set := s.usable()
	return &Scheduler{
		set: set, rng: rand.New(rand.NewPCG(seed, uint64(set.DispatcherIndex))), cursor: set.DispatcherIndex, allow: firstAllow,
		byID: map[WorkerID]*worker{}, out: map[WorkerID]bool{}, processes: 1, open: map[RequestID]*request{},
		keys: tally{count: map[uint64]float64{}}, ways: map[int]time.Duration{},
		kindTop: map[int]float64{}, kindLag: map[int]float64{}, classes: make([]classState, len(set.Classes)),
	}
}

// LearnedState is what a dispatcher has learned and what holds as well for one that goes on in its place.
type LearnedState struct {
	Overcommit float64                       `json:"Allow"`
	MeanStay   float64                       `json:"Stay"`
	MeanWork   float64                       `json:"Mean"`
	Classes    []ClassStatistics             `json:"Classes"` // by number
	Workers    map[WorkerID]WorkerStatistics `json:"Workers"`
}

// ClassStatistics is how long jobs of a class take.
type ClassStatistics struct {
	WorkScale      float64 `json:"Scale"`
	MeanLogRuntime float64 `json:"Usual"`
	Jobs           int     `json:"Jobs"`
}

// WorkerStatistics is of a worker's process that started then.
type WorkerStatistics struct {
	StartedAt    Clock   `json:"Since"`
	Slots        float64 `json:"Total"`
	Increment    float64 `json:"Increment"`
	Slowness     float64 `json:"Lag"`
	SlownessJobs float64 `json:"JobsOf"`
	LastSignal   Clock   `json:"Heard"` // the last sign of life
}

// LearnedState gives what was learned so far.
func (d *Scheduler) LearnedState() LearnedState {
	e := LearnedState{Overcommit: d.allow, MeanStay: d.stay, MeanWork: d.mean, Workers: map[WorkerID]WorkerStatistics{}}
	for _, c := range d.classes {
		e.Classes = append(e.Classes, ClassStatistics{c.scale, c.usual, c.jobs})
	}
	for _, w := range d.workers {
		if w.State != Gone {
			e.Workers[w.ID] = WorkerStatistics{w.StartedAt, w.total, w.increment, w.lag, w.jobs, w.heard}
		}
	}
	return e
}

// adopt begins with what another has learned, of the workers that are listed and have not started anew since.
func (d *Scheduler) adopt(e LearnedState) {
	if len(e.Classes) > 0 { // else it tells of workers alone
		d.succeeds = true
		d.allow, d.stay, d.mean = e.Overcommit, e.MeanStay, e.MeanWork
	}
	for i, c := range e.Classes {
		if i < len(d.classes) {
			d.jobs += c.Jobs
			d.classes[i] = classState{scale: c.WorkScale, usual: c.MeanLogRuntime, jobs: c.Jobs}
		}
	}
	for id, was := range e.Workers {
		if w := d.byID[id]; w != nil && w.StartedAt <= was.StartedAt {
			w.StartedAt, w.increment, w.lag, w.jobs = was.StartedAt, was.Increment, was.Slowness, was.SlownessJobs
			d.seen(w, was.Slots)
		}
	}
}

// ---- Helpers ----

// learn moves a mean by its n-th value. The first few weigh alike: moved by as little as later ones, it would be too
// low for as many jobs as it remembers, which a dispatcher among many does not see within a minute.
func learn(mean *float64, n int, x float64) { *mean += max(1/float64(n), 1-classMemory) * (x - *mean) }

// waited notes whether a job waited for its start at a worker.
func (d *Scheduler) waited(w *worker, is bool) {
	if d.jam += (float64(oneIf(is)) - d.jam) / jamMemory; !is {
		w.passed.sum /= 2
	}
}

// passedBy notes that an attempt is called off which waited for its start for so long that it was copied.
func (d *Scheduler) passedBy(a *attempt) {
	if d.stuck(a, copyGrace) {
		a.w.passed.add(d.now, 1)
	}
}

// callOff cancels the attempts that are out and meet the condition.
func (d *Scheduler) callOff(r *request, when func(*attempt) bool) {
	for i := range r.attempts {
		if a := &r.attempts[i]; r.set.MayCancel && a.out && !a.canceled && when(a) {
			a.canceled = true
			if a.began == 0 {
				a.w.calledOff.span = max(seconds(d.stay), ownMemory)
				a.w.calledOff.add(d.now, r.slots)
			}
			d.passedBy(a)
			d.do(Cancel{ID: r.id, Attempt: i})
		}
	}
}

// seen notes slots that a worker was seen to have.
func (d *Scheduler) seen(w *worker, slots float64) {
	w.total = max(w.total, slots)
	d.kindTop[w.MachineKind] = max(d.kindTop[w.MachineKind], w.total)
}

// tick is the pause between looks while something is held.
func (d *Scheduler) tick() time.Duration {
	return min(tickMost, max(d.set.AnswerSlack/2, time.Millisecond))
}

// faulty is the share of its recent jobs that a worker failed, as if some more had been served: a few in a hundred are
// chance, and what it did is forgotten, or one that has recovered would get no job to show it.
func (w *worker) faulty(now Clock) float64 {
	bad := min(w.failures.at(now), faultDoubt)
	return max(bad/(bad+w.successes.at(now)+faultDoubt)-faultChance, 0)
}

// bump accounts for own slots coming (positive) or going.
func (d *Scheduler) bump(w *worker, slots float64) {
	keep := math.Exp(-float64(d.now-w.ownAt) / float64(ownMemory))
	w.ownMean, w.ownAt = w.ownMean*keep+w.own*(1-keep), d.now
	w.own = max(w.own+slots, 0)
}

// heard notes a sign of life.
func (d *Scheduler) heard(w *worker) { w.heard, w.used, w.strikes, w.fails = d.now, d.now, 0, 0 }

// forget drops a finished request once no attempt of it is out.
func (d *Scheduler) forget(r *request) {
	if !r.has(out) {
		delete(d.open, r.id)
	}
}

// ran learns from a job's running time what its class takes and how fast the worker is.
func (d *Scheduler) ran(r *request, a *attempt) {
	c, unit := &d.classes[r.class], cmp.Or(r.hint.Seconds(), 1)
	run := (d.now - cmp.Or(a.began, a.sent)).Seconds()
	if d.now == d.stalled || run <= 0 {
		return
	}
	a.w.successes.add(d.now, 1)
	d.jobs, c.jobs = d.jobs+1, c.jobs+1
	learn(&d.stay, d.jobs, (d.now - a.sent).Seconds())
	learn(&d.mean, d.jobs, run*r.slots)
	learn(&c.scale, c.jobs, run/unit)
	learn(&c.usual, c.jobs, math.Log(run/unit))
	late := d.lateness(r, a)
	d.kindLag[a.w.MachineKind] += (1 - classMemory) * (late - d.kindLag[a.w.MachineKind])
	a.w.lag = a.w.lag*slowMemory + late
	a.w.jobs = a.w.jobs*slowMemory + 1
}

// warmth is the share of its capacity that a worker can be trusted to have, by its age.
func (d *Scheduler) warmth(w *worker) float64 {
	age := d.now - w.StartedAt
	if w.StartedAt <= 0 || d.set.SlowStartDuration <= 0 || age >= d.set.SlowStartDuration {
		return 1
	}
	start := min(max(d.set.SlowStartCapacity, 0.01), 1)
	return start + (1-start)*max(float64(age)/float64(d.set.SlowStartDuration), 0)
}

// usable gives settings as the decisions take them.
func (s Settings) usable() *Settings {
	s.Dispatchers, s.DispatcherIndex = max(s.Dispatchers, s.DispatcherIndex+1, 1), max(s.DispatcherIndex, 0)
	if len(s.Classes) == 0 {
		s.Classes = []Class{{Idempotency: NonIdempotent, MachineKind: -1}}
	}
	if !s.MayAdviseRetry {
		s.MaxRetryAfter = 0
	}
	if s.MaxAttempts <= 0 {
		s.MaxAttempts = 16
	}
	return &s
}

// retune puts new settings in force for what comes from now on.
func (d *Scheduler) retune(s Settings) {
	d.set = s.usable()
	grow := max(len(d.set.Classes)-len(d.classes), 0)
	d.classes = append(d.classes, make([]classState, grow)...)
	for _, w := range d.workers {
		w.classes = append(w.classes, make([]health, grow)...)
	}
}

// hash scatters workers, the same way at every dispatcher.
func hash(id WorkerID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return mix(h.Sum64())
}

func mix(x uint64) uint64 {
	x = (x ^ x>>32) * 0x9e3779b97f4a7c15
	return x ^ x>>29
}

const (
	// keyWindow is how many workers are looked at for a job with a key, beside the cold ones that this dispatcher owns, ...
	keyWindow = 32
	// ... where more than these are listed; of so many each key's homes are by all. A hot key is a seventh of the jobs and
	// needs a third of the workers: in a window it crowds out the keys beside it, and copies find two workers of a bay
	// where there are eight. To look at all 512 costs 0.3 ms a job: at the cpuUsPerS of 500 ms, 1,700 jobs a second.
	allOfKey = 512
)

// encircle brings the index of listed workers by their hashes up to date: a ring, on which a key has its place. It is empty
// where all are looked at.
func (d *Scheduler) encircle() {
	on := func(w *worker) bool { return w.listed && !w.out }
	count, members := 0, uint64(0)
	d.cold = d.cold[:0]
	for _, w := range d.near {
		if on(w) {
			count, members = count+1, members+mix(w.hash)
			if d.warmth(w) < 1 && d.part(w) > 0 {
				d.cold = append(d.cold, w)
			}
		}
	}
	switch {
	case count <= allOfKey:
		d.ring = d.ring[:0]
		return
	case members == d.members && len(d.ring) > 0:
		return // the ring as it is
	}
	d.ring, d.members = d.ring[:0], members
	for _, w := range d.near {
		if on(w) {
			d.ring = append(d.ring, w)
		}
	}
	slices.SortFunc(d.ring, func(a, b *worker) int { return cmp.Compare(a.hash, b.hash) })
	d.ring = append(d.ring, d.ring[:keyWindow]...) // so that no window has a gap
}

// nearOf gives those of near that a job of a key is drawn to: a window of the ring from the key's place, the same at every
// dispatcher. One that joins or leaves moves windows by one, so few keys change their homes, and those by one worker.
func (d *Scheduler) nearOf(key uint64) []*worker {
	if key == 0 || len(d.ring) == 0 {
		return d.near
	}
	whole := d.ring[:len(d.ring)-keyWindow]
	at, _ := slices.BinarySearchFunc(whole, mix(key^ringSalt), func(w *worker, h uint64) int { return cmp.Compare(w.hash, h) })
	d.some = append(append(d.some[:0], d.ring[at%len(whole):][:keyWindow]...), d.cold...)
	return d.some
}

const ringSalt = 0x5bd1e995 // a key's place on the ring is not by what ranks its homes

// homes is a worker's place in a key's rotation, the same at every dispatcher: the lowest comes first.
// Workers come first by their size.
func (w *worker) homes(key uint64) float64 {
	u := (float64(mix(mix(key)^w.hash)>>11) + 0.5) / (1 << 53)
	return -math.Log(u) / w.size()
}

// size is a worker's size as it was registered.
func (w *worker) size() float64 { return max(sane(w.Weight), 1e-3) }

// fading is a sum that fades over a span.
type fading struct {
	sum  float64
	when Clock
	span time.Duration // 0 for rateSpan
}

func (f *fading) at(now Clock) float64 {
	f.sum *= math.Exp(-float64(now-f.when) / float64(cmp.Or(f.span, rateSpan)))
	f.when = now
	return f.sum
}

func (f *fading) add(now Clock, x float64) { f.sum = f.at(now) + x }

// traces tells from reports whether workers keep what is called off while it waits, which no setting does. What a worker
// holds is taken as a multiple of the own jobs there (others send as many) and of the own ones lately called off there, by
// least squares: where called off means gone, the second factor is none of the first.
type traces struct{ own2, ownOff, off2, heldOwn, heldOff float64 }

const (
	keptAtFirst  = 0.25 // of what is called off is assumed to be kept, ...
	keptDoubt    = 20   // ... as if so many reports had told it
	mostMultiple = 4    // of the own jobs: where these are a smaller part of all, they tell nothing
)

func (t *traces) add(held, own, off float64) {
	t.own2, t.ownOff, t.off2 = t.own2+own*own, t.ownOff+own*off, t.off2+off*off
	t.heldOwn, t.heldOff = t.heldOwn+held*own, t.heldOff+held*off
}

// kept is the share that stays.
func (t *traces) kept() float64 {
	det := t.own2*t.off2 - t.ownOff*t.ownOff
	own, off := (t.heldOwn*t.off2-t.heldOff*t.ownOff)/det, (t.heldOff*t.own2-t.heldOwn*t.ownOff)/det
	if det <= 0 || own <= 0 || own > mostMultiple {
		return keptAtFirst
	}
	return (min(max(off/own, 0), 1)*t.off2 + keptAtFirst*keptDoubt) / (t.off2 + keptDoubt)
}

// tally counts by key. The past weighs half as much each time the count is full, and what it then tells of a key that came
// once is dropped: it holds no more keys than the count.
type tally struct {
	count map[uint64]float64
	total float64
}

func (t *tally) add(key uint64, full int) {
	if t.total >= float64(max(full, 1)) {
		t.total /= 2
		for k, n := range t.count {
			if t.count[k] = n / 2; n < 2 {
				delete(t.count, k)
			}
		}
	}
	t.count[key]++
	t.total++
}

// sane gives -1 for a figure that was not told.
func sane(x float64) float64 {
	if math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
		return -1
	}
	return x
}

func (r *request) has(is func(attempt) bool) bool { return slices.ContainsFunc(r.attempts, is) }

func out(a attempt) bool     { return a.out }
func maybe(a attempt) bool   { return a.maybe }
func waiting(a attempt) bool { return a.out && a.began == 0 && !a.lost }

func (r *request) tried(w *worker) bool { return r.has(func(a attempt) bool { return a.w == w }) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (d *Scheduler) attempt(id RequestID, n int) (*request, *attempt) {
	r := d.open[id]
	if r == nil || n < 0 || n >= len(r.attempts) || !r.attempts[n].out {
		return nil, nil
	}
	return r, &r.attempts[n]
}

// enter takes a line of the list in.
func (d *Scheduler) enter(in WorkerInfo) {
	w := d.byID[in.ID]
	if w == nil {
		w = &worker{increment: firstIncrement, hash: hash(in.ID), out: d.out[in.ID]}
		w.classes = make([]health, len(d.classes))
		d.byID[in.ID] = w
		at, _ := slices.BinarySearchFunc(d.workers, in.ID,
			func(w *worker, id WorkerID) int { return cmp.Compare(w.ID, id) })
		d.workers = slices.Insert(d.workers, at, w)
	} else if in.StartedAt > w.StartedAt { // restarted
		d.anew(w)
	}
	in.StartedAt = w.since(in) // an older list does not make it older
	w.WorkerInfo = in
	w.listed = in.State == Ready
}

// anew forgets what was known of a worker's old process.
func (d *Scheduler) anew(w *worker) {
	w.base, w.usual, w.reported, w.full, w.lag, w.jobs, w.last = 0, 0, 0, 0, 0, 0, Report{}
	w.health, w.classes = health{}, make([]health, len(d.classes))
}

// since gives when a worker started, by what a list says: the latest start that was told, unless this list is sure and
// operators have not put the worker back since.
func (w *worker) since(in WorkerInfo) Clock {
	if in.StartConfirmed && !w.back {
		return in.StartedAt
	}
	return max(in.StartedAt, w.StartedAt)
}

// KnowsWorker tells whether the list ever named the worker, or it is out by hand.
func (d *Scheduler) KnowsWorker(id WorkerID) bool { return d.byID[id] != nil || d.out[id] }

// CountAvoided counts the workers on the list that get no jobs but trials, by hand or by choice.
func (d *Scheduler) CountAvoided() (n int) {
	for _, w := range d.workers {
		n += oneIf(w.State != Gone && (w.out || w.strikes > 0))
	}
	return n
}

// lateness is how much longer than usual an attempt has run by now, as a logarithm.
func (d *Scheduler) lateness(r *request, a *attempt) float64 {
	if d.classes[r.class].jobs == 0 {
		return 0
	}
	run := (d.now - cmp.Or(a.began, a.sent)).Seconds()
	return math.Log(max(run, 1e-6)/cmp.Or(r.hint.Seconds(), 1)) - d.classes[r.class].usual
}

func (d *Scheduler) do(a Action) { d.acts = append(d.acts, a) }

func oneIf(is bool) int {
	if is {
		return 1
	}
	return 0
}

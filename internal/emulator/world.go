package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"brassdale/scheduler"
)

// world is a run of a scenario.
type world struct {
	engine
	s           *Scenario
	workers     []*worker
	byID        map[scheduler.WorkerID]*worker
	store       *queueOf
	dispatchers []*dispatcher
	lines       [][]*job                     // of the users
	down, hung  int                          // faults of discovery
	outages     []func()                     // hear of them
	listeners   []func(scheduler.WorkerInfo) // hear of a change of the list, beside the dispatchers of the model
	audit       *auditor
	lastID      scheduler.RequestID
	clients     *rand.Rand
	drawn       *rand.Rand // what classes and memory are drawn from
	kinds       []Class    // of jobs
	byClass     []tally
	burst, tail float64

	failover *voterGroup
	apart    map[[2]int]int // faults between a zone's dispatchers and another's boxes
	far      map[int]float64
	perZone  []zoneTally
	seconds  []second

	sends, probes, crossings int
	worked, wasted           float64
	speed                    float64 // sum over served jobs of work by time
	tallies                  []tally // by account
	times                    []float64
	notes                    []string
}

// job is what a client wants, over its tries.
type job struct {
	account     int
	work        float64
	class       int
	slots       int
	memory      float64
	hint        time.Duration
	subject     int
	user        int
	requestedAt time.Duration
	tries       int
	done        bool
}

type verdict uint8

const (
	served verdict = iota
	refused
	failed
)

type tally struct {
	jobs                          int
	requested, good               float64 // work
	served, late, refused, failed int
}

// countRequest enters a job that its client wants done.
func (t *tally) countRequest(work float64) {
	t.jobs++
	t.requested += work
}

// epoch is how long before the start clocks began.
const epoch = time.Hour

// Run plays a scenario with a policy for each dispatcher. It ends when all is answered and every box is idle, or Settle
// after the last job came.
func Run(s Scenario, policy func(scheduler.Settings, uint64) Policy) (*Result, error) {
	w, err := newWorld(&s)
	if err != nil {
		return nil, err
	}
	for n := range s.Dispatchers {
		d := &dispatcher{w: w, n: n, zone: n % max(s.Network.Zones, 1), idle: map[scheduler.WorkerID][]time.Duration{}, subscribed: s.Pushed, open: map[scheduler.RequestID]*open{}, notify: map[scheduler.WorkerID]time.Duration{}, chance: w.source(uint64(100 + n))}
		d.policy = policy(w.settings(n), d.chance.Uint64())
		w.dispatchers = append(w.dispatchers, d)
		w.after(0, func() { d.listed(scheduler.ListCached, w.list()) })
	}
	w.faults()
	w.plans()
	w.after(warmUp, w.arrive)
	if s.LiveWeights {
		w.after(weighEvery, w.weigh)
	}
	w.run(epoch + warmUp + s.Span + s.Traffic.GiveUp + Settle)
	return w.result(), nil
}

// newWorld makes a works with its boxes, at rest.
func newWorld(s *Scenario) (*world, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	w := &world{s: s, byID: map[scheduler.WorkerID]*worker{}, tallies: make([]tally, max(len(s.Traffic.Accounts), 1))}
	w.now = epoch
	w.audit = newAuditor(s, epoch)
	w.lines = make([][]*job, s.Traffic.Users)
	w.clients, w.drawn, w.burst = w.source(1), w.source(3), 1
	w.kinds = s.Traffic.classes()
	w.apart, w.far, w.perZone = map[[2]int]int{}, map[int]float64{}, make([]zoneTally, max(s.Network.Zones, 1))
	w.byClass = make([]tally, len(w.kinds))
	w.store = &queueOf{w: w, slots: s.Store.Slots}
	chance := w.source(2)
	for kind, k := range s.Kinds {
		for range k.Count {
			n := len(w.workers)
			b := &worker{w: w, id: scheduler.WorkerID(fmt.Sprintf("s-%06x", chance.Uint32()>>8)), kind: kind, bay: n % s.Bays, zone: n % max(s.Network.Zones, 1), slots: k.Slots, sharing: k.Sharing,
				speed: k.SpeedMin + (k.SpeedMax-k.SpeedMin)*chance.Float64(), has: map[int]time.Duration{}, chance: w.source(uint64(1000 + n))}
			for w.byID[b.id] != nil {
				b.id += "x"
			}
			w.workers = append(w.workers, b)
			w.byID[b.id] = b
			for i := range b.figures {
				b.figures[i] = scheduler.Report{Requests: -1, FreeSlots: float64(b.slots)}
			}
			if s.Reports.Every > 0 {
				b.refresh()
			}
		}
	}
	return w, nil
}

// faults sees to the faults.
func (w *world) faults() {
	for i, f := range w.s.Faults {
		w.after(f.At, func() { w.applyFault(f, w.source(uint64(10+i))) })
	}
}

const (
	// Settle is how long a run goes on behind the last client's give-up.
	Settle = 2 * time.Second

	warmUp = 100 * time.Millisecond // in which dispatchers hear of the boxes
)

// source gives a source of chance of its own to each thing that has any, so that one more draw of the one changes
// nothing for the others.
func (w *world) source(of uint64) *rand.Rand { return rand.New(rand.NewPCG(w.s.Seed, of)) }

// settings are what a dispatcher is told.
func (w *world) settings(n int) scheduler.Settings {
	t, r := &w.s.Traffic, &w.s.Rules
	set := scheduler.Settings{DispatcherIndex: n, Dispatchers: w.s.Dispatchers, ListPolled: !w.s.Pushed, ReportsPulled: !w.s.Reports.Answers, ReportsStart: true, MayProbe: !w.s.Reports.Push,
		MayCancel: r.MayCancel, MayHedge: r.MayCopy, MayAdviseRetry: true, MaxAttempts: r.MaxAttempts, MaxRetryAfter: 2 * time.Second,
		AnswerSlack: r.Slack, MaxPollInterval: maxPollInterval, SlowStartDuration: w.s.SlowStart.For, SlowStartCapacity: w.s.SlowStart.Capacity, OverloadMultiple: w.s.SlowStart.Tip,
		OverloadWindow: w.s.SlowStart.Fall, WeightByWork: true, Zone: n % max(w.s.Network.Zones, 1), CrossZoneCost: w.s.Network.CrossPrice}
	for _, c := range t.classes() {
		set.Classes = append(set.Classes, scheduler.Class{LatencyObjective: c.Aim, ObjectiveStretch: c.Stretch, Deadline: c.GiveUp, PriorityWeight: c.PriorityWeight, Idempotency: c.Effect,
			DeduplicationScope: c.Scope, DeduplicationWindow: c.Window, MachineKind: -1})
	}
	return set
}

// list is the list of boxes as it is now.
func (w *world) list() (ws []scheduler.WorkerInfo) {
	for _, b := range w.workers {
		ws = append(ws, b.info())
	}
	return ws
}

func (b *worker) info() scheduler.WorkerInfo {
	return scheduler.WorkerInfo{ID: b.id, State: b.state, Cell: b.bay, Zone: b.zone, MachineKind: b.kind, Weight: b.weight(), StartedAt: b.started}
}

// unlisted begins a fault of discovery, or ends it. A dispatcher's watch ends at once where it is down; where it hangs, once
// the dispatcher has waited for long enough. What changes meanwhile comes with the whole list, behind the next call.
func (w *world) unlisted(t FaultKind, by int) {
	if t == ListDown {
		w.down += by
	} else {
		w.hung += by
	}
	for _, d := range w.dispatchers {
		if by > 0 && d.subscribed {
			d.subscribed = false
			d.refused()
		}
	}
	for _, hear := range w.outages {
		hear()
	}
}

// changed tells all dispatchers of a box, late.
func (w *world) changed(b *worker) {
	info := b.info()
	for _, d := range w.dispatchers {
		w.after(w.late(d.chance), func() {
			if d.subscribed { // else it gets the whole list when it is again
				d.listed(scheduler.ListDelta, []scheduler.WorkerInfo{info})
			}
		})
	}
	for _, hear := range w.listeners {
		hear(info)
	}
}

// delay is a way through the network.
func (w *world) delay(chance *rand.Rand) time.Duration {
	half := float64(w.s.Network.Delay) / 2
	return time.Duration(half + chance.ExpFloat64()*half)
}

// late is how late the list tells something.
func (w *world) late(chance *rand.Rand) time.Duration {
	return time.Duration((0.5 + chance.Float64()) * float64(w.s.Discovery))
}

func (w *world) workerOf(r *run) *worker { return w.byID[r.worker] }

// reply tells a dispatcher how an attempt ended.
func (w *world) reply(r *run, o scheduler.Outcome) {
	b := w.workerOf(r)
	if b.cut > 0 { // the other side hears of it once the box is back
		b.unreported = append(b.unreported, r)
		return
	}
	if w.s.Reports.Answers {
		r.report = b.report()
	}
	w.after(w.between(r.zone, b, r.from.oneWayDelay()), func() { r.from.over(r, o) })
}

// began tells a dispatcher that a job has started.
func (w *world) began(r *run) {
	b := w.workerOf(r)
	if b.cut > 0 {
		return
	}
	w.after(w.between(r.zone, b, r.from.oneWayDelay()), func() { r.from.started(r) })
}

// job makes one of so many means of work, where that is exponentially distributed, and draws the rest.
func (t *Traffic) job(means float64, chance *rand.Rand) *job {
	j := &job{work: t.Work * means, slots: 1}
	if t.Spread > 0 { // of the same mean
		j.work = t.Work * math.Exp(t.Spread*chance.NormFloat64()-t.Spread*t.Spread/2)
	}
	if t.Subjects > 0 {
		j.subject = 1 + chance.IntN(t.Subjects)
	}
	return j
}

// arrive brings a job and sees to the next.
func (w *world) arrive() {
	t := &w.s.Traffic
	work := w.clients.ExpFloat64()
	w.clients.Uint64() // was a key once; without it every seed of the kept results would play other traffic
	j := t.job(work, w.clients)
	j.requestedAt = w.now
	pick, sum := w.clients.Float64(), 0.0
	for _, a := range t.Accounts {
		sum += a.Share
	}
	for i, a := range t.Accounts {
		if pick -= a.Share / sum; pick < 0 {
			j.account = i
			break
		}
	}
	w.dress(j)
	w.tallies[j.account].countRequest(w.value(j))
	w.byClass[j.class].countRequest(w.value(j))
	if t.Users > 0 {
		w.enqueue(j)
	} else {
		w.try(j)
	}
	if next := time.Duration(w.clients.ExpFloat64() / (t.Rate * w.burst) * float64(time.Second)); w.now+next < epoch+warmUp+w.s.Span {
		w.after(next, w.arrive)
	}
}

// try hands a job to some dispatcher.
func (w *world) try(j *job) {
	w.lastID++
	giveUp := w.class(j).GiveUp
	id, expires := w.lastID, w.now+giveUp
	j.tries++
	d := w.dispatchers[w.clients.IntN(len(w.dispatchers))]
	w.after(giveUp+w.s.Rules.Slack, func() {
		if o := d.open[id]; o != nil && !o.answered {
			w.audit.gaveUp(w.now, uint64(id))
			o.answered = true
			w.done(j, failed)
			d.feed(scheduler.ClientLeft{ID: id})
			d.forget(id)
		}
	})
	d.arrived(j, id, expires)
}

// answered takes a client's final answer to one try.
func (w *world) answered(j *job, _ scheduler.RequestID, v verdict, after time.Duration) {
	if v == refused && j.tries == 1 && w.clients.Float64() < w.s.Traffic.Retries {
		w.after(max(after, 100*time.Millisecond), func() { w.try(j) })
		return
	}
	w.done(j, v)
}

// done ends a job for its client.
func (w *world) done(j *job, v verdict) {
	if j.done {
		return
	}
	j.done = true
	if w.s.Traffic.Users > 0 {
		defer w.nextOf(j)
	}
	w.count(&w.tallies[j.account], v, j, w.now-j.requestedAt)
	w.countAt(j, v)
	if v == served && w.inTime(j, w.now-j.requestedAt) {
		w.byClass[j.class].good += w.value(j)
	}
}

// inTime tells whether an answer so long after the client asked counts.
func (w *world) inTime(j *job, after time.Duration) bool {
	c := w.class(j)
	return after.Seconds() <= c.Aim.Seconds()+c.Stretch*j.work
}

// count enters a job's end for its client into its account's tally.
func (w *world) count(t *tally, v verdict, j *job, after time.Duration) {
	switch v {
	case served:
		took := after.Seconds()
		t.served++
		w.times = append(w.times, took)
		w.speed += j.work / max(took, 1e-9)
		if w.inTime(j, after) {
			t.good += w.value(j)
		} else {
			t.late++
		}
	case refused:
		t.refused++
	default:
		t.failed++
	}
}

// applyFault has a fault come over some boxes, and go.
func (w *world) applyFault(f Fault, chance *rand.Rand) {
	switch f.Kind {
	case Burst:
		w.burst *= f.Size
		w.after(f.For, func() { w.burst /= f.Size })
		return
	case HeavyTail:
		w.tail = f.Size
		w.after(f.For, func() { w.tail = 0 })
		return
	}
	if f.Kind >= ZoneLost {
		w.applyZoneFault(f)
		return
	}
	if f.Kind == ListDown || f.Kind == ListHung {
		w.unlisted(f.Kind, 1)
		w.after(f.For, func() { w.unlisted(f.Kind, -1) })
		return
	}
	some := slices.Clone(w.workers)
	chance.Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
	for _, b := range some[:max(int(f.Share*float64(len(some))), 1)] {
		b.applyFault(f.Kind)
		w.after(f.For, func() { b.recover(f.Kind) })
	}
}

func (b *worker) applyFault(t FaultKind) {
	switch t {
	case Freeze:
		b.frozen++
	case Silent:
		b.silent++
	case Slow:
		b.slow++
	case Unreported:
		b.late++
	case Reset:
		b.lose()
	case Partition:
		b.cut++
	case Drain:
		b.state = scheduler.Draining
		b.w.changed(b)
	case Restart:
		b.lose()
		b.down = true
		b.w.after(time.Second, func() {
			b.down, b.started, b.pushed = false, b.w.now, nil
			b.w.changed(b)
		})
	}
}

func (b *worker) recover(t FaultKind) {
	switch t {
	case Freeze:
		if b.frozen--; b.frozen == 0 {
			inFlight := b.inFlight
			b.inFlight = nil
			for _, say := range inFlight {
				say()
			}
		}
	case Silent:
		b.silent--
	case Slow:
		b.slow--
	case Unreported:
		b.late--
	case Partition:
		if b.cut--; b.cut == 0 {
			for _, r := range b.unreported {
				r.over = true
				b.w.reply(r, scheduler.Reset)
			}
			b.unreported = nil
			b.lose()
		}
	case Drain: // it goes, whatever it still has
		b.lose()
		b.state, b.down = scheduler.Gone, true
		b.w.changed(b)
	}
	b.next()
}

func (w *world) note(format string, a ...any) { w.notes = append(w.notes, fmt.Sprintf(format, a...)) }

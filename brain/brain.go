// Package brain decides where a dispatcher pushes its jobs, when it sends them again and when it
// turns them away. Its interface (settings, events, actions) is api.go; every decision is here.
//
// The mechanism is Least Used with Degradation: each worker has a load value, a job goes to the
// lowest, round robin among ties, each push raises the value by the job's share of the worker, and
// each report resets it. Everything else is a departure; its comment says when it acts.
package brain

import (
	"cmp"
	"fmt"
	"math"
	"math/bits"
	"slices"
	"time"
)

const (
	// The load increment of DESIGN: 25% a slot until figures come, halved after so many pushes
	// without a 'full' down to the floor, doubled on a 'full'.
	firstIncrement = 0.25
	leastIncrement = 1.0 / 16
	pushesToHalve  = 50

	firstAllow = 0.5  // how far over its slots a worker may be filled before jobs are held here
	leastAllow = -0.3 // jobs wait though this much seems free: the reports are wrong, believe the waits
	roundDown  = 0.4  // slots; others' jobs are a noisy share, and a whole slot must not idle for a part
	mostAllow  = 1.0  // beyond it a held job is better off waiting for a free slot
	allowStep  = 0.01 // a job moves it by this, on a small fleet for each dispatcher that knows all ...
	mostStep   = 0.1  // ... and by this at most, or a single job would swing it
	waitShare  = 0.05 // of the time that a request can spare: so long may it wait at a worker

	tieBand     = 1e-9                   // load values closer than this are ties
	ownMemory   = 500 * time.Millisecond // how far back a report looks, about: one refresh and its delay
	startGrace  = 150 * time.Millisecond // a job pushed to a free slot starts sooner than this
	mostWay     = 50 * time.Millisecond  // to a zone and back: what takes longer has waited there
	newWays     = 3                      // what a new connection takes beside, in ways
	copyGrace   = 50 * time.Millisecond  // so soon a job is copied; sooner, copies fetch more than they save ...
	jamGrace    = 200 * time.Millisecond // ... and so much later if all wait: a copy is one more in a queue
	keptMost    = 0.5                    // of what is called off: if more stays in the queues, it is left there
	waitGrace   = 100 * time.Millisecond // a job that starts later has waited
	zoneWeight  = 15                     // load a crossing must save, for each unit of its price, ...
	vagueWeight = 3                      // and where few workers are known, so that loads are known roughly
	faultWeight = 2                      // load that a job is worth which its worker fails
	slowFrom    = 1.5                    // slower than peers by this factor counts; below it is chance
	slowMemory  = 0.95                   // weight of the past in a worker's speed: about twenty jobs
	slowDoubt   = 8                      // jobs of ordinary speed that are assumed beside those seen
	classMemory = 0.97                   // and in a class's mean work: about thirty jobs
	workShare   = 0.5                    // most jobs are well under the mean work of their class

	crowdDoubt = 20  // jobs for each unit of size that all dispatchers assume beside those counted, ...
	crowdLeast = 0.4 // ... and each at least: a job or two of its own at a worker are chance
	keyRoom    = 1.5 // workers for a key, as a multiple of those that its part of the jobs fills
	homesOfKey = 2   // workers at which a key is at home: one has too few slots, three fetch too often
	awayValue  = 1e3 // more than any place in the rotation of a key

	nearAll   = 3                // all workers are drawn from if all get an own job within so many seconds, ...
	nearLeast = 4                // else this many at least, ...
	nearSpan  = 0.5              // as many as own jobs come in so many seconds, and two dispatchers a worker
	nearRings = 4                // orders in which workers are dealt out to dispatchers
	nearFresh = time.Second      // between choices
	rateSpan  = 10 * time.Second // the own job rate is taken over this
	loadSpan  = 20 * time.Second // and the mean of others' load at a worker over this

	lossesToShun = 2                      // connections lost in a row before a worker counts as unreachable
	failsToShun  = 3                      // so many failures in a row are no chance
	firstShun    = 250 * time.Millisecond // a shunned worker gets one job after this, then after twice this ...
	mostStrikes  = 4                      // ... doubled up to this often ...
	lostStrikes  = 5                      // ... and at once this often where a trial may cost a job
	silentRuns   = 1.5                    // progress news missing for this many periods is silence
	silentSlack  = 300 * time.Millisecond // and this for the way
	silentLeast  = time.Second            // silence where no progress news is due
	idleLeast    = 200 * time.Millisecond // a connection used since is open
	idleMemory   = 15 * time.Second       // how long a lost idle connection is remembered

	probeEvery  = time.Second     // where reports come by probe ...
	probersMost = 2               // ... from so many dispatchers at most; of more each asks less often
	coldShare   = 0.6             // part of the cold budget that is used: work is known by its mean only ...
	coldJob     = 4               // ... and at first by an aim, of which it is a multiple, ...
	coldDoubt   = 4               // ... as if so many jobs had been served
	sendLate    = time.Second / 5 // so late a pushed job may leave, about: a connection must come up
	jamMost     = 0.3             // part of the recent jobs that waited: beyond it cold workers get theirs first

	askLeast   = 100 * time.Millisecond // asking for the list anew: the wait of one that is alone, ...
	askSpread  = 50 * time.Millisecond  // ... so much more for each dispatcher, as a spread, ...
	askFirst   = 3 * time.Second        // ... and the longest of the first, behind a start
	tickMost   = 20 * time.Millisecond  // pause between looks while something is held
	tickIdle   = 200 * time.Millisecond // and while nothing is open
	stallLeast = 100 * time.Millisecond // a turn that comes so late: this process stood still
)

// Handle takes one event and returns what to do. The result is valid until the next call.
func (d *Dispatcher) Handle(now Clock, ev Event) []Action {
	d.now = max(d.now, now)
	d.acts = d.acts[:0]
	d.first = cmp.Or(d.first, d.now)
	// After a standstill of this process or machine all that came is found at once: nobody was silent.
	if d.ticking && d.now > d.tickAt+stallLeast && d.now != d.stalled {
		d.stalled = d.now
		for _, w := range d.workers {
			w.heard = d.now
		}
	}
	switch e := ev.(type) {
	case Listed:
		d.onListed(e)
	case Arrived:
		d.onArrived(e)
	case Finished:
		d.onFinished(e)
	case Probed:
		d.onProbed(e)
	case Began:
		d.onBegan(e)
	case Progressed:
		if _, a := d.attempt(e.ID, e.Attempt); a != nil {
			d.heard(a.w)
		}
	case Left:
		if r := d.open[e.ID]; r != nil {
			d.finish(r)
		}
	case Ending:
		d.ends = e.At
		for _, r := range d.order {
			r.expires = min(r.expires, d.ends)
		}
		d.do(Wake{Token: endToken, After: d.ends - d.now + d.set.AnswerSlack/2}) // looks are too seldom for it
	case Detached:
		d.byHand(e.Worker, true)
	case Attached:
		d.byHand(e.Worker, false)
	case Succeeded:
		d.adopt(e.Experience)
	case Retuned:
		d.retune(e.Settings)
	case Shared:
		d.processes = max(e.Processes, 1)
	case Woke:
		switch {
		case e.Token == askToken:
			d.do(Subscribe{})
		case e.Token == endToken:
			d.look()
		case e.Token == tickToken && d.now >= d.tickAt: // else an older timer; a later one is set
			d.ticking = false
			if d.now != d.stalled { // else what has come must be read first
				d.look()
			}
		}
	}
	d.place()
	if len(d.order) > 0 || d.set.ReportsPulled {
		pause := tickIdle
		if len(d.held) > 0 {
			pause = d.tick()
		} else if slices.ContainsFunc(d.order, func(r *request) bool { return r.has(waiting) }) {
			pause = copyGrace + time.Millisecond
		}
		if at := d.now + pause; !d.ticking || at < d.tickAt { // else a look is due before
			d.ticking, d.tickAt = true, at
			d.do(Wake{Token: tickToken, After: pause})
		}
	}
	return d.acts
}

// ---- Membership ----

func (d *Dispatcher) onListed(e Listed) {
	if e.Kind == ListFull || e.Kind == ListSaved {
		for _, w := range d.workers {
			w.listed = false
		}
	}
	for _, in := range e.Workers {
		d.enter(in)
	}
	d.choose()
	switch e.Kind {
	case ListSaved:
		d.ask(askFirst)
	case ListFailed:
		d.ask(AskMost)
	}
}

// byHand puts a worker out, or back. Then it is cold: by the list, or, where that tells of no start since it
// was put out, from now on, as the news may be still to come.
func (d *Dispatcher) byHand(id WorkerID, out bool) {
	w := d.byID[id]
	if d.out[id] = out; !out {
		delete(d.out, id)
	}
	if w == nil || w.out == out {
		return
	}
	if w.out, w.nextProbe = out, 0; out {
		w.outAt = d.now
	} else {
		d.anew(w)
		if w.back = true; w.Since < w.outAt {
			w.Since = d.now
		}
	}
	d.choose()
}

// ask subscribes after a jittered wait, the longer the more dispatchers there are: the list service is small,
// and those that restart together would overrun it. Behind a failure it is AskMost at the longest: what there
// is to tell counts as told 6 s after it could be had, whatever failed; pacing has the sum of these.
func (d *Dispatcher) ask(most time.Duration) {
	if d.set.Ask {
		wait := askLeast + min(askSpread*time.Duration(d.set.Dispatchers), most-askLeast)
		d.do(Wake{Token: askToken, After: time.Duration(float64(wait)*(0.2+0.8*d.rng.Float64())) + 1})
	}
}

// choose picks the workers that jobs are drawn to. Where jobs have keys it is all: what a key needs is at
// its homes, the same for every dispatcher. Else, on a fleet large against the own job rate, it is few: of
// too many a dispatcher hears so seldom that it knows none. All deal the workers of a zone out along the same
// few rings, each from a place by its number, so every worker is drawn from by about as many. The window goes
// on past workers that are shunned, cold or leave.
func (d *Dispatcher) choose() {
	d.chosen, d.near, d.size = d.now, d.near[:0], 0
	var zones [2][]*worker // the own zone, and all others
	for _, w := range d.workers {
		if z := oneIf(w.Zone != d.set.Zone); w.listed && !w.out {
			zones[z] = append(zones[z], w)
			d.size += w.size()
		}
	}
	d.all = len(zones[0]) + len(zones[1])
	all := float64(d.all)
	want := int(math.Ceil(max(nearLeast, nearSpan*d.rate, 2*all/float64(d.set.Dispatchers))))
	if d.small = all <= max(nearAll*d.rate, float64(want)); d.small || d.keyed {
		d.near = append(d.near, d.workers...)
		d.encircle()
		d.cursor %= max(len(d.near), 1)
		return
	}
	d.window(zones[0], want)
	d.window(zones[1], want)
	d.cursor = 0
}

// window adds so many sound, warm workers along the ring, and the cold ones that this dispatcher owns.
func (d *Dispatcher) window(ws []*worker, want int) {
	ring := d.set.Me % nearRings * 64 / nearRings // a rotated hash gives another order
	slices.SortFunc(ws, func(a, b *worker) int {
		return cmp.Compare(bits.RotateLeft64(a.hash, ring), bits.RotateLeft64(b.hash, ring))
	})
	from := int(float64(len(ws)) * float64(bits.Reverse64(uint64(d.set.Me/nearRings))) / (1 << 64))
	for i := range ws {
		w := ws[(from+i)%len(ws)]
		cold := d.warmth(w) < 1
		if cold && d.part(w) > 0 || !cold && want > 0 {
			d.near = append(d.near, w)
		}
		if !cold && w.strikes == 0 {
			want--
		}
	}
}

// ---- Load values ----

// share is the part of the worker that so many slots take.
func (d *Dispatcher) share(w *worker, slots float64) float64 {
	if t := d.slots(w); t > 0 {
		return slots / t
	}
	return slots * w.increment
}

// slots is the estimated number of slots: the most seen free on the worker or another of its kind; or 0.
func (d *Dispatcher) slots(w *worker) float64 { return max(w.total, d.kindTop[w.Kind]) }

// value is the load value: the reported load less our own jobs of that time, and a bump for each job known
// to be out now. Departures: an answer takes its bump back, and others' part fades as jobs end, or all herd
// on the worker that was idle when last heard of: towards the fleet's mean where all are known, else towards
// the worker's own, which tells slow and small ones.
func (d *Dispatcher) value(w *worker) float64 {
	mean, keep := w.usual, 0.0
	if w.reported > 0 { // one that has just joined is no part of the mean yet
		if d.small {
			mean = d.others
		}
		keep = math.Exp(-float64(d.now-w.reported) / float64(max(seconds(d.stay), ownMemory)))
	}
	off := (w.base - mean) * keep
	band := d.share(w, d.doubt(w))            // chance in what others have sent since
	off = max(off-band, 0) + min(off+band, 0) // within it all are ties: they herd else
	v := mean + off + d.share(w, w.own)
	if w.waiting > 0 || d.now < w.full { // it is full, whatever its reports say
		v = max(v, 1)
	}
	return v
}

// doubt is the chance in what others have sent to a worker since its report: the root of how many jobs
// that were, by the own job rate, and never more than the other dispatchers.
func (d *Dispatcher) doubt(w *worker) float64 {
	others := float64(d.set.Dispatchers - 1)
	since := min(d.now-w.reported, max(seconds(d.stay), ownMemory)) + ownMemory
	return math.Sqrt(min(others, others*d.rate*since.Seconds()/float64(max(len(d.workers), 1))))
}

// drag is how much longer a job holds a slot here: 1 on the ordinary path; more for a cold worker, at first
// by its age, and for one whose jobs take much longer than like jobs elsewhere.
func (d *Dispatcher) drag(w *worker) float64 {
	feared := -math.Log(d.warmth(w)) // by the rules; most are better, which their jobs tell
	slow := math.Exp((w.lag + w.lagOut + slowDoubt*feared) / (w.jobs + w.jobsOut + slowDoubt))
	if feared == 0 && slow <= slowFrom {
		return 1
	}
	return max(slow, 1)
}

// told resets the value by a report.
func (d *Dispatcher) told(w *worker, r *Report) {
	if r == nil {
		return
	}
	busy, held, free := sane(r.Busy), sane(r.Requests), sane(r.FreeSlots)
	if free > 0 {
		d.seen(w, free+max(held, 0))
	}
	total := d.slots(w)
	load := busy
	switch {
	case held >= 0 && total > 0: // utilisation ends at 1; requests held tell the queue too
		load = held / total
	case load < 0 && free >= 0 && total > 0:
		load = 1 - free/total
	case load < 0:
		return
	}
	d.bump(w, 0)
	if q := sane(r.Queue); d.small && q >= 0 && free >= 0 && total > 0 {
		d.traces.add(total-free+q, w.ownMean, w.calledOff.at(d.now))
	}
	w.load = load
	w.base = max(load-d.share(w, w.ownMean), 0)
	since := w.reported
	w.reported, w.full = d.now, 0
	w.usual += (1 - math.Exp(-float64(d.now-since)/float64(loadSpan))) * (w.base - w.usual)
	sum, n := 0.0, 0.0
	for i := 0; d.small && i < len(d.near); i++ { // else it is not used
		if w := d.near[i]; w.listed && w.reported > d.now-2*silentLeast { // old ones would hold all after a cut
			sum, n = sum+w.base, n+1
		}
	}
	d.others = sum / max(n, 1)
}

// ---- Pick ----

// room tells whether one more job of so many slots leaves the worker's queue short enough.
func (d *Dispatcher) room(w *worker, slots, allow float64) bool {
	if w.own == 0 && d.warmth(w) < 1 && d.value(w) < 1 {
		return true // its budget decides; held back by its pace as well, it would stay cold for longer
	}
	try := d.unheard(w) && (d.trials == 0 || d.trials*d.set.Dispatchers < len(d.workers))
	if w.own == 0 && d.drag(w) == 1 && (try || d.allow >= 0 && d.value(w) < 0.5) {
		return true // a wide job must go somewhere, and without a job there may be no further report
	}
	// Where none is out, to hold back relieves nobody, and nothing is heard that raises the allowance again.
	floor := -float64(min(w.own, 1))
	return (d.value(w)+d.share(w, slots-roundDown))*d.drag(w) <= 1+max(allow, floor)+tieBand
}

// unheard tells whether a job is needed to hear of a worker: one at a time from all dispatchers, about.
func (d *Dispatcher) unheard(w *worker) bool {
	return !d.set.ReportsPulled && d.now-w.reported > silentLeast
}

// pick gives the worker of the lowest load value among those that may take the request, or nil.
func (d *Dispatcher) pick(r *request, allow float64) *worker {
	fit := func(w *worker) bool { return d.sound(w, r.class) && !r.tried(w) }
	can := func(w *worker) bool { return d.may(r, w) && fit(w) }
	from, forced := d.nearOf(r.key), false
	if !slices.ContainsFunc(from, can) {
		from, forced = d.workers, !slices.ContainsFunc(d.workers, can)
	}
	crossing, pace := d.set.CrossZonePrice*vagueWeight, d.kindLag
	if d.small { // loads are known well, and tell the pace too
		crossing, pace = d.set.CrossZonePrice*zoneWeight, nil
	}
	spread := d.spread(r.key) / max(d.size, 1e-3)
	var best *worker
	least, at := math.Inf(1), 0
	for i := range from {
		n := (d.cursor + i) % len(from)
		w := from[n]
		if !d.may(r, w) || !forced && !fit(w) || !d.room(w, r.slots, allow) || !d.affords(w, r) {
			continue
		}
		v := d.value(w)
		v += (d.drag(w)*math.Exp(pace[w.Kind])-1)*(v+d.share(w, r.slots)) + faultWeight*w.faulty(d.now)
		if w.Zone != d.set.Zone {
			v += crossing
		}
		if w.own == 0 && (w.back || d.jam > jamMost && d.warmth(w) < 1) { // put back by hand, or of use now
			v -= 2 * awayValue
		}
		if r.key != 0 {
			// Departure where jobs have keys: workers with a free slot count as ties, the more so the lower
			// their value, and the rotation starts at the key's own place: one that ran the key before has
			// what others fetch. One that got too much, or where jobs wait until called off, keeps fewer.
			if v > -awayValue && (v+d.share(w, r.slots-roundDown))*d.drag(w) <= 1 {
				v = max(w.homes(r.key), spread)*(1+v+w.passed.at(d.now))*d.crowd(w) - awayValue
			}
		}
		if v < least-tieBand || v < least+tieBand && w.turn < best.turn-tieBand {
			best, least, at = w, min(v, least), n
		}
	}
	if best != nil {
		d.cursor = (at + 1) % len(from)
	}
	return best
}

// may tells whether the rules let the request go to the worker at all.
func (d *Dispatcher) may(r *request, w *worker) bool {
	c := &r.set.Classes[r.class]
	if !w.listed || w.out || r.away(w.Zone) || c.Kind >= 0 && c.Kind != w.Kind {
		return false
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.maybe {
			continue
		}
		switch {
		case a.out && !r.set.MayCopy, c.Effect == Unsafe:
			return false
		case c.Effect == Safe:
		case d.now >= d.repeatBy(r), c.Scope == ScopeZone && a.w.Zone != w.Zone,
			c.Scope == ScopeCell && a.w.Cell != w.Cell:
			return false
		}
	}
	return len(r.attempts) < r.set.MaxAttempts
}

// repeatBy is when the last byte of a further attempt must have left, or 0: repeats are dropped for the
// window of their class from the first attempt that may have run, which left no sooner than it was pushed.
func (d *Dispatcher) repeatBy(r *request) Clock {
	c := &r.set.Classes[r.class]
	if i := slices.IndexFunc(r.attempts, maybe); i >= 0 && c.Effect == Keyed {
		return r.attempts[i].sent + c.Window - d.tick()
	}
	return 0
}

// ---- Request life ----

func (d *Dispatcher) onArrived(e Arrived) {
	if d.open[e.ID] != nil {
		return
	}
	class := e.Class
	if class < 0 || class >= len(d.set.Classes) {
		class = 0 // an unknown class: the first stands in, at the cost of its rules only
	}
	if sane(e.Slots) <= 0 {
		e.Slots = 1
	}
	c := &d.classes[class]
	over := min(max(d.now-d.first, time.Second), rateSpan)
	d.rate = d.rate*math.Exp(-float64(d.now-d.last)/float64(over)) + 1/over.Seconds()
	d.last = d.now
	if d.ends > 0 {
		e.Expires = min(e.Expires, d.ends)
	}
	left := e.Expires - d.now
	c.span = max(c.span, left)
	d.seq++
	if e.Key != 0 {
		if !d.keyed {
			d.keyed = true
			d.choose()
		}
		d.keys.add(e.Key, keyMemory*d.all)
	}
	r := &request{
		id: e.ID, set: d.set, class: class, slots: e.Slots, key: e.Key,
		hint: max(e.Work, 0), expires: e.Expires, seq: d.seq,
		born: d.now, within: e.Within,
	}
	// A repeat has less time left than a first try; one with very little is an impatient client's.
	if left > c.span/2 {
		r.born = min(d.now, e.Expires-c.span)
	}
	d.open[e.ID] = r
	d.order = append(d.order, r)
	if left <= d.tick() { // too late for anything but the answer
		d.answer(r)
		return
	}
	d.held = append(d.held, r)
}

// work estimates the running time of a request; 0 when nothing is known.
func (d *Dispatcher) work(r *request) float64 {
	scale := d.classes[r.class].scale
	if r.hint > 0 {
		return cmp.Or(scale, 1) * r.hint.Seconds()
	}
	return scale
}

// slack is how long a request can still wait for a slot and be in time.
func (d *Dispatcher) slack(r *request) time.Duration {
	c := &r.set.Classes[r.class]
	run := seconds(d.work(r))
	if r.hint <= 0 {
		run = seconds(workShare * d.work(r))
	}
	in := min(c.Aim+time.Duration((c.Stretch-1)*float64(run)), max(c.Deadline-run, c.Aim))
	return min(r.born+in, r.expires-run) - d.now
}

// patience is how long a request whose late answer is worth nothing may wait for its start: as long as it can
// be in time. Where its own need is not told that is a like job's, and the less the more of the recent jobs
// waited, down to half its aim: where all wait, what begins has waited as long as it may, and some fail.
func (d *Dispatcher) patience(r *request) time.Duration {
	most := d.slack(r) + d.now - r.born
	if r.hint > 0 {
		return most
	}
	return most + seconds(d.jam*(r.set.Classes[r.class].Aim/2-most).Seconds())
}

// place pushes what is held, as far as there is room: what can still be in time first, then by worth for its
// work, then the youngest (under overload the old ones are nearly lost, and would make all late).
func (d *Dispatcher) place() {
	if len(d.held) == 0 {
		return
	}
	d.held = slices.DeleteFunc(d.held, func(r *request) bool { return r.done })
	if len(d.held) > 1 {
		slices.SortStableFunc(d.held, func(a, b *request) int {
			late := cmp.Compare(min(d.slack(b), 0), min(d.slack(a), 0))
			if d.slack(a) < 0 && d.slack(b) < 0 {
				late = 0
			}
			return cmp.Or(late, cmp.Compare(d.density(b), d.density(a)), cmp.Compare(b.seq, a.seq))
		})
	}
	// A slot that comes free is worth most to a job whose key is at home there; then to any.
	for _, homely := range [...]bool{true, false} {
		full := false
		d.held = slices.DeleteFunc(d.held, func(r *request) bool {
			if full && len(r.attempts) == 0 || homely && r.key == 0 {
				return false
			}
			w := d.pick(r, d.allow)
			full = full || w == nil && len(r.attempts) == 0
			if w == nil || homely && !d.home(r, w) {
				return false
			}
			d.send(r, w)
			return true
		})
	}
}

// crowd is how far a worker's part of the recent jobs is over the part that its size makes fair; 1 at least.
// The own ones are a sample of all.
func (d *Dispatcher) crowd(w *worker) float64 {
	doubt := max(crowdDoubt/float64(max(d.set.Dispatchers, 2)), crowdLeast)
	return max((w.recent.at(d.now)+doubt)/(d.recent.at(d.now)/max(d.size, 1e-3)+doubt), 1)
}

// spread is how many of a key's homes count alike for it: as many as its part of the own jobs fills, by what
// a sample of so few at least shows (a standard deviation less). All dispatchers sample the same jobs: a hot
// key must not wait at its first home to find its second, nor a rare one be fetched where it is not kept.
func (d *Dispatcher) spread(key uint64) float64 {
	came := d.keys.count[key] - 1 // beside this one
	homes := keyRoom * float64(d.all) * (came - math.Sqrt(max(came, 0))) / d.keys.total
	if homes <= 1 {
		return 0
	}
	return homes
}

// home tells whether the worker is one of the first in the rotation of the request's key.
func (d *Dispatcher) home(r *request, w *worker) bool {
	before, own := 0, w.homes(r.key)
	for _, o := range d.nearOf(r.key) {
		before += oneIf(o.listed && o.homes(r.key) < own)
	}
	return before < homesOfKey
}

// density is what a request is worth for each unit of its work.
func (d *Dispatcher) density(r *request) float64 {
	worth := r.set.Classes[r.class].Worth
	if d.set.WorthByWork {
		return worth
	}
	return worth / max(d.classes[r.class].scale, 1e-3)
}

func (d *Dispatcher) send(r *request, w *worker) {
	if w.own == 0 {
		w.heard = d.now
	}
	for _, h := range []*health{&w.health, &w.classes[r.class]} {
		if h.strikes > 0 { // a trial: the next one waits
			h.until = d.now + d.shunTime(h)
		}
	}
	idle := d.now - cmp.Or(w.used, d.now)
	if w.used = d.now; d.idleSafe > 0 && d.now < d.idleLost+idleMemory && (w.own > 0 || idle*5 > d.idleSafe*4) {
		// What idle connections carry may be lost; a new one costs a little.
		d.do(Drop{Worker: w.ID, Idle: d.idleSafe * 4 / 5})
		idle = 0
	}
	if d.warmth(w) < 1 {
		w.sent = append(w.sent, spend{d.now, d.cost(r)})
	}
	d.bump(w, r.slots)
	w.turn += 1 / w.size()
	w.recent.add(d.now, 1/w.size())
	d.recent.add(d.now, 1)
	if w.pushes++; w.pushes >= pushesToHalve {
		w.increment, w.pushes = max(w.increment/2, leastIncrement), 0
	}
	by := d.repeatBy(r)
	a := attempt{w: w, sent: d.now, out: true, maybe: true, idle: idle, trial: w.own == r.slots && d.unheard(w)}
	if a.trial {
		d.trials++
	}
	r.attempts = append(r.attempts, a)
	d.do(Send{ID: r.id, Worker: w.ID, By: by})
}

func (d *Dispatcher) onBegan(e Began) {
	r, a := d.attempt(e.ID, e.Attempt)
	if a == nil {
		return
	}
	d.heard(a.w)
	if a.began == 0 {
		a.began, a.w.back = d.now, false
		d.ways[a.w.Zone] = min(cmp.Or(d.ways[a.w.Zone], mostWay), d.now-a.sent)
		d.learnWait(r, a)
		if a.lost {
			a.lost = false
			d.bump(a.w, r.slots)
		}
		a.w.running += r.slots
		if a.w.running > max(a.w.total, 1/a.w.increment) {
			d.seen(a.w, a.w.running)
		}
	}
	r.streamed = r.streamed || e.Streamed
	d.callOff(r, func(b *attempt) bool { return b != a && b.began == 0 })
}

// learnWait moves the allowance: up while requests are held here though jobs start soon; down where they wait
func (d *Dispatcher) learnWait(r *request, a *attempt) {
	if d.now == d.stalled {
		return
	}
	wait := d.now - a.sent - d.ways[a.w.Zone]
	d.waited(a.w, wait > waitGrace)
	spare := d.slack(r) + d.now - r.born
	step := d.allowBy()
	switch {
	case float64(wait) > waitShare*float64(spare):
		d.allow = max(d.allow-step, leastAllow)
	case d.drag(a.w) > 1: // kept short by its pace: that a job starts there soon tells nothing of the others
	case len(d.held) > 0:
		d.allow = min(d.allow+step, mostAllow)
	case d.allow < firstAllow:
		d.allow += step
	}
}

// allowBy is how far one job moves the allowance.
func (d *Dispatcher) allowBy() float64 {
	if d.small {
		return min(allowStep*float64(d.set.Dispatchers), mostStep)
	}
	return allowStep
}

func (d *Dispatcher) onFinished(e Finished) {
	r, a := d.attempt(e.ID, e.Attempt)
	if a == nil {
		return
	}
	w := a.w
	a.out = false
	if e.Idle >= 0 {
		a.idle = e.Idle
	}
	if a.trial {
		d.trials--
	}
	a.maybe = e.Outcome != Full && e.Outcome != NoConnect && e.Outcome != NeverSent && e.Outcome != Rejected
	if !a.lost {
		d.bump(w, -r.slots)
	}
	if a.began > 0 {
		w.running = max(w.running-r.slots, 0)
	}
	switch e.Outcome {
	case Served:
		w.back = false
		w.classes[r.class].eased()
		d.heard(w)
		d.ran(r, a)
	case Full:
		d.heard(w)
		w.full = d.now + max(seconds(d.stay), ownMemory) // the value is 1 until then
		w.increment, w.pushes = min(2*w.increment, 1), 0
	case Rejected: // the client's fault: a bad client must not get workers shunned
		d.heard(w)
	case NoConnect, Reset:
		if e.Outcome == NoConnect || !d.idleLoss(a) {
			d.lost(w)
		}
	case Errored, TimedOut:
		if e.Outcome == Errored || a.began == 0 && !a.lost {
			d.failed(w, r.class)
		}
	}
	d.told(w, e.Report)
	switch {
	case e.Final || e.Outcome == Served:
		d.finish(r)
	case r.done:
		d.forget(r)
	case e.Outcome == Rejected:
		d.do(Fail{ID: r.id})
		d.finish(r)
	case r.has(out):
	case r.expires-d.now <= d.tick() || !d.canGo(r):
		d.answer(r)
	default:
		d.held = append(d.held, r)
	}
}

// canGo tells whether some listed worker may take the request, now or later.
func (d *Dispatcher) canGo(r *request) bool {
	if !r.has(maybe) {
		return len(r.attempts) < r.set.MaxAttempts
	}
	return slices.ContainsFunc(d.workers, func(w *worker) bool { return d.may(r, w) })
}

// answer gives the final answer: a refusal where a further try is harmless, else a failure.
func (d *Dispatcher) answer(r *request) {
	c := &r.set.Classes[r.class]
	if c.Effect == Safe || c.Effect == Keyed && c.Scope == ScopeAll || !r.has(maybe) {
		d.do(Refuse{ID: r.id, RetryAfter: r.set.MaxRetryAfter})
	} else {
		d.do(Fail{ID: r.id})
	}
	d.finish(r)
}

// finish ends what is owed and calls off what is still out.
func (d *Dispatcher) finish(r *request) {
	r.done = true
	d.callOff(r, func(*attempt) bool { return true })
	d.forget(r)
}

// look is the regular round: overdue requests, copies, silent workers, probes.
func (d *Dispatcher) look() {
	for _, w := range d.workers {
		w.waiting, w.lagOut, w.jobsOut = 0, 0, 0
	}
	d.order = slices.DeleteFunc(d.order, func(r *request) bool { return d.open[r.id] != r })
	for _, r := range d.order {
		for i := range r.attempts {
			a := &r.attempts[i]
			d.checkAttempt(r, a)
			if d.stuck(a, startGrace) && !a.lost {
				a.w.waiting++
			}
			// One that runs for longer than usual tells of a slow worker before it ends.
			if a.out && a.began > 0 {
				if late := d.lateness(r, a); late > 0 {
					a.w.lagOut, a.w.jobsOut = a.w.lagOut+late, a.w.jobsOut+1
				}
			}
		}
	}
	for _, r := range slices.Clone(d.order) {
		if !r.done && !r.streamed {
			d.review(r)
		}
	}
	if d.now-d.chosen >= nearFresh {
		d.choose()
	}
	pause := float64(probeEvery) * max(float64(d.set.Dispatchers)/probersMost, 1)
	if len(d.near) < len(d.workers) { // else every dispatcher asks every worker
		pause = float64(probeEvery)
	}
	for _, w := range d.near {
		if w.nextProbe == 0 { // many dispatchers that start, or hear of it, at once would overrun it
			w.nextProbe = d.now + time.Duration(d.rng.Float64()*(pause-float64(probeEvery)))
		}
		if d.set.ReportsPulled && d.set.MayProbe && w.listed && !w.out && !w.probing && d.now >= w.nextProbe {
			// Spread, so that not all workers are known equally late, nor all dispatchers at once.
			w.probing, w.nextProbe = true, d.now+time.Duration((0.75+d.rng.Float64()/2)*pause)
			d.do(Probe{Worker: w.ID})
		}
	}
}

// stuck tells whether an attempt should have begun by now.
func (d *Dispatcher) stuck(a *attempt, grace time.Duration) bool {
	return a.out && a.began == 0 && d.set.TellsStart && d.now-a.sent > grace+newWays*d.ways[a.w.Zone]
}

// review looks at one open request. One that nobody will begin in time is given up, unless workers were seen
// to keep what is called off: it is in the way all the same, and its client comes again. Where copies are
// allowed and loads known roughly, one that has not begun soon gets another at the next worker, and the first
// to begin calls the others off: a search for a free slot. Where all loads are known it finds none and costs
// what it waits for: there only a worker that says nothing for a usual stay has its jobs copied. Where few
// workers are drawn from, their loads are known as well, but not what others send there, nor whether what is
// called off is kept and runs for nothing: there are few copies then, and the fewer the more jobs wait.
func (d *Dispatcher) review(r *request) {
	var last *attempt
	begun, sound := false, false
	for i := range r.attempts {
		if a := &r.attempts[i]; a.out {
			last, begun, sound = a, begun || a.began > 0, sound || d.sound(a.w, r.class)
		}
	}
	c := &r.set.Classes[r.class]
	late := c.LateWorth <= 0 && d.now-r.born > d.patience(r)
	switch {
	case last == nil:
		if r.expires-d.now <= 2*d.tick() || late {
			d.answer(r)
		}
	case d.now >= r.expires+r.set.AnswerSlack/2:
		d.do(Fail{ID: r.id})
		d.finish(r)
	case late && !begun && d.set.TellsStart && d.traces.kept() < keptMost: // its turn comes too late: given up
		d.waited(last.w, true)
		d.allow = max(d.allow-d.allowBy(), leastAllow)
		d.answer(r)
	case c.Effect == Unsafe || last.canceled || begun && sound || len(r.attempts)+1 >= r.set.MaxAttempts:
	case r.set.MayCopy && r.set.MayCancel:
		stuck := d.stuck(last, copyGrace+seconds(d.jam*jamGrace.Seconds()))
		if d.small {
			stuck = d.stuck(last, seconds(cmp.Or(d.stay, 1))) && last.w.heard <= last.sent
		} else if len(d.near) < len(d.workers) {
			stuck = stuck && d.copies.at(d.now) < (jamMost-d.jam)*d.recent.at(d.now)
		}
		if late || !stuck && d.sound(last.w, r.class) {
			return
		}
		if w := d.pick(r, d.allow); w != nil && !r.tried(w) {
			d.copies.add(d.now, 1)
			d.send(r, w)
		}
	case !sound && r.set.MayCancel:
		d.callOff(r, func(*attempt) bool { return true })
	}
}

// ---- Worker health ----

// sound tells whether the class may be sent to the worker: not shunned, or due for a trial.
func (d *Dispatcher) sound(w *worker, class int) bool {
	free := func(h *health) bool { return h.strikes == 0 || d.now >= h.until }
	return free(&w.health) && free(&w.classes[class])
}

func (d *Dispatcher) shunTime(h *health) time.Duration {
	return time.Duration((1 + d.rng.Float64()/4) * float64(firstShun<<h.strikes))
}

func (d *Dispatcher) shun(w *worker, h *health, least int, why string) {
	if h.strikes == 0 {
		d.do(Log{Text: fmt.Sprintf("worker %s shunned: %s", w.ID, why)})
	}
	h.strikes = max(h.strikes, min(h.strikes+1, mostStrikes), least)
	h.until = d.now + d.shunTime(h)
}

// lost counts a connection that broke or never came up; one alone, with signs of life about it, is chance.
func (d *Dispatcher) lost(w *worker) {
	if w.fails++; w.fails >= lossesToShun {
		d.shun(w, &w.health, 0, "unreachable")
	}
}

// failed counts a failure of a class; successes of other classes do not clear it. Where one class is shunned
// a failure of another is no chance: what fails at once draws jobs, a dozen of four classes each time.
func (d *Dispatcher) failed(w *worker, class int) {
	h := &w.classes[class]
	w.failures.add(d.now, 1)
	ill := slices.ContainsFunc(w.classes, func(h health) bool { return h.strikes > 0 })
	if h.fails++; h.fails >= failsToShun || ill {
		d.shun(w, h, 0, fmt.Sprintf("keeps failing class %d", class))
	}
}

// checkAttempt looks for silence: of a worker from which nothing at all is heard, and of a single job at a
// worker that lives, and by a later report has a free slot. That job is lost: an idle connection was dropped
// unseen, or the worker leaves its class unanswered. May hurt where reports tell too little load.
func (d *Dispatcher) checkAttempt(r *request, a *attempt) {
	w := a.w
	limit := max(time.Duration(silentRuns*float64(d.set.Progress))+silentSlack, silentLeast)
	switch {
	case !a.out || !d.set.TellsStart || a.lost:
	case d.now-w.heard > limit && (d.set.Progress > 0 || w.running == 0):
		if d.sound(w, r.class) && w.listed {
			d.shun(w, &w.health, 0, "silent")
		}
	case d.stuck(a, silentLeast+ownMemory) && w.reported > a.sent+silentLeast && w.load < 1-d.share(w, 0.5):
		a.lost = true
		d.bump(w, -r.slots)
		if !d.idleLoss(a) {
			d.shun(w, &w.classes[r.class], lostStrikes, fmt.Sprintf("class %d unanswered", r.class))
		}
	}
}

// idleLoss tells whether an attempt was lost with an idle connection: older ones are then dropped before use.
func (d *Dispatcher) idleLoss(a *attempt) bool {
	if a.idle < idleLeast || a.began > 0 {
		return false
	}
	if d.idleSafe = min(d.idleSafe, a.idle); d.idleSafe == 0 || d.now > d.idleLost+idleMemory {
		d.idleSafe = a.idle
	}
	d.idleLost = d.now
	return true
}

func (d *Dispatcher) onProbed(e Probed) {
	w := d.byID[e.Worker]
	if w == nil {
		return
	}
	w.probing = false
	if e.Outcome == Served {
		d.heard(w)
		if e.Report != nil && *e.Report != w.last { // else not refreshed since: it is as old as it was
			w.last = *e.Report
			d.told(w, e.Report)
		}
		return
	}
	if e.Outcome == NoConnect || e.Outcome == TimedOut {
		d.lost(w)
	}
}

// ---- Cold budget ----

// affords tells whether a cold worker may be sent the request within this dispatcher's part of what it can
// stand. Who was here before, and was killed, may have sent its part to one that was there by then.
func (d *Dispatcher) affords(w *worker, r *request) bool {
	if d.warmth(w) == 1 || d.set.TipMultiple <= 0 || d.set.Fall <= 0 {
		return true
	}
	span := d.set.Fall + sendLate
	if w.Since <= d.first && !d.heir && d.now < d.first+span {
		return false
	}
	w.sent = slices.DeleteFunc(w.sent, func(s spend) bool { return s.at < d.now-span })
	spent := d.cost(r)
	for _, s := range w.sent {
		spent += s.work
	}
	part := d.part(w)
	return spent <= part || len(w.sent) == 0 && part > 0 // a job of its turn, be it short or long
}

// budget is the work that a cold worker may be sent within any Fall by all dispatchers together.
func (d *Dispatcher) budget(w *worker) float64 {
	work := d.warmth(w) * max(d.slots(w), 1) * d.set.Fall.Seconds()
	return coldShare / float64(d.processes) * d.set.TipMultiple * work
}

// part is this dispatcher's part of that. Of the jobs that fill the budget each has one in turn, beginning
// at a place that follows from the worker's id: who reckons with another budget, or with other jobs, has its
// own turns all the same, and all together send no more than the largest of these budgets.
func (d *Dispatcher) part(w *worker) float64 {
	n, job := uint64(d.set.Dispatchers), d.job()
	turn, jobs := float64((uint64(d.set.Me)+w.hash%n)%n), max(d.budget(w)/job, 1)
	return job * max(math.Ceil((math.Floor(jobs)-turn)/float64(n)), 0) * jobs / math.Floor(jobs)
}

// job is the mean work of a job, as cautious as so few that were served make it: short ones end first.
func (d *Dispatcher) job() float64 {
	known := float64(d.jobs)
	guess := coldDoubt * coldJob * cmp.Or(d.set.Classes[0].Aim.Seconds(), 1)
	return (d.mean*known + guess) / (known + coldDoubt) * vague(d.jobs)
}

// vague is how far a mean of so many jobs may be too low, about.
func vague(jobs int) float64 { return 1 + 1/math.Sqrt(1+min(float64(jobs), 1/(1-classMemory))) }

// cost is the work that a request may bring, in slot-seconds.
func (d *Dispatcher) cost(r *request) float64 {
	work := cmp.Or(d.work(r), coldJob*r.set.Classes[r.class].Aim.Seconds())
	return work * r.slots * vague(d.classes[r.class].jobs)
}

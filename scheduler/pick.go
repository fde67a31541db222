// Which worker takes a request.

package scheduler

import (
	"math"
	"slices"
)

// hasRoom tells whether one more job of so many slots leaves the worker's queue short enough.
func (d *Scheduler) hasRoom(w *worker, slots, allow float64) bool {
	if w.own == 0 && d.warmth(w) < 1 && d.value(w) < 1 {
		return true // its budget decides; held back by its pace as well, it would stay cold for longer
	}
	try := d.unheard(w) && (d.trials == 0 || d.trials*d.set.Dispatchers < len(d.workers))
	if w.own == 0 && d.slowdown(w) == 1 && (try || d.allow >= 0 && d.value(w) < 0.5) {
		return true // a wide job must go somewhere, and without a job there may be no further report
	}
	// Where none is out, to hold back relieves nobody, and nothing is heard that raises the allowance again.
	floor := -float64(min(w.own, 1))
	return (d.value(w)+d.share(w, slots-roundDown))*d.slowdown(w) <= 1+max(allow, floor)+tieBand
}

// unheard tells whether a job is needed to hear of a worker: one at a time from all dispatchers, about.
func (d *Scheduler) unheard(w *worker) bool {
	return !d.set.ReportsPulled && d.now-w.reported > silentLeast
}

// pick gives the worker of the lowest load value among those that may take the request, or nil. One that may have begun to drain
// unheard is checked first; where it does not answer soon, another one is taken.
func (d *Scheduler) pick(r *request, allow float64) *worker {
	best := d.best(r, allow, d.checkable)
	if best == nil || d.fresh(best) {
		return best
	}
	d.check(best)
	if d.now < best.probedAt+checkWait { // a worker that is further down costs more than its answer takes
		return nil
	}
	return d.best(r, allow, d.fresh)
}

// best gives the worker of the lowest load value among the eligible ones that may take the request, or nil.
func (d *Scheduler) best(r *request, allow float64, eligible func(*worker) bool) *worker {
	fit := func(w *worker) bool { return d.sound(w, r.class) && !r.tried(w) }
	can := func(w *worker) bool { return eligible(w) && d.may(r, w) && fit(w) }
	from, forced := d.nearOf(r.key), false
	if !slices.ContainsFunc(from, can) {
		from, forced = d.workers, !slices.ContainsFunc(d.workers, can)
	}
	crossing, pace := d.set.CrossZoneCost*fewKnownWeight, d.kindLag
	if d.small { // loads are known well, and tell the pace too
		crossing, pace = d.set.CrossZoneCost*zoneWeight, nil
	}
	spread := d.homesInUse(r.key) / max(d.size, 1e-3)
	var best *worker
	least, at := math.Inf(1), 0
	for i := range from {
		n := (d.cursor + i) % len(from)
		w := from[n]
		if !eligible(w) || !d.may(r, w) || !forced && !fit(w) || !d.hasRoom(w, r.slots, allow) || !d.affords(w, r) {
			continue
		}
		v := d.value(w)
		v += (d.slowdown(w)*math.Exp(pace[w.MachineKind])-1)*(v+d.share(w, r.slots)) + faultWeight*w.faulty(d.now)
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
			if v > -awayValue && (v+d.share(w, r.slots-roundDown))*d.slowdown(w) <= 1 {
				v = max(w.homes(r.key), spread)*(1+v+w.passed.at(d.now))*d.overuse(w) - awayValue
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
func (d *Scheduler) may(r *request, w *worker) bool {
	c := &r.set.Classes[r.class]
	if !w.listed || w.out || r.away(w.Zone) || c.MachineKind >= 0 && c.MachineKind != w.MachineKind {
		return false
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.maybe {
			continue
		}
		switch {
		case a.out && !r.set.MayHedge, c.Idempotency == NonIdempotent:
			return false
		case c.Idempotency == Idempotent:
		case d.now >= d.repeatBy(r), c.DeduplicationScope == ScopeZone && a.w.Zone != w.Zone,
			c.DeduplicationScope == ScopeCell && a.w.Cell != w.Cell:
			return false
		}
	}
	return len(r.attempts) < r.set.MaxAttempts
}

// repeatBy is when the last byte of a further attempt must have left, or 0: repeats are dropped for the
// window of their class from the first attempt that may have run, which left no sooner than it was pushed.
func (d *Scheduler) repeatBy(r *request) Clock {
	c := &r.set.Classes[r.class]
	if i := slices.IndexFunc(r.attempts, maybe); i >= 0 && c.Idempotency == IdempotentWithKey {
		return r.attempts[i].sent + c.DeduplicationWindow - d.tick()
	}
	return 0
}

// overuse is how far a worker's part of the recent jobs is over the part that its size makes fair; 1 at least.
// The own ones are a sample of all.
func (d *Scheduler) overuse(w *worker) float64 {
	doubt := max(crowdDoubt/float64(max(d.set.Dispatchers, 2)), crowdLeast)
	return max((w.recent.at(d.now)+doubt)/(d.recent.at(d.now)/max(d.size, 1e-3)+doubt), 1)
}

// homesInUse is how many of a key's homes count alike for it: as many as its part of the own jobs fills, by what
// a sample of so few at least shows (a standard deviation less). All dispatchers sample the same jobs: a hot
// key must not wait at its first home to find its second, nor a rare one be fetched where it is not kept.
func (d *Scheduler) homesInUse(key uint64) float64 {
	came := d.keys.count[key] - 1 // beside this one
	homes := keyRoom * float64(d.all) * (came - math.Sqrt(max(came, 0))) / d.keys.total
	if homes <= 1 {
		return 0
	}
	return homes
}

// home tells whether the worker is one of the first in the rotation of the request's key.
func (d *Scheduler) home(r *request, w *worker) bool {
	before, own := 0, w.homes(r.key)
	for _, o := range d.nearOf(r.key) {
		before += oneIf(o.listed && o.homes(r.key) < own)
	}
	return before < homesOfKey
}

// density is what a request is worth for each unit of its work.
func (d *Scheduler) density(r *request) float64 {
	worth := r.set.Classes[r.class].PriorityWeight
	if d.set.WeightByWork {
		return worth
	}
	return worth / max(d.classes[r.class].scale, 1e-3)
}

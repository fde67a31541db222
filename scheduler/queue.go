// Requests as they arrive, and in which order those that are held here are sent.

package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

func (d *Scheduler) onArrived(e RequestArrived) {
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
		e.Deadline = min(e.Deadline, d.ends)
	}
	left := e.Deadline - d.now
	c.span = max(c.span, left)
	d.seq++
	if e.AffinityKey != 0 {
		if !d.keyed {
			d.keyed = true
			d.choose()
		}
		d.keys.add(e.AffinityKey, keyMemory*d.all)
	}
	r := &request{
		id: e.ID, set: d.set, class: class, slots: e.Slots, key: e.AffinityKey,
		hint: max(e.EstimatedWork, 0), expires: e.Deadline, seq: d.seq,
		born: d.now, within: e.AllowedZones,
	}
	// A repeat has less time left than a first try; one with very little is an impatient client's.
	if left > c.span/2 {
		r.born = min(d.now, e.Deadline-c.span)
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
func (d *Scheduler) work(r *request) float64 {
	scale := d.classes[r.class].scale
	if r.hint > 0 {
		return cmp.Or(scale, 1) * r.hint.Seconds()
	}
	return scale
}

// slack is how long a request can still wait for a slot and be in time.
func (d *Scheduler) slack(r *request) time.Duration {
	c := &r.set.Classes[r.class]
	run := seconds(d.work(r))
	if r.hint <= 0 {
		run = seconds(workShare * d.work(r))
	}
	in := min(c.LatencyObjective+time.Duration((c.ObjectiveStretch-1)*float64(run)), max(c.Deadline-run, c.LatencyObjective))
	return min(r.born+in, r.expires-run) - d.now
}

// patience is how long a request whose late answer is worth nothing may wait for its start: as long as it can
// be in time. Where its own need is not told that is a like job's, and the less the more of the recent jobs
// waited, down to half its aim: where all wait, what begins has waited as long as it may, and some fail.
func (d *Scheduler) patience(r *request) time.Duration {
	most := d.slack(r) + d.now - r.born
	if r.hint > 0 {
		return most
	}
	return most + seconds(d.jam*(r.set.Classes[r.class].LatencyObjective/2-most).Seconds())
}

// place pushes what is held, as far as there is room: what can still be in time first, then by worth for its
// work, then the youngest (under overload the old ones are nearly lost, and would make all late).
func (d *Scheduler) place() {
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

// Which workers there are, and which of them requests are drawn to.

package scheduler

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"
)

func (d *Scheduler) onListed(e EndpointsUpdated) {
	if e.AsOf != 0 {
		d.listAsOf = e.AsOf
	}
	if e.ListKind == ListFull || e.ListKind == ListCached {
		for _, w := range d.workers {
			w.listed = false
		}
	}
	for _, in := range e.Workers {
		d.enter(in)
	}
	d.choose()
	switch e.ListKind {
	case ListCached:
		d.ask(askFirst)
	case ListFailed:
		d.ask(MaxListRetryDelay)
	}
}

// setDetached puts a worker out, or back. Then it is cold: by the list, or, where that tells of no start since it
// was put out, from now on, as the news may be still to come.
func (d *Scheduler) setDetached(id WorkerID, out bool) {
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
		if w.back = true; w.StartedAt < w.outAt {
			w.StartedAt = d.now
		}
	}
	d.choose()
}

// ask subscribes after a jittered wait, the longer the more dispatchers there are: the list service is small,
// and those that restart together would overrun it. Behind a failure it is AskMost at the longest: what there
// is to tell counts as told 6 s after it could be had, whatever failed; pacing has the sum of these.
func (d *Scheduler) ask(most time.Duration) {
	if d.set.ListPolled {
		d.do(SetTimer{Token: askToken, After: askWait(d.set.Dispatchers, most, d.rng.Float64()) + 1})
	}
}

// FirstAsk is how long behind its start one of so many dispatchers asks for the list, by chance from 0 to 1.
func FirstAsk(dispatchers int, chance float64) time.Duration {
	return askWait(dispatchers, askFirst, chance)
}

func askWait(dispatchers int, most time.Duration, chance float64) time.Duration {
	wait := askLeast + min(askSpread*time.Duration(max(dispatchers-askFew, 0)), most-askLeast)
	return time.Duration(float64(wait) * (askSoonest + (1-askSoonest)*chance))
}

// choose picks the workers that jobs are drawn to. Where jobs have keys it is all: what a key needs is at
// its homes, the same for every dispatcher. Else, on a fleet large against the own job rate, it is few: of
// too many a dispatcher hears so seldom that it knows none. All deal the workers of a zone out along the same
// few rings, each from a place by its number, so every worker is drawn from by about as many. The window goes
// on past workers that are shunned, cold or leave.
func (d *Scheduler) choose() {
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
func (d *Scheduler) window(ws []*worker, want int) {
	ring := d.set.DispatcherIndex % nearRings * 64 / nearRings // a rotated hash gives another order
	slices.SortFunc(ws, func(a, b *worker) int {
		return cmp.Compare(bits.RotateLeft64(a.hash, ring), bits.RotateLeft64(b.hash, ring))
	})
	from := int(float64(len(ws)) * float64(bits.Reverse64(uint64(d.set.DispatcherIndex/nearRings))) / (1 << 64))
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

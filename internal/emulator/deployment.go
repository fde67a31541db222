package emulator

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"brassdale/scheduler"
)

// What one deployment has and another has not: classes, wide jobs and memory, zones, connections, live weights, lists that
// are pushed, reports in answers, and boxes that keep what is called off. All of it is left out where a scenario does not
// set it, and none of it is on sockets.

// Class is one class of jobs. A scenario without classes has one, as its Traffic says.
type Class struct {
	Name           string
	Share          float64 // of the jobs; shares count against each other
	Work           float64 // mean seconds of a job at a slot of speed 1
	Spread         float64 // of the logarithm of a job's work
	Aim            time.Duration
	Stretch        float64 // an answer counts within Aim + Stretch x the job's work
	GiveUp         time.Duration
	PriorityWeight float64 // of a unit of work
	Effect         scheduler.Idempotency
	Scope          scheduler.DeduplicationScope // the group of boxes that drops repeats of a key ...
	Window         time.Duration
	Wide           float64 // share of the jobs that take two slots
}

// classes are the scenario's, one at least.
func (t *Traffic) classes() []Class {
	if len(t.Classes) > 0 {
		return t.Classes
	}
	return []Class{{Share: 1, Work: t.Work, Spread: t.Spread, Aim: t.Aim, Stretch: t.Stretch, GiveUp: t.GiveUp, PriorityWeight: 1,
		Effect: t.Effect, Scope: scheduler.ScopeCell, Window: t.Window}}
}

// virtual tells whether a scenario has any of it.
func (s *Scenario) virtual() bool {
	sized := slices.ContainsFunc(s.Faults, func(f Fault) bool { return f.Kind == Burst || f.Kind == HeavyTail })
	return sized || len(s.Traffic.Classes) > 0 || s.Traffic.Hints || s.Traffic.Memory > 0 || s.Network.Handshake > 0 ||
		s.LiveWeights || s.Queue > 0 || s.Pushed || s.Keeps || s.Reports.Answers
}

// dress gives a job its class and what follows from it.
func (w *world) dress(j *job) {
	t := &w.s.Traffic
	if len(t.Classes) > 0 {
		sum := 0.0
		for _, c := range t.Classes {
			sum += c.Share
		}
		pick := w.drawn.Float64() * sum
		for i, c := range t.Classes {
			if pick -= c.Share; pick < 0 {
				j.class = i
				break
			}
		}
		c := &t.Classes[j.class]
		j.work = c.Work * math.Exp(c.Spread*w.drawn.NormFloat64()-c.Spread*c.Spread/2)
		if w.drawn.Float64() < c.Wide {
			j.slots = 2
		}
	}
	if w.tail > 0 && w.drawn.Float64() < tailShare {
		j.work *= w.tail
	}
	if t.Memory > 0 {
		j.memory = float64(j.slots) * t.Memory * math.Exp(memorySpread*w.drawn.NormFloat64()-memorySpread*memorySpread/2)
	}
	if t.Hints {
		j.hint = time.Duration(j.work * math.Exp(hintSpread*w.drawn.NormFloat64()) * float64(time.Second))
	}
}

const (
	tailShare    = 0.02 // of the jobs are heavy while a heavy tail lasts
	memorySpread = 0.4  // of the logarithm of a job's memory
	hintSpread   = 0.15 // and of a guess at its work
)

// value is what a job is worth to its client, in time.
func (w *world) value(j *job) float64 {
	return w.class(j).PriorityWeight * j.work * float64(j.slots)
}

func (w *world) class(j *job) *Class { return &w.kinds[j.class] }

// fits tells whether a box can begin a job now. It has a unit of memory for each slot.
func (b *worker) fits(j *job) bool {
	return b.busy+j.slots <= b.slots && b.memory+j.memory <= float64(b.slots)
}

// full tells whether a box turns a job away: it could never run it, or too many wait.
func (b *worker) full(j *job) bool {
	most := b.w.s.Queue * float64(b.slots)
	return j.slots > b.slots || j.memory > float64(b.slots) || most > 0 && float64(len(b.queue)) >= most && !b.fits(j)
}

// between is a way from a dispatcher's zone to a box or back.
func (w *world) between(zone int, b *worker, chance *rand.Rand) time.Duration {
	var way time.Duration
	if zone == b.zone {
		way = w.delay(chance)
	} else {
		way = time.Duration(float64(w.s.Network.Cross) * (0.9 + 0.2*chance.Float64()))
	}
	if times := w.far[b.zone]; times > 0 {
		way = time.Duration(float64(way) * times)
	}
	return way
}

// connect gives how much longer a job's way to a box is for want of a connection that stands idle; not ok where the box
// takes no further one.
func (d *dispatcher) connect(b *worker) (more time.Duration, ok bool) {
	n := &d.w.s.Network
	if n.Handshake <= 0 {
		return 0, true
	}
	idle := d.idle[b.id]
	for len(idle) > 0 {
		since := idle[len(idle)-1]
		idle = idle[:len(idle)-1]
		d.idle[b.id] = idle
		if d.w.now-since < n.Idle {
			return 0, true
		}
		b.conns--
	}
	if n.Most > 0 && b.conns >= n.Most {
		return 0, false
	}
	b.conns++
	return time.Duration(n.Handshake * float64(2*d.w.between(d.zone, b, d.chance))), true
}

// disconnect takes a connection back: idle behind an answer, closed behind all else.
func (d *dispatcher) disconnect(b *worker, whole bool) {
	switch {
	case d.w.s.Network.Handshake <= 0:
	case whole:
		d.idle[b.id] = append(d.idle[b.id], d.w.now)
	default:
		b.conns--
	}
}

// weigh tells all dispatchers of a box's weight, now and then: its size, less the more it holds.
func (w *world) weigh() {
	for _, b := range w.workers {
		if b.state == scheduler.Ready && !b.down {
			w.changed(b)
		}
	}
	w.after(weighEvery, w.weigh)
}

const weighEvery = time.Second

// weight is what the list says of a box.
func (b *worker) weight() float64 {
	if !b.w.s.LiveWeights {
		return float64(b.slots)
	}
	return float64(b.slots) / (1 + float64(b.busy+len(b.queue))/float64(b.slots))
}

// Merit is a result in one figure: the worth served in time, less what crossing cost, and the class served worst.
func (r *Result) Merit(crossing float64) float64 {
	return 0.6*r.Service + 0.4*r.WorstClass - crossing*r.Crossings
}

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

// effectiveClasses are the scenario's, one at least.
func (t *Traffic) effectiveClasses() []Class {
	if len(t.Classes) > 0 {
		return t.Classes
	}
	return []Class{{Share: 1, Work: t.Work, Spread: t.Spread, Aim: t.Aim, Stretch: t.Stretch, GiveUp: t.GiveUp, PriorityWeight: 1,
		Effect: t.Effect, Scope: scheduler.ScopeCell, Window: t.Window}}
}

// needsVirtualTime tells whether a scenario has any of it.
func (s *Scenario) needsVirtualTime() bool {
	hasSizedFault := slices.ContainsFunc(s.Faults, func(f Fault) bool { return f.Kind == Burst || f.Kind == HeavyTail })
	return hasSizedFault || len(s.Traffic.Classes) > 0 || s.Traffic.Hints || s.Traffic.Memory > 0 || s.Network.Handshake > 0 ||
		s.LiveWeights || s.Queue > 0 || s.Pushed || s.Keeps || s.Reports.Answers
}

// drawClass gives a job its class and what follows from it.
func (sim *simulation) drawClass(job *job) {
	traffic := &sim.scenario.Traffic
	if len(traffic.Classes) > 0 {
		totalShare := 0.0
		for _, class := range traffic.Classes {
			totalShare += class.Share
		}
		pick := sim.classRandom.Float64() * totalShare
		for i, c := range traffic.Classes {
			if pick -= c.Share; pick < 0 {
				job.class = i
				break
			}
		}
		c := &traffic.Classes[job.class]
		job.work = c.Work * math.Exp(c.Spread*sim.classRandom.NormFloat64()-c.Spread*c.Spread/2)
		if sim.classRandom.Float64() < c.Wide {
			job.slots = 2
		}
	}
	if sim.tailFactor > 0 && sim.classRandom.Float64() < heavyTailShare {
		job.work *= sim.tailFactor
	}
	if traffic.Memory > 0 {
		job.memory = float64(job.slots) * traffic.Memory * math.Exp(memoryLogStdDev*sim.classRandom.NormFloat64()-memoryLogStdDev*memoryLogStdDev/2)
	}
	if traffic.Hints {
		job.workEstimate = time.Duration(job.work * math.Exp(estimateLogStdDev*sim.classRandom.NormFloat64()) * float64(time.Second))
	}
}

const (
	heavyTailShare    = 0.02 // of the jobs are heavy while a heavy tail lasts
	memoryLogStdDev   = 0.4  // of the logarithm of a job's memory
	estimateLogStdDev = 0.15 // and of a guess at its work
)

// weightedWork is what a job is worth to its client, in time.
func (sim *simulation) weightedWork(job *job) float64 {
	return sim.classOf(job).PriorityWeight * job.work * float64(job.slots)
}

func (sim *simulation) classOf(job *job) *Class { return &sim.classes[job.class] }

// canStart tells whether a box can begin a job now. It has a unit of memory for each slot.
func (w *worker) canStart(job *job) bool {
	return w.busySlots+job.slots <= w.slots && w.memoryInUse+job.memory <= float64(w.slots)
}

// rejects tells whether a box turns a job away: it could never run it, or too many wait.
func (w *worker) rejects(job *job) bool {
	maxQueued := w.sim.scenario.Queue * float64(w.slots)
	return job.slots > w.slots || job.memory > float64(w.slots) || maxQueued > 0 && float64(len(w.queue)) >= maxQueued && !w.canStart(job)
}

// oneWayDelay is a way from a dispatcher's zone to a box or back.
func (sim *simulation) oneWayDelay(zone int, worker *worker, random *rand.Rand) time.Duration {
	var delay time.Duration
	if zone == worker.zone {
		delay = sim.localDelay(random)
	} else {
		delay = time.Duration(float64(sim.scenario.Network.Cross) * (0.9 + 0.2*random.Float64()))
	}
	if factor := sim.delayFactor[worker.zone]; factor > 0 {
		delay = time.Duration(float64(delay) * factor)
	}
	return delay
}

// connect gives how much longer a job's way to a box is for want of a connection that stands idle; not ok where the box
// takes no further one.
func (d *dispatcher) connect(worker *worker) (handshake time.Duration, ok bool) {
	network := &d.sim.scenario.Network
	if network.Handshake <= 0 {
		return 0, true
	}
	idle := d.idleSince[worker.id]
	for len(idle) > 0 {
		since := idle[len(idle)-1]
		idle = idle[:len(idle)-1]
		d.idleSince[worker.id] = idle
		if d.sim.now-since < network.Idle {
			return 0, true
		}
		worker.connections--
	}
	if network.Most > 0 && worker.connections >= network.Most {
		return 0, false
	}
	worker.connections++
	return time.Duration(network.Handshake * float64(2*d.sim.oneWayDelay(d.zone, worker, d.random))), true
}

// disconnect takes a connection back: idle behind an answer, closed behind all else.
func (d *dispatcher) disconnect(worker *worker, reusable bool) {
	switch {
	case d.sim.scenario.Network.Handshake <= 0:
	case reusable:
		d.idleSince[worker.id] = append(d.idleSince[worker.id], d.sim.now)
	default:
		worker.connections--
	}
}

// publishWeights tells all dispatchers of a box's weight, now and then: its size, less the more it holds.
func (sim *simulation) publishWeights() {
	for _, worker := range sim.workers {
		if worker.state == scheduler.Ready && !worker.down {
			sim.publishWorker(worker)
		}
	}
	sim.after(weightInterval, sim.publishWeights)
}

const weightInterval = time.Second

// listedWeight is what the list says of a box.
func (w *worker) listedWeight() float64 {
	if !w.sim.scenario.LiveWeights {
		return float64(w.slots)
	}
	return float64(w.slots) / (1 + float64(w.busySlots+len(w.queue))/float64(w.slots))
}

// Merit is a result in one figure: the worth served in time, less what crossing cost, and the class served worst.
func (r *Result) Merit(crossing float64) float64 {
	return 0.6*r.Service + 0.4*r.WorstClass - crossing*r.Crossings
}

package emulator

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"

	"brassdale/internal/decisions/failover"
	"brassdale/scheduler"
)

// Failover is who decides to which zone a job goes, in virtual time. A council is a planner that hears of each dispatcher
// once a second, late, and whose plans come late too; that it agrees is not modelled here but by processes (internal/faults).
type Failover struct {
	Mode     string // "" each dispatcher by itself, "near" its own zone alone, "spread" all alike, "plan" in common
	Headroom float64
	ReturnIn time.Duration
	Detect   time.Duration
	Step     float64
}

// voterGroup is the planner with its clients.
type voterGroup struct {
	planner *failover.Planner
	chance  *rand.Rand
	changes int
	moved   time.Duration // when a plan first had nothing in the first zone that was lost; 0 for never
	back    time.Duration // and when it had as much there as before again
	fault   *Fault
	before  float64
}

// zoneTally is what came to a zone's boxes, and what they could do, by second.
type zoneTally struct{ pushed, able []float64 }

func (w *world) zoneName(n int) string { return fmt.Sprint("z", n) }

func (w *world) region(zone int) string {
	n := max(w.s.Network.Regions, 1)
	return fmt.Sprint("r", zone*n/max(w.s.Network.Zones, 1))
}

// plans sets up who decides, and counts what zones could do.
func (w *world) plans() {
	f := &w.s.Failover
	w.after(0, w.able)
	if f.Mode != "plan" {
		return
	}
	regions := map[string]string{}
	for z := range w.s.Network.Zones {
		regions[w.zoneName(z)] = w.region(z)
	}
	w.failover = &voterGroup{chance: w.source(4), planner: failover.NewPlanner(failover.Settings{Headroom: f.Headroom, RecoveryRamp: f.ReturnIn, DetectionTime: f.Detect, MaxShiftPerSecond: f.Step,
		Distance: func(from, to string) float64 {
			if from == to {
				return 0
			}
			return 1
		}}, regions, nil, w.now)}
	for i := range w.s.Faults {
		if w.s.Faults[i].Kind == ZoneLost && w.failover.fault == nil {
			w.failover.fault = &w.s.Faults[i]
		}
	}
	for _, d := range w.dispatchers {
		d.watcher, d.listedAs = failover.NewRecorder(fmt.Sprint("n", d.n), w.zoneName(d.zone), w.now), map[scheduler.WorkerID]scheduler.WorkerInfo{}
		w.after(time.Duration(w.failover.chance.Float64()*float64(time.Second)), d.report)
	}
	w.after(time.Second, w.planNext)
}

const (
	reportEvery = 500 * time.Millisecond // with each renewal of a lease of two seconds
	planEvery   = 250 * time.Millisecond
	reportLate  = 200 * time.Millisecond // at the most: a renewal that goes by a seat
)

// planLate is how late a plan reaches the last dispatcher: 0.1 s at 50 processes, 0.7 s at 300, as measured.
func (w *world) planLate() time.Duration {
	return 100*time.Millisecond + time.Duration(w.s.Dispatchers)*2*time.Millisecond
}

// report tells the council.
func (d *dispatcher) report() {
	w := d.w
	capacity := map[string]float64{}
	for _, info := range d.listedAs {
		if info.State == scheduler.Ready {
			age := w.s.SlowStart.For
			if info.StartedAt > 0 {
				age = w.now - info.StartedAt
			}
			capacity[w.zoneName(info.Zone)] += failover.Capacity(info.Weight, w.s.SlowStart.Capacity, age, w.s.SlowStart.For)
		}
	}
	for _, o := range d.open {
		for i, r := range o.runs {
			if o.inFlight[i] && !r.silent && r.beganAt == 0 && w.now-r.sentAt > failover.NoResponseAfter {
				r.silent = true
				d.watcher.CallUnanswered(w.zoneName(w.workerOf(r).zone), w.now)
			}
		}
	}
	r := d.watcher.Report(w.now, capacity)
	w.after(time.Duration(d.chance.Float64()*float64(reportLate)), func() { w.failover.planner.AddReport(r, w.now) })
	w.after(reportEvery, d.report)
}

// planNext has a plan made, and gives it to all.
func (w *world) planNext() {
	f := w.failover
	plan, made := f.planner.Next(w.now)
	if made {
		f.changes++
		for _, d := range w.dispatchers {
			w.after(time.Duration(f.chance.Float64()*float64(w.planLate())), func() { d.plan = plan })
		}
	}
	if f.fault != nil && plan != nil {
		at, zone := epoch+f.fault.At, w.zoneName(f.fault.Zone-1)
		share := plan.Share(zone, className, zone)
		switch {
		case w.now < at:
			f.before = share
		case f.moved == 0 && share < 0.01:
			f.moved = w.now + w.planLate() - at
		case f.moved > 0 && f.back == 0 && w.now > at+f.fault.For && share >= f.before-0.02:
			f.back = w.now - at - f.fault.For
		}
	}
	w.after(planEvery, w.planNext)
}

// guided gives the zones that a job may go to; not ok where it is shed.
func (d *dispatcher) guided(j *job) (within uint64, ok bool) {
	w := d.w
	class := w.className(j)
	if d.watcher != nil {
		d.watcher.JobArrived(class, w.kinds[j.class].PriorityWeight)
	}
	switch w.s.Failover.Mode {
	case "near":
		return 1 << d.zone, true
	case "spread":
		return 1 << d.chance.IntN(max(w.s.Network.Zones, 1)), true
	case "plan":
		zone, ok := d.plan.Choose(w.zoneName(d.zone), class, d.chance.Float64())
		for z := range w.s.Network.Zones {
			if w.zoneName(z) == zone {
				within = 1 << z
			}
		}
		return within, ok
	}
	return 0, true
}

// saw counts a call's end.
func (d *dispatcher) saw(r *run, o *open, inFlight scheduler.Outcome) {
	w := d.w
	to := w.zoneName(w.workerOf(r).zone)
	switch {
	case d.watcher == nil, inFlight == scheduler.NeverSent, inFlight == scheduler.Cancelled && (r.beganAt > 0 || w.now-r.sentAt < failover.NoResponseAfter/4), r.silent && inFlight == scheduler.TimedOut:
		return
	case inFlight == scheduler.Cancelled, inFlight == scheduler.TimedOut, inFlight == scheduler.NoConnect, inFlight == scheduler.Reset:
		d.watcher.CallUnanswered(to, w.now)
		return
	}
	ran := time.Duration(0)
	if inFlight == scheduler.Served && r.beganAt > 0 {
		ran = time.Duration(float64(w.now-r.beganAt) * float64(r.job.slots))
	}
	d.watcher.CallEnded(to, w.className(r.job), inFlight == scheduler.Full, inFlight == scheduler.Served && w.inTime(r.job, w.now-r.job.requestedAt), ran, w.now)
}

// className is a job's class by name.
func (w *world) className(j *job) string { return cmp.Or(w.kinds[j.class].Name, className) }

// cutOff tells whether nothing goes between the dispatcher and a box.
func (d *dispatcher) cutOff(b *worker) bool { return d.w.apart[[2]int{d.zone, b.zone}] > 0 }

// applyZoneFault plays a zone's fault.
func (w *world) applyZoneFault(f Fault) {
	zone := f.Zone - 1
	switch f.Kind {
	case Apart:
		w.apart[[2]int{f.From - 1, zone}]++
		w.after(f.For, func() { w.apart[[2]int{f.From - 1, zone}]-- })
	case Far:
		w.far[zone] = f.Size
		w.after(f.For, func() { w.far[zone] = 0 })
	case ZoneLost:
		for _, b := range w.workers {
			if b.zone != zone {
				continue
			}
			b.cut++
			w.after(f.For, func() {
				b.recover(Partition)
				b.started, b.pushed = w.now, nil
				w.changed(b)
			})
		}
	}
}

// able notes once a second what each zone's boxes can do.
func (w *world) able() {
	for z := range w.perZone {
		sum := 0.0
		for _, b := range w.workers {
			if b.zone == z && !b.down && b.cut == 0 && b.state != scheduler.Gone {
				sum += float64(b.slots) * b.speed * b.warmupFactor()
			}
		}
		w.perZone[z].able = append(w.perZone[z].able, sum)
		w.perZone[z].pushed = append(w.perZone[z].pushed, 0)
	}
	w.after(time.Second, w.able)
}

// pushedAt counts work that came to a zone's boxes.
func (w *world) pushedAt(b *worker, work float64) {
	if t := &w.perZone[b.zone]; len(t.pushed) > 0 {
		t.pushed[len(t.pushed)-1] += work
	}
}

// peakOver spans: work that comes is uneven from one second to the next.
const peakOver = 5

// peak is the most that came to a zone's boxes, as a share of what they could do, while they could do anything.
func (w *world) peak() (peak float64) {
	for _, t := range w.perZone {
		for i := peakOver; i < len(t.pushed); i++ {
			pushed, able := 0.0, 0.0
			for k := i - peakOver; k < i; k++ {
				pushed += t.pushed[k]
				able += t.able[k]
			}
			whole := true // cold or warm, but there all the time
			for k := i - peakOver; k < i; k++ {
				whole = whole && t.able[k] > 0
			}
			if whole {
				peak = max(peak, pushed/able)
			}
		}
	}
	return peak
}

// second is what was asked for in one, and what of it was in time.
type second struct{ requested, good float64 }

// countAt enters a job's end where its client asked.
func (w *world) countAt(j *job, v verdict) {
	at := int((j.requestedAt - epoch - warmUp) / time.Second)
	for len(w.seconds) <= at {
		w.seconds = append(w.seconds, second{})
	}
	if at < 0 {
		return
	}
	w.seconds[at].requested += w.value(j)
	if v == served && w.inTime(j, w.now-j.requestedAt) {
		w.seconds[at].good += w.value(j)
	}
}

// Within is the share of worth in time of what was asked for between two times of the run.
func (r *Result) Within(from, to time.Duration) float64 {
	var sum second
	for i, s := range r.Seconds {
		if at := time.Duration(i) * time.Second; at >= from && at < to {
			sum.requested += s.requested
			sum.good += s.good
		}
	}
	if sum.requested == 0 {
		return 1
	}
	return sum.good / sum.requested
}

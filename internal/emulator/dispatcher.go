package emulator

import (
	"math/rand/v2"
	"time"

	"brassdale/internal/decisions/failover"
	"brassdale/scheduler"
)

// Policy decides, as the module does: events in, actions out. The actions are read before the next call.
type Policy interface {
	Handle(now scheduler.Clock, ev scheduler.Event) []scheduler.Action
}

// dispatcher carries a policy's actions out, as routing.Core does: it lets nothing through that the core would not.
type dispatcher struct {
	w          *world
	n, zone    int
	idle       map[scheduler.WorkerID][]time.Duration // connections, by since when they have been
	policy     Policy
	open       map[scheduler.RequestID]*open
	notify     map[scheduler.WorkerID]time.Duration // of which start of a box
	watcher    *failover.Recorder                   // nil where nobody plans
	plan       *failover.Plan
	listedAs   map[scheduler.WorkerID]scheduler.WorkerInfo
	subscribed bool
	chance     *rand.Rand
}

type open struct {
	job      *job
	expires  time.Duration
	answered bool
	runs     []*run
	inFlight []bool
	left     int // attempts without an outcome
}

// feed tells the policy an event. Nothing in here feeds again: what an action brings about comes later.
func (d *dispatcher) feed(ev scheduler.Event) {
	for _, a := range d.policy.Handle(d.w.now, ev) {
		switch a := a.(type) {
		case scheduler.Send:
			d.send(a)
		case scheduler.Cancel:
			if o := d.open[a.ID]; o != nil && a.Attempt < len(o.runs) && o.inFlight[a.Attempt] {
				r := o.runs[a.Attempt]
				d.w.after(d.w.between(d.zone, d.w.workerOf(r), d.chance), func() { d.w.workerOf(r).cancel(r) })
				d.w.after(0, func() { d.ended(a.ID, a.Attempt, scheduler.Cancelled) })
			}
		case scheduler.Reject:
			d.answer(a.ID, refused, a.RetryAfter)
		case scheduler.Fail:
			d.answer(a.ID, failed, 0)
		case scheduler.Probe:
			d.probe(a.Worker)
		case scheduler.Subscribe:
			switch {
			case d.subscribed:
			case d.w.down+d.w.hung > 0:
				d.refused()
			default:
				d.subscribed = true
				d.w.after(d.w.late(d.chance), func() {
					if d.subscribed {
						d.listed(scheduler.ListFull, d.w.list())
					}
				})
			}
		case scheduler.SetTimer:
			d.w.after(a.After, func() { d.feed(scheduler.TimerFired{Token: a.Token}) })
		case scheduler.Log:
			d.w.note("%v dispatcher %d: %s", d.w.now-epoch, d.n, a.Text)
		}
	}
}

// refused has a call to discovery fail: at once where it is down, behind the caller's patience where it hangs.
func (d *dispatcher) refused() {
	clientPatience := d.w.delay(d.chance)
	if d.w.down == 0 {
		clientPatience = hungCall
	}
	d.w.after(clientPatience, func() { d.feed(scheduler.EndpointsUpdated{ListKind: scheduler.ListFailed}) })
}

// hungCall is how long a dispatcher waits for an answer of discovery.
const hungCall = 750 * time.Millisecond

// arrived takes a client's request.
func (d *dispatcher) arrived(j *job, id scheduler.RequestID, expires time.Duration) {
	d.open[id] = &open{job: j, expires: expires}
	d.w.audit.requested(uint64(id), d.w.class(j))
	d.w.after(expires-d.w.now, func() { d.expired(id) })
	within, ok := d.guided(j)
	if !ok { // shed where it arrives
		d.w.after(0, func() { d.answer(id, refused, time.Duration((0.5+d.chance.Float64())*float64(time.Second))) })
		return
	}
	d.feed(scheduler.RequestArrived{ID: id, Class: j.class, Slots: float64(j.slots), EstimatedWork: j.hint, AffinityKey: uint64(j.subject), Deadline: expires, AllowedZones: within})
}

// expired ends what is out when a client gives up.
func (d *dispatcher) expired(id scheduler.RequestID) {
	o := d.open[id]
	if o == nil {
		return
	}
	for i := range o.runs {
		if o.inFlight[i] {
			r := o.runs[i]
			d.w.after(d.w.between(d.zone, d.w.workerOf(r), d.chance), func() { d.w.workerOf(r).cancel(r) })
			d.ended(id, i, scheduler.TimedOut)
		}
	}
}

func (d *dispatcher) send(a scheduler.Send) {
	o := d.open[a.ID]
	if o == nil {
		return
	}
	b := d.w.byID[a.Worker]
	attempt := len(o.runs)
	r := &run{job: o.job, attempt: attempt, from: d, work: o.job.work, zone: d.zone}
	r.worker, r.sentAt = a.Worker, d.w.now
	o.runs, o.inFlight = append(o.runs, r), append(o.inFlight, true)
	o.left++
	if o.answered || d.w.now >= o.expires || attempt >= d.w.s.Rules.MaxAttempts || b == nil {
		d.w.after(0, func() { d.ended(a.ID, attempt, scheduler.NeverSent) })
		return
	}
	r.id = a.ID
	d.w.sends++
	more, ok := d.connect(b)
	if !ok {
		d.w.after(d.w.between(d.zone, b, d.chance), func() { d.ended(a.ID, attempt, scheduler.NoConnect) })
		return
	}
	r.connected = true
	if b.zone != d.zone {
		d.w.crossings++
	}
	d.w.audit.sent(d.w.now, d.n, uint64(a.ID), b.id, b.bay, b.zone)
	d.w.after(more+d.w.between(d.zone, b, d.chance), func() {
		if !r.over && !d.cutOff(b) {
			if b.cut == 0 && !b.down {
				d.w.pushedAt(b, r.work)
			}
			b.take(r)
		}
	})
}

// ended ends an attempt, once.
func (d *dispatcher) ended(id scheduler.RequestID, attempt int, inFlight scheduler.Outcome) {
	o := d.open[id]
	if o == nil || !o.inFlight[attempt] {
		return
	}
	o.inFlight[attempt] = false
	o.left--
	d.w.audit.ended(uint64(id), attempt, inFlight)
	r := o.runs[attempt]
	if r.connected {
		d.disconnect(d.w.workerOf(r), inFlight == scheduler.Served || inFlight == scheduler.Full)
	}
	var report *scheduler.Report
	if inFlight == scheduler.Served || inFlight == scheduler.Full {
		report = r.report
	}
	d.saw(r, o, inFlight)
	if inFlight == scheduler.Served {
		d.answer(id, served, 0)
	}
	d.feed(scheduler.AttemptFinished{ID: id, Attempt: attempt, Worker: o.runs[attempt].worker, Outcome: inFlight, Final: o.answered, Report: report, ConnectionIdle: -1})
	d.forget(id)
}

// started, over, knows and way make it an origin of attempts.
func (d *dispatcher) started(r *run) {
	if d.cutOff(d.w.workerOf(r)) {
		return
	}
	if o := d.open[r.id]; o != nil && o.inFlight[r.attempt] {
		if r.beganAt = d.w.now; d.watcher != nil {
			d.watcher.ResponseReceived(d.w.zoneName(d.w.workerOf(r).zone), d.w.now)
		}
		d.feed(scheduler.AttemptStarted{ID: r.id, Attempt: r.attempt, Worker: r.worker})
	}
}

func (d *dispatcher) over(r *run, o scheduler.Outcome) {
	if !d.cutOff(d.w.workerOf(r)) { // else nothing of it is heard before the client gives up
		d.ended(r.id, r.attempt, o)
	}
}
func (d *dispatcher) knows(id scheduler.WorkerID) time.Duration { return d.notify[id] }
func (d *dispatcher) oneWayDelay() *rand.Rand                   { return d.chance }

// answer gives the final answer. Whether there was one before is the auditor's to see.
func (d *dispatcher) answer(id scheduler.RequestID, v verdict, after time.Duration) {
	o := d.open[id]
	if o == nil || o.answered && v == served { // a second result is dropped
		return
	}
	o.answered = true
	d.w.audit.answered(d.w.now, uint64(id), v == refused)
	d.w.answered(o.job, id, v, after)
	d.w.after(0, func() { d.forget(id) })
}

func (d *dispatcher) forget(id scheduler.RequestID) {
	if o := d.open[id]; o != nil && o.answered && o.left == 0 {
		delete(d.open, id)
		d.w.audit.forget(uint64(id))
	}
}

// listed tells the policy of the list.
func (d *dispatcher) listed(kind scheduler.ListKind, ws []scheduler.WorkerInfo) {
	for _, w := range ws {
		d.w.audit.notified(d.w.now, d.n, w.ID, w.State)
		if d.listedAs != nil {
			d.listedAs[w.ID] = w
		}
		d.notify[w.ID] = max(d.notify[w.ID], w.StartedAt)
	}
	d.feed(scheduler.EndpointsUpdated{ListKind: kind, Workers: ws})
}

// probe asks a box, and takes its silence for an answer after a while.
func (d *dispatcher) probe(id scheduler.WorkerID) {
	b := d.w.byID[id]
	d.w.probes++
	over := false
	answer := func(o scheduler.Outcome, r *scheduler.Report) {
		if !over {
			over = true
			if d.watcher != nil {
				if o == scheduler.Served {
					d.watcher.ResponseReceived(d.w.zoneName(b.zone), d.w.now)
				} else {
					d.watcher.CallUnanswered(d.w.zoneName(b.zone), d.w.now)
				}
			}
			d.feed(scheduler.ProbeCompleted{Worker: id, Outcome: o, Report: r})
		}
	}
	d.w.after(probeWithin, func() { answer(scheduler.TimedOut, nil) })
	d.w.after(d.w.between(d.zone, b, d.chance), func() {
		b.probe(func(o scheduler.Outcome, r *scheduler.Report) {
			d.w.after(d.w.between(d.zone, b, d.chance), func() {
				if !d.cutOff(b) {
					answer(o, r)
				}
			})
		})
	})
}

const probeWithin = 300 * time.Millisecond

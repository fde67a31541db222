// The life of attempts, and the final answers that follow from how they end.

package scheduler

import (
	"cmp"
	"slices"
)

func (d *Scheduler) send(r *request, w *worker) {
	if w.own == 0 {
		w.heard = d.now
	}
	for _, h := range []*health{&w.health, &w.classes[r.class]} {
		if h.strikes > 0 { // a trial: the next one waits
			h.until = d.now + d.ejectFor(h)
		}
	}
	idle := d.now - cmp.Or(w.used, d.now)
	if w.used = d.now; d.idleSafe > 0 && d.now < d.idleLost+idleMemory && (w.own > 0 || idle*5 > d.idleSafe*4) {
		// What idle connections carry may be lost; a new one costs a little.
		d.do(CloseIdleConnections{Worker: w.ID, MinIdle: d.idleSafe * 4 / 5})
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
	by := earlier(d.repeatBy(r), d.sendBy(w))
	a := attempt{w: w, sent: d.now, out: true, maybe: true, idle: idle, trial: w.own == r.slots && d.unheard(w)}
	if a.trial {
		d.trials++
	}
	r.attempts = append(r.attempts, a)
	d.do(Send{ID: r.id, Worker: w.ID, SendBy: by})
}

func (d *Scheduler) onBegan(e AttemptStarted) {
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
func (d *Scheduler) learnWait(r *request, a *attempt) {
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
	case d.slowdown(a.w) > 1: // kept short by its pace: that a job starts there soon tells nothing of the others
	case len(d.held) > 0:
		d.allow = min(d.allow+step, mostAllow)
	case d.allow < firstAllow:
		d.allow += step
	}
}

// allowBy is how far one job moves the allowance.
func (d *Scheduler) allowBy() float64 {
	if d.small {
		return min(allowStep*float64(d.set.Dispatchers), mostStep)
	}
	return allowStep
}

func (d *Scheduler) onFinished(e AttemptFinished) {
	r, a := d.attempt(e.ID, e.Attempt)
	if a == nil {
		return
	}
	w := a.w
	a.out = false
	if e.ConnectionIdle >= 0 {
		a.idle = e.ConnectionIdle
	}
	if a.trial {
		d.trials--
	}
	a.maybe = e.Outcome != Full && e.Outcome != NoConnect && e.Outcome != NeverSent && e.Outcome != InvalidRequest
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
	case InvalidRequest: // the client's fault: a bad client must not get workers shunned
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
	d.applyReport(w, e.Report)
	switch {
	case e.Final || e.Outcome == Served:
		d.finish(r)
	case r.done:
		d.forget(r)
	case e.Outcome == InvalidRequest:
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
func (d *Scheduler) canGo(r *request) bool {
	if !r.has(maybe) {
		return len(r.attempts) < r.set.MaxAttempts
	}
	return slices.ContainsFunc(d.workers, func(w *worker) bool { return d.may(r, w) })
}

// answer gives the final answer: a refusal where a further try is harmless, else a failure.
func (d *Scheduler) answer(r *request) {
	c := &r.set.Classes[r.class]
	if c.Idempotency == Idempotent || c.Idempotency == IdempotentWithKey && c.DeduplicationScope == ScopeAll || !r.has(maybe) {
		d.do(Reject{ID: r.id, RetryAfter: r.set.MaxRetryAfter})
	} else {
		d.do(Fail{ID: r.id})
	}
	d.finish(r)
}

// finish ends what is owed and calls off what is still out.
func (d *Scheduler) finish(r *request) {
	r.done = true
	d.callOff(r, func(*attempt) bool { return true })
	d.forget(r)
}

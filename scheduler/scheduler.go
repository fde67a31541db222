// Package scheduler decides where a dispatcher pushes its jobs, when it sends them again and when it
// turns them away. Its interface (settings, events, actions) is api.go, its state state.go; the decisions are
// split by job: membership, load, pick, queue, attempts, review, health, coldbudget.
//
// The mechanism is Least Used with Degradation: each worker has a load value, a job goes to the
// lowest, round robin among ties, each push raises the value by the job's share of the worker, and
// each report resets it. Everything else is a departure; its comment says when it acts.
package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// Handle takes one event and returns what to do. The result is valid until the next call.
func (d *Scheduler) Handle(now Clock, ev Event) []Action {
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
	case EndpointsUpdated:
		d.onListed(e)
	case RequestArrived:
		d.onArrived(e)
	case AttemptFinished:
		d.onFinished(e)
	case ProbeCompleted:
		d.onProbed(e)
	case AttemptStarted:
		d.onBegan(e)
	case AttemptProgressed:
		if _, a := d.attempt(e.ID, e.Attempt); a != nil {
			d.heard(a.w)
		}
	case ClientLeft:
		if r := d.open[e.ID]; r != nil {
			d.finish(r)
		}
	case ShutdownStarted:
		d.ends = e.Deadline
		for _, r := range d.order {
			r.expires = min(r.expires, d.ends)
		}
		d.do(SetTimer{Token: endToken, After: d.ends - d.now + d.set.AnswerSlack/2}) // looks are too seldom for it
	case WorkerDetached:
		d.setDetached(e.Worker, true)
	case WorkerReattached:
		d.setDetached(e.Worker, false)
	case HandoverCompleted:
		d.adopt(e.LearnedState)
	case SettingsChanged:
		d.retune(e.Settings)
	case ProcessCountChanged:
		d.processes = max(e.Processes, 1)
	case TimerFired:
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
			d.do(SetTimer{Token: tickToken, After: pause})
		}
	}
	return d.acts
}

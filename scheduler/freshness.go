// Until when a worker may be sent requests without a further word of it, and the health checks that give one.

package scheduler

import "time"

const (
	// checkAgain is how long behind a health check that it failed a worker is checked again.
	checkAgain = 500 * time.Millisecond

	// checkWait is how long a request waits for the outcome of a health check before it goes to another worker.
	checkWait = 50 * time.Millisecond
)

// sendBy is until when a request to the worker may leave: what has drained since its state was last known counts as told from
// then on. That is as of the list, or as of the last health check that it passed. 0 where the settings bound nothing.
func (d *Scheduler) sendBy(w *worker) Clock {
	if d.set.ListValidity <= 0 || !d.set.MayProbe {
		return 0
	}
	return max(d.listAsOf, w.passedAt) + d.set.ListValidity
}

// fresh tells whether a request may be sent to the worker now.
func (d *Scheduler) fresh(w *worker) bool {
	by := d.sendBy(w)
	return by == 0 || d.now+sendLate < by
}

// checkable tells whether the worker may be sent a request, or may be asked whether it may.
func (d *Scheduler) checkable(w *worker) bool { return d.fresh(w) || d.now >= w.checkFrom }

// check asks a worker for a sign that it takes requests.
func (d *Scheduler) check(w *worker) {
	if !w.probing && d.now >= w.checkFrom {
		d.probe(w)
	}
}

func (d *Scheduler) probe(w *worker) {
	w.probing, w.probedAt = true, d.now
	d.do(Probe{Worker: w.ID})
}

// checked takes the outcome of a probe in: a worker that drains does not answer that it is well.
func (d *Scheduler) checked(w *worker, o Outcome) {
	w.probing = false
	if o == Served {
		w.passedAt = max(w.passedAt, w.probedAt)
		return
	}
	w.checkFrom = d.now + checkAgain
}

// earlier gives the earlier of two bounds, of which 0 is none.
func earlier(a, b Clock) Clock {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

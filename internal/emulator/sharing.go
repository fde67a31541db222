package emulator

import (
	"time"

	"brassdale/scheduler"
)

// A box of a kind that shares works on all its jobs at once, each at its part of the speed, and turns away what comes beyond
// its slots: the paper's pool element, in place of slots with a queue.

// settle brings the work that is left up to now.
func (b *worker) settle() {
	if n := len(b.pending); n > 0 {
		part := (b.w.now - b.settled).Seconds() * b.pace() / float64(n)
		for _, r := range b.pending {
			r.left -= part
		}
	}
	b.settled = b.w.now
}

// share takes an attempt, or turns it away.
func (b *worker) share(r *run) {
	if len(b.pending) >= b.slots {
		r.over = true
		b.w.reply(r, scheduler.Full)
		return
	}
	b.settle()
	r.left, r.began = r.work, true
	b.pending = append(b.pending, r)
	b.busy = len(b.pending)
	b.w.began(r)
	b.plan()
	b.push()
}

// plan sees to the next job's end, as it stands: any change before makes it void.
func (b *worker) plan() {
	b.turnNumber++
	if len(b.pending) == 0 {
		return
	}
	minimum := b.pending[0].left
	for _, r := range b.pending {
		minimum = min(minimum, r.left)
	}
	next, life := b.turnNumber, b.life
	b.w.after(time.Duration(max(minimum, 0)*float64(len(b.pending))/b.pace()*float64(time.Second)), func() {
		if next == b.turnNumber && life == b.life {
			b.shared()
		}
	})
}

// shared ends the jobs that are done.
func (b *worker) shared() {
	b.settle()
	going := b.pending[:0]
	for _, r := range b.pending {
		if r.left > 1e-9 && !r.over {
			going = append(going, r)
			continue
		}
		b.w.worked += r.work
		if !r.over {
			r.over = true
			b.w.reply(r, scheduler.Served)
		}
	}
	clear(b.pending[len(going):])
	b.pending = going
	b.busy = len(going)
	b.plan()
	b.push()
}

// push has all dispatchers told of the load, where boxes tell by themselves.
func (b *worker) push() {
	if !b.w.s.Reports.Push {
		return
	}
	load := b.load()
	for _, d := range b.w.dispatchers {
		b.w.after(b.w.delay(d.chance), func() { d.feed(scheduler.ProbeCompleted{Worker: b.id, Outcome: scheduler.Served, Report: &load}) })
	}
}

// enqueue has a job wait until its client has had its answers to those before: the paper's pool users, of whom each has one
// request handled at a time.
func (w *world) enqueue(j *job) {
	n := w.clients.IntN(w.s.Traffic.Users)
	j.user = n
	w.lines[n] = append(w.lines[n], j)
	if len(w.lines[n]) == 1 {
		w.try(j)
	}
}

// nextOf has a client's next job begin.
func (w *world) nextOf(j *job) {
	line := w.lines[j.user][1:]
	if w.lines[j.user] = line; len(line) > 0 {
		w.try(line[0])
	}
}

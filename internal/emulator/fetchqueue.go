package emulator

import (
	"time"
)

// fetchQueue is the store that workers fetch subjects from: it runs a bounded number of fetches at a time, and queues the
// others in the order of their arrival.
type fetchQueue struct {
	sim       *simulation
	maxActive int // 0 for no limit
	active    int
	waiting   []func()
}

// enqueue starts a fetch of the given duration when it is its turn, and calls done at its end.
func (q *fetchQueue) enqueue(duration time.Duration, done func()) {
	start := func() {
		q.active++
		q.sim.after(duration, func() {
			q.active--
			if len(q.waiting) > 0 {
				next := q.waiting[0]
				q.waiting = q.waiting[1:]
				next()
			}
			done()
		})
	}
	if q.maxActive > 0 && q.active >= q.maxActive {
		q.waiting = append(q.waiting, start)
		return
	}
	start()
}

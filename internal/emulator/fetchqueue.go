package emulator

import (
	"time"
)

// fetchQueue is the store that workers fetch subjects from: it serves a bounded number of fetches at a time, the others in
// the order they came.
type fetchQueue struct {
	sim       *simulation
	maxActive int // 0 for no limit
	active    int
	waiting   []func()
}

// enter calls then when a fetch of the given duration has had its turn and ended.
func (q *fetchQueue) enter(span time.Duration, then func()) {
	start := func() {
		q.active++
		q.sim.after(span, func() {
			q.active--
			if len(q.waiting) > 0 {
				next := q.waiting[0]
				q.waiting = q.waiting[1:]
				next()
			}
			then()
		})
	}
	if q.maxActive > 0 && q.active >= q.maxActive {
		q.waiting = append(q.waiting, start)
		return
	}
	start()
}

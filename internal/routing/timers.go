package routing

import (
	"container/heap"

	"brassdale/scheduler"
)

// timer is a timer of the scheduler, or the timer after which an open request is overdue.
type timer struct {
	at             scheduler.Instant
	token          uint64              // of the scheduler's timer
	overdueRequest scheduler.RequestID // 0 for a timer of the scheduler
}

// timers is a heap (container/heap) of timers, the earliest first. The goroutine of Core.Run owns it.
type timers []timer

// Len implements heap.Interface.
func (t timers) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }

// Swap implements heap.Interface.
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

// fireTimers fires the timers that are due, in the order of their times.
func (c *Core) fireTimers() {
	for len(c.timers) > 0 && c.timers[0].at <= c.now {
		due := heap.Pop(&c.timers).(timer)
		if due.overdueRequest == 0 {
			c.handleEvent(scheduler.TimerFired{Token: due.token})
		} else {
			c.failOverdue(due.overdueRequest)
		}
	}
}

package emulator

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// engine runs tasks in virtual time: in the order of their times, and tasks of the same time in the order in which they were scheduled.
// runInRealTime runs tasks by the real clock, and between them the actions that other goroutines post.
type engine struct {
	now   time.Duration
	seq   uint64
	tasks taskQueue

	mu     sync.Mutex
	posted []func()
	wake   chan struct{} // of capacity one; signals that posted is not empty
}

// task is an action and the time at which it is due. seq orders tasks of the same time.
type task struct {
	at     time.Duration
	seq    uint64
	action func()
}

// taskQueue is a heap of tasks; it implements heap.Interface.
type taskQueue []task

// Len implements heap.Interface.
func (q taskQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q taskQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

// Swap implements heap.Interface.
func (q taskQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *taskQueue) Push(x any) { *q = append(*q, x.(task)) }

// Pop implements heap.Interface.
func (q *taskQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	(*q)[last] = task{} // releases the action
	*q = (*q)[:last]
	return popped
}

// after schedules an action. A negative delay counts as none.
func (e *engine) after(delay time.Duration, action func()) {
	e.seq++
	heap.Push(&e.tasks, task{e.now + max(delay, 0), e.seq, action})
}

// run runs all tasks that are due by the given time, and then advances the clock to it.
func (e *engine) run(until time.Duration) {
	for len(e.tasks) > 0 && e.tasks[0].at <= until {
		next := heap.Pop(&e.tasks).(task)
		e.now = next.at
		next.action()
	}
	e.now = max(e.now, until)
}

// post queues an action for an engine that runs in real time. It may be called by any goroutine and does not block.
func (e *engine) post(action func()) {
	e.mu.Lock()
	e.posted = append(e.posted, action)
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// runInRealTime runs tasks by the real clock until the context ends, and calls afterBatch after each batch of tasks. The engine's time
// is clockStart at the real time startedAt.
func (e *engine) runInRealTime(ctx context.Context, clockStart time.Duration, startedAt time.Time, afterBatch func()) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-e.wake:
		}
		e.now = max(e.now, clockStart+time.Since(startedAt))
		e.mu.Lock()
		posted := e.posted
		e.posted = nil
		e.mu.Unlock()
		for _, action := range posted {
			action()
		}
		for len(e.tasks) > 0 && e.tasks[0].at <= e.now {
			heap.Pop(&e.tasks).(task).action()
		}
		afterBatch()
		if len(e.tasks) > 0 {
			timer.Reset(time.Until(startedAt.Add(e.tasks[0].at - clockStart)))
		}
	}
}

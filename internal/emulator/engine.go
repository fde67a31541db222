package emulator

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// engine is virtual time: what is due next is done next, and what is due at one time in the order it was asked for.
// Run live, it does what is due by a real clock, and what others post in between.
type engine struct {
	now   time.Duration
	seq   uint64
	tasks taskQueue

	mu     sync.Mutex
	posted []func()
	wake   chan struct{} // room for one
}

type task struct {
	at     time.Duration
	seq    uint64
	action func()
}

type taskQueue []task

func (a taskQueue) Len() int { return len(a) }
func (a taskQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a taskQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *taskQueue) Push(x any)   { *a = append(*a, x.(task)) }
func (a *taskQueue) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	(*a)[last] = task{}
	*a = (*a)[:last]
	return x
}

// after has something done after a span.
func (e *engine) after(delay time.Duration, action func()) {
	e.seq++
	heap.Push(&e.tasks, task{e.now + max(delay, 0), e.seq, action})
}

// run goes on until nothing is left to do, or a time.
func (e *engine) run(until time.Duration) {
	for len(e.tasks) > 0 && e.tasks[0].at <= until {
		next := heap.Pop(&e.tasks).(task)
		e.now = next.at
		next.action()
	}
	e.now = max(e.now, until)
}

// post has something done soon by a live engine. It may be called by anybody and does not block.
func (e *engine) post(action func()) {
	e.mu.Lock()
	e.posted = append(e.posted, action)
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// live does what is due by the real clock, which shows start at begin, until the context ends. behind is called after
// each batch.
func (e *engine) live(ctx context.Context, clockStart time.Duration, startedAt time.Time, afterBatch func()) {
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

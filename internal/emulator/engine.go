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
	now  time.Duration
	seq  uint64
	todo agenda

	mu     sync.Mutex
	posted []func()
	wake   chan struct{} // room for one
}

type item struct {
	at  time.Duration
	seq uint64
	do  func()
}

type agenda []item

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(item)) }
func (a *agenda) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	(*a)[last] = item{}
	*a = (*a)[:last]
	return x
}

// after has something done after a span.
func (e *engine) after(span time.Duration, do func()) {
	e.seq++
	heap.Push(&e.todo, item{e.now + max(span, 0), e.seq, do})
}

// run goes on until nothing is left to do, or a time.
func (e *engine) run(until time.Duration) {
	for len(e.todo) > 0 && e.todo[0].at <= until {
		x := heap.Pop(&e.todo).(item)
		e.now = x.at
		x.do()
	}
	e.now = max(e.now, until)
}

// post has something done soon by a live engine. It may be called by anybody and does not block.
func (e *engine) post(do func()) {
	e.mu.Lock()
	e.posted = append(e.posted, do)
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// live does what is due by the real clock, which shows start at begin, until the context ends. behind is called after
// each batch.
func (e *engine) live(ctx context.Context, start time.Duration, begin time.Time, behind func()) {
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-alarm.C:
		case <-e.wake:
		}
		e.now = max(e.now, start+time.Since(begin))
		e.mu.Lock()
		posted := e.posted
		e.posted = nil
		e.mu.Unlock()
		for _, do := range posted {
			do()
		}
		for len(e.todo) > 0 && e.todo[0].at <= e.now {
			heap.Pop(&e.todo).(item).do()
		}
		behind()
		if len(e.todo) > 0 {
			alarm.Reset(time.Until(begin.Add(e.todo[0].at - start)))
		}
	}
}

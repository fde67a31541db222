package emulator

import (
	"container/heap"
	"time"
)

// engine is virtual time: what is due next is done next, and what is due at one time in the order it was asked for.
type engine struct {
	now  time.Duration
	seq  uint64
	todo agenda
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

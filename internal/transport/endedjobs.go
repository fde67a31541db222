package transport

import (
	"time"
)

// endedJob is a job that has ended, with the time at which it is forgotten.
type endedJob struct {
	stream   *jobStream
	forgetAt time.Time
}

// byForgetTime is a heap.Interface; the job that is forgotten next comes first.
type byForgetTime []endedJob

// Len implements heap.Interface.
func (h byForgetTime) Len() int { return len(h) }

// Less implements heap.Interface.
func (h byForgetTime) Less(i, j int) bool { return h[i].forgetAt.Before(h[j].forgetAt) }

// Swap implements heap.Interface.
func (h byForgetTime) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *byForgetTime) Push(x any) { *h = append(*h, x.(endedJob)) }

// Pop implements heap.Interface.
func (h *byForgetTime) Pop() any {
	last := (*h)[len(*h)-1]
	(*h)[len(*h)-1] = endedJob{}
	*h = (*h)[:len(*h)-1]
	return last
}

package faults

import (
	"testing"
	"time"
)

// TestCombinedState: a link is under the faults of both of its ends, each in the direction of the process that has it, and under a partition
// between them.
func TestCombinedState(t *testing.T) {
	for _, c := range []struct {
		from, to State
		group    []int
		want     State
	}{
		{State{}, State{}, nil, State{}},
		{State{CutTo: true}, State{}, nil, State{CutTo: true}},
		{State{}, State{CutTo: true}, nil, State{CutFrom: true}},
		{State{CutFrom: true}, State{CutFrom: true}, nil, State{CutTo: true, CutFrom: true}},
		{State{Delay: time.Second, Slow: true}, State{Spread: time.Second, Reorder: time.Second}, nil, State{Delay: time.Second, Spread: time.Second, Slow: true, Reorder: time.Second}},
		{State{}, State{}, []int{1}, State{CutTo: true, CutFrom: true}},
		{State{}, State{}, []int{0, 1}, State{}},
	} {
		r := &run{processes: []*dispatcherProcess{{index: 0, linkState: c.from}, {index: 1, linkState: c.to}}}
		r.partition(c.group)
		if got := r.combinedState(linkEnds{0, 1}); got != c.want {
			t.Errorf("%+v: %+v", c, got)
		}
	}
}

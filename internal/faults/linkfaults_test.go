package faults

import (
	"testing"
	"time"
)

// TestCombinedState: a link is under the faults of both of its ends, each in the direction of the process that has it, and under a partition
// between them.
func TestCombinedState(t *testing.T) {
	for _, c := range []struct {
		from, to LinkState
		group    []int
		want     LinkState
	}{
		{LinkState{}, LinkState{}, nil, LinkState{}},
		{LinkState{CutTo: true}, LinkState{}, nil, LinkState{CutTo: true}},
		{LinkState{}, LinkState{CutTo: true}, nil, LinkState{CutFrom: true}},
		{LinkState{CutFrom: true}, LinkState{CutFrom: true}, nil, LinkState{CutTo: true, CutFrom: true}},
		{LinkState{Delay: time.Second, Slow: true}, LinkState{Spread: time.Second, Reorder: time.Second}, nil, LinkState{Delay: time.Second, Spread: time.Second, Slow: true, Reorder: time.Second}},
		{LinkState{}, LinkState{}, []int{1}, LinkState{CutTo: true, CutFrom: true}},
		{LinkState{}, LinkState{}, []int{0, 1}, LinkState{}},
	} {
		r := &run{processes: []*dispatcherProcess{{index: 0, ownLinkState: c.from}, {index: 1, ownLinkState: c.to}}}
		r.partition(c.group)
		if got := r.combinedState(linkEnds{0, 1}); got != c.want {
			t.Errorf("%+v: %+v", c, got)
		}
	}
}

package faults

import (
	"testing"
	"time"

	"brassdale/internal/faultlink"
)

// TestCombinedState: a link's state combines the faults of the processes at both ends, each in the direction seen from its process, and a
// partition between them.
func TestCombinedState(t *testing.T) {
	for _, c := range []struct {
		from, to faultlink.State
		group    []int
		want     faultlink.State
	}{
		{faultlink.State{}, faultlink.State{}, nil, faultlink.State{}},
		{faultlink.State{CutTo: true}, faultlink.State{}, nil, faultlink.State{CutTo: true}},
		{faultlink.State{}, faultlink.State{CutTo: true}, nil, faultlink.State{CutFrom: true}},
		{faultlink.State{CutFrom: true}, faultlink.State{CutFrom: true}, nil, faultlink.State{CutTo: true, CutFrom: true}},
		{faultlink.State{Delay: time.Second, Slow: true}, faultlink.State{Spread: time.Second, Reorder: time.Second}, nil, faultlink.State{Delay: time.Second, Spread: time.Second, Slow: true, Reorder: time.Second}},
		{faultlink.State{}, faultlink.State{}, []int{1}, faultlink.State{CutTo: true, CutFrom: true}},
		{faultlink.State{}, faultlink.State{}, []int{0, 1}, faultlink.State{}},
	} {
		r := &run{processes: []*dispatcherProcess{{index: 0, ownLinkState: c.from}, {index: 1, ownLinkState: c.to}}}
		r.partition(c.group)
		if got := r.combinedState(linkEnds{0, 1}); got != c.want {
			t.Errorf("%+v: %+v", c, got)
		}
	}
}

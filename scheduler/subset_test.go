package scheduler

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// TestCandidatesForKey_stableAndBalanced checks that if many workers are listed, a key's candidates are a part of them, the same
// at every dispatcher regardless of the order of its list. A worker that joins moves at most a hundredth of the keys, and no
// worker has more than six times the mean number of keys.
func TestCandidatesForKey_stableAndBalanced(t *testing.T) {
	const n, keys = 1000, 4000
	newScheduler := func(n int, reversed bool) *Scheduler {
		settings := baseSettings()
		settings.Dispatchers = 80
		d := New(settings, 1)
		infos := workers(n)
		for i := range infos {
			infos[i].ID = WorkerID(fmt.Sprintf("10.1.%d.%d:3000", i/250, i%250))
		}
		if reversed {
			slices.Reverse(infos)
		}
		d.Handle(start, RequestArrived{ID: 1, Slots: 1, AffinityKey: 1, Deadline: start + time.Second})
		d.Handle(start, EndpointsUpdated{ListKind: ListFull, Workers: infos})
		return d
	}
	firstWorker := func(d *Scheduler, key uint64) (best WorkerID) {
		least := math.Inf(1)
		for _, w := range d.candidatesForKey(key) {
			if h := w.affinityRank(key); h < least {
				least, best = h, w.ID
			}
		}
		return best
	}
	for listed, want := range map[int]int{100: 100, 200: 200, maxFullScanWorkers: maxFullScanWorkers, maxFullScanWorkers + 1: keyCandidates} {
		d := newScheduler(2*maxFullScanWorkers, false) // workers that are gone are not counted
		d.Handle(start, EndpointsUpdated{ListKind: ListFull, Workers: workers(listed)})
		ready := 0
		for _, w := range d.candidatesForKey(1) {
			ready += oneIf(w.ready)
		}
		if ready != want {
			t.Errorf("%d listed: a key has %d candidates, want %d", listed, ready, want)
		}
	}
	a, b, more := newScheduler(n, false), newScheduler(n, true), newScheduler(n+1, false)
	keysByWorker, moved := map[WorkerID]int{}, 0
	for key := uint64(1); key <= keys; key++ {
		if got := len(a.candidatesForKey(key)); got != keyCandidates {
			t.Fatalf("key %d: got %d candidates", key, got)
		}
		first := firstWorker(a, key)
		if first != firstWorker(b, key) {
			t.Fatalf("key %d has another first worker at another dispatcher", key)
		}
		moved += oneIf(first != firstWorker(more, key))
		keysByWorker[first]++
	}
	if moved > keys/100 { // a thousandth of them moves to the new worker; as many others lose their last candidate
		t.Errorf("%d of %d keys moved when one of %d workers joined", moved, keys, n)
	}
	most := 0
	for _, got := range keysByWorker {
		most = max(most, got)
	}
	if mean := float64(keys) / n; float64(most) > 6*mean || len(keysByWorker) < n*8/10 {
		t.Errorf("%d workers have keys; the largest number of keys is %d, the mean %.0f", len(keysByWorker), most, mean)
	}
}

// subsetIDs returns the IDs of the workers in a subset.
func subsetIDs(d *Scheduler) map[WorkerID]bool {
	m := map[WorkerID]bool{}
	for _, w := range d.subset {
		m[w.ID] = true
	}
	return m
}

// TestSubset_smallBalancedStable checks that on a large fleet each dispatcher has a small subset, that each worker is in 0.5 to
// 1.6 times the mean number of subsets, and that a worker that leaves changes at most a fifth of the members of all subsets.
func TestSubset_smallBalancedStable(t *testing.T) {
	infos := zonedWorkers(180, 2)
	schedulers := newSchedulers(baseSettings(), 300, 2, infos)
	own := map[WorkerID]int{}
	for _, d := range schedulers {
		if len(d.subset) != 2*minSubsetSize {
			t.Fatalf("dispatcher %d has a subset of %d workers, want %d of its own zone and as many of the others", d.settings.DispatcherIndex, len(d.subset), minSubsetSize)
		}
		for _, w := range d.subset {
			if w.Zone == d.settings.Zone {
				own[w.ID]++
			}
		}
	}
	mean := float64(300*minSubsetSize) / 180
	for _, w := range infos {
		if n := float64(own[w.ID]); n < 0.5*mean || n > 1.6*mean {
			t.Errorf("worker %s is in the subsets of %v dispatchers of its zone, the mean is %.1f", w.ID, n, mean)
		}
	}
	before := make([]map[WorkerID]bool, len(schedulers))
	for i, d := range schedulers {
		before[i] = subsetIDs(d)
		d.Handle(start, EndpointsUpdated{ListKind: ListDelta, Workers: []WorkerInfo{{ID: infos[40].ID, State: Gone}}})
	}
	moved := 0
	for i, d := range schedulers {
		for id := range subsetIDs(d) {
			if !before[i][id] {
				moved++
			}
		}
	}
	if all := 300 * 2 * minSubsetSize; moved == 0 || moved > all/5 {
		t.Errorf("after one worker left, %d of %d members of subsets changed", moved, all)
	}
}

// TestSubset_wholeSmallFleet checks that a dispatcher's subset contains the whole fleet if the fleet is small relative to its
// arrival rate.
func TestSubset_wholeSmallFleet(t *testing.T) {
	for _, d := range newSchedulers(baseSettings(), 3, 1, zonedWorkers(4, 1)) {
		if !d.loadsKnown || len(d.subset) != 4 {
			t.Errorf("dispatcher %d has %d of 4 workers in its subset", d.settings.DispatcherIndex, len(d.subset))
		}
	}
	d := New(baseSettings(), 1)
	d.Handle(start, EndpointsUpdated{ListKind: ListFull, Workers: zonedWorkers(20, 1)})
	for i := range 60 { // 30 requests a second: all 20 report often enough
		d.Handle(start+Instant(i)*33*ms, RequestArrived{ID: RequestID(i + 1), Slots: 1, Deadline: start + time.Hour})
	}
	d.chooseSubset()
	if !d.loadsKnown || len(d.subset) != 20 {
		t.Errorf("with 30 requests a second its subset has %d of 20 workers", len(d.subset))
	}
}

// TestSubset_replacesEjectedWorkers checks that a subset whose workers are ejected is extended by the next ones in order.
func TestSubset_replacesEjectedWorkers(t *testing.T) {
	d := newSchedulers(baseSettings(), 300, 1, zonedWorkers(100, 1))[7]
	first := slices.Clone(d.subset)
	for _, w := range first {
		d.eject(w, &w.ejectionState, 0, "test")
	}
	d.chooseSubset()
	healthy := 0
	for _, w := range d.subset {
		if w.consecutiveEjections == 0 {
			healthy++
		}
	}
	if healthy < minSubsetSize {
		t.Errorf("with its %d workers ejected the subset has %d healthy ones", len(first), healthy)
	}
}

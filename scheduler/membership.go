// Which workers there are, and which of them requests are drawn to.

package scheduler

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"
)

func (s *Scheduler) onEndpointsUpdated(e EndpointsUpdated) {
	if e.AsOf != 0 {
		s.listAsOf = e.AsOf
	}
	if e.ListKind == ListFull || e.ListKind == ListCached {
		for _, w := range s.workers {
			w.listed = false
		}
	}
	for _, in := range e.Workers {
		s.updateWorker(in)
	}
	s.chooseSubset()
	switch e.ListKind {
	case ListCached:
		s.schedulePoll(maxFirstPollDelay)
	case ListFailed:
		s.schedulePoll(MaxListRetryDelay)
	}
}

// setDetached puts a worker out, or back. Then it is cold: by the list, or, where that tells of no start since it
// was put out, from now on, as the news may be still to come.
func (s *Scheduler) setDetached(id WorkerID, out bool) {
	w := s.workersByID[id]
	if s.detached[id] = out; !out {
		delete(s.detached, id)
	}
	if w == nil || w.detached == out {
		return
	}
	if w.detached, w.nextProbeAt = out, 0; out {
		w.detachedAt = s.now
	} else {
		s.resetStatistics(w)
		if w.reattached = true; w.StartedAt < w.detachedAt {
			w.StartedAt = s.now
		}
	}
	s.chooseSubset()
}

// schedulePoll subscribes after a jittered wait, the longer the more dispatchers there are: the list service is small,
// and those that restart together would overrun it. Behind a failure it is AskMost at the longest: what there
// is to tell counts as told 6 s after it could be had, whatever failed; pacing has the sum of these.
func (s *Scheduler) schedulePoll(most time.Duration) {
	if s.settings.ListPolled {
		s.emit(SetTimer{Token: pollTimer, After: pollDelay(s.settings.Dispatchers, most, s.random.Float64()) + 1})
	}
}

// FirstAsk is how long behind its start one of so many dispatchers asks for the list, by chance from 0 to 1.
func FirstAsk(dispatchers int, chance float64) time.Duration {
	return pollDelay(dispatchers, maxFirstPollDelay, chance)
}

func pollDelay(dispatchers int, most time.Duration, chance float64) time.Duration {
	wait := minPollDelay + min(pollDelayPerDispatcher*time.Duration(max(dispatchers-dispatchersWithoutSpread, 0)), most-minPollDelay)
	return time.Duration(float64(wait) * (fixedPollDelayShare + (1-fixedPollDelayShare)*chance))
}

// chooseSubset picks the workers that jobs are drawn to. Where jobs have keys it is all: what a key needs is at
// its homes, the same for every dispatcher. Else, on a fleet large against the own job rate, it is few: of
// too many a dispatcher hears so seldom that it knows none. All deal the workers of a zone out along the same
// few rings, each from a place by its number, so every worker is drawn from by about as many. The window goes
// on past workers that are shunned, cold or leave.
func (s *Scheduler) chooseSubset() {
	s.subsetChosenAt, s.subset, s.totalWeight = s.now, s.subset[:0], 0
	var zones [2][]*worker // the own zone, and all others
	for _, w := range s.workers {
		if z := oneIf(w.Zone != s.settings.Zone); w.listed && !w.detached {
			zones[z] = append(zones[z], w)
			s.totalWeight += w.weight()
		}
	}
	s.listedCount = len(zones[0]) + len(zones[1])
	all := float64(s.listedCount)
	want := int(math.Ceil(max(minSubsetSize, subsetSeconds*s.arrivalRate, 2*all/float64(s.settings.Dispatchers))))
	if s.loadsKnown = all <= max(wholeFleetSeconds*s.arrivalRate, float64(want)); s.loadsKnown || s.affinityInUse {
		s.subset = append(s.subset, s.workers...)
		s.rebuildHashRing()
		s.rotationCursor %= max(len(s.subset), 1)
		return
	}
	s.addToSubset(zones[0], want)
	s.addToSubset(zones[1], want)
	s.rotationCursor = 0
}

// addToSubset adds so many sound, warm workers along the ring, and the cold ones that this dispatcher owns.
func (s *Scheduler) addToSubset(ws []*worker, want int) {
	ring := s.settings.DispatcherIndex % subsetRings * 64 / subsetRings // a rotated hash gives another order
	slices.SortFunc(ws, func(a, b *worker) int {
		return cmp.Compare(bits.RotateLeft64(a.idHash, ring), bits.RotateLeft64(b.idHash, ring))
	})
	from := int(float64(len(ws)) * float64(bits.Reverse64(uint64(s.settings.DispatcherIndex/subsetRings))) / (1 << 64))
	for i := range ws {
		w := ws[(from+i)%len(ws)]
		cold := s.warmupFactor(w) < 1
		if cold && s.slowStartShare(w) > 0 || !cold && want > 0 {
			s.subset = append(s.subset, w)
		}
		if !cold && w.consecutiveEjections == 0 {
			want--
		}
	}
}

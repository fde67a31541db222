// Which worker takes a request.

package scheduler

import (
	"math"
	"slices"
)

// hasCapacity tells whether one more job of so many slots leaves the worker's queue short enough.
func (s *Scheduler) hasCapacity(w *worker, slots, allow float64) bool {
	if w.ownSlots == 0 && s.warmupFactor(w) < 1 && s.loadValue(w) < 1 {
		return true // its budget decides; held back by its pace as well, it would stay cold for longer
	}
	try := s.reportOverdue(w) && (s.trialsInFlight == 0 || s.trialsInFlight*s.settings.Dispatchers < len(s.workers))
	if w.ownSlots == 0 && s.slowdown(w) == 1 && (try || s.overcommit >= 0 && s.loadValue(w) < 0.5) {
		return true // a wide job must go somewhere, and without a job there may be no further report
	}
	// Where none is out, to hold back relieves nobody, and nothing is heard that raises the allowance again.
	floor := -float64(min(w.ownSlots, 1))
	return (s.loadValue(w)+s.slotShare(w, slots-toleratedSlots))*s.slowdown(w) <= 1+max(allow, floor)+tieTolerance
}

// reportOverdue tells whether a job is needed to hear of a worker: one at a time from all dispatchers, about.
func (s *Scheduler) reportOverdue(w *worker) bool {
	return !s.settings.ReportsPulled && s.now-w.reportedAt > minSilence
}

// pickWorker gives the worker of the lowest load value among those that may take the request, or nil. One that may have begun to drain
// unheard is checked first; where it does not answer soon, another one is taken.
func (s *Scheduler) pickWorker(r *request, allow float64) *worker {
	best := s.leastLoaded(r, allow, s.freshOrProbeable)
	if best == nil || s.confirmedFresh(best) {
		return best
	}
	s.probeBeforeUse(best)
	if s.now < best.probeSentAt+healthCheckWait { // a worker that is further down costs more than its answer takes
		return nil
	}
	return s.leastLoaded(r, allow, s.confirmedFresh)
}

// leastLoaded gives the worker of the lowest load value among the eligible ones that may take the request, or nil.
func (s *Scheduler) leastLoaded(r *request, allow float64, eligible func(*worker) bool) *worker {
	fit := func(w *worker) bool { return s.healthy(w, r.class) && !r.hasTried(w) }
	can := func(w *worker) bool { return eligible(w) && s.permitted(r, w) && fit(w) }
	from, forced := s.candidatesForKey(r.affinityKey), false
	if !slices.ContainsFunc(from, can) {
		from, forced = s.workers, !slices.ContainsFunc(s.workers, can)
	}
	crossing, pace := s.settings.CrossZoneCost*subsetCrossZoneWeight, s.slownessByKind
	if s.loadsKnown { // loads are known well, and tell the pace too
		crossing, pace = s.settings.CrossZoneCost*crossZoneWeight, nil
	}
	spread := s.affinityWidth(r.affinityKey) / max(s.totalWeight, 1e-3)
	var best *worker
	least, at := math.Inf(1), 0
	for i := range from {
		n := (s.rotationCursor + i) % len(from)
		w := from[n]
		if !eligible(w) || !s.permitted(r, w) || !forced && !fit(w) || !s.hasCapacity(w, r.slots, allow) || !s.withinSlowStartBudget(w, r) {
			continue
		}
		v := s.loadValue(w)
		v += (s.slowdown(w)*math.Exp(pace[w.MachineKind])-1)*(v+s.slotShare(w, r.slots)) + failureLoad*w.excessFailureShare(s.now)
		if w.Zone != s.settings.Zone {
			v += crossing
		}
		if w.ownSlots == 0 && (w.reattached || s.congestion > maxCongestion && s.warmupFactor(w) < 1) { // put back by hand, or of use now
			v -= 2 * affinityOffset
		}
		if r.affinityKey != 0 {
			// Departure where jobs have keys: workers with a free slot count as ties, the more so the lower
			// their value, and the rotation starts at the key's own place: one that ran the key before has
			// what others fetch. One that got too much, or where jobs wait until called off, keeps fewer.
			if v > -affinityOffset && (v+s.slotShare(w, r.slots-toleratedSlots))*s.slowdown(w) <= 1 {
				v = max(w.affinityRank(r.affinityKey), spread)*(1+v+w.cancelledWaits.value(s.now))*s.overuse(w) - affinityOffset
			}
		}
		if v < least-tieTolerance || v < least+tieTolerance && w.weightedSends < best.weightedSends-tieTolerance {
			best, least, at = w, min(v, least), n
		}
	}
	if best != nil {
		s.rotationCursor = (at + 1) % len(from)
	}
	return best
}

// permitted tells whether the rules let the request go to the worker at all.
func (s *Scheduler) permitted(r *request, w *worker) bool {
	c := &r.settings.Classes[r.class]
	if !w.listed || w.detached || r.excludesZone(w.Zone) || c.MachineKind >= 0 && c.MachineKind != w.MachineKind {
		return false
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.mayHaveExecuted {
			continue
		}
		switch {
		case a.inFlight && !r.settings.MayHedge, c.Idempotency == NonIdempotent:
			return false
		case c.Idempotency == Idempotent:
		case s.now >= s.retrySendDeadline(r), c.DeduplicationScope == ScopeZone && a.worker.Zone != w.Zone,
			c.DeduplicationScope == ScopeCell && a.worker.Cell != w.Cell:
			return false
		}
	}
	return len(r.attempts) < r.settings.MaxAttempts
}

// retrySendDeadline is when the last byte of a further attempt must have left, or 0: repeats are dropped for the
// window of their class from the first attempt that may have run, which left no sooner than it was pushed.
func (s *Scheduler) retrySendDeadline(r *request) Clock {
	c := &r.settings.Classes[r.class]
	if i := slices.IndexFunc(r.attempts, mayHaveExecuted); i >= 0 && c.Idempotency == IdempotentWithKey {
		return r.attempts[i].sentAt + c.DeduplicationWindow - s.queueReviewInterval()
	}
	return 0
}

// overuse is how far a worker's part of the recent jobs is over the part that its size makes fair; 1 at least.
// The own ones are a sample of all.
func (s *Scheduler) overuse(w *worker) float64 {
	doubt := max(overusePriorJobs/float64(max(s.settings.Dispatchers, 2)), minOverusePriorJobs)
	return max((w.recentSends.value(s.now)+doubt)/(s.recentSends.value(s.now)/max(s.totalWeight, 1e-3)+doubt), 1)
}

// affinityWidth is how many of a key's homes count alike for it: as many as its part of the own jobs fills, by what
// a sample of so few at least shows (a standard deviation less). All dispatchers sample the same jobs: a hot
// key must not wait at its first home to find its second, nor a rare one be fetched where it is not kept.
func (s *Scheduler) affinityWidth(key uint64) float64 {
	came := s.recentKeys.counts[key] - 1 // beside this one
	homes := affinityHeadroom * float64(s.listedCount) * (came - math.Sqrt(max(came, 0))) / s.recentKeys.total
	if homes <= 1 {
		return 0
	}
	return homes
}

// isAffinityWorker tells whether the worker is one of the first in the rotation of the request's key.
func (s *Scheduler) isAffinityWorker(r *request, w *worker) bool {
	before, own := 0, w.affinityRank(r.affinityKey)
	for _, o := range s.candidatesForKey(r.affinityKey) {
		before += oneIf(o.listed && o.affinityRank(r.affinityKey) < own)
	}
	return before < affinityWorkersPerKey
}

// priorityDensity is what a request is worth for each unit of its work.
func (s *Scheduler) priorityDensity(r *request) float64 {
	worth := r.settings.Classes[r.class].PriorityWeight
	if s.settings.WeightByWork {
		return worth
	}
	return worth / max(s.classes[r.class].workScale, 1e-3)
}

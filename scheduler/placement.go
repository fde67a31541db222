package scheduler

import (
	"math"
	"slices"
)

// Placement: which worker gets a request. It is the one with the lowest score, round robin among ties, of the workers that meet
// all of these conditions:
//
//   - The request may be sent to the worker (permitted).
//   - The worker is neither ejected nor tried before (suitable).
//   - It has capacity for the request (hasCapacity, withinSlowStartBudget).
//   - Its state was confirmed recently enough (confirmedFresh).

const (
	// crossZoneWeight is the load, as a share of a worker and per unit of Settings.CrossZoneCost, that is added to the score of a
	// worker in another zone if the loads of all workers are known.
	crossZoneWeight = 15

	// subsetCrossZoneWeight replaces crossZoneWeight if loads are known only roughly, as in a subset.
	subsetCrossZoneWeight = 3

	// failureLoad is the load, as a multiple of a worker's capacity, that is added to its score for a failure share of 1.
	failureLoad = 2

	// tieTolerance is the difference below which two scores count as equal.
	tieTolerance = 1e-9
)

// scoreTerms are the parts of a score that are the same for all candidates of one request.
type scoreTerms struct {
	crossZoneLoad     float64         // added to a worker of another zone
	logSlownessByKind map[int]float64 // mean logarithm of the slowness of a machine kind; nil if the loads reflect it
	sharedRank        float64         // affinity ranks up to this one count as equal
}

// pickWorker returns the worker to which request should be sent now, or nil if there is none at the moment.
//
// If the best worker is no longer confirmedFresh, it is probed, and the request waits up to probeBeforeUseWait for the result:
// the second best usually costs more than this wait. After that the best confirmedFresh worker is taken.
//
// Side effects: it may emit a Probe, and it moves the rotation cursor past the best worker even if the caller does not use it.
func (s *Scheduler) pickWorker(request *request) *worker {
	best := s.lowestScore(request, s.freshOrProbeable)
	if best == nil || s.confirmedFresh(best) {
		return best
	}
	s.probeBeforeUse(best)
	if s.now < best.probeSentAt+probeBeforeUseWait {
		return nil
	}
	return s.lowestScore(request, s.confirmedFresh)
}

// lowestScore returns the worker with the lowest score among the eligible ones that can take request now, or nil. Equal scores
// go to the worker with the lowest weightedSends, then to the first one from the rotation cursor, which moves past the winner.
func (s *Scheduler) lowestScore(request *request, eligible func(*worker) bool) *worker {
	candidates, acceptUnsuitable := s.candidates(request, eligible)
	terms := s.scoreTerms(request)
	var best *worker
	lowest, bestIndex := math.Inf(1), 0
	for offset := range candidates {
		index := (s.rotationCursor + offset) % len(candidates)
		candidate := candidates[index]
		if !eligible(candidate) || !s.permitted(request, candidate) || !acceptUnsuitable && !s.suitable(request, candidate) {
			continue
		}
		if !s.hasCapacity(candidate, request.slots) || !s.withinSlowStartBudget(candidate, request) {
			continue
		}
		score := s.score(request, candidate, &terms)
		tie := score < lowest+tieTolerance
		if score < lowest-tieTolerance || tie && candidate.weightedSends < best.weightedSends-tieTolerance {
			best, lowest, bestIndex = candidate, min(score, lowest), index
		}
	}
	if best != nil {
		s.rotationCursor = (bestIndex + 1) % len(candidates)
	}
	return best
}

// candidates returns the workers to choose from: the subset (for a request with an affinity key, the key's part of it), or all
// workers if no worker of the subset is eligible (the parameter), permitted and suitable. If no other worker is all three either,
// acceptUnsuitable is true: an ejected worker, or one that was tried before, is better than none.
func (s *Scheduler) candidates(request *request, eligible func(*worker) bool) (candidates []*worker, acceptUnsuitable bool) {
	usable := func(candidate *worker) bool {
		return eligible(candidate) && s.permitted(request, candidate) && s.suitable(request, candidate)
	}
	candidates = s.candidatesForKey(request.affinityKey)
	if slices.ContainsFunc(candidates, usable) {
		return candidates, false
	}
	return s.workers, !slices.ContainsFunc(s.workers, usable)
}

// suitable reports whether the worker is healthy for the request's class and has had no attempt of the request yet.
func (s *Scheduler) suitable(request *request, worker *worker) bool {
	return s.healthy(worker, request.class) && !request.hasTried(worker)
}

// scoreTerms returns the parts that are the same in the scores of all candidates of a request.
func (s *Scheduler) scoreTerms(request *request) scoreTerms {
	terms := scoreTerms{
		crossZoneLoad:     s.settings.CrossZoneCost * subsetCrossZoneWeight,
		logSlownessByKind: s.logSlownessByKind,
		sharedRank:        s.affinityWidth(request.affinityKey) / max(s.totalWeight, 1e-3),
	}
	if s.loadsKnown { // the loads already reflect the speed of a machine kind
		terms.crossZoneLoad, terms.logSlownessByKind = s.settings.CrossZoneCost*crossZoneWeight, nil
	}
	return terms
}

// score returns the score of a worker for a request: the candidate with the lowest score is chosen. The score is the load value,
// as a share of the worker, plus additions for its slowness, its recent failures and another zone. Two rules change it:
//
//   - A worker without own attempts that the operator has just reattached, or that warms up while many requests wait elsewhere,
//     comes first (2 x affinityOffset less): by its load alone it would not get work.
//   - For a request with an affinity key, workers with a free slot come next, ordered by the key (affinityScore) instead of load.
//
// So there are three ranges of scores: about -2 x affinityOffset, between -affinityOffset and 0, and the loads from 0 up.
func (s *Scheduler) score(request *request, worker *worker, terms *scoreTerms) float64 {
	score := s.loadValue(worker)
	slowFactor := s.slowdown(worker) * math.Exp(terms.logSlownessByKind[worker.MachineKind])
	score += (slowFactor-1)*(score+s.slotShare(worker, request.slots)) + failureLoad*worker.excessFailureShare(s.now)
	if worker.Zone != s.settings.Zone {
		score += terms.crossZoneLoad
	}
	if worker.ownSlots == 0 && (worker.reattached || s.congestion > maxCongestion && s.warmupFactor(worker) < 1) {
		score -= 2 * affinityOffset
	}
	if request.affinityKey == 0 || score <= -affinityOffset {
		return score
	}
	if (score+s.slotShare(worker, request.slots-toleratedSlots))*s.slowdown(worker) <= 1 {
		return s.affinityScore(request, worker, score, terms.sharedRank)
	}
	return score
}

package scheduler

import (
	"math"
)

// Affinity: requests with the same key go to the same workers, which then have the key's data cached. A key ranks the workers by
// hashes (rendezvous hashing), so that all dispatchers agree on the ranks without communication.

const (
	// affinityOffset separates scores by affinity from scores by load: it is larger than any affinity score.
	affinityOffset = 1e3

	// affinityWorkersPerKey is the number of first workers by rank that count as a key's affinity workers: one would have too few
	// slots, with three the key's data would be fetched too often.
	affinityWorkersPerKey = 2

	// affinityHeadroom is the number of workers that share a key, as a multiple of the number of workers that the key's requests
	// fill.
	affinityHeadroom = 1.5

	// overusePriorJobs is the number of jobs, per unit of weight and over all dispatchers, that is added to both sides when the
	// use of a worker is compared with its fair share. It damps random differences.
	overusePriorJobs = 20

	// minOverusePriorJobs is the lower bound of the part of overusePriorJobs that one dispatcher adds.
	minOverusePriorJobs = 0.4

	// keysPerWorker is the number of recent requests that recentKeys covers for each listed worker. With this number, a key that
	// fills a worker is counted a few times.
	keysPerWorker = 4
)

// keyCounter counts recent requests by affinity key.
type keyCounter struct {
	counts map[uint64]float64
	total  float64 // sum of counts
}

// add counts one request with the key. When the total reaches capacity, all counts are halved and counts below 1 are dropped, so
// that the number of keys stays at or below about the capacity.
func (c *keyCounter) add(key uint64, capacity int) {
	if c.total >= float64(max(capacity, 1)) {
		c.total /= 2
		for other, count := range c.counts {
			if c.counts[other] = count / 2; count < 2 {
				delete(c.counts, other)
			}
		}
	}
	c.counts[key]++
	c.total++
}

// affinityScore returns the score of a worker with a free slot, for a request with an affinity key; the lowest score wins.
// Without the offset it is rank x (1 + load + cancelledWaits) x overuse. rank is the worker's rank for the key, load its score by
// load. Ranks up to sharedRank count as equal.
func (s *Scheduler) affinityScore(request *request, worker *worker, load, sharedRank float64) float64 {
	rank := max(worker.affinityRank(request.affinityKey), sharedRank)
	return rank*(1+load+worker.cancelledWaits.value(s.now))*s.overuse(worker) - affinityOffset
}

// affinityRank returns a worker's rank for a key, the same at every dispatcher; the lowest rank is the first. Over many keys, a
// worker is first in proportion to its weight (weighted rendezvous hashing).
func (w *worker) affinityRank(key uint64) float64 {
	uniform := (float64(mixBits(mixBits(key)^w.idHash)>>11) + 0.5) / (1 << 53) // in (0, 1)
	return -math.Log(uniform) / w.weight()
}

// affinityWidth returns the number of a key's first workers that count as equal for it; 0 for a key that fills no more than one
// worker. It follows from the key's share of the recent own requests, minus one standard deviation of this count. All dispatchers
// see samples of the same requests, so they roughly agree: the requests of a frequent key spread at once instead of queueing at
// its first worker, and the data of a rare key is not fetched by workers that do not have it cached.
func (s *Scheduler) affinityWidth(key uint64) float64 {
	earlier := s.recentKeys.counts[key] - 1 // without the current request
	lowEstimate := earlier - math.Sqrt(max(earlier, 0))
	width := affinityHeadroom * float64(s.availableCount) * lowEstimate / s.recentKeys.total
	if width <= 1 {
		return 0
	}
	return width
}

// isAffinityWorker reports whether the worker is one of the first affinityWorkersPerKey ready workers by rank for the request's
// key.
func (s *Scheduler) isAffinityWorker(request *request, worker *worker) bool {
	rankedBefore, rank := 0, worker.affinityRank(request.affinityKey)
	for _, other := range s.candidatesForKey(request.affinityKey) {
		rankedBefore += oneIf(other.ready && other.affinityRank(request.affinityKey) < rank)
	}
	return rankedBefore < affinityWorkersPerKey
}

// overuse returns the worker's share of the recent own sends as a multiple of its fair share by weight, at least 1. The own sends
// count as a sample of the sends of all dispatchers.
func (s *Scheduler) overuse(worker *worker) float64 {
	prior := max(overusePriorJobs/float64(max(s.settings.Dispatchers, 2)), minOverusePriorJobs)
	fairSends := s.recentSends.value(s.now) / max(s.totalWeight, 1e-3)
	return max((worker.recentWeightedSends.value(s.now)+prior)/(fairSends+prior), 1)
}

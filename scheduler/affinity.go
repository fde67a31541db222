package scheduler

import (
	"math"
)

// Affinity: requests with the same key go to the same workers, which still have what the key needs. The ranks of workers for a
// key follow from hashes (rendezvous hashing), so that all dispatchers agree on them without talking to each other.

const (
	// affinityOffset separates scores by affinity from scores by load: it is larger than any affinity score.
	affinityOffset = 1e3

	// affinityWorkersPerKey is the number of first workers in a key's rank that count as its affinity workers: one would have
	// too few slots, with three the key's data would be fetched too often.
	affinityWorkersPerKey = 2

	// affinityHeadroom is the number of workers that share a key, as a multiple of those that the key's requests fill.
	affinityHeadroom = 1.5

	// overusePriorJobs is the number of jobs, for each unit of weight and over all dispatchers, that are assumed in addition to those
	// counted when the use of a worker is compared with its fair part: it damps chance.
	overusePriorJobs = 20

	// minOverusePriorJobs is the least part of overusePriorJobs that one dispatcher assumes.
	minOverusePriorJobs = 0.4

	// keysPerWorker is the number of recent requests for each listed worker that recentKeys covers: a key that fills a worker is
	// seen a few times.
	keysPerWorker = 4
)

// keyCounter counts recent requests by affinity key.
type keyCounter struct {
	counts map[uint64]float64
	total  float64 // sum of counts
}

// add counts one request with the key. When the total reaches capacity, all counts are halved and those that fall below 1 are
// dropped, so that there are never more keys than about the capacity.
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

// affinityScore returns the order of a worker with a free slot among such workers, for a request with an affinity key: by the
// key's rank, the more so the lower load is (the worker's score by load). A worker whose jobs waited until they were cancelled,
// or that gets more than its fair part of all requests, moves back. Ranks up to sharedRank count alike.
func (s *Scheduler) affinityScore(request *request, worker *worker, load, sharedRank float64) float64 {
	rank := max(worker.affinityRank(request.affinityKey), sharedRank)
	return rank*(1+load+worker.cancelledWaits.value(s.now))*s.overuse(worker) - affinityOffset
}

// affinityRank returns a worker's place in a key's order, the same at every dispatcher: the lowest comes first. Over many keys a
// worker is first in proportion to its weight (weighted rendezvous hashing).
func (w *worker) affinityRank(key uint64) float64 {
	uniform := (float64(mixBits(mixBits(key)^w.idHash)>>11) + 0.5) / (1 << 53) // in (0, 1)
	return -math.Log(uniform) / w.weight()
}

// affinityWidth returns how many of a key's first workers count alike for it, as a number of workers; 0 for a key that fills no
// more than one. It follows from the key's share of the recent own requests, less one standard deviation of such a count. All
// dispatchers see samples of the same requests, so they roughly agree: a frequent key spreads at once instead of queueing at its
// first worker, and a rare key is not fetched where it is not cached.
func (s *Scheduler) affinityWidth(key uint64) float64 {
	earlier := s.recentKeys.counts[key] - 1 // without the request at hand
	lowEstimate := earlier - math.Sqrt(max(earlier, 0))
	width := affinityHeadroom * float64(s.availableCount) * lowEstimate / s.recentKeys.total
	if width <= 1 {
		return 0
	}
	return width
}

// isAffinityWorker reports whether the worker is one of the first affinityWorkersPerKey listed ones in the rank of the request's
// key.
func (s *Scheduler) isAffinityWorker(request *request, worker *worker) bool {
	before, rank := 0, worker.affinityRank(request.affinityKey)
	for _, other := range s.candidatesForKey(request.affinityKey) {
		before += oneIf(other.ready && other.affinityRank(request.affinityKey) < rank)
	}
	return before < affinityWorkersPerKey
}

// overuse returns the worker's share of the recent own sends as a multiple of the share that its weight makes fair, at least 1.
// The own sends stand for those of all dispatchers.
func (s *Scheduler) overuse(worker *worker) float64 {
	prior := max(overusePriorJobs/float64(max(s.settings.Dispatchers, 2)), minOverusePriorJobs)
	fair := s.recentSends.value(s.now) / max(s.totalWeight, 1e-3)
	return max((worker.recentWeightedSends.value(s.now)+prior)/(fair+prior), 1)
}

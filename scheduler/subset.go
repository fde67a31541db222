package scheduler

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"
)

// Subset: which workers requests are sent to at all. A dispatcher knows a worker's load by its own attempts there; of too many
// workers it would see each too seldom. Where requests have affinity keys all workers are in the subset, and a key has its own
// part of them (candidatesForKey).

const (
	// wholeFleetSeconds is the mean time, in seconds, in which each listed worker gets an own request, up to which all workers
	// are in the subset and their loads count as known.
	wholeFleetSeconds = 3

	// minSubsetSize is the least number of workers of a subset, for the own zone and for all others.
	minSubsetSize = 4

	// subsetSeconds is the time, in seconds, in which as many own requests arrive as there are workers in the subset.
	subsetSeconds = 0.5

	// dispatchersPerWorker is the least number of dispatchers that have a worker in their subsets.
	dispatchersPerWorker = 2

	// subsetOrders is the number of orders in which workers are assigned to dispatchers.
	subsetOrders = 4

	// subsetInterval is the time between choices of the subset.
	subsetInterval = time.Second

	// keyCandidates is the number of workers to choose from for a request with an affinity key, in addition to the warming ones of which
	// this dispatcher has a slow-start share, where more than maxFullScanWorkers are listed.
	keyCandidates = 32

	// maxFullScanWorkers is the number of listed workers up to which all of them are candidates for each key: a frequent key may
	// need a third of them. Looking at all 512 costs about 0.3 ms a request.
	maxFullScanWorkers = 512

	// hashRingSalt makes a key's place on the hash ring independent of its affinity ranks.
	hashRingSalt = 0x5bd1e995
)

// chooseSubset chooses the workers that requests are sent to. All are chosen where requests have affinity keys, as the workers of
// a key must be the same at every dispatcher, and where the fleet is small against the own arrival rate. Otherwise a few are,
// as many of the own zone as of all others. All dispatchers order the workers of a zone in one of a few common orders, and each takes them
// from an offset that follows from its number, so that every worker is in about as many subsets. It also updates
// availableCount, totalWeight and loadsKnown.
func (s *Scheduler) chooseSubset() {
	s.subsetChosenAt, s.subset, s.totalWeight = s.now, s.subset[:0], 0
	var ownZone, otherZones []*worker
	for _, candidate := range s.workers {
		if !candidate.available() {
			continue
		}
		s.totalWeight += candidate.weight()
		if candidate.Zone == s.settings.Zone {
			ownZone = append(ownZone, candidate)
		} else {
			otherZones = append(otherZones, candidate)
		}
	}
	s.availableCount = len(ownZone) + len(otherZones)
	all := float64(s.availableCount)
	perDispatcher := dispatchersPerWorker * all / float64(s.settings.Dispatchers)
	wanted := int(math.Ceil(max(minSubsetSize, subsetSeconds*s.arrivalRate, perDispatcher)))
	s.loadsKnown = all <= max(wholeFleetSeconds*s.arrivalRate, float64(wanted))
	if s.loadsKnown || s.affinityInUse {
		s.subset = append(s.subset, s.workers...)
		s.rebuildHashRing()
		s.rotationCursor %= max(len(s.subset), 1)
		return
	}
	s.addToSubset(ownZone, wanted)
	s.addToSubset(otherZones, wanted)
	s.rotationCursor = 0
}

// usesSubset reports whether chooseSubset chose some workers. Otherwise the subset has all of workers, those that are gone or detached
// too; a chosen one lacks what is not available.
func (s *Scheduler) usesSubset() bool { return len(s.subset) < len(s.workers) }

// addToSubset adds workers in this dispatcher's order until the wanted number of healthy, warm ones is in the subset, and of the warming
// ones those of which it has a slow-start share.
func (s *Scheduler) addToSubset(workers []*worker, wanted int) {
	rotation := s.settings.DispatcherIndex % subsetOrders * 64 / subsetOrders // of the hash, in bits: each gives another order
	slices.SortFunc(workers, func(a, b *worker) int {
		return cmp.Compare(bits.RotateLeft64(a.idHash, rotation), bits.RotateLeft64(b.idHash, rotation))
	})
	place := float64(bits.Reverse64(uint64(s.settings.DispatcherIndex / subsetOrders)))
	first := int(float64(len(workers)) * place / (1 << 64))
	for i := range workers {
		candidate := workers[(first+i)%len(workers)]
		warming := s.warmupFactor(candidate) < 1
		if warming && s.slowStartShare(candidate) > 0 || !warming && wanted > 0 {
			s.subset = append(s.subset, candidate)
		}
		if !warming && candidate.consecutiveEjections == 0 {
			wanted--
		}
	}
}

// rebuildHashRing brings the hash ring up to date: the available workers of the subset by their hashes, with the first
// keyCandidates once more at the end, so that each part of the ring is one slice. It is empty where all workers are candidates
// for each key. The sum of the members' hashes shows whether it has changed.
func (s *Scheduler) rebuildHashRing() {
	count, sum := 0, uint64(0)
	s.warmingCandidates = s.warmingCandidates[:0]
	for _, member := range s.subset {
		if !member.available() {
			continue
		}
		count, sum = count+1, sum+mixBits(member.idHash)
		if s.warmupFactor(member) < 1 && s.slowStartShare(member) > 0 {
			s.warmingCandidates = append(s.warmingCandidates, member)
		}
	}
	if count <= maxFullScanWorkers {
		s.hashRing = s.hashRing[:0]
		return
	}
	if sum == s.hashRingSum && len(s.hashRing) > 0 {
		return
	}
	s.hashRing, s.hashRingSum = s.hashRing[:0], sum
	for _, member := range s.subset {
		if member.available() {
			s.hashRing = append(s.hashRing, member)
		}
	}
	slices.SortFunc(s.hashRing, func(a, b *worker) int { return cmp.Compare(a.idHash, b.idHash) })
	s.hashRing = append(s.hashRing, s.hashRing[:keyCandidates]...)
}

// candidatesForKey returns the workers to choose from for an affinity key: the subset, or, where the hash ring is in use, the
// keyCandidates workers from the key's place on it and the warming ones. They are the same at every dispatcher; a worker that
// joins or leaves changes one worker of few keys. The result is valid until the next call.
func (s *Scheduler) candidatesForKey(key uint64) []*worker {
	if key == 0 || len(s.hashRing) == 0 {
		return s.subset
	}
	members := s.hashRing[:len(s.hashRing)-keyCandidates]
	place, _ := slices.BinarySearchFunc(members, mixBits(key^hashRingSalt), func(w *worker, hash uint64) int {
		return cmp.Compare(w.idHash, hash)
	})
	part := s.hashRing[place%len(members):][:keyCandidates]
	s.candidateBuffer = append(append(s.candidateBuffer[:0], part...), s.warmingCandidates...)
	return s.candidateBuffer
}

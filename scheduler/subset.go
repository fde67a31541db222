package scheduler

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"
)

// Subset: the workers that a dispatcher sends requests to. A dispatcher learns a worker's load from its own attempts there; with
// too many workers, it would see each of them too rarely. If requests have affinity keys, all workers are in the subset, and each
// key has its own candidates among them (candidatesForKey).

const (
	// All workers are in the subset, and their loads count as known, if each listed worker gets an own request every
	// wholeFleetSeconds seconds or more often, on average.
	wholeFleetSeconds = 3

	// minSubsetSize is the minimum number of workers in a subset from the own zone, and from all other zones together.
	minSubsetSize = 4

	// A subset of some workers has at least as many of them as own requests arrive in subsetSeconds seconds.
	subsetSeconds = 0.5

	// dispatchersPerWorker is the minimum number of subsets (one for each dispatcher) that a worker is in, on average.
	dispatchersPerWorker = 2

	// subsetOrders is the number of different orders of the workers; each dispatcher uses one of them.
	subsetOrders = 4

	// subsetInterval is the time after which the subset is chosen again.
	subsetInterval = time.Second

	// keyCandidates is the number of candidates for an affinity key if more than maxFullScanWorkers workers are listed. The
	// warming workers of which this dispatcher has a slow-start share are candidates in addition.
	keyCandidates = 32

	// maxFullScanWorkers is the number of listed workers up to which all of them are candidates for each key: a frequent key may
	// need a third of them. A scan of 512 workers costs about 0.3 ms per request.
	maxFullScanWorkers = 512

	// hashRingSalt makes a key's position on the hash ring independent of its affinity ranks.
	hashRingSalt = 0x5bd1e995
)

// chooseSubset chooses the workers that requests are sent to. It chooses all workers if requests have affinity keys, because the
// workers of a key must be the same at every dispatcher, or if the fleet is small relative to the own arrival rate. Otherwise it
// chooses a few: as many from the own zone as from all other zones together. Each dispatcher sorts the workers in one of
// subsetOrders common orders and takes them from an offset that follows from its index, so that all workers are in about the same
// number of subsets. It also updates availableCount, totalWeight and loadsKnown.
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

// usesSubset reports whether chooseSubset chose only some of the workers. A subset of all workers includes those that are gone or
// detached; a subset of some has only available workers.
func (s *Scheduler) usesSubset() bool { return len(s.subset) < len(s.workers) }

// addToSubset adds workers in the order of this dispatcher: warm workers until the wanted number of healthy ones is in the
// subset, and all warming workers of which this dispatcher has a slow-start share.
func (s *Scheduler) addToSubset(workers []*worker, wanted int) {
	rotation := s.settings.DispatcherIndex % subsetOrders * 64 / subsetOrders // of the hash, in bits; each rotation gives a different order
	slices.SortFunc(workers, func(a, b *worker) int {
		return cmp.Compare(bits.RotateLeft64(a.idHash, rotation), bits.RotateLeft64(b.idHash, rotation))
	})
	reversedIndex := float64(bits.Reverse64(uint64(s.settings.DispatcherIndex / subsetOrders)))
	first := int(float64(len(workers)) * reversedIndex / (1 << 64))
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

// rebuildHashRing updates the hash ring: the available workers of the subset, sorted by hash. The first keyCandidates workers are
// repeated at the end, so that the candidates of each key are one slice. The ring is empty if all workers are candidates for each
// key. The sum of the members' hashes shows whether the members have changed.
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

// candidatesForKey returns the candidates for an affinity key: the subset or, if the hash ring is in use, the keyCandidates
// workers from the key's position on the ring and the warmingCandidates. The workers from the ring are the same at every
// dispatcher. If a worker joins or leaves, one candidate of a few keys changes. The result is valid until the next call.
func (s *Scheduler) candidatesForKey(key uint64) []*worker {
	if key == 0 || len(s.hashRing) == 0 {
		return s.subset
	}
	members := s.hashRing[:len(s.hashRing)-keyCandidates]
	position, _ := slices.BinarySearchFunc(members, mixBits(key^hashRingSalt), func(w *worker, hash uint64) int {
		return cmp.Compare(w.idHash, hash)
	})
	part := s.hashRing[position%len(members):][:keyCandidates]
	s.candidateBuffer = append(append(s.candidateBuffer[:0], part...), s.warmingCandidates...)
	return s.candidateBuffer
}

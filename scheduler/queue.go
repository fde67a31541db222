package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Admission and the queue: what an arriving request gets, and the order in which queued requests are sent.

// onRequestArrived admits a request: it queues, unless its deadline is so near that only a rejection is in time. A second one
// with the same id is ignored.
func (s *Scheduler) onRequestArrived(event RequestArrived) {
	if s.requests[event.ID] != nil {
		return
	}
	if event.Class < 0 || event.Class >= len(s.settings.Classes) {
		event.Class = 0 // unknown: the first class stands in
	}
	if figureOrMissing(event.Slots) <= 0 {
		event.Slots = 1
	}
	s.recordArrival()
	s.recordKey(event.AffinityKey)
	arrived := s.newRequest(event)
	if s.shutdownDeadline > 0 { // not before: the time that this process leaves says nothing of how long the client has waited
		arrived.deadline = min(arrived.deadline, s.shutdownDeadline)
	}
	s.requests[event.ID] = arrived
	s.requestsByArrival = append(s.requestsByArrival, arrived)
	if arrived.deadline-s.now <= s.queueReviewInterval() {
		s.rejectOrFail(arrived, DeadlineNear)
		return
	}
	s.queued = append(s.queued, arrived)
}

// recordArrival updates the own arrival rate, in requests a second.
func (s *Scheduler) recordArrival() {
	window := min(max(s.now-s.firstEventAt, time.Second), arrivalRateWindow)
	decay := math.Exp(-float64(s.now-s.lastArrivalAt) / float64(window))
	s.arrivalRate = s.arrivalRate*decay + 1/window.Seconds()
	s.lastArrivalAt = s.now
}

// recordKey counts a request's affinity key, if it has one. The first one ever makes all workers candidates (chooseSubset).
func (s *Scheduler) recordKey(key uint64) {
	if key == 0 {
		return
	}
	if !s.affinityInUse {
		s.affinityInUse = true
		s.chooseSubset()
	}
	s.recentKeys.add(key, keysPerWorker*s.availableCount)
}

// newRequest returns the state of an arrived request. When its client first sent it is estimated from the time left to the
// deadline: a client's retry has less than the longest time that its class ever had on arrival. One with less than half of that
// is taken for the first request of a client with a shorter deadline.
func (s *Scheduler) newRequest(event RequestArrived) *request {
	class := &s.classes[event.Class]
	timeLeft := event.Deadline - s.now
	class.longestTimeLeft = max(class.longestTimeLeft, timeLeft)
	clientStartedAt := s.now
	if timeLeft > class.longestTimeLeft/2 {
		clientStartedAt = min(s.now, event.Deadline-class.longestTimeLeft)
	}
	s.lastSequence++
	return &request{
		id: event.ID, settings: s.settings, class: event.Class, sequence: s.lastSequence, slots: event.Slots,
		affinityKey: event.AffinityKey, estimatedWork: max(event.EstimatedWork, 0), allowedZones: event.AllowedZones,
		clientStartedAt: clientStartedAt, deadline: event.Deadline,
	}
}

// sendQueued sends the queued requests, in the order of compareQueued, as far as workers have capacity. Requests whose affinity
// worker takes them go first, since a free slot there serves them fastest.
func (s *Scheduler) sendQueued() {
	if len(s.queued) == 0 {
		return
	}
	s.queued = slices.DeleteFunc(s.queued, func(r *request) bool { return r.settled })
	if len(s.queued) > 1 {
		slices.SortStableFunc(s.queued, s.compareQueued)
	}
	s.sendQueuedTo(true)
	s.sendQueuedTo(false)
}

// sendQueuedTo sends what can be sent: to affinity workers alone, or to any. Once no worker takes a first attempt, no other first
// attempt is tried. Retries always are, and one without a worker says nothing of the others: it may go to fewer workers.
func (s *Scheduler) sendQueuedTo(affinityWorkersOnly bool) {
	full := false
	s.queued = slices.DeleteFunc(s.queued, func(request *request) bool {
		retry := len(request.attempts) > 0
		if full && !retry || affinityWorkersOnly && request.affinityKey == 0 {
			return false
		}
		worker := s.pickWorker(request)
		if worker == nil {
			full = full || !retry
			return false
		}
		if affinityWorkersOnly && !s.isAffinityWorker(request, worker) {
			return false
		}
		s.send(request, worker)
		return true
	})
}

// compareQueued orders queued requests: those that can still be in time first, then by priority for their work, then the
// youngest. Under overload the oldest are nearly lost, and sent first they would make all others late.
func (s *Scheduler) compareQueued(a, b *request) int {
	late := oneIf(s.spareWait(a) < 0) - oneIf(s.spareWait(b) < 0)
	return cmp.Or(late, cmp.Compare(s.priorityDensity(b), s.priorityDensity(a)), cmp.Compare(b.sequence, a.sequence))
}

// priorityDensity returns the priority weight of request for each unit of its class's mean work, or, where weights are already
// meant for a unit of work (WeightByWork), the weight alone.
func (s *Scheduler) priorityDensity(request *request) float64 {
	weight := request.settings.Classes[request.class].PriorityWeight
	if s.settings.WeightByWork {
		return weight
	}
	return weight / max(s.classes[request.class].workScale, 1e-3)
}

package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Admission and the queue: whether an arriving request is queued or rejected, and the order in which queued requests are sent.

// onRequestArrived queues a request. If its deadline is at most one review interval away, only a rejection can still be in
// time, and it is rejected. A second request with the same id is ignored.
func (s *Scheduler) onRequestArrived(event RequestArrived) {
	if s.requests[event.ID] != nil {
		return
	}
	if event.Class < 0 || event.Class >= len(s.settings.Classes) {
		event.Class = 0 // unknown: use the first class
	}
	if figureOrMissing(event.Slots) <= 0 {
		event.Slots = 1
	}
	s.recordArrival()
	s.recordKey(event.AffinityKey)
	arrived := s.newRequest(event)
	if arrived.hasIdempotencyKey() {
		arrived.earlierRun = s.keyedRuns.find(arrived.idempotencyKey, s.now)
	}
	if s.shutdownDeadline > 0 { // not earlier: newRequest estimates the client's wait from the client's own deadline
		arrived.deadline = min(arrived.deadline, s.shutdownDeadline)
	}
	s.requests[event.ID] = arrived
	s.requestsByArrival = append(s.requestsByArrival, arrived)
	if arrived.deadline-s.now <= s.queueReviewInterval() {
		s.rejectOrFail(arrived, DeadlineNear)
		return
	}
	if arrived.earlierRun != nil && !s.retryPossible(arrived) {
		s.rejectOrFail(arrived, NoRetryLeft)
		return
	}
	s.queued = append(s.queued, arrived)
}

// recordArrival updates this dispatcher's arrival rate, in requests a second.
func (s *Scheduler) recordArrival() {
	window := min(max(s.now-s.firstEventAt, time.Second), arrivalRateWindow)
	decay := math.Exp(-float64(s.now-s.lastArrivalAt) / float64(window))
	s.arrivalRate = s.arrivalRate*decay + 1/window.Seconds()
	s.lastArrivalAt = s.now
}

// recordKey counts a request's affinity key, if it has one. The first key ever seen makes all workers candidates (chooseSubset).
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

// newRequest returns the state of an arrived request. From the time left to the deadline it estimates when the client first sent
// the request: a first request is assumed to have the longest time left that was ever seen in its class, and a client's retry
// has less. If at most half of that longest time is left, the request counts as the first one of a client with a shorter
// deadline.
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
		clientStartedAt: clientStartedAt, deadline: event.Deadline, idempotencyKey: event.IdempotencyKey,
	}
}

// sendQueued sends queued requests in the order of compareQueued, as far as workers have capacity. Requests that one of their
// affinity workers can take go first: a free slot there serves them fastest.
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

// sendQueuedTo sends the queued requests that a worker can take now. If affinityWorkersOnly is true, it sends only the requests
// whose chosen worker is one of their affinity workers. If no worker can take a first attempt, the other first attempts are
// skipped. A retry is always tried. If no worker can take it, the other requests are still tried, because a retry may go to
// fewer workers than a first attempt.
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

// compareQueued orders queued requests: first those that can still be in time, then by descending priorityDensity, then the
// latest arrivals first. Under overload the oldest requests are almost late; if they were sent first, all others would be late.
func (s *Scheduler) compareQueued(a, b *request) int {
	late := oneIf(s.startSlack(a) < 0) - oneIf(s.startSlack(b) < 0)
	return cmp.Or(late, cmp.Compare(s.priorityDensity(b), s.priorityDensity(a)), cmp.Compare(b.sequence, a.sequence))
}

// priorityDensity returns the priority weight of request per unit of its class's mean work. If the weights are already per unit
// of work (WeightByWork), it returns the weight itself.
func (s *Scheduler) priorityDensity(request *request) float64 {
	weight := request.settings.Classes[request.class].PriorityWeight
	if s.settings.WeightByWork {
		return weight
	}
	return weight / max(s.classes[request.class].workScale, 1e-3)
}

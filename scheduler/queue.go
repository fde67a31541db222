// Requests as they arrive, and in which order those that are held here are sent.

package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

func (s *Scheduler) onRequestArrived(e RequestArrived) {
	if s.requests[e.ID] != nil {
		return
	}
	class := e.Class
	if class < 0 || class >= len(s.settings.Classes) {
		class = 0 // an unknown class: the first stands in, at the cost of its rules only
	}
	if figureOrMissing(e.Slots) <= 0 {
		e.Slots = 1
	}
	c := &s.classes[class]
	over := min(max(s.now-s.firstEventAt, time.Second), arrivalRateWindow)
	s.arrivalRate = s.arrivalRate*math.Exp(-float64(s.now-s.lastArrivalAt)/float64(over)) + 1/over.Seconds()
	s.lastArrivalAt = s.now
	if s.shutdownDeadline > 0 {
		e.Deadline = min(e.Deadline, s.shutdownDeadline)
	}
	left := e.Deadline - s.now
	c.longestTimeLeft = max(c.longestTimeLeft, left)
	s.lastSequence++
	if e.AffinityKey != 0 {
		if !s.affinityInUse {
			s.affinityInUse = true
			s.chooseSubset()
		}
		s.recentKeys.add(e.AffinityKey, keysPerWorker*s.listedCount)
	}
	r := &request{
		id: e.ID, settings: s.settings, class: class, slots: e.Slots, affinityKey: e.AffinityKey,
		estimatedWork: max(e.EstimatedWork, 0), deadline: e.Deadline, sequence: s.lastSequence,
		firstAskedAt: s.now, allowedZones: e.AllowedZones,
	}
	// A repeat has less time left than a first try; one with very little is an impatient client's.
	if left > c.longestTimeLeft/2 {
		r.firstAskedAt = min(s.now, e.Deadline-c.longestTimeLeft)
	}
	s.requests[e.ID] = r
	s.requestsByArrival = append(s.requestsByArrival, r)
	if left <= s.queueReviewInterval() { // too late for anything but the answer
		s.rejectOrFail(r)
		return
	}
	s.queued = append(s.queued, r)
}

// sendQueued pushes what is held, as far as there is room: what can still be in time first, then by worth for its
// work, then the youngest (under overload the old ones are nearly lost, and would make all late).
func (s *Scheduler) sendQueued() {
	if len(s.queued) == 0 {
		return
	}
	s.queued = slices.DeleteFunc(s.queued, func(r *request) bool { return r.finished })
	if len(s.queued) > 1 {
		slices.SortStableFunc(s.queued, func(a, b *request) int {
			late := cmp.Compare(min(s.slack(b), 0), min(s.slack(a), 0))
			if s.slack(a) < 0 && s.slack(b) < 0 {
				late = 0
			}
			return cmp.Or(late, cmp.Compare(s.priorityDensity(b), s.priorityDensity(a)), cmp.Compare(b.sequence, a.sequence))
		})
	}
	// A slot that comes free is worth most to a job whose key is at home there; then to any.
	for _, homely := range [...]bool{true, false} {
		full := false
		s.queued = slices.DeleteFunc(s.queued, func(r *request) bool {
			if full && len(r.attempts) == 0 || homely && r.affinityKey == 0 {
				return false
			}
			w := s.pickWorker(r, s.overcommit)
			full = full || w == nil && len(r.attempts) == 0
			if w == nil || homely && !s.isAffinityWorker(r, w) {
				return false
			}
			s.send(r, w)
			return true
		})
	}
}

// The regular round over what is open: overdue requests, hedges, probes.

package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// reviewAll is the regular round: overdue requests, copies, silent workers, probes.
func (s *Scheduler) reviewAll() {
	for _, w := range s.workers {
		w.delayedStarts, w.runningSlownessSum, w.runningSlownessJobs = 0, 0, 0
	}
	s.requestsByArrival = slices.DeleteFunc(s.requestsByArrival, func(r *request) bool { return s.requests[r.id] != r })
	for _, r := range s.requestsByArrival {
		for i := range r.attempts {
			a := &r.attempts[i]
			s.detectSilence(r, a)
			if s.startOverdue(a, startGracePeriod) && !a.lost {
				a.worker.delayedStarts++
			}
			// One that runs for longer than usual tells of a slow worker before it ends.
			if a.inFlight && a.startedAt > 0 {
				if late := s.logSlowness(r, a); late > 0 {
					a.worker.runningSlownessSum, a.worker.runningSlownessJobs = a.worker.runningSlownessSum+late, a.worker.runningSlownessJobs+1
				}
			}
		}
	}
	for _, r := range slices.Clone(s.requestsByArrival) {
		if !r.finished && !r.streamed {
			s.reviewRequest(r)
		}
	}
	if s.now-s.subsetChosenAt >= subsetInterval {
		s.chooseSubset()
	}
	pause := float64(probeInterval) * max(float64(s.settings.Dispatchers)/maxProbers, 1)
	if len(s.subset) < len(s.workers) { // else every dispatcher asks every worker
		pause = float64(probeInterval)
	}
	for _, w := range s.subset {
		if w.nextProbeAt == 0 { // many dispatchers that start, or hear of it, at once would overrun it
			w.nextProbeAt = s.now + time.Duration(s.random.Float64()*(pause-float64(probeInterval)))
		}
		if s.settings.ReportsPulled && s.settings.MayProbe && w.listed && !w.detached && !w.probeInFlight && s.now >= w.nextProbeAt {
			// Spread, so that not all workers are known equally late, nor all dispatchers at once.
			w.nextProbeAt = s.now + time.Duration((0.75+s.random.Float64()/2)*pause)
			s.sendProbe(w)
		}
	}
}

// startOverdue tells whether an attempt should have begun by now.
func (s *Scheduler) startOverdue(a *attempt, grace time.Duration) bool {
	return a.inFlight && a.startedAt == 0 && s.settings.ReportsStart && s.now-a.sentAt > grace+connectionRoundTrips*s.roundTripTimes[a.worker.Zone]
}

// reviewRequest looks at one open request. One that nobody will begin in time is given up, unless workers were seen
// to keep what is called off: it is in the way all the same, and its client comes again. Where copies are
// allowed and loads known roughly, one that has not begun soon gets another at the next worker, and the first
// to begin calls the others off: a search for a free slot. Where all loads are known it finds none and costs
// what it waits for: there only a worker that says nothing for a usual stay has its jobs copied. Where few
// workers are drawn from, their loads are known as well, but not what others send there, nor whether what is
// called off is kept and runs for nothing: there are few copies then, and the fewer the more jobs wait.
func (s *Scheduler) reviewRequest(r *request) {
	var last *attempt
	begun, sound := false, false
	for i := range r.attempts {
		if a := &r.attempts[i]; a.inFlight {
			last, begun, sound = a, begun || a.startedAt > 0, sound || s.healthy(a.worker, r.class)
		}
	}
	c := &r.settings.Classes[r.class]
	late := c.LateWeight <= 0 && s.now-r.firstAskedAt > s.maxStartWait(r)
	switch {
	case last == nil:
		if r.deadline-s.now <= 2*s.queueReviewInterval() || late {
			s.rejectOrFail(r)
		}
	case s.now >= r.deadline+r.settings.AnswerSlack/2:
		s.emit(Fail{ID: r.id})
		s.finishRequest(r)
	case late && !begun && s.settings.ReportsStart && s.cancellations.undroppedShare() < maxUndroppedShare: // its turn comes too late: given up
		s.recordStart(last.worker, true)
		s.overcommit = max(s.overcommit-s.overcommitStep(), minOvercommit)
		s.rejectOrFail(r)
	case c.Idempotency == NonIdempotent || last.cancelled || begun && sound || len(r.attempts)+1 >= r.settings.MaxAttempts:
	case r.settings.MayHedge && r.settings.MayCancel:
		stuck := s.startOverdue(last, hedgeDelay+durationOf(s.congestion*congestionHedgeDelay.Seconds()))
		if s.loadsKnown {
			stuck = s.startOverdue(last, durationOf(cmp.Or(s.meanStay, 1))) && last.worker.lastSignal <= last.sentAt
		} else if len(s.subset) < len(s.workers) {
			stuck = stuck && s.recentHedges.value(s.now) < (maxCongestion-s.congestion)*s.recentSends.value(s.now)
		}
		if late || !stuck && s.healthy(last.worker, r.class) {
			return
		}
		if w := s.pickWorker(r, s.overcommit); w != nil && !r.hasTried(w) {
			s.recentHedges.add(s.now, 1)
			s.send(r, w)
		}
	case !sound && r.settings.MayCancel:
		s.cancelAttempts(r, func(*attempt) bool { return true })
	}
}

package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// Endpoints: updates of the endpoint list, workers that the operator detaches, and when the list is polled.

const (
	// MaxListRetryDelay is the longest time between a failed poll of the endpoint list and the Subscribe that follows.
	MaxListRetryDelay = 900 * time.Millisecond

	// basePollDelay is the longest random delay of a poll with one or two dispatchers.
	basePollDelay = 100 * time.Millisecond

	// pollDelayPerDispatcher is added to basePollDelay for each dispatcher beyond dispatchersWithoutSpread.
	pollDelayPerDispatcher = 400 * time.Millisecond

	// dispatchersWithoutSpread is the number of dispatchers up to which polls need not be spread.
	dispatchersWithoutSpread = 2

	// maxFirstPollDelay bounds the delay of the first poll after a start.
	maxFirstPollDelay = 3 * time.Second

	// fixedPollDelayShare is the share of the delay that is not random.
	fixedPollDelayShare = 0.05
)

// onEndpointsUpdated handles an update of the endpoint list, and schedules a poll after a cached list or a failed call.
func (s *Scheduler) onEndpointsUpdated(event EndpointsUpdated) {
	if event.AsOf != 0 {
		s.listAsOf = event.AsOf
	}
	if event.ListKind == ListFull || event.ListKind == ListCached {
		for _, worker := range s.workers {
			worker.listed, worker.ready, worker.ReturnUnconfirmed = false, false, false
		}
	}
	for _, info := range event.Workers {
		s.updateWorker(info)
	}
	s.chooseSubset()
	switch event.ListKind {
	case ListCached:
		s.schedulePoll(maxFirstPollDelay)
	case ListFailed:
		s.schedulePoll(MaxListRetryDelay)
	}
}

// updateWorker applies one entry of the endpoint list. If the worker has restarted, what was learned about it is discarded.
func (s *Scheduler) updateWorker(info WorkerInfo) {
	known := s.workersByID[info.ID]
	if known == nil {
		known = s.addWorker(info.ID)
	} else if info.StartedAt > known.StartedAt {
		s.resetStatistics(known)
	}
	info.StartedAt = known.startTime(info)
	known.WorkerInfo = info
	known.listed = info.State != Gone
	known.ready = info.State == Ready
}

// addWorker adds a worker that no list has named before. The workers stay sorted by id.
func (s *Scheduler) addWorker(id WorkerID) *worker {
	added := &worker{
		increment: initialIncrement, idHash: hashWorkerID(id), detached: s.detached[id],
		classEjections: make([]ejectionState, len(s.classes)),
	}
	s.workersByID[id] = added
	index, _ := slices.BinarySearchFunc(s.workers, id, func(w *worker, id WorkerID) int { return cmp.Compare(w.ID, id) })
	s.workers = slices.Insert(s.workers, index, added)
	return added
}

// startTime returns when the worker started, given its entry in a list. It is the latest known start, so that an older list does
// not make the worker older. A confirmed start replaces it, unless the operator has just reattached the worker.
func (w *worker) startTime(info WorkerInfo) Instant {
	if info.StartConfirmed && !w.reattached {
		return info.StartedAt
	}
	return max(info.StartedAt, w.StartedAt)
}

// setDetached detaches or reattaches a worker. A reattached worker is in slow start, because it was most likely restarted. Slow
// start begins with the start in the list or, if the list shows no start since the worker was detached, now.
func (s *Scheduler) setDetached(id WorkerID, detached bool) {
	if detached {
		s.detached[id] = true
	} else {
		delete(s.detached, id)
	}
	worker := s.workersByID[id]
	if worker == nil || worker.detached == detached {
		return
	}
	worker.detached, worker.nextProbeAt = detached, 0
	if detached {
		worker.detachedAt = s.now
	} else {
		s.resetStatistics(worker)
		worker.reattached = true
		if worker.StartedAt < worker.detachedAt {
			worker.StartedAt = s.now
		}
	}
	s.chooseSubset()
}

// KnowsWorker reports whether any list has named the worker, or the operator has detached it.
func (s *Scheduler) KnowsWorker(id WorkerID) bool { return s.workersByID[id] != nil || s.detached[id] }

// schedulePoll sets the timer of the next poll after a random delay of at most maxDelay, if the list is polled.
func (s *Scheduler) schedulePoll(maxDelay time.Duration) {
	if s.settings.ListPolled {
		delay := pollDelay(s.settings.Dispatchers, maxDelay, s.random.Float64())
		s.emit(SetTimer{Token: pollTimer, After: delay + 1}) // never 0
	}
}

// FirstPollDelay returns the time from the start of a dispatcher to its first poll of the endpoint list. It grows with the number
// of dispatchers that may start at the same time. chance is a random number in [0, 1).
func FirstPollDelay(dispatchers int, chance float64) time.Duration {
	return pollDelay(dispatchers, maxFirstPollDelay, chance)
}

// pollDelay returns the delay of a poll, at most maxDelay. It grows with the number of dispatchers: discovery serves few calls
// per second, and would be overloaded by the calls of many dispatchers that start, or whose polls fail, at the same time.
func pollDelay(dispatchers int, maxDelay time.Duration, chance float64) time.Duration {
	spread := pollDelayPerDispatcher * time.Duration(max(dispatchers-dispatchersWithoutSpread, 0))
	delay := basePollDelay + min(spread, maxDelay-basePollDelay)
	return time.Duration(float64(delay) * (fixedPollDelayShare + (1-fixedPollDelayShare)*chance))
}

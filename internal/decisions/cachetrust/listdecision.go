package cachetrust

import (
	"time"

	"brassdale/scheduler"
)

const (
	// ConfirmationDelay is the minimum time between a first list and the second list that confirms it.
	ConfirmationDelay = time.Second

	// MaxRetention is the longest time for which workers that are missing from an unconfirmed list are retained.
	MaxRetention = 10 * time.Second
)

// ListDecision says which parts of a full list of discovery apply.
type ListDecision struct {
	Retain    []scheduler.WorkerID // workers that are missing from the list, and that stay as they are
	RefetchAt scheduler.Instant    // when to call for the full list again; 0 if the whole list applies
}

// AssessList decides which parts of a full list of discovery apply, by its revision and its ready workers.
func (a *Assessor) AssessList(now scheduler.Instant, revision int64, ready []scheduler.WorkerID) ListDecision {
	if a.finished {
		return ListDecision{}
	}
	listed := map[scheduler.WorkerID]bool{}
	for _, id := range ready {
		listed[id] = true
	}
	missing := a.missingFrom(listed)
	switch {
	case !a.needsConfirmation(revision, len(listed), len(missing)), a.awaitingConfirmationSince != 0 && now >= a.awaitingConfirmationSince+MaxRetention:
		a.finished = true
		return ListDecision{}
	case a.awaitingConfirmationSince == 0:
		a.awaitingConfirmationSince, a.retained = now, missing
	case now >= a.awaitingConfirmationSince+ConfirmationDelay && len(listed) > 0: // a second list, which confirms the first
		a.finished = true
		return ListDecision{}
	}
	return ListDecision{Retain: missing, RefetchAt: max(now+ConfirmationDelay/2, a.awaitingConfirmationSince+ConfirmationDelay)}
}

// missingFrom returns the workers that have answered and are not in a list.
func (a *Assessor) missingFrom(listed map[scheduler.WorkerID]bool) (missing []scheduler.WorkerID) {
	for _, worker := range a.probeOrder {
		if !listed[worker.ID] && (worker.level == Responsive || worker.level == Verified) {
			missing = append(missing, worker.ID)
		}
	}
	return missing
}

// needsConfirmation reports whether a list must be confirmed, by its revision, its number of ready workers, and the number of workers
// that have answered and are missing from it.
func (a *Assessor) needsConfirmation(revision int64, listed, missing int) bool {
	trusted := len(a.probeOrder)
	tooFew := trusted > 0 && float64(listed) < a.rules.MinFirstListShare*float64(trusted)
	return a.rules.MinFirstListShare > 0 && missing > 0 && (tooFew || revision < a.list.Revision)
}

// AwaitingConfirmation reports whether a first list of discovery must be confirmed by a second one.
func (a *Assessor) AwaitingConfirmation() bool { return a.awaitingConfirmationSince != 0 }

// RetainedUntil returns the time until which workers are retained at most; ok is false if no list awaits its confirmation.
func (a *Assessor) RetainedUntil() (until scheduler.Instant, ok bool) {
	return a.awaitingConfirmationSince + MaxRetention, a.awaitingConfirmationSince != 0 && !a.finished
}

// ExpireRetained ends the retention at RetainedUntil, so that the whole list of discovery applies, and returns the workers that were
// retained. Before that time it returns none.
func (a *Assessor) ExpireRetained(now scheduler.Instant) (gone []scheduler.WorkerID) {
	if a.awaitingConfirmationSince == 0 || a.finished || now < a.awaitingConfirmationSince+MaxRetention {
		return nil
	}
	a.finished = true
	return a.retained
}

// RemovedByDiscovery records that discovery lists a worker as draining or gone: it is neither retained nor announced any more.
func (a *Assessor) RemovedByDiscovery(id scheduler.WorkerID) {
	if worker := a.workers[id]; worker != nil {
		a.setLevel(worker, Excluded)
	}
}

package cachetrust

import (
	"time"

	"brassdale/scheduler"
)

const (
	// ConfirmationDelay is how long after a doubted list a second one may confirm it.
	ConfirmationDelay = time.Second

	// MaxRetention is how long workers that a doubted list does not name are retained at most.
	MaxRetention = 10 * time.Second
)

// ListDecision is how far a full list of discovery is in force.
type ListDecision struct {
	Retain    []scheduler.WorkerID // workers that the list does not name, and that stay as they are
	RefetchAt scheduler.Instant    // when to call for the full list again; 0 where the list is in force
}

// AssessList decides how far a full list of discovery is in force, by its revision and the workers that it has as ready.
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
	case !a.doubtful(revision, len(listed), len(missing)), a.doubtedAt != 0 && now >= a.doubtedAt+MaxRetention:
		a.finished = true
		return ListDecision{}
	case a.doubtedAt == 0:
		a.doubtedAt, a.retained = now, missing
	case now >= a.doubtedAt+ConfirmationDelay && len(listed) > 0: // a second list, which confirms the first
		a.finished = true
		return ListDecision{}
	}
	return ListDecision{Retain: missing, RefetchAt: max(now+ConfirmationDelay/2, a.doubtedAt+ConfirmationDelay)}
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

// doubtful reports whether a list with this revision and so many ready workers has to be confirmed, where so many that have answered
// are missing from it.
func (a *Assessor) doubtful(revision int64, listed, missing int) bool {
	trusted := len(a.probeOrder)
	tooFew := trusted > 0 && float64(listed) < a.rules.MinFirstListShare*float64(trusted)
	return a.rules.MinFirstListShare > 0 && missing > 0 && (tooFew || revision < a.list.Revision)
}

// AwaitingConfirmation reports whether a list of discovery is doubted, and waits for a second one.
func (a *Assessor) AwaitingConfirmation() bool { return a.doubtedAt != 0 }

// RetainedUntil returns until when workers are retained at most; it is not ok where none is.
func (a *Assessor) RetainedUntil() (until scheduler.Instant, ok bool) {
	return a.doubtedAt + MaxRetention, a.doubtedAt != 0 && !a.finished
}

// ExpireRetained returns the workers whose retention has ended, so that discovery's list is in force; none before RetainedUntil.
func (a *Assessor) ExpireRetained(now scheduler.Instant) (gone []scheduler.WorkerID) {
	if a.doubtedAt == 0 || a.finished || now < a.doubtedAt+MaxRetention {
		return nil
	}
	a.finished = true
	return a.retained
}

// RemovedByDiscovery records that discovery has a worker as draining or gone: it is neither retained nor announced any more.
func (a *Assessor) RemovedByDiscovery(id scheduler.WorkerID) {
	if worker := a.workers[id]; worker != nil {
		a.setLevel(worker, Excluded)
	}
}

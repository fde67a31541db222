package cachetrust

import (
	"cmp"
	"slices"
	"time"

	"brassdale/scheduler"
)

// Assessor assesses the workers of a cached list until a list of discovery has replaced it. Times that are passed to its methods must
// not go back. It is not safe for concurrent use.
type Assessor struct {
	rules        Rules
	list         CachedList
	usable       bool
	startedAt    scheduler.Instant
	age          time.Duration // of the list at startedAt; below 0 if the list's time lies in the future
	workers      map[scheduler.WorkerID]*assessedWorker
	probeOrder   []*assessedWorker // in the order of the first probes; without workers that were Excluded at startedAt
	countByLevel [Excluded + 1]int
	finished     bool // discovery's list has replaced the cached list, or the cached list may not be used

	awaitingConfirmationSince scheduler.Instant // when a first list that must be confirmed was received; 0 if no list awaits its confirmation
	retained                  []scheduler.WorkerID
}

// assessedWorker is a cached worker and what was learned of it since the start.
type assessedWorker struct {
	CachedWorker
	level              TrustLevel
	probing            bool              // a probe is in flight
	probedAt           scheduler.Instant // when the last probe was sent
	nextProbeAt        scheduler.Instant // when the next one may be sent
	failedProbes       int
	logLikelihoodRatio float64 // of warm to warming up, by the run times of its jobs
	announcedAt        scheduler.Instant
}

// New returns an Assessor that starts now with a cached list. Usable reports whether the list may be used; if so, Check returns the
// first actions.
func New(now scheduler.Instant, list CachedList, rules Rules) *Assessor {
	assessor := &Assessor{rules: rules, list: list, workers: map[scheduler.WorkerID]*assessedWorker{}, startedAt: now, age: now - list.ConfirmedAt}
	if list.ConfirmedAt > now {
		assessor.age = -1
	}
	if assessor.usable = assessor.age <= rules.MaxAge; !assessor.usable {
		assessor.finished = true
		return assessor
	}
	for _, cached := range list.Workers {
		assessor.add(now, cached)
	}
	assessor.scheduleFirstProbes(now)
	return assessor
}

// add adds a worker of the list, unless a worker with its ID has been added before.
func (a *Assessor) add(now scheduler.Instant, cached CachedWorker) {
	if a.workers[cached.ID] != nil {
		return
	}
	worker := &assessedWorker{CachedWorker: cached, nextProbeAt: now}
	a.countByLevel[Unconfirmed]++
	if cached.State != scheduler.Ready || cached.Detached {
		a.setLevel(worker, Excluded)
	} else {
		a.probeOrder = append(a.probeOrder, worker)
	}
	a.workers[cached.ID] = worker
}

// Usable reports whether the list may be used.
func (a *Assessor) Usable() bool { return a.usable }

// Age returns the age of the list at the start of the assessment; ok is false if the list's time lies in the future.
func (a *Assessor) Age() (age time.Duration, ok bool) { return max(a.age, 0), a.age >= 0 }

// StartedAt returns when the assessment started.
func (a *Assessor) StartedAt() scheduler.Instant { return a.startedAt }

// Finished reports whether the assessment has ended, because discovery's list has replaced the cached list or the cached list may not
// be used.
func (a *Assessor) Finished() bool { return a.finished }

// CountByLevel returns the number of workers at each trust level.
func (a *Assessor) CountByLevel() [Excluded + 1]int { return a.countByLevel }

// SameIncarnation reports whether a worker that discovery lists with a start is the cached incarnation.
func (a *Assessor) SameIncarnation(id scheduler.WorkerID, startedAt scheduler.Instant) bool {
	worker := a.workers[id]
	return worker != nil && startedAt <= worker.StartedAt
}

// setLevel changes the trust level of a worker.
func (a *Assessor) setLevel(worker *assessedWorker, level TrustLevel) {
	a.countByLevel[worker.level]--
	worker.level = level
	a.countByLevel[level]++
}

// announce returns the announcement of a worker that starts to warm up now.
func (a *Assessor) announce(worker *assessedWorker, now scheduler.Instant) Action {
	a.setLevel(worker, Responsive)
	worker.announcedAt = now
	return Action{Announce: &ReadyWorker{ID: worker.ID, StartedAt: max(now, 1)}}
}

// scheduleFirstProbes sets the times of the first probes. The workers that are most likely to answer come first: they are sorted by the
// latest signal, and among equal ones by the earliest start.
func (a *Assessor) scheduleFirstProbes(now scheduler.Instant) {
	slices.SortStableFunc(a.probeOrder, func(x, y *assessedWorker) int {
		return cmp.Or(cmp.Compare(y.LastSignal, x.LastSignal), cmp.Compare(x.StartedAt, y.StartedAt))
	})
	interval := time.Second / time.Duration(min(max(MinProbesPerSecond, len(a.probeOrder)), MaxProbesPerSecond))
	for i, worker := range a.probeOrder {
		worker.nextProbeAt = now + time.Duration(i)*interval
	}
}

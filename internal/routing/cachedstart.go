package routing

import (
	"errors"
	"time"

	"brassdale/internal/decisions/cachetrust"
	"brassdale/internal/decisions/endpointstate"
	"brassdale/scheduler"
)

// CachedStart is the state of a process that started with a cached list, until a list of discovery has replaced it. Package cachetrust
// decides which cached endpoints to probe and to use, and EndpointList carries that out. StartFromCache passes ownership to EndpointList.
type CachedStart struct {
	Assessor       *cachetrust.Assessor
	Endpoints      map[scheduler.WorkerID]Endpoint // the cached list
	MeanLogRuntime []float64                       // by class: mean logarithm of the run time of a job in seconds; NaN for unknown
	LearnedState   scheduler.LearnedState          // classes by their index
	ReportsPulled  bool                            // load reports come with probes: a probe response without one is not from a worker
}

// errForeignList rejects a list without endpoints in the zones of this deployment if the cached list has such endpoints.
var errForeignList = errors.New("no listed endpoint is in a zone of this deployment")

// StartFromCache makes the EndpointList start with a cached list. It is called before Run, on an EndpointList created with an empty list.
func (l *EndpointList) StartFromCache(start *CachedStart) {
	l.cachedStart, l.calls.current.revision = start, NoRevision
	for _, endpoint := range start.Endpoints {
		if endpoint.State == scheduler.Ready {
			l.pool.Update(endpoint) // so that it can be probed; the scheduler does not know it yet
		}
	}
	// Statistics of classes are valid regardless of which workers are listed.
	learned := start.LearnedState
	learned.Workers = nil
	l.core.adoptCachedState(learned)
	l.core.SetObserver(&cachedStartObserver{l.mailbox, start})
	l.publishSource()
}

// handleSignal passes the assessor the result of a probe or the slowness of a served job.
func (l *EndpointList) handleSignal(signal endpointSignal) {
	l.runAssessor(func(now scheduler.Instant) []cachetrust.Action {
		if signal.probe {
			return l.cachedStart.Assessor.ProbeCompleted(now, signal.id, signal.result)
		}
		return l.cachedStart.Assessor.JobServed(now, signal.id, signal.logSlowness)
	})
}

// runAssessor calls the assessor of a cached start, if there is one, and carries out the actions that it returns.
func (l *EndpointList) runAssessor(call func(now scheduler.Instant) []cachetrust.Action) {
	if l.cachedStart == nil {
		return
	}
	update := scheduler.EndpointsUpdated{ListKind: scheduler.ListDelta}
	learned := scheduler.LearnedState{Workers: map[scheduler.WorkerID]scheduler.WorkerStatistics{}}
	for _, action := range call(l.core.clock.Now()) {
		if action.Announce == nil {
			l.pool.Probe(action.Probe)
			continue
		}
		worker := l.announce(action.Announce)
		update.Workers = append(update.Workers, worker)
		if statistics, ok := l.cachedStart.LearnedState.Workers[worker.ID]; ok && worker.StartConfirmed {
			learned.Workers[worker.ID] = statistics
		}
	}
	if len(update.Workers) > 0 {
		l.core.counters.setListedEndpoints(len(l.known))
		l.core.UpdateEndpoints(update)
		if len(learned.Workers) > 0 {
			l.core.adoptCachedState(learned)
		}
	}
	l.publishSource()
}

// announce adds an endpoint of the cached list to the known list and returns its worker for the scheduler.
func (l *EndpointList) announce(ready *cachetrust.ReadyWorker) scheduler.WorkerInfo {
	endpoint := l.cachedStart.Endpoints[ready.ID]
	l.known[endpoint.ID] = endpoint
	l.stateTable.Record(endpoint.listedState(), "", endpointstate.UnknownRevision)
	l.incarnations.Set(endpoint.ID, endpoint.StartedAt, ready.StartedAt)
	worker := endpoint.WorkerInfo
	worker.StartedAt, worker.StartConfirmed = ready.StartedAt, ready.StartConfirmed
	return worker
}

// assessorDue returns when the assessor must be called if no message arrives before.
func (l *EndpointList) assessorDue() (at scheduler.Instant, ok bool) {
	if l.cachedStart == nil {
		return 0, false
	}
	at, ok = l.cachedStart.Assessor.NextCheck()
	if until, retains := l.cachedStart.Assessor.RetainedUntil(); retains && (!ok || until < at) {
		at, ok = until, true
	}
	return at, ok
}

// assessList passes a list of discovery to the assessor, which compares it with the cached list. doubted is true if a second list must
// confirm it. In this case it must be applied as a delta only, and the full list must be polled again at pollAt.
func (l *EndpointList) assessList(update *ListUpdate) (pollAt time.Time, doubted bool) {
	if l.cachedStart == nil {
		return pollAt, false
	}
	assessor := l.cachedStart.Assessor
	var ready []scheduler.WorkerID
	for i := range update.Endpoints {
		endpoint := &update.Endpoints[i]
		endpoint.StartConfirmed = true // discovery knows the start time, so no assumed one is needed
		if endpoint.State == scheduler.Ready {
			ready = append(ready, endpoint.ID)
		} else {
			assessor.RemovedByDiscovery(endpoint.ID)
		}
	}
	if !update.Complete {
		return pollAt, false
	}
	decision := assessor.AssessList(l.core.clock.Now(), update.Revision, ready)
	if decision.RefetchAt == 0 {
		return pollAt, false
	}
	l.log.Warn("discovery list much shorter than cached list, polling again", "revision", update.Revision, "ready", len(ready),
		"retained", len(decision.Retain))
	return l.core.clock.Time(decision.RefetchAt), true
}

// endCachedStart ends the cached start once the assessor has finished, because a list of discovery has then replaced the cached one. It
// passes the scheduler the cached statistics of workers that have not restarted since.
func (l *EndpointList) endCachedStart() {
	start := l.cachedStart
	if start == nil || !start.Assessor.Finished() {
		return
	}
	learned := scheduler.LearnedState{Workers: map[scheduler.WorkerID]scheduler.WorkerStatistics{}}
	for id, statistics := range start.LearnedState.Workers {
		if endpoint, ok := l.known[id]; ok && start.Assessor.SameIncarnation(id, endpoint.StartedAt) {
			learned.Workers[id] = statistics
		}
	}
	for id, endpoint := range start.Endpoints {
		if _, ok := l.known[id]; !ok {
			endpoint.State = scheduler.Gone
			l.pool.Update(endpoint)
		}
	}
	if len(learned.Workers) > 0 {
		l.core.adoptCachedState(learned)
	}
	l.core.SetObserver(nil)
	l.log.Info("discovery list in force", "known", len(l.known), "same_incarnation", len(learned.Workers))
	l.cachedStart = nil
}

// expireRetained removes endpoints that were missing from a list of discovery that a second list had to confirm, if no second list was
// received in time.
func (l *EndpointList) expireRetained() {
	if l.cachedStart == nil {
		return
	}
	expired := l.cachedStart.Assessor.ExpireRetained(l.core.clock.Now())
	update := scheduler.EndpointsUpdated{ListKind: scheduler.ListDelta}
	now := time.Now()
	for _, id := range expired {
		endpoint := l.known[id]
		endpoint.State, endpoint.NotifiedAt = scheduler.Gone, now
		l.stateTable.Record(endpoint.listedState(), "", endpointstate.UnknownRevision)
		l.updateEndpoint(endpoint)
		update.Workers = append(update.Workers, endpoint.WorkerInfo)
	}
	if len(expired) > 0 {
		l.core.counters.setListedEndpoints(len(l.known))
		l.core.UpdateEndpoints(update)
		l.endCachedStart()
	}
}

// publishSource stores the source of the list and the trust levels of its endpoints.
func (l *EndpointList) publishSource() {
	assessor := l.cachedStart.Assessor
	source := ListSource{Name: SourceCache, TrustLevels: assessor.CountByLevel(), AwaitingConfirmation: assessor.AwaitingConfirmation()}
	if age, ok := assessor.Age(); ok {
		source.ConfirmedAt = l.core.clock.Time(assessor.StartedAt()).Add(-age)
	}
	l.source.Store(&source)
}

// isForeign reports whether a list names only endpoints outside the zones of this deployment, although the cached list has endpoints
// in them. It is false without a cached start.
func (c *CachedStart) isForeign(update ListUpdate) bool {
	if c == nil || len(update.Endpoints) == 0 {
		return false
	}
	for _, endpoint := range update.Endpoints {
		if endpoint.Zone >= 0 || endpoint.State == scheduler.Gone {
			return false
		}
	}
	for _, endpoint := range c.Endpoints {
		if endpoint.Zone >= 0 {
			return true
		}
	}
	return false
}

package routing

import (
	"errors"
	"math"
	"time"

	"brassdale/internal/decisions/cachetrust"
	"brassdale/internal/decisions/endpointstate"
	"brassdale/scheduler"
)

// CachedStart is a start from a saved list, while discovery has told nothing newer. What is decided on it is decided by
// the module savedlist; here its verdicts are carried out, and what comes back is told to it.
type CachedStart struct {
	Assessor       *cachetrust.Assessor
	Endpoints      map[scheduler.WorkerID]Endpoint // as the list has them
	MeanLogRuntime []float64                       // by class: the usual time of a job in seconds, as a logarithm; NaN where not known
	LearnedState   scheduler.LearnedState          // classes are by number
	ReportsPulled  bool                            // an answer to a probe that carries no report is not an endpoint's
}

// EndpointStore hears what discovery says, to keep it. It does not block.
type EndpointStore interface{ EndpointsUpdated(ListUpdate) }

// ListSource tells where the list that is in force comes from.
type ListSource struct {
	Name                 string    // discovery, saved, known, predecessor or none
	ConfirmedAt          time.Time // when it was last known to be true; zero where nobody knows
	TrustLevels          [cachetrust.Excluded + 1]int
	AwaitingConfirmation bool // a list of discovery's waits for a second that agrees
}

// errForeignList is a list of none but destinations that this installation does not name.
var errForeignList = errors.New("the list is of another site")

// endpointSignal is what came back from an endpoint.
type endpointSignal struct {
	id          scheduler.WorkerID
	probe       bool
	result      cachetrust.ProbeResult
	logSlowness float64 // of a job that was served
}

// StartFromCache begins with a saved list. It must be called before Run, with no other list told.
func (s *EndpointList) StartFromCache(f *CachedStart) {
	s.cachedStart, s.calls.current.revision = f, FullList
	for _, d := range f.Endpoints {
		if d.State == scheduler.Ready {
			s.pool.Update(d) // so that it can be probed; the module knows nothing of it
		}
	}
	// How long jobs take and how far endpoints may be filled holds whichever endpoints are there.
	learned := f.LearnedState
	learned.Workers = nil
	s.core.AdoptLearnedState(learned)
	s.core.SetObserver(&cachedStartObserver{s.mailbox, f})
	s.publishSource()
}

// SetStore has a keeper hear what discovery says. It must be called before Run.
func (s *EndpointList) SetStore(k EndpointStore) { s.store = k }

// Source tells where the list in force comes from.
func (s *EndpointList) Source() ListSource {
	if src := s.source.Load(); src != nil {
		return *src
	}
	return ListSource{Name: "none"}
}

// SetSource says where the list came from that the actor was made with.
func (s *EndpointList) SetSource(src ListSource) { s.source.Store(&src) }

// cachedStartObserver hears of endpoints for the actor.
type cachedStartObserver struct {
	mailbox *Mailbox[any]
	start   *CachedStart // of which it reads what never changes
}

// Probed takes the outcome of a probe.
func (w *cachedStartObserver) ProbeCompleted(id scheduler.WorkerID, o scheduler.Outcome, report bool) {
	answer := cachetrust.NoResponse
	switch {
	case o == scheduler.Served && (report || !w.start.ReportsPulled):
		answer = cachetrust.Answered
	case o == scheduler.Served, o == scheduler.Errored, o == scheduler.InvalidRequest, o == scheduler.Reset:
		answer = cachetrust.Unrecognized
	}
	w.mailbox.Post(endpointSignal{id: id, probe: true, result: answer})
}

// Worked takes how long a job took.
func (w *cachedStartObserver) JobServed(id scheduler.WorkerID, class int, took time.Duration) {
	f := w.start
	if class >= len(f.MeanLogRuntime) || math.IsNaN(f.MeanLogRuntime[class]) {
		return
	}
	late := math.Log(max(took.Seconds(), 1e-6)) - f.MeanLogRuntime[class]
	if was, ok := f.LearnedState.Workers[id]; ok && was.SlownessJobs > 0 {
		late -= was.Slowness / was.SlownessJobs // it was slower than others before
	}
	w.mailbox.Post(endpointSignal{id: id, logSlowness: late})
}

// handleSignal tells the trust what came from an endpoint.
func (s *EndpointList) handleSignal(m endpointSignal) {
	s.runAssessor(func(now scheduler.Clock) []cachetrust.Action {
		if m.probe {
			return s.cachedStart.Assessor.ProbeCompleted(now, m.id, m.result)
		}
		return s.cachedStart.Assessor.JobServed(now, m.id, m.logSlowness)
	})
}

// runAssessor carries verdicts out.
func (s *EndpointList) runAssessor(ask func(scheduler.Clock) []cachetrust.Action) {
	if s.cachedStart == nil {
		return
	}
	listed := scheduler.EndpointsUpdated{ListKind: scheduler.ListDelta}
	proven := scheduler.LearnedState{Workers: map[scheduler.WorkerID]scheduler.WorkerStatistics{}}
	for _, v := range ask(s.core.clock.Now()) {
		if v.Announce == nil {
			s.pool.Probe(v.Probe)
			continue
		}
		d := s.cachedStart.Endpoints[v.Announce.ID]
		s.known[d.ID] = d
		s.states.Record(d.listedState(), "", endpointstate.UnknownRevision)
		info := d.WorkerInfo
		info.StartedAt, info.StartConfirmed = v.Announce.StartedAt, v.Announce.StartConfirmed
		s.incarnations.Set(d.ID, d.StartedAt, info.StartedAt)
		listed.Workers = append(listed.Workers, info)
		if was, ok := s.cachedStart.LearnedState.Workers[d.ID]; ok && v.Announce.StartConfirmed {
			proven.Workers[d.ID] = was
		}
	}
	if len(listed.Workers) > 0 {
		s.core.counters.setListedEndpoints(len(s.known))
		s.core.UpdateEndpoints(listed)
		if len(proven.Workers) > 0 {
			s.core.AdoptLearnedState(proven)
		}
	}
	s.publishSource()
}

// assessorDue tells when the trust has something to do if nothing comes.
func (s *EndpointList) assessorDue() (at scheduler.Clock, ok bool) {
	if s.cachedStart == nil {
		return 0, false
	}
	at, ok = s.cachedStart.Assessor.NextCheck()
	if until, doubted := s.cachedStart.Assessor.RetainedUntil(); doubted && (!ok || until < at) {
		at, ok = until, true
	}
	return at, ok
}

// assessList has the trust see a list of discovery's. Where it is doubted, it counts as changes for now, and the whole list is
// to be asked for again at a time.
func (s *EndpointList) assessList(u *ListUpdate) (again time.Time, doubted bool) {
	if s.cachedStart == nil {
		return again, false
	}
	var ready []scheduler.WorkerID
	for i := range u.Endpoints {
		d := &u.Endpoints[i]
		d.StartConfirmed = true // discovery knows when it started, whatever was supposed here
		if d.State == scheduler.Ready {
			ready = append(ready, d.ID)
		} else {
			s.cachedStart.Assessor.RemovedByDiscovery(d.ID)
		}
	}
	if !u.Complete {
		return again, false
	}
	j := s.cachedStart.Assessor.AssessList(s.core.clock.Now(), u.Revision, ready)
	if j.RefetchAt == 0 {
		return again, false
	}
	s.log.Warn("discovery's list lacks much of the saved one, asking again", "revision", u.Revision, "named", len(ready), "kept", len(j.Retain))
	return s.core.clock.Time(j.RefetchAt), true
}

// completeCachedStart ends the start from a saved list, once discovery's is in force: what was learned holds for those that have not
// started anew since.
func (s *EndpointList) completeCachedStart() {
	if s.cachedStart == nil || !s.cachedStart.Assessor.Finished() {
		return
	}
	same := scheduler.LearnedState{Workers: map[scheduler.WorkerID]scheduler.WorkerStatistics{}}
	for id, was := range s.cachedStart.LearnedState.Workers {
		if d, ok := s.known[id]; ok && s.cachedStart.Assessor.SameIncarnation(id, d.StartedAt) {
			same.Workers[id] = was
		}
	}
	for id, d := range s.cachedStart.Endpoints {
		if _, ok := s.known[id]; !ok {
			d.State = scheduler.Gone
			s.pool.Update(d)
		}
	}
	if len(same.Workers) > 0 {
		s.core.AdoptLearnedState(same)
	}
	s.core.SetObserver(nil)
	s.log.Info("discovery's list is in force", "known", len(s.known), "same", len(same.Workers))
	s.cachedStart = nil
}

// expireRetained ends a doubt that nobody resolved.
func (s *EndpointList) expireRetained() {
	if s.cachedStart == nil {
		return
	}
	gone := s.cachedStart.Assessor.ExpireRetained(s.core.clock.Now())
	listed := scheduler.EndpointsUpdated{ListKind: scheduler.ListDelta}
	now := time.Now()
	for _, id := range gone {
		d := s.known[id]
		d.State, d.NotifiedAt = scheduler.Gone, now
		s.states.Record(d.listedState(), "", endpointstate.UnknownRevision)
		s.updateEndpoint(d)
		listed.Workers = append(listed.Workers, d.WorkerInfo)
	}
	if len(gone) > 0 {
		s.core.counters.setListedEndpoints(len(s.known))
		s.core.UpdateEndpoints(listed)
		s.completeCachedStart()
	}
}

// publishSource has the figures tell how far the trust goes.
func (s *EndpointList) publishSource() {
	src := ListSource{Name: "saved", TrustLevels: s.cachedStart.Assessor.CountByLevel(), AwaitingConfirmation: s.cachedStart.Assessor.AwaitingConfirmation()}
	if age, ok := s.cachedStart.Assessor.Age(); ok {
		src.ConfirmedAt = s.core.clock.Time(s.cachedStart.Assessor.StartedAt()).Add(-age)
	}
	s.source.Store(&src)
}

// isForeign tells whether a list names none but destinations of zones that this installation does not have, though the
// saved one had others.
func (f *CachedStart) isForeign(u ListUpdate) bool {
	if f == nil || len(u.Endpoints) == 0 {
		return false
	}
	for _, d := range u.Endpoints {
		if d.Zone >= 0 || d.State == scheduler.Gone {
			return false
		}
	}
	for _, d := range f.Endpoints {
		if d.Zone >= 0 {
			return true
		}
	}
	return false
}

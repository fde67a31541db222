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

// errForeign is a list of none but destinations that this installation does not name.
var errForeign = errors.New("the list is of another site")

// sign is what came back from an endpoint.
type sign struct {
	id     scheduler.WorkerID
	probe  bool
	answer cachetrust.ProbeResult
	late   float64 // of a job that was served
}

// StartFromCache begins with a saved list. It must be called before Run, with no other list told.
func (s *EndpointList) StartFromCache(f *CachedStart) {
	s.start, s.calls.current.revision = f, FullList
	for _, d := range f.Endpoints {
		if d.State == scheduler.Ready {
			s.endpoints.Update(d) // so that it can be probed; the module knows nothing of it
		}
	}
	// How long jobs take and how far endpoints may be filled holds whichever endpoints are there.
	learned := f.LearnedState
	learned.Workers = nil
	s.core.AdoptLearnedState(learned)
	s.core.SetObserver(&witness{s.mailbox, f})
	s.publish()
}

// SetStore has a keeper hear what discovery says. It must be called before Run.
func (s *EndpointList) SetStore(k EndpointStore) { s.keeper = k }

// Source tells where the list in force comes from.
func (s *EndpointList) Source() ListSource {
	if src := s.source.Load(); src != nil {
		return *src
	}
	return ListSource{Name: "none"}
}

// SetSource says where the list came from that the actor was made with.
func (s *EndpointList) SetSource(src ListSource) { s.source.Store(&src) }

// witness hears of endpoints for the actor.
type witness struct {
	mailbox *Mailbox[any]
	f       *CachedStart // of which it reads what never changes
}

// Probed takes the outcome of a probe.
func (w *witness) ProbeCompleted(id scheduler.WorkerID, o scheduler.Outcome, report bool) {
	answer := cachetrust.NoResponse
	switch {
	case o == scheduler.Served && (report || !w.f.ReportsPulled):
		answer = cachetrust.Answered
	case o == scheduler.Served, o == scheduler.Errored, o == scheduler.InvalidRequest, o == scheduler.Reset:
		answer = cachetrust.Unrecognized
	}
	w.mailbox.Post(sign{id: id, probe: true, answer: answer})
}

// Worked takes how long a job took.
func (w *witness) JobServed(id scheduler.WorkerID, class int, took time.Duration) {
	f := w.f
	if class >= len(f.MeanLogRuntime) || math.IsNaN(f.MeanLogRuntime[class]) {
		return
	}
	late := math.Log(max(took.Seconds(), 1e-6)) - f.MeanLogRuntime[class]
	if was, ok := f.LearnedState.Workers[id]; ok && was.SlownessJobs > 0 {
		late -= was.Slowness / was.SlownessJobs // it was slower than others before
	}
	w.mailbox.Post(sign{id: id, late: late})
}

// heard tells the trust what came from an endpoint.
func (s *EndpointList) heard(m sign) {
	s.trust(func(now scheduler.Clock) []cachetrust.Action {
		if m.probe {
			return s.start.Assessor.ProbeCompleted(now, m.id, m.answer)
		}
		return s.start.Assessor.JobServed(now, m.id, m.late)
	})
}

// trust carries verdicts out.
func (s *EndpointList) trust(ask func(scheduler.Clock) []cachetrust.Action) {
	if s.start == nil {
		return
	}
	listed := scheduler.EndpointsUpdated{ListKind: scheduler.ListDelta}
	proven := scheduler.LearnedState{Workers: map[scheduler.WorkerID]scheduler.WorkerStatistics{}}
	for _, v := range ask(s.core.clock.Now()) {
		if v.Announce == nil {
			s.endpoints.Probe(v.Probe)
			continue
		}
		d := s.start.Endpoints[v.Announce.ID]
		s.known[d.ID] = d
		s.members.Record(d.member(), "", endpointstate.UnknownRevision)
		info := d.WorkerInfo
		info.StartedAt, info.StartConfirmed = v.Announce.StartedAt, v.Announce.StartConfirmed
		s.starts.Set(d.ID, d.StartedAt, info.StartedAt)
		listed.Workers = append(listed.Workers, info)
		if was, ok := s.start.LearnedState.Workers[d.ID]; ok && v.Announce.StartConfirmed {
			proven.Workers[d.ID] = was
		}
	}
	if len(listed.Workers) > 0 {
		s.core.ledger.listed(len(s.known))
		s.core.UpdateEndpoints(listed)
		if len(proven.Workers) > 0 {
			s.core.AdoptLearnedState(proven)
		}
	}
	s.publish()
}

// due tells when the trust has something to do if nothing comes.
func (s *EndpointList) due() (at scheduler.Clock, ok bool) {
	if s.start == nil {
		return 0, false
	}
	at, ok = s.start.Assessor.NextCheck()
	if until, doubted := s.start.Assessor.RetainedUntil(); doubted && (!ok || until < at) {
		at, ok = until, true
	}
	return at, ok
}

// judge has the trust see a list of discovery's. Where it is doubted, it counts as changes for now, and the whole list is
// to be asked for again at a time.
func (s *EndpointList) judge(u *ListUpdate) (again time.Time, doubted bool) {
	if s.start == nil {
		return again, false
	}
	var ready []scheduler.WorkerID
	for i := range u.Endpoints {
		d := &u.Endpoints[i]
		d.StartConfirmed = true // discovery knows when it started, whatever was supposed here
		if d.State == scheduler.Ready {
			ready = append(ready, d.ID)
		} else {
			s.start.Assessor.RemovedByDiscovery(d.ID)
		}
	}
	if !u.Complete {
		return again, false
	}
	j := s.start.Assessor.AssessList(s.core.clock.Now(), u.Revision, ready)
	if j.RefetchAt == 0 {
		return again, false
	}
	s.log.Warn("discovery's list lacks much of the saved one, asking again", "revision", u.Revision, "named", len(ready), "kept", len(j.Retain))
	return s.core.clock.Time(j.RefetchAt), true
}

// handOver ends the start from a saved list, once discovery's is in force: what was learned holds for those that have not
// started anew since.
func (s *EndpointList) handOver() {
	if s.start == nil || !s.start.Assessor.Finished() {
		return
	}
	same := scheduler.LearnedState{Workers: map[scheduler.WorkerID]scheduler.WorkerStatistics{}}
	for id, was := range s.start.LearnedState.Workers {
		if d, ok := s.known[id]; ok && s.start.Assessor.SameIncarnation(id, d.StartedAt) {
			same.Workers[id] = was
		}
	}
	for id, d := range s.start.Endpoints {
		if _, ok := s.known[id]; !ok {
			d.State = scheduler.Gone
			s.endpoints.Update(d)
		}
	}
	if len(same.Workers) > 0 {
		s.core.AdoptLearnedState(same)
	}
	s.core.SetObserver(nil)
	s.log.Info("discovery's list is in force", "known", len(s.known), "same", len(same.Workers))
	s.start = nil
}

// expire ends a doubt that nobody resolved.
func (s *EndpointList) expire() {
	if s.start == nil {
		return
	}
	gone := s.start.Assessor.ExpireRetained(s.core.clock.Now())
	listed := scheduler.EndpointsUpdated{ListKind: scheduler.ListDelta}
	now := time.Now()
	for _, id := range gone {
		d := s.known[id]
		d.State, d.NotifiedAt = scheduler.Gone, now
		s.members.Record(d.member(), "", endpointstate.UnknownRevision)
		s.update(d)
		listed.Workers = append(listed.Workers, d.WorkerInfo)
	}
	if len(gone) > 0 {
		s.core.ledger.listed(len(s.known))
		s.core.UpdateEndpoints(listed)
		s.handOver()
	}
}

// publish has the figures tell how far the trust goes.
func (s *EndpointList) publish() {
	src := ListSource{Name: "saved", TrustLevels: s.start.Assessor.CountByLevel(), AwaitingConfirmation: s.start.Assessor.AwaitingConfirmation()}
	if age, ok := s.start.Assessor.Age(); ok {
		src.ConfirmedAt = s.core.clock.Time(s.start.Assessor.StartedAt()).Add(-age)
	}
	s.source.Store(&src)
}

// foreign tells whether a list names none but destinations of zones that this installation does not have, though the
// saved one had others.
func (f *CachedStart) foreign(u ListUpdate) bool {
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

package routing

import (
	"errors"
	"math"
	"time"

	"brassdale/brain"
	"brassdale/internal/decisions/membership"
	"brassdale/internal/decisions/savedlist"
)

// FromSaved is a start from a saved list, while discovery has told nothing newer. What is decided on it is decided by
// the module savedlist; here its verdicts are carried out, and what comes back is told to it.
type FromSaved struct {
	Trust        *savedlist.Assessor
	Destinations map[brain.WorkerID]Destination // as the list has them
	Usual        []float64                      // by class: the usual time of a job in seconds, as a logarithm; NaN where not known
	Learned      brain.LearnedState             // classes are by number
	Pulled       bool                           // an answer to a probe that carries no report is not an endpoint's
}

// Keeper hears what discovery says, to keep it. It does not block.
type Keeper interface{ EndpointsUpdated(Update) }

// Source tells where the list that is in force comes from.
type Source struct {
	Name     string    // discovery, saved, known, predecessor or none
	Told     time.Time // when it was last known to be true; zero where nobody knows
	Stages   [savedlist.Excluded + 1]int
	Doubting bool // a list of discovery's waits for a second that agrees
}

// errForeign is a list of none but destinations that this installation does not name.
var errForeign = errors.New("the list is of another site")

// sign is what came back from an endpoint.
type sign struct {
	id     brain.WorkerID
	probe  bool
	answer savedlist.ProbeResult
	late   float64 // of a job that was served
}

// StartFrom begins with a saved list. It must be called before Run, with no other list told.
func (s *Destinations) StartFrom(f *FromSaved) {
	s.start, s.calls.current.revision = f, Whole
	for _, d := range f.Destinations {
		if d.State == brain.Ready {
			s.endpoints.Update(d) // so that it can be probed; the module knows nothing of it
		}
	}
	// How long jobs take and how far endpoints may be filled holds whichever endpoints are there.
	learned := f.Learned
	learned.Workers = nil
	s.core.Succeed(learned)
	s.core.Watch(&witness{s.mailbox, f})
	s.publish()
}

// Keep has a keeper hear what discovery says. It must be called before Run.
func (s *Destinations) Keep(k Keeper) { s.keeper = k }

// Source tells where the list in force comes from.
func (s *Destinations) Source() Source {
	if src := s.source.Load(); src != nil {
		return *src
	}
	return Source{Name: "none"}
}

// SetSource says where the list came from that the actor was made with.
func (s *Destinations) SetSource(src Source) { s.source.Store(&src) }

// witness hears of endpoints for the actor.
type witness struct {
	mailbox *Mailbox[any]
	f       *FromSaved // of which it reads what never changes
}

// Probed takes the outcome of a probe.
func (w *witness) ProbeCompleted(id brain.WorkerID, o brain.Outcome, report bool) {
	answer := savedlist.NoResponse
	switch {
	case o == brain.Served && (report || !w.f.Pulled):
		answer = savedlist.Answered
	case o == brain.Served, o == brain.Errored, o == brain.InvalidRequest, o == brain.Reset:
		answer = savedlist.Unrecognized
	}
	w.mailbox.Post(sign{id: id, probe: true, answer: answer})
}

// Worked takes how long a job took.
func (w *witness) JobServed(id brain.WorkerID, class int, took time.Duration) {
	f := w.f
	if class >= len(f.Usual) || math.IsNaN(f.Usual[class]) {
		return
	}
	late := math.Log(max(took.Seconds(), 1e-6)) - f.Usual[class]
	if was, ok := f.Learned.Workers[id]; ok && was.SlownessJobs > 0 {
		late -= was.Slowness / was.SlownessJobs // it was slower than others before
	}
	w.mailbox.Post(sign{id: id, late: late})
}

// heard tells the trust what came from an endpoint.
func (s *Destinations) heard(m sign) {
	s.trust(func(now brain.Clock) []savedlist.Action {
		if m.probe {
			return s.start.Trust.ProbeCompleted(now, m.id, m.answer)
		}
		return s.start.Trust.JobServed(now, m.id, m.late)
	})
}

// trust carries verdicts out.
func (s *Destinations) trust(ask func(brain.Clock) []savedlist.Action) {
	if s.start == nil {
		return
	}
	listed := brain.EndpointsUpdated{ListKind: brain.ListDelta}
	proven := brain.LearnedState{Workers: map[brain.WorkerID]brain.WorkerStatistics{}}
	for _, v := range ask(s.core.clock.Now()) {
		if v.Announce == nil {
			s.endpoints.Probe(v.Probe)
			continue
		}
		d := s.start.Destinations[v.Announce.ID]
		s.known[d.ID] = d
		s.members.Record(d.member(), "", membership.UnknownRevision)
		info := d.WorkerInfo
		info.StartedAt, info.StartConfirmed = v.Announce.StartedAt, v.Announce.StartConfirmed
		s.starts.Set(d.ID, d.StartedAt, info.StartedAt)
		listed.Workers = append(listed.Workers, info)
		if was, ok := s.start.Learned.Workers[d.ID]; ok && v.Announce.StartConfirmed {
			proven.Workers[d.ID] = was
		}
	}
	if len(listed.Workers) > 0 {
		s.core.ledger.listed(len(s.known))
		s.core.Listed(listed)
		if len(proven.Workers) > 0 {
			s.core.Succeed(proven)
		}
	}
	s.publish()
}

// due tells when the trust has something to do if nothing comes.
func (s *Destinations) due() (at brain.Clock, ok bool) {
	if s.start == nil {
		return 0, false
	}
	at, ok = s.start.Trust.NextCheck()
	if until, doubted := s.start.Trust.RetainedUntil(); doubted && (!ok || until < at) {
		at, ok = until, true
	}
	return at, ok
}

// judge has the trust see a list of discovery's. Where it is doubted, it counts as changes for now, and the whole list is
// to be asked for again at a time.
func (s *Destinations) judge(u *Update) (again time.Time, doubted bool) {
	if s.start == nil {
		return again, false
	}
	var ready []brain.WorkerID
	for i := range u.Destinations {
		d := &u.Destinations[i]
		d.StartConfirmed = true // discovery knows when it started, whatever was supposed here
		if d.State == brain.Ready {
			ready = append(ready, d.ID)
		} else {
			s.start.Trust.RemovedByDiscovery(d.ID)
		}
	}
	if !u.Complete {
		return again, false
	}
	j := s.start.Trust.AssessList(s.core.clock.Now(), u.Revision, ready)
	if j.RefetchAt == 0 {
		return again, false
	}
	s.log.Warn("discovery's list lacks much of the saved one, asking again", "revision", u.Revision, "named", len(ready), "kept", len(j.Retain))
	return s.core.clock.Time(j.RefetchAt), true
}

// handOver ends the start from a saved list, once discovery's is in force: what was learned holds for those that have not
// started anew since.
func (s *Destinations) handOver() {
	if s.start == nil || !s.start.Trust.Finished() {
		return
	}
	same := brain.LearnedState{Workers: map[brain.WorkerID]brain.WorkerStatistics{}}
	for id, was := range s.start.Learned.Workers {
		if d, ok := s.known[id]; ok && s.start.Trust.SameIncarnation(id, d.StartedAt) {
			same.Workers[id] = was
		}
	}
	for id, d := range s.start.Destinations {
		if _, ok := s.known[id]; !ok {
			d.State = brain.Gone
			s.endpoints.Update(d)
		}
	}
	if len(same.Workers) > 0 {
		s.core.Succeed(same)
	}
	s.core.Watch(nil)
	s.log.Info("discovery's list is in force", "known", len(s.known), "same", len(same.Workers))
	s.start = nil
}

// expire ends a doubt that nobody resolved.
func (s *Destinations) expire() {
	if s.start == nil {
		return
	}
	gone := s.start.Trust.ExpireRetained(s.core.clock.Now())
	listed := brain.EndpointsUpdated{ListKind: brain.ListDelta}
	now := time.Now()
	for _, id := range gone {
		d := s.known[id]
		d.State, d.Told = brain.Gone, now
		s.members.Record(d.member(), "", membership.UnknownRevision)
		s.update(d)
		listed.Workers = append(listed.Workers, d.WorkerInfo)
	}
	if len(gone) > 0 {
		s.core.ledger.listed(len(s.known))
		s.core.Listed(listed)
		s.handOver()
	}
}

// publish has the figures tell how far the trust goes.
func (s *Destinations) publish() {
	src := Source{Name: "saved", Stages: s.start.Trust.CountByLevel(), Doubting: s.start.Trust.AwaitingConfirmation()}
	if age, ok := s.start.Trust.Age(); ok {
		src.Told = s.core.clock.Time(s.start.Trust.StartedAt()).Add(-age)
	}
	s.source.Store(&src)
}

// foreign tells whether a list names none but destinations of zones that this installation does not have, though the
// saved one had others.
func (f *FromSaved) foreign(u Update) bool {
	if f == nil || len(u.Destinations) == 0 {
		return false
	}
	for _, d := range u.Destinations {
		if d.Zone >= 0 || d.State == brain.Gone {
			return false
		}
	}
	for _, d := range f.Destinations {
		if d.Zone >= 0 {
			return true
		}
	}
	return false
}

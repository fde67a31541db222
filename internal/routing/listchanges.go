package routing

import (
	"context"
	"log/slog"
	"math"
	"time"

	"brassdale/internal/decisions/endpointstate"
	"brassdale/internal/decisions/incarnations"
	"brassdale/scheduler"
)

// begin takes in the list as it was known before.
func (s *EndpointList) begin(saved ListUpdate, now time.Time) {
	members := make([]endpointstate.Endpoint, len(saved.Endpoints))
	for i := range saved.Endpoints {
		d := &saved.Endpoints[i]
		if d.State != scheduler.Ready && d.NotifiedAt.IsZero() { // a predecessor may have been told before
			d.NotifiedAt = s.toldFrom(now)
		}
		members[i] = d.member()
	}
	s.members.Restore(s.calls.current.discovery.Service(), saved.Revision, members)
	s.tell(saved, saved.Endpoints, nil, scheduler.ListCached)
}

// toldFrom gives from when a drain counts that came now. What an agent had counts as told: it may have had it since it last
// answered.
func (s *EndpointList) toldFrom(now time.Time) time.Time {
	if s.rules().ListsPushed {
		return s.answered
	}
	return now
}

// apply puts in force what counts of an answer.
func (s *EndpointList) apply(c *listCall, u ListUpdate, kind scheduler.ListKind, order endpointstate.Freshness) {
	now := u.ReceivedAt
	if now.IsZero() {
		now = time.Now()
	}
	answer := c.answer(u, now)
	for i := range answer.Endpoints {
		if m := &answer.Endpoints[i]; m.NotifiedAt.IsZero() {
			m.NotifiedAt = s.toldFrom(now)
		}
	}
	verdict := s.members.Apply(answer, order)
	if c.service == s.calls.current && (u.Complete || !verdict.PollAgainAt.IsZero()) { // a change says nothing of what was not believed
		s.recheckAt = verdict.PollAgainAt
	}
	var listed, ended []Endpoint
	for _, a := range verdict.Accepted {
		if a.Index == endpointstate.NotListed {
			d := s.known[a.ID]
			d.ID, d.State, d.NotifiedAt = a.ID, a.State, a.NotifiedAt
			ended = append(ended, d)
			continue
		}
		d := u.Endpoints[a.Index]
		d.State, d.StartedAt, d.NotifiedAt = a.State, a.Start, a.NotifiedAt
		listed = append(listed, d)
	}
	s.tell(u, listed, ended, kind)
}

// tell passes on what has changed: to the endpoints first, then to the module. The ended ones are those that a whole list does not
// name: the module knows by that.
func (s *EndpointList) tell(u ListUpdate, listed, ended []Endpoint, kind scheduler.ListKind) {
	level := slog.LevelDebug
	if u.Complete {
		level = slog.LevelInfo
	}
	for _, d := range listed {
		if s.update(d) {
			level = slog.LevelInfo
		}
	}
	news := scheduler.EndpointsUpdated{ListKind: kind, Workers: s.dated(listed), AsOf: s.core.clock.At(s.asOf)}
	s.told = s.told || kind != scheduler.ListCached
	for _, d := range ended {
		s.update(d)
	}
	s.core.ledger.listed(len(s.known))
	s.core.UpdateEndpoints(news)
	if len(u.Endpoints) > 0 {
		s.log.Log(context.Background(), level, "destination set", "revision", u.Revision, "complete", u.Complete, "lines", len(u.Endpoints),
			"accepted", len(listed), "known", len(s.known))
	}
}

// forever is longer than any process runs.
const forever = time.Duration(math.MaxInt64)

// dated gives the lines of a list with the starts of their workers on the core's clock.
func (s *EndpointList) dated(lines []Endpoint) []scheduler.WorkerInfo {
	now := time.Now()
	moment := incarnations.ListTime{Now: s.core.clock.At(now), Wall: time.Duration(now.UnixNano()), SinceLastList: now.Sub(s.answered)}
	if !s.told {
		moment.SinceLastList = forever
	}
	stamped := make([]incarnations.WorkerStart, len(lines))
	for i, d := range lines {
		stamped[i] = incarnations.WorkerStart{ID: d.ID, Stamp: d.StartedAt}
		if d.Age > 0 {
			s.starts.Set(d.ID, d.StartedAt, moment.Now-d.Age)
		}
	}
	infos := make([]scheduler.WorkerInfo, len(lines))
	for i, at := range s.starts.Update(moment, stamped) {
		infos[i] = lines[i].WorkerInfo
		infos[i].StartedAt = at
	}
	return infos
}

// StartedAt gives when a worker started, on the core's clock. It may be called before Run only.
func (s *EndpointList) StartedAt(id scheduler.WorkerID) scheduler.Clock {
	return s.starts.StartedAt(id)
}

// update takes a line in and tells whether it is news: weights that fall with the load are not.
func (s *EndpointList) update(d Endpoint) bool {
	old := s.known[d.ID]
	if d.Address == "" {
		d.Address = old.Address
	}
	s.logState(old, d)
	d.Age = 0 // it grows
	if d.State == scheduler.Gone {
		delete(s.known, d.ID)
	} else {
		s.known[d.ID] = d
	}
	s.endpoints.Update(d)
	old.Weight, old.NotifiedAt = d.Weight, d.NotifiedAt
	return old != d
}

// member gives what a line says of a worker's state.
func (d *Endpoint) member() endpointstate.Endpoint {
	return endpointstate.Endpoint{ID: d.ID, State: d.State, Start: d.StartedAt, NotifiedAt: d.NotifiedAt}
}

// logState tells of a worker whose state has changed. That a worker is new is no change: a first list may have thousands.
func (s *EndpointList) logState(old, d Endpoint) {
	if _, known := s.known[d.ID]; known && old.State != d.State {
		s.log.Info("worker's state", "worker", d.ID, "from", old.State.String(), "to", d.State.String(), "told_ago", ago(d.NotifiedAt))
	}
}

// ago is how long ago a time was; 0 for none.
func ago(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return time.Since(t).Round(time.Millisecond)
}

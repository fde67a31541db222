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

// restore takes in the list as it was known before.
func (s *EndpointList) restore(saved ListUpdate, now time.Time) {
	members := make([]endpointstate.Endpoint, len(saved.Endpoints))
	for i := range saved.Endpoints {
		d := &saved.Endpoints[i]
		if d.State != scheduler.Ready && d.NotifiedAt.IsZero() { // a predecessor may have been told before
			d.NotifiedAt = s.notifiedFrom(now)
		}
		members[i] = d.listedState()
	}
	s.states.Restore(s.calls.current.discovery.Service(), saved.Revision, members)
	s.publishChanges(saved, saved.Endpoints, nil, scheduler.ListCached)
}

// notifiedFrom gives from when a drain counts that came now. What an agent had counts as told: it may have had it since it last
// answered.
func (s *EndpointList) notifiedFrom(now time.Time) time.Time {
	if s.pollRules().ListsPushed {
		return s.answeredAt
	}
	return now
}

// apply puts in force what counts of an answer.
func (s *EndpointList) apply(c *listCall, u ListUpdate, kind scheduler.ListKind, order endpointstate.Freshness) {
	now := u.ReceivedAt
	if now.IsZero() {
		now = time.Now()
	}
	answer := c.response(u, now)
	for i := range answer.Endpoints {
		if m := &answer.Endpoints[i]; m.NotifiedAt.IsZero() {
			m.NotifiedAt = s.notifiedFrom(now)
		}
	}
	verdict := s.states.Apply(answer, order)
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
	s.publishChanges(u, listed, ended, kind)
}

// publishChanges passes on what has changed: to the endpoints first, then to the module. The ended ones are those that a whole list does not
// name: the module knows by that.
func (s *EndpointList) publishChanges(u ListUpdate, listed, ended []Endpoint, kind scheduler.ListKind) {
	level := slog.LevelDebug
	if u.Complete {
		level = slog.LevelInfo
	}
	for _, d := range listed {
		if s.updateEndpoint(d) {
			level = slog.LevelInfo
		}
	}
	news := scheduler.EndpointsUpdated{ListKind: kind, Workers: s.withStartTimes(listed), AsOf: s.core.clock.At(s.completeAsOf)}
	s.listReceived = s.listReceived || kind != scheduler.ListCached
	for _, d := range ended {
		s.updateEndpoint(d)
	}
	s.core.counters.setListedEndpoints(len(s.known))
	s.core.UpdateEndpoints(news)
	if len(u.Endpoints) > 0 {
		s.log.Log(context.Background(), level, "destination set", "revision", u.Revision, "complete", u.Complete, "lines", len(u.Endpoints),
			"accepted", len(listed), "known", len(s.known))
	}
}

// forever is longer than any process runs.
const forever = time.Duration(math.MaxInt64)

// withStartTimes gives the lines of a list with the starts of their workers on the core's clock.
func (s *EndpointList) withStartTimes(lines []Endpoint) []scheduler.WorkerInfo {
	now := time.Now()
	moment := incarnations.ListTime{Now: s.core.clock.At(now), Wall: time.Duration(now.UnixNano()), SinceLastList: now.Sub(s.answeredAt)}
	if !s.listReceived {
		moment.SinceLastList = forever
	}
	stamped := make([]incarnations.WorkerStart, len(lines))
	for i, d := range lines {
		stamped[i] = incarnations.WorkerStart{ID: d.ID, Stamp: d.StartedAt}
		if d.Age > 0 {
			s.incarnations.Set(d.ID, d.StartedAt, moment.Now-d.Age)
		}
	}
	infos := make([]scheduler.WorkerInfo, len(lines))
	for i, at := range s.incarnations.Update(moment, stamped) {
		infos[i] = lines[i].WorkerInfo
		infos[i].StartedAt = at
	}
	return infos
}

// StartedAt gives when a worker started, on the core's clock. It may be called before Run only.
func (s *EndpointList) StartedAt(id scheduler.WorkerID) scheduler.Clock {
	return s.incarnations.StartedAt(id)
}

// updateEndpoint takes a line in and tells whether it is news: weights that fall with the load are not.
func (s *EndpointList) updateEndpoint(d Endpoint) bool {
	old := s.known[d.ID]
	if d.Address == "" {
		d.Address = old.Address
	}
	s.logStateChange(old, d)
	d.Age = 0 // it grows
	if d.State == scheduler.Gone {
		delete(s.known, d.ID)
	} else {
		s.known[d.ID] = d
	}
	s.pool.Update(d)
	old.Weight, old.NotifiedAt = d.Weight, d.NotifiedAt
	return old != d
}

// listedState gives what a line says of a worker's state.
func (d *Endpoint) listedState() endpointstate.Endpoint {
	return endpointstate.Endpoint{ID: d.ID, State: d.State, Start: d.StartedAt, NotifiedAt: d.NotifiedAt}
}

// logStateChange tells of a worker whose state has changed. That a worker is new is no change: a first list may have thousands.
func (s *EndpointList) logStateChange(old, d Endpoint) {
	if _, known := s.known[d.ID]; known && old.State != d.State {
		s.log.Info("worker's state", "worker", d.ID, "from", old.State.String(), "to", d.State.String(), "told_ago", sinceNotified(d.NotifiedAt))
	}
}

// sinceNotified is how long sinceNotified a time was; 0 for none.
func sinceNotified(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return time.Since(t).Round(time.Millisecond)
}

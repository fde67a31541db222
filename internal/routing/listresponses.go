package routing

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"brassdale/internal/decisions/endpointstate"
	"brassdale/internal/decisions/polling"
	"brassdale/scheduler"
)

// lagLogInterval is how often an answer with a lower revision is logged so that it stands out.
const lagLogInterval = 10 * time.Second

// handleCallEnded takes in what a call brought.
func (s *EndpointList) handleCallEnded(ctx context.Context, c *listCall, m callEnded) {
	now, rules := time.Now(), s.pollRules()
	if m.err == nil && s.cachedStart.isForeign(m.update) {
		m.err = errForeignList
	}
	current := c.service == s.calls.current
	switch {
	case m.err != nil && !current: // it is asked no more
	case m.err != nil:
		if ctx.Err() == nil {
			s.recordFailure(c, m.err, now)
		}
		s.calls.schedule.CallFailed(now, c.number, c.failure(m.err, now), rules, rand.Float64())
	case current || !s.calls.current.answered:
		s.handleResponse(ctx, c, m.update, now)
	}
}

// handleResponse takes in what a service told, as far as it counts.
func (s *EndpointList) handleResponse(ctx context.Context, c *listCall, u ListUpdate, now time.Time) {
	order := s.states.Classify(c.response(u, now))
	switch {
	case order == endpointstate.Overtaken:
		s.log.Info("discovery's answer was overtaken", "call", c.number, "revision", u.Revision, "known", c.service.revision)
		s.markStale(now, c, c.service.fullListDue)
	case order == endpointstate.Lagging:
		s.log.Log(context.Background(), s.lagLevel(now), "discovery's revision went back, asking for the whole list", "call", c.number,
			"revision", u.Revision, "known", c.service.revision)
		u.Complete = false
		s.apply(c, u, scheduler.ListDelta, order)
		s.markStale(now, c, true)
	case c.service != s.calls.current:
		s.acceptPrevious(ctx, c, u, now)
	default:
		s.acceptList(now, c, u)
		s.recordRecovery() // behind the list's own line: who reads that discovery answers again finds its list in force
	}
}

// markStale notes an answer that told nothing new, and whether the whole list is to be asked for.
func (s *EndpointList) markStale(now time.Time, c *listCall, recheck bool) {
	if c.service == s.calls.current {
		c.service.fullListDue = recheck
		s.calls.schedule.CallStale(now, c.number, s.pollRules(), rand.Float64())
	}
}

// lagLevel is the level at which an answer with a lower revision is logged: of a row of them one in a while stands out.
func (s *EndpointList) lagLevel(now time.Time) slog.Level {
	if now.Sub(s.lagLoggedAt) < lagLogInterval {
		return slog.LevelDebug
	}
	s.lagLoggedAt = now
	return slog.LevelWarn
}

// acceptList takes in the list, or a change of it, of the service in force.
func (s *EndpointList) acceptList(now time.Time, c *listCall, u ListUpdate) {
	service := c.service
	fresh := u.Revision != service.revision || len(u.Endpoints) > 0
	if !service.answered {
		service.answered = true
		s.calls.dropPrevious()
	}
	service.heard = now
	if again, doubted := s.assessList(&u); doubted {
		u.Complete = false
		s.apply(c, u, scheduler.ListDelta, endpointstate.Current)
		service.revision = FullList
		s.calls.schedule.PollAt(again)
		return
	}
	if u.Complete {
		service.fullListDue = false
	}
	kind := scheduler.ListDelta
	if u.Complete {
		kind = scheduler.ListFull
	}
	s.completeAsOf = later(s.completeAsOf, s.completeAt(c, u, fresh, now))
	s.apply(c, u, kind, endpointstate.Current)
	service.revision = u.Revision
	s.answeredAt = now
	s.core.counters.setListReceivedAt(now)
	s.completeCachedStart()
	if s.store != nil {
		s.store.EndpointsUpdated(u)
	}
	s.source.Store(&ListSource{Name: "discovery", ConfirmedAt: now})
	s.calls.schedule.CallAnswered(now, c.number, now.Sub(c.startedAt), fresh, u.BeforeWaitEnded, s.pollRules(), rand.Float64())
}

// maxReplicaLag is how far a replica of discovery may be behind. Nothing of an answer tells.
const maxReplicaLag = 2500 * time.Millisecond

// completeAt gives as of when an answer tells all that discovery had: for a watch when it came, else when its call was made. A busy
// service may end a watch whose news has not had its turn: then it tells nothing of that.
func (s *EndpointList) completeAt(c *listCall, u ListUpdate, fresh bool, now time.Time) time.Time {
	switch {
	case c.kind != polling.Watch:
		return c.startedAt.Add(-maxReplicaLag)
	case !fresh && s.calls.schedule.ServiceBusy(now):
		return time.Time{}
	case u.ReceivedAt.IsZero():
		return now.Add(-maxReplicaLag)
	}
	return u.ReceivedAt.Add(-maxReplicaLag)
}

// serviceChanged has what the list is known of end sooner: behind a move of discovery a change counts as told polling.Moved later.
func (s *EndpointList) serviceChanged(now time.Time) {
	if asOf := now.Add(polling.MoveNotificationDeadline - polling.NotificationDeadline); asOf.Before(s.completeAsOf) {
		s.completeAsOf = asOf
	}
	s.core.UpdateEndpoints(scheduler.EndpointsUpdated{ListKind: scheduler.ListDelta, AsOf: s.core.clock.At(s.completeAsOf)})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// acceptPrevious takes in what a service brings that was asked before a move, while the new one has not answered. It tells of
// workers that changed; which ones there are is the new one's word. A watch there goes on meanwhile.
func (s *EndpointList) acceptPrevious(ctx context.Context, c *listCall, u ListUpdate, now time.Time) {
	u.Complete = false
	s.apply(c, u, scheduler.ListDelta, endpointstate.Current)
	c.service.revision, c.service.heard = u.Revision, now
	s.calls.schedule.PreviousServiceAnswered(now)
	if c.kind == polling.Watch {
		s.calls.startCall(ctx, now, c.service, polling.Watch)
	}
}

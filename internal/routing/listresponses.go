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

// lagReportEvery is how often an answer with a lower revision is logged so that it stands out.
const lagReportEvery = 10 * time.Second

// take takes in what a call brought.
func (s *EndpointList) take(ctx context.Context, c *listCall, m callEnded) {
	now, rules := time.Now(), s.rules()
	if m.err == nil && s.start.foreign(m.update) {
		m.err = errForeign
	}
	current := c.service == s.calls.current
	switch {
	case m.err != nil && !current: // it is asked no more
	case m.err != nil:
		if ctx.Err() == nil {
			s.failed(c, m.err, now)
		}
		s.calls.schedule.CallFailed(now, c.number, c.failure(m.err, now), rules, rand.Float64())
	case current || !s.calls.current.answered:
		s.takeAnswer(ctx, c, m.update, now)
	}
}

// takeAnswer takes in what a service told, as far as it counts.
func (s *EndpointList) takeAnswer(ctx context.Context, c *listCall, u ListUpdate, now time.Time) {
	order := s.members.Classify(c.answer(u, now))
	switch {
	case order == endpointstate.Overtaken:
		s.log.Info("discovery's answer was overtaken", "call", c.number, "revision", u.Revision, "known", c.service.revision)
		s.stale(now, c, c.service.recheck)
	case order == endpointstate.Lagging:
		s.log.Log(context.Background(), s.lagLevel(now), "discovery's revision went back, asking for the whole list", "call", c.number,
			"revision", u.Revision, "known", c.service.revision)
		u.Complete = false
		s.apply(c, u, scheduler.ListDelta, order)
		s.stale(now, c, true)
	case c.service != s.calls.current:
		s.takeFormer(ctx, c, u, now)
	default:
		s.takeList(now, c, u)
		s.mended() // behind the list's own line: who reads that discovery answers again finds its list in force
	}
}

// stale notes an answer that told nothing new, and whether the whole list is to be asked for.
func (s *EndpointList) stale(now time.Time, c *listCall, recheck bool) {
	if c.service == s.calls.current {
		c.service.recheck = recheck
		s.calls.schedule.CallStale(now, c.number, s.rules(), rand.Float64())
	}
}

// lagLevel is the level at which an answer with a lower revision is logged: of a row of them one in a while stands out.
func (s *EndpointList) lagLevel(now time.Time) slog.Level {
	if now.Sub(s.lagged) < lagReportEvery {
		return slog.LevelDebug
	}
	s.lagged = now
	return slog.LevelWarn
}

// takeList takes in the list, or a change of it, of the service in force.
func (s *EndpointList) takeList(now time.Time, c *listCall, u ListUpdate) {
	service := c.service
	fresh := u.Revision != service.revision || len(u.Endpoints) > 0
	if !service.answered {
		service.answered = true
		s.calls.dropFormer()
	}
	service.heard = now
	if again, doubted := s.judge(&u); doubted {
		u.Complete = false
		s.apply(c, u, scheduler.ListDelta, endpointstate.Current)
		service.revision = FullList
		s.calls.schedule.PollAt(again)
		return
	}
	if u.Complete {
		service.recheck = false
	}
	kind := scheduler.ListDelta
	if u.Complete {
		kind = scheduler.ListFull
	}
	s.asOf = latest(s.asOf, s.shownAsOf(c, u, fresh, now))
	s.apply(c, u, kind, endpointstate.Current)
	service.revision = u.Revision
	s.answered = now
	s.core.ledger.listHeard(now)
	s.handOver()
	if s.keeper != nil {
		s.keeper.EndpointsUpdated(u)
	}
	s.source.Store(&ListSource{Name: "discovery", ConfirmedAt: now})
	s.calls.schedule.CallAnswered(now, c.number, now.Sub(c.begun), fresh, u.BeforeWaitEnded, s.rules(), rand.Float64())
}

// mostLag is how far a replica of discovery may be behind. Nothing of an answer tells.
const mostLag = 2500 * time.Millisecond

// shownAsOf gives as of when an answer tells all that discovery had: for a watch when it came, else when its call was made. A busy
// service may end a watch whose news has not had its turn: then it tells nothing of that.
func (s *EndpointList) shownAsOf(c *listCall, u ListUpdate, fresh bool, now time.Time) time.Time {
	switch {
	case c.kind != polling.Watch:
		return c.begun.Add(-mostLag)
	case !fresh && s.calls.schedule.ServiceBusy(now):
		return time.Time{}
	case u.ReceivedAt.IsZero():
		return now.Add(-mostLag)
	}
	return u.ReceivedAt.Add(-mostLag)
}

// movedAt has what the list is known of end sooner: behind a move of discovery a change counts as told polling.Moved later.
func (s *EndpointList) movedAt(now time.Time) {
	if asOf := now.Add(polling.MoveNotificationDeadline - polling.NotificationDeadline); asOf.Before(s.asOf) {
		s.asOf = asOf
	}
	s.core.UpdateEndpoints(scheduler.EndpointsUpdated{ListKind: scheduler.ListDelta, AsOf: s.core.clock.At(s.asOf)})
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// takeFormer takes in what a service brings that was asked before a move, while the new one has not answered. It tells of
// workers that changed; which ones there are is the new one's word. A watch there goes on meanwhile.
func (s *EndpointList) takeFormer(ctx context.Context, c *listCall, u ListUpdate, now time.Time) {
	u.Complete = false
	s.apply(c, u, scheduler.ListDelta, endpointstate.Current)
	c.service.revision, c.service.heard = u.Revision, now
	s.calls.schedule.PreviousServiceAnswered(now)
	if c.kind == polling.Watch {
		s.calls.begin(ctx, now, c.service, polling.Watch)
	}
}

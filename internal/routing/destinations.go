package routing

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"brassdale/brain"
	"brassdale/internal/decisions/membership"
	"brassdale/internal/decisions/pacing"
	"brassdale/internal/decisions/savedlist"
	"brassdale/internal/decisions/starts"
)

// Update is an answer of discovery.
type Update struct {
	Revision     int64
	Complete     bool      // the whole set; who is absent is gone
	Early        bool      // it came before the call's wait was over
	At           time.Time // when it began to come; zero for now
	Destinations []Destination
}

// Discovery is whoever knows the destination set. A call returns what is newer than the revision, for Whole the whole
// set, by the deadline that it keeps itself, whatever discovery does.
type Discovery interface {
	Call(ctx context.Context, revision int64, kind pacing.Kind) (Update, error)
	// Service names the service: two of one name count revisions alike.
	Service() string
	// Close lets go of the connections that carry no call.
	Close()
}

// ErrRefused is what a call ends with that discovery has refused, as it has too many.
var ErrRefused = errors.New("refused")

// ListTold is how long after discovery had it a change counts as told at the latest.
const ListTold = pacing.Told

// Whole is no revision: who asks after it wants the whole set now.
const Whole = -1

// Destinations is the destination set's actor. While subscribed it watches without a gap; each answer
// goes to the endpoints first and then to the module, so the module never sends to one unknown here.
type Destinations struct {
	core      *Core
	endpoints Endpoints
	log       *slog.Logger
	mailbox   *Mailbox[any]

	// Owned by Run.
	calls   *listCalls
	members membership.Table
	known   map[brain.WorkerID]Destination // as members has their states
	start   *FromSaved                     // nil unless this process started from a saved list and nobody told a newer one
	keeper  Keeper                         // nil for none
	source  atomic.Pointer[Source]

	starts starts.Book // of the workers, on the core's clock; known has them as discovery stamps them
	told   bool        // a list of discovery's was taken in

	rules     func() pacing.Rules
	answered  time.Time     // when discovery last answered; before, when this process began
	asOf      time.Time     // all that discovery had then is known
	first     chan struct{} // closed when the first call has ended, however
	failures  callFailures  // since a call succeeded
	reported  time.Time     // when a row of failures was last logged
	lagged    time.Time     // when an answer with a lower revision was last logged
	recheckAt time.Time     // when the whole list is to be asked for, as something was not believed; zero for never
}

// beforeStart is how long before the start of a process a change may have been made that counts as told in its time: the process
// before it has just ended, or it was killed.
const beforeStart = 2 * time.Second

// lagReportEvery is how often an answer with a lower revision is logged so that it stands out.
const lagReportEvery = 10 * time.Second

// reportEvery is how often a row of failed calls to discovery is logged at the most.
const reportEvery = time.Second

type (
	subscribe struct{}
	move      struct{ to Discovery }
	ask       struct{ answer chan<- Update }
)

// NewDestinations makes the actor with the set as it was known last, and tells the module of that.
func NewDestinations(c *Core, e Endpoints, d Discovery, saved Update, log *slog.Logger) *Destinations {
	now := time.Now()
	s := &Destinations{core: c, endpoints: e, log: log, mailbox: NewMailbox[any](), known: map[brain.WorkerID]Destination{},
		rules: func() pacing.Rules { return pacing.Rules{Dispatchers: 1} }, answered: now, first: make(chan struct{})}
	s.calls = &listCalls{schedule: pacing.NewSchedule(now), rules: func() pacing.Rules { return s.rules() },
		current: &service{discovery: d}, ended: func(m callEnded) { s.mailbox.Post(m) }, ledger: &c.ledger, log: log}
	s.asOf = now.Add(-beforeStart)
	s.calls.current.revision = saved.Revision
	s.begin(saved, now)
	return s
}

// Subscribe asks for all changes from now on. It does not block.
func (s *Destinations) Subscribe() { s.mailbox.Post(subscribe{}) }

// Move goes on with another discovery. It does not block.
func (s *Destinations) Move(to Discovery) { s.mailbox.Post(move{to}) }

// Known gives the set as it is known, once the actor runs.
func (s *Destinations) Known(ctx context.Context) (Update, error) {
	answer := make(chan Update, 1)
	s.mailbox.Post(ask{answer})
	return await(ctx, answer)
}

// Pace names who gives the rules that calls for the list go by, of the settings in force. Where lists are pushed to an agent
// the module does not ask for changes: the actor calls the agent from its start.
func (s *Destinations) Pace(rules func() pacing.Rules) { s.rules = rules }

// First is closed when the first call has ended, however.
func (s *Destinations) First() <-chan struct{} { return s.first }

// Run is the actor's life.
func (s *Destinations) Run(ctx context.Context) {
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	if s.rules().Pushed {
		s.Subscribe()
	}
	s.trust(func(now brain.Clock) []savedlist.Verdict { return s.start.Trust.Look(now) })
	for {
		if at, ok := s.wakeAt(); ok {
			alarm.Reset(time.Until(at))
		}
		select {
		case <-ctx.Done():
			return
		case <-s.mailbox.Signal():
		case <-alarm.C:
		}
		for _, m := range s.mailbox.Take() {
			s.receive(ctx, m)
		}
		s.recheck(time.Now())
		s.calls.call(ctx, time.Now())
		s.trust(func(now brain.Clock) []savedlist.Verdict { return s.start.Trust.Look(now) })
		s.expire()
	}
}

// wakeAt gives when there is something to do if nothing comes.
func (s *Destinations) wakeAt() (at time.Time, ok bool) {
	at, ok = s.calls.due()
	if ok && !s.recheckAt.IsZero() && s.recheckAt.Before(at) {
		at = s.recheckAt
	}
	if due, trusts := s.due(); trusts {
		if t := s.core.clock.Time(due); !ok || t.Before(at) {
			at, ok = t, true
		}
	}
	return at, ok
}

// recheck has the whole list asked for where something of an answer was not believed, and may be by now.
func (s *Destinations) recheck(now time.Time) {
	if s.recheckAt.IsZero() || now.Before(s.recheckAt) {
		return
	}
	s.recheckAt = time.Time{}
	if !s.calls.current.recheck {
		s.calls.current.recheck = true
		s.calls.schedule.Hasten(now)
	}
}

// receive takes a message.
func (s *Destinations) receive(ctx context.Context, m any) {
	switch m := m.(type) {
	case subscribe:
		s.calls.schedule.Begin(time.Now())
	case move:
		// The new one is asked for its whole set: nobody says that both count revisions alike, and a change that the old
		// one had under way must not be lost. Until the answer the list as known holds, and what the old one still brings.
		s.log.Info("discovery moved", "open_calls", len(s.calls.open), "list_age", s.age())
		now := time.Now()
		s.calls.move(ctx, m.to, now)
		s.movedAt(now)
	case ask:
		m.answer <- s.whole() // has room
	case sign:
		s.heard(m)
	case callEnded:
		if c := s.calls.take(m); c != nil {
			s.take(ctx, c, m)
		}
		if m.number == 1 {
			close(s.first)
		}
	}
}

// whole gives the set as it is known.
func (s *Destinations) whole() Update {
	u := Update{Revision: s.calls.current.revision, Complete: true}
	now := s.core.clock.Now()
	for _, d := range s.known {
		if at := s.starts.At(d.ID); at > 0 {
			d.Age = now - at
		}
		u.Destinations = append(u.Destinations, d)
	}
	return u
}

// take takes in what a call brought.
func (s *Destinations) take(ctx context.Context, c *listCall, m callEnded) {
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
		s.calls.schedule.Failed(now, c.number, c.failure(m.err, now), rules, rand.Float64())
	case current || !s.calls.current.answered:
		s.takeAnswer(ctx, c, m.update, now)
	}
}

// takeAnswer takes in what a service told, as far as it counts.
func (s *Destinations) takeAnswer(ctx context.Context, c *listCall, u Update, now time.Time) {
	order := s.members.Order(c.answer(u, now))
	switch {
	case order == membership.Overtaken:
		s.log.Info("discovery's answer was overtaken", "call", c.number, "revision", u.Revision, "known", c.service.revision)
		s.stale(now, c, c.service.recheck)
	case order == membership.Lagging:
		s.log.Log(context.Background(), s.lagLevel(now), "discovery's revision went back, asking for the whole list", "call", c.number,
			"revision", u.Revision, "known", c.service.revision)
		u.Complete = false
		s.apply(c, u, brain.ListChange, order)
		s.stale(now, c, true)
	case c.service != s.calls.current:
		s.takeFormer(ctx, c, u, now)
	default:
		s.takeList(now, c, u)
		s.mended() // behind the list's own line: who reads that discovery answers again finds its list in force
	}
}

// stale notes an answer that told nothing new, and whether the whole list is to be asked for.
func (s *Destinations) stale(now time.Time, c *listCall, recheck bool) {
	if c.service == s.calls.current {
		c.service.recheck = recheck
		s.calls.schedule.Stale(now, c.number, s.rules(), rand.Float64())
	}
}

// lagLevel is the level at which an answer with a lower revision is logged: of a row of them one in a while stands out.
func (s *Destinations) lagLevel(now time.Time) slog.Level {
	if now.Sub(s.lagged) < lagReportEvery {
		return slog.LevelDebug
	}
	s.lagged = now
	return slog.LevelWarn
}

// takeList takes in the list, or a change of it, of the service in force.
func (s *Destinations) takeList(now time.Time, c *listCall, u Update) {
	service := c.service
	fresh := u.Revision != service.revision || len(u.Destinations) > 0
	if !service.answered {
		service.answered = true
		s.calls.dropFormer()
	}
	service.heard = now
	if again, doubted := s.judge(&u); doubted {
		u.Complete = false
		s.apply(c, u, brain.ListChange, membership.Current)
		service.revision = Whole
		s.calls.schedule.AskAt(again)
		return
	}
	if u.Complete {
		service.recheck = false
	}
	kind := brain.ListChange
	if u.Complete {
		kind = brain.ListFull
	}
	s.asOf = latest(s.asOf, s.shownAsOf(c, u, fresh, now))
	s.apply(c, u, kind, membership.Current)
	service.revision = u.Revision
	s.answered = now
	s.core.ledger.listHeard(now)
	s.handOver()
	if s.keeper != nil {
		s.keeper.Listed(u)
	}
	s.source.Store(&Source{Name: "discovery", Told: now})
	s.calls.schedule.Answered(now, c.number, now.Sub(c.begun), fresh, u.Early, s.rules(), rand.Float64())
}

// mostLag is how far a replica of discovery may be behind. Nothing of an answer tells.
const mostLag = 2500 * time.Millisecond

// shownAsOf gives as of when an answer tells all that discovery had: for a watch when it came, else when its call was made. A busy
// service may end a watch whose news has not had its turn: then it tells nothing of that.
func (s *Destinations) shownAsOf(c *listCall, u Update, fresh bool, now time.Time) time.Time {
	switch {
	case c.kind != pacing.Watch:
		return c.begun.Add(-mostLag)
	case !fresh && s.calls.schedule.Busy(now):
		return time.Time{}
	case u.At.IsZero():
		return now.Add(-mostLag)
	}
	return u.At.Add(-mostLag)
}

// movedAt has what the list is known of end sooner: behind a move of discovery a change counts as told pacing.Moved later.
func (s *Destinations) movedAt(now time.Time) {
	if asOf := now.Add(pacing.Moved - pacing.Told); asOf.Before(s.asOf) {
		s.asOf = asOf
	}
	s.core.Listed(brain.Listed{Kind: brain.ListChange, AsOf: s.core.clock.At(s.asOf)})
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// takeFormer takes in what a service brings that was asked before a move, while the new one has not answered. It tells of
// workers that changed; which ones there are is the new one's word. A watch there goes on meanwhile.
func (s *Destinations) takeFormer(ctx context.Context, c *listCall, u Update, now time.Time) {
	u.Complete = false
	s.apply(c, u, brain.ListChange, membership.Current)
	c.service.revision, c.service.heard = u.Revision, now
	s.calls.schedule.HeardElsewhere(now)
	if c.kind == pacing.Watch {
		s.calls.begin(ctx, now, c.service, pacing.Watch)
	}
}

// mended notes that calls succeed again. It is called behind the list has come into force.
func (s *Destinations) mended() {
	if s.failures.calls > 0 {
		s.log.Info("discovery answers again", "failed_calls", s.failures.calls, "refused", s.failures.refused, "expired", s.failures.expired)
	}
	s.failures = callFailures{}
}

// failed notes a failed call. The same fault again is no news: a list that is wrong is wrong at every call.
func (s *Destinations) failed(c *listCall, err error, now time.Time) {
	took, how := now.Sub(c.begun), c.failure(err, now)
	level := slog.LevelWarn
	if s.failures.last == err.Error() {
		level = slog.LevelDebug
	}
	s.failures.note(err, how)
	s.core.ledger.discoveryFailed(how)
	s.log.Log(context.Background(), level, "discovery failed, the old list holds", "call", c.number, "how", how.String(), "took", took.Round(time.Millisecond),
		"revision", s.calls.current.revision, "list_age", s.age(), "err", err)
	if s.failures.calls > 1 && now.Sub(s.reported) >= reportEvery {
		s.reported = now
		s.log.Info("discovery keeps failing", "failed_calls", s.failures.calls, "refused", s.failures.refused, "expired", s.failures.expired,
			"list_age", s.age(), "err", err)
	}
	if age := now.Sub(s.answered); age > pacing.Told && !s.failures.overdue {
		s.failures.overdue = true
		s.log.Warn("the list is overdue: workers that drain may still get requests", "list_age", s.age(), "failed_calls", s.failures.calls)
	}
}

// age is how long ago discovery last answered.
func (s *Destinations) age() time.Duration { return time.Since(s.answered).Round(time.Millisecond) }

// begin takes in the list as it was known before.
func (s *Destinations) begin(saved Update, now time.Time) {
	members := make([]membership.Member, len(saved.Destinations))
	for i := range saved.Destinations {
		d := &saved.Destinations[i]
		if d.State != brain.Ready && d.Told.IsZero() { // a predecessor may have been told before
			d.Told = s.toldFrom(now)
		}
		members[i] = d.member()
	}
	s.members.Begin(s.calls.current.discovery.Service(), saved.Revision, members)
	s.tell(saved, saved.Destinations, nil, brain.ListSaved)
}

// toldFrom gives from when a drain counts that came now. What an agent had counts as told: it may have had it since it last
// answered.
func (s *Destinations) toldFrom(now time.Time) time.Time {
	if s.rules().Pushed {
		return s.answered
	}
	return now
}

// apply puts in force what counts of an answer.
func (s *Destinations) apply(c *listCall, u Update, kind brain.ListKind, order membership.Order) {
	now := u.At
	if now.IsZero() {
		now = time.Now()
	}
	answer := c.answer(u, now)
	for i := range answer.Members {
		if m := &answer.Members[i]; m.Told.IsZero() {
			m.Told = s.toldFrom(now)
		}
	}
	verdict := s.members.Take(answer, order)
	if c.service == s.calls.current {
		s.recheckAt = verdict.AskAgain
	}
	var listed, ended []Destination
	for _, a := range verdict.Accepted {
		if a.Index == membership.Absent {
			d := s.known[a.ID]
			d.ID, d.State, d.Told = a.ID, a.State, a.Told
			ended = append(ended, d)
			continue
		}
		d := u.Destinations[a.Index]
		d.State, d.Since, d.Told = a.State, a.Start, a.Told
		listed = append(listed, d)
	}
	s.tell(u, listed, ended, kind)
}

// tell passes on what has changed: to the endpoints first, then to the module. The ended ones are those that a whole list does not
// name: the module knows by that.
func (s *Destinations) tell(u Update, listed, ended []Destination, kind brain.ListKind) {
	level := slog.LevelDebug
	if u.Complete {
		level = slog.LevelInfo
	}
	for _, d := range listed {
		if s.update(d) {
			level = slog.LevelInfo
		}
	}
	news := brain.Listed{Kind: kind, Workers: s.dated(listed), AsOf: s.core.clock.At(s.asOf)}
	s.told = s.told || kind != brain.ListSaved
	for _, d := range ended {
		s.update(d)
	}
	s.core.ledger.listed(len(s.known))
	s.core.Listed(news)
	if len(u.Destinations) > 0 {
		s.log.Log(context.Background(), level, "destination set", "revision", u.Revision, "complete", u.Complete, "lines", len(u.Destinations),
			"accepted", len(listed), "known", len(s.known))
	}
}

// forever is longer than any process runs.
const forever = time.Duration(math.MaxInt64)

// dated gives the lines of a list with the starts of their workers on the core's clock.
func (s *Destinations) dated(lines []Destination) []brain.WorkerInfo {
	now := time.Now()
	moment := starts.Moment{Now: s.core.clock.At(now), Wall: time.Duration(now.UnixNano()), Unheard: now.Sub(s.answered)}
	if !s.told {
		moment.Unheard = forever
	}
	stamped := make([]starts.Line, len(lines))
	for i, d := range lines {
		stamped[i] = starts.Line{ID: d.ID, Stamp: d.Since}
		if d.Age > 0 {
			s.starts.Set(d.ID, d.Since, moment.Now-d.Age)
		}
	}
	infos := make([]brain.WorkerInfo, len(lines))
	for i, at := range s.starts.Enter(moment, stamped) {
		infos[i] = lines[i].WorkerInfo
		infos[i].Since = at
	}
	return infos
}

// Started gives when a worker started, on the core's clock. It may be called before Run only.
func (s *Destinations) Started(id brain.WorkerID) brain.Clock { return s.starts.At(id) }

// update takes a line in and tells whether it is news: weights that fall with the load are not.
func (s *Destinations) update(d Destination) bool {
	old := s.known[d.ID]
	if d.Address == "" {
		d.Address = old.Address
	}
	s.logState(old, d)
	d.Age = 0 // it grows
	if d.State == brain.Gone {
		delete(s.known, d.ID)
	} else {
		s.known[d.ID] = d
	}
	s.endpoints.Update(d)
	old.Weight, old.Told = d.Weight, d.Told
	return old != d
}

// member gives what a line says of a worker's state.
func (d *Destination) member() membership.Member {
	return membership.Member{ID: d.ID, State: d.State, Start: d.Since, Told: d.Told}
}

// logState tells of a worker whose state has changed. That a worker is new is no change: a first list may have thousands.
func (s *Destinations) logState(old, d Destination) {
	if _, known := s.known[d.ID]; known && old.State != d.State {
		s.log.Info("worker's state", "worker", d.ID, "from", old.State.String(), "to", d.State.String(), "told_ago", ago(d.Told))
	}
}

// ago is how long ago a time was; 0 for none.
func ago(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return time.Since(t).Round(time.Millisecond)
}

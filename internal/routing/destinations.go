package routing

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"brassdale/brain"
	"brassdale/internal/decisions/pacing"
	"brassdale/internal/decisions/savedlist"
)

// Update is an answer of discovery.
type Update struct {
	Revision     int64
	Complete     bool // the whole set; who is absent is gone
	Early        bool // it came before the call's wait was over
	Destinations []Destination
}

// Discovery is whoever knows the destination set. A call returns what is newer than the revision, for Whole the whole
// set, by the deadline that it keeps itself, whatever discovery does.
type Discovery interface {
	Call(ctx context.Context, revision int64, kind pacing.Kind) (Update, error)
}

// Whole is no revision: who asks after it wants the whole set now.
const Whole = -1

// Destinations is the destination set's actor. While subscribed it watches without a gap; each answer
// goes to the endpoints first and then to the module, so the module never sends to one unknown here.
type Destinations struct {
	core      *Core
	endpoints Endpoints
	discovery Discovery
	log       *slog.Logger
	box       *Mailbox[any]

	// Owned by Run.
	revision int64
	known    map[brain.WorkerID]Destination
	watching bool
	start    *FromSaved // nil unless this process started from a saved list and nobody told a newer one
	keeper   Keeper     // nil for none
	source   atomic.Pointer[Source]
	call     int                // number of the latest call; what an older one brings is void
	stop     context.CancelFunc // ends that call

	dispatchers func() int
	pushed      func() bool   // an agent has the list, and is asked without the module's asking
	answered    time.Time     // when discovery last answered; before, when this process began
	first       chan struct{} // closed when the first call has ended, however
	fault       string        // of the last call; empty where it succeeded
	faults      int           // calls that failed since one succeeded
	reported    time.Time     // when a row of failures was last logged
}

// reportEvery is how often a row of failed calls to discovery is logged at the most.
const reportEvery = time.Second

type (
	subscribe struct{}
	move      struct{ to Discovery }
	ask       struct{ answer chan<- Update }
	watched   struct {
		call   int
		update Update
		err    error
	}
)

// NewDestinations makes the actor with the set as it was known last, and tells the module of that.
func NewDestinations(c *Core, e Endpoints, d Discovery, saved Update, log *slog.Logger) *Destinations {
	s := &Destinations{core: c, endpoints: e, discovery: d, log: log, box: NewMailbox[any](),
		known: map[brain.WorkerID]Destination{}, dispatchers: func() int { return 1 },
		pushed: func() bool { return false }, answered: time.Now(), first: make(chan struct{})}
	s.apply(saved, brain.ListSaved)
	return s
}

// Subscribe asks for all changes from now on. It does not block.
func (s *Destinations) Subscribe() { s.box.Post(subscribe{}) }

// Move goes on with another discovery. It does not block.
func (s *Destinations) Move(to Discovery) { s.box.Post(move{to}) }

// Known gives the set as it is known, once the actor runs.
func (s *Destinations) Known(ctx context.Context) (Update, error) {
	answer := make(chan Update, 1)
	s.box.Post(ask{answer})
	return await(ctx, answer)
}

// Among tells how many dispatchers watch the same discovery, in the settings in force.
func (s *Destinations) Among(dispatchers func() int) { s.dispatchers = dispatchers }

// Pushed tells whether lists are pushed to an agent, in the settings in force. The module does not ask for changes then:
// the actor watches the agent from its start, and again by itself after each call that failed.
func (s *Destinations) Pushed(pushed func() bool) { s.pushed = pushed }

// First is closed when the first call has ended, however.
func (s *Destinations) First() <-chan struct{} { return s.first }

// Run is the actor's life.
func (s *Destinations) Run(ctx context.Context) {
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	if s.pushed() {
		s.Subscribe()
	}
	s.trust(func(now brain.Clock) []savedlist.Verdict { return s.start.Trust.Look(now) })
	for {
		if at, ok := s.due(); ok {
			alarm.Reset(time.Until(s.core.clock.Time(at)))
		}
		select {
		case <-ctx.Done():
			return
		case <-s.box.Signal():
		case <-alarm.C:
		}
		for _, m := range s.box.Take() {
			switch m := m.(type) {
			case subscribe:
				if !s.watching {
					s.ask(ctx, time.Now(), pacing.Ask)
				}
			case move:
				s.log.Info("discovery moved", "call_left", s.call, "list_age", s.age())
				// The call to the old one is left at once, whatever it may still bring, and the new one is asked
				// for its whole set: nobody says that both count revisions alike, and a change that the old one
				// had under way must not be lost. Until the answer the list as known holds.
				s.discovery, s.revision = m.to, Whole
				s.ask(ctx, time.Now(), pacing.Move)
			case ask:
				u := Update{Revision: s.revision, Complete: true}
				for _, d := range s.known {
					u.Destinations = append(u.Destinations, d)
				}
				m.answer <- u // has room
			case sign:
				s.heard(m)
			case watched:
				if m.call == s.call {
					s.take(ctx, m)
				}
				if m.call == 1 {
					close(s.first)
				}
			}
		}
		s.trust(func(now brain.Clock) []savedlist.Verdict { return s.start.Trust.Look(now) })
		s.expire()
	}
}

// ask calls discovery beside the actor, whose mailbox gets the answer. It ends the call before.
func (s *Destinations) ask(ctx context.Context, from time.Time, kind pacing.Kind) {
	if s.stop != nil {
		s.stop()
	}
	s.watching = true
	s.call++
	call, revision, discovery := s.call, s.revision, s.discovery
	s.core.ledger.discoveryCalled()
	ctx, s.stop = context.WithCancel(ctx)
	go func() {
		time.Sleep(time.Until(from))
		begun := time.Now()
		u, err := discovery.Call(ctx, revision, kind)
		s.log.Debug("discovery called", "call", call, "kind", kind, "revision", revision, "took", time.Since(begun), "got", u.Revision,
			"complete", u.Complete, "lines", len(u.Destinations), "err", err)
		s.box.Post(watched{call, u, err})
	}()
}

func (s *Destinations) take(ctx context.Context, m watched) {
	if m.err == nil && s.start.foreign(m.update) {
		m.err = errForeign
	}
	if m.err != nil {
		if ctx.Err() == nil {
			s.failed(m.err)
		}
		s.core.Listed(brain.Listed{Kind: brain.ListFailed})
		if s.pushed() {
			s.ask(ctx, time.Now().Add(pacing.Again()), pacing.Ask)
			return
		}
		s.watching = false // until the module asks again
		return
	}
	defer s.mended() // behind the list's own line: who reads that discovery answers again finds its list in force
	fresh := m.update.Revision != s.revision || len(m.update.Destinations) > 0
	kind := brain.ListChange
	if m.update.Complete {
		kind = brain.ListFull
	}
	if again, doubted := s.judge(&m.update); doubted {
		m.update.Complete = false
		s.apply(m.update, brain.ListChange)
		s.revision = Whole
		s.ask(ctx, again, pacing.Ask)
		return
	}
	s.apply(m.update, kind)
	s.answered = time.Now()
	s.core.ledger.listHeard(s.answered)
	s.handOver()
	if s.keeper != nil {
		s.keeper.Listed(m.update)
	}
	s.source.Store(&Source{Name: "discovery", Told: time.Now()})
	s.ask(ctx, time.Now().Add(pacing.Rewatch(fresh, m.update.Early, s.dispatchers(), rand.Float64())), pacing.Watch)
}

// mended notes that calls succeed again.
func (s *Destinations) mended() {
	if s.faults > 0 {
		s.log.Info("discovery answers again", "failed_calls", s.faults)
		s.fault, s.faults = "", 0
	}
}

// failed notes a failed call. The same fault again is no news: a list that is wrong is wrong at every call.
func (s *Destinations) failed(err error) {
	level := slog.LevelWarn
	if s.fault == err.Error() {
		level = slog.LevelDebug
	}
	s.fault = err.Error()
	s.faults++
	s.core.ledger.discoveryFailed()
	s.log.Log(context.Background(), level, "discovery failed, the old list holds", "revision", s.revision, "list_age", s.age(), "err", err)
	if now := time.Now(); s.faults > 1 && now.Sub(s.reported) >= reportEvery {
		s.reported = now
		s.log.Info("discovery keeps failing", "failed_calls", s.faults, "list_age", s.age(), "err", err)
	}
}

// age is how long ago discovery last answered.
func (s *Destinations) age() time.Duration { return time.Since(s.answered).Round(time.Millisecond) }

func (s *Destinations) apply(u Update, kind brain.ListKind) {
	s.revision = u.Revision
	now := time.Now()
	listed, level := brain.Listed{Kind: kind}, slog.LevelDebug
	if u.Complete {
		level = slog.LevelInfo
	}
	present := map[brain.WorkerID]bool{}
	for _, d := range u.Destinations {
		present[d.ID] = true
		if s.update(d, now) {
			level = slog.LevelInfo
		}
		listed.Workers = append(listed.Workers, d.WorkerInfo)
	}
	if u.Complete || kind == brain.ListSaved {
		for id, d := range s.known {
			if !present[id] {
				d.State = brain.Gone
				s.update(d, now)
			}
		}
	}
	s.core.ledger.listed(len(s.known))
	s.core.Listed(listed)
	if len(u.Destinations) > 0 {
		s.log.Log(context.Background(), level, "destination set", "revision", u.Revision, "complete", u.Complete, "lines", len(u.Destinations), "known", len(s.known))
	}
}

// update takes a line in and tells whether it is news: weights that fall with the load are not.
func (s *Destinations) update(d Destination, now time.Time) bool {
	old := s.known[d.ID]
	if d.State != brain.Ready { // told once: neither a repeat nor its end starts the grace of a drain anew
		if d.Told = cmp.Or(old.Told, d.Told); d.Told.IsZero() { // a predecessor may have been told before
			d.Told = now
			if s.pushed() { // what the agent had counts as told: it may have had it since then
				d.Told = s.answered
			}
		}
	}
	if d.Address == "" {
		d.Address = old.Address
	}
	if d.State == brain.Gone {
		delete(s.known, d.ID)
	} else {
		s.known[d.ID] = d
	}
	s.endpoints.Update(d)
	old.Weight, old.Told = d.Weight, d.Told
	return old != d
}

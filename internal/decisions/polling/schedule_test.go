package polling

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// callFault is what discovery does with a call.
type callFault int

const (
	answersInTime     callFault = iota
	neverAnswers                // nothing comes, also where there is news
	breaksOff                   // begins to answer and never ends, or ends at once
	connectionRefused           // no connection
	answers503
	answersLate // 2 s later than it could
	faultKinds
)

const (
	latency = 50 * time.Millisecond // of a call that is answered
	lateBy  = 2 * time.Second
)

// simCall is a call that is open in the simulation.
type simCall struct {
	number   int
	kind     Kind
	calledAt time.Time
	fault    callFault
	endsAt   time.Time // unless there is news before
	fails    bool
}

// simulation plays a schedule against a discovery in virtual time.
type simulation struct {
	schedule      *Schedule
	rules         Rules
	chance        func() float64
	now           time.Time
	open          []simCall
	made          int
	faults        []callFault // of the calls that are made from now on
	changedAt     time.Time
	notifiedAt    time.Time
	maxOpen       int  // calls open at a time
	revisionKnown bool // a revision is

	concurrentIndexed int // calls with an index that were made beside another one which may still have been served
}

// outcome gives when and how a call ends if nothing changes.
func (s *simulation) outcome(c simCall) (at time.Time, fails bool) {
	wait, within := s.rules.Timeouts(c.kind)
	over := c.calledAt.Add(wait + within)
	switch c.fault {
	case neverAnswers:
		return over, true
	case breaksOff:
		return c.calledAt.Add(time.Duration(s.chance() * float64(wait+within))), true
	case connectionRefused:
		return c.calledAt.Add(time.Millisecond), true
	case answers503:
		return c.calledAt.Add(latency), true
	case answersLate:
		if at := c.calledAt.Add(wait + lateBy); !s.rules.ListsPushed && at.Before(over) {
			return at, false
		}
		return over, true
	}
	return c.calledAt.Add(max(wait, s.latency())), false
}

func (s *simulation) latency() time.Duration {
	if s.rules.ListsPushed {
		return time.Millisecond
	}
	return latency
}

// call makes the call that is due.
func (s *simulation) call() {
	s.made++
	kind := s.schedule.CallStarted(s.now, s.made, s.revisionKnown, s.rules, s.chance())
	for _, o := range s.open {
		if kind != FullList && o.kind == Poll && o.calledAt.Add(queuedCallTimeout).After(s.now) && !s.rules.ListsPushed {
			s.concurrentIndexed++
		}
	}
	c := simCall{number: s.made, kind: kind, calledAt: s.now}
	if len(s.faults) > 0 {
		c.fault, s.faults = s.faults[0], s.faults[1:]
	}
	c.endsAt, c.fails = s.outcome(c)
	if c.kind == Watch && !s.changedAt.IsZero() && !c.fails { // there is news already
		c.endsAt = s.changeReportedAt(c)
	}
	s.open = append(s.open, c)
	s.maxOpen = max(s.maxOpen, len(s.open))
}

// changeReportedAt is when an open watch tells of a change that is there now.
func (s *simulation) changeReportedAt(c simCall) time.Time {
	at := s.now.Add(s.latency())
	if c.fault == answersLate {
		at = at.Add(lateBy)
	}
	if at.After(c.endsAt) {
		return c.endsAt
	}
	return at
}

// change makes news: a watch that is not broken tells of it.
func (s *simulation) change() {
	s.changedAt = s.now
	for i, c := range s.open {
		if c.kind == Watch && !c.fails {
			s.open[i].endsAt = s.changeReportedAt(c)
		}
	}
}

// runUntil plays until a time, or until the change is told.
func (s *simulation) runUntil(until time.Time) {
	for {
		at, ok := s.schedule.Next()
		if !ok {
			panic("no call is to be made")
		}
		ending := -1
		for i, c := range s.open {
			if c.endsAt.Before(at) {
				at, ending = c.endsAt, i
			}
		}
		if at.After(until) {
			s.now = until
			return
		}
		if s.now.Before(at) {
			s.now = at
		}
		if ending < 0 {
			s.call()
			continue
		}
		c := s.open[ending]
		s.open = append(s.open[:ending], s.open[ending+1:]...)
		if c.fails {
			how := Broken
			if c.fault == answers503 {
				how = Rejected
			}
			s.schedule.CallFailed(s.now, c.number, how, s.rules, s.chance())
			continue
		}
		s.revisionKnown = true
		told := !s.changedAt.IsZero()
		if told && s.notifiedAt.IsZero() {
			s.notifiedAt = s.now
			return
		}
		s.schedule.CallAnswered(s.now, c.number, s.now.Sub(c.calledAt), told, false, s.rules, s.chance())
	}
}

func drawSimulation(t *rapid.T, pushed bool) *simulation {
	start := time.Unix(1e9, 0)
	rules := Rules{ListsPushed: pushed, Dispatchers: rapid.SampledFrom([]int{1, 5, 300, 900}).Draw(t, "dispatchers"),
		DrainGrace: time.Duration(rapid.Int64Range(int64(500*time.Millisecond), int64(3*time.Second)).Draw(t, "grace"))}
	s := &simulation{schedule: NewSchedule(start), rules: rules, now: start, revisionKnown: rapid.Bool().Draw(t, "a revision is known")}
	s.chance = func() float64 { return rapid.SampledFrom([]float64{0, 0.3, 0.5, 0.9, 1}).Draw(t, "chance") }
	return s
}

func drawFaults(t *rapid.T) []callFault {
	return rapid.SliceOfN(rapid.Map(rapid.IntRange(0, int(faultKinds)-1), func(i int) callFault { return callFault(i) }), 3, 3).Draw(t, "faults")
}

// No three calls that fail in whatever way, of which the first is open when something changes, hold it back past its time.
func TestSchedule_threeFaultyCalls(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		rapid.Check(t, func(t *rapid.T) {
			s := drawSimulation(t, pushed)
			s.schedule.Start(s.now)
			s.runUntil(s.now.Add(time.Duration(rapid.Int64Range(int64(time.Second), int64(10*time.Second)).Draw(t, "quiet"))))
			s.faults = drawFaults(t)
			wait, _ := s.rules.Timeouts(Watch)
			s.runUntil(s.now.Add(time.Duration(rapid.Float64Range(0, 1.5).Draw(t, "into the faults") * float64(wait))))
			s.change()
			s.runUntil(s.now.Add(time.Minute))
			within := NotificationDeadline - WatchGapMargin
			if pushed {
				within = s.rules.DrainGrace * 3 / 5
			}
			if took := s.notifiedAt.Sub(s.changedAt); s.notifiedAt.IsZero() || took > within {
				t.Fatalf("told after %v, %v allowed", took, within)
			}
			if s.maxOpen > 7 || s.concurrentIndexed > 0 {
				t.Fatalf("%d calls open at a time, %d of them took another's place", s.maxOpen, s.concurrentIndexed)
			}
		})
	}
}

// The same behind a move: the first three calls to the new service are the faulty ones, whatever was open before.
func TestSchedule_threeFaultyCallsAfterMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSimulation(t, false)
		s.schedule.Start(s.now)
		s.runUntil(s.now.Add(time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "quiet"))))
		s.open, s.faults, s.revisionKnown = nil, drawFaults(t), false
		s.schedule.ServiceMoved(s.now, s.chance())
		s.change()
		s.runUntil(s.now.Add(time.Minute))
		if took := s.notifiedAt.Sub(s.changedAt); s.notifiedAt.IsZero() || took > MoveNotificationDeadline {
			t.Fatalf("told after %v", took)
		}
	})
}

// And behind a start, whose first call may be three seconds late.
func TestSchedule_threeFaultyCallsAfterStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSimulation(t, false)
		s.faults = drawFaults(t)
		s.change()
		s.now = s.now.Add(time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "the first call")))
		s.schedule.Start(s.now)
		s.runUntil(s.now.Add(time.Minute))
		if took := s.notifiedAt.Sub(s.changedAt); s.notifiedAt.IsZero() || took > NotificationDeadline-WatchGapMargin {
			t.Fatalf("told after %v", took)
		}
	})
}

// While a service is down for long, or answers all calls at once with nothing, it is not called in a loop.
func TestSchedule_noCallLoop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSimulation(t, rapid.Bool().Draw(t, "pushed"))
		kind := rapid.SampledFrom([]callFault{neverAnswers, breaksOff, connectionRefused, answers503}).Draw(t, "fault")
		for range 2000 {
			s.faults = append(s.faults, kind)
		}
		s.schedule.Start(s.now)
		s.runUntil(s.now.Add(7 * time.Second))
		before := s.made
		s.runUntil(s.now.Add(10 * time.Second))
		if calls := s.made - before; calls > 400 || !s.rules.ListsPushed && s.rules.Dispatchers >= 300 && calls > 10*10 {
			t.Fatalf("%d calls in ten seconds", calls)
		}
	})
}

// Of two dispatchers that a crowded service refuses, the one that has gone without an answer for four seconds calls three times
// as often as the one that heard just now.
func TestSchedule_longestWithoutResponseFirst(t *testing.T) {
	rules := Rules{Dispatchers: 6}
	start := time.Unix(1e9, 0)
	behind := func(silent time.Duration) time.Duration {
		s := NewSchedule(start)
		s.Start(start)
		s.CallStarted(start, 1, true, rules, 0.5)
		s.CallAnswered(start, 1, 0, true, false, rules, 0.5)
		now := start.Add(silent)
		s.CallStarted(now, 2, true, rules, 0.5)
		s.CallFailed(now, 2, Rejected, rules, 0.5)
		at, _ := s.Next()
		return at.Sub(now)
	}
	if fresh, stale := behind(0), behind(4*time.Second); fresh < 2*stale {
		t.Errorf("%v and %v", fresh, stale)
	}
	if stale, down := behind(5*time.Second), behind(20*time.Second); down < stale {
		t.Errorf("a service that is down is called after %v", down)
	}
}

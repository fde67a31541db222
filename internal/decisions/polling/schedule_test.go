package polling

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fault is what discovery does with a call.
type fault int

const (
	answers   fault = iota
	hangs           // nothing comes, also where there is news
	breaksOff       // begins to answer and never ends, or ends at once
	isRefused       // no connection
	answers503
	answersLate // 2 s later than it could
	faultKinds
)

const (
	latency = 50 * time.Millisecond // of a call that is answered
	late    = 2 * time.Second
)

// simCall is a call that is open in the simulation.
type simCall struct {
	number int
	kind   Kind
	begun  time.Time
	fault  fault
	endsAt time.Time // unless there is news before
	fails  bool
}

// simulation plays a schedule against a discovery in virtual time.
type simulation struct {
	schedule  *Schedule
	rules     Rules
	chance    func() float64
	now       time.Time
	open      []simCall
	made      int
	faults    []fault // of the calls that are made from now on
	changedAt time.Time
	toldAt    time.Time
	most      int  // calls open at a time
	known     bool // a revision is

	besideIndexed int // calls with an index that were made beside another one which may still have been served
}

// end gives when and how a call ends if nothing changes.
func (s *simulation) end(c simCall) (at time.Time, fails bool) {
	wait, within := s.rules.Timeouts(c.kind)
	over := c.begun.Add(wait + within)
	switch c.fault {
	case hangs:
		return over, true
	case breaksOff:
		return c.begun.Add(time.Duration(s.chance() * float64(wait+within))), true
	case isRefused:
		return c.begun.Add(time.Millisecond), true
	case answers503:
		return c.begun.Add(latency), true
	case answersLate:
		if at := c.begun.Add(wait + late); !s.rules.ListsPushed && at.Before(over) {
			return at, false
		}
		return over, true
	}
	return c.begun.Add(max(wait, s.latency())), false
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
	kind := s.schedule.CallStarted(s.now, s.made, s.known, s.rules, s.chance())
	for _, o := range s.open {
		if kind != FullList && o.kind == Poll && o.begun.Add(inTurn).After(s.now) && !s.rules.ListsPushed {
			s.besideIndexed++
		}
	}
	c := simCall{number: s.made, kind: kind, begun: s.now}
	if len(s.faults) > 0 {
		c.fault, s.faults = s.faults[0], s.faults[1:]
	}
	c.endsAt, c.fails = s.end(c)
	if c.kind == Watch && !s.changedAt.IsZero() && !c.fails { // there is news already
		c.endsAt = s.newsAt(c)
	}
	s.open = append(s.open, c)
	s.most = max(s.most, len(s.open))
}

// newsAt is when an open watch tells of a change that is there now.
func (s *simulation) newsAt(c simCall) time.Time {
	at := s.now.Add(s.latency())
	if c.fault == answersLate {
		at = at.Add(late)
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
			s.open[i].endsAt = s.newsAt(c)
		}
	}
}

// run plays until a time, or until the change is told.
func (s *simulation) run(until time.Time) {
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
		s.known = true
		told := !s.changedAt.IsZero()
		if told && s.toldAt.IsZero() {
			s.toldAt = s.now
			return
		}
		s.schedule.CallAnswered(s.now, c.number, s.now.Sub(c.begun), told, false, s.rules, s.chance())
	}
}

func draw(t *rapid.T, pushed bool) *simulation {
	start := time.Unix(1e9, 0)
	rules := Rules{ListsPushed: pushed, Dispatchers: rapid.SampledFrom([]int{1, 5, 300, 900}).Draw(t, "dispatchers"),
		DrainGrace: time.Duration(rapid.Int64Range(int64(500*time.Millisecond), int64(3*time.Second)).Draw(t, "grace"))}
	s := &simulation{schedule: NewSchedule(start), rules: rules, now: start, known: rapid.Bool().Draw(t, "a revision is known")}
	s.chance = func() float64 { return rapid.SampledFrom([]float64{0, 0.3, 0.5, 0.9, 1}).Draw(t, "chance") }
	return s
}

func drawFaults(t *rapid.T) []fault {
	return rapid.SliceOfN(rapid.Map(rapid.IntRange(0, int(faultKinds)-1), func(i int) fault { return fault(i) }), 3, 3).Draw(t, "faults")
}

// No three calls that fail in whatever way, of which the first is open when something changes, hold it back past its time.
func TestThreeFaultyCalls(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		rapid.Check(t, func(t *rapid.T) {
			s := draw(t, pushed)
			s.schedule.Start(s.now)
			s.run(s.now.Add(time.Duration(rapid.Int64Range(int64(time.Second), int64(10*time.Second)).Draw(t, "quiet"))))
			s.faults = drawFaults(t)
			wait, _ := s.rules.Timeouts(Watch)
			s.run(s.now.Add(time.Duration(rapid.Float64Range(0, 1.5).Draw(t, "into the faults") * float64(wait))))
			s.change()
			s.run(s.now.Add(time.Minute))
			within := NotificationDeadline - WatchGapMargin
			if pushed {
				within = s.rules.DrainGrace * 3 / 5
			}
			if took := s.toldAt.Sub(s.changedAt); s.toldAt.IsZero() || took > within {
				t.Fatalf("told after %v, %v allowed", took, within)
			}
			if s.most > 7 || s.besideIndexed > 0 {
				t.Fatalf("%d calls open at a time, %d of them took another's place", s.most, s.besideIndexed)
			}
		})
	}
}

// The same behind a move: the first three calls to the new service are the faulty ones, whatever was open before.
func TestThreeFaultyCallsBehindAMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := draw(t, false)
		s.schedule.Start(s.now)
		s.run(s.now.Add(time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "quiet"))))
		s.open, s.faults, s.known = nil, drawFaults(t), false
		s.schedule.ServiceMoved(s.now, s.chance())
		s.change()
		s.run(s.now.Add(time.Minute))
		if took := s.toldAt.Sub(s.changedAt); s.toldAt.IsZero() || took > MoveNotificationDeadline {
			t.Fatalf("told after %v", took)
		}
	})
}

// And behind a start, whose first call may be three seconds late.
func TestThreeFaultyCallsBehindAStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := draw(t, false)
		s.faults = drawFaults(t)
		s.change()
		s.now = s.now.Add(time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "the first call")))
		s.schedule.Start(s.now)
		s.run(s.now.Add(time.Minute))
		if took := s.toldAt.Sub(s.changedAt); s.toldAt.IsZero() || took > NotificationDeadline-WatchGapMargin {
			t.Fatalf("told after %v", took)
		}
	})
}

// While a service is down for long, or answers all calls at once with nothing, it is not called in a loop.
func TestNoLoop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := draw(t, rapid.Bool().Draw(t, "pushed"))
		kind := rapid.SampledFrom([]fault{hangs, breaksOff, isRefused, answers503}).Draw(t, "fault")
		for range 2000 {
			s.faults = append(s.faults, kind)
		}
		s.schedule.Start(s.now)
		s.run(s.now.Add(7 * time.Second))
		before := s.made
		s.run(s.now.Add(10 * time.Second))
		if calls := s.made - before; calls > 400 || !s.rules.ListsPushed && s.rules.Dispatchers >= 300 && calls > 10*10 {
			t.Fatalf("%d calls in ten seconds", calls)
		}
	})
}

// Of two dispatchers that a crowded service refuses, the one that has gone without an answer for four seconds calls three times
// as often as the one that heard just now.
func TestLongestWithoutAnAnswerFirst(t *testing.T) {
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

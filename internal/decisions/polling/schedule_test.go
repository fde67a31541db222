package polling

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"brassdale/internal/testsupport/property"
)

// callFault is how discovery handles a call.
type callFault int

const (
	answersInTime     callFault = iota
	neverAnswers                // no response, also when the list changes
	breaksOff                   // the response never ends, or the connection breaks
	connectionRefused           // there is no connection
	answers503
	answersLate // like answersInTime, but lateBy later
	faultKinds
)

const (
	latency = 50 * time.Millisecond // of a response
	lateBy  = 2 * time.Second
)

// simCall is a call in flight in the simulation.
type simCall struct {
	number   int
	kind     Kind
	calledAt time.Time
	fault    callFault
	endsAt   time.Time // unless the list changes before
	fails    bool
}

// simulation runs a schedule against a discovery service in virtual time.
type simulation struct {
	schedule      *Schedule
	rules         Rules
	chance        func() float64
	now           time.Time
	openCalls     []simCall
	callCount     int
	faults        []callFault // of the next calls
	changedAt     time.Time
	notifiedAt    time.Time
	maxOpen       int // most calls in flight at a time
	revisionKnown bool

	concurrentRevisionCalls int // calls with a revision that were made while another one might still be served
}

// outcome returns when and how a call ends if the list does not change.
func (s *simulation) outcome(call simCall) (at time.Time, fails bool) {
	wait, within := s.rules.Timeouts(call.kind)
	over := call.calledAt.Add(wait + within)
	switch call.fault {
	case neverAnswers:
		return over, true
	case breaksOff:
		return call.calledAt.Add(time.Duration(s.chance() * float64(wait+within))), true
	case connectionRefused:
		return call.calledAt.Add(time.Millisecond), true
	case answers503:
		return call.calledAt.Add(latency), true
	case answersLate:
		if at := call.calledAt.Add(wait + lateBy); !s.rules.ListsPushed && at.Before(over) {
			return at, false
		}
		return over, true
	}
	return call.calledAt.Add(max(wait, s.latency())), false
}

// latency returns how long a response takes.
func (s *simulation) latency() time.Duration {
	if s.rules.ListsPushed {
		return time.Millisecond
	}
	return latency
}

// call makes the due call.
func (s *simulation) call() {
	s.callCount++
	kind := s.schedule.CallStarted(s.now, s.callCount, s.revisionKnown, s.rules, s.chance())
	for _, other := range s.openCalls {
		if kind != FullList && other.kind == Poll && other.calledAt.Add(queuedCallTimeout).After(s.now) && !s.rules.ListsPushed {
			s.concurrentRevisionCalls++
		}
	}
	call := simCall{number: s.callCount, kind: kind, calledAt: s.now}
	if len(s.faults) > 0 {
		call.fault, s.faults = s.faults[0], s.faults[1:]
	}
	call.endsAt, call.fails = s.outcome(call)
	if call.kind == Watch && !s.changedAt.IsZero() && !call.fails { // the list has changed already
		call.endsAt = s.changeReportedAt(call)
	}
	s.openCalls = append(s.openCalls, call)
	s.maxOpen = max(s.maxOpen, len(s.openCalls))
}

// changeReportedAt returns when a watch in flight returns a change that is made now.
func (s *simulation) changeReportedAt(call simCall) time.Time {
	at := s.now.Add(s.latency())
	if call.fault == answersLate {
		at = at.Add(lateBy)
	}
	if at.After(call.endsAt) {
		return call.endsAt
	}
	return at
}

// change changes the list: a watch without a fault returns it.
func (s *simulation) change() {
	s.changedAt = s.now
	for i, call := range s.openCalls {
		if call.kind == Watch && !call.fails {
			s.openCalls[i].endsAt = s.changeReportedAt(call)
		}
	}
}

// runUntil advances the simulation to a time, or until the change was received.
func (s *simulation) runUntil(until time.Time) {
	for {
		at, ok := s.schedule.Next()
		if !ok {
			panic("no call is scheduled")
		}
		ending := -1
		for i, call := range s.openCalls {
			if call.endsAt.Before(at) {
				at, ending = call.endsAt, i
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
		if s.endCall(ending) {
			return
		}
	}
}

// endCall passes the end of a call in flight to the schedule. It reports whether the change was received first with this call.
func (s *simulation) endCall(index int) (notified bool) {
	call := s.openCalls[index]
	s.openCalls = append(s.openCalls[:index], s.openCalls[index+1:]...)
	if call.fails {
		failure := Broken
		if call.fault == answers503 {
			failure = Rejected
		}
		s.schedule.CallFailed(s.now, call.number, failure, s.rules, s.chance())
		return false
	}
	s.revisionKnown = true
	changed := !s.changedAt.IsZero()
	if changed && s.notifiedAt.IsZero() {
		s.notifiedAt = s.now
		return true
	}
	s.schedule.CallAnswered(s.now, call.number, s.now.Sub(call.calledAt), changed, false, s.rules, s.chance())
	return false
}

// drawSimulation draws a simulation in which calls go to discovery, or to an agent where lists are pushed.
func drawSimulation(t *rapid.T, pushed bool) *simulation {
	start := time.Unix(1e9, 0)
	rules := Rules{ListsPushed: pushed, Dispatchers: rapid.SampledFrom([]int{1, 5, 300, 900}).Draw(t, "dispatchers"),
		DrainGrace: time.Duration(rapid.Int64Range(int64(500*time.Millisecond), int64(3*time.Second)).Draw(t, "grace"))}
	sim := &simulation{schedule: NewSchedule(start), rules: rules, now: start, revisionKnown: rapid.Bool().Draw(t, "a revision is known")}
	sim.chance = func() float64 { return rapid.SampledFrom([]float64{0, 0.3, 0.5, 0.9, 1}).Draw(t, "chance") }
	return sim
}

// drawFaults draws the faults of three calls.
func drawFaults(t *rapid.T) []callFault {
	return rapid.SliceOfN(rapid.Map(rapid.IntRange(0, int(faultKinds)-1), func(i int) callFault { return callFault(i) }), 3, 3).Draw(t, "faults")
}

// TestSchedule_threeFaultyCalls checks guarantees 1, 2 and 6: three faulty calls of any kind, the first of which is in flight when the list
// changes, delay the change no longer than guaranteed.
func TestSchedule_threeFaultyCalls(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		property.Check(t, func(t *rapid.T) {
			sim := drawSimulation(t, pushed)
			sim.schedule.Start(sim.now)
			sim.runUntil(sim.now.Add(time.Duration(rapid.Int64Range(int64(time.Second), int64(10*time.Second)).Draw(t, "quiet"))))
			sim.faults = drawFaults(t)
			wait, _ := sim.rules.Timeouts(Watch)
			sim.runUntil(sim.now.Add(time.Duration(rapid.Float64Range(0, 1.5).Draw(t, "into the faults") * float64(wait))))
			sim.change()
			sim.runUntil(sim.now.Add(time.Minute))
			within := NotificationDeadline - WatchGapMargin
			if pushed {
				within = sim.rules.DrainGrace * 3 / 5
			}
			if took := sim.notifiedAt.Sub(sim.changedAt); sim.notifiedAt.IsZero() || took > within {
				t.Fatalf("received after %v, %v allowed", took, within)
			}
			if sim.maxOpen > 7 || sim.concurrentRevisionCalls > 0 {
				t.Fatalf("%d calls in flight at a time, %d of them with a revision at the same time as another", sim.maxOpen, sim.concurrentRevisionCalls)
			}
		})
	}
}

// TestSchedule_threeFaultyCallsAfterMove checks guarantee 1 after a move: the first three calls to the new service are faulty, regardless of
// the calls that were in flight before.
func TestSchedule_threeFaultyCallsAfterMove(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		sim := drawSimulation(t, false)
		sim.schedule.Start(sim.now)
		sim.runUntil(sim.now.Add(time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "quiet"))))
		sim.openCalls, sim.faults, sim.revisionKnown = nil, drawFaults(t), false
		sim.schedule.ServiceMoved(sim.now, sim.chance())
		sim.change()
		sim.runUntil(sim.now.Add(time.Minute))
		if took := sim.notifiedAt.Sub(sim.changedAt); sim.notifiedAt.IsZero() || took > MoveNotificationDeadline {
			t.Fatalf("received after %v", took)
		}
	})
}

// TestSchedule_threeFaultyCallsAfterStart checks guarantee 1 after the start of a process, whose first call may be 3 s late.
func TestSchedule_threeFaultyCallsAfterStart(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		sim := drawSimulation(t, false)
		sim.faults = drawFaults(t)
		sim.change()
		sim.now = sim.now.Add(time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "the first call")))
		sim.schedule.Start(sim.now)
		sim.runUntil(sim.now.Add(time.Minute))
		if took := sim.notifiedAt.Sub(sim.changedAt); sim.notifiedAt.IsZero() || took > NotificationDeadline-WatchGapMargin {
			t.Fatalf("received after %v", took)
		}
	})
}

// TestSchedule_noCallLoop checks guarantee 5: a service that fails each call is not called in a loop, but at most 400 times in 10 s, and
// at most 100 times by one of 300 dispatchers.
func TestSchedule_noCallLoop(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		sim := drawSimulation(t, rapid.Bool().Draw(t, "pushed"))
		kind := rapid.SampledFrom([]callFault{neverAnswers, breaksOff, connectionRefused, answers503}).Draw(t, "fault")
		for range 2000 {
			sim.faults = append(sim.faults, kind)
		}
		sim.schedule.Start(sim.now)
		sim.runUntil(sim.now.Add(7 * time.Second))
		before := sim.callCount
		sim.runUntil(sim.now.Add(10 * time.Second))
		if calls := sim.callCount - before; calls > 400 || !sim.rules.ListsPushed && sim.rules.Dispatchers >= 300 && calls > 10*10 {
			t.Fatalf("%d calls in ten seconds", calls)
		}
	})
}

// TestSchedule_longestWithoutResponseFirst checks guarantee 8: of two dispatchers that a busy service rejects, the one without a response
// for 4 s calls at least twice as often as the dispatcher that has just received one.
func TestSchedule_longestWithoutResponseFirst(t *testing.T) {
	rules := Rules{Dispatchers: 6}
	start := time.Unix(1e9, 0)
	delayAfter := func(silence time.Duration) time.Duration {
		schedule := NewSchedule(start)
		schedule.Start(start)
		schedule.CallStarted(start, 1, true, rules, 0.5)
		schedule.CallAnswered(start, 1, 0, true, false, rules, 0.5)
		now := start.Add(silence)
		schedule.CallStarted(now, 2, true, rules, 0.5)
		schedule.CallFailed(now, 2, Rejected, rules, 0.5)
		at, _ := schedule.Next()
		return at.Sub(now)
	}
	if fresh, stale := delayAfter(0), delayAfter(4*time.Second); fresh < 2*stale {
		t.Errorf("called again after %v with a fresh list, after %v with a stale one", fresh, stale)
	}
	if stale, down := delayAfter(5*time.Second), delayAfter(20*time.Second); down < stale {
		t.Errorf("last response 20 s ago: next call after %v, expected no sooner than with a last response 5 s ago", down)
	}
}

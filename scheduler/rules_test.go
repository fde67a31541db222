package scheduler

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// world plays random but legal events against one dispatcher and checks the four rules on what it
// does. It is no model of a fleet: outcomes, losses, lists and notes are drawn at will.
type world struct {
	t       *testing.T
	s       Settings
	d       *Scheduler
	rng     *rand.Rand
	now     Clock
	wakes   map[uint64][]Clock
	told    map[WorkerID]Clock // since when a worker drains or is gone
	list    map[WorkerID]WorkerInfo
	reqs    map[RequestID]*tracked
	ids     []RequestID
	live    []RequestID          // not answered, or with attempts out
	cold    map[WorkerID][]Clock // sends in the last fall window
	subs    int
	answers int
}

type tracked struct {
	RequestArrived
	sends  []*sent
	closed bool
}

type sent struct {
	w                 WorkerInfo
	at                Clock
	out, maybe, begun bool
}

const drainGrace = 500 * ms

func newWorld(t *testing.T, s Settings, seed uint64) *world {
	w := &world{
		t: t, s: s, d: New(s, seed), rng: rand.New(rand.NewPCG(seed, 7)), now: start,
		wakes: map[uint64][]Clock{}, told: map[WorkerID]Clock{}, list: map[WorkerID]WorkerInfo{},
		reqs: map[RequestID]*tracked{}, cold: map[WorkerID][]Clock{},
	}
	var all []WorkerInfo
	for i, in := range workers(6) {
		in.Zone, in.Cell = i%2, i%3
		w.list[in.ID] = in
		all = append(all, in)
	}
	w.give(EndpointsUpdated{ListKind: ListCached, Workers: all})
	return w
}

func (w *world) give(ev Event) {
	for _, a := range w.d.Handle(w.now, ev) {
		w.check(a)
	}
}

// check applies the rules to one action.
func (w *world) check(a Action) {
	switch a := a.(type) {
	case SetTimer:
		w.wakes[a.Token] = append(w.wakes[a.Token], w.now+a.After)
	case Subscribe:
		w.subs++
	case Send:
		w.checkSend(a)
	case Reject:
		q := w.owed(a.ID, "refuses")
		for _, s := range q.sends {
			c := w.s.Classes[q.Class]
			if s.maybe && (c.Idempotency == NonIdempotent || c.Idempotency == IdempotentWithKey && c.DeduplicationScope != ScopeAll) {
				w.t.Fatalf("%v: refuses %d, which may have run", w.now, a.ID)
			}
		}
		q.closed = true
	case Fail:
		w.owed(a.ID, "fails").closed = true
	case Cancel:
		q := w.reqs[a.ID]
		if !w.s.MayCancel || q == nil || a.Attempt < 0 || a.Attempt >= len(q.sends) {
			w.t.Fatalf("%v: cancels attempt %d of %d, which was never made", w.now, a.Attempt, a.ID)
		}
	}
}

func (w *world) owed(id RequestID, does string) *tracked {
	q := w.reqs[id]
	if q == nil || q.closed {
		w.t.Fatalf("%v: %s request %d, which is over or unknown", w.now, does, id)
	}
	w.answers++
	return q
}

func (w *world) checkSend(a Send) {
	q := w.owed(a.ID, "sends")
	w.answers--
	in, known := w.list[a.Worker]
	if !known {
		w.t.Fatalf("%v: sends to %s, which no list named", w.now, a.Worker)
	}
	if at, gone := w.told[a.Worker]; gone && w.now > at+drainGrace {
		w.t.Fatalf("%v: sends to %s, drained since %v", w.now, a.Worker, at)
	}
	if len(q.sends) >= w.s.MaxAttempts {
		w.t.Fatalf("%v: attempt %d of %d", w.now, len(q.sends), a.ID)
	}
	c := w.s.Classes[q.Class]
	for _, s := range q.sends {
		switch {
		case s.out && !w.s.MayHedge:
			w.t.Fatalf("%v: second attempt of %d at once", w.now, a.ID)
		case !s.maybe || c.Idempotency == Idempotent:
		case c.Idempotency == NonIdempotent:
			w.t.Fatalf("%v: unsafe %d sent again", w.now, a.ID)
		case w.now > s.at+c.DeduplicationWindow, c.DeduplicationScope == ScopeZone && s.w.Zone != in.Zone,
			c.DeduplicationScope == ScopeCell && s.w.Cell != in.Cell:
			w.t.Fatalf("%v: keyed %d sent again out of its group or window", w.now, a.ID)
		}
	}
	q.sends = append(q.sends, &sent{w: in, at: w.now, out: true, maybe: true})
	if age := w.now - in.StartedAt; in.StartedAt > 0 && age < w.s.SlowStartDuration {
		var recent []Clock
		for _, at := range w.cold[a.Worker] {
			if at > w.now-w.s.OverloadWindow {
				recent = append(recent, at)
			}
		}
		w.cold[a.Worker] = append(recent, w.now)
		// Each job of this world takes at least 20 ms of a slot.
		warmth := w.s.SlowStartCapacity + (1-w.s.SlowStartCapacity)*float64(age)/float64(w.s.SlowStartDuration)
		budget := w.s.OverloadMultiple * warmth * 4 * w.s.OverloadWindow.Seconds() / min(float64(w.s.Dispatchers), 2)
		if work := 0.02 * float64(len(w.cold[a.Worker])); work > budget+0.02 {
			w.t.Fatalf("%v: %d jobs in %v to %s, %v old: %.2f of %.2f slot-seconds",
				w.now, len(w.cold[a.Worker]), w.s.OverloadWindow, a.Worker, age, work, budget)
		}
	}
}

// step lets a millisecond or a few go by and draws what happens.
func (w *world) step(load float64) {
	w.now += time.Duration(1+w.rng.IntN(5)) * ms
	if w.s.Dispatchers > 2 && w.rng.IntN(500) == 0 { // the dispatcher itself stands still, and nothing is due
		if !slices.ContainsFunc(w.live, func(id RequestID) bool { return w.reqs[id].Deadline < w.now+2100*ms }) {
			w.now += 2 * time.Second
		}
	}
	for _, token := range []uint64{tickToken, askToken} {
		for i := 0; i < len(w.wakes[token]); i++ {
			if w.wakes[token][i] <= w.now {
				w.wakes[token] = append(w.wakes[token][:i], w.wakes[token][i+1:]...)
				w.give(TimerFired{Token: token})
				i = -1
			}
		}
	}
	for ; w.subs > 0; w.subs-- {
		if w.rng.IntN(2) == 0 {
			w.give(EndpointsUpdated{ListKind: ListFailed})
		} else {
			w.give(EndpointsUpdated{ListKind: ListDelta})
		}
	}
	if w.rng.Float64() < load {
		id := RequestID(len(w.ids) + 1)
		c := w.rng.IntN(len(w.s.Classes))
		q := &tracked{RequestArrived: RequestArrived{ID: id, Class: c, Slots: 1, Deadline: w.now + w.s.Classes[c].Deadline}}
		w.ids, w.live, w.reqs[id] = append(w.ids, id), append(w.live, id), q
		w.give(q.RequestArrived)
	}
	if w.rng.IntN(400) == 0 {
		w.changeList()
	}
	w.live = slices.DeleteFunc(w.live, func(id RequestID) bool {
		q := w.reqs[id]
		if !q.closed && w.now > q.Deadline+w.s.AnswerSlack {
			w.t.Fatalf("%v: no answer for %d, due %v", w.now, id, q.Deadline)
		}
		return q.closed && !slices.ContainsFunc(q.sends, func(s *sent) bool { return s.out })
	})
	for _, id := range slices.Clone(w.live) {
		for n, s := range w.reqs[id].sends {
			if s.out {
				w.attempt(id, n, s)
			}
		}
	}
}

// attempt lets something happen to an attempt that is out.
func (w *world) attempt(id RequestID, n int, s *sent) {
	q := w.reqs[id]
	end := func(o Outcome) {
		s.out, s.maybe = false, o != Full && o != NoConnect && o != NeverSent
		final := q.closed || o == Served
		if final && !q.closed {
			q.closed = true
			w.answers++
		}
		r := Report{Busy: w.rng.Float64(), Requests: -1, FreeSlots: float64(w.rng.IntN(5))}
		w.give(AttemptFinished{ID: id, Attempt: n, Worker: s.w.ID, Outcome: o, Final: final, Report: &r})
	}
	switch x := w.rng.IntN(1000); {
	case w.now >= q.Deadline:
		end(TimedOut)
	case w.now < s.at+20*ms:
	case x < 20 && !s.begun:
		s.begun = true
		w.give(AttemptStarted{ID: id, Attempt: n, Worker: s.w.ID})
	case x < 25:
		w.give(AttemptProgressed{ID: id, Attempt: n, Worker: s.w.ID, Share: w.rng.Float64()})
	case x < 40 && s.begun:
		end(Served)
	case x >= 40 && x < 46:
		end([]Outcome{Errored, Full, TimedOut, NoConnect, Reset, NeverSent}[x-40])
	case x == 46 && !q.closed && w.rng.IntN(4) == 0:
		q.closed = true
		w.give(ClientLeft{ID: id})
	}
}

func (w *world) changeList() {
	in := w.list[WorkerID([]string{"w00", "w01", "w02", "w03"}[w.rng.IntN(4)])]
	switch w.rng.IntN(3) {
	case 0:
		in.State = Draining
	case 1:
		in.State = Gone
	case 2:
		in.State, in.StartedAt = Ready, w.now-time.Duration(w.rng.IntN(2000))*ms
	}
	w.list[in.ID] = in
	if in.State == Ready {
		delete(w.told, in.ID)
	} else if _, was := w.told[in.ID]; !was {
		w.told[in.ID] = w.now
	}
	w.give(EndpointsUpdated{ListKind: ListDelta, Workers: []WorkerInfo{in}})
}

// TestRulesOnRandomDays asserts the four rules over long random event sequences.
func TestRulesOnRandomDays(t *testing.T) {
	for seed := uint64(1); seed <= 32; seed++ {
		s := plain()
		if seed > 24 { // few of hundreds own a cold worker; this is one of them at times
			s.DispatcherIndex, s.Dispatchers = int(seed)*37%300, 300
		}
		s.MayHedge = seed%2 == 0
		s.MayProbe, s.ReportsPulled = seed%3 == 0, seed%3 == 0
		s.ListPolled = seed%4 == 0
		s.Classes = append(s.Classes, s.Classes[1])
		s.Classes[1].DeduplicationScope = []DeduplicationScope{ScopeAll, ScopeZone, ScopeCell}[seed%3]
		s.Classes[3].LateWeight = 0.3
		w := newWorld(t, s, seed)
		load := 0.1 + 0.2*float64(seed%4)
		for range 6000 {
			w.step(load)
		}
		for range 2000 { // no more arrivals: all must be answered
			w.step(0)
		}
		for _, id := range w.ids {
			if !w.reqs[id].closed {
				t.Fatalf("seed %d: request %d has no answer at the end", seed, id)
			}
		}
		if len(w.ids) < 300 || w.answers < 100 {
			t.Fatalf("seed %d: only %d requests, %d answers: too few to mean anything", seed, len(w.ids), w.answers)
		}
	}
}

// The same events give the same actions.
func TestDeterminism(t *testing.T) {
	play := func() int {
		w := newWorld(t, plain(), 5)
		for range 3000 {
			w.step(0.4)
		}
		return w.answers*1000003 + len(w.ids)
	}
	if a, b := play(), play(); a != b {
		t.Errorf("two plays of the same events differ: %d and %d", a, b)
	}
}

// FuzzRules asserts the four rules, and no panic, over event sequences drawn from the fuzzer's bytes.
func FuzzRules(f *testing.F) {
	for _, c := range []struct {
		seed              uint64
		dispatchers, bits uint16
	}{{1, 2, 0}, {2, 300, 3}, {3, 300, 12}, {4, 1, 31}, {5, 40, 21}} {
		f.Add(c.seed, c.dispatchers, c.bits, uint8(60))
	}
	f.Fuzz(func(t *testing.T, seed uint64, dispatchers, bits uint16, load uint8) {
		s := plain()
		s.Dispatchers = 1 + int(dispatchers%1000)
		s.DispatcherIndex = int(seed % uint64(s.Dispatchers))
		s.MayHedge, s.MayCancel, s.ListPolled = bits&1 > 0, bits&2 > 0, bits&4 > 0
		s.MayProbe, s.ReportsPulled, s.ReportsStart = bits&8 > 0, bits&8 > 0, bits&16 == 0
		s.Classes[1].DeduplicationScope = DeduplicationScope(bits >> 5 % 3)
		w := newWorld(t, s, seed)
		for range 1500 {
			w.step(float64(load) / 256)
		}
		for range 1200 { // no more arrivals: all must be answered
			w.step(0)
		}
		for _, id := range w.ids {
			if !w.reqs[id].closed {
				t.Fatalf("request %d has no answer at the end", id)
			}
		}
	})
}

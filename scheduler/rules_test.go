package scheduler

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// randomSimulation passes random valid events to one scheduler and checks its actions against the rules: final answers, attempts
// and their idempotency, draining workers, slow start. It does not model a fleet: outcomes, losses and lists are random.
type randomSimulation struct {
	t            *testing.T
	settings     Settings
	scheduler    *Scheduler
	random       *rand.Rand
	now          Instant
	timers       map[uint64][]Instant
	notifiedAt   map[WorkerID]Instant // when a worker began to drain or was gone
	listed       map[WorkerID]WorkerInfo
	requests     map[RequestID]*trackedRequest
	ids          []RequestID
	unfinished   []RequestID            // not answered, or with attempts in flight
	warmingSends map[WorkerID][]Instant // sends in the last overload window
	pendingPolls int
	answers      int
}

// trackedRequest is what the checks know of a request.
type trackedRequest struct {
	RequestArrived
	attempts []*trackedAttempt
	closed   bool // answered, or its client has left
}

// trackedAttempt is what the checks know of an attempt.
type trackedAttempt struct {
	worker                             WorkerInfo
	sentAt                             Instant
	inFlight, mayHaveExecuted, started bool
}

// drainGrace is how long the checks permit sends to a worker after the scheduler was notified that it is draining or gone.
const drainGrace = 500 * ms

// newRandomSimulation returns a simulation whose scheduler has a cached list of six workers in two zones and three cells.
func newRandomSimulation(t *testing.T, settings Settings, seed uint64) *randomSimulation {
	t.Helper()
	simulation := &randomSimulation{
		t: t, settings: settings, scheduler: New(settings, seed), random: rand.New(rand.NewPCG(seed, 7)), now: start,
		timers: map[uint64][]Instant{}, notifiedAt: map[WorkerID]Instant{}, listed: map[WorkerID]WorkerInfo{},
		requests: map[RequestID]*trackedRequest{}, warmingSends: map[WorkerID][]Instant{},
	}
	var infos []WorkerInfo
	for i, info := range workers(6) {
		info.Zone, info.Cell = i%2, i%3
		simulation.listed[info.ID] = info
		infos = append(infos, info)
	}
	simulation.handle(EndpointsUpdated{ListKind: ListCached, Workers: infos})
	return simulation
}

// handle passes an event to the scheduler and checks its actions.
func (s *randomSimulation) handle(event Event) {
	for _, action := range s.scheduler.Handle(s.now, event) {
		s.check(action)
	}
}

// check applies the rules to one action.
func (s *randomSimulation) check(action Action) {
	s.t.Helper()
	switch action := action.(type) {
	case SetTimer:
		s.timers[action.Token] = append(s.timers[action.Token], s.now+action.After)
	case Subscribe:
		s.pendingPolls++
	case Send:
		s.checkSend(action)
	case Reject:
		request := s.mustBeOpen(action.ID, "rejects")
		for _, previous := range request.attempts {
			class := s.settings.Classes[request.Class]
			if previous.mayHaveExecuted && (class.Idempotency == NonIdempotent || class.Idempotency == IdempotentWithKey && class.DeduplicationScope != ScopeAll) {
				s.t.Fatalf("%v: rejects request %d, which may have executed and must not be repeated", s.now, action.ID)
			}
		}
		request.closed = true
	case Fail:
		s.mustBeOpen(action.ID, "fails").closed = true
	case Cancel:
		request := s.requests[action.ID]
		if !s.settings.MayCancel || request == nil || action.Attempt < 0 || action.Attempt >= len(request.attempts) {
			s.t.Fatalf("%v: cancels attempt %d of request %d, which does not exist or must not be cancelled", s.now, action.Attempt, action.ID)
		}
	}
}

// mustBeOpen returns a request that must not have been answered, and counts an answer.
func (s *randomSimulation) mustBeOpen(id RequestID, verb string) *trackedRequest {
	s.t.Helper()
	request := s.requests[id]
	if request == nil || request.closed {
		s.t.Fatalf("%v: %s request %d, which is answered or unknown", s.now, verb, id)
	}
	s.answers++
	return request
}

// checkSend applies the rules to an attempt: the list, the drain grace period, the number of attempts, idempotency and slow start.
func (s *randomSimulation) checkSend(send Send) {
	s.t.Helper()
	request := s.mustBeOpen(send.ID, "sends")
	s.answers--
	worker, known := s.listed[send.Worker]
	if !known {
		s.t.Fatalf("%v: sends to worker %s, which no list named", s.now, send.Worker)
	}
	if at, gone := s.notifiedAt[send.Worker]; gone && s.now > at+drainGrace {
		s.t.Fatalf("%v: sends to worker %s, which is draining or gone since %v", s.now, send.Worker, at)
	}
	if len(request.attempts) >= s.settings.MaxAttempts {
		s.t.Fatalf("%v: sends attempt %d of request %d, more than MaxAttempts", s.now, len(request.attempts), send.ID)
	}
	class := s.settings.Classes[request.Class]
	for _, previous := range request.attempts {
		switch {
		case previous.inFlight && !s.settings.MayHedge:
			s.t.Fatalf("%v: sends request %d while an attempt is in flight, without MayHedge", s.now, send.ID)
		case !previous.mayHaveExecuted || class.Idempotency == Idempotent:
		case class.Idempotency == NonIdempotent:
			s.t.Fatalf("%v: sends non-idempotent request %d again", s.now, send.ID)
		case s.now > previous.sentAt+class.DeduplicationWindow, class.DeduplicationScope == ScopeZone && previous.worker.Zone != worker.Zone,
			class.DeduplicationScope == ScopeCell && previous.worker.Cell != worker.Cell:
			s.t.Fatalf("%v: sends request %d again outside its deduplication scope or window", s.now, send.ID)
		}
	}
	request.attempts = append(request.attempts, &trackedAttempt{worker: worker, sentAt: s.now, inFlight: true, mayHaveExecuted: true})
	if age := s.now - worker.StartedAt; worker.StartedAt > 0 && age < s.settings.SlowStartDuration {
		var recent []Instant
		for _, at := range s.warmingSends[send.Worker] {
			if at > s.now-s.settings.OverloadWindow {
				recent = append(recent, at)
			}
		}
		s.warmingSends[send.Worker] = append(recent, s.now)
		// Each job here takes at least 20 ms of a slot.
		warmupFactor := s.settings.SlowStartCapacity + (1-s.settings.SlowStartCapacity)*float64(age)/float64(s.settings.SlowStartDuration)
		budget := s.settings.OverloadMultiple * warmupFactor * 4 * s.settings.OverloadWindow.Seconds() / min(float64(s.settings.Dispatchers), 2)
		if work := 0.02 * float64(len(s.warmingSends[send.Worker])); work > budget+0.02 {
			s.t.Fatalf("%v: sends %d jobs in %v to worker %s of age %v: got %.2f slot-seconds, budget %.2f",
				s.now, len(s.warmingSends[send.Worker]), s.settings.OverloadWindow, send.Worker, age, work, budget)
		}
	}
}

// step advances the time by 1 to 5 ms and draws the events that occur.
func (s *randomSimulation) step(load float64) {
	s.now += time.Duration(1+s.random.IntN(5)) * ms
	if s.settings.Dispatchers > 2 && s.random.IntN(500) == 0 { // this process stalls for 2 s, if no deadline is near
		if !slices.ContainsFunc(s.unfinished, func(id RequestID) bool { return s.requests[id].Deadline < s.now+2100*ms }) {
			s.now += 2 * time.Second
		}
	}
	for _, token := range []uint64{reviewTimer, pollTimer} {
		for i := 0; i < len(s.timers[token]); i++ {
			if s.timers[token][i] <= s.now {
				s.timers[token] = append(s.timers[token][:i], s.timers[token][i+1:]...)
				s.handle(TimerFired{Token: token})
				i = -1
			}
		}
	}
	for ; s.pendingPolls > 0; s.pendingPolls-- {
		if s.random.IntN(2) == 0 {
			s.handle(EndpointsUpdated{ListKind: ListFailed})
		} else {
			s.handle(EndpointsUpdated{ListKind: ListDelta})
		}
	}
	if s.random.Float64() < load {
		id := RequestID(len(s.ids) + 1)
		class := s.random.IntN(len(s.settings.Classes))
		request := &trackedRequest{RequestArrived: RequestArrived{ID: id, Class: class, Slots: 1, Deadline: s.now + s.settings.Classes[class].Deadline}}
		s.ids, s.unfinished, s.requests[id] = append(s.ids, id), append(s.unfinished, id), request
		s.handle(request.RequestArrived)
	}
	if s.random.IntN(400) == 0 {
		s.changeList()
	}
	s.unfinished = slices.DeleteFunc(s.unfinished, func(id RequestID) bool {
		request := s.requests[id]
		if !request.closed && s.now > request.Deadline+s.settings.AnswerSlack {
			s.t.Fatalf("%v: no final answer for request %d, due %v", s.now, id, request.Deadline)
		}
		return request.closed && !slices.ContainsFunc(request.attempts, func(attempt *trackedAttempt) bool { return attempt.inFlight })
	})
	for _, id := range slices.Clone(s.unfinished) {
		for n, attempt := range s.requests[id].attempts {
			if attempt.inFlight {
				s.advanceAttempt(id, n, attempt)
			}
		}
	}
}

// advanceAttempt draws the event, if any, of an attempt in flight.
func (s *randomSimulation) advanceAttempt(id RequestID, n int, attempt *trackedAttempt) {
	request := s.requests[id]
	end := func(outcome Outcome) {
		attempt.inFlight, attempt.mayHaveExecuted = false, outcome != Full && outcome != NoConnect && outcome != NeverSent
		final := request.closed || outcome == Served
		if final && !request.closed {
			request.closed = true
			s.answers++
		}
		report := Report{Busy: s.random.Float64(), Requests: -1, FreeSlots: float64(s.random.IntN(5))}
		s.handle(AttemptFinished{ID: id, Attempt: n, Worker: attempt.worker.ID, Outcome: outcome, Final: final, Report: &report})
	}
	switch draw := s.random.IntN(1000); {
	case s.now >= request.Deadline:
		end(TimedOut)
	case s.now < attempt.sentAt+20*ms:
	case draw < 20 && !attempt.started:
		attempt.started = true
		s.handle(AttemptStarted{ID: id, Attempt: n, Worker: attempt.worker.ID})
	case draw < 25:
		s.handle(AttemptProgressed{ID: id, Attempt: n, Worker: attempt.worker.ID, Share: s.random.Float64()})
	case draw < 40 && attempt.started:
		end(Served)
	case draw >= 40 && draw < 46:
		end([]Outcome{Errored, Full, TimedOut, NoConnect, Reset, NeverSent}[draw-40])
	case draw == 46 && !request.closed && s.random.IntN(4) == 0:
		request.closed = true
		s.handle(ClientLeft{ID: id})
	}
}

// changeList draws a change of one of four workers: it drains, is gone, or is ready after a restart.
func (s *randomSimulation) changeList() {
	worker := s.listed[WorkerID([]string{"w00", "w01", "w02", "w03"}[s.random.IntN(4)])]
	switch s.random.IntN(3) {
	case 0:
		worker.State = Draining
	case 1:
		worker.State = Gone
	case 2:
		worker.State, worker.StartedAt = Ready, s.now-time.Duration(s.random.IntN(2000))*ms
	}
	s.listed[worker.ID] = worker
	if worker.State == Ready {
		delete(s.notifiedAt, worker.ID)
	} else if _, was := s.notifiedAt[worker.ID]; !was {
		s.notifiedAt[worker.ID] = s.now
	}
	s.handle(EndpointsUpdated{ListKind: ListDelta, Workers: []WorkerInfo{worker}})
}

// TestRules_randomEvents checks that the rules hold over long random event sequences, and that each request gets its final answer.
func TestRules_randomEvents(t *testing.T) {
	for seed := uint64(1); seed <= 32; seed++ {
		settings := baseSettings()
		if seed > 24 { // few of 300 dispatchers have a slow-start share of a warming worker; this one has at times
			settings.DispatcherIndex, settings.Dispatchers = int(seed)*37%300, 300
		}
		settings.MayHedge = seed%2 == 0
		settings.MayProbe, settings.ReportsPulled = seed%3 == 0, seed%3 == 0
		settings.ListPolled = seed%4 == 0
		settings.Classes = append(settings.Classes, settings.Classes[1])
		settings.Classes[1].DeduplicationScope = []DeduplicationScope{ScopeAll, ScopeZone, ScopeCell}[seed%3]
		settings.Classes[3].LateWeight = 0.3
		simulation := newRandomSimulation(t, settings, seed)
		load := 0.1 + 0.2*float64(seed%4)
		for range 6000 {
			simulation.step(load)
		}
		for range 2000 { // no more arrivals: all must be answered
			simulation.step(0)
		}
		for _, id := range simulation.ids {
			if !simulation.requests[id].closed {
				t.Fatalf("seed %d: request %d has no answer at the end", seed, id)
			}
		}
		if len(simulation.ids) < 300 || simulation.answers < 100 {
			t.Fatalf("seed %d: got %d requests and %d answers, want at least 300 and 100", seed, len(simulation.ids), simulation.answers)
		}
	}
}

// TestHandle_deterministic checks that the same events give the same actions.
func TestHandle_deterministic(t *testing.T) {
	run := func() int {
		simulation := newRandomSimulation(t, baseSettings(), 5)
		for range 3000 {
			simulation.step(0.4)
		}
		return simulation.answers*1000003 + len(simulation.ids)
	}
	if first, second := run(), run(); first != second {
		t.Errorf("two runs with the same seed differ: %d and %d", first, second)
	}
}

// FuzzRules checks that the rules hold, without a panic, over event sequences drawn from the fuzzer's values.
func FuzzRules(f *testing.F) {
	for _, c := range []struct {
		seed              uint64
		dispatchers, bits uint16
	}{{1, 2, 0}, {2, 300, 3}, {3, 300, 12}, {4, 1, 31}, {5, 40, 21}} {
		f.Add(c.seed, c.dispatchers, c.bits, uint8(60))
	}
	f.Fuzz(func(t *testing.T, seed uint64, dispatchers, bits uint16, load uint8) {
		settings := baseSettings()
		settings.Dispatchers = 1 + int(dispatchers%1000)
		settings.DispatcherIndex = int(seed % uint64(settings.Dispatchers))
		settings.MayHedge, settings.MayCancel, settings.ListPolled = bits&1 > 0, bits&2 > 0, bits&4 > 0
		settings.MayProbe, settings.ReportsPulled, settings.ReportsStart = bits&8 > 0, bits&8 > 0, bits&16 == 0
		settings.Classes[1].DeduplicationScope = DeduplicationScope(bits >> 5 % 3)
		simulation := newRandomSimulation(t, settings, seed)
		for range 1500 {
			simulation.step(float64(load) / 256)
		}
		for range 1200 { // no more arrivals: all must be answered
			simulation.step(0)
		}
		for _, id := range simulation.ids {
			if !simulation.requests[id].closed {
				t.Fatalf("request %d has no answer at the end", id)
			}
		}
	})
}

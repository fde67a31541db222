package scheduler

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// randomWorld passes random but legal events to one scheduler and checks its actions against the rules: final answers, attempts
// and their idempotency, draining workers, slow start. It is no model of a fleet: outcomes, losses and lists are random.
type randomWorld struct {
	t            *testing.T
	settings     Settings
	scheduler    *Scheduler
	random       *rand.Rand
	now          Instant
	timers       map[uint64][]Instant
	notifiedAt   map[WorkerID]Instant // since when a worker drains or is gone
	listed       map[WorkerID]WorkerInfo
	requests     map[RequestID]*trackedRequest
	ids          []RequestID
	unfinished   []RequestID            // not answered, or with attempts in flight
	warmingSends map[WorkerID][]Instant // sends in the last overload window
	pendingPolls int
	answers      int
}

// trackedRequest is a request as the rules see it.
type trackedRequest struct {
	RequestArrived
	attempts []*trackedAttempt
	closed   bool // answered, or its client has left
}

// trackedAttempt is an attempt as the rules see it.
type trackedAttempt struct {
	worker                             WorkerInfo
	sentAt                             Instant
	inFlight, mayHaveExecuted, started bool
}

// drainGrace is how long after a notification a random world permits sends to a draining worker.
const drainGrace = 500 * ms

// newRandomWorld returns a world of six workers in two zones and three cells, which the scheduler knows.
func newRandomWorld(t *testing.T, settings Settings, seed uint64) *randomWorld {
	t.Helper()
	w := &randomWorld{
		t: t, settings: settings, scheduler: New(settings, seed), random: rand.New(rand.NewPCG(seed, 7)), now: start,
		timers: map[uint64][]Instant{}, notifiedAt: map[WorkerID]Instant{}, listed: map[WorkerID]WorkerInfo{},
		requests: map[RequestID]*trackedRequest{}, warmingSends: map[WorkerID][]Instant{},
	}
	var infos []WorkerInfo
	for i, info := range workers(6) {
		info.Zone, info.Cell = i%2, i%3
		w.listed[info.ID] = info
		infos = append(infos, info)
	}
	w.handle(EndpointsUpdated{ListKind: ListCached, Workers: infos})
	return w
}

// handle passes an event to the scheduler and checks its actions.
func (w *randomWorld) handle(event Event) {
	for _, action := range w.scheduler.Handle(w.now, event) {
		w.check(action)
	}
}

// check applies the rules to one action.
func (w *randomWorld) check(action Action) {
	w.t.Helper()
	switch action := action.(type) {
	case SetTimer:
		w.timers[action.Token] = append(w.timers[action.Token], w.now+action.After)
	case Subscribe:
		w.pendingPolls++
	case Send:
		w.checkSend(action)
	case Reject:
		request := w.mustBeOpen(action.ID, "rejects")
		for _, previous := range request.attempts {
			class := w.settings.Classes[request.Class]
			if previous.mayHaveExecuted && (class.Idempotency == NonIdempotent || class.Idempotency == IdempotentWithKey && class.DeduplicationScope != ScopeAll) {
				w.t.Fatalf("%v: rejects %d, which may have executed", w.now, action.ID)
			}
		}
		request.closed = true
	case Fail:
		w.mustBeOpen(action.ID, "fails").closed = true
	case Cancel:
		request := w.requests[action.ID]
		if !w.settings.MayCancel || request == nil || action.Attempt < 0 || action.Attempt >= len(request.attempts) {
			w.t.Fatalf("%v: cancels attempt %d of %d, which was never made", w.now, action.Attempt, action.ID)
		}
	}
}

// mustBeOpen returns a request that must not have been answered, and counts an answer.
func (w *randomWorld) mustBeOpen(id RequestID, does string) *trackedRequest {
	w.t.Helper()
	request := w.requests[id]
	if request == nil || request.closed {
		w.t.Fatalf("%v: %s request %d, which is answered or unknown", w.now, does, id)
	}
	w.answers++
	return request
}

// checkSend applies the rules to an attempt: the list, the drain grace period, the number of attempts, idempotency and slow start.
func (w *randomWorld) checkSend(send Send) {
	w.t.Helper()
	request := w.mustBeOpen(send.ID, "sends")
	w.answers--
	worker, known := w.listed[send.Worker]
	if !known {
		w.t.Fatalf("%v: sends to %s, which no list named", w.now, send.Worker)
	}
	if at, gone := w.notifiedAt[send.Worker]; gone && w.now > at+drainGrace {
		w.t.Fatalf("%v: sends to %s, drained since %v", w.now, send.Worker, at)
	}
	if len(request.attempts) >= w.settings.MaxAttempts {
		w.t.Fatalf("%v: attempt %d of %d", w.now, len(request.attempts), send.ID)
	}
	class := w.settings.Classes[request.Class]
	for _, previous := range request.attempts {
		switch {
		case previous.inFlight && !w.settings.MayHedge:
			w.t.Fatalf("%v: second attempt of %d at once", w.now, send.ID)
		case !previous.mayHaveExecuted || class.Idempotency == Idempotent:
		case class.Idempotency == NonIdempotent:
			w.t.Fatalf("%v: non-idempotent %d sent again", w.now, send.ID)
		case w.now > previous.sentAt+class.DeduplicationWindow, class.DeduplicationScope == ScopeZone && previous.worker.Zone != worker.Zone,
			class.DeduplicationScope == ScopeCell && previous.worker.Cell != worker.Cell:
			w.t.Fatalf("%v: %d sent again out of its deduplication scope or window", w.now, send.ID)
		}
	}
	request.attempts = append(request.attempts, &trackedAttempt{worker: worker, sentAt: w.now, inFlight: true, mayHaveExecuted: true})
	if age := w.now - worker.StartedAt; worker.StartedAt > 0 && age < w.settings.SlowStartDuration {
		var recent []Instant
		for _, at := range w.warmingSends[send.Worker] {
			if at > w.now-w.settings.OverloadWindow {
				recent = append(recent, at)
			}
		}
		w.warmingSends[send.Worker] = append(recent, w.now)
		// Each job here takes at least 20 ms of a slot.
		warmth := w.settings.SlowStartCapacity + (1-w.settings.SlowStartCapacity)*float64(age)/float64(w.settings.SlowStartDuration)
		budget := w.settings.OverloadMultiple * warmth * 4 * w.settings.OverloadWindow.Seconds() / min(float64(w.settings.Dispatchers), 2)
		if work := 0.02 * float64(len(w.warmingSends[send.Worker])); work > budget+0.02 {
			w.t.Fatalf("%v: %d jobs in %v to %s, %v old: %.2f of %.2f slot-seconds",
				w.now, len(w.warmingSends[send.Worker]), w.settings.OverloadWindow, send.Worker, age, work, budget)
		}
	}
}

// step advances the time by one to five milliseconds and draws what happens.
func (w *randomWorld) step(load float64) {
	w.now += time.Duration(1+w.random.IntN(5)) * ms
	if w.settings.Dispatchers > 2 && w.random.IntN(500) == 0 { // this process stalls, while no deadline is near
		if !slices.ContainsFunc(w.unfinished, func(id RequestID) bool { return w.requests[id].Deadline < w.now+2100*ms }) {
			w.now += 2 * time.Second
		}
	}
	for _, token := range []uint64{reviewTimer, pollTimer} {
		for i := 0; i < len(w.timers[token]); i++ {
			if w.timers[token][i] <= w.now {
				w.timers[token] = append(w.timers[token][:i], w.timers[token][i+1:]...)
				w.handle(TimerFired{Token: token})
				i = -1
			}
		}
	}
	for ; w.pendingPolls > 0; w.pendingPolls-- {
		if w.random.IntN(2) == 0 {
			w.handle(EndpointsUpdated{ListKind: ListFailed})
		} else {
			w.handle(EndpointsUpdated{ListKind: ListDelta})
		}
	}
	if w.random.Float64() < load {
		id := RequestID(len(w.ids) + 1)
		class := w.random.IntN(len(w.settings.Classes))
		request := &trackedRequest{RequestArrived: RequestArrived{ID: id, Class: class, Slots: 1, Deadline: w.now + w.settings.Classes[class].Deadline}}
		w.ids, w.unfinished, w.requests[id] = append(w.ids, id), append(w.unfinished, id), request
		w.handle(request.RequestArrived)
	}
	if w.random.IntN(400) == 0 {
		w.changeList()
	}
	w.unfinished = slices.DeleteFunc(w.unfinished, func(id RequestID) bool {
		request := w.requests[id]
		if !request.closed && w.now > request.Deadline+w.settings.AnswerSlack {
			w.t.Fatalf("%v: no answer for %d, due %v", w.now, id, request.Deadline)
		}
		return request.closed && !slices.ContainsFunc(request.attempts, func(attempt *trackedAttempt) bool { return attempt.inFlight })
	})
	for _, id := range slices.Clone(w.unfinished) {
		for n, attempt := range w.requests[id].attempts {
			if attempt.inFlight {
				w.advanceAttempt(id, n, attempt)
			}
		}
	}
}

// advanceAttempt draws what happens to an attempt in flight.
func (w *randomWorld) advanceAttempt(id RequestID, n int, attempt *trackedAttempt) {
	request := w.requests[id]
	end := func(outcome Outcome) {
		attempt.inFlight, attempt.mayHaveExecuted = false, outcome != Full && outcome != NoConnect && outcome != NeverSent
		final := request.closed || outcome == Served
		if final && !request.closed {
			request.closed = true
			w.answers++
		}
		report := Report{Busy: w.random.Float64(), Requests: -1, FreeSlots: float64(w.random.IntN(5))}
		w.handle(AttemptFinished{ID: id, Attempt: n, Worker: attempt.worker.ID, Outcome: outcome, Final: final, Report: &report})
	}
	switch draw := w.random.IntN(1000); {
	case w.now >= request.Deadline:
		end(TimedOut)
	case w.now < attempt.sentAt+20*ms:
	case draw < 20 && !attempt.started:
		attempt.started = true
		w.handle(AttemptStarted{ID: id, Attempt: n, Worker: attempt.worker.ID})
	case draw < 25:
		w.handle(AttemptProgressed{ID: id, Attempt: n, Worker: attempt.worker.ID, Share: w.random.Float64()})
	case draw < 40 && attempt.started:
		end(Served)
	case draw >= 40 && draw < 46:
		end([]Outcome{Errored, Full, TimedOut, NoConnect, Reset, NeverSent}[draw-40])
	case draw == 46 && !request.closed && w.random.IntN(4) == 0:
		request.closed = true
		w.handle(ClientLeft{ID: id})
	}
}

// changeList draws a change of one of four workers: it drains, is gone, or is ready after a restart.
func (w *randomWorld) changeList() {
	worker := w.listed[WorkerID([]string{"w00", "w01", "w02", "w03"}[w.random.IntN(4)])]
	switch w.random.IntN(3) {
	case 0:
		worker.State = Draining
	case 1:
		worker.State = Gone
	case 2:
		worker.State, worker.StartedAt = Ready, w.now-time.Duration(w.random.IntN(2000))*ms
	}
	w.listed[worker.ID] = worker
	if worker.State == Ready {
		delete(w.notifiedAt, worker.ID)
	} else if _, was := w.notifiedAt[worker.ID]; !was {
		w.notifiedAt[worker.ID] = w.now
	}
	w.handle(EndpointsUpdated{ListKind: ListDelta, Workers: []WorkerInfo{worker}})
}

// TestRules_randomEvents checks that the rules hold over long random event sequences, and that each request has its answer.
func TestRules_randomEvents(t *testing.T) {
	for seed := uint64(1); seed <= 32; seed++ {
		settings := baseSettings()
		if seed > 24 { // few of 300 dispatchers have a share of a warming worker, this one at times
			settings.DispatcherIndex, settings.Dispatchers = int(seed)*37%300, 300
		}
		settings.MayHedge = seed%2 == 0
		settings.MayProbe, settings.ReportsPulled = seed%3 == 0, seed%3 == 0
		settings.ListPolled = seed%4 == 0
		settings.Classes = append(settings.Classes, settings.Classes[1])
		settings.Classes[1].DeduplicationScope = []DeduplicationScope{ScopeAll, ScopeZone, ScopeCell}[seed%3]
		settings.Classes[3].LateWeight = 0.3
		world := newRandomWorld(t, settings, seed)
		load := 0.1 + 0.2*float64(seed%4)
		for range 6000 {
			world.step(load)
		}
		for range 2000 { // no more arrivals: all must be answered
			world.step(0)
		}
		for _, id := range world.ids {
			if !world.requests[id].closed {
				t.Fatalf("seed %d: request %d has no answer at the end", seed, id)
			}
		}
		if len(world.ids) < 300 || world.answers < 100 {
			t.Fatalf("seed %d: only %d requests, %d answers: too few for a verdict", seed, len(world.ids), world.answers)
		}
	}
}

// TestHandle_deterministic checks that the same events give the same actions.
func TestHandle_deterministic(t *testing.T) {
	run := func() int {
		world := newRandomWorld(t, baseSettings(), 5)
		for range 3000 {
			world.step(0.4)
		}
		return world.answers*1000003 + len(world.ids)
	}
	if first, second := run(), run(); first != second {
		t.Errorf("two runs of the same events differ: %d and %d", first, second)
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
		world := newRandomWorld(t, settings, seed)
		for range 1500 {
			world.step(float64(load) / 256)
		}
		for range 1200 { // no more arrivals: all must be answered
			world.step(0)
		}
		for _, id := range world.ids {
			if !world.requests[id].closed {
				t.Fatalf("request %d has no answer at the end", id)
			}
		}
	})
}

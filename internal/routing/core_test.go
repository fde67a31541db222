package routing

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"brassdale/internal/decisions/polling"
	"brassdale/scheduler"
)

// fakePeers is all peers of the core at once: it passes what reaches them to the test.
type fakePeers struct {
	sent      chan Attempt
	cancelled chan AttemptID
	answers   chan Answer
}

func (f *fakePeers) Update(Endpoint)                             {}
func (f *fakePeers) Send(c Attempt)                              { f.sent <- c }
func (f *fakePeers) Cancel(_ scheduler.WorkerID, id AttemptID)   { f.cancelled <- id }
func (f *fakePeers) CloseIdle(scheduler.WorkerID, time.Duration) {}
func (f *fakePeers) Probe(scheduler.WorkerID)                    {}
func (f *fakePeers) SetDetached(scheduler.WorkerID, time.Time)   {}
func (f *fakePeers) AttemptStarted(int)                          {}
func (f *fakePeers) AttemptProgressed(int, float64)              {}
func (f *fakePeers) Answered(a Answer)                           { f.answers <- a }
func (f *fakePeers) submit(c *Core, until time.Time) Attempt {
	c.Submit(Request{Deadline: until, Slots: 1, Client: f, Limits: RequestLimits{MaxAttempts: 4, AnswerSlack: 8 * time.Millisecond}})
	return <-f.sent
}

func startTestCore(t *testing.T) (*Core, *fakePeers) {
	set := scheduler.Settings{Dispatchers: 1, MayCancel: true, MaxAttempts: 4, ReportsStart: true, AnswerSlack: 8 * time.Millisecond,
		Classes: []scheduler.Class{{LatencyObjective: time.Second, Deadline: 5 * time.Second, Idempotency: scheduler.NonIdempotent, MachineKind: -1}}}
	c := NewCore(scheduler.New(set, 1), NewClock(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	f := &fakePeers{make(chan Attempt, 16), make(chan AttemptID, 16), make(chan Answer, 16)}
	c.SetEndpoints(f, func() {})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { c.Run(ctx); close(done) }()
	t.Cleanup(func() { stop(); <-done })
	c.UpdateEndpoints(scheduler.EndpointsUpdated{ListKind: scheduler.ListCached, Workers: []scheduler.WorkerInfo{{ID: "a", Weight: 1}}})
	return c, f
}

// A call ends once and a request is answered once, whatever endpoints repeat.
func TestCore_duplicateOutcomes_oneAnswer(t *testing.T) {
	c, f := startTestCore(t)
	call := f.submit(c, time.Now().Add(5*time.Second))
	for range 2 {
		c.AttemptFinished(call.ID, AttemptResult{Outcome: scheduler.Served, Result: []byte("r")})
		c.AttemptFinished(call.ID, AttemptResult{Outcome: scheduler.Reset})
	}
	c.AttemptFinished(AttemptID{call.ID.Request, 7}, AttemptResult{})
	c.AttemptStarted(call.ID)
	if a := <-f.answers; a.Verdict != Served || string(a.Result) != "r" {
		t.Errorf("answered %+v", a)
	}
	// What was posted before a further request has been taken when that one is answered.
	next := f.submit(c, time.Now().Add(5*time.Second))
	c.AttemptFinished(next.ID, AttemptResult{Outcome: scheduler.Errored})
	if a := <-f.answers; a.Verdict != Failed || a.DeadlinePassed || len(f.answers) > 0 || next.ID.Request == call.ID.Request {
		t.Errorf("answered %+v, %d more answers", a, len(f.answers))
	}
	if c.OpenRequests() != 0 {
		t.Errorf("%d open", c.OpenRequests())
	}
}

// An endpoint that never ends its call, not even at the deadline, costs its request no more than time: it
// is answered in time, once.
func TestCore_attemptNeverEnds_failedInTime(t *testing.T) {
	c, f := startTestCore(t)
	deadline := time.Now().Add(300 * time.Millisecond)
	call := f.submit(c, deadline)
	c.AttemptStarted(call.ID)
	if a := <-f.answers; a.Verdict != Failed || !a.DeadlinePassed || time.Now().Before(deadline) {
		t.Errorf("answered %+v, %v from the deadline", a, time.Since(deadline))
	}
	c.AttemptFinished(call.ID, AttemptResult{Outcome: scheduler.Served})
	if c.submitAndFail(f); len(f.answers) > 0 {
		t.Error("answered twice")
	}
}

func (c *Core) submitAndFail(f *fakePeers) {
	c.AttemptFinished(f.submit(c, time.Now().Add(time.Second)).ID, AttemptResult{Outcome: scheduler.Errored})
	<-f.answers
}

// recordingPool records what endpoints are told of the destination set.
type recordingPool struct {
	*fakePeers
	updates []Endpoint
}

func (u *recordingPool) Update(d Endpoint) { u.updates = append(u.updates, d) }

// applyResponse has an answer of discovery taken in.
func applyResponse(s *EndpointList, u ListUpdate, kind scheduler.ListKind) {
	c := &listCall{service: s.calls.current, startedAt: time.Now()}
	s.apply(c, u, kind, s.states.Classify(c.response(u, time.Now())))
}

// An endpoint that drains and then is missing from a whole list was told once: the grace for its drain once
// began anew when it went.
func TestEndpointList_drainThenGone_notifiedOnce(t *testing.T) {
	c, f := startTestCore(t)
	u := &recordingPool{fakePeers: f}
	line := func(s scheduler.WorkerState) []Endpoint {
		return []Endpoint{{WorkerInfo: scheduler.WorkerInfo{ID: "a", State: s}, Address: "h:1"}}
	}
	s := NewEndpointList(c, u, newScriptedDiscovery(), ListUpdate{Endpoints: line(scheduler.Ready)}, c.log)
	applyResponse(s, ListUpdate{Endpoints: line(scheduler.Draining)}, scheduler.ListDelta)
	applyResponse(s, ListUpdate{Endpoints: line(scheduler.Draining)}, scheduler.ListDelta)
	applyResponse(s, ListUpdate{Complete: true}, scheduler.ListFull)
	if len(u.updates) != 4 || !u.updates[0].NotifiedAt.IsZero() || u.updates[1].NotifiedAt.IsZero() || u.updates[3].State != scheduler.Gone ||
		u.updates[2].NotifiedAt != u.updates[1].NotifiedAt || u.updates[3].NotifiedAt != u.updates[1].NotifiedAt || u.updates[3].Address != "h:1" {
		t.Errorf("told %+v", u.updates)
	}
}

// A client that has left is owed nothing and its call is called off.
func TestCore_clientLeaves_attemptCancelled(t *testing.T) {
	c, f := startTestCore(t)
	call := f.submit(c, time.Now().Add(5*time.Second))
	c.ClientLeft(call.ID.Request)
	if id := <-f.cancelled; id != call.ID {
		t.Errorf("called off %v, want %v", id, call.ID)
	}
	c.AttemptFinished(call.ID, AttemptResult{Outcome: scheduler.Cancelled})
	if c.submitAndFail(f); len(f.answers) > 0 || c.OpenRequests() != 0 {
		t.Errorf("%d answers, %d open", len(f.answers), c.OpenRequests())
	}
}

// A failure is counted as unsent where no call of the request left: none was made, or each ended before its last byte.
func TestCore_failedUnsent(t *testing.T) {
	for _, r := range []struct {
		outcomes []scheduler.Outcome
		out      int
		want     int
	}{
		{want: 1},
		{outcomes: []scheduler.Outcome{scheduler.NoConnect, scheduler.NeverSent}, want: 1},
		{outcomes: []scheduler.Outcome{scheduler.NoConnect, scheduler.Reset}},
		{outcomes: []scheduler.Outcome{scheduler.Full}},
		{out: 1},
	} {
		f := &fakePeers{make(chan Attempt, 16), make(chan AttemptID, 16), make(chan Answer, 16)}
		c := NewCore(scheduler.New(scheduler.Settings{}, 1), NewClock(), slog.New(slog.NewTextHandler(io.Discard, nil)))
		c.SetEndpoints(f, func() {})
		req := &openRequest{Request: Request{Client: f}}
		c.requests[1] = req
		for i, o := range r.outcomes {
			req.attempts, req.inFlight = append(req.attempts, attempt{inFlight: true}), 1
			c.finishAttempt(AttemptID{1, i}, AttemptResult{Outcome: o})
		}
		req.inFlight = r.out
		if c.answerRequest(req, Answer{Verdict: Failed}); c.counters.Metrics().FailedUnsent != r.want {
			t.Errorf("%v, %d out: counted %d times", r.outcomes, r.out, c.counters.Metrics().FailedUnsent)
		}
	}
}

// What the agent of a pushed list has counts from a process's first moment: a drain in its first list was told then, not when
// that was read.
func TestEndpointList_pushedDrain_notifiedFromStart(t *testing.T) {
	c, f := startTestCore(t)
	u := &recordingPool{fakePeers: f}
	s := NewEndpointList(c, u, newScriptedDiscovery(), ListUpdate{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	s.SetPollRules(func() polling.Rules { return polling.Rules{ListsPushed: true} })
	began := time.Now()
	applyResponse(s, ListUpdate{Revision: 1, Complete: true, Endpoints: []Endpoint{{WorkerInfo: scheduler.WorkerInfo{ID: "a", State: scheduler.Draining}}}}, scheduler.ListFull)
	if got := u.updates[len(u.updates)-1]; got.NotifiedAt.IsZero() || got.NotifiedAt.After(began) {
		t.Errorf("told %v behind the start", got.NotifiedAt.Sub(began))
	}
}

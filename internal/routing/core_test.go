package routing

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"brassdale/scheduler"
)

// fakePeers is the endpoint pool and the client of a Core at once. It passes what it is called with to the test.
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

// submit submits a request and returns its first attempt.
func (f *fakePeers) submit(c *Core, until time.Time) Attempt {
	c.Submit(Request{Deadline: until, Slots: 1, Client: f, Limits: RequestLimits{MaxAttempts: 4, AnswerSlack: 8 * time.Millisecond}})
	return <-f.sent
}

// startTestCore runs a Core that knows the worker a, until the end of the test.
func startTestCore(t *testing.T) (*Core, *fakePeers) {
	t.Helper()
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

// An attempt ends once and a request is answered once, however often endpoints report an outcome.
func TestCore_duplicateOutcomes_oneAnswer(t *testing.T) {
	core, f := startTestCore(t)
	first := f.submit(core, time.Now().Add(5*time.Second))
	for range 2 {
		core.AttemptFinished(first.ID, AttemptResult{Outcome: scheduler.Served, Result: []byte("r")})
		core.AttemptFinished(first.ID, AttemptResult{Outcome: scheduler.Reset})
	}
	core.AttemptFinished(AttemptID{first.ID.Request, 7}, AttemptResult{})
	core.AttemptStarted(first.ID)
	if a := <-f.answers; a.Verdict != Served || string(a.Result) != "r" {
		t.Errorf("answered %+v", a)
	}
	// What was posted before a further request has been handled when that one is answered.
	next := f.submit(core, time.Now().Add(5*time.Second))
	core.AttemptFinished(next.ID, AttemptResult{Outcome: scheduler.Errored})
	if a := <-f.answers; a.Verdict != Failed || a.DeadlinePassed || len(f.answers) > 0 || next.ID.Request == first.ID.Request {
		t.Errorf("answered %+v, %d more answers", a, len(f.answers))
	}
	if core.OpenRequests() != 0 {
		t.Errorf("%d open", core.OpenRequests())
	}
}

// A request whose endpoint reports no outcome, not even after the deadline, is failed in time, once.
func TestCore_attemptNeverEnds_failedInTime(t *testing.T) {
	c, f := startTestCore(t)
	deadline := time.Now().Add(300 * time.Millisecond)
	first := f.submit(c, deadline)
	c.AttemptStarted(first.ID)
	if a := <-f.answers; a.Verdict != Failed || !a.DeadlinePassed || time.Now().Before(deadline) {
		t.Errorf("answered %+v, %v from the deadline", a, time.Since(deadline))
	}
	c.AttemptFinished(first.ID, AttemptResult{Outcome: scheduler.Served})
	if f.submitAndFail(c); len(f.answers) > 0 {
		t.Error("answered twice")
	}
}

// submitAndFail submits a request, ends its attempt and waits for the answer.
func (f *fakePeers) submitAndFail(c *Core) {
	c.AttemptFinished(f.submit(c, time.Now().Add(time.Second)).ID, AttemptResult{Outcome: scheduler.Errored})
	<-f.answers
}

// The request of a client that has left gets no answer, and its attempt is cancelled.
func TestCore_clientLeaves_attemptCancelled(t *testing.T) {
	c, f := startTestCore(t)
	first := f.submit(c, time.Now().Add(5*time.Second))
	c.ClientLeft(first.ID.Request)
	if id := <-f.cancelled; id != first.ID {
		t.Errorf("cancelled %v, want %v", id, first.ID)
	}
	c.AttemptFinished(first.ID, AttemptResult{Outcome: scheduler.Cancelled})
	if f.submitAndFail(c); len(f.answers) > 0 || c.OpenRequests() != 0 {
		t.Errorf("%d answers, %d open", len(f.answers), c.OpenRequests())
	}
}

// A failure is counted as unsent where no attempt of the request was sent: none was made, or each ended before its last byte.
func TestCore_failedUnsent(t *testing.T) {
	for _, row := range []struct {
		outcomes []scheduler.Outcome
		inFlight int
		want     int
	}{
		{want: 1},
		{outcomes: []scheduler.Outcome{scheduler.NoConnect, scheduler.NeverSent}, want: 1},
		{outcomes: []scheduler.Outcome{scheduler.NoConnect, scheduler.Reset}},
		{outcomes: []scheduler.Outcome{scheduler.Full}},
		{inFlight: 1},
	} {
		f := &fakePeers{make(chan Attempt, 16), make(chan AttemptID, 16), make(chan Answer, 16)}
		c := NewCore(scheduler.New(scheduler.Settings{}, 1), NewClock(), slog.New(slog.NewTextHandler(io.Discard, nil)))
		c.SetEndpoints(f, func() {})
		req := &openRequest{Request: Request{Client: f}}
		c.requests[1] = req
		for i, o := range row.outcomes {
			req.attempts, req.inFlight = append(req.attempts, attempt{inFlight: true}), 1
			c.finishAttempt(AttemptID{1, i}, AttemptResult{Outcome: o})
		}
		req.inFlight = row.inFlight
		if c.answerRequest(req, Answer{Verdict: Failed}); c.counters.Metrics().FailedUnsent != row.want {
			t.Errorf("%v, %d in flight: counted %d times", row.outcomes, row.inFlight, c.counters.Metrics().FailedUnsent)
		}
	}
}

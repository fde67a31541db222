package routing

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"brassdale/scheduler"
)

// fakePeers is both the endpoint pool and the client of a Core. It passes attempts, cancellations and answers to the test.
type fakePeers struct {
	sent      chan Attempt
	cancelled chan AttemptID
	answers   chan Answer
}

func (f *fakePeers) Update(Endpoint)                             {}
func (f *fakePeers) Send(attempt Attempt)                        { f.sent <- attempt }
func (f *fakePeers) Cancel(_ scheduler.WorkerID, id AttemptID)   { f.cancelled <- id }
func (f *fakePeers) CloseIdle(scheduler.WorkerID, time.Duration) {}
func (f *fakePeers) Probe(scheduler.WorkerID)                    {}
func (f *fakePeers) SetDetached(scheduler.WorkerID, time.Time)   {}
func (f *fakePeers) AttemptStarted(int)                          {}
func (f *fakePeers) AttemptProgressed(int, float64)              {}
func (f *fakePeers) Answered(answer Answer)                      { f.answers <- answer }

// submit submits a request and returns its first attempt.
func (f *fakePeers) submit(core *Core, deadline time.Time) Attempt {
	core.Submit(Request{Deadline: deadline, Slots: 1, Client: f, Limits: RequestLimits{MaxAttempts: 4, AnswerSlack: 8 * time.Millisecond}})
	return <-f.sent
}

// startTestCore runs a Core that knows the worker a, until the end of the test.
func startTestCore(t *testing.T) (*Core, *fakePeers) {
	t.Helper()
	settings := scheduler.Settings{Dispatchers: 1, MayCancel: true, MaxAttempts: 4, ReportsStart: true, AnswerSlack: 8 * time.Millisecond,
		Classes: []scheduler.Class{{LatencyObjective: time.Second, Deadline: 5 * time.Second, Idempotency: scheduler.NonIdempotent, MachineKind: -1}}}
	core := NewCore(scheduler.New(settings, 1), NewClock(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	peers := &fakePeers{make(chan Attempt, 16), make(chan AttemptID, 16), make(chan Answer, 16)}
	core.SetEndpoints(peers, func() {})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { core.Run(ctx); close(done) }()
	t.Cleanup(func() { stop(); <-done })
	core.UpdateEndpoints(scheduler.EndpointsUpdated{ListKind: scheduler.ListCached, Workers: []scheduler.WorkerInfo{{ID: "a", Weight: 1}}})
	return core, peers
}

// TestCore_duplicateOutcomes_oneAnswer checks that an attempt ends once and a request is answered once, regardless of how often endpoints
// report an outcome.
func TestCore_duplicateOutcomes_oneAnswer(t *testing.T) {
	core, peers := startTestCore(t)
	first := peers.submit(core, time.Now().Add(5*time.Second))
	for range 2 {
		core.AttemptFinished(first.ID, AttemptResult{Outcome: scheduler.Served, Result: []byte("r")})
		core.AttemptFinished(first.ID, AttemptResult{Outcome: scheduler.Reset})
	}
	core.AttemptFinished(AttemptID{first.ID.Request, 7}, AttemptResult{})
	core.AttemptStarted(first.ID)
	if answer := <-peers.answers; answer.Verdict != Served || string(answer.Result) != "r" {
		t.Errorf("answer %+v, want Served with result r", answer)
	}
	// Events posted before a further request have been handled when that request is answered.
	next := peers.submit(core, time.Now().Add(5*time.Second))
	core.AttemptFinished(next.ID, AttemptResult{Outcome: scheduler.Errored})
	if answer := <-peers.answers; answer.Verdict != Failed || answer.DeadlinePassed || len(peers.answers) > 0 || next.ID.Request == first.ID.Request {
		t.Errorf("answer %+v and %d more, want only Failed without DeadlinePassed, for a new request", answer, len(peers.answers))
	}
	if core.OpenRequests() != 0 {
		t.Errorf("%d open requests, want none", core.OpenRequests())
	}
}

// TestCore_attemptNeverEnds_failedInTime checks that a request is failed soon after its deadline, and only once, if its endpoint reports
// no outcome until then.
func TestCore_attemptNeverEnds_failedInTime(t *testing.T) {
	core, peers := startTestCore(t)
	deadline := time.Now().Add(300 * time.Millisecond)
	first := peers.submit(core, deadline)
	core.AttemptStarted(first.ID)
	if answer := <-peers.answers; answer.Verdict != Failed || !answer.DeadlinePassed || time.Now().Before(deadline) {
		t.Errorf("answer %+v, %v after the deadline, want Failed with DeadlinePassed, not before the deadline", answer, time.Since(deadline))
	}
	core.AttemptFinished(first.ID, AttemptResult{Outcome: scheduler.Served})
	if peers.submitAndFail(core); len(peers.answers) > 0 {
		t.Error("answered twice")
	}
}

// submitAndFail submits a request, ends its attempt and waits for the answer.
func (f *fakePeers) submitAndFail(core *Core) {
	core.AttemptFinished(f.submit(core, time.Now().Add(time.Second)).ID, AttemptResult{Outcome: scheduler.Errored})
	<-f.answers
}

// TestCore_clientLeaves_attemptCancelled checks that the request of a client that has disconnected gets no answer, and that its attempt
// is cancelled.
func TestCore_clientLeaves_attemptCancelled(t *testing.T) {
	core, peers := startTestCore(t)
	first := peers.submit(core, time.Now().Add(5*time.Second))
	core.ClientLeft(first.ID.Request)
	if id := <-peers.cancelled; id != first.ID {
		t.Errorf("cancelled %v, want %v", id, first.ID)
	}
	core.AttemptFinished(first.ID, AttemptResult{Outcome: scheduler.Cancelled})
	if peers.submitAndFail(core); len(peers.answers) > 0 || core.OpenRequests() != 0 {
		t.Errorf("%d answers, %d open requests, want none", len(peers.answers), core.OpenRequests())
	}
}

// TestCore_failedUnsent checks that a failure is counted as unsent if no attempt of the request was sent: none was made, or each ended
// before its last byte was sent.
func TestCore_failedUnsent(t *testing.T) {
	for _, test := range []struct {
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
		peers := &fakePeers{make(chan Attempt, 16), make(chan AttemptID, 16), make(chan Answer, 16)}
		core := NewCore(scheduler.New(scheduler.Settings{}, 1), NewClock(), slog.New(slog.NewTextHandler(io.Discard, nil)))
		core.SetEndpoints(peers, func() {})
		request := &openRequest{Request: Request{Client: peers}}
		core.requests[1] = request
		for i, outcome := range test.outcomes {
			request.attempts, request.inFlight = append(request.attempts, attempt{inFlight: true}), 1
			core.finishAttempt(AttemptID{1, i}, AttemptResult{Outcome: outcome})
		}
		request.inFlight = test.inFlight
		if core.answerRequest(request, Answer{Verdict: Failed}); core.counters.Metrics().FailedUnsent != test.want {
			t.Errorf("attempts %v, %d in flight: counted %d times as unsent", test.outcomes, test.inFlight, core.counters.Metrics().FailedUnsent)
		}
	}
}

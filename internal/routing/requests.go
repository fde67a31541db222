package routing

import (
	"cmp"
	"container/heap"
	"context"
	"fmt"
	"log/slog"
	"time"

	"brassdale/scheduler"
)

// The Core fails a request without an answer when its deadline, its answer slack and overdueMargin have passed. Until then the
// scheduler may still answer, because its own timer may be late on a busy machine.
const overdueMargin = 20 * time.Millisecond

// openRequest is a request in the table of the Core, from its submission until it is answered and no attempt is in flight.
type openRequest struct {
	Request
	expiresAt   scheduler.Instant // the deadline
	arrivedAt   scheduler.Instant // set only with a zone router
	settled     bool              // the final answer was given, or the client left: no answer is needed
	timedOut    bool              // an attempt ended as TimedOut
	attemptSent bool              // an attempt was sent, or may have been
	attempts    []attempt         // by number
	inFlight    int               // attempts without an outcome
}

// attempt is the state of one attempt of an open request.
type attempt struct {
	endpoint           scheduler.WorkerID
	inFlight           bool
	outcome            scheduler.Outcome // valid while it is not in flight
	sentAt             scheduler.Instant // when it was handed to the endpoint pool
	startedAt          scheduler.Instant // when its job was reported to have started; 0 before
	unansweredReported bool              // AttemptUnanswered was called for it
}

// stateName returns the name of the outcome of an attempt for the log, "open" while it is in flight.
func (a *attempt) stateName() string {
	if a.inFlight {
		return "open"
	}
	return a.outcome.String()
}

// acceptRequest adds a request to the table and passes it to the scheduler, unless the zone router rejects it.
func (c *Core) acceptRequest(id scheduler.RequestID, submitted Request) {
	request := &openRequest{Request: submitted, expiresAt: c.clock.At(submitted.Deadline)}
	c.requests[id] = request
	heap.Push(&c.timers, timer{at: request.expiresAt + request.Limits.AnswerSlack + overdueMargin, overdueRequest: id})
	zones, ok := c.routeRequest(id, request)
	if !ok {
		return
	}
	c.handleEvent(scheduler.RequestArrived{
		ID: id, Class: request.Class, Slots: request.Slots, EstimatedWork: request.EstimatedWork,
		AffinityKey: request.AffinityKey, Deadline: request.expiresAt, AllowedZones: zones,
		IdempotencyKey: request.IdempotencyKey,
	})
}

// abandonRequest closes a request whose client has left. The scheduler may cancel its attempts.
func (c *Core) abandonRequest(id scheduler.RequestID) {
	request := c.requests[id]
	if request == nil || request.settled {
		return
	}
	request.settled = true
	c.counters.countClientLeft()
	c.handleEvent(scheduler.ClientLeft{ID: id})
	c.removeIfClosed(id, request)
}

// findAttempt returns an attempt that is in flight and its request; nil if the attempt has ended or never existed.
func (c *Core) findAttempt(id AttemptID) (*openRequest, *attempt) {
	request := c.requests[id.Request]
	if request == nil || id.Number < 0 || id.Number >= len(request.attempts) || !request.attempts[id.Number].inFlight {
		return nil, nil
	}
	return request, &request.attempts[id.Number]
}

// handleAttemptWaits notifies the scheduler that an attempt has begun or ended its wait for a connection of this process.
func (c *Core) handleAttemptWaits(id AttemptID, waits bool) {
	if _, waiting := c.findAttempt(id); waiting != nil {
		c.handleEvent(scheduler.AttemptWaits{ID: id.Request, Attempt: id.Number, Worker: waiting.endpoint, Waits: waits})
	}
}

// handleAttemptStarted records that the job of an attempt has started at its endpoint, and notifies the client and the scheduler.
func (c *Core) handleAttemptStarted(id AttemptID) {
	request, started := c.findAttempt(id)
	if started == nil {
		return
	}
	started.startedAt = c.now
	if c.zoneRouter != nil {
		c.zoneRouter.AttemptStarted(c.now, started.endpoint)
	}
	if !request.settled {
		request.Client.AttemptStarted(id.Number)
	}
	c.handleEvent(scheduler.AttemptStarted{ID: id.Request, Attempt: id.Number, Worker: started.endpoint})
}

// handleAttemptProgressed passes the progress of an attempt's job to the client and the scheduler.
func (c *Core) handleAttemptProgressed(id AttemptID, share float64) {
	request, running := c.findAttempt(id)
	if running == nil {
		return
	}
	if !request.settled {
		request.Client.AttemptProgressed(id.Number, share)
	}
	c.handleEvent(scheduler.AttemptProgressed{ID: id.Request, Attempt: id.Number, Worker: running.endpoint, Share: share})
}

// finishAttempt ends an attempt and answers its request if the attempt was served. A second outcome of the same attempt is ignored.
func (c *Core) finishAttempt(id AttemptID, result AttemptResult) {
	request, ended := c.findAttempt(id)
	if ended == nil {
		return
	}
	outcome := result.Outcome
	ended.inFlight, ended.outcome = false, outcome
	request.inFlight--
	request.timedOut = request.timedOut || outcome == scheduler.TimedOut
	request.attemptSent = request.attemptSent || outcome != scheduler.NeverSent && outcome != scheduler.NoConnect
	c.reportAttemptEnded(request, ended, outcome)
	if outcome == scheduler.Served {
		if observer := c.observer.Load(); observer != nil {
			(*observer).JobServed(ended.endpoint, request.Class, c.now-cmp.Or(ended.startedAt, ended.sentAt))
		}
		c.answerRequest(request, Answer{Verdict: Served, Result: result.Result})
	}
	c.handleEvent(scheduler.AttemptFinished{
		ID: id.Request, Attempt: id.Number, Worker: ended.endpoint, Outcome: outcome,
		Final: request.settled, Report: result.Report, ConnectionIdle: result.ConnectionIdle,
	})
	c.removeIfClosed(id.Request, request)
}

// failOverdue fails a request that the scheduler has not answered in time and that would otherwise stay open for ever. This happens
// only if the scheduler is at fault or this process was paused.
func (c *Core) failOverdue(id scheduler.RequestID) {
	request := c.requests[id]
	if request == nil || request.settled {
		return
	}
	c.log.Error("request overdue, failed", "request", id, "id", request.LogName)
	c.answerRequest(request, Answer{Verdict: Failed, reason: reasonOverdue})
	c.handleEvent(scheduler.ClientLeft{ID: id}) // the request needs no answer any more
	c.removeIfClosed(id, request)
}

// closeRequest gives the final answer to an open request, and removes the request if no attempt is in flight.
func (c *Core) closeRequest(id scheduler.RequestID, answer Answer) {
	if request := c.requests[id]; request != nil {
		c.answerRequest(request, answer)
		c.removeIfClosed(id, request)
	}
}

// answerRequest gives the final answer to a request. A second answer is dropped.
func (c *Core) answerRequest(request *openRequest, answer Answer) {
	if request.settled {
		return
	}
	answer.DeadlinePassed = answer.Verdict != Served && (request.timedOut || c.now >= request.expiresAt-request.Limits.AnswerSlack)
	request.settled = true
	c.counters.countAnswered(request.ClassName, answer.Verdict, request.attemptSent || request.inFlight > 0)
	c.logAnswer(request, answer)
	request.Client.Answered(answer)
}

// logAnswer logs at debug level how and why a request was answered, and the state of each of its attempts at that time.
func (c *Core) logAnswer(request *openRequest, answer Answer) {
	if !c.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	var attempts []string
	for i := range request.attempts {
		attempts = append(attempts, fmt.Sprintf("%s %s", request.attempts[i].endpoint, request.attempts[i].stateName()))
	}
	c.log.Debug("request answered", "id", request.LogName, "verdict", answer.Verdict.String(), "reason", answer.reason,
		"deadline_passed", answer.DeadlinePassed, "attempts", attempts)
}

// removeIfClosed removes a request from the table if its client needs no answer any more and no attempt is in flight.
func (c *Core) removeIfClosed(id scheduler.RequestID, request *openRequest) {
	if request.settled && request.inFlight == 0 {
		delete(c.requests, id)
	}
}

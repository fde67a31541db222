package emulator

import (
	"fmt"
	"time"

	"brassdale/scheduler"
)

// Breach is a violation of a rule.
type Breach struct {
	Rule    string
	Request uint64
	Worker  scheduler.WorkerID // empty if the breach concerns no worker
	At      time.Duration      // since the start
	Why     string
}

// String returns the violation in words.
func (b Breach) String() string {
	at := ""
	if b.Worker != "" {
		at = " at box " + string(b.Worker)
	}
	return fmt.Sprintf("%s: request %d%s, %v: %s", b.Rule, b.Request, at, b.At, b.Why)
}

// The rules.
const (
	RuleAnswer    = "one final answer before give-up"
	RuleRepeat    = "repeats only as the class allows"
	RuleDrain     = "nothing new to a draining box after the grace"
	RuleSlowStart = "no cold box pushed over"
)

// auditor checks the rules over the events of a run. It sees the events only, not a policy's state.
type auditor struct {
	scenario      *Scenario
	clockStart    time.Duration
	breaches      []Breach
	requests      map[uint64]*auditedRequest
	drainingSince map[drainKey]time.Duration // when the dispatcher was notified that the worker drains or is gone
}

// drainKey is a dispatcher and a worker that drains.
type drainKey struct {
	dispatcher int
	worker     scheduler.WorkerID
}

// auditedRequest is a request's history.
type auditedRequest struct {
	answers  int
	class    *Class // nil for the scenario's only class
	attempts []auditedAttempt
}

// auditedAttempt is an attempt's history.
type auditedAttempt struct {
	sentAt        time.Duration
	cell          int
	zone          int
	worker        scheduler.WorkerID
	inFlight      bool
	neverExecuted bool // its outcome proves that it did not run
}

// newAuditor returns an auditor of the scenario's rules. Breaches are reported with their time since clockStart.
func newAuditor(scenario *Scenario, clockStart time.Duration) *auditor {
	return &auditor{scenario: scenario, clockStart: clockStart, requests: map[uint64]*auditedRequest{}, drainingSince: map[drainKey]time.Duration{}}
}

// addBreach records a violation. worker is empty if the breach concerns no worker.
func (a *auditor) addBreach(rule string, now time.Duration, request uint64, worker scheduler.WorkerID, format string, args ...any) {
	a.breaches = append(a.breaches, Breach{rule, request, worker, now - a.clockStart, fmt.Sprintf(format, args...)})
}

// historyOf returns the history of a request. It adds an empty history if there is none.
func (a *auditor) historyOf(id uint64) *auditedRequest {
	audited := a.requests[id]
	if audited == nil {
		audited = &auditedRequest{}
		a.requests[id] = audited
	}
	return audited
}

// requestArrived sets a request's class.
func (a *auditor) requestArrived(request uint64, class *Class) { a.historyOf(request).class = class }

// classOf returns a request's class, or the scenario's only class.
func (a *auditor) classOf(audited *auditedRequest) Class {
	if audited.class != nil && len(a.scenario.Traffic.Classes) > 0 {
		return *audited.class
	}
	return a.scenario.Traffic.effectiveClasses()[0]
}

// answered checks a final answer. It must be the only one. A client may assume that a retry after a rejection is harmless. So a
// rejection is permitted only if no attempt may have executed or if the class makes repeats harmless.
func (a *auditor) answered(now time.Duration, request uint64, rejected bool) {
	audited := a.historyOf(request)
	if class := a.classOf(audited); rejected && !class.repeatHarmless() {
		for _, earlier := range audited.attempts {
			if !earlier.neverExecuted {
				a.addBreach(RuleRepeat, now, request, earlier.worker, "refused though it may have run there")
			}
		}
	}
	if audited.answers++; audited.answers > 1 {
		a.addBreach(RuleAnswer, now, request, "", "answer number %d", audited.answers)
	}
}

// repeatHarmless reports whether a job of the class may run twice at any two workers without further effect.
func (c *Class) repeatHarmless() bool {
	return c.Idempotency == scheduler.Idempotent || c.Idempotency == scheduler.IdempotentWithKey && c.DeduplicationScope == scheduler.ScopeAll
}

// clientGaveUp checks, once the client's deadline and the slack have passed, that the request was answered.
func (a *auditor) clientGaveUp(now time.Duration, request uint64) {
	if a.historyOf(request).answers == 0 {
		a.addBreach(RuleAnswer, now, request, "", "none came")
	}
}

// attemptSent checks an attempt when its first byte is sent: against the request's earlier attempts, and against the drain of
// its worker.
func (a *auditor) attemptSent(now time.Duration, dispatcher int, request uint64, worker scheduler.WorkerID, cell, zone int) {
	audited := a.historyOf(request)
	if len(audited.attempts) >= a.scenario.Rules.MaxAttempts {
		a.addBreach(RuleRepeat, now, request, worker, "attempt number %d", len(audited.attempts)+1)
	}
	class := a.classOf(audited)
	keyed := class.Idempotency == scheduler.IdempotentWithKey
	for _, earlier := range audited.attempts {
		outsideScope := class.DeduplicationScope == scheduler.ScopeCell && earlier.cell != cell || class.DeduplicationScope == scheduler.ScopeZone && earlier.zone != zone
		switch {
		case earlier.neverExecuted:
		case earlier.inFlight && !a.scenario.Rules.MayHedge:
			a.addBreach(RuleRepeat, now, request, worker, "a copy while one is out at %s", earlier.worker)
		case class.Idempotency == scheduler.NonIdempotent:
			a.addBreach(RuleRepeat, now, request, worker, "it may have run at %s", earlier.worker)
		case keyed && outsideScope:
			a.addBreach(RuleRepeat, now, request, worker, "it may have run at %s of another bay or zone", earlier.worker)
		case keyed && now >= earlier.sentAt+class.DeduplicationWindow:
			a.addBreach(RuleRepeat, now, request, worker, "it may have run at %s, and the window is over", earlier.worker)
		}
	}
	audited.attempts = append(audited.attempts, auditedAttempt{sentAt: now, cell: cell, zone: zone, worker: worker, inFlight: true})
	if notifiedAt, ok := a.drainingSince[drainKey{dispatcher, worker}]; ok && now > notifiedAt+a.scenario.Rules.DrainGrace {
		a.addBreach(RuleDrain, now, request, worker, "%v after it was told", now-notifiedAt)
	}
}

// attemptEnded records an attempt's outcome.
func (a *auditor) attemptEnded(request uint64, index int, outcome scheduler.Outcome) {
	if audited := a.historyOf(request); index < len(audited.attempts) {
		attempt := &audited.attempts[index]
		attempt.inFlight = false
		switch outcome {
		case scheduler.NeverSent, scheduler.NoConnect, scheduler.Full, scheduler.InvalidRequest:
			attempt.neverExecuted = true
		default:
			attempt.neverExecuted = false
		}
	}
}

// endpointNotified records that a dispatcher was notified of a worker's state. The drain's grace period counts from the first
// notification that the worker is not ready.
func (a *auditor) endpointNotified(now time.Duration, dispatcher int, worker scheduler.WorkerID, state scheduler.WorkerState) {
	key := drainKey{dispatcher, worker}
	if state == scheduler.Ready {
		delete(a.drainingSince, key)
	} else if _, ok := a.drainingSince[key]; !ok {
		a.drainingSince[key] = now
	}
}

// slowStartLoad checks the load of a warming worker: the work that it received within the overload window, as a multiple of the work
// that it can do.
func (a *auditor) slowStartLoad(now time.Duration, worker scheduler.WorkerID, request uint64, load, maximum float64) {
	if load > maximum {
		a.addBreach(RuleSlowStart, now, request, worker, "sent %.2f times what it can do", load)
	}
}

// forget drops the history of a request that has ended.
func (a *auditor) forget(request uint64) { delete(a.requests, request) }

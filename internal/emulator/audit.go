package emulator

import (
	"fmt"
	"time"

	"brassdale/scheduler"
)

// Breach is a rule that was broken.
type Breach struct {
	Rule    string
	Request uint64
	Worker  scheduler.WorkerID // where one was concerned
	At      time.Duration      // since the start
	Why     string
}

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

// auditor holds the rules over all that happens. It knows nothing of how anybody decides.
type auditor struct {
	scenario      *Scenario
	clockStart    time.Duration
	breaches      []Breach
	requests      map[uint64]*auditedRequest
	drainingSince map[drainKey]time.Duration // when a dispatcher was told
}

type drainKey struct {
	dispatcher int
	worker     scheduler.WorkerID
}

// auditedRequest is what was done for a request.
type auditedRequest struct {
	answers  int
	class    *Class // nil for the scenario's only one
	attempts []auditedAttempt
}

type auditedAttempt struct {
	sentAt        time.Duration
	cell          int
	zone          int
	worker        scheduler.WorkerID
	inFlight      bool
	neverExecuted bool // it is known not to have run
}

func newAuditor(scenario *Scenario, clockStart time.Duration) *auditor {
	return &auditor{scenario: scenario, clockStart: clockStart, requests: map[uint64]*auditedRequest{}, drainingSince: map[drainKey]time.Duration{}}
}

func (a *auditor) addBreach(rule string, now time.Duration, request uint64, worker scheduler.WorkerID, format string, args ...any) {
	a.breaches = append(a.breaches, Breach{rule, request, worker, now - a.clockStart, fmt.Sprintf(format, args...)})
}

func (a *auditor) auditOf(id uint64) *auditedRequest {
	audited := a.requests[id]
	if audited == nil {
		audited = &auditedRequest{}
		a.requests[id] = audited
	}
	return audited
}

// requestArrived takes a request of a class.
func (a *auditor) requestArrived(request uint64, class *Class) { a.auditOf(request).class = class }

// classOf are those of a request's class.
func (a *auditor) classOf(audited *auditedRequest) Class {
	if audited.class != nil && len(a.scenario.Traffic.Classes) > 0 {
		return *audited.class
	}
	return a.scenario.Traffic.effectiveClasses()[0]
}

// answered takes a final answer. A refusal says that a further try is harmless, which it is not where one may have run.
func (a *auditor) answered(now time.Duration, request uint64, rejected bool) {
	audited := a.auditOf(request)
	if class := a.classOf(audited); rejected && class.Effect != scheduler.Idempotent && !(class.Effect == scheduler.IdempotentWithKey && class.Scope == scheduler.ScopeAll) {
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

// clientGaveUp tells that a client waits no longer.
func (a *auditor) clientGaveUp(now time.Duration, request uint64) {
	if a.auditOf(request).answers == 0 {
		a.addBreach(RuleAnswer, now, request, "", "none came")
	}
}

// attemptSent takes an attempt, when its first byte leaves.
func (a *auditor) attemptSent(now time.Duration, dispatcher int, request uint64, worker scheduler.WorkerID, bay, zone int) {
	audited := a.auditOf(request)
	if len(audited.attempts) >= a.scenario.Rules.MaxAttempts {
		a.addBreach(RuleRepeat, now, request, worker, "attempt number %d", len(audited.attempts)+1)
	}
	for _, earlier := range audited.attempts {
		switch class := a.classOf(audited); {
		case earlier.neverExecuted:
		case earlier.inFlight && !a.scenario.Rules.MayCopy:
			a.addBreach(RuleRepeat, now, request, worker, "a copy while one is out at %s", earlier.worker)
		case class.Effect == scheduler.NonIdempotent:
			a.addBreach(RuleRepeat, now, request, worker, "it may have run at %s", earlier.worker)
		case class.Effect == scheduler.IdempotentWithKey && (class.Scope == scheduler.ScopeCell && earlier.cell != bay || class.Scope == scheduler.ScopeZone && earlier.zone != zone):
			a.addBreach(RuleRepeat, now, request, worker, "it may have run at %s of another bay or zone", earlier.worker)
		case class.Effect == scheduler.IdempotentWithKey && now >= earlier.sentAt+class.Window:
			a.addBreach(RuleRepeat, now, request, worker, "it may have run at %s, and the window is over", earlier.worker)
		}
	}
	audited.attempts = append(audited.attempts, auditedAttempt{sentAt: now, cell: bay, zone: zone, worker: worker, inFlight: true})
	if notifiedAt, is := a.drainingSince[(drainKey{dispatcher, worker})]; is && now > notifiedAt+a.scenario.Rules.DrainGrace {
		a.addBreach(RuleDrain, now, request, worker, "%v after it was told", now-notifiedAt)
	}
}

// attemptEnded takes the outcome of an attempt.
func (a *auditor) attemptEnded(request uint64, index int, outcome scheduler.Outcome) {
	if audited := a.auditOf(request); index < len(audited.attempts) {
		audited.attempts[index].inFlight = false
		audited.attempts[index].neverExecuted = outcome == scheduler.NeverSent || outcome == scheduler.NoConnect || outcome == scheduler.Full || outcome == scheduler.InvalidRequest
	}
}

// endpointNotified notes what a dispatcher was endpointNotified of a box.
func (a *auditor) endpointNotified(now time.Duration, dispatcher int, worker scheduler.WorkerID, state scheduler.WorkerState) {
	key := drainKey{dispatcher, worker}
	if _, is := a.drainingSince[key]; state == scheduler.Ready {
		delete(a.drainingSince, key)
	} else if !is {
		a.drainingSince[key] = now
	}
}

// slowStartLoad takes how much a cold box was sent lately, as a multiple of what it can do.
func (a *auditor) slowStartLoad(now time.Duration, worker scheduler.WorkerID, request uint64, load, maximum float64) {
	if load > maximum {
		a.addBreach(RuleSlowStart, now, request, worker, "sent %.2f times what it can do", load)
	}
}

// forget drops what is known of a request that is over.
func (a *auditor) forget(request uint64) { delete(a.requests, request) }

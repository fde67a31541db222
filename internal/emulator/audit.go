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
	s       *Scenario
	base    time.Duration
	breach  []Breach
	tries   map[uint64]*tried
	drained map[drainKey]time.Duration // when a dispatcher was told
}

type drainKey struct {
	dispatcher int
	worker     scheduler.WorkerID
}

// tried is what was done for a request.
type tried struct {
	answers int
	class   *Class // nil for the scenario's only one
	sends   []sending
}

type sending struct {
	at       time.Duration
	bay      int
	zone     int
	worker   scheduler.WorkerID
	inFlight bool
	never    bool // it is known not to have run
}

func newAuditor(s *Scenario, base time.Duration) *auditor {
	return &auditor{s: s, base: base, tries: map[uint64]*tried{}, drained: map[drainKey]time.Duration{}}
}

func (a *auditor) addBreach(rule string, now time.Duration, request uint64, worker scheduler.WorkerID, format string, args ...any) {
	a.breach = append(a.breach, Breach{rule, request, worker, now - a.base, fmt.Sprintf(format, args...)})
}

func (a *auditor) of(request uint64) *tried {
	t := a.tries[request]
	if t == nil {
		t = &tried{}
		a.tries[request] = t
	}
	return t
}

// requested takes a request of a class.
func (a *auditor) requested(request uint64, c *Class) { a.of(request).class = c }

// rules are those of a request's class.
func (a *auditor) rules(t *tried) Class {
	if t.class != nil && len(a.s.Traffic.Classes) > 0 {
		return *t.class
	}
	return a.s.Traffic.classes()[0]
}

// answered takes a final answer. A refusal says that a further try is harmless, which it is not where one may have run.
func (a *auditor) answered(now time.Duration, request uint64, refused bool) {
	t := a.of(request)
	if c := a.rules(t); refused && c.Effect != scheduler.Idempotent && !(c.Effect == scheduler.IdempotentWithKey && c.Scope == scheduler.ScopeAll) {
		for _, was := range t.sends {
			if !was.never {
				a.addBreach(RuleRepeat, now, request, was.worker, "refused though it may have run there")
			}
		}
	}
	if t.answers++; t.answers > 1 {
		a.addBreach(RuleAnswer, now, request, "", "answer number %d", t.answers)
	}
}

// gaveUp tells that a client waits no longer.
func (a *auditor) gaveUp(now time.Duration, request uint64) {
	if a.of(request).answers == 0 {
		a.addBreach(RuleAnswer, now, request, "", "none came")
	}
}

// sent takes an attempt, when its first byte leaves.
func (a *auditor) sent(now time.Duration, dispatcher int, request uint64, worker scheduler.WorkerID, bay, zone int) {
	t := a.of(request)
	if len(t.sends) >= a.s.Rules.MaxAttempts {
		a.addBreach(RuleRepeat, now, request, worker, "attempt number %d", len(t.sends)+1)
	}
	for _, was := range t.sends {
		switch tr := a.rules(t); {
		case was.never:
		case was.inFlight && !a.s.Rules.MayCopy:
			a.addBreach(RuleRepeat, now, request, worker, "a copy while one is out at %s", was.worker)
		case tr.Effect == scheduler.NonIdempotent:
			a.addBreach(RuleRepeat, now, request, worker, "it may have run at %s", was.worker)
		case tr.Effect == scheduler.IdempotentWithKey && (tr.Scope == scheduler.ScopeCell && was.bay != bay || tr.Scope == scheduler.ScopeZone && was.zone != zone):
			a.addBreach(RuleRepeat, now, request, worker, "it may have run at %s of another bay or zone", was.worker)
		case tr.Effect == scheduler.IdempotentWithKey && now >= was.at+tr.Window:
			a.addBreach(RuleRepeat, now, request, worker, "it may have run at %s, and the window is over", was.worker)
		}
	}
	t.sends = append(t.sends, sending{at: now, bay: bay, zone: zone, worker: worker, inFlight: true})
	if notified, is := a.drained[(drainKey{dispatcher, worker})]; is && now > notified+a.s.Rules.DrainGrace {
		a.addBreach(RuleDrain, now, request, worker, "%v after it was told", now-notified)
	}
}

// ended takes the outcome of an attempt.
func (a *auditor) ended(request uint64, attempt int, o scheduler.Outcome) {
	if t := a.of(request); attempt < len(t.sends) {
		t.sends[attempt].inFlight = false
		t.sends[attempt].never = o == scheduler.NeverSent || o == scheduler.NoConnect || o == scheduler.Full || o == scheduler.InvalidRequest
	}
}

// notified notes what a dispatcher was notified of a box.
func (a *auditor) notified(now time.Duration, dispatcher int, worker scheduler.WorkerID, s scheduler.WorkerState) {
	key := drainKey{dispatcher, worker}
	if _, is := a.drained[key]; s == scheduler.Ready {
		delete(a.drained, key)
	} else if !is {
		a.drained[key] = now
	}
}

// pushed takes how much a cold box was sent lately, as a multiple of what it can do.
func (a *auditor) pushed(now time.Duration, worker scheduler.WorkerID, request uint64, load, maximum float64) {
	if load > maximum {
		a.addBreach(RuleSlowStart, now, request, worker, "sent %.2f times what it can do", load)
	}
}

// forget drops what is known of a request that is over.
func (a *auditor) forget(request uint64) { delete(a.tries, request) }

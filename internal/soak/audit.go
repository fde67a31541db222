package soak

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Breach is a rule that was broken, with the request or the worker concerned.
type Breach struct {
	Rule    string
	Request string // its id; empty where none is concerned
	Worker  int    // -1 where none is
	At      time.Time
	Detail  string
}

// The rules.
const (
	RuleLost      = "lost"      // one final answer in time, and no attempt for a client that has gone
	RuleDuplicate = "duplicate" // a repeat only as the class allows
	RuleRejected  = "refused"   // a refusal promises that nothing ran
	RuleDrain     = "drain"     // nothing new to a draining worker past the grace
	RuleSlowStart = "failback"  // no cold worker gets more than it can stand
	RuleDeadline  = "deadline"  // what a worker is told is no more than the client has left
	RuleReady     = "ready"     // a process that starts is ready in time
	RuleCrash     = "crash"     // and does not end by itself
)

// RuleNames lists them in the order of tables.
var RuleNames = []string{RuleLost, RuleDuplicate, RuleRejected, RuleDrain, RuleSlowStart, RuleDeadline, RuleReady, RuleCrash}

const (
	answerSlack           = 500 * time.Millisecond // an answer may be so late and only earns nothing
	clientLeftSlack       = 100 * time.Millisecond
	deadlineSlack         = 150 * time.Millisecond
	socketSlack           = 50 * time.Millisecond // of every time limit
	notificationDeadline  = 6 * time.Second
	readyWithin           = 10 * time.Second
	pollRegistration      = "epoll_ctl"
	shutdownRequestWindow = 700 * time.Millisecond // behind SIGTERM: what came sooner may be found unanswered by SIGKILL
)

// auditor holds the rules over a record.
type auditor struct {
	plan     Plan
	record   *Record
	attempts map[string][]*Attempt // by request, in order
	breaches []Breach
}

// Audit gives all breaches in a record.
func Audit(p Plan, r *Record) []Breach {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := &auditor{plan: p, record: r, attempts: map[string][]*Attempt{}}
	slices.SortFunc(r.Attempts, func(x, y *Attempt) int { return x.FirstByteAt.Compare(y.FirstByteAt) })
	for _, t := range r.Attempts {
		a.attempts[t.ID] = append(a.attempts[t.ID], t)
	}
	for _, q := range r.Requests {
		a.checkAnswered(q)
		a.checkRepeats(q)
		a.checkRejections(q)
		a.checkClientLeft(q)
		a.checkDeadlines(q)
	}
	a.checkDrains()
	a.checkSlowStart()
	a.checkProcessRuns()
	return a.breaches
}

func (a *auditor) addBreach(rule, request string, worker int, at time.Time, format string, args ...any) {
	a.breaches = append(a.breaches, Breach{rule, request, worker, at, fmt.Sprintf(format, args...)})
}

// processRunOf finds the process that a request went to.
func (a *auditor) processRunOf(q *Request) *ProcessRun {
	for _, l := range a.record.ProcessRuns {
		if l.Dispatcher == q.Dispatcher && l.Number == q.ProcessRun {
			return l
		}
	}
	return nil
}

// checkAnswered holds that a request that was taken gets one whole answer in time.
func (a *auditor) checkAnswered(q *Request) {
	if q.WrittenAt.IsZero() || !q.LeftAt.IsZero() {
		return
	}
	due := q.WrittenAt.Add(q.Deadline + answerSlack)
	if q.Status > 0 {
		if q.AnsweredAt.After(due) {
			a.addBreach(RuleLost, q.ID, -1, q.AnsweredAt, "answered %v behind its deadline", q.AnsweredAt.Sub(q.WrittenAt.Add(q.Deadline)))
		}
		made := func(t *Attempt) bool { return t.Result != "" && t.Result == q.Result }
		if q.Status == 200 && !slices.ContainsFunc(a.attempts[q.ID], made) {
			a.addBreach(RuleLost, q.ID, -1, q.AnsweredAt, "served with what no worker made: %q", q.Result)
		}
		return
	}
	l := a.processRunOf(q)
	switch {
	case l != nil && !l.EndedAt.IsZero() && l.Killed && !q.AnsweredAt.Before(l.EndedAt.Add(-socketSlack)):
		if l.SIGTERMAt.IsZero() || q.WrittenAt.Before(l.SIGTERMAt.Add(shutdownRequestWindow)) {
			return // what a kill finds open is not lost, but for what came late behind SIGTERM
		}
	case q.ConnectionReused && len(a.attempts[q.ID]) == 0 && q.Resent:
		return // a connection may end between requests, and the client sends once more on another
	case !q.ConnectionReused && len(a.attempts[q.ID]) == 0 && strings.Contains(a.plan.SystemCallFaults, pollRegistration):
		return // the system would not let it be polled: it was closed unread
	}
	a.addBreach(RuleLost, q.ID, -1, q.AnsweredAt, "no answer: %s", cmp.Or(q.Error, "nothing came"))
}

// checkRepeats holds that an attempt behind another goes out only as the class allows.
func (a *auditor) checkRepeats(q *Request) {
	var first *Attempt
	for _, t := range a.attempts[q.ID] {
		if first != nil {
			switch a.plan.Idempotency {
			case NonIdempotent:
				a.addBreach(RuleDuplicate, q.ID, t.Worker, t.FirstByteAt, "of an unsafe class, behind an attempt at %d that may have run", first.Worker)
			case IdempotentWithKey:
				if over := t.LastByteAt.Sub(first.LastByteAt) - a.plan.DeduplicationWindow; over > socketSlack {
					a.addBreach(RuleDuplicate, q.ID, t.Worker, t.FirstByteAt, "%v behind the window for repeats", over)
				}
				if t.Cell != first.Cell {
					a.addBreach(RuleDuplicate, q.ID, t.Worker, t.FirstByteAt, "at another cell than the one that may have run it")
				}
			}
		}
		for _, o := range a.attempts[q.ID] {
			if !a.plan.MayHedge && o != t && o.FirstByteAt.Before(t.FirstByteAt) && t.LastByteAt.Before(o.EndedAt.Add(-socketSlack)) {
				a.addBreach(RuleDuplicate, q.ID, t.Worker, t.FirstByteAt, "two attempts out, the other at %d", o.Worker)
			}
		}
		if t.MayHaveExecuted && first == nil {
			first = t
		}
	}
}

// checkRejections holds that a refusal is given only where nothing ran, unless the class is safe.
func (a *auditor) checkRejections(q *Request) {
	if q.Status != 503 && q.Status != 429 || a.plan.Idempotency == Idempotent {
		return
	}
	for _, t := range a.attempts[q.ID] {
		if t.MayHaveExecuted {
			a.addBreach(RuleRejected, q.ID, t.Worker, q.AnsweredAt, "refused with %d, though an attempt may have run", q.Status)
			return
		}
	}
}

// checkClientLeft holds that nothing is begun for a client that has checkClientLeft.
func (a *auditor) checkClientLeft(q *Request) {
	if q.LeftAt.IsZero() {
		return
	}
	for _, t := range a.attempts[q.ID] {
		if late := t.FirstByteAt.Sub(q.LeftAt); late > clientLeftSlack {
			a.addBreach(RuleLost, q.ID, t.Worker, t.FirstByteAt, "an attempt began %v behind its client's leaving", late)
		}
	}
}

// checkDeadlines holds that workers are told no more time than is left.
func (a *auditor) checkDeadlines(q *Request) {
	if q.WrittenAt.IsZero() {
		return
	}
	for _, t := range a.attempts[q.ID] {
		if over := t.LastByteAt.Add(t.Timeout).Sub(q.WrittenAt.Add(q.Deadline)); over > deadlineSlack {
			a.addBreach(RuleDeadline, q.ID, t.Worker, t.LastByteAt, "told %v more than was left", over)
		}
	}
}

// notifiedAt gives when a change counts as notifiedAt at a process of a dispatcher.
func (a *auditor) notifiedAt(c EndpointChange, l *ProcessRun) time.Time {
	had := c.At
	if l.StartedAt.After(had) {
		had = l.StartedAt
	}
	for _, o := range a.record.Outages {
		if !o.From.After(had.Add(a.outageReach())) && o.To.After(had) {
			had = o.To
		}
	}
	if a.plan.ListsPushed {
		return had
	}
	told := had.Add(notificationDeadline)
	for _, w := range a.record.DiscoveryAnswers {
		if w.Dispatcher == l.Dispatcher && w.Revision >= c.Revision && w.At.After(l.StartedAt) && w.At.Before(told) {
			told = w.At
		}
	}
	return told
}

// outageReach is how long behind a change an outage still keeps it from being heard.
func (a *auditor) outageReach() time.Duration {
	if a.plan.ListsPushed {
		return drainGrace
	}
	return notificationDeadline
}

// checkDrains holds that nothing new reaches a draining worker past the grace.
func (a *auditor) checkDrains() {
	for _, c := range a.record.EndpointChanges {
		if c.Phase == phaseActive {
			continue
		}
		until := a.nextChange(c)
		for _, l := range a.record.ProcessRuns {
			limit := a.notifiedAt(c, l).Add(drainGrace + socketSlack)
			for _, t := range a.record.Attempts {
				if t.Worker == c.Worker && t.Dispatcher == l.Dispatcher && t.FirstByteAt.After(limit) && t.FirstByteAt.Before(until) && a.isRunning(t.FirstByteAt, l) {
					a.addBreach(RuleDrain, t.ID, t.Worker, t.FirstByteAt, "%v behind the grace, revision %d was told at %s", t.FirstByteAt.Sub(limit), c.Revision, a.timeText(a.notifiedAt(c, l)))
				}
			}
		}
	}
}

// nextChange gives when a worker changed again.
func (a *auditor) nextChange(c EndpointChange) time.Time {
	for _, d := range a.record.EndpointChanges {
		if d.Worker == c.Worker && d.Revision > c.Revision {
			return d.At
		}
	}
	return a.record.StartedAt.Add(time.Hour)
}

func (a *auditor) isRunning(t time.Time, l *ProcessRun) bool {
	return !t.Before(l.StartedAt) && (l.EndedAt.IsZero() || t.Before(l.EndedAt.Add(socketSlack)))
}

// warmupFactor is the share of its capacity that a worker has at an age.
func warmupFactor(age time.Duration) float64 {
	return min(slowStartCapacity+(1-slowStartCapacity)*float64(age)/float64(slowStartDuration), 1)
}

// checkSlowStart holds that a worker that has started gets no more than it can stand, unless over a third came from dispatchers that
// had not been told of the start.
func (a *auditor) checkSlowStart() {
	for _, c := range a.record.EndpointChanges {
		if !c.Restarted {
			continue
		}
		var came []*Attempt
		for _, t := range a.record.Attempts {
			if t.Worker == c.Worker && t.FirstByteAt.After(c.At) && t.FirstByteAt.Before(c.At.Add(slowStartDuration)) {
				came = append(came, t)
			}
		}
		slices.SortFunc(came, func(x, y *Attempt) int { return x.FirstByteAt.Compare(y.FirstByteAt) })
		for i, last := range came {
			n := overloadMultiple * warmupFactor(last.FirstByteAt.Sub(c.At)) * workerSlots * overloadWindow.Seconds() / jobTime.Seconds()
			budget := n + 2*math.Sqrt(n) + 2
			if n < 30 {
				budget = n + 3*math.Sqrt(n) + 3
			}
			from := slices.IndexFunc(came, func(t *Attempt) bool { return t.FirstByteAt.After(last.FirstByteAt.Add(-overloadWindow)) })
			got := came[from : i+1]
			if float64(len(got)) <= budget {
				continue
			}
			if knew := a.countNotified(c, got); knew*3 > 2*len(got) {
				a.addBreach(RuleSlowStart, "", c.Worker, last.FirstByteAt, "%d requests in %v, %d of them by who knew, %.0f allowed %v behind its start",
					len(got), overloadWindow, knew, budget, last.FirstByteAt.Sub(c.At))
			}
			break // it has fallen
		}
	}
}

// countNotified counts the attempts of dispatchers that had been told of a change.
func (a *auditor) countNotified(c EndpointChange, attempts []*Attempt) (count int) {
	for _, t := range attempts {
		for _, l := range a.record.ProcessRuns {
			if l.Dispatcher == t.Dispatcher && a.isRunning(t.FirstByteAt, l) && !a.notifiedAt(c, l).After(t.FirstByteAt) {
				count++
				break
			}
		}
	}
	return count
}

// checkProcessRuns holds that processes become ready in time and end only when they are told to.
func (a *auditor) checkProcessRuns() {
	for _, l := range a.record.ProcessRuns {
		if l.Crashed != "" {
			a.addBreach(RuleCrash, "", -1, l.EndedAt, "dispatcher %d: %s", l.Dispatcher, l.Crashed)
		}
		if l.ReadyAt.IsZero() && (l.EndedAt.IsZero() || l.EndedAt.Sub(l.StartedAt) > readyWithin) || l.ReadyAt.Sub(l.StartedAt) > readyWithin {
			a.addBreach(RuleReady, "", -1, l.StartedAt, "dispatcher %d: not ready within %v", l.Dispatcher, readyWithin)
		}
	}
}

// timeText words a time as the timelines do.
func (a *auditor) timeText(t time.Time) string {
	return fmt.Sprintf("%.3f", t.Sub(a.record.StartedAt).Seconds())
}

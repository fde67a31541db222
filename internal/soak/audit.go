package soak

import (
	"cmp"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Breach is a violation of a rule.
type Breach struct {
	Rule    string
	Request string // id of the request concerned; empty if there is none
	Worker  int    // number of the worker concerned; -1 if there is none
	At      time.Time
	Detail  string
}

// The rules of the protocol, by the names that the operators use.
const (
	RuleLost      = "lost"      // one final answer in time, and no attempt for a client that has left
	RuleDuplicate = "duplicate" // retries and hedged attempts only as the class allows
	RuleRejected  = "refused"   // a rejection means that nothing ran
	RuleDrain     = "drain"     // no new attempt at a draining worker after the grace period
	RuleSlowStart = "failback"  // no overload of a warming worker
	RuleDeadline  = "deadline"  // a worker's timeout is no longer than the client's remaining time
	RuleReady     = "ready"     // a process is ready in time
	RuleCrash     = "crash"     // a process exits only after a signal
	RuleMemory    = "memory"    // a process stays within its memory limit
	RuleFailed    = "failed"    // a request is not answered as failed before it is late, unless its workers caused that
)

// RuleNames lists the rules in the order of tables.
var RuleNames = []string{RuleLost, RuleDuplicate, RuleRejected, RuleDrain, RuleSlowStart, RuleDeadline, RuleReady, RuleCrash, RuleFailed, RuleMemory}

const (
	answerSlack           = 500 * time.Millisecond // an answer that is late by less than this is no breach
	clientLeftSlack       = 100 * time.Millisecond
	deadlineSlack         = 150 * time.Millisecond
	socketSlack           = 50 * time.Millisecond // tolerance of all other time limits except readyWithin
	notificationDeadline  = 6 * time.Second
	readyWithin           = 10 * time.Second
	pollRegistration      = "epoll_ctl"
	shutdownRequestWindow = 700 * time.Millisecond // a request written less than this long after SIGTERM may be unanswered at SIGKILL
)

// auditor checks the rules on a record.
type auditor struct {
	plan     Plan
	record   *Record
	attempts map[string][]*Attempt // by request ID, in the order of their first bytes
	breaches []Breach
}

// Audit returns all breaches in a record.
func Audit(plan Plan, record *Record) []Breach {
	record.mu.Lock()
	defer record.mu.Unlock()
	auditor := &auditor{plan: plan, record: record, attempts: map[string][]*Attempt{}}
	slices.SortFunc(record.Attempts, func(x, y *Attempt) int { return x.FirstByteAt.Compare(y.FirstByteAt) })
	for _, attempt := range record.Attempts {
		auditor.attempts[attempt.ID] = append(auditor.attempts[attempt.ID], attempt)
	}
	for _, request := range record.Requests {
		auditor.checkAnswered(request)
		auditor.checkRepeats(request)
		auditor.checkRejections(request)
		auditor.checkClientLeft(request)
		auditor.checkDeadlines(request)
		auditor.checkFailures(request)
	}
	auditor.checkDrains()
	auditor.checkSlowStart()
	auditor.checkProcessRuns()
	auditor.checkReturnedKeys()
	return auditor.breaches
}

// addBreach adds a breach. The parameter request is empty if no request is concerned, and worker is -1 if no worker is.
func (a *auditor) addBreach(rule, request string, worker int, at time.Time, format string, args ...any) {
	a.breaches = append(a.breaches, Breach{rule, request, worker, at, fmt.Sprintf(format, args...)})
}

// processRunOf returns the process that a request was sent to; nil if it is unknown.
func (a *auditor) processRunOf(request *Request) *ProcessRun {
	for _, run := range a.record.ProcessRuns {
		if run.Dispatcher == request.Dispatcher && run.Number == request.ProcessRun {
			return run
		}
	}
	return nil
}

// checkAnswered checks that a request gets one complete answer in time.
func (a *auditor) checkAnswered(request *Request) {
	if request.WrittenAt.IsZero() || !request.LeftAt.IsZero() {
		return
	}
	due := request.WrittenAt.Add(request.Deadline + answerSlack)
	if request.Status > 0 {
		if request.AnsweredAt.After(due) {
			a.addBreach(RuleLost, request.ID, -1, request.AnsweredAt, "answered %v after its deadline", request.AnsweredAt.Sub(request.WrittenAt.Add(request.Deadline)))
		}
		if request.ReturnedKey != "" {
			return // a key that came again may get the result of another request
		}
		producedResult := func(attempt *Attempt) bool { return attempt.Result != "" && attempt.Result == request.Result }
		if request.Status == 200 && !slices.ContainsFunc(a.attempts[request.ID], producedResult) {
			a.addBreach(RuleLost, request.ID, -1, request.AnsweredAt, "served with a result that no worker produced: %q", request.Result)
		}
		return
	}
	run := a.processRunOf(request)
	switch {
	case run != nil && !run.EndedAt.IsZero() && run.Killed && !request.AnsweredAt.Before(run.EndedAt.Add(-socketSlack)):
		if run.SIGTERMAt.IsZero() || request.WrittenAt.Before(run.SIGTERMAt.Add(shutdownRequestWindow)) {
			return // open at SIGKILL, and written within shutdownRequestWindow of SIGTERM, if there was one
		}
	case request.ConnectionReused && len(a.attempts[request.ID]) == 0 && request.Resent:
		return // an idle connection may be closed; the client has sent the request again on another
	case !request.ConnectionReused && len(a.attempts[request.ID]) == 0 && strings.Contains(a.plan.SystemCallFaults, pollRegistration):
		return // an injected fault prevented polling of the connection, which was closed unread
	case request.HTTP2 && request.ConnectionEnded && len(a.attempts[request.ID]) == 0:
		return // at the connection limit a connection may be closed unread; more clients connect than the frontend takes
	}
	a.addBreach(RuleLost, request.ID, -1, request.AnsweredAt, "no answer: %s", cmp.Or(request.Error, "nothing received"))
}

// checkRepeats checks that once an attempt may have executed, another is sent only as the class allows, and that two attempts are in flight
// only if the plan allows hedging.
func (a *auditor) checkRepeats(request *Request) {
	var mayHaveRun *Attempt
	for _, attempt := range a.attempts[request.ID] {
		if mayHaveRun != nil {
			switch a.plan.Idempotency {
			case NonIdempotent:
				a.addBreach(RuleDuplicate, request.ID, attempt.Worker, attempt.FirstByteAt, "attempt of a non-idempotent class after one at worker %d that may have executed", mayHaveRun.Worker)
			case IdempotentWithKey:
				if excess := attempt.LastByteAt.Sub(mayHaveRun.LastByteAt) - a.plan.DeduplicationWindow; excess > socketSlack {
					a.addBreach(RuleDuplicate, request.ID, attempt.Worker, attempt.FirstByteAt, "attempt %v after the end of the deduplication window", excess)
				}
				if attempt.Cell != mayHaveRun.Cell {
					a.addBreach(RuleDuplicate, request.ID, attempt.Worker, attempt.FirstByteAt, "attempt in another cell than the earlier one, which may have executed")
				}
			}
		}
		for _, other := range a.attempts[request.ID] {
			if !a.plan.MayHedge && other != attempt && other.FirstByteAt.Before(attempt.FirstByteAt) && attempt.LastByteAt.Before(other.EndedAt.Add(-socketSlack)) {
				a.addBreach(RuleDuplicate, request.ID, attempt.Worker, attempt.FirstByteAt, "two attempts in flight, the other at worker %d", other.Worker)
			}
		}
		if attempt.MayHaveExecuted && mayHaveRun == nil {
			mayHaveRun = attempt
		}
	}
}

// checkRejections checks that a request is rejected only if no attempt may have executed, unless its class is idempotent.
func (a *auditor) checkRejections(request *Request) {
	if request.Status != 503 && request.Status != 429 || a.plan.Idempotency == Idempotent {
		return
	}
	for _, attempt := range a.attempts[request.ID] {
		if attempt.MayHaveExecuted {
			a.addBreach(RuleRejected, request.ID, attempt.Worker, request.AnsweredAt, "rejected with %d although an attempt may have executed", request.Status)
			return
		}
	}
}

// checkClientLeft checks that no attempt begins for a client that has left.
func (a *auditor) checkClientLeft(request *Request) {
	if request.LeftAt.IsZero() {
		return
	}
	for _, attempt := range a.attempts[request.ID] {
		if late := attempt.FirstByteAt.Sub(request.LeftAt); late > clientLeftSlack {
			a.addBreach(RuleLost, request.ID, attempt.Worker, attempt.FirstByteAt, "an attempt began %v after its client left", late)
		}
	}
}

// checkDeadlines checks that a worker's timeout is no longer than the client's remaining time.
func (a *auditor) checkDeadlines(request *Request) {
	if request.WrittenAt.IsZero() {
		return
	}
	for _, attempt := range a.attempts[request.ID] {
		if excess := attempt.LastByteAt.Add(attempt.Timeout).Sub(request.WrittenAt.Add(request.Deadline)); excess > deadlineSlack {
			a.addBreach(RuleDeadline, request.ID, attempt.Worker, attempt.LastByteAt, "timeout %v longer than the remaining time", excess)
		}
	}
}

// checkFailures checks that a request is not answered as failed while the shortest job could still finish in time, unless a worker broke a
// connection or hung, or the dispatcher's process was about to end. Runs with system call faults are not checked, as these may break
// connections without the workers noticing.
func (a *auditor) checkFailures(request *Request) {
	if request.Status != http.StatusBadGateway && request.Status != http.StatusGatewayTimeout || !request.LeftAt.IsZero() || a.plan.SystemCallFaults != "" {
		return
	}
	if request.ReturnedKey != "" {
		return // it fails if no worker of the cell of its key's first run may get it
	}
	took := request.AnsweredAt.Sub(request.WrittenAt)
	if took >= latencyObjective-shortestJob || a.endsSoonAfter(request) {
		return
	}
	if !slices.ContainsFunc(a.attempts[request.ID], func(attempt *Attempt) bool { return attempt.Broken }) {
		a.addBreach(RuleFailed, request.ID, -1, request.AnsweredAt, "failed with %d after %v, but no worker broke a connection or hung", request.Status, took)
	}
}

// endsSoonAfter reports whether a request was written shortly before its process was due to be killed, or the process is unknown. A shutdown
// answers all open requests before the kill, and may have to fail them.
func (a *auditor) endsSoonAfter(request *Request) bool {
	run := a.processRunOf(request)
	return run == nil || !run.SIGTERMAt.IsZero() && request.WrittenAt.After(run.SIGTERMAt.Add(a.plan.killDelay()-shutdownRequestWindow))
}

// notifiedAt returns the time from which the platform counts a process as notified of a change.
func (a *auditor) notifiedAt(change EndpointChange, run *ProcessRun) time.Time {
	reachableAt := change.At
	if run.StartedAt.After(reachableAt) {
		reachableAt = run.StartedAt
	}
	for _, outage := range a.record.Outages {
		if !outage.From.After(reachableAt.Add(a.outageReach())) && outage.To.After(reachableAt) {
			reachableAt = outage.To
		}
	}
	if a.plan.ListsPushed {
		return reachableAt
	}
	notified := reachableAt.Add(notificationDeadline)
	for _, answer := range a.record.DiscoveryAnswers {
		if answer.Dispatcher == run.Dispatcher && answer.Revision >= change.Revision && answer.At.After(run.StartedAt) && answer.At.Before(notified) {
			notified = answer.At
		}
	}
	return notified
}

// outageReach returns how long after a change an outage may begin and still delay the notification of the change.
func (a *auditor) outageReach() time.Duration {
	if a.plan.ListsPushed {
		return drainGrace
	}
	return notificationDeadline
}

// checkDrains checks that no attempt reaches a draining worker after the grace period.
func (a *auditor) checkDrains() {
	for _, change := range a.record.EndpointChanges {
		if change.Phase == phaseActive {
			continue
		}
		until := a.nextChange(change)
		for _, run := range a.record.ProcessRuns {
			limit := a.notifiedAt(change, run).Add(drainGrace + socketSlack)
			for _, attempt := range a.record.Attempts {
				if attempt.Worker == change.Worker && attempt.Dispatcher == run.Dispatcher && attempt.FirstByteAt.After(limit) && attempt.FirstByteAt.Before(until) && a.isRunning(attempt.FirstByteAt, run) {
					a.addBreach(RuleDrain, attempt.ID, attempt.Worker, attempt.FirstByteAt, "attempt %v after the grace period; notified of revision %d at %s", attempt.FirstByteAt.Sub(limit), change.Revision, a.timeText(a.notifiedAt(change, run)))
				}
			}
		}
	}
}

// nextChange returns when the worker of a change changed again, or a time after the run if it did not.
func (a *auditor) nextChange(change EndpointChange) time.Time {
	for _, later := range a.record.EndpointChanges {
		if later.Worker == change.Worker && later.Revision > change.Revision {
			return later.At
		}
	}
	return a.record.StartedAt.Add(time.Hour)
}

// isRunning reports whether a process was running at a time.
func (a *auditor) isRunning(at time.Time, run *ProcessRun) bool {
	return !at.Before(run.StartedAt) && (run.EndedAt.IsZero() || at.Before(run.EndedAt.Add(socketSlack)))
}

// warmupFactor returns the share of its full capacity that a worker of an age has.
func warmupFactor(age time.Duration) float64 {
	return min(slowStartCapacity+(1-slowStartCapacity)*float64(age)/float64(slowStartDuration), 1)
}

// checkSlowStart checks that a warming worker gets no more requests in the overload window than it can take, unless at least a third of the
// requests came from dispatchers that were not notified of the worker's start.
func (a *auditor) checkSlowStart() {
	for _, change := range a.record.EndpointChanges {
		if !change.JustStarted {
			continue
		}
		var attempts []*Attempt
		for _, attempt := range a.record.Attempts {
			if attempt.Worker == change.Worker && attempt.FirstByteAt.After(change.At) && attempt.FirstByteAt.Before(change.At.Add(slowStartDuration)) {
				attempts = append(attempts, attempt)
			}
		}
		slices.SortFunc(attempts, func(x, y *Attempt) int { return x.FirstByteAt.Compare(y.FirstByteAt) })
		for i, last := range attempts {
			meanCapacity := overloadMultiple * warmupFactor(last.FirstByteAt.Sub(change.At)) * workerSlots * overloadWindow.Seconds() / jobTime.Seconds()
			// The number of requests in a window is random, with a standard deviation of about the square root of its mean. The budget is
			// the mean plus two standard deviations and two requests. If the mean is small, the distribution is skewed, so the budget is
			// the mean plus three standard deviations and three requests.
			budget := meanCapacity + 2*math.Sqrt(meanCapacity) + 2
			if meanCapacity < 30 {
				budget = meanCapacity + 3*math.Sqrt(meanCapacity) + 3
			}
			first := slices.IndexFunc(attempts, func(t *Attempt) bool { return t.FirstByteAt.After(last.FirstByteAt.Add(-overloadWindow)) })
			inWindow := attempts[first : i+1]
			if float64(len(inWindow)) <= budget {
				continue
			}
			if notified := a.countNotified(change, inWindow); notified*3 > 2*len(inWindow) {
				a.addBreach(RuleSlowStart, "", change.Worker, last.FirstByteAt, "%d requests in %v, %d of them from notified processes; %.0f allowed %v after the worker's start",
					len(inWindow), overloadWindow, notified, budget, last.FirstByteAt.Sub(change.At))
			}
			break // an overloaded worker counts as down from here on
		}
	}
}

// countNotified returns how many attempts came from processes that were notified of a change.
func (a *auditor) countNotified(change EndpointChange, attempts []*Attempt) (count int) {
	for _, attempt := range attempts {
		for _, run := range a.record.ProcessRuns {
			if run.Dispatcher == attempt.Dispatcher && a.isRunning(attempt.FirstByteAt, run) && !a.notifiedAt(change, run).After(attempt.FirstByteAt) {
				count++
				break
			}
		}
	}
	return count
}

// checkProcessRuns checks that processes become ready in time, and exit only after a signal.
func (a *auditor) checkProcessRuns() {
	for _, run := range a.record.ProcessRuns {
		if run.Crashed != "" {
			a.addBreach(RuleCrash, "", -1, run.EndedAt, "dispatcher %d: %s", run.Dispatcher, run.Crashed)
		}
		if run.PeakMemory > memoryLimit {
			a.addBreach(RuleMemory, "", -1, run.StartedAt, "dispatcher %d: %d KB resident", run.Dispatcher, run.PeakMemory>>10)
		}
		if run.ReadyAt.IsZero() && (run.EndedAt.IsZero() || run.EndedAt.Sub(run.StartedAt) > readyWithin) || run.ReadyAt.Sub(run.StartedAt) > readyWithin {
			a.addBreach(RuleReady, "", -1, run.StartedAt, "dispatcher %d: not ready within %v", run.Dispatcher, readyWithin)
		}
	}
}

// checkReturnedKeys checks that a key which came again after its client had left runs in no other cell within the window. It is not judged if a
// process of the dispatcher ended in between.
func (a *auditor) checkReturnedKeys() {
	firstRuns := map[string]*Attempt{}
	for _, attempt := range a.record.Attempts {
		if attempt.Key == "" || !attempt.MayHaveExecuted {
			continue
		}
		first := firstRuns[attempt.Key]
		if first == nil {
			firstRuns[attempt.Key] = attempt
			continue
		}
		isRepeat := attempt.ID != first.ID && attempt.LastByteAt.Sub(first.LastByteAt) < a.plan.DeduplicationWindow
		if isRepeat && attempt.Cell != first.Cell && !a.endedBetween(attempt.Dispatcher, first.FirstByteAt, attempt.LastByteAt) {
			a.addBreach(RuleDuplicate, attempt.ID, attempt.Worker, attempt.FirstByteAt, "key %s ran at worker %d of another cell", attempt.Key, first.Worker)
		}
	}
}

// endedBetween reports whether a process of a dispatcher ended between two times.
func (a *auditor) endedBetween(dispatcher int, from, to time.Time) bool {
	return slices.ContainsFunc(a.record.ProcessRuns, func(run *ProcessRun) bool {
		return run.Dispatcher == dispatcher && run.EndedAt.After(from) && run.EndedAt.Before(to)
	})
}

// timeText returns a time as timelines show it, in seconds since the run started.
func (a *auditor) timeText(at time.Time) string {
	return fmt.Sprintf("%.3f", at.Sub(a.record.StartedAt).Seconds())
}

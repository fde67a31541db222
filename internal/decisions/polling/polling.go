// Package polling decides when a dispatcher calls discovery for the list of workers. Values in, verdicts out: no I/O, no clock,
// no goroutine.
//
// Discovery is one small service for all dispatchers. It may be slow, refuse calls, break them off or never answer, and a
// connection to it may fall silent. What it has counts as told to a dispatcher after a while, whether it arrived or not. So no
// single call may be the only chance to learn of a change: while the newest call has not answered, a further one is made beside
// it, and none is given up for that.
//
// Schedule promises, where calls other than the failing ones are answered:
//
//  1. Behind an answer, three calls that hang, break off, are refused, or answer 2 s late, in any order, hold a change back
//     by no more than Told; behind a move of discovery by no more than Moved. Four calls are made in that time, and what is left
//     of it is divided evenly among them, less lastAnswer for the last. The longest paths where lists are asked for: a watch
//     falls silent as it begins, and the next call is made Wait + watchOverlap + watchSpread later (2.8 s); or a new process
//     makes its first call 3 s behind its start. The fourth is made at 5.8 s at the latest.
//  2. Where lists are pushed, the same within the grace for a drain less its margin: what the agent has counts as told at
//     once. The longest path is (1 + 1/4 + 3/2) of a fifth of the grace: 0.275 s of 0.5 s.
//  3. A watch goes on inside the gap within which it counts as one, whatever the number of dispatchers and the chance drawn.
//  4. Of many dispatchers that got the same news at once, the next calls are spread over most of that gap.
//  5. An answer that told nothing is not followed at once: a service that answers so would be called in a loop. One whose
//     answers are older than what is known, or come before their wait is over and tell nothing, is called less and less often,
//     down to once in strainMost; one whose answers all tell something no more than burst times within burstSpan.
//  6. No call with an index is made beside another that may still be served: a service may keep one such call for each
//     dispatcher, and end the one before for it, which then loses its place. Beside it the whole list is asked for.
//  7. A service that refuses calls or takes long over them is spared by those that have just heard from it: they begin a new
//     watch a while later. Moves in quick succession bring one call.
//  8. Of many dispatchers that a crowded service refuses, those that have gone longest without an answer call most often: they
//     get the places in its queue before those that heard a moment ago.
//  9. A service that serves calls in turn and needs up to 3.6 s to serve one of each dispatcher serves all of them in time
//     when it comes back from an outage, and when most of them begin anew right behind that. Calls that it lets in may expire in
//     its queue, which costs it the same work: so one behind such a call, or where a change counts as told already, comes
//     overdueSpan behind the beginning of the last.
package polling

import "time"

// The spans of calls to discovery.
const (
	// WatchGap is how long after an answer the next call of a watch may come, and Margin what is kept of it for the way and for a
	// busy core.
	WatchGap       = 200 * time.Millisecond
	WatchGapMargin = 50 * time.Millisecond

	// NotificationDeadline is how long after it could be had a change counts as told, and Moved how long after a move of discovery.
	NotificationDeadline     = 6 * time.Second
	MoveNotificationDeadline = 4 * time.Second

	// LongPollWait is how long a watch waits for news.
	LongPollWait = 1500 * time.Millisecond
	// ResponseTimeout is how long an answer may take, beside the wait for news. No call hinders the next, so a late one costs a
	// connection only.
	ResponseTimeout = 4 * time.Second
	// queuedCallTimeout is how long a call may take at a service that serves calls in turn: it fails one that has waited for 2 s.
	queuedCallTimeout = 2700 * time.Millisecond

	// QueuedThreshold is how long a call without a wait takes at least that had to wait for its turn at the service.
	QueuedThreshold = 500 * time.Millisecond

	watchResponseGrace         = 100 * time.Millisecond  // a watch that has not answered so long after its wait gets a call beside it, ...
	overlapSpreadPerDispatcher = 200 * time.Millisecond  // ... spread by so much for each dispatcher beside this one ...
	maxOverlapSpread           = 1200 * time.Millisecond // ... and by this at most: where discovery falls silent it does so for all
	maxPollGap                 = 2100 * time.Millisecond // a call that does not wait gets a further one beside it at the latest, ...
	minPollGap                 = 300 * time.Millisecond  // ... and no sooner than this
	callsPerDeadline           = 4                       // calls that are made until a change counts as told
	lastResponseTime           = 200 * time.Millisecond  // that the last of them has for its answer

	// A service that refused a call, or took longer than busyResponseTime over one, has many callers for a while. A call that it has
	// let in waits there for its turn: none is made beside it for as long as it may be served, unless less than busyFrom is
	// left.
	busyResponseTime    = QueuedThreshold
	busyDuration        = 10 * time.Second
	busyRepollThreshold = 3800 * time.Millisecond

	// Who has just heard from a busy service leaves it to others for a while: a new watch begins up to maxBusyDelay later, and the
	// call behind a move up to half of that, where the list is younger than freshFor or another move was just before.
	maxBusyDelay = time.Second
	freshListAge = 2 * time.Second
	// rapidMoveInterval is how soon behind another a move is one of several in quick succession.
	rapidMoveInterval = time.Second

	// Behind an answer that was of no use, as an older one is, the next call is made after this, ...
	minUselessDelay     = 200 * time.Millisecond
	maxUselessDelay     = 3200 * time.Millisecond // ... doubled for each further one up to this, ...
	maxUselessDoublings = 6
	uselessResetAfter   = 10 * time.Second // ... until there has been none for so long

	maxBurstCalls = 10 // calls within burstSpan
	burstWindow   = 2 * time.Second

	rewatchSpreadPerDispatcher = 4 * time.Millisecond   // of spread for each dispatcher beside this one
	unchangedRewatchDelay      = 20 * time.Millisecond  // after an answer that told nothing
	earlyRewatchDelay          = 100 * time.Millisecond // and that came at once, as an agent's may

	// Behind a call that failed the next is made after an even part of the time left, or this, if it is less.
	minBackoff           = 100 * time.Millisecond
	backoffPerDispatcher = 300 * time.Millisecond // for each dispatcher beside this one
	maxBackoff           = 2 * time.Second
	minBackoffFraction   = 0.4 // of that is no chance

	overdueIntervalPerDispatcher = 800 * time.Millisecond // between the beginnings of calls where a change counts as told, for each dispatcher, ...
	maxOverdueInterval           = 5 * time.Second        // ... and at most

	minAgentTimeout     = 50 * time.Millisecond // a call to an agent may take so long, whatever the grace
	maxPromptAgentCalls = 4                     // calls without an answer, behind which an agent is called every prompt only
)

// Kind is what a call for the list is.
type Kind uint8

const (
	Watch    Kind = iota // goes on with a watch: it waits for news
	Poll                 // for what is newer than what is known, without waiting for it; a watch may go on behind it
	FullList             // for the whole list
)

// String names a kind as the log does.
func (k Kind) String() string { return [...]string{Watch: "watch", Poll: "ask", FullList: "whole"}[k] }

// Failure is how a call ended that brought no list.
type Failure uint8

const (
	Broken   Failure = iota // no connection, it broke off, or nothing came
	Rejected                // the service had no room for it
	Expired                 // the service let it wait for its turn, and gave it up before
)

// String names a failure as the log does.
func (f Failure) String() string {
	return [...]string{Broken: "broken", Rejected: "refused", Expired: "expired"}[f]
}

// ClassifyFailure tells how a call ended that took so long, by whether the service said that it serves no more calls for now.
func ClassifyFailure(rejected bool, took time.Duration) Failure {
	switch {
	case !rejected:
		return Broken
	case took >= QueuedThreshold:
		return Expired
	}
	return Rejected
}

// Rules are the settings that calls go by.
type Rules struct {
	ListsPushed bool          // lists are pushed to an agent, which is called
	DrainGrace  time.Duration // for a drain
	Dispatchers int           // that call the same service
}

// Timeouts gives how long a call waits for news, and how long its answer may take beside that.
func (r Rules) Timeouts(kind Kind) (wait, responseTimeout time.Duration) {
	switch {
	case r.ListsPushed && kind == Watch:
		return r.agentTimeout(), r.agentTimeout()
	case r.ListsPushed: // one that does not wait
		return 0, r.agentTimeout()
	case kind == Watch:
		return LongPollWait, ResponseTimeout
	}
	return 0, ResponseTimeout
}

// agentTimeout is how long a watch at an agent waits.
func (r Rules) agentTimeout() time.Duration { return max(r.DrainGrace/5, minAgentTimeout) }

// RewatchDelay gives how long after an answer a watch's next call is made, by whether the answer told anything, whether it
// came before the wait was over, how many dispatchers there are, and chance from 0 to 1.
func RewatchDelay(changed, early bool, dispatchers int, chance float64) time.Duration {
	minDelay := time.Duration(0)
	switch {
	case changed:
	case early:
		minDelay = earlyRewatchDelay
	default:
		minDelay = unchangedRewatchDelay
	}
	spread := min(time.Duration(max(dispatchers-1, 0))*rewatchSpreadPerDispatcher, WatchGap-WatchGapMargin-minDelay)
	return minDelay + scale(spread, clamp(chance))
}

func clamp(chance float64) float64 { return min(max(chance, 0), 1) }

func scale(duration time.Duration, factor float64) time.Duration {
	return time.Duration(float64(duration) * factor)
}

package transport

import "time"

// An attempt may have waited for its connection, so all reasons against sending it are checked when a connection is assigned to it
// (reasonNotToSend). Just before the write, the exchange's own goroutine checks the cancellation, the client and the time limits again
// (mustNotWrite and workerExchange.writeBy). If a check fails, the attempt ends as scheduler.NeverSent, and none of its bytes are written.

// The reasons why an attempt is not sent, as logged. SendBy is the earlier of the end of a retry's
// deduplication window and the time at which the endpoint list is too old for an attempt.
const (
	notSentCancelled          = "cancelled"
	notSentDeadlinePassed     = "deadline passed"
	notSentClientGone         = "client gone"
	notSentSendByPassed       = "send-by time passed"
	notSentSendByNearlyPassed = "send-by time near"
	notSentRetriesNotAllowed  = "retries not allowed"
	notSentDrainGraceOver     = "worker draining or gone, grace period over"
	notSentDetachedGraceOver  = "worker detached, grace period over"
	notSentDelayed            = "delayed between assignment and write"
)

// reasonNotToSend returns why an exchange must not be sent now, or an empty string if it may be sent. For a probe only the
// deadline is checked.
func (e *endpoint) reasonNotToSend(exchange *workerExchange, now time.Time) string {
	if exchange.mustNotWrite(now) {
		return exchange.mustNotWriteReason(now)
	}
	if exchange.isProbe {
		return ""
	}
	switch {
	case exchange.attempt.ID.Number > 0 && e.pool.RetriesAllowed != nil && !e.pool.RetriesAllowed():
		return notSentRetriesNotAllowed
	case e.gracePeriodOver(e.drainingSince(), drainGraceMargin, now):
		return notSentDrainGraceOver
	case e.gracePeriodOver(e.detachedSince, writeMargin, now):
		return notSentDetachedGraceOver
	case now.After(exchange.writeBy):
		return notSentSendByNearlyPassed
	}
	return ""
}

// latestWrite returns the latest time at which an exchange may be started. It is the earliest of three times: the exchange's
// deadline, its SendBy, and the end of a grace period of the worker. The margins of writemargins.go are subtracted from the last
// two.
func (e *endpoint) latestWrite(exchange *workerExchange) time.Time {
	latest := exchange.deadline
	if exchange.isProbe {
		return latest
	}
	limit := func(t time.Time) {
		if t.Before(latest) {
			latest = t
		}
	}
	if sendBy := exchange.attempt.SendBy; !sendBy.IsZero() {
		limit(sendBy.Add(-writeMargin))
	}
	if since := e.drainingSince(); !since.IsZero() {
		limit(e.graceEnd(since, drainGraceMargin))
	}
	if !e.detachedSince.IsZero() {
		limit(e.graceEnd(e.detachedSince, writeMargin))
	}
	return latest
}

// drainingSince returns when this dispatcher was notified that the worker is draining or gone. The result is zero if the worker is
// neither. It is also zero while the worker's return is unconfirmed: the scheduler then uses the worker only if there is no other.
func (e *endpoint) drainingSince() time.Time {
	if e.listed.ReturnUnconfirmed {
		return time.Time{}
	}
	return e.listed.NotifiedAt
}

// gracePeriodOver reports whether the grace period that began at since is over, or may be by the time of a write. A zero since
// means no grace period.
func (e *endpoint) gracePeriodOver(since time.Time, margin time.Duration, now time.Time) bool {
	return !since.IsZero() && now.After(e.graceEnd(since, margin))
}

// graceEnd returns the latest time at which an exchange may be started with a worker that has been draining, gone or detached
// since a point in time.
func (e *endpoint) graceEnd(since time.Time, margin time.Duration) time.Time {
	return since.Add(e.pool.settings.Current().Rules.DrainGrace.Duration() - margin)
}

// logNotSent logs that an attempt is not sent.
func (e *endpoint) logNotSent(exchange *workerExchange, reason string) {
	if !exchange.isProbe {
		e.pool.log.Debug("attempt not sent", "id", exchange.requestID(), "attempt", exchange.attempt.ID.Number, "worker", e.id, "reason", reason)
	}
}

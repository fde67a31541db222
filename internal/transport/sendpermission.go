package transport

import "time"

// forbiddenReason returns why an exchange must not be begun any more; empty if it may be.
func (e *endpoint) forbiddenReason(pending *exchange, now time.Time) string {
	if pending.mustNotSend(now) {
		return pending.mustNotSendReason(now)
	}
	if pending.probe {
		return ""
	}
	switch {
	case pending.attempt.ID.Number > 0 && e.pool.RetriesAllowed != nil && !e.pool.RetriesAllowed():
		return "retries not allowed"
	case e.graceOver(e.listed.NotifiedAt, drainMargin, now):
		return "worker draining or gone"
	case e.graceOver(e.detachedSince, writeMargin, now):
		return "worker detached"
	case now.After(pending.sendDeadline):
		return "deduplication window nearly over"
	}
	return ""
}

// graceOver reports whether the grace period that began at a time is over, or may be over before a request is written. It is false for
// the zero time.
func (e *endpoint) graceOver(since time.Time, margin time.Duration, now time.Time) bool {
	return !since.IsZero() && now.After(e.graceEnd(since, margin))
}

// graceEnd returns until when an attempt may be begun to an endpoint that is draining or detached since then.
func (e *endpoint) graceEnd(since time.Time, margin time.Duration) time.Time {
	return since.Add(e.pool.settings.Current().Rules.DrainGrace.Duration() - margin)
}

// sendDeadline returns until when an exchange may be begun: its deadline, or earlier by the margins before the time to send it is over
// or the grace period of the endpoint ends.
func (e *endpoint) sendDeadline(pending *exchange) time.Time {
	deadline := pending.deadline
	if pending.probe {
		return deadline
	}
	bound := func(at time.Time) {
		if at.Before(deadline) {
			deadline = at
		}
	}
	if by := pending.attempt.SendBy; !by.IsZero() {
		bound(by.Add(-writeMargin))
	}
	if notifiedAt := e.listed.NotifiedAt; !notifiedAt.IsZero() {
		bound(e.graceEnd(notifiedAt, drainMargin))
	}
	if !e.detachedSince.IsZero() {
		bound(e.graceEnd(e.detachedSince, writeMargin))
	}
	return deadline
}

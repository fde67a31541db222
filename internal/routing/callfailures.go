package routing

import (
	"time"

	"brassdale/internal/decisions/polling"
)

// failureLogInterval is the minimum time between log lines for consecutive failed calls to discovery.
const failureLogInterval = time.Second

// callFailures counts consecutive failed calls for the list.
type callFailures struct {
	calls, rejected, expired int
	lastError                string
	overdueLogged            bool // the warning that the list is overdue was logged
}

// add counts a failed call.
func (f *callFailures) add(err error, failure polling.Failure) {
	f.calls++
	f.lastError = err.Error()
	switch failure {
	case polling.Rejected:
		f.rejected++
	case polling.Expired:
		f.expired++
	}
}

// recordRecovery ends a series of consecutive failures. It is called after the list has been applied.
func (l *EndpointList) recordRecovery() {
	if l.failures.calls > 0 {
		l.log.Info("discovery recovered", "failed_calls", l.failures.calls, "rejected", l.failures.rejected, "expired", l.failures.expired)
	}
	l.failures = callFailures{}
}

// recordFailure counts and logs a failed call to the current service. The known list remains in use. An error that repeats the error
// of the previous call is logged at debug level, because each call for a faulty list returns the same error.
func (l *EndpointList) recordFailure(call *listCall, err error, now time.Time) {
	took, failure := now.Sub(call.startedAt), call.failure(err, now)
	log := l.log.Warn
	if l.failures.lastError == err.Error() {
		log = l.log.Debug
	}
	l.failures.add(err, failure)
	l.core.counters.countDiscoveryFailure(failure)
	log("discovery call failed", "call", call.number, "failure", failure.String(), "took", took.Round(time.Millisecond),
		"revision", l.calls.current.revision, "list_age", l.listAge(), "err", err)
	if l.failures.calls > 1 && now.Sub(l.failuresLogAt) >= failureLogInterval {
		l.failuresLogAt = now
		l.log.Info("discovery calls keep failing", "failed_calls", l.failures.calls, "rejected", l.failures.rejected,
			"expired", l.failures.expired, "list_age", l.listAge(), "err", err)
	}
	if age := now.Sub(l.listAcceptedAt); age > polling.NotificationDeadline && !l.failures.overdueLogged {
		l.failures.overdueLogged = true
		l.log.Warn("endpoint list overdue", "list_age", l.listAge(), "failed_calls", l.failures.calls)
	}
}

// listAge returns the time since a list was last accepted, or since the start of this process, for the log.
func (l *EndpointList) listAge() time.Duration {
	return time.Since(l.listAcceptedAt).Round(time.Millisecond)
}

package routing

import (
	"context"
	"log/slog"
	"time"

	"brassdale/internal/decisions/polling"
)

// failureLogInterval is how often a row of failed calls to discovery is logged at the most.
const failureLogInterval = time.Second

// callFailures is a row of failed calls for the list.
type callFailures struct {
	calls, rejected, expired int
	lastError                string // what the last one failed with
	overdueLogged            bool   // it has been logged that the list is overdue
}

// add adds a failed call.
func (f *callFailures) add(err error, how polling.Failure) {
	f.calls++
	f.lastError = err.Error()
	switch how {
	case polling.Rejected:
		f.rejected++
	case polling.Expired:
		f.expired++
	}
}

// recordRecovery notes that calls succeed again. It is called behind the list has come into force.
func (s *EndpointList) recordRecovery() {
	if s.failures.calls > 0 {
		s.log.Info("discovery answers again", "failed_calls", s.failures.calls, "refused", s.failures.rejected, "expired", s.failures.expired)
	}
	s.failures = callFailures{}
}

// recordFailure notes a recordFailure call. The same fault again is no news: a list that is wrong is wrong at every call.
func (s *EndpointList) recordFailure(c *listCall, err error, now time.Time) {
	took, how := now.Sub(c.startedAt), c.failure(err, now)
	level := slog.LevelWarn
	if s.failures.lastError == err.Error() {
		level = slog.LevelDebug
	}
	s.failures.add(err, how)
	s.core.counters.countDiscoveryFailure(how)
	s.log.Log(context.Background(), level, "discovery failed, the old list holds", "call", c.number, "how", how.String(), "took", took.Round(time.Millisecond),
		"revision", s.calls.current.revision, "list_age", s.listAge(), "err", err)
	if s.failures.calls > 1 && now.Sub(s.failuresLoggedAt) >= failureLogInterval {
		s.failuresLoggedAt = now
		s.log.Info("discovery keeps failing", "failed_calls", s.failures.calls, "refused", s.failures.rejected, "expired", s.failures.expired,
			"list_age", s.listAge(), "err", err)
	}
	if age := now.Sub(s.answeredAt); age > polling.NotificationDeadline && !s.failures.overdueLogged {
		s.failures.overdueLogged = true
		s.log.Warn("the list is overdue: workers that drain may still get requests", "list_age", s.listAge(), "failed_calls", s.failures.calls)
	}
}

// listAge is how long ago discovery last answered.
func (s *EndpointList) listAge() time.Duration {
	return time.Since(s.answeredAt).Round(time.Millisecond)
}

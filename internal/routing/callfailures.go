package routing

import (
	"context"
	"log/slog"
	"time"

	"brassdale/internal/decisions/polling"
)

// reportEvery is how often a row of failed calls to discovery is logged at the most.
const reportEvery = time.Second

// callFailures is a row of failed calls for the list.
type callFailures struct {
	calls, refused, expired int
	last                    string // what the last one failed with
	overdue                 bool   // it has been logged that the list is overdue
}

// note adds a failed call.
func (f *callFailures) note(err error, how polling.Failure) {
	f.calls++
	f.last = err.Error()
	switch how {
	case polling.Rejected:
		f.refused++
	case polling.Expired:
		f.expired++
	}
}

// mended notes that calls succeed again. It is called behind the list has come into force.
func (s *EndpointList) mended() {
	if s.failures.calls > 0 {
		s.log.Info("discovery answers again", "failed_calls", s.failures.calls, "refused", s.failures.refused, "expired", s.failures.expired)
	}
	s.failures = callFailures{}
}

// failed notes a failed call. The same fault again is no news: a list that is wrong is wrong at every call.
func (s *EndpointList) failed(c *listCall, err error, now time.Time) {
	took, how := now.Sub(c.begun), c.failure(err, now)
	level := slog.LevelWarn
	if s.failures.last == err.Error() {
		level = slog.LevelDebug
	}
	s.failures.note(err, how)
	s.core.ledger.discoveryFailed(how)
	s.log.Log(context.Background(), level, "discovery failed, the old list holds", "call", c.number, "how", how.String(), "took", took.Round(time.Millisecond),
		"revision", s.calls.current.revision, "list_age", s.age(), "err", err)
	if s.failures.calls > 1 && now.Sub(s.reported) >= reportEvery {
		s.reported = now
		s.log.Info("discovery keeps failing", "failed_calls", s.failures.calls, "refused", s.failures.refused, "expired", s.failures.expired,
			"list_age", s.age(), "err", err)
	}
	if age := now.Sub(s.answered); age > polling.NotificationDeadline && !s.failures.overdue {
		s.failures.overdue = true
		s.log.Warn("the list is overdue: workers that drain may still get requests", "list_age", s.age(), "failed_calls", s.failures.calls)
	}
}

// age is how long ago discovery last answered.
func (s *EndpointList) age() time.Duration { return time.Since(s.answered).Round(time.Millisecond) }

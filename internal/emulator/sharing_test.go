package emulator

import (
	"math"
	"testing"
	"time"

	"brassdale/scheduler"
)

// TestProcessorSharing_matchesClosedForm checks that the mean response time of a worker that shares its speed among its jobs matches
// M/M/1 with processor sharing, mean work divided by spare speed (L. Kleinrock, 1967), within a tenth over ten runs.
func TestProcessorSharing_matchesClosedForm(t *testing.T) {
	for _, load := range []float64{0.3, 0.5, 0.8} {
		var mean float64
		const runs = 10
		for seed := range uint64(runs) {
			s := singleWorker(seed, 1, load)
			s.Kinds = []WorkerKind{{"one", 1, 1 << 20, 1, 1, true}}
			mean += mustRun(t, s, plainPolicy("random")).Mean.Seconds() / runs
		}
		if want := 0.1 / (1 - load); math.Abs(mean-want) > 0.1*want {
			t.Errorf("at %.1f: %.4f s, want %.4f s", load, mean, want)
		}
	}
}

// TestProcessorSharing_rejectsWithoutSlot checks that a worker without a free slot rejects a job at once, and that the job is sent to
// another worker. It also checks that a user has one job in flight at a time.
func TestProcessorSharing_rejectsWithoutSlot(t *testing.T) {
	s := singleWorker(1, 1, 0.9)
	s.Span, s.Kinds = 100*time.Second, []WorkerKind{{"some", 3, 1, 1, 1, true}}
	s.Traffic.Rate, s.Traffic.Users, s.Rules.MaxAttempts, s.Traffic.Idempotency = 20, 3, 100, scheduler.Idempotent
	result := mustRun(t, s, plainPolicy("random"))
	if result.Sends <= 1 || result.Served < result.Jobs*9/10 || len(result.Breaches) > 0 {
		t.Errorf("three users: %+v", result)
	}
	s.Traffic.Users = 1 // no other job is in flight: none is rejected
	if result := mustRun(t, s, plainPolicy("least-outstanding")); result.Sends != 1 {
		t.Errorf("one user: %.3f attempts per job, want 1", result.Sends)
	}
}

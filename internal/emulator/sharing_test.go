package emulator

import (
	"math"
	"testing"
	"time"

	"brassdale/scheduler"
)

// TestSharingAgainstClosedForm: the mean response time of a worker that shares its speed is that of M/M/1 with processor sharing:
// mean work by spare speed (L. Kleinrock, 1967).
func TestSharingAgainstClosedForm(t *testing.T) {
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

// TestSharingTurnsAway: a worker without a free slot rejects a job at once, and another worker is sent it; a user has one job
// handled at a time.
func TestSharingTurnsAway(t *testing.T) {
	s := singleWorker(1, 1, 0.9)
	s.Span, s.Kinds = 100*time.Second, []WorkerKind{{"some", 3, 1, 1, 1, true}}
	s.Traffic.Rate, s.Traffic.Users, s.Rules.MaxAttempts, s.Traffic.Effect = 20, 3, 100, scheduler.Idempotent
	r := mustRun(t, s, plainPolicy("random"))
	if r.Sends <= 1 || r.Served < r.Jobs*9/10 || len(r.Breaches) > 0 {
		t.Errorf("%+v", r)
	}
	s.Traffic.Users = 1 // nobody beside it: nothing is ever turned away
	if r := mustRun(t, s, plainPolicy("least-outstanding")); r.Sends != 1 {
		t.Errorf("one user: %.3f sends a job", r.Sends)
	}
}

package canary

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"brassdale/internal/testsupport/property"
)

// TestEvaluation_detectsHigherFailureRate checks, at any failure rate, that a canary with a rate 0.4 higher than the others' fails and that
// a canary with the same rate passes. A canary without jobs must fail.
func TestEvaluation_detectsHigherFailureRate(t *testing.T) {
	rollout := testRollout()
	property.Check(t, func(t *rapid.T) {
		failureRate := rapid.Float64Range(0, 0.5).Draw(t, "failure rate")
		rateIncrease := rapid.SampledFrom([]float64{0, 0.4}).Draw(t, "rate increase")
		jobs := rapid.SampledFrom([]int{0, 1000}).Draw(t, "jobs")
		evaluation := NewEvaluation(5, 0)
		observe := func(progress float64) {
			for i := range 20 {
				sample := Sample{Dispatcher: fmt.Sprint("n", i), JobsEnded: 100, JobsFailed: 100}
				sample.JobsEnded += uint64(progress * float64(jobs))
				rate := failureRate
				if rollout.Includes(sample.Dispatcher, 5) {
					rate += rateIncrease
				}
				sample.JobsFailed += uint64(progress * float64(jobs) * rate)
				evaluation.Observe(sample)
			}
		}
		observe(0)
		if outcome, _ := evaluation.Judge(rollout, 0); outcome != InProgress {
			t.Fatalf("at the start: outcome %v, want InProgress", outcome)
		}
		observe(1)
		want := Passed
		if rateIncrease > 0 || jobs == 0 {
			want = Failed
		}
		if outcome, reason := evaluation.Judge(rollout, 30*time.Second); outcome != want {
			t.Fatalf("after 30 s: outcome %v (%s), want %v", outcome, reason, want)
		}
		if outcome, _ := evaluation.Judge(rollout, time.Second); outcome == Passed || rateIncrease > 0 && jobs > 0 && outcome != Failed {
			t.Fatalf("after 1 s: outcome %v, want Failed with a higher failure rate, never Passed", outcome)
		}
	})
}

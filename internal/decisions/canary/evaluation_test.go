package canary

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"brassdale/internal/testsupport/property"
)

// TestEvaluation_judgesHarmAtAnyFailureRate checks that a canary whose failure rate is 0.4 higher than that of the others fails, that one
// with the same rate passes, whatever the rate is, and that one without jobs fails.
func TestEvaluation_judgesHarmAtAnyFailureRate(t *testing.T) {
	rollout := testRollout()
	property.Check(t, func(t *rapid.T) {
		failureRate := rapid.Float64Range(0, 0.5).Draw(t, "failure rate")
		harm := rapid.SampledFrom([]float64{0, 0.4}).Draw(t, "harm")
		jobs := rapid.SampledFrom([]int{0, 1000}).Draw(t, "jobs")
		evaluation := NewEvaluation(5, 0)
		observe := func(progress float64) {
			for i := range 20 {
				sample := Sample{Dispatcher: fmt.Sprint("n", i), JobsEnded: 100, JobsFailed: 100}
				sample.JobsEnded += uint64(progress * float64(jobs))
				rate := failureRate
				if rollout.Includes(sample.Dispatcher, 5) {
					rate += harm
				}
				sample.JobsFailed += uint64(progress * float64(jobs) * rate)
				evaluation.Observe(sample)
			}
		}
		observe(0)
		if outcome, _ := evaluation.Judge(rollout, 0); outcome != InProgress {
			t.Fatalf("at the start: %v", outcome)
		}
		observe(1)
		want := Passed
		if harm > 0 || jobs == 0 {
			want = Failed
		}
		if outcome, reason := evaluation.Judge(rollout, 30*time.Second); outcome != want {
			t.Fatalf("after 30 s: %v (%s), want %v", outcome, reason, want)
		}
		if outcome, _ := evaluation.Judge(rollout, time.Second); outcome == Passed || harm > 0 && jobs > 0 && outcome != Failed {
			t.Fatalf("after 1 s: %v", outcome)
		}
	})
}

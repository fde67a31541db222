package canary

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A canary keeps to about its share of the dispatchers; one that does harm fails, one that does none passes, whatever the rate
// of failures is, and one without jobs fails.
func TestEvaluation_judgesHarmAtAnyFailureRate(t *testing.T) {
	in := 0
	trial := &Rollout{Share: 0.3, MinDuration: 10 * time.Second, FailureMargin: 0.02}
	for i := range 1000 {
		if trial.Includes(fmt.Sprint("n", i), 5) {
			in++
		}
	}
	if in < 250 || in > 350 {
		t.Errorf("%d of 1000 try it", in)
	}
	rapid.Check(t, func(t *rapid.T) {
		rate, harm := rapid.Float64Range(0, 0.5).Draw(t, "rate"), rapid.SampledFrom([]float64{0, 0.4}).Draw(t, "harm")
		jobs := rapid.SampledFrom([]int{0, 1000}).Draw(t, "jobs")
		y := NewEvaluation(5, 0)
		see := func(part float64) {
			for i := range 20 {
				m := Sample{Dispatcher: fmt.Sprint("n", i), JobsEnded: 100, JobsFailed: 100}
				m.JobsEnded += uint64(part * float64(jobs))
				add := rate
				if trial.Includes(m.Dispatcher, 5) {
					add += harm
				}
				m.JobsFailed += uint64(part * float64(jobs) * add)
				y.Observe(m)
			}
		}
		see(0)
		if o, _ := y.Judge(trial, 0); o != InProgress {
			t.Fatalf("at the start: %v", o)
		}
		see(1)
		want := map[bool]Outcome{true: Failed, false: Passed}[harm > 0 || jobs == 0]
		if o, why := y.Judge(trial, 30*time.Second); o != want {
			t.Fatalf("%v, %s", o, why)
		}
		if o, _ := y.Judge(trial, time.Second); o == Passed || harm > 0 && jobs > 0 && o != Failed {
			t.Fatalf("early: %v", o)
		}
	})
}

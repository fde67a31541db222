package idempotency

import (
	"testing"

	"pgregory.net/rapid"
)

// Promises 1 to 5, for a table of jobs that is driven by the decisions on any sequence of requests.
func TestDecide_promises(t *testing.T) {
	type job struct {
		body               int
		ended              bool
		rejected           bool
		readers            int
		runsWithoutReaders bool
	}
	rapid.Check(t, func(t *rapid.T) {
		jobs, capacity := map[string]*job{}, rapid.IntRange(1, 4).Draw(t, "capacity")
		running := map[string]int{}
		for range 200 {
			key := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "key")
			current := jobs[key]
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				body, resumed := rapid.IntRange(0, 1).Draw(t, "body"), rapid.IntRange(0, 5).Draw(t, "resumed") == 0
				var remembered *RememberedJob
				if current != nil {
					remembered = &RememberedJob{Rejected: current.ended && current.rejected, SameJob: current.body == body}
				}
				switch Decide(remembered, resumed, len(jobs) < capacity) {
				case Start:
					if resumed || current != nil && !(current.ended && current.rejected) || len(jobs) >= capacity {
						t.Fatalf("started with %+v remembered, resumed %v, %d of %d", current, resumed, len(jobs), capacity)
					}
					if running[key]++; running[key] > 1 {
						t.Fatal("two jobs of a key run")
					}
					jobs[key] = &job{body: body, readers: 1}
				case Join:
					if current == nil || current.body != body {
						t.Fatalf("joined %+v", current)
					}
					current.readers++
				case KeyMismatch:
					if current == nil || current.body == body {
						t.Fatalf("key mismatch with %+v", current)
					}
				case UnknownKey:
					if !resumed || current != nil {
						t.Fatalf("unknown key with %+v", current)
					}
				case TableFull:
					if len(jobs) < capacity {
						t.Fatal("table full below its capacity")
					}
				}
			case 2:
				if current != nil && !current.ended {
					current.ended, current.rejected = true, rapid.Bool().Draw(t, "rejected")
					running[key]--
				}
			case 3:
				if current != nil && current.ended {
					delete(jobs, key)
				}
			case 4:
				if current != nil && current.readers > 0 {
					current.readers--
					if !current.ended && AbandonWithoutReaders(current.readers, current.runsWithoutReaders) {
						if current.readers > 0 || current.runsWithoutReaders {
							t.Fatal("abandoned with a reader")
						}
						delete(jobs, key)
						running[key]--
					}
				}
			}
		}
	})
}

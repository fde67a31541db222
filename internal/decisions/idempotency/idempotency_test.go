package idempotency

import (
	"testing"

	"pgregory.net/rapid"
)

// A table driven by the verdicts, against what must be true of each key whatever comes.
func TestDecide_promises(t *testing.T) {
	type job struct {
		body    int
		ended   bool
		refused bool
		readers int
		kept    bool
	}
	rapid.Check(t, func(t *rapid.T) {
		jobs, capacity := map[string]*job{}, rapid.IntRange(1, 4).Draw(t, "most")
		running := map[string]int{}
		for range 200 {
			key := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "key")
			current := jobs[key]
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				body, resumed := rapid.IntRange(0, 1).Draw(t, "body"), rapid.IntRange(0, 5).Draw(t, "again") == 0
				var known *RememberedJob
				if current != nil {
					known = &RememberedJob{Rejected: current.ended && current.refused, SameJob: current.body == body}
				}
				switch v := Decide(known, resumed, len(jobs) < capacity); v {
				case Start:
					if resumed || current != nil && !(current.ended && current.refused) || len(jobs) >= capacity {
						t.Fatalf("begun with %+v remembered, again %v, %d of %d", current, resumed, len(jobs), capacity)
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
						t.Fatalf("another than %+v", current)
					}
				case UnknownKey:
					if !resumed || current != nil {
						t.Fatalf("unknown with %+v", current)
					}
				case TableFull:
					if len(jobs) < capacity {
						t.Fatal("full")
					}
				}
			case 2:
				if current != nil && !current.ended {
					current.ended, current.refused = true, rapid.Bool().Draw(t, "refused")
					running[key]--
				}
			case 3:
				if current != nil && current.ended {
					delete(jobs, key)
				}
			case 4:
				if current != nil && current.readers > 0 {
					current.readers--
					if !current.ended && AbandonWithoutReaders(current.readers, current.kept) {
						if current.readers > 0 || current.kept {
							t.Fatal("given up with a reader")
						}
						delete(jobs, key)
						running[key]--
					}
				}
			}
		}
	})
}

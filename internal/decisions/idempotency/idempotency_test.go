package idempotency

import (
	"testing"

	"pgregory.net/rapid"
)

// A table driven by the verdicts, against what must be true of each key whatever comes.
func TestPromises(t *testing.T) {
	type job struct {
		body    int
		ended   bool
		refused bool
		readers int
		kept    bool
	}
	rapid.Check(t, func(t *rapid.T) {
		table, most := map[string]*job{}, rapid.IntRange(1, 4).Draw(t, "most")
		running := map[string]int{}
		for range 200 {
			key := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "key")
			j := table[key]
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				body, again := rapid.IntRange(0, 1).Draw(t, "body"), rapid.IntRange(0, 5).Draw(t, "again") == 0
				var known *RememberedJob
				if j != nil {
					known = &RememberedJob{Rejected: j.ended && j.refused, SameJob: j.body == body}
				}
				switch v := Decide(known, again, len(table) < most); v {
				case Start:
					if again || j != nil && !(j.ended && j.refused) || len(table) >= most {
						t.Fatalf("begun with %+v remembered, again %v, %d of %d", j, again, len(table), most)
					}
					if running[key]++; running[key] > 1 {
						t.Fatal("two jobs of a key run")
					}
					table[key] = &job{body: body, readers: 1}
				case Join:
					if j == nil || j.body != body {
						t.Fatalf("joined %+v", j)
					}
					j.readers++
				case KeyMismatch:
					if j == nil || j.body == body {
						t.Fatalf("another than %+v", j)
					}
				case UnknownKey:
					if !again || j != nil {
						t.Fatalf("unknown with %+v", j)
					}
				case TableFull:
					if len(table) < most {
						t.Fatal("full")
					}
				}
			case 2:
				if j != nil && !j.ended {
					j.ended, j.refused = true, rapid.Bool().Draw(t, "refused")
					running[key]--
				}
			case 3:
				if j != nil && j.ended {
					delete(table, key)
				}
			case 4:
				if j != nil && j.readers > 0 {
					j.readers--
					if !j.ended && AbandonWithoutReaders(j.readers, j.kept) {
						if j.readers > 0 || j.kept {
							t.Fatal("given up with a reader")
						}
						delete(table, key)
						running[key]--
					}
				}
			}
		}
	})
}

package quotas

import (
	"testing"

	"pgregory.net/rapid"

	"brassdale/internal/testsupport/property"
)

// TestTable_guarantees checks guarantees 1 to 5 for any sequence of jobs and changes of the quotas.
func TestTable_guarantees(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(8, 80).Draw(t, "capacity")
		shares := map[string]float64{"a": 0.5, "b": 0.25, "c": 0.125}
		table := New(capacity, shares)
		var open []string
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0:
				if len(open) > 0 {
					i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
					table.Release(open[i])
					open = append(open[:i], open[i+1:]...)
				}
			case 1:
				if rapid.IntRange(0, 20).Draw(t, "change the quotas") == 0 {
					shares = map[string]float64{"a": 0.25, "d": 0.5}
					table.SetQuotas(capacity, shares)
				}
			default:
				quota := table.QuotaName(rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "account"))
				before, guaranteed := table.Usage(quota)
				full := len(open) >= capacity
				admitted := table.Admit(quota)
				switch {
				case admitted && full:
					t.Fatal("a job is admitted although as many are open as the capacity")
				case !admitted && !full && before < guaranteed:
					t.Fatalf("a job of %q is rejected with %d of its guaranteed %d open", quota, before, guaranteed)
				case admitted && before >= guaranteed && before >= capacity-len(open):
					t.Fatalf("%q had job %d admitted beyond its guaranteed %d with %d free", quota, before+1, guaranteed, capacity-len(open))
				}
				if admitted {
					open = append(open, quota)
				}
			}
			if len(open) > capacity {
				t.Fatal("more jobs are open than the capacity")
			}
		}
		for _, quota := range open {
			table.Release(quota)
		}
		if table.totalOpen != 0 || len(table.open) != 0 {
			t.Fatalf("all jobs were released, but the table has %d open, by quota %v", table.totalOpen, table.open)
		}
	})
}

// TestAdmit_greedyAccount checks guarantees 2 and 3: while one account requests five times its share, the others get their guaranteed
// numbers, even if the greedy account had half of the capacity in use before.
func TestAdmit_greedyAccount(t *testing.T) {
	table := New(100, map[string]float64{"greedy": 0.2, "b": 0.4, "c": 0.4})
	for range 500 {
		table.Admit("greedy")
	}
	if open, _ := table.Usage("greedy"); open != 50 {
		t.Errorf("without other accounts the greedy one has %d open, want 50", open)
	}
	for i := range 400 { // all jobs run for the same time
		table.Release("greedy")
		for range 5 {
			table.Admit("greedy")
		}
		for _, quota := range []string{"b", "c"} {
			if open, guaranteed := table.Usage(quota); open < guaranteed && i%2 == 0 && !table.Admit(quota) && table.totalOpen < 100 {
				t.Fatalf("a job of %s is rejected with %d of its guaranteed %d open", quota, open, guaranteed)
			}
		}
	}
	if open, guaranteed := table.Usage("greedy"); open > guaranteed {
		t.Errorf("the greedy account has %d open, want at most its guaranteed %d", open, guaranteed)
	}
	for _, quota := range []string{"b", "c"} {
		if open, guaranteed := table.Usage(quota); open != guaranteed {
			t.Errorf("%s has %d open, want its guaranteed %d", quota, open, guaranteed)
		}
	}
}

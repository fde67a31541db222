package quotas

import (
	"testing"

	"pgregory.net/rapid"
)

func TestTable_promises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(8, 80).Draw(t, "room")
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
				if rapid.IntRange(0, 20).Draw(t, "retune") == 0 {
					shares = map[string]float64{"a": 0.25, "d": 0.5}
					table.SetQuotas(capacity, shares)
				}
			default:
				quota := table.QuotaName(rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "account"))
				before, share := table.Usage(quota)
				full := len(open) >= capacity
				ok := table.Admit(quota)
				switch {
				case ok && full:
					t.Fatal("more open than there is room")
				case !ok && !full && before < share:
					t.Fatalf("%q holds %d of its share of %d and was turned away", quota, before, share)
				case ok && before >= share && before >= capacity-len(open):
					t.Fatalf("%q got its job %d beyond its share of %d with %d free", quota, before+1, share, capacity-len(open))
				}
				if ok {
					open = append(open, quota)
				}
			}
			if len(open) > capacity {
				t.Fatal("more open than there is room")
			}
		}
		for _, pot := range open {
			table.Release(pot)
		}
		if table.totalOpen != 0 || len(table.open) != 0 {
			t.Fatalf("left over: %d, %v", table.totalOpen, table.open)
		}
	})
}

// An account at five times its share beside others that want theirs: these get it, whatever the greedy one took first.
func TestAdmit_greedyAccount(t *testing.T) {
	table := New(100, map[string]float64{"greedy": 0.2, "b": 0.4, "c": 0.4})
	for range 500 {
		table.Admit("greedy")
	}
	if open, _ := table.Usage("greedy"); open != 50 {
		t.Errorf("alone it holds %d", open)
	}
	for i := range 400 { // all run for the same time, the oldest ends first
		table.Release("greedy")
		for range 5 {
			table.Admit("greedy")
		}
		for _, quota := range []string{"b", "c"} {
			if open, share := table.Usage(quota); open < share && i%2 == 0 && !table.Admit(quota) && table.totalOpen < 100 {
				t.Fatalf("%s holds %d of %d and was turned away", quota, open, share)
			}
		}
	}
	if open, share := table.Usage("greedy"); open > share {
		t.Errorf("the greedy one holds %d, its share is %d", open, share)
	}
	for _, pot := range []string{"b", "c"} {
		if open, share := table.Usage(pot); open != share {
			t.Errorf("%s holds %d, its share is %d", pot, open, share)
		}
	}
}

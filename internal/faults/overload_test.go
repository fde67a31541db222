package faults

import (
	"testing"
	"time"

	"brassdale/internal/emulator"
)

// TestBudgets: a third of the workers is frozen, the leader is killed and a lease holder is frozen. With only their own limits, the
// processes together send more retries or probes than the budgets allow; with leases of the budgets they comply. Every job is answered
// once.
func TestBudgets(t *testing.T) {
	binary := buildDispatcher(t)
	for _, shared := range []bool{false, true} {
		t.Run(map[bool]string{false: "own limits", true: "leases"}[shared], func(t *testing.T) {
			t.Parallel()
			p := Plan{Seed: 4, Processes: 6, Voters: 3, Bound: time.Second, Span: 14 * time.Second, ProposalInterval: time.Minute, Rate: 100,
				Overload: &Overload{Retries: 0.1, Probes: 3, Shared: shared, Frozen: 0.34, At: 3 * time.Second, For: 7 * time.Second},
				Events:   []Event{{At: 5 * time.Second, For: time.Second, Kind: Kill, Process: Leader}, {At: 6 * time.Second, For: 3 * time.Second, Kind: Freeze, Process: 5}}}
			r, err := Run(t.Context(), p, binary, t.TempDir())
			if err != nil {
				t.Fatal(err)
			}
			o := r.Overload
			if r.Bad() {
				t.Errorf("broken rules %v, %d jobs never answered", r.Breaches, r.AnsweredNever)
			}
			for kind, over := range o.BudgetOver {
				if shared && over > 1 {
					t.Errorf("%s: expected at most the budget, got %.2f times the budget", kind, over)
				}
			}
			if !shared && max(o.BudgetOver["retries"], o.BudgetOver["probes"]) <= 1 {
				t.Errorf("without leases, expected more retries or probes than the budgets allow, got %+v", o)
			}
			t.Logf("%d first attempts, %d further attempts, %d probes; uses relative to the budgets: %v", o.Firsts, o.Further, o.Probes, o.BudgetOver)
		})
	}
}

// TestOverloadMeasure: the uses in a window are compared with the budget's rate over the window and one saved second, plus one use for each
// process.
func TestOverloadMeasure(t *testing.T) {
	every := func(interval time.Duration, number int) (times []time.Duration) {
		for i := range number {
			times = append(times, 10*time.Second+time.Duration(i)*interval)
		}
		return times
	}
	o := &Overload{Retries: 0.1, Probes: 3}
	received := emulator.ReceivedTimes{FirstAttempts: every(10*time.Millisecond, 1000), FurtherAttempts: every(50*time.Millisecond, 200), Probes: every(time.Second, 10)}
	r := o.measure(received, 6, time.Second)
	// In five seconds there are 100 further attempts and 5 probes. The budgets allow (0.1*100)*6+6 attempts and 3*6+6 probes.
	if r.Firsts != 1000 || r.Further != 200 || r.Probes != 10 || r.BudgetOver["retries"] < 100.0/66 || r.BudgetOver["retries"] > 1.6 || r.BudgetOver["probes"] != 5.0/24 {
		t.Errorf("%+v", r)
	}
	if r := o.measure(emulator.ReceivedTimes{}, 6, time.Second); len(r.BudgetOver) != 0 {
		t.Errorf("without attempts and probes: expected no budgets, got %+v", r)
	}
}

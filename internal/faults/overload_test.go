package faults

import (
	"testing"
	"time"

	"brassdale/internal/emulator"
)

// TestBudgets: a third of the workers is frozen. By its own limits only, each process sends attempts and probes beyond what the budgets
// allow; with leases of the budgets, while the leader is killed and a lease holder is frozen, all processes together comply with them.
// Every job is answered once.
func TestBudgets(t *testing.T) {
	binary := buildDispatcher(t)
	for _, shared := range []bool{false, true} {
		t.Run(map[bool]string{false: "own limits", true: "leases"}[shared], func(t *testing.T) {
			t.Parallel()
			p := Plan{Seed: 4, Processes: 6, Voters: 3, Bound: time.Second, Span: 14 * time.Second, ProposalInterval: time.Minute, Rate: 100,
				Overload: &Overload{Retries: 0.1, Probes: 3, Shared: shared, Frozen: 0.34, At: 3 * time.Second, For: 7 * time.Second},
				Events:   []Event{{At: 5 * time.Second, For: time.Second, Kind: Kill, Process: Leader}, {At: 6 * time.Second, For: 3 * time.Second, Kind: Freeze, Process: 5}}}
			r, err := Play(t.Context(), p, binary, t.TempDir())
			if err != nil {
				t.Fatal(err)
			}
			o := r.Overload
			if r.Bad() {
				t.Errorf("%v, %d never answered", r.Breaches, r.AnsweredNever)
			}
			for kind, over := range o.BudgetOver {
				if shared && over > 1 {
					t.Errorf("%s: %.2f of what its budget allows", kind, over)
				}
			}
			if !shared && max(o.BudgetOver["retries"], o.BudgetOver["probes"]) <= 1 {
				t.Errorf("nothing is shown: without leases they comply with the budgets: %+v", o)
			}
			t.Logf("%d first calls, %d further, %d probes; of the budgets %v", o.Firsts, o.Further, o.Probes, o.BudgetOver)
		})
	}
}

// TestOverloadMeasure: uses within a window are compared with the budget's rate, a second of it saved, and one use for each process.
func TestOverloadMeasure(t *testing.T) {
	every := func(interval time.Duration, number int) (times []time.Duration) {
		for i := range number {
			times = append(times, 10*time.Second+time.Duration(i)*interval)
		}
		return times
	}
	o := &Overload{Retries: 0.1, Probes: 3}
	spent := emulator.ReceivedTimes{FirstAttempts: every(10*time.Millisecond, 1000), FurtherAttempts: every(50*time.Millisecond, 200), Probes: every(time.Second, 10)}
	r := o.measure(spent, 6, time.Second)
	// In five seconds there are 100 further attempts of (0.1*100)*6+6, and 5 probes of 3*6+6.
	if r.Firsts != 1000 || r.Further != 200 || r.Probes != 10 || r.BudgetOver["retries"] < 100.0/66 || r.BudgetOver["retries"] > 1.6 || r.BudgetOver["probes"] != 5.0/24 {
		t.Errorf("%+v", r)
	}
	if r := o.measure(emulator.ReceivedTimes{}, 6, time.Second); len(r.BudgetOver) != 0 {
		t.Errorf("nothing was sent: %+v", r)
	}
}

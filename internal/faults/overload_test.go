package faults

import (
	"testing"
	"time"
)

// A third of the boxes answers nothing: each process by itself sends copies and probes beyond what the budgets allow; dealt out
// by the council, with the leader killed and a holder of leases frozen in the middle of it, all together keep within them, and
// every job is answered once.
func TestBudgets(t *testing.T) {
	binary := build(t)
	for _, shared := range []bool{false, true} {
		t.Run(map[bool]string{false: "each for itself", true: "dealt out"}[shared], func(t *testing.T) {
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
				t.Errorf("nothing is shown: each for itself keeps within the budgets: %+v", o)
			}
			t.Logf("%d first calls, %d further, %d probes; of the budgets %v", o.Firsts, o.Further, o.Probes, o.BudgetOver)
		})
	}
}

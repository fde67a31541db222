package faults

import (
	"slices"
	"testing"
	"time"
)

// TestHardCases runs difficult combinations of faults with real processes. In each, processes with leases contradict each other for no
// longer than the bound, every job is answered once, no rule is broken, and all remaining processes agree on one version.
func TestHardCases(t *testing.T) {
	binary := buildDispatcher(t)
	s := func(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
	for name, c := range map[string]struct {
		plan       Plan
		asExpected func(*Result) bool
	}{
		"a partition of two and three, one-way cuts of a follower, two proposals at once": {
			Plan{Processes: 6, Voters: 5, Span: s(10), ProposalInterval: s(0.4), Events: []Event{{At: s(1), For: s(2.5), Kind: Partition, Group: []int{0, 1}},
				{At: s(4.5), For: s(1.5), Kind: OneWayCut, Process: 5}, {At: s(6.5), For: s(1.5), Kind: OneWayCut, Process: 5, Reverse: true},
				{At: s(8.5), Kind: ProposeTwice}, {At: s(9), Kind: ProposeTwice}}},
			func(r *Result) bool { return r.Versions >= 3 }},
		"the leader's links flap ten times a second for 10 s": {
			Plan{Processes: 5, Voters: 3, Span: s(13), ProposalInterval: s(0.5), Events: []Event{{At: s(1), For: s(10), Kind: Flap, Process: Leader}}},
			func(r *Result) bool { return r.Versions >= 1 }},
		"a follower frozen, the leader killed, all restarted with the data of one lost": {
			Plan{Processes: 5, Voters: 3, Span: s(12), ProposalInterval: s(0.4), Events: []Event{{At: s(1), For: s(3), Kind: Freeze, Process: 4},
				{At: s(2), For: s(1), Kind: Kill, Process: Leader}, {At: s(6), For: s(0.2), Kind: RestartAll, Process: 1}}},
			func(r *Result) bool {
				return r.Versions >= 3 && slices.ContainsFunc(r.Voters, func(id uint64) bool { return id > 3 })
			}},
		"two of three voters killed for good, one after the other": {
			Plan{Processes: 6, Voters: 3, Span: s(15), ProposalInterval: s(0.5), Events: []Event{{At: s(1), Kind: KillForGood, Process: 2}, {At: s(8), Kind: KillForGood, Process: 1}}},
			func(r *Result) bool { return r.Versions >= 3 && len(r.Voters) == 3 && !slices.Contains(r.Voters, 3) }},
		"a canary of rules under which nothing is served, a third is of an older build": {
			Plan{Processes: 6, Voters: 3, OlderBuilds: 2, Span: s(10), ProposalInterval: s(0.4), Events: []Event{{At: s(2), Kind: ProposeCanary}}},
			func(r *Result) bool { return r.Withdrawn == 1 && r.RefusedOlder > 0 && r.Versions >= 3 }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := c.plan
			p.Seed, p.Bound, p.ReplaceVoterAfter, p.Rate = 5, time.Second, 3*time.Second, 60
			r, err := Run(t.Context(), p, binary, t.TempDir())
			if err != nil {
				t.Fatal(err)
			}
			if r.Bad() || !c.asExpected(r) {
				t.Errorf("%+v", struct {
					Contradiction, Settled                    float64
					Jobs, Once, Never, Lost, Withdrawn, Older int
					Versions                                  uint64
					Voters                                    []uint64
					Breaches                                  []string
				}{r.ContradictionMS, r.SettledMS, r.Jobs, r.AnsweredOnce, r.AnsweredNever, r.LostWithProcess, r.Withdrawn, r.RefusedOlder, r.Versions, r.Voters, r.Breaches})
			}
		})
	}
}

package scale

import "fmt"

// String returns the most important figures in a few lines, as brassdale-lab prints them.
func (r *Result) String() string {
	text := fmt.Sprintf("seed %d: %d dispatchers (%d hollow), %d workers, %d zones\n"+
		"control at a dispatcher: %.0f B/s p50, %.0f p99, %.1f messages/s; CPU %.1f ms/s (hollow %.1f), %.1f MB\n"+
		"highest at a voter: %.0f B/s, %.1f ms/s, %.1f MB; the leader %.0f B/s, %.1f ms/s\n"+
		"%d changes in force after %.0f ms p50, %.0f p99, %.0f p99.9; contradiction %.1f ms, %d rules broken; %d jobs, %d answered once, %d never, %d lost with their dispatcher\n"+
		"machine %.0f%% busy; counted %.2f of the bytes on the loopback interface",
		r.Seed, r.Dispatchers, r.Hollow, r.Workers, r.Zones, r.BytesP50, r.BytesP99, r.Messages, r.CPU, r.HollowCPU, r.Memory,
		r.VoterBytesMax, r.VoterCPUMax, r.VoterMemoryMax, r.LeaderBytes, r.LeaderCPU,
		r.Changes, r.InForceP50MS, r.InForceP99MS, r.InForceP999MS, r.ContradictionMS, r.RulesBroken, r.Jobs, r.AnsweredOnce, r.AnsweredNever, r.LostWithProcess,
		100*r.MachineBusy, r.Interface.CountedShare)
	for i := range r.FaultCosts {
		text += "\n" + r.FaultCosts[i].String()
	}
	return text
}

// String returns the most important figures in two lines, as brassdale-lab prints them.
func (f *FaultCost) String() string {
	recovered := "never"
	if f.RecoveredAfterS != nil {
		recovered = fmt.Sprintf("after %.1f s", *f.RecoveredAfterS)
	}
	return fmt.Sprintf("%s at %.0f s for %.0f s: dispatchers affected: %d; recovered: %s; %d changes in force after %.0f ms p50, %.0f p99.9; after return in force after %.0f ms p50, %.0f max\n"+
		"highest 10 s mean, before and since the fault, B/s: %v, %v; ms/s: %v, %v",
		f.Kind, f.AtS, f.ForS, f.Affected, recovered, f.Changes, f.InForceP50MS, f.InForceP999MS, quantile(0.5, f.ReturnedInForceMS), quantile(1, f.ReturnedInForceMS),
		rounded(f.UsualBytes), rounded(f.PeakBytes), rounded(f.UsualCPU), rounded(f.PeakCPU))
}

// rounded returns figures by role, rounded to whole numbers.
func rounded(figures map[costRole]float64) map[costRole]int {
	all := map[costRole]int{}
	for role, figure := range figures {
		all[role] = int(figure + 0.5)
	}
	return all
}

package emulator

import (
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	"brassdale/internal/emulator/policy"
	"brassdale/scheduler"
)

// schedulerPolicy is the scheduler as a Policy.
func schedulerPolicy(s scheduler.Settings, seed uint64) Policy { return scheduler.New(s, seed) }

// plainPolicy returns a policy of internal/emulator/policy by its name.
func plainPolicy(name string) func(scheduler.Settings, uint64) Policy {
	return func(s scheduler.Settings, seed uint64) Policy { return policy.New(name, s, seed) }
}

// mustRun runs a scenario in virtual time.
func mustRun(t testing.TB, scenario Scenario, newPolicy func(scheduler.Settings, uint64) Policy) *Result {
	t.Helper()
	result, err := Run(scenario, newPolicy)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// allFaults is a scenario with every kind of fault except faults of zones.
func allFaults(seed uint64) Scenario {
	s := ReferenceScenario(seed)
	s.Span = 36 * time.Second
	for i := range ZoneLost { // the kinds from ZoneLost on are faults of zones
		s.Faults = append(s.Faults, Fault{At: time.Duration(2+4*i) * time.Second, For: 3 * time.Second, Kind: i, Share: 0.1, Size: 2})
	}
	return s
}

// TestRun_deterministic checks that the same seed gives the same result on any number of cores, and another seed another result.
func TestRun_deterministic(t *testing.T) {
	first := fmt.Sprintf("%+v", *mustRun(t, allFaults(7), schedulerPolicy))
	for _, cores := range []int{1, 4} {
		old := runtime.GOMAXPROCS(cores)
		again := fmt.Sprintf("%+v", *mustRun(t, allFaults(7), schedulerPolicy))
		runtime.GOMAXPROCS(old)
		if again != first {
			t.Errorf("on %d cores: got\n%s\nwant\n%s", cores, again, first)
		}
	}
	if other := fmt.Sprintf("%+v", *mustRun(t, allFaults(8), schedulerPolicy)); other == first {
		t.Error("seeds 7 and 8 give the same result")
	}
}

// TestRun_schedulerMeetsObjective checks that without faults the scheduler serves at least 0.9 of the work in time, and more than random
// choice. It also checks that the scheduler breaks no rule and answers all jobs under every kind of fault except faults of zones.
func TestRun_schedulerMeetsObjective(t *testing.T) {
	faultless := mustRun(t, ReferenceScenario(3), schedulerPolicy)
	if faultless.Service < 0.9 || faultless.Jobs < 9000 || len(faultless.Breaches) > 0 {
		t.Errorf("without faults: %+v", faultless)
	}
	if random := mustRun(t, ReferenceScenario(3), plainPolicy("random")); random.Service >= faultless.Service {
		t.Errorf("random choice serves %.3f, the scheduler %.3f", random.Service, faultless.Service)
	}
	for seed := range uint64(3) {
		result := mustRun(t, allFaults(seed), schedulerPolicy)
		for _, breach := range result.Breaches {
			t.Errorf("seed %d: %s", seed, breach)
		}
		if result.Served+result.Late+result.Rejected+result.Failed < result.Jobs {
			t.Errorf("seed %d: %d jobs, %+v", seed, result.Jobs, result)
		}
	}
}

// singleWorker is a single queue: one dispatcher and one worker, without reports, faults or retries.
func singleWorker(seed uint64, slots int, load float64) Scenario {
	return Scenario{Seed: seed, Span: 1500 * time.Second, Dispatchers: 1, Cells: 1,
		Traffic: Traffic{Rate: load * float64(slots) / 0.1, Work: 0.1, LatencyObjective: time.Hour, Deadline: time.Hour, Idempotency: scheduler.Idempotent},
		Kinds:   []WorkerKind{{"one", 1, slots, 1, 1, false}}, Discovery: time.Millisecond, Rules: Rules{MaxAttempts: 1}}
}

// erlangC returns the probability that a job has to wait, for a number of slots and an offered load (A. K. Erlang, 1917).
func erlangC(slots int, offered float64) float64 {
	sum, term := 0.0, 1.0
	for k := range slots {
		sum += term
		term *= offered / float64(k+1)
	}
	last := term * float64(slots) / (float64(slots) - offered)
	return last / (sum + last)
}

// TestRun_matchesErlangC checks that mean response times match the closed form for M/M/1 and M/M/c, within the 99% interval of ten runs.
func TestRun_matchesErlangC(t *testing.T) {
	for _, test := range []struct {
		slots int
		load  float64
	}{{1, 0.5}, {1, 0.8}, {5, 0.8}, {20, 0.9}} {
		var means []float64
		for seed := range uint64(10) {
			s := singleWorker(seed, test.slots, test.load)
			s.Span /= time.Duration(test.slots)
			means = append(means, mustRun(t, s, plainPolicy("random")).Mean.Seconds())
		}
		mean, spread := 0.0, 0.0
		for _, x := range means {
			mean += x / float64(len(means))
		}
		for _, x := range means {
			spread += (x - mean) * (x - mean) / float64(len(means)-1)
		}
		offered := test.load * float64(test.slots)
		want := 0.1 + erlangC(test.slots, offered)*0.1/(float64(test.slots)-offered)
		if bound := 3.25 * math.Sqrt(spread/float64(len(means))); math.Abs(mean-want) > bound { // 3.25 is Student's t for 9 degrees of freedom and a two-sided interval of 0.99
			t.Errorf("%d slots at %.1f: %.4f s, by Erlang %.4f s, bound %.4f", test.slots, test.load, mean, want, bound)
		}
	}
}

// alteredPolicy is a policy whose actions are altered to break a rule.
type alteredPolicy struct {
	Policy
	alter alteration
}

// Handle returns the altered actions of the policy.
func (p alteredPolicy) Handle(now scheduler.Instant, event scheduler.Event) []scheduler.Action {
	return p.alter(event, p.Policy.Handle(now, event))
}

// alteration alters the actions of a policy after an event.
type alteration func(scheduler.Event, []scheduler.Action) []scheduler.Action

// dropAttempts drops all attempts.
func dropAttempts(_ scheduler.Event, actions []scheduler.Action) (remaining []scheduler.Action) {
	for _, action := range actions {
		if _, ok := action.(scheduler.Send); !ok {
			remaining = append(remaining, action)
		}
	}
	return remaining
}

// failServed fails requests that were served.
func failServed(event scheduler.Event, actions []scheduler.Action) []scheduler.Action {
	if finished, ok := event.(scheduler.AttemptFinished); ok && finished.Outcome == scheduler.Served {
		actions = append(actions, scheduler.Fail{ID: finished.ID})
	}
	return actions
}

// firstList records the workers of the cached list that a policy gets at its start.
type firstList struct{ workers []scheduler.WorkerID }

func (l *firstList) record(event scheduler.Event) {
	if update, ok := event.(scheduler.EndpointsUpdated); ok && update.ListKind == scheduler.ListCached {
		l.workers = nil
		for _, worker := range update.Workers {
			l.workers = append(l.workers, worker.ID)
		}
	}
}

// sendTwice sends each request to a further worker.
func (l *firstList) sendTwice(event scheduler.Event, actions []scheduler.Action) []scheduler.Action {
	l.record(event)
	for i, action := range actions {
		if send, ok := action.(scheduler.Send); ok {
			actions = append(actions, scheduler.Send{ID: send.ID, Worker: l.workers[(i+int(send.ID))%len(l.workers)]})
		}
	}
	return actions
}

// ignoreLaterLists sends requests to any worker of the first list.
func (l *firstList) ignoreLaterLists(event scheduler.Event, actions []scheduler.Action) []scheduler.Action {
	l.record(event)
	for i, action := range actions {
		if send, ok := action.(scheduler.Send); ok {
			actions[i] = scheduler.Send{ID: send.ID, Worker: l.workers[int(send.ID)%len(l.workers)]}
		}
	}
	return actions
}

// TestAuditor_findsEachBreach checks that the auditor finds a breach of each of the four rules, with the request, the worker and the time.
func TestAuditor_findsEachBreach(t *testing.T) {
	base := ReferenceScenario(1)
	base.Span, base.Traffic.Rate = 8*time.Second, 40
	drains := base
	drains.Faults = []Fault{{At: time.Second, For: 6 * time.Second, Kind: Drain, Share: 0.2}}
	starts := base
	starts.Faults = []Fault{{At: time.Second, For: 1, Kind: Restart, Share: 0.01}}
	starts.Traffic.Rate, starts.Discovery = 400, time.Millisecond
	for _, test := range []struct {
		rule     string
		scenario Scenario
		alter    alteration
	}{
		{RuleAnswer, base, dropAttempts},
		{RuleAnswer, base, failServed}, // answered twice
		{RuleRepeat, base, (&firstList{}).sendTwice},
		{RuleDrain, drains, (&firstList{}).ignoreLaterLists},
		{RuleSlowStart, starts, func(_ scheduler.Event, actions []scheduler.Action) []scheduler.Action { return actions }},
	} {
		result := mustRun(t, test.scenario, func(settings scheduler.Settings, seed uint64) Policy {
			return alteredPolicy{plainPolicy("round-robin")(settings, seed), test.alter}
		})
		found := false
		for _, breach := range result.Breaches {
			if breach.Rule == test.rule && breach.Request > 0 && breach.At > 0 && (test.rule == RuleAnswer || breach.Worker != "") {
				found = true
			}
		}
		if !found {
			t.Errorf("%s: not found among %d breaches", test.rule, len(result.Breaches))
		}
	}
}

// BenchmarkRun_referenceScenario runs a minute of 170 jobs/s on one core.
func BenchmarkRun_referenceScenario(b *testing.B) {
	for b.Loop() {
		mustRun(b, ReferenceScenario(1), schedulerPolicy)
	}
}

package emulator

import (
	"fmt"
	"math"
	"runtime"
	"strings"
	"testing"
	"time"

	"brassdale/internal/emulator/policy"
	"brassdale/scheduler"
)

func schedulerPolicy(s scheduler.Settings, seed uint64) Policy { return scheduler.New(s, seed) }

func plainPolicy(name string) func(scheduler.Settings, uint64) Policy {
	return func(s scheduler.Settings, seed uint64) Policy { return policy.New(name, s, seed) }
}

func mustRun(t testing.TB, s Scenario, p func(scheduler.Settings, uint64) Policy) *Result {
	t.Helper()
	r, err := Run(s, p)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// allFaults is a scenario with every kind of fault that is not of a zone.
func allFaults(seed uint64) Scenario {
	s := ReferenceScenario(seed)
	s.Span = 36 * time.Second
	for i := range ZoneLost { // the later ones are of zones
		s.Faults = append(s.Faults, Fault{At: time.Duration(2+4*i) * time.Second, For: 3 * time.Second, Kind: i, Share: 0.1, Size: 2})
	}
	return s
}

// TestSameSeed: the same seed gives the same result on any number of cores, another seed another.
func TestSameSeed(t *testing.T) {
	first := fmt.Sprintf("%+v", *mustRun(t, allFaults(7), schedulerPolicy))
	for _, cores := range []int{1, 4} {
		old := runtime.GOMAXPROCS(cores)
		again := fmt.Sprintf("%+v", *mustRun(t, allFaults(7), schedulerPolicy))
		runtime.GOMAXPROCS(old)
		if again != first {
			t.Errorf("on %d cores:\n%s\nnot\n%s", cores, again, first)
		}
	}
	if other := fmt.Sprintf("%+v", *mustRun(t, allFaults(8), schedulerPolicy)); other == first {
		t.Error("another seed gives the same")
	}
}

// TestModule: the scheduler keeps the rules through all faults, and meets its objective without faults.
func TestModule(t *testing.T) {
	calm := mustRun(t, ReferenceScenario(3), schedulerPolicy)
	if calm.Service < 0.9 || calm.Jobs < 9000 || len(calm.Breaches) > 0 {
		t.Errorf("calm: %+v", calm)
	}
	if bad := mustRun(t, ReferenceScenario(3), plainPolicy("random")); bad.Service >= calm.Service {
		t.Errorf("random choice serves %.3f, the module %.3f", bad.Service, calm.Service)
	}
	for seed := range uint64(3) {
		result := mustRun(t, allFaults(seed), schedulerPolicy)
		for _, b := range result.Breaches {
			t.Errorf("seed %d: %s", seed, b)
		}
		if result.Served+result.Late+result.Rejected+result.Failed < result.Jobs {
			t.Errorf("seed %d: %d jobs, %+v", seed, result.Jobs, result)
		}
	}
}

// singleWorker is a queue: one dispatcher and one worker, nothing else modelled.
func singleWorker(seed uint64, slots int, load float64) Scenario {
	return Scenario{Seed: seed, Span: 1500 * time.Second, Dispatchers: 1, Cells: 1,
		Traffic: Traffic{Rate: load * float64(slots) / 0.1, Work: 0.1, LatencyObjective: time.Hour, Deadline: time.Hour, Effect: scheduler.Idempotent},
		Kinds:   []WorkerKind{{"one", 1, slots, 1, 1, false}}, Discovery: time.Millisecond, Rules: Rules{MaxAttempts: 1}}
}

// erlangC is the probability that a job has to wait, with so many slots and so much offered load (A. K. Erlang, 1917).
func erlangC(slots int, offered float64) float64 {
	sum, term := 0.0, 1.0
	for k := range slots {
		sum += term
		term *= offered / float64(k+1)
	}
	last := term * float64(slots) / (float64(slots) - offered)
	return last / (sum + last)
}

// TestAgainstErlang compares mean response times with the closed form for M/M/1 and M/M/c, within the 99% interval of ten runs.
func TestAgainstErlang(t *testing.T) {
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
		if bound := 3.25 * math.Sqrt(spread/float64(len(means))); math.Abs(mean-want) > bound { // t of 9, 0.99
			t.Errorf("%d slots at %.1f: %.4f s, by Erlang %.4f s, bound %.4f", test.slots, test.load, mean, want, bound)
		}
	}
}

// alteredPolicy is a policy whose actions are altered to break a rule.
type alteredPolicy struct {
	Policy
	alter func(scheduler.Event, []scheduler.Action) []scheduler.Action
}

func (m alteredPolicy) Handle(now scheduler.Instant, ev scheduler.Event) []scheduler.Action {
	return m.alter(ev, m.Policy.Handle(now, ev))
}

// TestAuditor: the auditor finds a breach of each of the four rules, with the request, the worker and the time.
func TestAuditor(t *testing.T) {
	base := ReferenceScenario(1)
	base.Span, base.Traffic.Rate = 8*time.Second, 40
	all := func(s Scenario, meddle func(scheduler.Event, []scheduler.Action) []scheduler.Action) *Result {
		return mustRun(t, s, func(set scheduler.Settings, seed uint64) Policy {
			return alteredPolicy{plainPolicy("round-robin")(set, seed), meddle}
		})
	}
	drains := base
	drains.Faults = []Fault{{At: time.Second, For: 6 * time.Second, Kind: Drain, Share: 0.2}}
	starts := base
	starts.Faults = []Fault{{At: time.Second, For: 1, Kind: Restart, Share: 0.01}}
	starts.Traffic.Rate, starts.Discovery = 400, time.Millisecond
	var listed []scheduler.WorkerID
	recordList := func(ev scheduler.Event) {
		if l, is := ev.(scheduler.EndpointsUpdated); is && l.ListKind == scheduler.ListCached {
			listed = nil
			for _, w := range l.Workers {
				listed = append(listed, w.ID)
			}
		}
	}
	for rule, r := range map[string]*Result{
		RuleAnswer: all(base, func(_ scheduler.Event, acts []scheduler.Action) []scheduler.Action { // drops all attempts
			var remaining []scheduler.Action
			for _, a := range acts {
				if _, is := a.(scheduler.Send); !is {
					remaining = append(remaining, a)
				}
			}
			return remaining
		}),
		RuleAnswer + ", twice": all(base, func(ev scheduler.Event, acts []scheduler.Action) []scheduler.Action {
			if f, is := ev.(scheduler.AttemptFinished); is && f.Outcome == scheduler.Served {
				acts = append(acts, scheduler.Fail{ID: f.ID})
			}
			return acts
		}),
		RuleRepeat: all(base, func(ev scheduler.Event, acts []scheduler.Action) []scheduler.Action { // sends each request twice
			recordList(ev)
			for i, a := range acts {
				if s, is := a.(scheduler.Send); is {
					acts = append(acts, scheduler.Send{ID: s.ID, Worker: listed[(i+int(s.ID))%len(listed)]})
				}
			}
			return acts
		}),
		RuleDrain: all(drains, func(ev scheduler.Event, acts []scheduler.Action) []scheduler.Action { // ignores all lists but the first
			recordList(ev)
			for i, a := range acts {
				if s, is := a.(scheduler.Send); is {
					acts[i] = scheduler.Send{ID: s.ID, Worker: listed[int(s.ID)%len(listed)]}
				}
			}
			return acts
		}),
		RuleSlowStart: all(starts, func(_ scheduler.Event, acts []scheduler.Action) []scheduler.Action { return acts }),
	} {
		rule, _, _ = strings.Cut(rule, ",")
		found := false
		for _, b := range r.Breaches {
			if b.Rule == rule && b.Request > 0 && b.At > 0 && (rule == RuleAnswer || b.Worker != "") {
				found = true
			}
		}
		if !found {
			t.Errorf("%s: not found among %d breaches", rule, len(r.Breaches))
		}
	}
}

// BenchmarkBusyDay runs a minute of 170 jobs/s, on one core.
func BenchmarkBusyDay(b *testing.B) {
	for b.Loop() {
		mustRun(b, ReferenceScenario(1), schedulerPolicy)
	}
}

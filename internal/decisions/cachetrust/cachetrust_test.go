package cachetrust

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"brassdale/internal/testsupport/property"
	"brassdale/scheduler"
)

const day = 24 * time.Hour

var testRules = Rules{MaxAge: 72 * time.Hour, MinFirstListShare: 0.5, SlowStartDuration: 24 * time.Second, SlowStartCapacity: 0.14, MayProbe: true}

// workerID returns the ID of a worker of a test list.
func workerID(i int) scheduler.WorkerID { return scheduler.WorkerID(fmt.Sprint("w", i)) }

// listOfWorkers returns a list of a number of workers, which started long ago.
func listOfWorkers(confirmedAt scheduler.Instant, workers int) CachedList {
	list := CachedList{ConfirmedAt: confirmedAt, Revision: 7}
	for i := range workers {
		list.Workers = append(list.Workers, CachedWorker{ID: workerID(i), LastSignal: confirmedAt})
	}
	return list
}

// TestNew_maxAge checks guarantee 1: a list older than MaxAge is not used.
func TestNew_maxAge(t *testing.T) {
	for _, test := range []struct {
		age    time.Duration
		usable bool
	}{{0, true}, {day, true}, {72 * time.Hour, true}, {72*time.Hour + 1, false}, {-day, true}} {
		assessor := New(10*day, listOfWorkers(10*day-test.age, 3), testRules)
		if age, ok := assessor.Age(); assessor.Usable() != test.usable || ok != (test.age >= 0) || ok && age != test.age {
			t.Errorf("list of age %v: got usable %v, age %v, ok %v", test.age, assessor.Usable(), age, ok)
		}
		if !test.usable && (!assessor.Finished() || assessor.Check(11*day) != nil) {
			t.Errorf("list of age %v: an unusable list still leads to actions", test.age)
		}
	}
}

// guaranteeChecker checks each action of an Assessor against guarantees 2 to 6.
type guaranteeChecker struct {
	t                     *rapid.T
	rules                 Rules
	list                  CachedList
	now                   scheduler.Instant
	probedAt, announcedAt map[scheduler.WorkerID]scheduler.Instant
	answered              map[scheduler.WorkerID]bool
	probes                int
}

// check checks the actions of one call.
func (c *guaranteeChecker) check(actions []Action) {
	for _, action := range actions {
		if (action.Probe == "") == (action.Announce == nil) {
			c.t.Fatalf("expected exactly one field to be set, got %+v", action)
		}
		if action.Probe != "" {
			c.checkProbe(action.Probe)
			continue
		}
		c.checkAnnouncement(action.Announce)
	}
}

// checkProbe checks that a probe is permitted, and that no other probe of the worker is in flight.
func (c *guaranteeChecker) checkProbe(id scheduler.WorkerID) {
	if at, inFlight := c.probedAt[id]; inFlight && c.now < at+ProbeTimeout {
		c.t.Fatalf("two probes of %s in flight", id)
	}
	if c.announcedAt[id] != 0 || !c.rules.MayProbe {
		c.t.Fatalf("%s is probed although it has been announced, or although no probes are permitted", id)
	}
	c.probedAt[id] = c.now
	c.probes++
}

// checkAnnouncement checks that an announced worker was ready in the list and, if probes are permitted, has answered. Its start must be the
// time of the announcement, or the start in the list if it is confirmed later.
func (c *guaranteeChecker) checkAnnouncement(announced *ReadyWorker) {
	index := slices.IndexFunc(c.list.Workers, func(w CachedWorker) bool { return w.ID == announced.ID })
	cached := c.list.Workers[index]
	switch {
	case cached.State != scheduler.Ready || cached.Detached:
		c.t.Fatalf("announces a worker that was not ready: %+v", cached)
	case c.rules.MayProbe && !c.answered[cached.ID]:
		c.t.Fatalf("announces a worker that never answered: %+v", cached)
	case !announced.StartConfirmed && announced.StartedAt != c.now:
		c.t.Fatalf("announced with start %v, expected the time of the announcement, %v", announced.StartedAt, c.now)
	case announced.StartConfirmed && (c.announcedAt[cached.ID] == 0 || announced.StartedAt != cached.StartedAt):
		c.t.Fatalf("confirmed before it was announced, or with another start than in the list: %+v", announced)
	}
	c.announcedAt[cached.ID] = c.now
}

// TestAssessor_guarantees checks guarantees 2 to 6 for any events in any order.
func TestAssessor_guarantees(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		rules := testRules
		rules.MayProbe = rapid.Bool().Draw(t, "probing")
		now := 10 * day
		list := drawList(t, now)
		workers := len(list.Workers)
		assessor := New(now, list, rules)
		startedAt := now
		checker := &guaranteeChecker{t: t, rules: rules, list: list, probedAt: map[scheduler.WorkerID]scheduler.Instant{},
			announcedAt: map[scheduler.WorkerID]scheduler.Instant{}, answered: map[scheduler.WorkerID]bool{}}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond
			checker.now = now
			id := workerID(rapid.IntRange(0, workers-1).Draw(t, "worker"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				checker.check(assessor.Check(now))
			case 2:
				result := rapid.SampledFrom([]ProbeResult{Answered, Unrecognized, NoResponse}).Draw(t, "result")
				if _, inFlight := checker.probedAt[id]; inFlight && result == Answered {
					checker.answered[id] = true
				}
				checker.check(assessor.ProbeCompleted(now, id, result))
				delete(checker.probedAt, id)
			case 3:
				checker.check(assessor.JobServed(now, id, rapid.Float64Range(-1, 4).Draw(t, "log lateness")))
			}
			if maxProbes := workers + int((now-startedAt)/MinProbeRetryDelay+2)*workers; checker.probes > maxProbes {
				t.Fatalf("%d probes of %d workers in %v", checker.probes, workers, now-startedAt)
			}
			if at, ok := assessor.NextCheck(); ok && at <= now {
				checker.check(assessor.Check(now))
				if at, ok := assessor.NextCheck(); ok && at <= now && rules.MayProbe {
					t.Fatalf("the next check is due at %v, although one was made at %v", at, now)
				}
			}
		}
		counted := 0
		for _, count := range assessor.CountByLevel() {
			counted += count
		}
		if counted != workers {
			t.Fatalf("%d of %d workers counted", counted, workers)
		}
	})
}

// drawList draws a cached list of up to 30 workers in any states.
func drawList(t *rapid.T, now scheduler.Instant) CachedList {
	states := []scheduler.WorkerState{scheduler.Ready, scheduler.Ready, scheduler.Draining, scheduler.Gone}
	list := CachedList{ConfirmedAt: now - time.Duration(rapid.IntRange(-5, 60).Draw(t, "age"))*time.Hour, Revision: 7}
	for i := range rapid.IntRange(1, 30).Draw(t, "workers") {
		list.Workers = append(list.Workers, CachedWorker{
			ID:        workerID(i),
			State:     rapid.SampledFrom(states).Draw(t, "state"),
			Detached:  rapid.IntRange(0, 9).Draw(t, "detached") == 0,
			StartedAt: list.ConfirmedAt - time.Duration(rapid.IntRange(0, 100).Draw(t, "since"))*time.Second,
		})
	}
	return list
}

// TestJobServed_sequentialTest checks guarantee 5: at most an eighth of 150 warming workers are taken for warm, and a warm one is confirmed
// after at most four jobs on average.
func TestJobServed_sequentialTest(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		age := time.Duration(rapid.IntRange(0, 48).Draw(t, "hours")) * time.Hour
		seed := rapid.Uint64().Draw(t, "seed")
		falseWarm, warmJobs := 0, 0
		const workers = 300
		state := seed
		normal := func() (sum float64) { // the sum of twelve uniform draws is close enough to a normal distribution
			for range 12 {
				state = state*6364136223846793005 + 1442695040888963407
				sum += float64(state>>11) / (1 << 53)
			}
			return sum - 6
		}
		for i := range workers {
			warmingUp := i%2 == 0
			now := 10 * day
			assessor := New(now, listOfWorkers(now-age, 1), testRules)
			assessor.Check(now)
			assessor.ProbeCompleted(now, workerID(0), Answered)
			for range 20 {
				now += 300 * time.Millisecond
				logLateness := logRuntimeDeviation * normal()
				if warmingUp {
					logLateness += -math.Log(assessor.warmupFactor(now - 10*day))
				} else {
					warmJobs++
				}
				if len(assessor.JobServed(now, workerID(0), logLateness)) > 0 {
					if warmingUp {
						falseWarm++
					}
					break
				}
			}
		}
		if falseWarm > workers/2/8 {
			t.Fatalf("%d of %d warming workers are taken for warm with a list of age %v", falseWarm, workers/2, age)
		}
		if warmJobs > 4*workers/2 {
			t.Fatalf("%d jobs were needed for %d warm workers with a list of age %v", warmJobs, workers/2, age)
		}
	})
}

// TestWarmingUpPrior_growsWithAge checks guarantee 5: the older the list, the less a worker is trusted.
func TestWarmingUpPrior_growsWithAge(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		younger, older := rapid.IntRange(0, 72).Draw(t, "a"), rapid.IntRange(0, 72).Draw(t, "b")
		if younger > older {
			younger, older = older, younger
		}
		prior := func(hours int) float64 {
			assessor := New(10*day, listOfWorkers(10*day-time.Duration(hours)*time.Hour, 1), testRules)
			return assessor.warmingUpPrior(assessor.probeOrder[0])
		}
		if prior(younger) > prior(older) {
			t.Fatalf("the prior of a list of %d h is %v, but of a list of %d h %v", younger, prior(younger), older, prior(older))
		}
	})
}

// TestCheck_probeRate checks guarantee 6: there are MinProbesPerSecond to MaxProbesPerSecond first probes a second, and workers with the
// latest signal come first.
func TestCheck_probeRate(t *testing.T) {
	for _, workers := range []int{3, 12, 50, 200, 20000} {
		list := listOfWorkers(9*day, workers)
		for i := range list.Workers {
			list.Workers[i].LastSignal = 9*day - time.Duration(i)*time.Second
		}
		assessor := New(10*day, list, testRules)
		probes, inOneSecond := 0, 0
		for now := 10 * day; now < 10*day+time.Second; now += 10 * time.Millisecond {
			for _, action := range assessor.Check(now) {
				if action.Probe != workerID(probes) && probes < workers {
					t.Fatalf("%d workers: probe %d goes to %s, not to the worker with the next latest signal", workers, probes, action.Probe)
				}
				if probes++; probes == workers {
					break
				}
				assessor.ProbeCompleted(now, action.Probe, Answered)
			}
			inOneSecond = max(inOneSecond, probes)
		}
		if want := min(workers, MaxProbesPerSecond+1); inOneSecond > want || inOneSecond < min(workers, MinProbesPerSecond) {
			t.Errorf("%d workers: %d probes in a second", workers, inOneSecond)
		}
	}
}

// newAnsweredAssessor returns an Assessor of ten workers, of which all but two have answered.
func newAnsweredAssessor() *Assessor {
	assessor := New(10*day, listOfWorkers(10*day-time.Minute, 10), testRules)
	silent := []scheduler.WorkerID{workerID(8), workerID(9)}
	for now := 10 * day; now < 10*day+time.Second; now += 10 * time.Millisecond {
		for _, action := range assessor.Check(now) {
			if !slices.Contains(silent, action.Probe) {
				assessor.ProbeCompleted(now, action.Probe, Answered)
			}
		}
	}
	return assessor
}

// firstIDs returns the IDs of the first count workers.
func firstIDs(count int) (ids []scheduler.WorkerID) {
	for i := range count {
		ids = append(ids, workerID(i))
	}
	return ids
}

// TestAssessList_firstList checks guarantee 7: which first lists of discovery apply as a whole at once, and how the others are confirmed.
func TestAssessList_firstList(t *testing.T) {
	now := 10*day + 2*time.Second
	for _, test := range []struct {
		name     string
		revision int64
		ready    []scheduler.WorkerID
		retained int // -1: the whole list applies at once
	}{
		{"all", 9, firstIDs(10), -1},
		{"half", 9, firstIDs(5), -1},
		{"below half", 9, firstIDs(4), 4},
		{"empty", 9, nil, 8},
		{"lower revision", 3, firstIDs(7), 1},
		{"lower revision, all that answer", 3, firstIDs(8), -1},
		{"more", 9, firstIDs(12), -1},
	} {
		assessor := newAnsweredAssessor()
		decision := assessor.AssessList(now, test.revision, test.ready)
		if test.retained < 0 {
			if len(decision.Retain) > 0 || decision.RefetchAt != 0 || !assessor.Finished() {
				t.Errorf("%s: expected the list to be in force at once, got %+v", test.name, decision)
			}
			continue
		}
		if len(decision.Retain) != test.retained || decision.RefetchAt != now+ConfirmationDelay || assessor.Finished() {
			t.Errorf("%s: expected the missing workers to be retained until a confirmation, got %+v", test.name, decision)
		}
		if decision := assessor.AssessList(now+ConfirmationDelay/2, test.revision, test.ready); decision.RefetchAt != now+ConfirmationDelay || assessor.Finished() {
			t.Errorf("%s, received again before ConfirmationDelay: expected no confirmation, got %+v", test.name, decision)
		}
		if until, ok := assessor.RetainedUntil(); !ok || until != now+MaxRetention || assessor.ExpireRetained(until-1) != nil {
			t.Errorf("%s: expected retention for MaxRetention, got until %v, ok %v", test.name, until, ok)
		}
		if decision := assessor.AssessList(now+ConfirmationDelay, test.revision, test.ready); (len(test.ready) > 0) != assessor.Finished() {
			t.Errorf("%s, received again after ConfirmationDelay: expected a confirmation unless it is empty, got %+v", test.name, decision)
		}
		assessor = newAnsweredAssessor()
		assessor.AssessList(now, test.revision, test.ready)
		if gone := assessor.ExpireRetained(now + MaxRetention); len(gone) != test.retained || !assessor.Finished() {
			t.Errorf("%s, never received again: expected all retained workers to expire, got %v", test.name, gone)
		}
	}
	// With a minimum share of 0, each list applies as a whole at once.
	rules := testRules
	rules.MinFirstListShare = 0
	assessor := New(10*day, listOfWorkers(10*day-time.Minute, 10), rules)
	if decision := assessor.AssessList(now, 1, nil); decision.RefetchAt != 0 || !assessor.Finished() {
		t.Errorf("minimum share of 0: expected the list to be in force at once, got %+v", decision)
	}
}

// TestSameIncarnation_laterStart checks guarantee 8: a later start is another incarnation.
func TestSameIncarnation_laterStart(t *testing.T) {
	list := listOfWorkers(10*day, 1)
	list.Workers[0].StartedAt = 9 * day
	assessor := New(10*day, list, testRules)
	if !assessor.SameIncarnation(workerID(0), 9*day) || assessor.SameIncarnation(workerID(0), 9*day+1) || assessor.SameIncarnation(workerID(1), 0) {
		t.Error("expected the same incarnation for the same start only, and not for a later start or an unknown worker")
	}
}

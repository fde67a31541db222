package cachetrust

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"brassdale/scheduler"
)

const day = 24 * time.Hour

var testRules = Rules{MaxAge: 72 * time.Hour, MinFirstListShare: 0.5, SlowStartDuration: 24 * time.Second, SlowStartCapacity: 0.14, MayProbe: true}

func workerID(i int) scheduler.WorkerID { return scheduler.WorkerID(fmt.Sprint("w", i)) }

// listOfWorkers is a list of so many workers that have been up for long.
func listOfWorkers(made scheduler.Clock, n int) CachedList {
	l := CachedList{ConfirmedAt: made, Revision: 7}
	for i := range n {
		l.Workers = append(l.Workers, CachedWorker{ID: workerID(i), LastSignal: made})
	}
	return l
}

// Promise 1.
func TestNew_maxAge(t *testing.T) {
	for _, test := range []struct {
		age    time.Duration
		usable bool
	}{{0, true}, {day, true}, {72 * time.Hour, true}, {72*time.Hour + 1, false}, {-day, true}} {
		assessor := New(10*day, listOfWorkers(10*day-test.age, 3), testRules)
		if age, ok := assessor.Age(); assessor.Usable() != test.usable || ok != (test.age >= 0) || ok && age != test.age {
			t.Errorf("%v: usable %v, age %v, %v", test.age, assessor.Usable(), age, ok)
		}
		if !test.usable && (!assessor.Finished() || assessor.Check(11*day) != nil) {
			t.Errorf("%v: still decides", test.age)
		}
	}
}

// Promises 2 to 6, whatever comes in whatever order.
func TestAssessor_promises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rules := testRules
		rules.MayProbe = rapid.Bool().Draw(t, "probing")
		now := 10 * day
		list := CachedList{ConfirmedAt: now - time.Duration(rapid.IntRange(-5, 60).Draw(t, "age"))*time.Hour, Revision: 7}
		workers := rapid.IntRange(1, 30).Draw(t, "workers")
		for i := range workers {
			list.Workers = append(list.Workers, CachedWorker{ID: workerID(i), State: rapid.SampledFrom([]scheduler.WorkerState{scheduler.Ready, scheduler.Ready, scheduler.Draining, scheduler.Gone}).Draw(t, "state"),
				Detached: rapid.IntRange(0, 9).Draw(t, "out") == 0, StartedAt: list.ConfirmedAt - time.Duration(rapid.IntRange(0, 100).Draw(t, "since"))*time.Second})
		}
		assessor := New(now, list, rules)
		startedAt := now
		probedAt, answered, announcedAt, confirmed := map[scheduler.WorkerID]scheduler.Clock{}, map[scheduler.WorkerID]bool{}, map[scheduler.WorkerID]scheduler.Clock{}, map[scheduler.WorkerID]bool{}
		probes := 0
		checkActions := func(vs []Action) {
			for _, v := range vs {
				if (v.Probe == "") == (v.Announce == nil) {
					t.Fatalf("%+v is not one verdict", v)
				}
				if w := v.Probe; w != "" {
					if at, is := probedAt[w]; is && now < at+ProbeTimeout {
						t.Fatalf("two probes out to %s", w)
					}
					if announcedAt[w] != 0 || !rules.MayProbe {
						t.Fatalf("probes %s", w)
					}
					probedAt[w] = now
					probes++
					continue
				}
				w := slices.IndexFunc(list.Workers, func(w CachedWorker) bool { return w.ID == v.Announce.ID })
				saved := list.Workers[w]
				switch {
				case saved.State != scheduler.Ready || saved.Detached:
					t.Fatalf("told one that had left: %+v", saved)
				case rules.MayProbe && !answered[saved.ID]:
					t.Fatalf("told one that never answered: %+v", saved)
				case !v.Announce.StartConfirmed && v.Announce.StartedAt != now:
					t.Fatalf("told as started at %v at %v", v.Announce.StartedAt, now)
				case v.Announce.StartConfirmed && (announcedAt[saved.ID] == 0 || v.Announce.StartedAt != saved.StartedAt):
					t.Fatalf("proven before it was told, or as another: %+v", v.Announce)
				}
				announcedAt[saved.ID] = now
				confirmed[saved.ID] = confirmed[saved.ID] || v.Announce.StartConfirmed
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond
			w := workerID(rapid.IntRange(0, workers-1).Draw(t, "worker"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				checkActions(assessor.Check(now))
			case 2:
				s := rapid.SampledFrom([]ProbeResult{Answered, Unrecognized, NoResponse}).Draw(t, "sign")
				if _, is := probedAt[w]; is && s == Answered {
					answered[w] = true
				}
				checkActions(assessor.ProbeCompleted(now, w, s))
				delete(probedAt, w)
			case 3:
				checkActions(assessor.JobServed(now, w, rapid.Float64Range(-1, 4).Draw(t, "late")))
			}
			if maxProbes := workers + int((now-startedAt)/MinProbeRetryDelay+2)*workers; probes > maxProbes {
				t.Fatalf("%d probes of %d workers in %v", probes, workers, now-startedAt)
			}
			if at, ok := assessor.NextCheck(); ok && at <= now {
				checkActions(assessor.Check(now))
				if at, ok := assessor.NextCheck(); ok && at <= now && rules.MayProbe {
					t.Fatalf("due at %v after a look at %v", at, now)
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

// Promise 5: a worker that is cold is seldom taken for warm, one that is warm after a job or three.
func TestJobServed_sequentialTest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		age := time.Duration(rapid.IntRange(0, 48).Draw(t, "hours")) * time.Hour
		seed := rapid.Uint64().Draw(t, "seed")
		falseWarm, warmJobs := 0, 0
		const workers = 300
		state := seed
		normal := func() (sum float64) { // a sum of twelve even numbers is near enough
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
			t.Fatalf("%d of %d cold workers taken for warm with a list of %v", falseWarm, workers/2, age)
		}
		if warmJobs > 4*workers/2 {
			t.Fatalf("%d jobs to prove %d warm workers with a list of %v", warmJobs, workers/2, age)
		}
	})
}

// The older the list, the less a worker is trusted.
func TestWarmingUpPrior_growsWithAge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		younger, older := rapid.IntRange(0, 72).Draw(t, "a"), rapid.IntRange(0, 72).Draw(t, "b")
		if younger > older {
			younger, older = older, younger
		}
		prior := func(hours int) float64 {
			trust := New(10*day, listOfWorkers(10*day-time.Duration(hours)*time.Hour, 1), testRules)
			return trust.warmingUpPrior(trust.probeOrder[0])
		}
		if prior(younger) > prior(older) {
			t.Fatalf("after %d h %v, after %d h %v", younger, prior(younger), older, prior(older))
		}
	})
}

// Promise 6: the first probes are paced, and those heard last come first.
func TestCheck_probeRate(t *testing.T) {
	for _, workers := range []int{3, 12, 50, 200, 20000} {
		list := listOfWorkers(9*day, workers)
		for i := range list.Workers {
			list.Workers[i].LastSignal = 9*day - time.Duration(i)*time.Second
		}
		assessor := New(10*day, list, testRules)
		probes, inOneSecond := 0, 0
		for now := 10 * day; now < 10*day+time.Second; now += 10 * time.Millisecond {
			for _, v := range assessor.Check(now) {
				if v.Probe != workerID(probes) && probes < workers {
					t.Fatalf("%d workers: probe %d goes to %s", workers, probes, v.Probe)
				}
				if probes++; probes == workers {
					break
				}
				assessor.ProbeCompleted(now, v.Probe, Answered)
			}
			inOneSecond = max(inOneSecond, probes)
		}
		if want := min(workers, MaxProbesPerSecond+1); inOneSecond > want || inOneSecond < min(workers, MinProbesPerSecond) {
			t.Errorf("%d workers: %d probes in a second", workers, inOneSecond)
		}
	}
}

// Promise 7.
func TestAssessList_firstList(t *testing.T) {
	newAssessor := func() *Assessor {
		assessor := New(10*day, listOfWorkers(10*day-time.Minute, 10), testRules)
		for now := 10 * day; now < 10*day+time.Second; now += 10 * time.Millisecond {
			for _, v := range assessor.Check(now) {
				if i := slices.Index([]scheduler.WorkerID{workerID(8), workerID(9)}, v.Probe); i < 0 { // two never answer
					assessor.ProbeCompleted(now, v.Probe, Answered)
				}
			}
		}
		return assessor
	}
	workerIDs := func(n int) (ids []scheduler.WorkerID) {
		for i := range n {
			ids = append(ids, workerID(i))
		}
		return ids
	}
	now := 10*day + 2*time.Second
	for _, test := range []struct {
		name     string
		revision int64
		ready    []scheduler.WorkerID
		kept     int // -1: counts at once
	}{
		{"all", 9, workerIDs(10), -1}, {"half", 9, workerIDs(5), -1}, {"below half", 9, workerIDs(4), 4}, {"empty", 9, nil, 8},
		{"older", 3, workerIDs(7), 1}, {"older, all that answer", 3, workerIDs(8), -1}, {"more", 9, workerIDs(12), -1},
	} {
		trust := newAssessor()
		j := trust.AssessList(now, test.revision, test.ready)
		if test.kept < 0 {
			if len(j.Retain) > 0 || j.RefetchAt != 0 || !trust.Finished() {
				t.Errorf("%s: %+v", test.name, j)
			}
			continue
		}
		if len(j.Retain) != test.kept || j.RefetchAt != now+ConfirmationDelay || trust.Finished() {
			t.Errorf("%s: %+v", test.name, j)
		}
		if j := trust.AssessList(now+ConfirmationDelay/2, test.revision, test.ready); j.RefetchAt != now+ConfirmationDelay || trust.Finished() {
			t.Errorf("%s, told again too soon: %+v", test.name, j)
		}
		if until, ok := trust.RetainedUntil(); !ok || until != now+MaxRetention || trust.ExpireRetained(until-1) != nil {
			t.Errorf("%s: doubted until %v, %v", test.name, until, ok)
		}
		if j := trust.AssessList(now+ConfirmationDelay, test.revision, test.ready); (len(test.ready) > 0) != trust.Finished() {
			t.Errorf("%s, told twice: %+v", test.name, j)
		}
		trust = newAssessor()
		trust.AssessList(now, test.revision, test.ready)
		if gone := trust.ExpireRetained(now + MaxRetention); len(gone) != test.kept || !trust.Finished() {
			t.Errorf("%s, never told again: %v", test.name, gone)
		}
	}
	// Who names no share wants every list at once.
	rules := testRules
	rules.MinFirstListShare = 0
	trust := New(10*day, listOfWorkers(10*day-time.Minute, 10), rules)
	if j := trust.AssessList(now, 1, nil); j.RefetchAt != 0 || !trust.Finished() {
		t.Errorf("without a share: %+v", j)
	}
}

// Promise 8.
func TestSameIncarnation_laterStart(t *testing.T) {
	list := listOfWorkers(10*day, 1)
	list.Workers[0].StartedAt = 9 * day
	assessor := New(10*day, list, testRules)
	if !assessor.SameIncarnation(workerID(0), 9*day) || assessor.SameIncarnation(workerID(0), 9*day+1) || assessor.SameIncarnation(workerID(1), 0) {
		t.Error("a later start is the same life")
	}
}

package scheduler

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"brassdale/internal/testsupport/property"
)

// TestSlowStartBudget_anyFleet draws fleets of up to thirty dispatchers with uneven load. In some of them seven in ten
// dispatchers are killed and restarted without learned state. It checks that within any overload window a warming worker gets at
// most N + 2 x sqrt(N) + 2 jobs, where N is the number that the settings allow it and the rest is a margin for chance.
func TestSlowStartBudget_anyFleet(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		fleet := warmingFleet{dispatchers: rapid.IntRange(1, 30).Draw(t, "dispatchers"), slots: float64(rapid.IntRange(2, 8).Draw(t, "slots")),
			work: rapid.Float64Range(0.1, 1).Draw(t, "work"), requestRate: rapid.Float64Range(20, 200).Draw(t, "rate"),
			firstDispatcherFactor: rapid.Float64Range(0.2, 4).Draw(t, "first dispatcher factor"), seed: rapid.Uint64().Draw(t, "seed"),
			restartDuration: time.Duration(rapid.IntRange(10, 1500).Draw(t, "restart")) * ms}
		if rapid.Bool().Draw(t, "kill") {
			fleet.killedAt = start + 5*time.Second + time.Duration(rapid.IntRange(100, 2500).Draw(t, "killed at"))*ms
		}
		fleet.settings = Settings{Classes: []Class{{LatencyObjective: durationOf(fleet.work * rapid.Float64Range(0.25, 1.5).Draw(t, "objective")), Deadline: 5 * time.Second,
			LateWeight: 0.5, Idempotency: Idempotent, MachineKind: -1}}, MayCancel: true, MaxAttempts: 4,
			SlowStartDuration: time.Duration(rapid.IntRange(4, 24).Draw(t, "slow start")) * time.Second, SlowStartCapacity: rapid.Float64Range(0.12, 0.6).Draw(t, "start capacity"),
			OverloadMultiple: rapid.Float64Range(2, 3).Draw(t, "multiple"), OverloadWindow: time.Duration(rapid.IntRange(1000, 3000).Draw(t, "window")) * ms}
		arrivedAt := fleet.arrivals()
		for i, end := range arrivedAt {
			from, _ := slices.BinarySearch(arrivedAt, end-fleet.settings.OverloadWindow)
			got := float64(i - from + 1)
			capacityShare := fleet.settings.SlowStartCapacity + (1-fleet.settings.SlowStartCapacity)*min(float64(end-start-5*time.Second)/float64(fleet.settings.SlowStartDuration), 1)
			allowed := fleet.settings.OverloadMultiple * capacityShare * fleet.slots * fleet.settings.OverloadWindow.Seconds() / fleet.work
			if allowedWithMargin := allowed + 2*math.Sqrt(allowed) + 2; got > allowedWithMargin {
				t.Fatalf("got %.0f jobs within %v, expected at most %.1f, or %.1f with the margin, at %v", got, fleet.settings.OverloadWindow, allowed, allowedWithMargin, end-start)
			}
		}
		if len(arrivedAt) == 0 && fleet.killedAt == 0 && fleet.requestRate > 100 {
			t.Fatal("expected jobs at the warming worker, got none")
		}
	})
}

// TestSlowStartBudget_successorSendsAtOnce checks that a process that starts after a crash sends nothing for one overload window
// to a warming worker that was listed before it. A successor in a handover sends at once, because each of the two processes had
// half of the share.
func TestSlowStartBudget_successorSendsAtOnce(t *testing.T) {
	for _, successor := range []bool{false, true} {
		driver := newDriver(t, baseSettings())
		driver.listWorkers(WorkerInfo{ID: "w", StartedAt: driver.now - ms})
		driver.scheduler.recordSlots(driver.scheduler.workers[0], 4)
		if successor {
			driver.handle(LearnedStateReceived{LearnedState: driver.scheduler.LearnedState()})
		}
		driver.now += 10 * ms
		if to := driver.submit(1, 0); successor != (to != "") {
			t.Errorf("successor %v: at once the request was sent to %q, expected a send only from a successor", successor, to)
		}
		driver.now += baseSettings().OverloadWindow + maxSendDelay
		if to := driver.submit(2, 0); !successor && to == "" && driver.scheduler.workers[0].ownSlots == 0 {
			t.Error("expected a send after the overload window, got none")
		}
	}
}

// TestSlowStartBudget_fromFewJobs checks that dispatchers that have seen few jobs use at least half of the budget of warming
// workers, and at most the whole budget.
func TestSlowStartBudget_fromFewJobs(t *testing.T) {
	const dispatchers, n, jobs = 80, 60, 8
	sent := 0
	for _, driver := range newDispatchers(t, dispatchers, n) {
		driver.learnRuntimes(jobs, 250*ms)
		warming := workers(n)
		for i := range warming {
			warming[i].ID, warming[i].StartedAt = WorkerID(fmt.Sprint("new-", i)), driver.now-driver.scheduler.settings.SlowStartDuration/10
		}
		driver.listWorkers(warming...) // all of them are replaced
		for i := range n {
			for _, action := range driver.handle(RequestArrived{ID: RequestID(100 + i), Slots: 1, AffinityKey: uint64(i), Deadline: driver.now + 4*time.Second}) {
				if send, ok := action.(Send); ok && send.ID >= 100 {
					sent++
				}
			}
		}
	}
	// For each worker, in jobs of 0.25 s: usedBudgetShare x OverloadMultiple x 0.28 of a slot x 1 s.
	if most := int(math.Round(n * 0.6 * 3 * 0.28 / 0.25)); sent < most/2 || sent > most {
		t.Errorf("%d requests sent to %d warming workers within their window, want at most %d and at least half of that", sent, n, most)
	}
}

// TestPlacement_warmingWorkerFirstInCongestion checks that while attempts wait for their start at the warm workers, a warming
// worker within its budget comes first, regardless of the affinity keys.
func TestPlacement_warmingWorkerFirstInCongestion(t *testing.T) {
	for _, wait := range []time.Duration{10 * ms, 300 * ms} {
		settings := baseSettings()
		settings.Classes[0].LateWeight = 1
		driver := newDriver(t, settings)
		infos := workers(8)
		driver.listWorkers(infos...)
		for id := RequestID(1); id <= 12; id++ {
			driver.handle(RequestArrived{ID: id, Slots: 1, AffinityKey: uint64(id), Deadline: driver.now + 4*time.Second})
			driver.advance(wait)
			driver.handle(AttemptStarted{ID: id})
			driver.advance(100 * ms)
			driver.finishServed(id, nil)
		}
		infos[0].StartedAt = driver.now - settings.SlowStartDuration/2
		driver.listWorkers(infos...)
		first := 0 // number of keys whose next request goes to the warming worker
		for key := uint64(20); key < 24; key++ {
			first += oneIf(firstSendWorker(driver.handle(RequestArrived{ID: RequestID(key), Slots: 1, AffinityKey: key, Deadline: driver.now + 4*time.Second})) == infos[0].ID)
			driver.finishServed(RequestID(key), nil)
			driver.now += settings.OverloadWindow
		}
		if congested := wait > delayedStartThreshold; congested != (first == 4) {
			t.Errorf("after waits of %v: %d of 4 requests were sent to the warming worker", wait, first)
		}
	}
}

// TestSlowStartBudget_zoneReturns restarts a third of the workers while requests wait at the others. It checks that the
// dispatchers together send each restarted worker no more than its budget within any window, and all restarted workers at least a
// third of their budgets.
func TestSlowStartBudget_zoneReturns(t *testing.T) {
	const dispatchers, n, warming, mean = 80, 60, 20, 0.25
	type sentWork struct {
		at   Instant
		work float64
	}
	sent := map[WorkerID][]sentWork{}
	var settings *Settings
	for _, driver := range newDispatchers(t, dispatchers, n) {
		driver.now = start
		settings = driver.scheduler.settings
		driver.learnRuntimes(8, mean*1000*ms)
		driver.now = start + 10*time.Second
		infos := workers(n)
		for i := range warming {
			infos[i].StartedAt = driver.now
		}
		driver.handle(EndpointsUpdated{ListKind: ListFull, Workers: infos})
		for i := range 16 { // four requests a second
			driver.scheduler.congestion = 1
			id := RequestID(100 + i)
			for _, action := range driver.handle(RequestArrived{ID: id, Slots: 1, AffinityKey: uint64(i + driver.scheduler.settings.DispatcherIndex*100 + 1), Deadline: driver.now + 4*time.Second}) {
				if send, ok := action.(Send); ok && send.ID == id {
					sent[send.Worker] = append(sent[send.Worker], sentWork{driver.now, mean})
				}
			}
			driver.handle(AttemptStarted{ID: id})
			driver.advance(mean * 1000 * ms)
			driver.handle(AttemptFinished{ID: id, Outcome: Served, Final: true})
		}
	}
	used, permitted := 0.0, 0.0
	for _, worker := range workers(n)[:warming] {
		attempts := sent[worker.ID]
		for _, attempt := range attempts {
			sum := 0.0
			for _, other := range attempts {
				if other.at >= attempt.at && other.at < attempt.at+settings.OverloadWindow {
					sum += other.work
				}
			}
			used += attempt.work
			age := float64(attempt.at-start-10*time.Second) / float64(settings.SlowStartDuration)
			if warm := settings.SlowStartCapacity + (1-settings.SlowStartCapacity)*age; sum > settings.OverloadMultiple*warm*settings.OverloadWindow.Seconds() {
				t.Fatalf("%s: got %.2f s of work within %v at an age of %.2f slow-start durations, more than its budget", worker.ID, sum, settings.OverloadWindow, age)
			}
		}
		permitted += usedBudgetShare * settings.OverloadMultiple * 0.36 * 4 // the mean share of capacity over the 4 s
	}
	if used < permitted/3 {
		t.Errorf("%.1f s of work sent to warming workers, expected at least a third of their budgets of %.1f s", used, permitted)
	}
}

// TestSlowStartShare_beforeFirstJob checks that dispatchers that start while half of the workers warm up, and have seen no job
// yet, each have a share of at most 30 of 90 warming workers.
func TestSlowStartShare_beforeFirstJob(t *testing.T) {
	for me := range 30 {
		settings := baseSettings()
		settings.DispatcherIndex, settings.Dispatchers, settings.ReportsPulled, settings.MayProbe = 10*me, 300, true, true
		settings.SlowStartDuration, settings.SlowStartCapacity, settings.OverloadMultiple, settings.OverloadWindow = 24*time.Second, 0.14, 3, 1500*ms
		driver := newDriver(t, settings)
		infos := workers(170)
		for i := range infos[80:] {
			infos[80+i].StartedAt = driver.now - time.Second
		}
		driver.listWorkers(infos...)
		own := 0
		for _, worker := range driver.scheduler.workers {
			own += oneIf(driver.scheduler.warmupFactor(worker) < 1 && driver.scheduler.slowStartShare(worker) > 0)
		}
		if own > 30 {
			t.Errorf("dispatcher %d has a share of %d of 90 warming workers before its first job, want at most 30", me, own)
		}
	}
}

// TestSlowStartBudget_twoProcesses checks that each of two processes that act as one dispatcher sends a warming worker half of its
// budget.
func TestSlowStartBudget_twoProcesses(t *testing.T) {
	driver := newDriver(t, baseSettings())
	driver.scheduler.settings.SlowStartDuration, driver.scheduler.settings.SlowStartCapacity, driver.scheduler.settings.OverloadMultiple, driver.scheduler.settings.OverloadWindow = 20*time.Second, 0.2, 3, 1500*ms
	driver.listWorkers(workers(1)...)
	worker := driver.scheduler.workers[0]
	worker.StartedAt, worker.observedSlots = driver.now, 4
	fullBudget := driver.scheduler.slowStartBudget(worker)
	driver.handle(ProcessCountChanged{Processes: 2})
	if halfBudget := driver.scheduler.slowStartBudget(worker); halfBudget != fullBudget/2 {
		t.Errorf("budget of each of two processes %v, want half of the %v of one process", halfBudget, fullBudget)
	}
	if driver.handle(ProcessCountChanged{Processes: 1}); driver.scheduler.slowStartBudget(worker) != fullBudget {
		t.Error("expected the full budget again after the handover")
	}
}

// TestSlowStartBudget_allDispatchers checks that 300 dispatchers together send a warming worker some work, and no more than its
// budget. If the budget were split evenly, each share would be less than a job.
func TestSlowStartBudget_allDispatchers(t *testing.T) {
	settings := baseSettings()
	settings.SlowStartDuration = 20 * time.Second
	schedulers := newSchedulers(settings, 300, 1, []WorkerInfo{{ID: "cold", StartedAt: start + ms}}) // it started after all dispatchers
	for _, scheduler := range schedulers {
		scheduler.recordSlots(scheduler.workers[0], 4)
		scheduler.classes[0] = classState{workScale: 0.2, meanLogRuntime: math.Log(0.2), jobs: 100}
		scheduler.meanWork, scheduler.servedJobs = 0.2, 100
	}
	work := 0.0
	for i := range RequestID(20) {
		for _, scheduler := range schedulers {
			at := start + 2*time.Second + Instant(i)*45*ms
			if firstSendWorker(scheduler.Handle(at, RequestArrived{ID: i, Slots: 1, Deadline: at + time.Second})) != "" {
				work += 0.2
				scheduler.Handle(at, AttemptFinished{ID: i, Outcome: Served, Final: true})
			}
		}
	}
	budget := settings.OverloadMultiple * schedulers[0].warmupFactor(schedulers[0].workers[0]) * 4 * settings.OverloadWindow.Seconds()
	if work == 0 || work > budget {
		t.Errorf("300 dispatchers sent %.2f slot-seconds within %v, the budget is %.2f", work, settings.OverloadWindow, budget)
	}
}

// TestSlowStartBudget_oneDispatcher checks that a warming worker, the only one in the list and under far more load than its
// capacity, gets no more than this dispatcher's share of its budget within the overload window.
func TestSlowStartBudget_oneDispatcher(t *testing.T) {
	settings := baseSettings()
	driver := newSettledDriver(t, settings)
	driver.listWorkers(WorkerInfo{ID: "w", StartedAt: driver.now - ms})
	driver.scheduler.recordSlots(driver.scheduler.workers[0], 4)
	driver.scheduler.classes[0], driver.scheduler.meanWork, driver.scheduler.servedJobs = classState{workScale: 0.1, meanLogRuntime: math.Log(0.1), jobs: 100}, 0.1, 100
	sent := 0
	for id := RequestID(1); id <= 50; id++ {
		if driver.submit(id, 0) != "" {
			sent++
			driver.finishServed(id, nil)
		}
		driver.now += 10 * ms
	}
	budget := settings.OverloadMultiple * (settings.SlowStartCapacity + 0.05) * 4 * settings.OverloadWindow.Seconds() / float64(settings.Dispatchers)
	if work := 0.1 * float64(sent); sent == 0 || work > budget {
		t.Errorf("%d jobs, %.2f slot-seconds, were sent within half a second; the budget is %.2f", sent, work, budget)
	}
}

// TestCapacity_unusedWarmingWorker checks that a warming worker without own attempts takes a first one within its budget,
// regardless of the overcommit and of its slowdown: many workers warm up only by running jobs.
func TestCapacity_unusedWarmingWorker(t *testing.T) {
	driver := newSettledDriver(t, baseSettings())
	driver.listWorkers(WorkerInfo{ID: "w", StartedAt: driver.now - 2*time.Second})
	driver.scheduler.recordSlots(driver.scheduler.workers[0], 2)
	driver.scheduler.classes[0], driver.scheduler.meanWork, driver.scheduler.servedJobs = classState{workScale: 0.05, meanLogRuntime: math.Log(0.05), jobs: 100}, 0.05, 100
	driver.scheduler.overcommit = minOvercommit
	if driver.submit(1, 0) == "" {
		t.Error("expected a send of the first request, which is within the budget, got none")
	}
}

// TestSlowStartBudget_startFromCache guards against the overload of a warming worker by a process that starts from the endpoint
// cache: the process that wrote the cache may have been killed a moment ago, after it used up its share of the budget.
func TestSlowStartBudget_startFromCache(t *testing.T) {
	driver := newDriver(t, baseSettings())
	learned := driver.scheduler.LearnedState()
	driver.handle(LearnedStateReceived{LearnedState: learned, FromCache: true})
	driver.listWorkers(WorkerInfo{ID: "w", StartedAt: driver.now - ms})
	driver.scheduler.recordSlots(driver.scheduler.workers[0], 4)
	driver.now += 10 * ms
	if to := driver.submit(1, 0); to != "" {
		t.Errorf("expected no send within the overload window, got one to %q", to)
	}
}

package scheduler

import (
	"math"
	"testing"
	"time"
)

// TestFull_withFreeSlots checks that if a worker with free slots rejects a job as full, for lack of memory, the job is retried at
// another worker, and the next jobs go to other workers for the mean duration of an attempt.
func TestFull_withFreeSlots(t *testing.T) {
	driver := newDriver(t, baseSettings())
	driver.listWorkers(workers(2)...)
	for _, w := range driver.scheduler.workers {
		driver.scheduler.recordSlots(w, 4)
	}
	first := driver.submit(1, 2)
	next := firstSendWorker(driver.handle(AttemptFinished{ID: 1, Worker: first, Outcome: Full, Report: nil}))
	if next == "" || next == first {
		t.Fatalf("rejected at %s, retried at %q", first, next)
	}
	for id := RequestID(2); id <= 4; id++ {
		if w := driver.submit(id, 2); w == first {
			t.Errorf("request %d was sent to the worker that had rejected a job as full", id)
		}
	}
	driver.now += 2 * time.Second
	if w := driver.submit(5, 2); w != first {
		t.Errorf("2 s later a request was sent to %s, which has more attempts in flight", w)
	}
}

// TestLoadUncertainty_followsArrivalRate checks that the uncertainty of a load follows from the number of jobs that other
// dispatchers have sent since the report, not only from the number of dispatchers.
func TestLoadUncertainty_followsArrivalRate(t *testing.T) {
	for _, test := range []struct {
		dispatchers, workers int
		rate, most           float64
	}{{1, 10, 10, 0}, {16, 28, 11, math.Sqrt(15)}, {300, 180, 1, 2}, {300, 180, 6, 4}} {
		settings := baseSettings()
		settings.Dispatchers = test.dispatchers
		scheduler := New(settings, 1)
		scheduler.Handle(start, EndpointsUpdated{ListKind: ListFull, Workers: zonedWorkers(test.workers, 1)})
		scheduler.arrivalRate, scheduler.meanAttemptDuration = test.rate, 1
		worker := scheduler.workers[0]
		worker.reportedAt = scheduler.now
		fresh := scheduler.loadUncertainty(worker)
		scheduler.now += time.Second
		if old := scheduler.loadUncertainty(worker); old > test.most+1e-9 || old < fresh {
			t.Errorf("%d dispatchers, %d workers, %v requests/s: uncertainty %v at once, %v after a second, want at most %v",
				test.dispatchers, test.workers, test.rate, fresh, old, test.most)
		}
	}
}

// TestLoadValue_oldReportMovesToOwnMeanOnLargeFleets checks that on a large fleet the load value of an old report moves to the worker's
// own mean, which shows small and slow workers.
func TestLoadValue_oldReportMovesToOwnMeanOnLargeFleets(t *testing.T) {
	scheduler := newSchedulers(baseSettings(), 300, 1, zonedWorkers(100, 1))[0]
	busy, idle := scheduler.subset[0], scheduler.subset[1]
	for i := range 10 {
		scheduler.now += time.Duration(i) * 100 * ms
		scheduler.applyReport(busy, loadReport(0.9, 0.4))
		scheduler.applyReport(idle, loadReport(0.1, 4))
	}
	scheduler.now += time.Minute
	if a, b := scheduler.loadValue(busy), scheduler.loadValue(idle); a < 0.8 || b > 0.2 {
		t.Errorf("a minute later the load values are %v at the busy worker and %v at the idle one", a, b)
	}
}

// TestIncrement_followsOutcomes checks that the increment of a slot is initialIncrement at first, doubles with the outcome Full, halves
// after sendsToHalveIncrement sends without that outcome, and is replaced by the slots that a report shows.
func TestIncrement_followsOutcomes(t *testing.T) {
	driver := newDriver(t, baseSettings())
	driver.listWorkers(workers(1)...)
	worker := driver.scheduler.workers[0]
	if got := driver.scheduler.slotShare(worker, 1); got != initialIncrement {
		t.Errorf("without a report the increment is %v", got)
	}
	driver.submit(1, 0)
	driver.handle(AttemptFinished{ID: 1, Outcome: Full})
	if got := driver.scheduler.slotShare(worker, 1); got != 2*initialIncrement || driver.scheduler.loadValue(worker) < 1-1e-9 {
		t.Errorf("after an outcome Full the increment is %v, the load value %v", got, driver.scheduler.loadValue(worker))
	}
	for id := RequestID(10); id < 10+sendsToHalveIncrement; id++ {
		driver.now += 2 * time.Second
		driver.submit(id, 0)
		driver.finishServed(id, nil)
	}
	if got := driver.scheduler.slotShare(worker, 1); got > initialIncrement {
		t.Errorf("after %d sends without the outcome Full the increment is %v", sendsToHalveIncrement, got)
	}
	driver.submit(100, 0)
	driver.finishServed(100, loadReport(0.2, 8))
	if got := driver.scheduler.slotShare(worker, 1); got != 1.0/8 {
		t.Errorf("after a report of 8 free slots the increment is %v", got)
	}
}

// TestSlots_notFromOneRunningJob checks that one running job is no evidence that a worker has only one slot.
func TestSlots_notFromOneRunningJob(t *testing.T) {
	driver := newDriver(t, baseSettings())
	driver.listWorkers(workers(1)...)
	driver.submit(1, 0)
	driver.handle(AttemptStarted{ID: 1})
	if w := driver.submit(2, 0); w == "" {
		t.Error("a request was queued although the worker, of unknown size, has only one running job")
	}
}

// TestReport_invalidFigures checks that after reports with missing, negative or infinite figures the load value is finite and at least 0.
func TestReport_invalidFigures(t *testing.T) {
	driver := newDriver(t, baseSettings())
	driver.listWorkers(workers(1)...)
	worker := driver.scheduler.workers[0]
	for i, report := range []*Report{
		nil, {}, loadReport(math.NaN(), math.Inf(1)), loadReport(-1, -5), {Busy: math.Inf(1), Requests: math.NaN(), FreeSlots: -1},
	} {
		id := RequestID(i + 1)
		driver.submit(id, 0)
		driver.finishServed(id, report)
		if value := driver.scheduler.loadValue(worker); math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
			t.Errorf("after report %d the load value is %v", i, value)
		}
	}
}

// TestLoadValue_oldReportMovesToFleetMean checks that the load value of an old report moves to the fleet's mean: otherwise all
// dispatchers would send to the worker that was idle when it reported.
func TestLoadValue_oldReportMovesToFleetMean(t *testing.T) {
	settings := baseSettings()
	settings.Dispatchers = 1
	driver := newDriver(t, settings)
	driver.listWorkers(workers(2)...)
	driver.submit(1, 0)
	driver.submit(2, 0)
	driver.finishServed(1, loadReport(0, 4))
	driver.finishServed(2, loadReport(1, 0))
	idle, busy := driver.scheduler.workers[0], driver.scheduler.workers[1]
	if a, b := driver.scheduler.loadValue(idle), driver.scheduler.loadValue(busy); a > 0.01 || b < 0.9 {
		t.Errorf("fresh reports of 0 and 1 give load values of %v and %v", a, b)
	}
	driver.now += 5 * time.Second
	driver.handle(TimerFired{})
	if a, b := driver.scheduler.loadValue(idle), driver.scheduler.loadValue(busy); math.Abs(a-b) > 0.05 {
		t.Errorf("old reports still distinguish the workers: %v and %v", a, b)
	}
}

// TestLoadValue_differencesWithinUncertaintyAreTies checks that with many dispatchers loads that differ by less than a job are ties:
// otherwise each report would draw the requests of all dispatchers to the same few workers.
func TestLoadValue_differencesWithinUncertaintyAreTies(t *testing.T) {
	driver := newDriver(t, baseSettings())
	driver.listWorkers(workers(4)...)
	for id := RequestID(1); id <= 4; id++ {
		driver.submit(id, 0)
	}
	for id := RequestID(1); id <= 4; id++ {
		driver.finishServed(id, loadReport([]float64{0, 0.25, 0.1, 0.3}[id-1], 4))
	}
	got := map[WorkerID]bool{}
	for id := RequestID(11); id <= 14; id++ {
		got[driver.submit(id, 0)] = true
	}
	if len(got) != 4 {
		t.Errorf("four jobs were sent to %d of 4 workers that differ by less than a job", len(got))
	}
}

// TestMeanOthersLoad_onlyRecentReports checks that workers without a recent report, such as new workers and workers cut off by a
// network partition, are not part of the fleet's mean load.
func TestMeanOthersLoad_onlyRecentReports(t *testing.T) {
	driver := newDriver(t, baseSettings())
	driver.listWorkers(workers(2)...)
	driver.submit(1, 0)
	driver.finishServed(1, loadReport(0.9, 0.4))
	if driver.scheduler.meanOthersLoad == 0 {
		t.Fatal("expected a fresh report to count in the mean")
	}
	driver.now += 4 * time.Second
	driver.listWorkers(append(workers(2), WorkerInfo{ID: "w99"})...)
	if x := driver.scheduler.loadValue(driver.scheduler.workersByID["w99"]); x != 0 {
		t.Errorf("the load value of a new worker is %v", x)
	}
	driver.handle(RequestArrived{ID: 2, Slots: 1, Deadline: driver.now + time.Second})
	driver.handle(AttemptFinished{ID: 2, Outcome: Served, Final: true, Report: loadReport(0, 4)})
	if driver.scheduler.meanOthersLoad > 0.01 {
		t.Errorf("after one fresh report of 0 the mean is %v", driver.scheduler.meanOthersLoad)
	}
}

// TestSlots_byMachineKind checks that the slots of a worker that is always busy, and so reports few free slots, are estimated
// from other workers of its machine kind.
func TestSlots_byMachineKind(t *testing.T) {
	driver := newDriver(t, baseSettings())
	driver.listWorkers(workers(2)...)
	driver.submit(1, 0)
	driver.submit(2, 0)
	driver.finishServed(1, loadReport(0.8, 1))
	driver.finishServed(2, loadReport(0, 5))
	if got := driver.scheduler.estimatedSlots(driver.scheduler.workers[0]); got != 5 {
		t.Errorf("estimated slots of a busy worker of a kind with 5 slots: %v", got)
	}
}

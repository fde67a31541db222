package scheduler

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// zonedWorkers makes n workers spread over zones.
func zonedWorkers(n, zones int) []WorkerInfo {
	ws := make([]WorkerInfo, n)
	for i := range ws {
		ws[i] = WorkerInfo{ID: WorkerID(fmt.Sprintf("10.0.%d.%d:5000", i/7, i)), Zone: i % zones, Weight: 2}
	}
	return ws
}

// overuse makes all dispatchers of a deployment, each with the list.
func newSchedulers(s Settings, n, zones int, ws []WorkerInfo) []*Scheduler {
	ds := make([]*Scheduler, n)
	for i := range ds {
		s.DispatcherIndex, s.Dispatchers, s.Zone = i, n, i%zones
		ds[i] = New(s, uint64(i))
		ds[i].Handle(start, EndpointsUpdated{ListKind: ListFull, Workers: ws})
	}
	return ds
}

func subsetIDs(d *Scheduler) map[WorkerID]bool {
	m := map[WorkerID]bool{}
	for _, w := range d.subset {
		m[w.ID] = true
	}
	return m
}

// With 200 workers a dispatcher heard of each once a minute and knew none of them.
func TestWindowIsSmallBalancedAndStable(t *testing.T) {
	ws := zonedWorkers(180, 2)
	ds := newSchedulers(baseSettings(), 300, 2, ws)
	own := map[WorkerID]int{}
	for _, d := range ds {
		if len(d.subset) != 2*minSubsetSize {
			t.Fatalf("dispatcher %d draws from %d workers, want %d of each zone group", d.settings.DispatcherIndex, len(d.subset), minSubsetSize)
		}
		for _, w := range d.subset {
			if w.Zone == d.settings.Zone {
				own[w.ID]++
			}
		}
	}
	mean := float64(300*minSubsetSize) / 180
	for _, w := range ws {
		if n := float64(own[w.ID]); n < 0.5*mean || n > 1.6*mean {
			t.Errorf("worker %s is drawn from by %v dispatchers of its zone, the mean is %.1f", w.ID, n, mean)
		}
	}
	before := make([]map[WorkerID]bool, len(ds))
	for i, d := range ds {
		before[i] = subsetIDs(d)
		d.Handle(start, EndpointsUpdated{ListKind: ListDelta, Workers: []WorkerInfo{{ID: ws[40].ID, State: Gone}}})
	}
	moved := 0
	for i, d := range ds {
		for id := range subsetIDs(d) {
			if !before[i][id] {
				moved++
			}
		}
	}
	if all := 300 * 2 * minSubsetSize; moved == 0 || moved > all/5 {
		t.Errorf("one worker left and %d of %d places moved", moved, all)
	}
}

func TestSmallFleetIsDrawnFromWhole(t *testing.T) {
	for _, d := range newSchedulers(baseSettings(), 3, 1, zonedWorkers(4, 1)) {
		if !d.loadsKnown || len(d.subset) != 4 {
			t.Errorf("dispatcher %d draws from %d of 4 workers", d.settings.DispatcherIndex, len(d.subset))
		}
	}
	d := New(baseSettings(), 1)
	d.Handle(start, EndpointsUpdated{ListKind: ListFull, Workers: zonedWorkers(20, 1)})
	for i := range 60 { // 30 jobs a second: all 20 are heard of often enough
		d.Handle(start+Clock(i)*33*ms, RequestArrived{ID: RequestID(i + 1), Slots: 1, Deadline: start + time.Hour})
	}
	d.chooseSubset()
	if !d.loadsKnown || len(d.subset) != 20 {
		t.Errorf("with 30 jobs a second it draws from %d of 20 workers", len(d.subset))
	}
}

// A window whose members fail goes on along the ring.
func TestWindowWidensPastShunnedWorkers(t *testing.T) {
	d := newSchedulers(baseSettings(), 300, 1, zonedWorkers(100, 1))[7]
	first := slices.Clone(d.subset)
	for _, w := range first {
		d.eject(w, &w.ejectionState, 0, "test")
	}
	d.chooseSubset()
	sound := 0
	for _, w := range d.subset {
		if w.consecutiveEjections == 0 {
			sound++
		}
	}
	if sound < minSubsetSize {
		t.Errorf("with its %d workers shunned it draws from %d sound ones", len(first), sound)
	}
}

// Ties by the root of the dispatchers were 17 slots wide at 300, and reports no longer counted.
func TestDoubtFollowsJobsNotDispatchers(t *testing.T) {
	for _, c := range []struct {
		dispatchers, workers int
		rate, most           float64
	}{{1, 10, 10, 0}, {16, 28, 11, math.Sqrt(15)}, {300, 180, 1, 2}, {300, 180, 6, 4}} {
		s := baseSettings()
		s.Dispatchers = c.dispatchers
		d := New(s, 1)
		d.Handle(start, EndpointsUpdated{ListKind: ListFull, Workers: zonedWorkers(c.workers, 1)})
		d.arrivalRate, d.meanStay = c.rate, 1
		w := d.workers[0]
		w.reportedAt = d.now
		fresh := d.loadUncertainty(w)
		d.now += time.Second
		if old := d.loadUncertainty(w); old > c.most+1e-9 || old < fresh {
			t.Errorf("%d dispatchers, %d workers, %v jobs/s: doubt %v fresh, %v after a second, want at most %v",
				c.dispatchers, c.workers, c.rate, fresh, old, c.most)
		}
	}
}

// Loads without fresh news looked alike, and small, slow or ageing workers drew as much as others.
func TestOldNewsFadesToOwnMeanOnLargeFleets(t *testing.T) {
	d := newSchedulers(baseSettings(), 300, 1, zonedWorkers(100, 1))[0]
	busy, idle := d.subset[0], d.subset[1]
	for i := range 10 {
		d.now += time.Duration(i) * 100 * ms
		d.applyReport(busy, loadReport(0.9, 0.4))
		d.applyReport(idle, loadReport(0.1, 4))
	}
	d.now += time.Minute
	if a, b := d.loadValue(busy), d.loadValue(idle); a < 0.8 || b > 0.2 {
		t.Errorf("a minute later the values are %v and %v", a, b)
	}
}

// Split among hundreds a cold budget was less than a job, and newcomers stood idle. All dispatchers
// together against one newcomer: it gets work, and the sum keeps its budget.
func TestColdBudgetOfAllDispatchers(t *testing.T) {
	s := baseSettings()
	s.SlowStartDuration = 20 * time.Second
	ds := newSchedulers(s, 300, 1, []WorkerInfo{{ID: "cold", StartedAt: start + ms}}) // it started when all dispatchers were here
	for _, d := range ds {
		d.recordSlots(d.workers[0], 4)
		d.classes[0] = classState{workScale: 0.2, meanLogRuntime: math.Log(0.2), jobs: 100}
		d.meanWork, d.servedJobs = 0.2, 100
	}
	work := 0.0
	for i := range RequestID(20) {
		for _, d := range ds {
			at := start + 2*time.Second + Clock(i)*45*ms
			if firstSendWorker(d.Handle(at, RequestArrived{ID: i, Slots: 1, Deadline: at + time.Second})) != "" {
				work += 0.2
				d.Handle(at, AttemptFinished{ID: i, Outcome: Served, Final: true})
			}
		}
	}
	budget := s.OverloadMultiple * ds[0].warmupFactor(ds[0].workers[0]) * 4 * s.OverloadWindow.Seconds()
	if work == 0 || work > budget {
		t.Errorf("300 dispatchers sent %.2f slot-seconds within %v, the budget is %.2f", work, s.OverloadWindow, budget)
	}
}

// A process that stood still for 2 s took all its workers for silent.
func TestStandstillIsNoSilence(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(zonedWorkers(3, 1)...)
	v.submit(1, 2)
	v.advance(50 * ms)
	v.now += 5 * time.Second
	acts := append(v.handle(TimerFired{Token: reviewTimer}), v.handle(AttemptStarted{ID: 1})...)
	v.now += 30 * ms
	acts = append(acts, v.handle(TimerFired{Token: reviewTimer})...)
	if countActions[Log](acts) != 0 || v.scheduler.overcommit != initialOvercommit {
		t.Errorf("after a standstill of its own it did %v, allowance %v", acts, v.scheduler.overcommit)
	}
}

// A worker left one class unanswered and served the others: their answers cleared it each time.
func TestOneClassUnanswered(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(zonedWorkers(1, 1)...)
	v.handle(RequestArrived{ID: 1, Class: 2, Slots: 1, Deadline: v.now + 10*time.Second})
	for id := RequestID(10); id < 13; id++ {
		v.submit(id, 0)
		v.handle(AttemptStarted{ID: id})
		v.advance(600 * ms)
		v.finishServed(id, loadReport(0.1, 3.5))
	}
	v.advance(300 * ms)
	w := v.scheduler.workers[0]
	if v.scheduler.healthy(w, 2) || !v.scheduler.healthy(w, 0) {
		t.Errorf("class 2 may go there: %v; class 0: %v", v.scheduler.healthy(w, 2), v.scheduler.healthy(w, 0))
	}
	if w.ownSlots != 0 {
		t.Errorf("the lost job still holds %v slots", w.ownSlots)
	}
}

func TestErrorsOfOneClass(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(zonedWorkers(1, 1)...)
	for id := RequestID(1); id <= 2*failuresToEject; id += 2 {
		v.submit(id, 2)
		v.handle(AttemptFinished{ID: id, Outcome: Errored})
		v.submit(id+1, 0)
		v.finishServed(id+1, nil)
	}
	if w := v.scheduler.workers[0]; v.scheduler.healthy(w, 2) || !v.scheduler.healthy(w, 0) {
		t.Errorf("class 2 may go there: %v; class 0: %v", v.scheduler.healthy(w, 2), v.scheduler.healthy(w, 0))
	}
}

// Idle connections were dropped unseen; what is sent on one gets no answer. After the first loss older
// ones are dropped here before they are used.
func TestLostIdleConnection(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(zonedWorkers(1, 1)...)
	v.submit(1, 0)
	v.finishServed(1, nil)
	v.now += 3 * time.Second
	v.submit(2, 2)
	v.handle(AttemptFinished{ID: 2, Outcome: Reset, ConnectionIdle: -1})
	if !v.scheduler.healthy(v.scheduler.workers[0], 0) {
		t.Error("the worker is shunned for its lost connection")
	}
	v.now += 3 * time.Second
	acts := v.handle(RequestArrived{ID: 3, Class: 2, Slots: 1, Deadline: v.now + 2*time.Second})
	if countActions[CloseIdleConnections](acts) != 1 || countActions[Send](acts) != 1 {
		t.Errorf("after 3 idle seconds it did %v", acts)
	}
	v.handle(AttemptFinished{ID: 3, Outcome: Served, Final: true})
	v.now += minLossIdle / 2
	if acts := v.handle(RequestArrived{ID: 4, Class: 2, Slots: 1, Deadline: v.now + 2*time.Second}); countActions[CloseIdleConnections](acts) != 0 {
		t.Errorf("a connection just used is dropped: %v", acts)
	}
}

// newPartialViewDriver drives one of many dispatchers: of so many workers, all of which its jobs may go to as they have keys, it knows
// the loads newPartialViewDriver.
func newPartialViewDriver(t *testing.T) *driver {
	s := baseSettings()
	s.Dispatchers, s.MayHedge = 20, true
	v := newDriver(t, s)
	v.scheduler.affinityInUse = true
	v.listWorkers(zonedWorkers(30, 1)...)
	return v
}

// Many dispatchers know little of a worker: a job that does not begin soon is sent to a second one, and
// the first to begin calls the other off. Unsafe jobs stay where they are.
func TestCopyOfWhatDoesNotBegin(t *testing.T) {
	for class, want := range map[int]int{0: 1, 1: 1, 2: 0} {
		v := newPartialViewDriver(t)
		v.submit(1, class)
		if got := countActions[Send](v.advance(hedgeDelay + 20*ms)); got != want {
			t.Errorf("class %d got %d copies, want %d", class, got, want)
		}
		if got := countActions[Cancel](v.handle(AttemptStarted{ID: 1, Attempt: want})); got != want {
			t.Errorf("class %d: %d attempts called off, want %d", class, got, want)
		}
	}
}

// At the billing firm, where jobs have no keys and 300 dispatchers draw from few workers each, a job got two to three
// copies, none of which was dropped when it was called off: the queues filled, and 0.5 of a calm day was served where random
// choice served 0.7. So there are fewer copies the more jobs wait.
func TestFewCopiesWhereFewAreDrawnFrom(t *testing.T) {
	copies := func(jam float64) (sent int) {
		s := baseSettings()
		s.Dispatchers, s.MayHedge = 100, true
		v := newDriver(t, s)
		v.listWorkers(zonedWorkers(66, 1)...)
		v.scheduler.meanStay, v.scheduler.classes[1].workScale = 0.2, 0.3
		for id := RequestID(1); id <= 100; id++ {
			v.submit(id, 1)
			v.scheduler.congestion = jam
			for _, w := range v.scheduler.workers {
				v.scheduler.recordSignal(w) // they live
			}
			sent += countActions[Send](v.advance(200 * ms))
			v.handle(ClientLeft{ID: id})
			for i := range 3 {
				v.handle(AttemptFinished{ID: id, Attempt: i, Outcome: Cancelled})
			}
			v.now += 100 * ms
		}
		if len(v.scheduler.subset) == len(v.scheduler.workers) {
			t.Fatal("all workers are drawn from")
		}
		return sent
	}
	if few, none := copies(0), copies(maxCongestion); few == 0 || few > 50 || none > 0 {
		t.Errorf("of 100 jobs that wait %d were copied where few do, and %d where many do", few, none)
	}
}

// A further attempt of a keyed job must have left whole inside the window of the first that may have run, however long it
// waits for a connection; one that is the first, or of a class that may be repeated at will, has no such bound.
func TestRepeatsLeaveInsideTheWindow(t *testing.T) {
	s := baseSettings()
	s.Classes[1].DeduplicationWindow = 700 * ms
	v := newDriver(t, s)
	v.listWorkers(workers(3)...)
	for class, bound := range []bool{false, true} {
		id, at := RequestID(1+class), v.now
		by := func(acts []Action) (by []Clock) {
			for _, a := range acts {
				if s, ok := a.(Send); ok && s.ID == id {
					by = append(by, s.SendBy)
				}
			}
			return by
		}
		if got := by(v.handle(RequestArrived{ID: id, Class: class, Slots: 1, Deadline: v.now + 5*time.Second})); len(got) != 1 || got[0] != 0 {
			t.Fatalf("class %d, the first attempt: %v", class, got)
		}
		v.now += 100 * ms
		got := by(v.handle(AttemptFinished{ID: id, Outcome: Reset}))
		if len(got) != 1 || bound != (got[0] > 0) || bound && (got[0] > at+700*ms || got[0] < at+600*ms) {
			t.Errorf("class %d, a further attempt 100 ms later: by %v, the first was at %v", class, got, at)
		}
		v.handle(ClientLeft{ID: id})
	}
	v.handle(RequestArrived{ID: 9, Class: 1, Slots: 1, Deadline: v.now + 5*time.Second})
	v.now += 700 * ms
	if acts := v.handle(AttemptFinished{ID: 9, Outcome: Reset}); countActions[Send](acts) != 0 {
		t.Errorf("behind the window: %v", acts)
	}
}

// The more jobs wait for their start, the later a copy follows: where all queues are full it only makes them longer.
func TestCopiesHoldBackInAJam(t *testing.T) {
	for jam, want := range map[float64]time.Duration{0: hedgeDelay, 0.5: hedgeDelay + congestionHedgeDelay/2} {
		v := newPartialViewDriver(t)
		v.scheduler.congestion, v.scheduler.classes[1].workScale = jam, 0.3 // else there is no time for a copy
		v.submit(1, 1)
		if got := countActions[Send](v.advance(want - 10*ms)); got != 0 {
			t.Errorf("jam %v: copied before %v", jam, want)
		}
		if got := countActions[Send](v.advance(hedgeDelay + 20*ms)); got != 1 {
			t.Errorf("jam %v: %d copies after %v", jam, got, want)
		}
	}
}

// Clients that come with little time left were taken for old repeats and refused at once.
func TestImpatientClientIsNoRepeat(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(zonedWorkers(2, 1)...)
	v.submit(1, 0)
	v.finishServed(1, nil)
	acts := v.handle(RequestArrived{ID: 2, Slots: 1, Deadline: v.now + 300*ms})
	if countActions[Send](acts) != 1 {
		t.Errorf("a client with 300 ms left got %v", acts)
	}
}

// What waits at a worker and cannot be in time is refused inside its aim.
func TestLateBeforeItBegins(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(zonedWorkers(1, 1)...)
	v.submit(1, 0)
	acts := v.advance(400 * ms)
	if countActions[Reject](acts) != 1 || countActions[Cancel](acts) != 1 {
		t.Errorf("a safe job that waits past its aim: %v", acts)
	}
}

// Hundreds that restart together do not call the list service at once, and all call within AskWithin.
func TestCallsForTheListAreSpread(t *testing.T) {
	s := baseSettings()
	s.ListPolled, s.MaxPollInterval = true, 10*time.Second
	var first, last time.Duration = time.Hour, 0
	for i := range 2000 {
		s.DispatcherIndex, s.Dispatchers = i, 2000
		for _, a := range New(s, uint64(i)).Handle(start, EndpointsUpdated{ListKind: ListCached, Workers: zonedWorkers(1, 1)}) {
			if w, ok := a.(SetTimer); ok && w.Token == pollTimer {
				first, last = min(first, w.After), max(last, w.After)
			}
		}
	}
	if last-first < 2*time.Second || last > 3*time.Second+ms { // and an answer that is late is here within 6 s
		t.Errorf("2000 dispatchers call between %v and %v after their start", first, last)
	}
}

// Behind a call that failed, and each further one, nobody waits for longer than the sum in pacing allows, whatever the
// fleet's size and the chance drawn, nor do all call at once. With 300 it was 5 s, and 4 s more for those that failed again.
func TestAskedAgainInTime(t *testing.T) {
	var first, last time.Duration = time.Hour, 0
	for i := range 300 {
		s := baseSettings()
		s.ListPolled, s.MaxPollInterval, s.DispatcherIndex, s.Dispatchers = true, 10*time.Second, i, 300
		d := New(s, uint64(i))
		d.Handle(start, EndpointsUpdated{ListKind: ListCached, Workers: zonedWorkers(1, 1)})
		for n := range 6 {
			for _, a := range d.Handle(start+time.Duration(n)*time.Second, EndpointsUpdated{ListKind: ListFailed}) {
				if w, ok := a.(SetTimer); ok && w.Token == pollTimer {
					first, last = min(first, w.After), max(last, w.After)
				}
			}
		}
	}
	if last > MaxListRetryDelay+ms || last-first < MaxListRetryDelay/2 {
		t.Errorf("300 dispatchers call again between %v and %v", first, last)
	}
}

// Eighty that are killed in a release and start together are a burst for a list service that bears some twenty calls a
// second and turns away what has waited for two: their first calls are spread over seconds, two dispatchers' are not.
// With a fifteenth of a second for four of them, half were turned away, and had an old list for as long again.
func TestRestartDoesNotOverrunDiscovery(t *testing.T) {
	for dispatchers, most := range map[int]time.Duration{2: 250 * ms, 80: 3*time.Second + ms} {
		var at []time.Duration
		for i := range dispatchers {
			s := baseSettings()
			s.ListPolled, s.MaxPollInterval, s.DispatcherIndex, s.Dispatchers = true, 10*time.Second, i, dispatchers
			for _, a := range New(s, uint64(i)).Handle(start, EndpointsUpdated{ListKind: ListCached, Workers: zonedWorkers(1, 1)}) {
				if w, ok := a.(SetTimer); ok && w.Token == pollTimer {
					at = append(at, w.After)
				}
			}
		}
		slices.Sort(at)
		free, away := time.Duration(0), 0 // the service works through calls in turn, each for 50 ms
		for _, t := range at {
			if free = max(free, t); free-t > 2*time.Second {
				away++
				continue
			}
			free += 50 * ms
		}
		if away > 0 || len(at) != dispatchers || at[len(at)-1] > most {
			t.Errorf("%d dispatchers: %d calls, the last after %v, %d turned away", dispatchers, len(at), at[len(at)-1], away)
		}
	}
}

// Settings and lists that make no sense do no harm.
func TestBadSettings(t *testing.T) {
	for _, s := range []Settings{
		{DispatcherIndex: -4, Dispatchers: -1}, {DispatcherIndex: 9, Dispatchers: 3}, {DispatcherIndex: math.MaxInt, Dispatchers: 2},
		{CrossZoneCost: math.NaN(), Zone: math.MinInt}, {ListPolled: true, MaxPollInterval: -time.Second, MaxAttempts: -3},
	} {
		v := newDriver(t, s)
		v.listWorkers(append(zonedWorkers(40, 3), WorkerInfo{ID: "odd", Zone: math.MaxInt, MachineKind: -9, Weight: math.NaN()},
			WorkerInfo{ID: "odd", Zone: math.MinInt, Weight: -1}, WorkerInfo{ID: "late", StartedAt: start + time.Hour})...)
		for id := RequestID(1); id <= 30; id++ {
			if v.submit(id, 0) == "" {
				t.Errorf("settings %+v: request %d was not sent", s, id)
			}
			v.handle(AttemptFinished{ID: id, Outcome: Served, Final: true, Report: loadReport(0.2, 3)})
			v.now += 100 * ms
		}
	}
}

// Requests turned into the heaviest class for good, or took longer: the estimate follows within some dozen jobs.
func TestEstimateFollowsAShift(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(zonedWorkers(4, 1)...)
	id := RequestID(0)
	run := func(jobs int, took time.Duration) {
		for range jobs {
			id++
			v.submit(id, 0)
			v.handle(AttemptStarted{ID: id})
			v.advance(took)
			v.finishServed(id, loadReport(0.2, 3))
		}
	}
	run(60, 50*ms)
	run(60, 300*ms)
	if got := v.scheduler.estimatedRuntime(&request{}); got < 0.2 || got > 0.35 {
		t.Errorf("after 60 jobs of 0.3 s the mean work is %.3f s", got)
	}
}

// A worker that grows slower keeps its slots taken longer and longer; it draws fewer jobs well before it dies.
func TestAgeingWorkerIsDrawnLess(t *testing.T) {
	d := newSchedulers(baseSettings(), 300, 1, zonedWorkers(100, 1))[0]
	ageing := d.subset[0]
	got, id := map[bool]int{}, RequestID(0)
	for i := range 60 {
		d.now += 200 * ms
		d.applyReport(ageing, loadReport(min(1, 0.3+0.02*float64(i)), 1))
		for _, w := range d.subset[1:] {
			d.applyReport(w, loadReport(0.3, 3))
		}
		id++
		to := firstSendWorker(d.Handle(d.now, RequestArrived{ID: id, Slots: 1, Deadline: d.now + time.Second}))
		got[to == ageing.ID]++
		d.Handle(d.now, AttemptFinished{ID: id, Outcome: Served, Final: true})
	}
	if got[true] >= 60/len(d.subset) {
		t.Errorf("the ageing one of %d workers got %d of 60 jobs", len(d.subset), got[true])
	}
}

func BenchmarkHandle(b *testing.B) {
	for _, n := range []int{20, 200} {
		b.Run(fmt.Sprint(n, " workers"), func(b *testing.B) {
			s := baseSettings()
			s.Dispatchers = 300
			d := New(s, 1)
			d.Handle(start, EndpointsUpdated{ListKind: ListFull, Workers: zonedWorkers(n, 2)})
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				at, id := start+Clock(i)*200*ms, RequestID(i+1)
				d.Handle(at, RequestArrived{ID: id, Class: i % 3, Slots: 1, Deadline: at + 2*time.Second})
				d.Handle(at, AttemptStarted{ID: id})
				d.Handle(at+100*ms, TimerFired{Token: reviewTimer})
				d.Handle(at+150*ms, AttemptFinished{ID: id, Outcome: Served, Final: true, Report: loadReport(0.5, 2)})
			}
		})
	}
}

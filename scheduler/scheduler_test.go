package scheduler

import (
	"bufio"
	"fmt"
	"math"
	"os"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// start is a point well after the epoch, as a dispatcher meets it.
const start = 1000 * time.Second

// driver drives one dispatcher by hand and keeps what it did.
type driver struct {
	t          *testing.T
	scheduler  *Scheduler
	now        Clock
	actions    []Action // of the last event
	allActions []Action
}

func newDriver(t *testing.T, s Settings) *driver {
	t.Helper()
	return &driver{t: t, scheduler: New(s, 1), now: start}
}

// newSettledDriver is a dispatcher that has been here for so long that no other one's pushes count beside its own.
func newSettledDriver(t *testing.T, s Settings) *driver {
	t.Helper()
	v := newDriver(t, s)
	v.handle(TimerFired{})
	v.now += s.OverloadWindow + maxSendDelay
	return v
}

// handle passes an event and returns the actions.
func (v *driver) handle(ev Event) []Action {
	v.actions = append([]Action(nil), v.scheduler.Handle(v.now, ev)...)
	v.allActions = append(v.allActions, v.actions...)
	return v.actions
}

// advance lets time go by in ticks.
func (v *driver) advance(span time.Duration) (acts []Action) {
	for end := v.now + span; v.now < end; {
		v.now += 10 * ms
		acts = append(acts, v.handle(TimerFired{Token: reviewTimer})...)
	}
	return acts
}

func (v *driver) listWorkers(workers ...WorkerInfo) {
	v.handle(EndpointsUpdated{ListKind: ListFull, Workers: workers})
}

// submit brings a request of class c with two seconds left and returns where it was sent.
func (v *driver) submit(id RequestID, c int) WorkerID {
	return firstSendWorker(v.handle(RequestArrived{ID: id, Class: c, Slots: 1, Deadline: v.now + 2*time.Second}))
}

// finishServed ends attempt 0 of a request.
func (v *driver) finishServed(id RequestID, r *Report) []Action {
	return v.handle(AttemptFinished{ID: id, Outcome: Served, Final: true, Report: r})
}

func firstSendWorker(acts []Action) WorkerID {
	for _, a := range acts {
		if s, ok := a.(Send); ok {
			return s.Worker
		}
	}
	return ""
}

// countActions tells how many actions are of type A.
func countActions[A Action](acts []Action) (n int) {
	for _, a := range acts {
		if _, ok := a.(A); ok {
			n++
		}
	}
	return n
}

func workers(n int) (ws []WorkerInfo) {
	for i := range n {
		ws = append(ws, WorkerInfo{ID: WorkerID(fmt.Sprintf("w%02d", i)), Weight: 1})
	}
	return ws
}

// baseSettings is a deployment with a safe, a keyed and an unsafe class.
func baseSettings() Settings {
	c := Class{LatencyObjective: 200 * ms, ObjectiveStretch: 2, Deadline: 2 * time.Second, PriorityWeight: 1, MachineKind: -1, DeduplicationWindow: time.Second}
	keyed, unsafe := c, c
	keyed.Idempotency, keyed.DeduplicationScope, unsafe.Idempotency = IdempotentWithKey, ScopeZone, NonIdempotent
	return Settings{
		Dispatchers: 2, Classes: []Class{c, keyed, unsafe}, ReportsStart: true, ProgressInterval: time.Second,
		MayCancel: true, MaxAttempts: 4, AnswerSlack: 20 * ms,
		SlowStartDuration: 10 * time.Second, SlowStartCapacity: 0.2, OverloadMultiple: 3, OverloadWindow: time.Second,
	}
}

func loadReport(busy, free float64) *Report {
	return &Report{Busy: busy, Requests: -1, FreeSlots: free}
}

func TestOrdinaryPath(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(workers(3)...)
	got := fmt.Sprint(v.submit(1, 0), v.submit(2, 0), v.submit(3, 0), v.submit(4, 0))
	if got != "w00w01w02w00" {
		t.Errorf("round robin among ties went to %s", got)
	}
	v.finishServed(2, loadReport(0.9, 1))
	v.finishServed(3, loadReport(0, 4))
	if w := v.submit(5, 0); w != "w02" {
		t.Errorf("the lowest reported value is w02, sent to %s", w)
	}
}

func TestRotationStartsAtOwnNumber(t *testing.T) {
	s := baseSettings()
	s.DispatcherIndex = 2
	v := newDriver(t, s)
	v.listWorkers(workers(3)...)
	if w := v.submit(1, 0); w != "w02" {
		t.Errorf("dispatcher 2 began at %s", w)
	}
}

func TestIncrement(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(workers(1)...)
	w := v.scheduler.workers[0]
	if got := v.scheduler.slotShare(w, 1); got != initialIncrement {
		t.Errorf("without figures a slot counts %v", got)
	}
	v.submit(1, 0)
	v.handle(AttemptFinished{ID: 1, Outcome: Full})
	if got := v.scheduler.slotShare(w, 1); got != 2*initialIncrement || v.scheduler.loadValue(w) < 1-1e-9 {
		t.Errorf("after a 'full' a slot counts %v, the value is %v", got, v.scheduler.loadValue(w))
	}
	for id := RequestID(10); id < 10+sendsToHalveIncrement; id++ {
		v.now += 2 * time.Second
		v.submit(id, 0)
		v.finishServed(id, nil)
	}
	if got := v.scheduler.slotShare(w, 1); got > initialIncrement {
		t.Errorf("after %d pushes without a 'full' a slot counts %v", sendsToHalveIncrement, got)
	}
	v.submit(100, 0)
	v.finishServed(100, loadReport(0.2, 8))
	if got := v.scheduler.slotShare(w, 1); got != 1.0/8 {
		t.Errorf("with 8 free slots seen a slot counts %v", got)
	}
}

// The first running job was taken for all the slots a worker has, so idle workers looked full.
func TestFirstRunningJobIsNotTheSlotTotal(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(workers(1)...)
	v.submit(1, 0)
	v.handle(AttemptStarted{ID: 1})
	if w := v.submit(2, 0); w == "" {
		t.Error("held a request beside one running job on a worker of unknown size")
	}
}

// A few long jobs among the first made workers look several times slower than their peers.
func TestFewLongJobsDoNotMakeAWorkerSlow(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(workers(2)...)
	run := func(id RequestID, took time.Duration) {
		v.submit(id, 0)
		v.handle(AttemptStarted{ID: id})
		v.now += took
		v.finishServed(id, nil)
	}
	run(1, 5*ms)
	run(2, 100*ms)
	run(3, 5*ms)
	run(4, 100*ms)
	for _, w := range v.scheduler.workers {
		if f := v.scheduler.slowdown(w); f != 1 {
			t.Errorf("%s drags %v after two jobs", w.ID, f)
		}
	}
}

func TestBadReports(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(workers(1)...)
	w := v.scheduler.workers[0]
	for i, r := range []*Report{
		nil, {}, loadReport(math.NaN(), math.Inf(1)), loadReport(-1, -5), {Busy: math.Inf(1), Requests: math.NaN(), FreeSlots: -1},
	} {
		id := RequestID(i + 1)
		v.submit(id, 0)
		v.finishServed(id, r)
		if x := v.scheduler.loadValue(w); math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
			t.Errorf("report %d made the value %v", i, x)
		}
	}
}

func TestModuleLimits(t *testing.T) {
	f, err := os.Open("scheduler.go")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	lines, n := 0, 0
	for sc := bufio.NewScanner(f); sc.Scan(); {
		n++
		if strings.TrimSpace(sc.Text()) != "" {
			lines++
		}
		if len([]rune(sc.Text())) > 110 {
			t.Errorf("scheduler.go:%d is longer than 110 characters", n)
		}
	}
	if lines > 950 || lines == 0 {
		t.Errorf("scheduler.go has %d non-blank lines, want at most 950", lines)
	}
}

// Requests queued at the workers under overload came late all at once; the wait there must shut the
// door here, and open it again once jobs start soon.
func TestAllowanceFollowsWaits(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(workers(2)...)
	job := func(id RequestID, wait time.Duration) {
		v.submit(id, 0)
		v.advance(wait)
		v.handle(AttemptStarted{ID: id})
		v.advance(10 * ms)
		v.finishServed(id, loadReport(0, 4))
	}
	for id := RequestID(1); id <= 30; id++ {
		job(id, 150*ms)
	}
	if v.scheduler.overcommit > 0 {
		t.Errorf("after long waits the allowance is still %v", v.scheduler.overcommit)
	}
	for id := RequestID(100); id < 150; id++ {
		job(id, ms)
	}
	if v.scheduler.overcommit < initialOvercommit {
		t.Errorf("after short waits the allowance is only %v", v.scheduler.overcommit)
	}
}

// A report is older than most jobs: dispatchers herded on the worker that was idle when they heard.
func TestOldReportFadesToTheMean(t *testing.T) {
	s := baseSettings()
	s.Dispatchers = 1
	v := newDriver(t, s)
	v.listWorkers(workers(2)...)
	v.submit(1, 0)
	v.submit(2, 0)
	v.finishServed(1, loadReport(0, 4))
	v.finishServed(2, loadReport(1, 0))
	idle, busy := v.scheduler.workers[0], v.scheduler.workers[1]
	if a, b := v.scheduler.loadValue(idle), v.scheduler.loadValue(busy); a > 0.01 || b < 0.9 {
		t.Errorf("fresh reports of 0 and 1 give values %v and %v", a, b)
	}
	v.now += 5 * time.Second
	v.handle(TimerFired{})
	if a, b := v.scheduler.loadValue(idle), v.scheduler.loadValue(busy); math.Abs(a-b) > 0.05 {
		t.Errorf("old reports still tell workers apart: %v and %v", a, b)
	}
}

// With many dispatchers each report drew all of them to the same few idle workers (incident i5522b7).
func TestReportsWithinDoubtAreTies(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(workers(4)...)
	for id := RequestID(1); id <= 4; id++ {
		v.submit(id, 0)
	}
	for id := RequestID(1); id <= 4; id++ {
		v.finishServed(id, loadReport([]float64{0, 0.25, 0.1, 0.3}[id-1], 4))
	}
	got := map[WorkerID]bool{}
	for id := RequestID(11); id <= 14; id++ {
		got[v.submit(id, 0)] = true
	}
	if len(got) != 4 {
		t.Errorf("four jobs went to %d of 4 workers that differ by less than a job", len(got))
	}
}

// Held back by an old report of a full worker, a dispatcher sent nothing, so no answer brought a
// newer report, and it refused everything from then on.
func TestHoldingEndsWithoutNews(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(workers(2)...)
	v.submit(1, 0)
	v.submit(2, 0)
	v.finishServed(1, &Report{Busy: 1, Requests: 12, FreeSlots: 0})
	v.finishServed(2, &Report{Busy: 1, Requests: 12, FreeSlots: 0})
	for _, w := range v.scheduler.workers {
		w.observedSlots, w.othersLoad = 4, 3
	}
	v.scheduler.meanOthersLoad = 3
	v.now += 3 * time.Second
	if w := v.submit(3, 0); w == "" {
		t.Error("held a request though nothing was heard of any worker for 3 s")
	}
}

// A zone was cut off while machines were replaced (incident ic763e6): old reports from beyond the cut
// made the few reachable workers, new ones too, look as loaded as the lost zone had been.
func TestOldReportsAndNewcomersDoNotCount(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(workers(2)...)
	v.submit(1, 0)
	v.finishServed(1, loadReport(0.9, 0.4))
	if v.scheduler.meanOthersLoad == 0 {
		t.Fatal("a fresh report does not count")
	}
	v.now += 4 * time.Second
	v.listWorkers(append(workers(2), WorkerInfo{ID: "w99"})...)
	if x := v.scheduler.loadValue(v.scheduler.workersByID["w99"]); x != 0 {
		t.Errorf("a newcomer's value is %v", x)
	}
	v.handle(RequestArrived{ID: 2, Slots: 1, Deadline: v.now + time.Second})
	v.handle(AttemptFinished{ID: 2, Outcome: Served, Final: true, Report: loadReport(0, 4)})
	if v.scheduler.meanOthersLoad > 0.01 {
		t.Errorf("after one fresh report of 0 the mean is %v", v.scheduler.meanOthersLoad)
	}
}

// Workers that are always busy show few free slots; peers of their kind tell how many they have.
func TestSlotsByKind(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(workers(2)...)
	v.submit(1, 0)
	v.submit(2, 0)
	v.finishServed(1, loadReport(0.8, 1))
	v.finishServed(2, loadReport(0, 5))
	if got := v.scheduler.estimatedSlots(v.scheduler.workers[0]); got != 5 {
		t.Errorf("a busy worker of a kind with 5 slots counts as %v", got)
	}
}

// A cold worker alone in the list, asked for far more than it can do: what it is sent within the fall
// window stays within this dispatcher's part of its budget.
func TestColdBudget(t *testing.T) {
	s := baseSettings()
	v := newSettledDriver(t, s)
	v.listWorkers(WorkerInfo{ID: "w", StartedAt: v.now - ms})
	v.scheduler.recordSlots(v.scheduler.workers[0], 4)
	v.scheduler.classes[0], v.scheduler.meanWork, v.scheduler.servedJobs = classState{workScale: 0.1, meanLogRuntime: math.Log(0.1), jobs: 100}, 0.1, 100
	sent := 0
	for id := RequestID(1); id <= 50; id++ {
		if v.submit(id, 0) != "" {
			sent++
			v.finishServed(id, nil)
		}
		v.now += 10 * ms
	}
	budget := s.OverloadMultiple * (s.SlowStartCapacity + 0.05) * 4 * s.OverloadWindow.Seconds() / float64(s.Dispatchers)
	if work := 0.1 * float64(sent); sent == 0 || work > budget {
		t.Errorf("%d jobs, %.2f slot-seconds, were sent within half a second; the budget is %.2f", sent, work, budget)
	}
}

// During a release (hunted day ha8faba, incident i1f5a28) cold workers stood unused: under load the hold
// limit, multiplied by their slowness, left no room for a first job, and many warm by working.
func TestUnusedColdWorkerHasRoom(t *testing.T) {
	v := newSettledDriver(t, baseSettings())
	v.listWorkers(WorkerInfo{ID: "w", StartedAt: v.now - 2*time.Second})
	v.scheduler.recordSlots(v.scheduler.workers[0], 2)
	v.scheduler.classes[0], v.scheduler.meanWork, v.scheduler.servedJobs = classState{workScale: 0.05, meanLogRuntime: math.Log(0.05), jobs: 100}, 0.05, 100
	v.scheduler.overcommit = minOvercommit
	if v.submit(1, 0) == "" {
		t.Error("no room for a first job within the budget")
	}
}

// Events that make no sense are ignored or answered in time; none makes it panic or act illegally.
func TestSenselessEvents(t *testing.T) {
	for name, s := range map[string]Settings{"absent settings": {}, "plain": baseSettings()} {
		t.Run(name, func(t *testing.T) {
			v := newDriver(t, s)
			for _, ev := range []Event{
				nil, TimerFired{Token: 999}, ClientLeft{ID: 5}, AttemptStarted{ID: 5}, AttemptProgressed{ID: 5, Attempt: -1},
				AttemptFinished{ID: 5, Attempt: 3, Outcome: Outcome(99)}, ProbeCompleted{Worker: "nobody", Outcome: Served},
				EndpointsUpdated{ListKind: ListKind(9)}, EndpointsUpdated{ListKind: ListFailed}, EndpointsUpdated{ListKind: ListFull},
			} {
				v.handle(ev)
			}
			if n := countActions[Send](v.allActions) + countActions[Reject](v.allActions) + countActions[Fail](v.allActions) + countActions[Cancel](v.allActions); n > 0 {
				t.Errorf("%d actions on requests that do not exist", n)
			}
			v.listWorkers(workers(2)...)
			id := v.submit(1, 77)
			v.handle(AttemptFinished{ID: 1, Attempt: 9, Worker: id, Outcome: Served, Final: true})
			v.handle(AttemptFinished{ID: 1, Worker: id, Outcome: Served, Final: true})
			if acts := v.handle(AttemptFinished{ID: 1, Worker: id, Outcome: Errored}); countActions[Fail](acts)+countActions[Reject](acts) > 0 {
				t.Error("a duplicate outcome was answered again")
			}
		})
	}
}

func TestPastDeadlineIsAnsweredAtOnce(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(workers(1)...)
	acts := v.handle(RequestArrived{ID: 1, Slots: 1, Deadline: v.now - time.Second})
	if countActions[Reject](acts) != 1 || countActions[Send](acts) != 0 {
		t.Errorf("a request past its deadline got %v", acts)
	}
}

// With nobody to send to, or a job wider than any worker, the client still gets its answer in time.
func TestHeldRequestsAreAnswered(t *testing.T) {
	draining := WorkerInfo{ID: "w", State: Draining}
	for name, c := range map[string]struct {
		list  []WorkerInfo
		slots float64
	}{"empty list": {nil, 1}, "all drain": {[]WorkerInfo{draining}, 1}, "no number": {nil, math.NaN()}} {
		v := newDriver(t, baseSettings())
		v.listWorkers(c.list...)
		v.handle(RequestArrived{ID: 1, Class: 2, Slots: c.slots, Deadline: v.now + 2*time.Second})
		v.advance(2 * time.Second)
		if countActions[Reject](v.allActions) != 1 || countActions[Send](v.allActions)+countActions[Fail](v.allActions) != 0 {
			t.Errorf("%s: got %v", name, v.allActions)
		}
	}
}

// Rule 2 by table: what follows each outcome of a first attempt, by class.
func TestWhatFollowsAnOutcome(t *testing.T) {
	const safe, keyed, unsafe = 0, 1, 2
	for _, c := range []struct {
		class   int
		outcome Outcome
		again   bool
	}{
		{safe, Errored, true}, {safe, Reset, true}, {safe, Full, true}, {safe, NoConnect, true}, {safe, NeverSent, true},
		{keyed, Errored, true}, {keyed, Reset, true}, {keyed, Full, true}, {keyed, NoConnect, true},
		{unsafe, Errored, false}, {unsafe, Reset, false}, {unsafe, TimedOut, false}, {unsafe, Cancelled, false},
		{unsafe, Full, true}, {unsafe, NoConnect, true}, {unsafe, NeverSent, true},
	} {
		v := newDriver(t, baseSettings())
		v.listWorkers(workers(3)...)
		first := v.submit(1, c.class)
		acts := v.handle(AttemptFinished{ID: 1, Worker: first, Outcome: c.outcome})
		next := firstSendWorker(acts)
		if (next != "") != c.again || next == first || countActions[Fail](acts) == 1 == c.again {
			t.Errorf("class %d, outcome %d: %v, want again %v", c.class, c.outcome, acts, c.again)
		}
	}
}

// A keyed request that may have run is sent again only within its zone.
func TestKeyedStaysInItsZone(t *testing.T) {
	v := newDriver(t, baseSettings())
	ws := workers(2)
	ws[1].Zone = 1
	v.listWorkers(ws...)
	first := v.submit(1, 1)
	if acts := v.handle(AttemptFinished{ID: 1, Worker: first, Outcome: Reset}); firstSendWorker(acts) != "" && firstSendWorker(acts) != first {
		t.Errorf("sent on to another zone: %v", acts)
	}
}

// A silent worker is drawn no more, and many silent ones at once leave somebody to send to.
func TestSilence(t *testing.T) {
	v := newDriver(t, baseSettings())
	v.listWorkers(workers(2)...)
	silent := v.submit(1, 2)
	v.advance(1900 * ms)
	for id := RequestID(2); id < 6; id++ {
		if w := v.submit(id, 0); w == silent {
			t.Errorf("request %d went to the silent worker", id)
		}
		v.handle(AttemptFinished{ID: id, Outcome: Served, Final: true})
	}
	for _, w := range v.scheduler.workers {
		v.scheduler.eject(w, &w.ejectionState, 0, "test")
	}
	if w := v.submit(9, 0); w == "" {
		t.Error("nobody to send to when all are shunned")
	}
}

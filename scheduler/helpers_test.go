package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// newDispatchers is many dispatchers at one list of workers, as the settings tell each.
func newDispatchers(t *testing.T, dispatchers, n int) (vs []*driver) {
	for me := range dispatchers {
		s := baseSettings()
		s.DispatcherIndex, s.Dispatchers, s.ReportsPulled, s.MayProbe = me, dispatchers, true, true
		v := newDriver(t, s)
		v.listWorkers(workers(n)...)
		vs = append(vs, v)
	}
	return vs
}

// learnRuntimes has the first jobs run one after the other, each for so long.
func (v *driver) learnRuntimes(jobs RequestID, run time.Duration) {
	for id := RequestID(1); id <= jobs; id++ {
		v.submit(id, 0)
		v.handle(AttemptStarted{ID: id})
		v.advance(run)
		v.finishServed(id, nil)
	}
}

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

package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// newDispatchers returns the drivers of many dispatchers with one list of n workers.
func newDispatchers(t *testing.T, dispatchers, n int) (drivers []*driver) {
	t.Helper()
	for me := range dispatchers {
		settings := baseSettings()
		settings.DispatcherIndex, settings.Dispatchers, settings.ReportsPulled, settings.MayProbe = me, dispatchers, true, true
		driver := newDriver(t, settings)
		driver.listWorkers(workers(n)...)
		drivers = append(drivers, driver)
	}
	return drivers
}

// learnRuntimes serves requests one after the other, each with the same runtime.
func (d *driver) learnRuntimes(jobs RequestID, run time.Duration) {
	for id := RequestID(1); id <= jobs; id++ {
		d.submit(id, 0)
		d.handle(AttemptStarted{ID: id})
		d.advance(run)
		d.finishServed(id, nil)
	}
}

// zonedWorkers returns n workers spread over zones.
func zonedWorkers(n, zones int) []WorkerInfo {
	infos := make([]WorkerInfo, n)
	for i := range infos {
		infos[i] = WorkerInfo{ID: WorkerID(fmt.Sprintf("10.0.%d.%d:5000", i/7, i)), Zone: i % zones, Weight: 2}
	}
	return infos
}

// newSchedulers returns the schedulers of n dispatchers, each with the list.
func newSchedulers(s Settings, n, zones int, infos []WorkerInfo) []*Scheduler {
	schedulers := make([]*Scheduler, n)
	for i := range schedulers {
		s.DispatcherIndex, s.Dispatchers, s.Zone = i, n, i%zones
		schedulers[i] = New(s, uint64(i))
		schedulers[i].Handle(start, EndpointsUpdated{ListKind: ListFull, Workers: infos})
	}
	return schedulers
}

const ms = time.Millisecond

// start is a point well after the epoch.
const start = 1000 * time.Second

// driver passes events to one scheduler and records the actions.
type driver struct {
	t          *testing.T
	scheduler  *Scheduler
	now        Instant
	actions    []Action // of the last event
	allActions []Action
}

// newDriver returns a driver whose scheduler has handled no event.
func newDriver(t *testing.T, s Settings) *driver {
	t.Helper()
	return &driver{t: t, scheduler: New(s, 1), now: start}
}

// newSettledDriver returns a driver whose scheduler has run for longer than the sends of a predecessor count.
func newSettledDriver(t *testing.T, s Settings) *driver {
	t.Helper()
	driver := newDriver(t, s)
	driver.handle(TimerFired{})
	driver.now += s.OverloadWindow + maxSendDelay
	return driver
}

// handle passes an event and returns its actions.
func (d *driver) handle(ev Event) []Action {
	d.actions = append([]Action(nil), d.scheduler.Handle(d.now, ev)...)
	d.allActions = append(d.allActions, d.actions...)
	return d.actions
}

// advance advances the time in steps of 10 ms, each with a review.
func (d *driver) advance(span time.Duration) (actions []Action) {
	for end := d.now + span; d.now < end; {
		d.now += 10 * ms
		actions = append(actions, d.handle(TimerFired{Token: reviewTimer})...)
	}
	return actions
}

// listWorkers passes a full list.
func (d *driver) listWorkers(workers ...WorkerInfo) {
	d.handle(EndpointsUpdated{ListKind: ListFull, Workers: workers})
}

// submit passes a request of class c with two seconds left and returns the worker it was sent to, or "".
func (d *driver) submit(id RequestID, c int) WorkerID {
	return firstSendWorker(d.handle(RequestArrived{ID: id, Class: c, Slots: 1, Deadline: d.now + 2*time.Second}))
}

// finishServed passes the outcome Served for attempt 0 of a request.
func (d *driver) finishServed(id RequestID, r *Report) []Action {
	return d.handle(AttemptFinished{ID: id, Outcome: Served, Final: true, Report: r})
}

// firstSendWorker returns the worker of the first Send, "" without one.
func firstSendWorker(actions []Action) WorkerID {
	for _, a := range actions {
		if s, ok := a.(Send); ok {
			return s.Worker
		}
	}
	return ""
}

// countActions returns the number of actions of type A.
func countActions[A Action](actions []Action) (n int) {
	for _, a := range actions {
		if _, ok := a.(A); ok {
			n++
		}
	}
	return n
}

// workers returns n workers of one zone.
func workers(n int) (infos []WorkerInfo) {
	for i := range n {
		infos = append(infos, WorkerInfo{ID: WorkerID(fmt.Sprintf("w%02d", i)), Weight: 1})
	}
	return infos
}

// baseSettings returns settings with an idempotent class, one with idempotency keys and one that is not idempotent.
func baseSettings() Settings {
	c := Class{LatencyObjective: 200 * ms, ObjectiveStretch: 2, Deadline: 2 * time.Second, PriorityWeight: 1, MachineKind: -1, DeduplicationWindow: time.Second}
	withKey, nonIdempotent := c, c
	withKey.Idempotency, withKey.DeduplicationScope = IdempotentWithKey, ScopeZone
	nonIdempotent.Idempotency = NonIdempotent
	return Settings{
		Dispatchers: 2, Classes: []Class{c, withKey, nonIdempotent}, ReportsStart: true, ProgressInterval: time.Second,
		MayCancel: true, MaxAttempts: 4, AnswerSlack: 20 * ms,
		SlowStartDuration: 10 * time.Second, SlowStartCapacity: 0.2, OverloadMultiple: 3, OverloadWindow: time.Second,
	}
}

// loadReport returns a report of the busy share and the free slots.
func loadReport(busy, free float64) *Report {
	return &Report{Busy: busy, Requests: -1, FreeSlots: free}
}

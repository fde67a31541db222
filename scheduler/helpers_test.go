package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// newDispatchers returns one driver for each dispatcher, all with the same list of n workers.
func newDispatchers(t *testing.T, dispatchers, n int) (drivers []*driver) {
	t.Helper()
	for index := range dispatchers {
		settings := baseSettings()
		settings.DispatcherIndex, settings.Dispatchers, settings.ReportsPulled, settings.MayProbe = index, dispatchers, true, true
		driver := newDriver(t, settings)
		driver.listWorkers(workers(n)...)
		drivers = append(drivers, driver)
	}
	return drivers
}

// learnRuntimes serves requests one after the other, all with the same runtime.
func (d *driver) learnRuntimes(jobs RequestID, runtime time.Duration) {
	for id := RequestID(1); id <= jobs; id++ {
		d.submit(id, 0)
		d.handle(AttemptStarted{ID: id})
		d.advance(runtime)
		d.finishServed(id, nil)
	}
}

// zonedWorkers returns n workers spread evenly over the zones.
func zonedWorkers(n, zones int) []WorkerInfo {
	infos := make([]WorkerInfo, n)
	for i := range infos {
		infos[i] = WorkerInfo{ID: WorkerID(fmt.Sprintf("10.0.%d.%d:5000", i/7, i)), Zone: i % zones, Weight: 2}
	}
	return infos
}

// newSchedulers returns the schedulers of n dispatchers, each with the same endpoint list.
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

// newSettledDriver returns a driver whose scheduler has run for long enough that the sends of a predecessor no longer use up its
// slow-start share.
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

// submit passes a request of the class with two seconds left and returns the worker it was sent to, or "".
func (d *driver) submit(id RequestID, class int) WorkerID {
	return firstSendWorker(d.handle(RequestArrived{ID: id, Class: class, Slots: 1, Deadline: d.now + 2*time.Second}))
}

// finishServed passes the outcome Served for attempt 0 of a request.
func (d *driver) finishServed(id RequestID, r *Report) []Action {
	return d.handle(AttemptFinished{ID: id, Outcome: Served, Final: true, Report: r})
}

// firstSendWorker returns the worker of the first Send, or "" if there is none.
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

// baseSettings returns settings with three classes: 0 idempotent, 1 with idempotency keys, 2 not idempotent.
func baseSettings() Settings {
	class := Class{LatencyObjective: 200 * ms, ObjectiveStretch: 2, Deadline: 2 * time.Second, PriorityWeight: 1, MachineKind: -1, DeduplicationWindow: time.Second}
	withKey, nonIdempotent := class, class
	withKey.Idempotency, withKey.DeduplicationScope = IdempotentWithKey, ScopeZone
	nonIdempotent.Idempotency = NonIdempotent
	return Settings{
		Dispatchers: 2, Classes: []Class{class, withKey, nonIdempotent}, ReportsStart: true, ProgressInterval: time.Second,
		MayCancel: true, MaxAttempts: 4, AnswerSlack: 20 * ms,
		SlowStartDuration: 10 * time.Second, SlowStartCapacity: 0.2, OverloadMultiple: 3, OverloadWindow: time.Second,
	}
}

// loadReport returns a report of the busy share and the free slots.
func loadReport(busy, free float64) *Report {
	return &Report{Busy: busy, Requests: -1, FreeSlots: free}
}

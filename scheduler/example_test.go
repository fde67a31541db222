package scheduler_test

import (
	"fmt"
	"time"

	"brassdale/scheduler"
)

// Example passes an endpoint list, a request and the outcomes of its two attempts to a scheduler and prints the actions.
func Example() {
	dispatcher := scheduler.New(scheduler.Settings{
		Dispatchers: 1,
		Classes: []scheduler.Class{{
			LatencyObjective: 200 * time.Millisecond, ObjectiveStretch: 2, Deadline: 5 * time.Second, PriorityWeight: 1,
			Idempotency: scheduler.NonIdempotent, MachineKind: -1,
		}},
		ReportsStart: true, MaxAttempts: 3, AnswerSlack: 20 * time.Millisecond,
	}, 42)
	show := func(now time.Duration, ev scheduler.Event) {
		for _, a := range dispatcher.Handle(now, ev) {
			fmt.Printf("%T%+v\n", a, a)
		}
	}
	at := time.Hour // any clock that never goes back
	show(at, scheduler.EndpointsUpdated{ListKind: scheduler.ListFull, Workers: []scheduler.WorkerInfo{{ID: "a"}, {ID: "b"}}})
	show(at, scheduler.RequestArrived{ID: 1, Slots: 1, Deadline: at + 5*time.Second})
	show(at+time.Millisecond, scheduler.AttemptFinished{ID: 1, Worker: "a", Outcome: scheduler.Full})
	show(at+90*time.Millisecond, scheduler.AttemptFinished{ID: 1, Attempt: 1, Worker: "b", Outcome: scheduler.Served, Final: true,
		Report: &scheduler.Report{Busy: 0.1, Requests: -1, FreeSlots: 3}})
	// Output:
	// scheduler.Send{ID:1 Worker:a SendBy:0s}
	// scheduler.SetTimer{Token:1 After:51ms}
	// scheduler.Send{ID:1 Worker:b SendBy:0s}
}

package brain_test

import (
	"fmt"
	"time"

	"brassdale/brain"
)

// From settings through list, request, report and outcome to the actions.
func Example() {
	d := brain.New(brain.Settings{
		Dispatchers: 1,
		Classes: []brain.Class{{
			LatencyObjective: 200 * time.Millisecond, ObjectiveStretch: 2, Deadline: 5 * time.Second, PriorityWeight: 1,
			Idempotency: brain.NonIdempotent, MachineKind: -1,
		}},
		ReportsStart: true, MaxAttempts: 3, AnswerSlack: 20 * time.Millisecond,
	}, 42)
	show := func(now time.Duration, ev brain.Event) {
		for _, a := range d.Handle(now, ev) {
			fmt.Printf("%T%+v\n", a, a)
		}
	}
	at := time.Hour // any clock that never goes back
	show(at, brain.EndpointsUpdated{ListKind: brain.ListFull, Workers: []brain.WorkerInfo{{ID: "a"}, {ID: "b"}}})
	show(at, brain.RequestArrived{ID: 1, Slots: 1, Deadline: at + 5*time.Second})
	show(at+time.Millisecond, brain.AttemptFinished{ID: 1, Worker: "a", Outcome: brain.Full})
	show(at+90*time.Millisecond, brain.AttemptFinished{ID: 1, Attempt: 1, Worker: "b", Outcome: brain.Served, Final: true,
		Report: &brain.Report{Busy: 0.1, Requests: -1, FreeSlots: 3}})
	// Output:
	// brain.Send{ID:1 Worker:a By:0s}
	// brain.Wake{Token:1 After:51ms}
	// brain.Send{ID:1 Worker:b By:0s}
}
